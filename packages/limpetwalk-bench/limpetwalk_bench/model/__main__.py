"""Prints a table of the model's runs."""

from . import cluster
from . import loads

SEEDS = (1, 2, 3)


def run() -> None:
    """Run each load with each way to report, and print what callers got."""
    print("| nodes | reports | in time | p50 s | p99 s | rejected |", end="")
    print(" reports a node a second |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for load in (loads.cluster_of(n) for n in loads.SIZES):
        for name, reporting in loads.reportings(load.nodes).items():
            for seed in SEEDS:
                result = cluster.Cluster(load, reporting, seed).run()
                rate = result.reports / load.nodes / load.seconds
                print(
                    f"| {load.nodes} | {name}, seed {seed} |"
                    f" {result.in_time_share():.3f} |"
                    f" {result.first_quantile(0.5):.2f} |"
                    f" {result.first_quantile(0.99):.2f} |"
                    f" {result.rejected} | {rate:.0f} |"
                )


if __name__ == "__main__":
    run()
