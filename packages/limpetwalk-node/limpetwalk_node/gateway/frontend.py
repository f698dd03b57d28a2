"""HTTP frontend that reads and answers the requests of callers."""

import asyncio
import dataclasses
import logging
import math
from typing import Any

from aiohttp import web
from result import Err

from limpetwalk import clock as clocks
from limpetwalk import metrics as metrics_
from limpetwalk.gateway import call as calls
from limpetwalk.gateway import memory_account
from limpetwalk.gateway import refusal
from limpetwalk.gateway import types

from . import admission
from . import caller_connection
from . import cluster_state
from . import dispatch
from . import events
from . import logs
from . import outbound
from . import plain
from . import replies
from . import streaming

# Time added to the operator's idle limit before a connection is closed,
# seconds. Callers stop reusing a connection well before the limit.
IDLE_MARGIN = 5.0
# Time that a request may wait for the node's first read of the store, and the
# interval between two checks, seconds. A read takes some milliseconds. Callers
# abandon a request whose body isn't read within a third of their timeout.
FIRST_READ_TIMEOUT = 0.25
FIRST_READ_CHECK_INTERVAL = 0.01
# Timeout for reading a request body, seconds.
BODY_TIMEOUT = 10.0
# Retry-After of a stopping node, seconds.
STOPPING_RETRY_AFTER = 0.05
# Size of a request line that is allowed besides the headers, bytes.
REQUEST_LINE_BYTES = 8192
# Largest number of headers of a request.
MAX_HEADERS = 200

_NO_ACCESS_LOG = logging.getLogger("limpetwalk.access")
_NO_ACCESS_LOG.setLevel(logging.CRITICAL)


@dataclasses.dataclass(slots=True, eq=False)
class _OpenRequest:
    """Request that is being answered.

    :param task: task that answers it.
    :param call: the call that it makes, once the request was read.
    :param held: what it holds until it has ended.
    :param ended: whether the node ends it because it stops.
    """

    task: "asyncio.Task[Any] | None"
    call: calls.Call | None = None
    held: memory_account.HeldBytes | None = None
    ended: bool = False


