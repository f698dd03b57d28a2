"""Execution of cascades: each request takes one or a few steps."""

from collections.abc import AsyncGenerator
from collections.abc import Callable
import contextlib
import dataclasses
from dataclasses import dataclass
import random
from typing import Protocol

from .. import clock as clocks
from .. import exceptions
from .. import metrics as metrics_module
from .. import refusals
from ..backends import base as backends
from ..conf import snapshot
from ..providers import base as provider_base
from . import access
from . import answers
from . import cascade as policies
from . import planner
from . import work


class EngineCaller(Protocol):
    """Runs single steps at a replica that it chooses."""

    def complete(
        self, item: work.EngineWork
    ) -> AsyncGenerator[backends.EngineEvent, None]:
        """Yield the events of an answer, the last one ``Finished``.

        :raises Refused: when no complete answer could be obtained.
        """
        ...


class StepObserver(Protocol):
    """Receives the outcome of each step by model version."""

    def finished(self, target: snapshot.ModelVersion) -> None:
        """Record a complete answer in time without a fault of the version."""
        ...

    def failed(self, target: snapshot.ModelVersion) -> None:
        """Record a step with an attempt that failed by the version's fault."""
        ...

    def rated(self, target: snapshot.ModelVersion, score: float) -> None:
        """Record the rating of a complete answer."""
        ...


# Failures of an attempt that count against the version. The others are caused
# by load, the network or the caller.
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
    """Runs cascades as their policies decide.

    :param config: returns the configuration in force.
    :param engines: runs single steps.
    :param ratings: rating service, or None without one.
    :param clock: clock of deadlines.
    :param metrics: metrics of the process.
    :param rng: random source of the policies.
    :param observer: receives the outcomes of the steps, or None.
    """

    def __init__(
        self,
        config: Callable[[], snapshot.AppliedSnapshot],
        engines: EngineCaller,
        ratings: provider_base.RatingService | None,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
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

        :raises Refused: when no complete answer could be obtained.
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
            next_step = await self._rate_draft(
                request, question, policy, step, target, draft
            )
            if next_step is None:
                self._count(request, target, "released")
                yield answers.Started(target)
                for delta in draft.deltas:
                    yield delta
                yield self._answered(target, steps, draft.finished)
                return
            self._count(request, target, "climbed")
            step = next_step
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
        failure_kinds: list[backends.FailureKind] = []
        try:
            engine_work = self._work(request, target, failure_kinds.append)
            started_at = self._clock.monotonic()
            events = self._engines.complete(engine_work)
            async with contextlib.aclosing(events):
                async for event in events:
                    is_finished = isinstance(event, backends.Finished)
                    if is_finished:
                        self._observe(target, failure_kinds, is_complete=True)
                    yield event
            self._planner.record_duration(
                target.model, self._clock.monotonic() - started_at
            )
        except refusals.Refused as exc:
            if _is_late(exc.refusal):
                failure_kinds.append(backends.FailureKind.SILENT)
            self._observe(target, failure_kinds, is_complete=False)
            raise _with_earlier_steps(exc, steps) from None

    def _observe(
        self,
        target: snapshot.ModelVersion,
        failure_kinds: list[backends.FailureKind],
        is_complete: bool,
    ) -> None:
        """Report a step to the observer once.

        A failure that a retry at another replica hides from the caller is
        reported nonetheless.
        """
        if self._observer is None:
            return
        if not VERSION_FAULTS.isdisjoint(failure_kinds):
            self._observer.failed(target)
        elif is_complete:
            self._observer.finished(target)

    def _work(
        self,
        request: answers.AnswerRequest,
        target: snapshot.ModelVersion,
        on_failure: Callable[[backends.FailureKind], None],
    ) -> work.EngineWork:
        cfg = self._config().snapshot

        def check() -> None:
            current = self._config().snapshot
            access.check_version(
                current, request.workspace, request.cascade, target
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

    async def _rate_draft(
        self,
        request: answers.AnswerRequest,
        question: policies.Question,
        policy: policies.CascadePolicy,
        step: policies.Step,
        target: snapshot.ModelVersion,
        draft: _Draft,
    ) -> policies.Step | None:
        """Rate a draft; return the next step, or None to release the draft."""
        try:
            score = await self._rate(request, target, draft)
        except exceptions.RatingUnavailable:
            self._unrated.inc()
            return policy.after_unrated(question, step.index)
        if self._observer is not None:
            self._observer.rated(target, score)
        is_target_met = score >= question.target
        policy.observe(question, step.index, is_target_met)
        return None if is_target_met else policy.escalate(question, step.index)

    async def _rate(
        self,
        request: answers.AnswerRequest,
        target: snapshot.ModelVersion,
        draft: _Draft,
    ) -> float:
        if self._ratings is None:
            raise exceptions.RatingUnavailable(
                "no rating service is configured"
            )
        timeout = self._config().snapshot.tuning.rating_timeout
        req = provider_base.RatingRequest(
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
    price_times_1000 = usage.input_tokens * model.input_price
    price_times_1000 += usage.output_tokens * model.output_price
    return -(-price_times_1000 // 1000)


def _is_late(refusal: refusals.Refusal) -> bool:
    if refusal.run_state is refusals.RunState.NOT_RUN:
        return False
    return refusal.reason is refusals.Reason.DEADLINE_EXCEEDED


def _with_earlier_steps(
    exc: refusals.Refused, steps: list[snapshot.ModelVersion]
) -> refusals.Refused:
    """Return a refusal whose run state includes the earlier steps."""
    if not steps or exc.refusal.run_state is not refusals.RunState.NOT_RUN:
        return exc
    return refusals.Refused(
        dataclasses.replace(exc.refusal, run_state=refusals.RunState.RUN)
    )
