"""Compares ways to choose a replica.

``python -m limpetwalk_bench.choice`` prints a table in Markdown. The real
dispatcher runs in front of the batches of the engine stand-in, in virtual
time.
"""

from collections.abc import Iterator

from absl import app
from absl import flags
from loguru import logger

from . import trial
from . import virtual

POLICIES = (
    "random",
    "round robin",
    "least connections",
    "reports",
    "limpetwalk",
    "perfect knowledge",
)

REPLICAS = flags.DEFINE_integer("replicas", 5, "Engines.")
NODES = flags.DEFINE_integer("nodes", 9, "Entry nodes.")
SECONDS = flags.DEFINE_float("seconds", 20.0, "Length of the arrivals.")
SEEDS = flags.DEFINE_multi_integer("seed", [1], "Seeds, one run for each.")
LOADS = flags.DEFINE_multi_float(
    "load", [0.7, 2.0], "Offered loads as shares of the capacity."
)


async def run_plan(plan: trial.Plan) -> trial.Result:
    """Run one plan."""
    return await trial.Trial(plan).run()


def run_policy(policy: str, load: float) -> trial.Result:
    """Return the combined result of a policy over all seeds."""
    total = trial.Result(first_tokens=[])
    for seed in SEEDS.value:
        plan = trial.Plan(
            policy, load, REPLICAS.value, NODES.value, SECONDS.value, seed
        )
        result = virtual.run(run_plan(plan))
        total.offered += result.offered
        total.answered += result.answered
        total.refused += result.refused
        assert total.first_tokens is not None
        total.first_tokens += result.first_tokens or []
    return total


def report() -> Iterator[str]:
    """Run all policies and yield the lines of the report."""
    yield "# Ways to choose a replica\n"
    yield (
        f"{REPLICAS.value} engines, {NODES.value} nodes, "
        f"{SECONDS.value:.0f} s, seeds {SEEDS.value}, deadline "
        f"{trial.DEADLINE_SECONDS:.0f} s; first token in ms; served: "
        "answered in time as a share of the offered.\n"
    )
    yield "| load | policy | p50 | p95 | p99 | offered | served |"
    yield "|---|---|---|---|---|---|---|"
    for load in LOADS.value:
        for policy in POLICIES:
            result = run_policy(policy, load)
            times = " | ".join(
                f"{result.quantile(share) * 1000:.0f}"
                for share in (0.5, 0.95, 0.99)
            )
            served = result.answered / max(1, result.offered)
            yield (
                f"| {load} | {policy} | {times} | {result.offered} "
                f"| {served:.1%} |"
            )


def main(argv: list[str]) -> None:
    """Run the comparison and print the report."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument {argv[1]!r}")
    logger.disable("limpetwalk")
    for line in report():
        print(line, flush=True)


if __name__ == "__main__":
    app.run(main)
