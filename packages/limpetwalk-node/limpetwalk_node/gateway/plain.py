"""Forwards calls whose answer is read completely before it is passed on."""

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
        search = _Search(call, self._dispatcher)
        answers = replacements.Replacements(
            search.run, lambda answer: None, search.may_add
        )
        try:
            answer = await answers.first(self._patience(call))
        finally:
            await answers.drop()
        if answer is not None:
            return answer
        last = search.last_failure
        if last is not None and last.answer is not None:
            return last.answer
        return self._dispatcher.refusal_for(call, last)

    def _patience(self, call: calls.Call) -> float | None:
        """Return the seconds to wait before another server is asked.

        :returns: None when the call may not be sent to two servers.
        """
        if not call.route.retryable:
            return None
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
            self.last_failure = result
            dispatcher.record_result(call, member, result)
            if not await dispatcher.may_retry(call, member, result):
                return None
        return None

    def may_add(self) -> bool:
        """Return whether another server may be asked besides a silent one."""
        if self._dispatcher.place(self._call) is None:
            return False
        return self._dispatcher.may_replace(self._call)

    async def _attempt(
        self, choice: placement.Choice
    ) -> outbound.CompleteAnswer | outbound.FailedAttempt:
        call, dispatcher = self._call, self._dispatcher
        started = await dispatcher.start(call, choice, "", "")
        if isinstance(started, outbound.FailedAttempt):
            return started
        try:
            return await dispatcher.read_answer(call, started)
        finally:
            started.exchange.close()
            dispatcher.finish(choice.member)
