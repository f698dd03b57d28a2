"""Execution of a cascade: one request, one answer, at most a few steps."""

from collections.abc import AsyncGenerator
from collections.abc import Callable
import contextlib
import dataclasses
from dataclasses import dataclass
import random
from typing import Protocol

from .. import clock as clocks
from .. import exceptions
from .. import metrics as measures
from .. import refusals
from ..backends import base as backends
from ..conf import snapshot
from ..providers import base as platform
from . import access
from . import answers
from . import cascade as policies
from . import planner
from . import work


class Engines(Protocol):
    """Runs one step at a replica of its choice."""

    def complete(
        self, item: work.EngineWork
    ) -> AsyncGenerator[backends.EngineEvent, None]:
        """Yield the events of an answer, the last one ``Finished``.

        :raises Refused: when there is no whole answer.
        """
        ...


class StepObserver(Protocol):
    """Told what became of the steps of each version."""

    def finished(self, target: snapshot.ModelVersion) -> None:
        """Note a whole answer in time, at the first attempt."""
        ...

    def failed(self, target: snapshot.ModelVersion) -> None:
        """Note a request with an attempt that failed by the version."""
        ...

    def rated(self, target: snapshot.ModelVersion, score: float) -> None:
        """Note the rating of a whole answer."""
        ...


# Failures of an attempt that speak against the version; the others come of
# load, of the network or of the caller.
VERSION_FAULTS = frozenset(
    {
        backends.FailureKind.SERVER_ERROR,
        backends.FailureKind.TRUNCATED,
        backends.FailureKind.SILENT,
        backends.FailureKind.CONNECTION_LOST,
    }
)


@dataclass(frozen=True, slots=True)
class _Draft:
    deltas: list[backends.Delta]
    finished: backends.Finished

    @property
    def text(self) -> str:
        return "".join(delta.text for delta in self.deltas)


