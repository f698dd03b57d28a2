"""Execution of a cascade: one request, one answer, at most a few steps."""

from collections.abc import AsyncGenerator
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import dataclasses
from dataclasses import dataclass
import random
from typing import Any
from typing import Protocol

from .. import clock as clocks
from .. import exceptions
from .. import metrics as measures
from .. import refusals
from .. import registry
from ..backends import base as backends
from ..conf import snapshot
from ..platform import base as platform
from . import access
from . import cascade as policies
from . import rollout_share
from . import sessions
from . import work

PACE_MEMORY = 0.9
# A climb is tried only when this many times its usual duration is left.
ROOM_FACTOR = 1.5


class Engines(Protocol):
    """Runs one step at a replica of its choice."""

    def complete(
        self, item: work.EngineWork
    ) -> AsyncGenerator[backends.EngineEvent, None]:
        """Yield the events of an answer, the last one ``Finished``.

        :raises Refused: when there is no whole answer.
        """
        ...


@dataclass(frozen=True, slots=True)
class Job:
    """Request of a caller for an answer of a cascade.

    :param request_id: identifier of the request.
    :param workspace: name of the workspace.
    :param cascade: public model name that was asked for.
    :param request_class: class that the caller gave the request.
    :param body: chat completion body as the caller sent it.
    :param question: text that is rated together with the answer.
    :param session: session that pins versions, or None.
    :param deadline: monotonic instant by which the answer must be whole.
    """

    request_id: str
    workspace: str
    cascade: str
    request_class: str
    body: Mapping[str, Any]
    question: str
    session: sessions.Session | None
    deadline: float

    @property
    def affinity(self) -> str:
        """Key whose requests are best served by one replica."""
        return "" if self.session is None else self.session.id


@dataclass(frozen=True, slots=True)
class Started:
    """First event: the answer that follows is released.

    :param target: version that gives it.
    """

    target: snapshot.ModelVersion


@dataclass(frozen=True, slots=True)
class Answered:
    """Terminal event: the answer is whole and is released.

    :param target: version that gave the answer.
    :param steps: versions that ran, in order.
    :param usage: tokens of the answer that is released.
    :param reason: why generation ended (``stop`` or ``length``).
    :param price: price of the released answer, in micro-units.
    """

    target: snapshot.ModelVersion
    steps: tuple[snapshot.ModelVersion, ...]
    usage: backends.Usage
    reason: str
    price: int


AnswerEvent = Started | backends.Delta | Answered


@dataclass(frozen=True, slots=True)
class _Draft:
    deltas: list[backends.Delta]
    finished: backends.Finished

    @property
    def text(self) -> str:
        return "".join(delta.text for delta in self.deltas)


