"""Prints tables of the model's runs."""

import dataclasses

from . import cluster
from . import loads

SEEDS = (1, 2, 3)
# Nodes, servers and requests per second of a service that pauses, and the
# numbers of servers that want no requests.
PAUSING = (9, 6, 200.0)
PAUSED = (1, 3, 6)


def run() -> None:
    """Print all tables."""
    _print_reportings()
    print()
    _print_pauses()


def _print_pauses() -> None:
    """Print what callers get while servers want nothing for 2 s."""
    print(
        "| of 6 servers paused | nodes heed it, seed | served of those sent"
        " meanwhile | refused once | slowest refusal s | rejected | most from"
        " a node to a paused server | first answer after s | arrivals there"
        " in the first, second 0.5 s after |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for paused in PAUSED:
        for listen in (False, True):
            for seed in SEEDS:
                load = dataclasses.replace(
                    loads.pausing(*PAUSING, paused), nodes_listen=listen
                )
                reporting = loads.reportings(load.nodes)["to all"]
                result = cluster.Cluster(load, reporting, seed).run()
                assert load.pause is not None
                sent = result.paused(load.pause)
                served = sum(o.first is not None for o in sent) / len(sent)
                refusals = [t for o in sent for t in o.refused_after]
                ended = result.ended_pause
                print(
                    f"| {paused} | {'yes' if listen else 'no'}, {seed} |"
                    f" {served:.3f} |"
                    f" {sum(bool(o.refused_after) for o in sent)}"
                    f" of {len(sent)} |"
                    f" {max(refusals, default=0.0):.3f} |"
                    f" {result.rejected} |"
                    f" {max(result.unwanted.values(), default=0)} |"
                    f" {result.first_after(load.pause):.3f} |"
                    f" {sum(t < 0.5 for t in ended)},"
                    f" {sum(0.5 <= t < 1 for t in ended)} |"
                )


def _print_reportings() -> None:
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
