"""Forwards calls whose answer is read completely before it is passed on."""

import math

from limpetwalk.gateway import call as calls
from limpetwalk.gateway import placement
from limpetwalk.gateway import refusal
from limpetwalk.gateway import retries

from . import dispatch
from . import outbound
from . import replacements

# Multiple of the target latency after which another server is asked besides.
# Beyond it the answer is late anyway.
TARGET_LATENCY_FACTOR = 1.5
# Share of the remaining time after which another server is asked besides.
ATTEMPT_TIME_SHARE = 0.5


class PlainForwarder:
    """Forwards calls to plain services."""

    def __init__(self, dispatcher: dispatch.Dispatcher) -> None:
        self._dispatcher = dispatcher

    async def serve(
        self, call: calls.Call
    ) -> outbound.CompleteAnswer | refusal.Refusal:
        """Return a server's answer, or the refusal when there is none."""
        call.patience = self._patience(call)
        search = _Search(call, self._dispatcher)
        answers = replacements.Replacements(
            search.run,
            lambda answer: None,
            search.try_add,
            lambda exc: self._dispatcher.log_error(call, exc),
        )
        try:
            answer = await answers.first(call.patience)
        finally:
            answers.drop()
        if answer is not None:
            return answer
        last = search.last_failure
        if last is not None and last.answer is not None:
            return last.answer
        return self._dispatcher.refusal_for(call, last)

    def _patience(self, call: calls.Call) -> float:
        """Return the seconds to wait before another server is asked."""
        if not call.route.retryable:
            return math.inf
        return min(
            call.route.target_latency * TARGET_LATENCY_FACTOR,
            self._dispatcher.time_left(call) * ATTEMPT_TIME_SHARE,
        )


class _Search:
    """Search for a server that answers a call completely."""

    def __init__(
        self, call: calls.Call, dispatcher: dispatch.Dispatcher
    ) -> None:
        self._call = call
        self._dispatcher = dispatcher
        self.last_failure: outbound.FailedAttempt | None = None

    async def run(self) -> outbound.CompleteAnswer | None:
        """Send the call to one server after another until one answers."""
        call, dispatcher = self._call, self._dispatcher
        while dispatcher.time_left(call) > retries.MIN_TIME_LEFT:
            choice = dispatcher.place(call)
            if choice is None:
                return None
            member = choice.member
            result = await self._attempt(choice)
            if isinstance(result, outbound.CompleteAnswer):
                dispatcher.record_result(call, member, None)
                return result
            self.last_failure = outbound.preferred_failure(
                self.last_failure, result
            )
            dispatcher.record_result(call, member, result)
            if not await dispatcher.may_retry(call, member, result):
                return None
        return None

    def try_add(self) -> bool:
        """Return whether another server is asked besides a silent one."""
        if self._dispatcher.place(self._call) is None:
            return False
        return self._dispatcher.try_replace(self._call)

    async def _attempt(
        self, choice: placement.Choice
    ) -> outbound.CompleteAnswer | outbound.FailedAttempt:
        call, dispatcher = self._call, self._dispatcher
        started = await dispatcher.start(call, choice, "", "")
        if isinstance(started, outbound.FailedAttempt):
            return started
        try:
            answer = await dispatcher.read_answer(call, started)
            if isinstance(answer, outbound.CompleteAnswer):
                dispatcher.use(call, started)
            return answer
        finally:
            started.exchange.close()
            dispatcher.finish(choice.member)