class Climber:
    """Runs cascades by their policies.

    :param config: returns the configuration in force.
    :param engines: runs single steps.
    :param ratings: rating service, or None without one.
    :param clock: clock of deadlines.
    :param metrics: metrics of the process.
    :param rng: source of the policies' draws.
    """

    def __init__(
        self,
        config: Callable[[], snapshot.Applied],
        engines: Engines,
        ratings: platform.RatingService | None,
        clock: clocks.Clock,
        metrics: measures.Metrics,
        rng: random.Random,
    ) -> None:
        self._config = config
        self._engines = engines
        self._ratings = ratings
        self._clock = clock
        self._rng = rng
        self._policies: dict[str, policies.CascadePolicy] = {}
        self._pace: dict[str, float] = {}
        self._steps = metrics.counter(
            "limpetwalk_cascade_steps",
            "Steps of cascades by what became of their answers.",
            ("cascade", "model", "outcome"),
        )
        self._unrated = metrics.counter(
            "limpetwalk_ratings_unavailable",
            "Answers that could not be rated in time.",
        )

    async def answer(self, job: Job) -> AsyncGenerator[AnswerEvent, None]:
        """Run a job and yield the events of its answer.

        The first event is ``Started``, the last ``Answered``. Closing the
        iterator early cancels the work at the engine.

        :raises Refused: when there is no answer.
        """
        question = self._question(job)
        policy = self._policy(job)
        step = self._first_step(job, question, policy)
        steps: list[snapshot.ModelVersion] = []
        while step.rating is policies.Rating.BEFORE_RELEASE:
            target = self._target(job, question.options[step.index])
            draft = await self._draft(job, target, steps)
            steps.append(target)
            policy.spent(question, step.index, draft.finished.usage)
            following = await self._judge(job, question, policy, step, draft)
            if following is None:
                self._count(job, target, "released")
                yield Started(target)
                for delta in draft.deltas:
                    yield delta
                yield self._answered(target, steps, draft.finished)
                return
            self._count(job, target, "climbed")
            step = following
        target = self._target(job, question.options[step.index])
        is_started = False
        async with contextlib.aclosing(
            self._run(job, target, steps)
        ) as events:
            async for event in events:
                if not is_started:
                    is_started = True
                    yield Started(target)
                if isinstance(event, backends.Delta):
                    yield event
                    continue
                steps.append(target)
                policy.spent(question, step.index, event.usage)
                self._count(job, target, "released")
                yield self._answered(target, steps, event)

    def _question(self, job: Job) -> policies.Question:
        cfg = self._config().snapshot
        workspace = access.get_workspace(cfg, job.workspace)
        cascade = access.get_cascade(cfg, workspace, job.cascade)
        options = []
        for name in access.allowed_models(workspace, cascade):
            model = cfg.models[name]
            options.append(
                policies.Option(
                    snapshot.ModelVersion(name, self._version(job, model)),
                    model.input_price,
                    model.output_price,
                )
            )
        return policies.Question(
            workspace.name,
            cascade.name,
            job.request_class,
            cascade.target,
            tuple(options),
        )

    def _version(self, job: Job, model: snapshot.Model) -> str:
        if job.session is not None:
            return job.session.version(model.name)
        cfg = self._config().snapshot
        return rollout_share.choose_version(cfg, model, job.request_id)

    def _policy(self, job: Job) -> policies.CascadePolicy:
        name = self._config().snapshot.cascades[job.cascade].policy
        if name not in self._policies:
            factory = registry.get(registry.Kind.CASCADE_POLICY, name)
            self._policies[name] = factory(self._rng)
        return self._policies[name]

    def _first_step(
        self,
        job: Job,
        question: policies.Question,
        policy: policies.CascadePolicy,
    ) -> policies.Step:
        step = policy.start(question)
        if step.rating is not policies.Rating.BEFORE_RELEASE:
            return step
        tuning = self._config().snapshot.tuning
        strongest = question.options[question.last].target.model
        cheap = question.options[step.index].target.model
        room = tuning.rating_timeout + self._pace.get(cheap, 0.0)
        room += self._pace.get(strongest, 0.0)
        if job.deadline - self._clock.monotonic() < ROOM_FACTOR * room:
            return policies.Step(question.last, policies.Rating.NONE)
        return step

    def _target(
        self, job: Job, option: policies.Option
    ) -> snapshot.ModelVersion:
        """Return the version of a step by the configuration now in force."""
        cfg = self._config().snapshot
        model = cfg.models.get(option.target.model)
        if model is None:
            return option.target
        return snapshot.ModelVersion(model.name, self._version(job, model))

    async def _run(
        self,
        job: Job,
        target: snapshot.ModelVersion,
        steps: list[snapshot.ModelVersion],
    ) -> AsyncGenerator[backends.EngineEvent, None]:
        try:
            item = self._work(job, target)
            began = self._clock.monotonic()
            events = self._engines.complete(item)
            async with contextlib.aclosing(events):
                async for event in events:
                    yield event
            self._note_pace(target.model, self._clock.monotonic() - began)
        except refusals.Refused as exc:
            raise _after_steps(exc, steps) from None

    def _work(
        self, job: Job, target: snapshot.ModelVersion
    ) -> work.EngineWork:
        cfg = self._config().snapshot

        def check() -> None:
            now = self._config().snapshot
            access.check_version(now, job.workspace, job.cascade, target)

        check()
        return work.EngineWork(
            request_id=job.request_id,
            target=target,
            body=job.body,
            priority=cfg.workspaces[job.workspace].priority,
            deadline=job.deadline,
            affinity=job.affinity,
            check=check,
        )

    async def _draft(
        self,
        job: Job,
        target: snapshot.ModelVersion,
        steps: list[snapshot.ModelVersion],
    ) -> _Draft:
        deltas: list[backends.Delta] = []
        async with contextlib.aclosing(
            self._run(job, target, steps)
        ) as events:
            async for event in events:
                if isinstance(event, backends.Finished):
                    return _Draft(deltas, event)
                deltas.append(event)
        raise AssertionError("an engine's events ended without Finished")

    async def _judge(
        self,
        job: Job,
        question: policies.Question,
        policy: policies.CascadePolicy,
        step: policies.Step,
        draft: _Draft,
    ) -> policies.Step | None:
        """Return the step to climb to, or None to release the draft."""
        option = question.options[step.index]
        try:
            score = await self._rate(job, option.target, draft)
        except exceptions.RatingUnavailable:
            self._unrated.inc()
            return policy.unrated(question, step.index)
        met = score >= question.target
        policy.observe(question, step.index, met)
        return None if met else policy.climb(question, step.index)

    async def _rate(
        self, job: Job, target: snapshot.ModelVersion, draft: _Draft
    ) -> float:
        if self._ratings is None:
            raise exceptions.RatingUnavailable("no rating service")
        timeout = self._config().snapshot.tuning.rating_timeout
        req = platform.RatingRequest(
            job.request_id,
            job.request_class,
            target.model,
            target.version,
            job.question,
            draft.text,
        )
        return await self._ratings.rate(req, timeout)

    def _answered(
        self,
        target: snapshot.ModelVersion,
        steps: list[snapshot.ModelVersion],
        finished: backends.Finished,
    ) -> Answered:
        model = self._config().snapshot.models.get(target.model)
        price = 0 if model is None else _price(model, finished.usage)
        return Answered(
            target, tuple(steps), finished.usage, finished.reason, price
        )

    def _note_pace(self, model: str, seconds: float) -> None:
        known = self._pace.get(model, seconds)
        self._pace[model] = PACE_MEMORY * known + (1 - PACE_MEMORY) * seconds

    def _count(
        self, job: Job, target: snapshot.ModelVersion, outcome: str
    ) -> None:
        self._steps.labels(job.cascade, target.model, outcome).inc()


def _price(model: snapshot.Model, usage: backends.Usage) -> int:
    milli = usage.input_tokens * model.input_price
    milli += usage.output_tokens * model.output_price
    return -(-milli // 1000)


def _after_steps(
    exc: refusals.Refused, steps: list[snapshot.ModelVersion]
) -> refusals.Refused:
    """Return a refusal that does not deny the steps that ran before it."""
    if not steps or exc.refusal.run is not refusals.RunState.NOT_RUN:
        return exc
    return refusals.Refused(
        dataclasses.replace(exc.refusal, run=refusals.RunState.RUN)
    )
