"""Forwards event streams and resumes them at other servers."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import math

from aiohttp import web

from limpetwalk.gateway import answer_pace
from limpetwalk.gateway import buffers
from limpetwalk.gateway import call as calls
from limpetwalk.gateway import eventstream
from limpetwalk.gateway import model_escalation
from limpetwalk.gateway import placement
from limpetwalk.gateway import refusal
from limpetwalk.gateway import retries
from limpetwalk.gateway import stream_progress

from . import dispatch
from . import events
from . import outbound
from . import replacements
from . import replies
from . import upstream

# Lower bound of the time after which another server is asked besides a silent
# one, seconds. A long prompt of another request may delay an engine for as
# long.
MIN_SILENCE_TIMEOUT = 0.5
EVENT_STREAM_TYPE = "text/event-stream"


_Answers = replacements.Replacements[outbound.StartedAnswer]


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
        call.patience = _head_patience(call)
        relay = Relay(call, req, self._dispatcher, self._closing)
        search = _Search(
            call, relay, self._dispatcher, self._start_model(call)
        )
        answers: _Answers = replacements.Replacements(
            search.run,
            lambda started: self._dispatcher.discard(call, started),
            search.try_add,
            lambda exc: self._dispatcher.log_error(call, exc),
        )
        try:
            result = await self._relay(call, relay, search, answers)
        except Exception as exc:
            if not relay.started:
                raise
            self._dispatcher.log_error(call, exc)
            return relay
        finally:
            answers.drop()
        if result is not None:
            return result
        if relay.started:
            return relay
        last = search.last_failure
        if last is not None and last.answer is not None:
            return last.answer
        return self._dispatcher.refusal_for(call, last)

    async def _relay(
        self,
        call: calls.Call,
        relay: "Relay",
        search: "_Search",
        answers: _Answers,
    ) -> "Relay | outbound.CompleteAnswer | None":
        """Relay answers until one is complete, None when none is."""
        while (started := await answers.first(call.patience)) is not None:
            self._dispatcher.use(call, started)
            call.answering_since = None
            result = await self._use(call, started, relay, search, answers)
            if isinstance(result, outbound.FailedAttempt):
                if not await search.may_go_on(started, result, answers):
                    return None
                continue
            if isinstance(result, _Escalation):
                search.escalate(started, result.model)
                continue
            self._dispatcher.record_result(call, started.member, None)
            if isinstance(result, outbound.CompleteAnswer):
                return result
            relay.complete = True
            return relay
        return None

    async def _use(
        self,
        call: calls.Call,
        started: outbound.StartedAnswer,
        relay: "Relay",
        search: "_Search",
        answers: _Answers,
    ) -> (
        "outbound.FailedAttempt | outbound.CompleteAnswer | _Escalation | None"
    ):
        try:
            if not started.head.is_success:
                return await self._dispatcher.read_answer(call, started)
            escalation = None
            if search.may_escalate:
                escalation = self._escalation(call, started, relay)
            if escalation is not None:
                return escalation
            return await relay.run(started, answers)
        finally:
            started.exchange.close()
            self._dispatcher.finish(started.member)

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


class _Escalation:
    """Decision to drop an answer and ask a larger model."""

    def __init__(self, model: str) -> None:
        self.model = model


class _Search:
    """Search for a server that begins to answer a call, or to resume it.

    :param model: model to ask before the stream has begun.
    """

    def __init__(
        self,
        call: calls.Call,
        relay: "Relay",
        dispatcher: dispatch.Dispatcher,
        model: str,
    ) -> None:
        self._call = call
        self._relay = relay
        self._dispatcher = dispatcher
        self._model = model
        self._dropped: outbound.StartedAnswer | None = None
        self.may_escalate = True
        self.last_failure: outbound.FailedAttempt | None = None

    async def run(self) -> outbound.StartedAnswer | None:
        """Send the call to one server after another until one begins."""
        call, dispatcher = self._call, self._dispatcher
        while dispatcher.time_left(call) > retries.MIN_TIME_LEFT:
            choice = self._place()
            if choice is None and self._return_to_dropped_model():
                continue
            if choice is None:
                return None
            started = await self._begin(choice)
            if isinstance(started, outbound.StartedAnswer):
                return started
            self.last_failure = outbound.preferred_failure(
                self.last_failure, started
            )
            dispatcher.record_result(call, choice.member, started)
            if not await dispatcher.may_retry(call, choice.member, started):
                return None
        return None

    def escalate(self, dropped: outbound.StartedAnswer, model: str) -> None:
        """Search for a server with a larger model.

        :param dropped: answer of the smaller model.
        """
        self._dropped = dropped
        self._model = model

    def _return_to_dropped_model(self) -> bool:
        """Ask the smaller model again if no larger one can be had."""
        if self._dropped is None or self._relay.started:
            return False
        self._call.tried_servers.discard(self._dropped.member.id)
        self._model, self._dropped = self._dropped.model, None
        self.may_escalate = False
        return True

    def try_add(self) -> bool:
        """Return whether another server is asked besides a silent one."""
        if self._place() is None:
            return False
        return self._dispatcher.try_replace(self._call)

    async def may_go_on(
        self,
        started: outbound.StartedAnswer,
        failure: outbound.FailedAttempt,
        answers: _Answers,
    ) -> bool:
        """Record that an answer failed; return whether to look for another."""
        call, dispatcher = self._call, self._dispatcher
        self.last_failure = failure
        dispatcher.record_result(call, started.member, failure)
        if answers.pending:
            dispatcher.log_attempt_ended(call, started.member, failure)
            return True
        return await dispatcher.may_retry(call, started.member, failure)

    def _place(self) -> placement.Choice | None:
        relay = self._relay
        model = relay.model or self._model
        return self._dispatcher.place(self._call, model, relay.version)

    async def _begin(
        self, choice: placement.Choice
    ) -> outbound.StartedAnswer | outbound.FailedAttempt:
        call, relay = self._call, self._relay
        if relay.started:
            self._dispatcher.journal.emit(
                events.StreamResumed(
                    call.caller_attempt_id,
                    choice.member.id,
                    relay.last_event,
                    "",
                )
            )
        started = await self._dispatcher.start(
            call, choice, relay.model or self._model, relay.last_event
        )
        if isinstance(started, outbound.FailedAttempt):
            return started
        failure = None
        if relay.started and not relay.is_continued_by(started.head):
            failure = outbound.FailedAttempt(
                retries.Outcome.FAILED,
                f"status {started.head.status}, not the rest of a stream",
            )
        elif started.head.is_success and call.attempt_counts.running > 1:
            # A head alone doesn't show that the server can go on.
            failure = await self._read_first_event(started)
        if failure is None:
            return started
        started.exchange.close()
        self._dispatcher.finish(started.member)
        return failure

    async def _read_first_event(
        self, started: outbound.StartedAnswer
    ) -> outbound.FailedAttempt | None:
        """Read up to the first new event; return why there is none."""
        call, dispatcher = self._call, self._dispatcher
        budget, limits = dispatcher.buffer_budget, dispatcher.limits
        try:
            with budget.open(
                limits.event_bytes, started.exchange.close
            ) as buffer:
                splitter = eventstream.EventSplitter(buffer)
                while True:
                    chunk = await outbound.with_timeout(
                        started.exchange.chunk(), dispatcher.time_left(call)
                    )
                    if not chunk:
                        raise upstream.IncompleteAnswer("no new event")
                    started.first_bytes += chunk
                    if any(map(self._relay.is_new, splitter.feed(chunk))):
                        return None
                    if len(started.first_bytes) > limits.event_bytes:
                        raise upstream.IncompleteAnswer("no new event")
        except upstream.IncompleteAnswer as exc:
            return outbound.FailedAttempt.incomplete(exc)
        except buffers.LimitExceeded as exc:
            return outbound.FailedAttempt(
                retries.Outcome.UNKNOWN, str(exc), limit=f"event_{exc.limit}"
            )
        except TimeoutError:
            return outbound.FailedAttempt(
                retries.Outcome.UNKNOWN, "no new event in time"
            )
        except asyncio.CancelledError:
            dispatcher.discard(call, started)
            raise


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
        self,
        started: outbound.StartedAnswer,
        answers: _Answers,
    ) -> outbound.FailedAttempt | None:
        """Forward events until the stream ends, breaks off or is replaced.

        :param answers: seeks a replacement while the server is silent.
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
                await self._forward_events(started, answers, buffer, progress)
        except upstream.IncompleteAnswer as exc:
            return outbound.FailedAttempt.incomplete(exc)
        except TimeoutError:
            return self._failed_attempt("no new event in time")
        except _Replaced:
            return self._failed_attempt("silent, and replaced")
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
        answers: _Answers,
        buffer: buffers.Buffer,
        progress: stream_progress.StreamProgress,
    ) -> None:
        splitter = eventstream.EventSplitter(buffer)
        chunk = started.first_bytes or await self._next_chunk(
            started, answers, buffer, progress
        )
        while chunk:
            for event in splitter.feed(chunk):
                if self.is_new(event):
                    answers.drop()
                    await self._forward_event(started, event)
                    progress.record_event()
                else:
                    progress.record_filler(len(event.data))
            chunk = await self._next_chunk(started, answers, buffer, progress)
        if splitter.partial:
            raise upstream.IncompleteAnswer("ended within an event")
        if self._call.answering_since is None and not started.head.marks_end:
            # The server may have crashed before its first event.
            raise upstream.IncompleteAnswer("ended without an event")

    async def _next_chunk(
        self,
        started: outbound.StartedAnswer,
        answers: _Answers,
        buffer: buffers.Buffer,
        progress: stream_progress.StreamProgress,
    ) -> bytes:
        exchange = started.exchange
        time_left = self._dispatcher.time_left(self._call)
        silence_left = progress.time_left(self._longest_silence)
        try:
            if not self._call.route.resumable or time_left <= silence_left:
                return await outbound.with_timeout(exchange.chunk(), time_left)
            if silence_left > 0 and not answers.pending:
                with contextlib.suppress(TimeoutError):
                    return await outbound.with_timeout(
                        exchange.chunk(), min(time_left, silence_left)
                    )
            return await self._read_or_replace(exchange, answers)
        finally:
            # An evicted buffer has closed the connection.
            buffer.check()

    async def _read_or_replace(
        self,
        exchange: upstream.Exchange,
        answers: _Answers,
    ) -> bytes:
        """Return the next bytes of a server that has been silent.

        :raises _Replaced: when another server has begun to answer.
        """

        async def read_chunk() -> bytes:
            time_left = self._dispatcher.time_left(self._call)
            return await outbound.with_timeout(exchange.chunk(), time_left)

        read = asyncio.create_task(read_chunk())
        try:
            if await answers.found_before(read, self._longest_silence):
                raise _Replaced
            return await read
        finally:
            read.cancel()
            await asyncio.gather(read, return_exceptions=True)

    @property
    def _longest_silence(self) -> float:
        """Time after which another server is asked besides, in seconds."""
        return max(MIN_SILENCE_TIMEOUT, self._call.route.largest_gap)

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

    def is_new(self, event: eventstream.StreamEvent) -> bool:
        """Whether the caller hasn't received an event and needs it."""
        return not event.comment and not self._is_duplicate(event)

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


class _Replaced(Exception):
    """Another server has begun to answer in place of a silent one."""


def _head_patience(call: calls.Call) -> float:
    """Return the seconds to wait for the head before another server is asked.

    Infinite when a silent server may not be replaced.
    """
    if not call.route.retryable:
        return math.inf
    return max(MIN_SILENCE_TIMEOUT, call.route.target_latency)


def _parse_confidence(text: str) -> int | None:
    try:
        return int(float(text))
    except ValueError:
        return None
