"""Forwards event streams and resumes them at other servers."""

from collections.abc import Callable
from collections.abc import Sequence

from aiohttp import web

from limpetwalk.gateway import answer_pace
from limpetwalk.gateway import buffers
from limpetwalk.gateway import call as calls
from limpetwalk.gateway import eventstream
from limpetwalk.gateway import fleet
from limpetwalk.gateway import model_escalation
from limpetwalk.gateway import placement
from limpetwalk.gateway import refusal
from limpetwalk.gateway import retries
from limpetwalk.gateway import stream_progress

from . import dispatch
from . import events
from . import outbound
from . import replies
from . import upstream

# Lower bound of the timeout for a silent server while other servers may still
# be tried, seconds. A long prompt of another request may delay an engine for
# as long.
MIN_SILENCE_TIMEOUT = 0.5
EVENT_STREAM_TYPE = "text/event-stream"


class StreamForwarder:
    """Forwards event streams.

    :param dispatcher: sends calls to servers.
    :param closing: returns whether callers' connections must be closed.
    """

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        closing: Callable[[], bool],
    ) -> None:
        self._dispatcher = dispatcher
        self._closing = closing
        self._escalations = model_escalation.ModelEscalation()

    async def serve(
        self, call: calls.Call, req: web.BaseRequest
    ) -> "Relay | outbound.CompleteAnswer | refusal.Refusal":
        """Relay the stream of one server after another until it is complete.

        :returns: the relay, complete or broken off, once the caller has
            received anything; a complete answer or a refusal otherwise.
        """
        relay = Relay(call, req, self._dispatcher, self._closing)
        last: outbound.FailedAttempt | None = None
        model = self._start_model(call)
        while self._dispatcher.time_left(call) > retries.MIN_TIME_LEFT:
            choice = self._dispatcher.place(call, model, relay.version)
            if choice is None:
                break
            member = choice.member
            result = await self._attempt(call, choice, model, relay)
            if result is None:
                self._dispatcher.record_result(call, member, None)
                relay.complete = True
                return relay
            if isinstance(result, outbound.CompleteAnswer):
                self._dispatcher.record_result(call, member, None)
                return result
            if isinstance(result, _Escalation):
                model = result.model
                continue
            last = result
            self._dispatcher.record_result(call, member, result)
            if not await self._dispatcher.may_retry(call, member, result):
                break
            model = relay.model or model
        if relay.started:
            return relay
        if last is not None and last.answer is not None:
            return last.answer
        return self._dispatcher.refusal_for(call, last)

    async def _attempt(
        self,
        call: calls.Call,
        choice: placement.Choice,
        model: str,
        relay: "Relay",
    ) -> (
        "outbound.FailedAttempt | outbound.CompleteAnswer | _Escalation | None"
    ):
        if relay.started:
            self._log_resumed(call, choice.member, relay)
        started = await self._dispatcher.start(
            call, choice, model, relay.last_event, self._head_timeout(call)
        )
        if isinstance(started, outbound.FailedAttempt):
            return started
        try:
            if relay.started and not relay.is_continued_by(started.head):
                return outbound.FailedAttempt(
                    retries.Outcome.FAILED,
                    f"status {started.head.status}, not the rest of a stream",
                )
            if not started.head.is_success:
                return await self._dispatcher.read_answer(call, started)
            escalation = self._escalation(call, started, relay)
            if escalation is not None:
                return escalation
            return await relay.run(started)
        finally:
            started.exchange.close()
            self._dispatcher.finish(choice.member)

    def _escalation(
        self, call: calls.Call, started: outbound.StartedAnswer, relay: "Relay"
    ) -> "_Escalation | None":
        """Return the escalation to a larger model, or None to keep the answer.

        An escalation takes from the retry budget.
        """
        if relay.started or not started.model:
            return None
        confidence = _parse_confidence(
            started.head.headers.get(
                self._dispatcher.header_format.names.confidence, ""
            )
        )
        relay.confidence = -1 if confidence is None else confidence
        if confidence is None:
            return None
        response = model_escalation.Response(started.model, confidence)
        if relay.responses:
            self._escalations.record(relay.responses[-1], response)
        relay.responses.append(response)
        larger = self._escalations.larger_models(
            call.route.models, relay.responses
        )
        if not larger:
            return None
        candidates = self._candidates(call, larger)
        model = self._escalations.choose(
            call.route.models,
            relay.responses,
            candidates,
            self._time_to_target(call),
        )
        reason = self._skip_reason(call, candidates, model)
        if model is None or reason:
            self._log_skipped(call, response, candidates, reason)
            return None
        self._dispatcher.record_dropped(call, started.member)
        self._dispatcher.journal.emit(
            events.RequestEscalated(
                call.caller_attempt_id, started.model, model, confidence
            )
        )
        return _Escalation(model)

    def _candidates(
        self, call: calls.Call, models: Sequence[str]
    ) -> list[model_escalation.Candidate]:
        """Return the larger models that have a server, with their times."""
        candidates = []
        for model in models:
            choice = self._dispatcher.place(call, model)
            if choice is not None:
                candidates.append(
                    model_escalation.Candidate(
                        model, choice.first_byte_seconds
                    )
                )
        return candidates

    def _skip_reason(
        self,
        call: calls.Call,
        candidates: Sequence[model_escalation.Candidate],
        model: str | None,
    ) -> str:
        """Return why no larger model is asked, or empty; use the budget."""
        if call.attempt_counts.ran + 1 >= call.route.attempts:
            return retries.NoRetryReason.ATTEMPTS.value
        if not candidates:
            return "no_server"
        if model is None:
            return "too_late"
        if not self._dispatcher.budget(call.service).try_take():
            return retries.NoRetryReason.BUDGET.value
        return ""

    def _log_skipped(
        self,
        call: calls.Call,
        response: model_escalation.Response,
        candidates: Sequence[model_escalation.Candidate],
        reason: str,
    ) -> None:
        fastest = min(
            (candidate.first_event for candidate in candidates), default=0.0
        )
        self._dispatcher.journal.emit(
            events.EscalationSkipped(
                request=call.caller_attempt_id,
                model=response.model,
                confidence=int(response.confidence),
                reason=reason,
                expected_ms=int(fastest * 1000),
                left_ms=int(self._time_to_target(call) * 1000),
            )
        )

    def _time_to_target(self, call: calls.Call) -> float:
        """Return the seconds left until the target latency."""
        now = self._dispatcher.clock.monotonic()
        return call.arrived_at + call.route.target_latency - now

    def _start_model(self, call: calls.Call) -> str:
        return model_escalation.start_model(call.route.models)

    def _head_timeout(self, call: calls.Call) -> float:
        """Return the timeout for the response headers, in seconds."""
        time_left = self._dispatcher.time_left(call)
        if call.attempt_counts.ran + 1 >= call.route.attempts:
            return time_left
        return min(
            time_left, max(MIN_SILENCE_TIMEOUT, call.route.target_latency)
        )

    def _log_resumed(
        self, call: calls.Call, member: fleet.Member, relay: "Relay"
    ) -> None:
        self._dispatcher.journal.emit(
            events.StreamResumed(
                call.caller_attempt_id, member.id, relay.last_event, ""
            )
        )


