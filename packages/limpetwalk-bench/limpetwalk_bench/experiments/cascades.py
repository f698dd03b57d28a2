"""Cost at the quality target under several cascade policies.

Each request has a hidden outcome for each model; the policies are the real
ones and see what a node sees: whether a rated answer met the target. Two
oracles stand for the limits: one knows each class's chances, one knows each
request's outcomes.
"""

from collections.abc import Iterator
from dataclasses import dataclass
import random

from absl import app
from absl import flags

from limpetwalk import plugins
from limpetwalk import registry
from limpetwalk.backends import base as backends
from limpetwalk.conf import snapshot
from limpetwalk.routing import cascade

_SEEDS = flags.DEFINE_integer("seeds", 20, "runs of each row")
_REQUESTS = flags.DEFINE_integer("requests", 3000, "requests of a run")

LEARNING_REQUESTS = 200
POLICIES = ("always_cheap", "always_strong", "fixed", "adaptive")
STRONG_CHANCE = 0.97
CHEAP = cascade.Option(snapshot.ModelVersion("cheap", "1"), 120, 480)
STRONG = cascade.Option(snapshot.ModelVersion("strong", "1"), 900, 3600)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Hidden truth of a class of requests.

    :param name: name of the class.
    :param weight: share of the requests.
    :param chance: chance that the cheap model's answer meets the target.
    :param usage: tokens of prompt and answer.
    """

    name: str
    weight: float
    chance: float
    usage: backends.Usage


MIXES = {
    "Bércvár": (
        RequestClass("bundle", 0.3, 0.12, backends.Usage(6000, 600)),
        RequestClass("renewal", 0.2, 0.55, backends.Usage(1500, 400)),
        RequestClass("question", 0.5, 0.93, backends.Usage(200, 120)),
    ),
    "Navarrete": (
        RequestClass("order", 0.5, 0.9, backends.Usage(300, 150)),
        RequestClass("contract", 0.2, 0.1, backends.Usage(4000, 500)),
        RequestClass("schedule", 0.3, 0.65, backends.Usage(800, 400)),
    ),
}


@dataclass(frozen=True, slots=True)
class Request:
    """Request with its hidden outcomes.

    :param kind: its class.
    :param met: whether each option's answer meets the target.
    :param counted: whether its class has had its learning requests.
    """

    kind: RequestClass
    met: tuple[bool, bool]
    counted: bool


@dataclass(slots=True)
class Score:
    """Sums over the counted requests.

    :param requests: number of them.
    :param cost: their cost, in micro-units.
    :param met: those whose released answer met the target.
    """

    requests: int = 0
    cost: float = 0.0
    met: int = 0

    def add(self, cost: float, met: bool) -> None:
        """Add one request."""
        self.requests += 1
        self.cost += cost
        self.met += met


def draw(
    mix: tuple[RequestClass, ...], count: int, seed: int
) -> Iterator[Request]:
    """Yield the requests of a run."""
    rng = random.Random(seed)
    seen: dict[str, int] = {}
    weights = [kind.weight for kind in mix]
    for _ in range(count):
        kind = rng.choices(mix, weights)[0]
        seen[kind.name] = seen.get(kind.name, 0) + 1
        met = (rng.random() < kind.chance, rng.random() < STRONG_CHANCE)
        yield Request(kind, met, seen[kind.name] > LEARNING_REQUESTS)


def cost_of(option: cascade.Option, usage: backends.Usage) -> float:
    """Return the price of an answer, in micro-units."""
    return (
        usage.input_tokens * option.input_price
        + usage.output_tokens * option.output_price
    ) / 1000


def run_policy(
    name: str, mix: tuple[RequestClass, ...], count: int, seed: int
) -> Score:
    """Run a policy over the requests of a seed."""
    make: cascade.PolicyFactory = registry.get(
        registry.Kind.CASCADE_POLICY, name
    )
    policy = make(random.Random(seed + 1))
    score = Score()
    for req in draw(mix, count, seed):
        cost, met = _answer(policy, req)
        if req.counted:
            score.add(cost, met)
    return score


def _answer(policy: cascade.CascadePolicy, req: Request) -> tuple[float, bool]:
    options = (CHEAP, STRONG)
    question = cascade.Question("w", "c", req.kind.name, 0.8, options)
    step = policy.start(question)
    cost = 0.0
    while True:
        cost += cost_of(options[step.index], req.kind.usage)
        policy.record_usage(question, step.index, req.kind.usage)
        met = req.met[step.index]
        if step.rating is not cascade.Rating.BEFORE_RELEASE:
            return cost, met
        policy.observe(question, step.index, met)
        if met:
            return cost, met
        step = policy.escalate(question, step.index)


def run_class_oracle(
    mix: tuple[RequestClass, ...], count: int, seed: int
) -> Score:
    """Run the policy that knows each class's chances."""
    score = Score()
    for req in draw(mix, count, seed):
        if not req.counted:
            continue
        cheap = cost_of(CHEAP, req.kind.usage)
        strong = cost_of(STRONG, req.kind.usage)
        if cheap + (1 - req.kind.chance) * strong >= strong:
            score.add(strong, req.met[1])
        elif req.met[0]:
            score.add(cheap, True)
        else:
            score.add(cheap + strong, req.met[1])
    return score


def run_request_oracle(
    mix: tuple[RequestClass, ...], count: int, seed: int
) -> Score:
    """Run the policy that knows each request's outcomes."""
    score = Score()
    for req in draw(mix, count, seed):
        if not req.counted:
            continue
        option = CHEAP if req.met[0] else STRONG
        score.add(cost_of(option, req.kind.usage), any(req.met))
    return score


def _sum(scores: list[Score]) -> Score:
    total = Score()
    for score in scores:
        total.requests += score.requests
        total.cost += score.cost
        total.met += score.met
    return total


def compare(mix: tuple[RequestClass, ...], count: int, seeds: int) -> str:
    """Return the rows of a mix as a Markdown table."""
    numbers = range(1, seeds + 1)
    rows = {
        name: _sum([run_policy(name, mix, count, n) for n in numbers])
        for name in POLICIES
    }
    oracle = _sum([run_class_oracle(mix, count, n) for n in numbers])
    rows["class oracle"] = oracle
    rows["request oracle"] = _sum(
        [run_request_oracle(mix, count, n) for n in numbers]
    )
    lines = [
        "| policy | cost a request | of the class oracle's | met the target |",
        "|---|---|---|---|",
    ]
    for name, score in rows.items():
        share = (score.cost / score.requests) / (oracle.cost / oracle.requests)
        lines.append(
            f"| {name} | {score.cost / score.requests:.0f} | {share:.1%} "
            f"| {score.met / score.requests:.1%} |"
        )
    return "\n".join(lines)


def main(argv: list[str]) -> None:
    """Print a table for each user's mix."""
    del argv
    plugins.load()
    print(
        f"{_SEEDS.value} seeds of {_REQUESTS.value} requests; the first "
        f"{LEARNING_REQUESTS} of a class are not counted; micro-units."
    )
    for name, mix in MIXES.items():
        print(f"\n## {name}\n")
        print(compare(mix, _REQUESTS.value, _SEEDS.value))


if __name__ == "__main__":
    app.run(main)