class CascadeRunner:
    """Runs cascades by their policies.

    :param config: returns the configuration in force.
    :param engines: runs single steps.
    :param ratings: rating service, or None without one.
    :param clock: clock of deadlines.
    :param metrics: metrics of the process.
    :param rng: source of the policies' draws.
    :param observer: told of the steps' outcomes, or None.
    """

    def __init__(
        self,
        config: Callable[[], snapshot.AppliedSnapshot],
        engines: Engines,
        ratings: platform.RatingService | None,
        clock: clocks.Clock,
        metrics: measures.Metrics,
        rng: random.Random,
        observer: StepObserver | None = None,
    ) -> None:
        self._config = config
        self._observer = observer
        self._engines = engines
        self._ratings = ratings
        self._clock = clock
        self._planner = planner.Planner(config, clock, rng)
        self._steps = metrics.counter(
            "limpetwalk_cascade_steps",
            "Steps of cascades by what became of their answers.",
            ("cascade", "model", "outcome"),
        )
        self._unrated = metrics.counter(
            "limpetwalk_ratings_unavailable",
            "Answers that could not be rated in time.",
        )

    async def answer(
        self, request: answers.AnswerRequest
    ) -> AsyncGenerator[answers.AnswerEvent, None]:
        """Run a request and yield the events of its answer.

        The first event is ``Started``, the last ``Answered``. Closing the
        iterator early cancels the work at the engine.

        :raises Refused: when there is no answer.
        """
        question = self._planner.question(request)
        policy = self._planner.policy(request)
        step = self._planner.first_step(request, question, policy)
        steps: list[snapshot.ModelVersion] = []
        while step.rating is policies.Rating.BEFORE_RELEASE:
            target = self._planner.target(
                request, question.options[step.index]
            )
            draft = await self._draft(request, target, steps)
            steps.append(target)
            policy.record_usage(question, step.index, draft.finished.usage)
            following = await self._judge(
                request, question, policy, step, target, draft
            )
            if following is None:
                self._count(request, target, "released")
                yield answers.Started(target)
                for delta in draft.deltas:
                    yield delta
                yield self._answered(target, steps, draft.finished)
                return
            self._count(request, target, "climbed")
            step = following
        target = self._planner.target(request, question.options[step.index])
        is_started = False
        async with contextlib.aclosing(
            self._run(request, target, steps)
        ) as events:
            async for event in events:
                if not is_started:
                    is_started = True
                    yield answers.Started(target)
                if isinstance(event, backends.Delta):
                    yield event
                    continue
                steps.append(target)
                policy.record_usage(question, step.index, event.usage)
                self._count(request, target, "released")
                yield self._answered(target, steps, event)

    async def _run(
        self,
        request: answers.AnswerRequest,
        target: snapshot.ModelVersion,
        steps: list[snapshot.ModelVersion],
    ) -> AsyncGenerator[backends.EngineEvent, None]:
        kinds: list[backends.FailureKind] = []
        try:
            item = self._work(request, target, kinds.append)
            began = self._clock.monotonic()
            events = self._engines.complete(item)
            async with contextlib.aclosing(events):
                async for event in events:
                    is_last = isinstance(event, backends.Finished)
                    if is_last:
                        self._observe(target, kinds, is_whole=True)
                    yield event
            self._planner.record_duration(
                target.model, self._clock.monotonic() - began
            )
        except refusals.Refused as exc:
            if _is_late(exc.refusal):
                kinds.append(backends.FailureKind.SILENT)
            self._observe(target, kinds, is_whole=False)
            raise _after_steps(exc, steps) from None

    def _observe(
        self,
        target: snapshot.ModelVersion,
        kinds: list[backends.FailureKind],
        is_whole: bool,
    ) -> None:
        """Tell the observer once of a step.

        A retry at another replica hides a failure from the caller, not from
        the observer.
        """
        if self._observer is None:
            return
        if not VERSION_FAULTS.isdisjoint(kinds):
            self._observer.failed(target)
        elif is_whole:
            self._observer.finished(target)

    def _work(
        self,
        request: answers.AnswerRequest,
        target: snapshot.ModelVersion,
        on_failure: Callable[[backends.FailureKind], None],
    ) -> work.EngineWork:
        cfg = self._config().snapshot

        def check() -> None:
            now = self._config().snapshot
            access.check_version(
                now, request.workspace, request.cascade, target
            )

        check()
        return work.EngineWork(
            request_id=request.request_id,
            target=target,
            body=request.body,
            priority=cfg.workspaces[request.workspace].priority,
            deadline=request.deadline,
            affinity=request.affinity,
            check=check,
            on_failure=on_failure,
        )

    async def _draft(
        self,
        request: answers.AnswerRequest,
        target: snapshot.ModelVersion,
        steps: list[snapshot.ModelVersion],
    ) -> _Draft:
        deltas: list[backends.Delta] = []
        async with contextlib.aclosing(
            self._run(request, target, steps)
        ) as events:
            async for event in events:
                if isinstance(event, backends.Finished):
                    return _Draft(deltas, event)
                deltas.append(event)
        raise AssertionError("an engine's events ended without Finished")

    async def _judge(
        self,
        request: answers.AnswerRequest,
        question: policies.Question,
        policy: policies.CascadePolicy,
        step: policies.Step,
        target: snapshot.ModelVersion,
        draft: _Draft,
    ) -> policies.Step | None:
        """Return the step to climb to, or None to release the draft."""
        try:
            score = await self._rate(request, target, draft)
        except exceptions.RatingUnavailable:
            self._unrated.inc()
            return policy.after_unrated(question, step.index)
        if self._observer is not None:
            self._observer.rated(target, score)
        met = score >= question.target
        policy.observe(question, step.index, met)
        return None if met else policy.escalate(question, step.index)

    async def _rate(
        self,
        request: answers.AnswerRequest,
        target: snapshot.ModelVersion,
        draft: _Draft,
    ) -> float:
        if self._ratings is None:
            raise exceptions.RatingUnavailable("no rating service")
        timeout = self._config().snapshot.tuning.rating_timeout
        req = platform.RatingRequest(
            request.request_id,
            request.request_class,
            target.model,
            target.version,
            request.question,
            draft.text,
        )
        return await self._ratings.rate(req, timeout)

    def _answered(
        self,
        target: snapshot.ModelVersion,
        steps: list[snapshot.ModelVersion],
        finished: backends.Finished,
    ) -> answers.Answered:
        model = self._config().snapshot.models.get(target.model)
        price = 0 if model is None else _price(model, finished.usage)
        return answers.Answered(
            target, tuple(steps), finished.usage, finished.reason, price
        )

    def _count(
        self,
        request: answers.AnswerRequest,
        target: snapshot.ModelVersion,
        outcome: str,
    ) -> None:
        self._steps.labels(request.cascade, target.model, outcome).inc()


def _price(model: snapshot.Model, usage: backends.Usage) -> int:
    milli = usage.input_tokens * model.input_price
    milli += usage.output_tokens * model.output_price
    return -(-milli // 1000)


def _is_late(refusal: refusals.Refusal) -> bool:
    if refusal.run_state is refusals.RunState.NOT_RUN:
        return False
    return refusal.reason is refusals.Reason.DEADLINE_EXCEEDED


def _after_steps(
    exc: refusals.Refused, steps: list[snapshot.ModelVersion]
) -> refusals.Refused:
    """Return a refusal that does not deny the steps that ran before it."""
    if not steps or exc.refusal.run_state is not refusals.RunState.NOT_RUN:
        return exc
    return refusals.Refused(
        dataclasses.replace(exc.refusal, run_state=refusals.RunState.RUN)
    )