class _Escalation:
    """Decision to drop an answer and ask a larger model."""

    def __init__(self, model: str) -> None:
        self.model = model


class Relay:
    """One stream to the caller, fed by one server after another.

    :param call: call that is answered.
    """

    def __init__(
        self,
        call: calls.Call,
        req: web.BaseRequest,
        dispatcher: dispatch.Dispatcher,
        closing: Callable[[], bool],
    ) -> None:
        self._closing = closing
        self._call = call
        self._req = req
        self._dispatcher = dispatcher
        self._resp: web.StreamResponse | None = None
        self._media_type = ""
        self.last_event = call.last_event
        self.model = ""
        self.version = ""
        self.server = ""
        self.confidence = -1
        self.responses: list[model_escalation.Response] = []
        self.first_at = 0.0
        self.pace = answer_pace.AnswerPace()
        self.complete = False
        self.status = 0

    @property
    def started(self) -> bool:
        """Whether the caller has received anything."""
        return self._resp is not None

    @property
    def response(self) -> web.StreamResponse | None:
        """The response to the caller, None before it was started."""
        return self._resp

    def is_continued_by(self, head: upstream.ResponseHead) -> bool:
        """Whether an answer is the rest of the stream, by its head."""
        expected_types = (EVENT_STREAM_TYPE, self._media_type)
        return head.is_success and head.media_type in expected_types

    async def run(
        self, started: outbound.StartedAnswer
    ) -> outbound.FailedAttempt | None:
        """Forward events until the stream ends or breaks off.

        :returns: None for a complete stream, the failure otherwise.
        """
        limits = self._dispatcher.limits
        self.pace = answer_pace.AnswerPace()
        buffer = self._dispatcher.buffer_budget.open(
            limits.event_bytes, started.exchange.close
        )
        progress = stream_progress.StreamProgress(
            self._dispatcher.clock, limits.event_bytes
        )
        try:
            with buffer:
                await self._forward_events(started, buffer, progress)
        except upstream.IncompleteAnswer as exc:
            return outbound.FailedAttempt.incomplete(exc)
        except TimeoutError:
            return self._failed_attempt("no new event in time")
        except buffers.LimitExceeded as exc:
            return self._failed_attempt(str(exc), f"event_{exc.limit}")
        if self.pace.events < answer_pace.EVENTS_TO_JUDGE:
            self._record_pace(started)
        await self._finish(started)
        return None

    def _record_pace(self, started: outbound.StartedAnswer) -> None:
        seconds_per_event = self.pace.seconds_per_event()
        if seconds_per_event is not None:
            self._dispatcher.record_pace(
                self._call, started.member, started.model, seconds_per_event
            )

    async def _forward_events(
        self,
        started: outbound.StartedAnswer,
        buffer: buffers.Buffer,
        progress: stream_progress.StreamProgress,
    ) -> None:
        splitter = eventstream.EventSplitter(buffer)
        while chunk := await self._next_chunk(started, buffer, progress):
            for event in splitter.feed(chunk):
                if event.comment or self._is_duplicate(event):
                    progress.record_filler(len(event.data))
                else:
                    await self._forward_event(started, event)
                    progress.record_event()
        if splitter.partial:
            raise upstream.IncompleteAnswer("ended within an event")
        if self._call.answering_since is None and not started.head.marks_end:
            # The server may have crashed before its first event.
            raise upstream.IncompleteAnswer("ended without an event")

    async def _next_chunk(
        self,
        started: outbound.StartedAnswer,
        buffer: buffers.Buffer,
        progress: stream_progress.StreamProgress,
    ) -> bytes:
        try:
            return await outbound.with_timeout(
                started.exchange.chunk(), self._event_timeout(progress)
            )
        finally:
            # An evicted buffer has closed the connection.
            buffer.check()

    async def close(self) -> None:
        """Close the caller's connection, so the stream can't look complete."""
        if self._req.transport is not None:
            self._req.transport.close()

    def _failed_attempt(
        self, detail: str, limit: str = ""
    ) -> outbound.FailedAttempt:
        return outbound.FailedAttempt(
            retries.Outcome.UNKNOWN, detail, limit=limit
        )

    def _event_timeout(
        self, progress: stream_progress.StreamProgress
    ) -> float:
        """Return the seconds to wait for the next new event."""
        time_left = self._dispatcher.time_left(self._call)
        route = self._call.route
        attempts_left = route.attempts - self._call.attempt_counts.ran - 1
        if not route.resumable or attempts_left <= 0:
            # No other server can resume the stream, so silence alone must not
            # end this attempt.
            return time_left
        longest_pause = max(MIN_SILENCE_TIMEOUT, route.largest_gap)
        return min(time_left, progress.time_left(longest_pause))

    async def _forward_event(
        self, started: outbound.StartedAnswer, event: eventstream.StreamEvent
    ) -> None:
        await self._open(started)
        now = self._dispatcher.clock.monotonic()
        self.pace.record_event(now)
        if self.pace.events == answer_pace.EVENTS_TO_JUDGE:
            self._record_pace(started)
        if self._call.answering_since is None:
            self._call.answering_since = now
            self._dispatcher.poison_requests.record_answer(self._call)
        if event.id:
            self.last_event = event.id
        assert self._resp is not None
        await self._resp.write(event.data)

    def _is_duplicate(self, event: eventstream.StreamEvent) -> bool:
        """Whether the caller has received an event; ids only increase."""
        if not event.id.isdecimal() or not self.last_event.isdecimal():
            return False
        return int(event.id) <= int(self.last_event)

    async def _open(self, started: outbound.StartedAnswer) -> None:
        if self._resp is not None:
            return
        self.model = started.model
        self.version = started.member.entry.version
        self.server = started.member.id
        self.status = started.head.status
        self._media_type = started.head.media_type
        self.first_at = self._dispatcher.clock.monotonic()
        self._resp = web.StreamResponse(
            status=started.head.status,
            headers=replies.forwarded_headers(started.head.headers),
        )
        if self._closing():
            self._resp.force_close()
        await self._resp.prepare(self._req)

    async def _finish(self, started: outbound.StartedAnswer) -> None:
        await self._open(started)
        assert self._resp is not None
        await self._resp.write_eof()


def _parse_confidence(text: str) -> int | None:
    try:
        return int(float(text))
    except ValueError:
        return None
