"""Forwards calls whose answer is read completely before it is passed on."""

from limpetwalk.gateway import call as calls
from limpetwalk.gateway import placement
from limpetwalk.gateway import refusal
from limpetwalk.gateway import retries

from . import dispatch
from . import outbound

# Multiple of the target latency after which a retryable call is sent to
# another server. Beyond it the answer is late anyway.
TARGET_LATENCY_FACTOR = 1.5
# Share of the remaining time that an attempt may take while others remain.
ATTEMPT_TIME_SHARE = 0.5


class PlainForwarder:
    """Forwards calls to plain services."""

    def __init__(self, dispatcher: dispatch.Dispatcher) -> None:
        self._dispatcher = dispatcher

    async def serve(
        self, call: calls.Call
    ) -> outbound.CompleteAnswer | refusal.Refusal:
        """Return a server's answer, or the refusal when there is none."""
        last: outbound.FailedAttempt | None = None
        while self._dispatcher.time_left(call) > retries.MIN_TIME_LEFT:
            choice = self._dispatcher.place(call)
            if choice is None:
                break
            member = choice.member
            result = await self._attempt(call, choice)
            if isinstance(result, outbound.CompleteAnswer):
                self._dispatcher.record_result(call, member, None)
                return result
            last = result
            self._dispatcher.record_result(call, member, result)
            if not await self._dispatcher.may_retry(call, member, result):
                break
        if last is not None and last.answer is not None:
            return last.answer
        return self._dispatcher.refusal_for(call, last)

    async def _attempt(
        self, call: calls.Call, choice: placement.Choice
    ) -> outbound.CompleteAnswer | outbound.FailedAttempt:
        started = await self._dispatcher.start(
            call, choice, "", "", self._head_timeout(call)
        )
        if isinstance(started, outbound.FailedAttempt):
            return started
        try:
            return await self._dispatcher.read_answer(call, started)
        finally:
            started.exchange.close()
            self._dispatcher.finish(choice.member)

    def _head_timeout(self, call: calls.Call) -> float:
        """Return the timeout for the response headers, in seconds."""
        time_left = self._dispatcher.time_left(call)
        attempts_left = call.route.attempts - call.attempt_counts.ran - 1
        if not call.route.retryable or attempts_left <= 0:
            return time_left
        target_timeout = call.route.target_latency * TARGET_LATENCY_FACTOR
        return min(target_timeout, time_left * ATTEMPT_TIME_SHARE)
