"""Exposure to bad versions under several roll-out guards.

Each trial simulates requests to a base and a candidate version and assigns
them to nodes. The guard gets the pooled evidence of all nodes, or that of each
node separately, after the delay of the nodes' windows. The guards are the real
ones.
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
    """Version, with properties that the guards do not know.

    :param name: name in the table.
    :param failure_rate: share of requests that fail.
    :param rating_drop: decrease of the mean rating compared to the base.
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


def _add_request(
    tally: evidence.Tally, version: Candidate, rng: random.Random
) -> None:
    succeeded = rng.random() >= version.failure_rate
    if not succeeded:
        tally.observe(False)
        return
    mean = BASE_RATING - version.rating_drop
    rating = min(1.0, max(0.0, rng.gauss(mean, RATING_DEVIATION)))
    tally.observe(True, rating)


def run_trial(
    rollout_guard: guard.Guard,
    candidate: Candidate,
    seed: int,
    pooled: bool = True,
    requests: int = REQUESTS,
) -> Trial:
    """Run one roll-out until it is halted or all requests are served.

    The evidence of a request reaches the guard after ``WINDOW_REQUESTS``
    further requests to any node. Without pooling, each node decides by its
    own evidence.

    :param rollout_guard: guard that decides.
    :param candidate: version that is rolled out.
    :param seed: seed of the requests.
    :param pooled: whether the evidence of all nodes is pooled.
    :param requests: maximum number of requests.
    """
    rng = random.Random(seed)
    base = evidence.Tally()
    for _ in range(BASE_HISTORY):
        _add_request(base, BASE, rng)
    group_count = 1 if pooled else NODES
    delivered = [evidence.Tally() for _ in range(group_count)]
    halted = [False] * group_count
    in_transit: list[tuple[int, evidence.Tally]] = []
    exposed = 0
    while exposed < requests and not all(halted):
        group = 0 if pooled else rng.randrange(NODES)
        if halted[group]:
            continue
        tally = evidence.Tally()
        _add_request(tally, candidate, rng)
        exposed += 1
        in_transit.append((group, tally))
        if len(in_transit) <= WINDOW_REQUESTS:
            continue
        due_group, due_tally = in_transit.pop(0)
        delivered[due_group].add(due_tally)
        if (
            not halted[due_group]
            and rollout_guard.judge(base, delivered[due_group]) is not None
        ):
            halted[due_group] = True
    return Trial(all(halted), exposed)


@dataclass(frozen=True, slots=True)
class Row:
    """Row of the table.

    :param guard: name of the guard.
    :param candidate: name of the version that was rolled out.
    :param halted: share of the trials that were halted.
    :param median: median of the requests that the candidate served.
    :param worst: 95th percentile of the requests that it served.
    :param under_goal: share of the trials in which the candidate served
        fewer than ``GOAL_REQUESTS`` requests.
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
    for name, (make_guard, pooled) in _guards().items():
        for candidate in (FAILS_ONE_IN_FIVE, LOWER_RATING, GOOD):
            outcomes = [
                run_trial(make_guard(), candidate, first_seed + number, pooled)
                for number in range(trials)
            ]
            exposed = sorted(trial.exposed for trial in outcomes)
            rows.append(
                Row(
                    name,
                    candidate.name,
                    sum(trial.halted for trial in outcomes) / trials,
                    statistics.median(exposed),
                    exposed[math.ceil(0.95 * trials) - 1],
                    sum(n < GOAL_REQUESTS for n in exposed) / trials,
                )
            )
    return rows


def min_requests(alpha: float) -> float:
    """Return the minimum of requests to detect the lower rating.

    This is Wald's bound for normal ratings of known variance: the expected
    log likelihood ratio of one rating is ``drop**2 / (2 * variance)``.

    :param alpha: allowed probability of a false halt.
    """
    log_ratio_per_request = LOWER_RATING.rating_drop**2 / (
        2 * RATING_DEVIATION**2
    )
    return math.log(1 / alpha) / log_ratio_per_request


def _table(rows: list[Row], trials: int) -> str:
    lines = [
        f"{trials} roll-outs for each row, seeds from {_SEED.value}, at most "
        f"{REQUESTS} requests;",
        "Wald's bound for the subtle fault at 1% false halts: "
        f"{min_requests(guard.ALPHA):.0f} requests.",
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
    """Print the table and, with ``--plot``, write the plot."""
    del argv
    rows = compare(_TRIALS.value, _SEED.value)
    print(_table(rows, _TRIALS.value))
    if _PLOT.value:
        _plot(rows, pathlib.Path(_PLOT.value))


if __name__ == "__main__":
    app.run(main)
