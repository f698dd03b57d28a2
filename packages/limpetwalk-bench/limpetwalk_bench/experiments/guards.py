"""Exposure to bad versions under several guards.

Each trial draws requests of a base and a candidate version, deals them to
nodes and shows the guard the pooled evidence (or each node its own), with
the delay of the nodes' windows. The guards are the real ones.
"""

from collections.abc import Callable
from dataclasses import dataclass
import math
import pathlib
import random
import statistics

from absl import app
from absl import flags
from matplotlib import figure as figures

from limpetwalk.rollouts import evidence
from limpetwalk.rollouts import guard

_TRIALS = flags.DEFINE_integer("trials", 200, "roll-outs of each row")
_SEED = flags.DEFINE_integer("seed", 1, "first seed")
_PLOT = flags.DEFINE_string("plot", "", "file for the plot")

NODES = 9
REQUESTS = 6000
WINDOW_REQUESTS = 8
BASE_HISTORY = 2000
GOAL_REQUESTS = 40


@dataclass(frozen=True, slots=True)
class Candidate:
    """Hidden truth of a candidate version.

    :param name: name in the table.
    :param failure_rate: share of requests that fail.
    :param rating_drop: fall of the mean rating against the base.
    """

    name: str
    failure_rate: float
    rating_drop: float


GOOD = Candidate("good", 0.005, 0.0)
FAILS_ONE_IN_FIVE = Candidate("fails one in five", 0.2, 0.0)
LOWER_RATING = Candidate("rating 5% lower", 0.005, 0.04)
BASE = Candidate("base", 0.005, 0.0)
BASE_RATING = 0.8
RATING_DEVIATION = 0.12


@dataclass(frozen=True, slots=True)
class Trial:
    """Result of one roll-out.

    :param halted: whether the guard halted it.
    :param exposed: requests that the candidate served.
    """

    halted: bool
    exposed: int


def _observe(
    tally: evidence.Tally, truth: Candidate, rng: random.Random
) -> None:
    good = rng.random() >= truth.failure_rate
    if not good:
        tally.observe(False)
        return
    mean = BASE_RATING - truth.rating_drop
    rating = min(1.0, max(0.0, rng.gauss(mean, RATING_DEVIATION)))
    tally.observe(True, rating)


def run_trial(
    judge: guard.Guard,
    truth: Candidate,
    seed: int,
    pooled: bool = True,
    requests: int = REQUESTS,
) -> Trial:
    """Run one roll-out until it is halted or all requests are served.

    A node's evidence reaches the judge ``WINDOW_REQUESTS`` requests of all
    nodes later; without pooling each node judges by its own evidence.
    """
    rng = random.Random(seed)
    base = evidence.Tally()
    for _ in range(BASE_HISTORY):
        _observe(base, BASE, rng)
    groups = 1 if pooled else NODES
    seen = [evidence.Tally() for _ in range(groups)]
    halted = [False] * groups
    waiting: list[tuple[int, evidence.Tally]] = []
    exposed = 0
    while exposed < requests and not all(halted):
        group = 0 if pooled else rng.randrange(NODES)
        if halted[group]:
            continue
        tally = evidence.Tally()
        _observe(tally, truth, rng)
        exposed += 1
        waiting.append((group, tally))
        if len(waiting) <= WINDOW_REQUESTS:
            continue
        shown, late = waiting.pop(0)
        seen[shown].add(late)
        if not halted[shown] and judge.judge(base, seen[shown]) is not None:
            halted[shown] = True
    return Trial(all(halted), exposed)


@dataclass(frozen=True, slots=True)
class Row:
    """Row of the table.

    :param guard: name of the guard.
    :param candidate: candidate that was rolled out.
    :param halted: share of the trials that were halted.
    :param median: median of the requests served by the candidate.
    :param worst: 95th percentile of them.
    :param under_goal: share of the trials under ``GOAL_REQUESTS``.
    """

    guard: str
    candidate: str
    halted: float
    median: float
    worst: float
    under_goal: float


def _guards() -> dict[str, tuple[Callable[[], guard.Guard], bool]]:
    return {
        "sequential, pooled": (guard.SequentialGuard, True),
        "sequential, each node": (guard.SequentialGuard, False),
        "window of 100, pooled": (guard.WindowGuard, True),
        "none": (guard.NoGuard, True),
    }


def compare(trials: int, first_seed: int = 1) -> list[Row]:
    """Return a row for each guard and candidate, over the same seeds."""
    rows = []
    for name, (make, pooled) in _guards().items():
        for truth in (FAILS_ONE_IN_FIVE, LOWER_RATING, GOOD):
            found = [
                run_trial(make(), truth, first_seed + number, pooled)
                for number in range(trials)
            ]
            exposed = sorted(trial.exposed for trial in found)
            rows.append(
                Row(
                    name,
                    truth.name,
                    sum(trial.halted for trial in found) / trials,
                    statistics.median(exposed),
                    exposed[math.ceil(0.95 * trials) - 1],
                    sum(n < GOAL_REQUESTS for n in exposed) / trials,
                )
            )
    return rows


def fewest_requests(alpha: float) -> float:
    """Return the requests that a test of the subtle fault needs at least.

    Wald's bound for known normal ratings: the expected log likelihood ratio
    of one rating is ``drop**2 / (2 * variance)``.
    """
    gain = LOWER_RATING.rating_drop**2 / (2 * RATING_DEVIATION**2)
    return math.log(1 / alpha) / gain


def _table(rows: list[Row], trials: int) -> str:
    lines = [
        f"{trials} roll-outs for each row, seeds from {_SEED.value}, at most "
        f"{REQUESTS} requests;",
        "Wald's bound for the subtle fault at 1% false halts: "
        f"{fewest_requests(guard.ALPHA):.0f} requests.",
        "",
        "| guard | candidate | halted | median | p95 | under 40 |",
        "|---|---|---|---|---|---|",
    ]
    lines.extend(
        f"| {row.guard} | {row.candidate} | {row.halted:.1%} "
        f"| {row.median:.0f} | {row.worst:.0f} | {row.under_goal:.1%} |"
        for row in rows
    )
    return "\n".join(lines)


def _plot(rows: list[Row], path: pathlib.Path) -> None:
    figure = figures.Figure(figsize=(8, 4), layout="constrained")
    axes = figure.subplots()
    bad = [row for row in rows if row.candidate != GOOD.name]
    labels = [f"{row.guard}\n{row.candidate}" for row in bad]
    axes.barh(labels, [row.median for row in bad])
    axes.set_xscale("log")
    axes.set_xlabel("requests served by the bad version (median)")
    axes.axvline(GOAL_REQUESTS, linestyle="--")
    axes.tick_params(labelsize=7)
    figure.savefig(path, dpi=100)


def main(argv: list[str]) -> None:
    """Print the table and write the plot."""
    del argv
    rows = compare(_TRIALS.value, _SEED.value)
    print(_table(rows, _TRIALS.value))
    if _PLOT.value:
        _plot(rows, pathlib.Path(_PLOT.value))


if __name__ == "__main__":
    app.run(main)