class Frontend(web.Server):
    """HTTP server for callers.

    :param state: configuration, servers and nodes known to this node.
    :param memory: account of the bytes that the node holds.
    """

    def __init__(
        self,
        state: cluster_state.ClusterState,
        admission_checks: admission.Admission,
        dispatcher: dispatch.Dispatcher,
        memory: memory_account.MemoryAccount,
        clock: clocks.Clock,
        journal: logs.Journal,
        metrics: metrics_.Metrics,
    ) -> None:
        super().__init__(self._handle, handler_cancellation=True)
        self._cluster_state = state
        self._admission = admission_checks
        self._dispatcher = dispatcher
        self._memory = memory
        self._clock = clock
        self._journal = journal
        self._plain = plain.PlainForwarder(dispatcher)
        self._streams = streaming.StreamForwarder(
            dispatcher, lambda: self.closing
        )
        self._background: set[asyncio.Task[Any]] = set()
        self._open: set[_OpenRequest] = set()
        self.closing = False
        self.refusing_late = False
        self._ends_at = math.inf
        self._last_request_at = -math.inf
        # Requests that the node ended because it stops.
        self.ended_requests = 0
        self._requests = metrics.counter(
            "limpetwalk_requests", "Requests by status.", ("status",)
        )
        self._refusals = metrics.counter(
            "limpetwalk_refusals",
            "Answers of the gateway's own, by reason.",
            ("reason",),
        )
        self._limits = metrics.counter(
            "limpetwalk_caller_limits",
            "Connections of callers closed at a limit of a head, by limit.",
            ("limit",),
        )
        self._latency = metrics.latency(
            "limpetwalk_request",
            "Time from a request's header to its end.",
        )
        metrics.gauge(
            "limpetwalk_open_requests", "Requests under way."
        ).set_function(lambda: self.open_requests)

    def __call__(self) -> web.RequestHandler:
        """Return the protocol handler of a new connection."""
        current_catalog = self._cluster_state.catalog
        limits = (
            current_catalog.config.limits
            if current_catalog
            else types.Limits()
        )
        return caller_connection.CallerConnection(
            self,
            limits=caller_connection.HeadLimits(
                limits.header_bytes + REQUEST_LINE_BYTES, limits.header_timeout
            ),
            on_limit=lambda limit: self._limits.labels(limit).inc(),
            loop=asyncio.get_running_loop(),
            access_log=_NO_ACCESS_LOG,
            keepalive_timeout=limits.idle_timeout + IDLE_MARGIN,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            max_headers=MAX_HEADERS,
            auto_decompress=False,
        )

    @property
    def open_requests(self) -> int:
        """Number of requests that are being answered."""
        return len(self._open)

    @property
    def answering(self) -> bool:
        """Whether callers have not received all of their answers."""
        return bool(self._open) or any(
            isinstance(conn, caller_connection.CallerConnection)
            and conn.answering
            for conn in self.connections
        )

    @property
    def busy(self) -> bool:
        """Whether requests, or calls whose caller has left, are running."""
        return bool(self._background) or self.answering

    @property
    def quiet_time(self) -> float:
        """Time since the last request was read, in seconds."""
        return self._clock.monotonic() - self._last_request_at

    def begin_stop(self, time_left: float) -> None:
        """Close each connection with its next answer.

        :param time_left: time in which all answers must end, in seconds.
        """
        self.closing = True
        self._ends_at = self._clock.monotonic() + time_left

    def end_open_requests(self) -> None:
        """Answer the requests for which the node has no time left.

        An answer that has begun is broken off. Requests that are read from
        now on are refused, since connections are about to be closed.
        """
        self.refusing_late = True
        self._ends_at = -math.inf
        for request in self._open:
            self.ended_requests += 1
            request.ended = True
            if request.task is not None:
                request.task.cancel()

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        conn = req.protocol
        assert isinstance(conn, caller_connection.CallerConnection)
        conn.begin_request(req.content)
        try:
            return await self._handle_request(req)
        finally:
            conn.end_request()

    async def _handle_request(
        self, req: web.BaseRequest
    ) -> web.StreamResponse:
        open_request = _OpenRequest(asyncio.current_task())
        self._open.add(open_request)
        arrived = self._clock.monotonic()
        self._last_request_at = arrived
        caller_attempt_id = req.headers.get(
            self._dispatcher.header_format.names.attempt, ""
        )
        try:
            resp = await self._answer(
                req, arrived, caller_attempt_id, open_request
            )
        except asyncio.CancelledError:
            if open_request.ended and not _has_begun(req):
                return self._end_request(
                    open_request, caller_attempt_id, arrived
                )
            elapsed_ms = int((self._clock.monotonic() - arrived) * 1000)
            if open_request.ended:
                self._journal.emit(
                    events.RequestFailed(
                        caller_attempt_id,
                        0,
                        refusal.Reason.STOPPED.label,
                        elapsed_ms,
                        0,
                    )
                )
            else:
                self._journal.emit(
                    events.RequestAbandoned(caller_attempt_id, elapsed_ms, 0)
                )
            raise
        except Exception as exc:
            self._journal.emit(
                events.UnexpectedError(
                    "handling a request", repr(exc), caller_attempt_id
                )
            )
            resp = self._refuse(
                refusal.Refusal(refusal.Reason.INTERNAL),
                caller_attempt_id,
                arrived,
            )
        finally:
            self._open.discard(open_request)
            if open_request.held is not None:
                open_request.held.release()
        if self.closing and not resp.prepared and not _has_next(req):
            resp.force_close()
        self._requests.labels(str(resp.status)).inc()
        self._latency.record(self._clock.monotonic() - arrived)
        return resp

    async def _answer(
        self,
        req: web.BaseRequest,
        arrived: float,
        caller_attempt_id: str,
        open_request: _OpenRequest,
    ) -> web.StreamResponse:
        if not self._cluster_state.ready:
            await self._wait_until_ready()
        admitted = self._admission.admit(req)
        if isinstance(admitted, Err):
            return self._refuse(admitted.err_value, caller_attempt_id, arrived)
        workspace = admitted.ok_value.workspace
        held = self._memory.body(workspace.name if workspace else "")
        open_request.held = held
        try:
            body = await outbound.with_timeout(
                self._admission.read_body(req, held), BODY_TIMEOUT
            )
        except TimeoutError:
            slow_body = refusal.Refusal(refusal.Reason.SLOW_BODY)
            return self._refuse(slow_body, caller_attempt_id, arrived)
        if isinstance(body, Err):
            return self._refuse(body.err_value, caller_attempt_id, arrived)
        if admitted.ok_value.catalog is not self._cluster_state.catalog:
            # The key or the route may be gone since the headers were read.
            admitted = self._admission.admit(req)
            if isinstance(admitted, Err):
                return self._refuse(
                    admitted.err_value, caller_attempt_id, arrived
                )
        call = self._admission.build_call(
            req, admitted.ok_value, body.ok_value, arrived
        )
        if self.refusing_late and self._may_be_cut(call):
            stopping = refusal.Refusal(
                refusal.Reason.STOPPING, STOPPING_RETRY_AFTER
            )
            return self._refuse(stopping, caller_attempt_id, arrived, call)
        open_request.call = call
        if not self._dispatcher.poison_requests.may_start(call):
            poison = refusal.Refusal(refusal.Reason.POISON)
            return self._refuse(poison, caller_attempt_id, arrived, call)
        self._dispatcher.budget(call.service).record_request()
        permit = await self._dispatcher.request_queue.enter(call)
        if isinstance(permit, Err):
            return self._refuse(
                permit.err_value, caller_attempt_id, arrived, call
            )
        try:
            return await self._serve(call, req, open_request)
        finally:
            self._dispatcher.request_queue.leave(permit.ok_value)

    async def _serve(
        self,
        call: calls.Call,
        req: web.BaseRequest,
        open_request: _OpenRequest,
    ) -> web.StreamResponse:
        if call.route.streaming:
            return await self._stream(call, req)
        if call.route.retryable:
            return self._finish_plain(call, await self._plain.serve(call))
        return await self._serve_to_completion(call, open_request)

    def _may_be_cut(self, call: calls.Call) -> bool:
        """Whether a call may need more time than this node has left."""
        return call.route.streaming or call.deadline > self._ends_at

    def _end_request(
        self,
        request: _OpenRequest,
        caller_attempt_id: str,
        arrived: float,
    ) -> web.StreamResponse:
        """Answer a request that this node has no time left for.

        A request that was sent to a server may have run.
        """
        if request.task is not None:
            request.task.uncancel()
        call = request.call
        answer = refusal.Refusal(refusal.Reason.STOPPING, STOPPING_RETRY_AFTER)
        if call is not None and call.tried_servers:
            answer = refusal.Refusal(refusal.Reason.STOPPED)
        resp = self._refuse(answer, caller_attempt_id, arrived, call)
        resp.force_close()
        self._requests.labels(str(resp.status)).inc()
        return resp

    async def _wait_until_ready(self) -> None:
        """Wait until the store was read once, up to a time limit."""
        wait_until = self._clock.monotonic() + FIRST_READ_TIMEOUT
        while (
            not self._cluster_state.ready
            and self._clock.monotonic() < wait_until
        ):
            await asyncio.sleep(FIRST_READ_CHECK_INTERVAL)

    async def _serve_to_completion(
        self, call: calls.Call, open_request: _OpenRequest
    ) -> web.StreamResponse:
        """Serve a call that continues to run when the caller has left."""
        task = asyncio.create_task(self._plain.serve(call))
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        held, open_request.held = open_request.held, None
        if held is not None:
            task.add_done_callback(lambda done: held.release())
        return self._finish_plain(call, await asyncio.shield(task))

    def _finish_plain(
        self,
        call: calls.Call,
        result: outbound.CompleteAnswer | refusal.Refusal,
    ) -> web.StreamResponse:
        if isinstance(result, refusal.Refusal):
            return self._refuse(
                result, call.caller_attempt_id, call.arrived_at, call
            )
        elapsed_seconds = self._clock.monotonic() - call.arrived_at
        self._journal.emit(
            self._request_ended(
                call, result.head.status, result.server, elapsed_seconds
            )
        )
        return replies.complete_response(result, self._memory)

    async def _stream(
        self, call: calls.Call, req: web.BaseRequest
    ) -> web.StreamResponse:
        result = await self._streams.serve(call, req)
        if not isinstance(result, streaming.Relay):
            return self._finish_plain(call, result)
        assert result.response is not None
        if result.complete:
            self._journal.emit(
                dataclasses.replace(
                    self._request_ended(
                        call,
                        result.status,
                        result.server,
                        result.first_at - call.arrived_at,
                    ),
                    model=result.model,
                    confidence=result.confidence,
                    event_ms=_milliseconds(result.pace.seconds_per_event()),
                )
            )
            return result.response
        await result.close()
        elapsed_ms = int((self._clock.monotonic() - call.arrived_at) * 1000)
        self._journal.emit(
            events.RequestFailed(
                call.caller_attempt_id,
                0,
                "stream_broken_off",
                elapsed_ms,
                call.attempt_counts.sent,
            )
        )
        return result.response

    def _request_ended(
        self, call: calls.Call, status: int, server: str, first: float
    ) -> events.RequestEnded:
        elapsed_seconds = self._clock.monotonic() - call.arrived_at
        member = self._cluster_state.fleet.get(server)
        return events.RequestEnded(
            request=call.caller_attempt_id,
            status=status,
            server=server,
            model="",
            confidence=-1,
            first_ms=int(first * 1000),
            took_ms=int(elapsed_seconds * 1000),
            offers=call.attempt_counts.sent + 1,
            version=member.entry.version if member else "",
            event_ms=-1,
        )

    def _refuse(
        self,
        answer: refusal.Refusal,
        caller_attempt_id: str,
        arrived: float,
        call: calls.Call | None = None,
    ) -> web.StreamResponse:
        self._refusals.labels(answer.reason.label).inc()
        current_catalog = self._cluster_state.catalog
        if answer.reason.status in (500, 502, 504):
            elapsed_ms = int((self._clock.monotonic() - arrived) * 1000)
            self._journal.emit(
                events.RequestFailed(
                    caller_attempt_id,
                    answer.reason.status,
                    answer.reason.label,
                    elapsed_ms,
                    call.attempt_counts.sent if call else 0,
                )
            )
        else:
            self._journal.emit(
                events.RequestRefused(
                    request=caller_attempt_id,
                    status=answer.reason.status,
                    reason=answer.reason.label,
                    retry_after_s=answer.retry_after or 0.0,
                    config=current_catalog.version if current_catalog else 0,
                    route=call.route.name if call else "",
                    servers=len(self._cluster_state.fleet),
                )
            )
        names = self._dispatcher.header_format.names
        return replies.refusal_response(
            answer, names.attempt, caller_attempt_id
        )


def _has_next(req: web.BaseRequest) -> bool:
    """Whether the connection has a further request to answer."""
    conn = req.protocol
    return (
        isinstance(conn, caller_connection.CallerConnection) and conn.has_next
    )


def _has_begun(req: web.BaseRequest) -> bool:
    """Whether the head of an answer was written, or is about to be."""
    writer = req.writer
    return bool(writer.output_size or getattr(writer, "chunked", False))


def _milliseconds(seconds: float | None) -> int:
    return -1 if seconds is None else int(seconds * 1000)
