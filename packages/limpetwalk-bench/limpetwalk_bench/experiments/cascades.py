"""Cost of meeting a quality target under several cascade policies.

Each request has a hidden outcome for each model. The policies are the real
ones and learn what they would learn in a node: whether a rated answer met the
target. Two oracles give bounds: one knows the success rate of each class, the
other the outcomes of each request.
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
STRONG_SUCCESS_RATE = 0.97
CHEAP = cascade.Option(snapshot.ModelVersion("cheap", "1"), 120, 480)
STRONG = cascade.Option(snapshot.ModelVersion("strong", "1"), 900, 3600)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Class of requests, with properties that the policies do not know.

    :param name: name of the class.
    :param weight: share of the requests.
    :param success_rate: probability that the cheap model's answer meets the
        target.
    :param usage: tokens of prompt and answer.
    """

    name: str
    weight: float
    success_rate: float
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

    :param request_class: class of the request.
    :param meets_target: whether the answer of the cheap and of the strong
        model meets the target.
    :param is_counted: whether the request comes after the learning requests
        of its class.
    """

    request_class: RequestClass
    meets_target: tuple[bool, bool]
    is_counted: bool


@dataclass(slots=True)
class Score:
    """Sums over the counted requests.

    :param requests: number of requests.
    :param cost: cost of the requests in micro-units.
    :param met_target: requests whose released answer met the target.
    """

    requests: int = 0
    cost: float = 0.0
    met_target: int = 0

    def add(self, cost: float, met_target: bool) -> None:
        """Add one request."""
        self.requests += 1
        self.cost += cost
        self.met_target += met_target


def draw_requests(
    mix: tuple[RequestClass, ...], count: int, seed: int
) -> Iterator[Request]:
    """Yield the random requests of a run."""
    rng = random.Random(seed)
    class_counts: dict[str, int] = {}
    weights = [request_class.weight for request_class in mix]
    for _ in range(count):
        request_class = rng.choices(mix, weights)[0]
        class_counts[request_class.name] = (
            class_counts.get(request_class.name, 0) + 1
        )
        meets_target = (
            rng.random() < request_class.success_rate,
            rng.random() < STRONG_SUCCESS_RATE,
        )
        yield Request(
            request_class,
            meets_target,
            class_counts[request_class.name] > LEARNING_REQUESTS,
        )


def answer_cost(option: cascade.Option, usage: backends.Usage) -> float:
    """Return the price of an answer in micro-units."""
    return (
        usage.input_tokens * option.input_price
        + usage.output_tokens * option.output_price
    ) / 1000


def run_policy(
    name: str, mix: tuple[RequestClass, ...], count: int, seed: int
) -> Score:
    """Run a policy over the requests of a seed."""
    make_policy: cascade.PolicyFactory = registry.get(
        registry.Kind.CASCADE_POLICY, name
    )
    policy = make_policy(random.Random(seed + 1))
    score = Score()
    for req in draw_requests(mix, count, seed):
        cost, meets_target = _run_request(policy, req)
        if req.is_counted:
            score.add(cost, meets_target)
    return score


def _run_request(
    policy: cascade.CascadePolicy, req: Request
) -> tuple[float, bool]:
    options = (CHEAP, STRONG)
    question = cascade.Question("w", "c", req.request_class.name, 0.8, options)
    step = policy.start(question)
    cost = 0.0
    while True:
        cost += answer_cost(options[step.index], req.request_class.usage)
        policy.record_usage(question, step.index, req.request_class.usage)
        meets_target = req.meets_target[step.index]
        if step.rating is not cascade.Rating.BEFORE_RELEASE:
            return cost, meets_target
        policy.observe(question, step.index, meets_target)
        if meets_target:
            return cost, meets_target
        step = policy.escalate(question, step.index)


def run_class_oracle(
    mix: tuple[RequestClass, ...], count: int, seed: int
) -> Score:
    """Run the oracle that knows the success rate of each class."""
    score = Score()
    for req in draw_requests(mix, count, seed):
        if not req.is_counted:
            continue
        cheap = answer_cost(CHEAP, req.request_class.usage)
        strong = answer_cost(STRONG, req.request_class.usage)
        if cheap + (1 - req.request_class.success_rate) * strong >= strong:
            score.add(strong, req.meets_target[1])
        elif req.meets_target[0]:
            score.add(cheap, True)
        else:
            score.add(cheap + strong, req.meets_target[1])
    return score


def run_request_oracle(
    mix: tuple[RequestClass, ...], count: int, seed: int
) -> Score:
    """Run the oracle that knows the outcomes of each request."""
    score = Score()
    for req in draw_requests(mix, count, seed):
        if not req.is_counted:
            continue
        option = CHEAP if req.meets_target[0] else STRONG
        score.add(
            answer_cost(option, req.request_class.usage), any(req.meets_target)
        )
    return score


def _sum_scores(scores: list[Score]) -> Score:
    total = Score()
    for score in scores:
        total.requests += score.requests
        total.cost += score.cost
        total.met_target += score.met_target
    return total


def compare(mix: tuple[RequestClass, ...], count: int, seeds: int) -> str:
    """Return the results of all policies for a mix as a Markdown table."""
    seed_range = range(1, seeds + 1)
    rows = {
        name: _sum_scores(
            [run_policy(name, mix, count, n) for n in seed_range]
        )
        for name in POLICIES
    }
    class_oracle = _sum_scores(
        [run_class_oracle(mix, count, n) for n in seed_range]
    )
    rows["class oracle"] = class_oracle
    rows["request oracle"] = _sum_scores(
        [run_request_oracle(mix, count, n) for n in seed_range]
    )
    lines = [
        "| policy | cost a request | of the class oracle's | met the target |",
        "|---|---|---|---|",
    ]
    for name, score in rows.items():
        share = (score.cost / score.requests) / (
            class_oracle.cost / class_oracle.requests
        )
        lines.append(
            f"| {name} | {score.cost / score.requests:.0f} | {share:.1%} "
            f"| {score.met_target / score.requests:.1%} |"
        )
    return "\n".join(lines)


def main(argv: list[str]) -> None:
    """Print a table for each mix of request classes."""
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
