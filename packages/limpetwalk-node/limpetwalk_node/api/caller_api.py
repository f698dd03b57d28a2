"""HTTP interface for callers: admission, routing and refusals."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

from aiohttp import web
from loguru import logger

from limpetwalk import clock as clocks
from limpetwalk import metrics as measures
from limpetwalk import refusals
from limpetwalk.conf import snapshot
from limpetwalk.gateway import memory_account

from .. import caller_writes
from .. import lifecycle
from .. import protocols
from . import authentication
from . import bodies
from . import calls
from . import errors
from . import keyed_refusals
from . import request_ids
from . import workspace_limits

# Seconds after which a request refused by this node may be retried.
UNAVAILABLE_RETRY_AFTER = 1.0

Endpoint = Callable[[calls.Call], Awaitable[web.StreamResponse]]


class CallerApi:
    """Admits each request, passes it to its endpoint and answers refusals.

    :param config: configuration in force.
    :param node_lifecycle: phase of the node and count of work in flight.
    :param is_full: returns whether this node stores so many unwritten bill
        entries that it may accept no more work.
    :param clock: clock for latencies and rate limits.
    :param metrics: metrics of the process.
    :param rng: source of request identifiers.
    """

    def __init__(
        self,
        config: protocols.ConfigSource,
        node_lifecycle: lifecycle.Lifecycle,
        is_full: Callable[[], bool],
        clock: clocks.Clock,
        metrics: measures.Metrics,
        rng: random.Random,
    ) -> None:
        self._config = config
        self._lifecycle = node_lifecycle
        self._is_full = is_full
        self._clock = clock
        self._rng = rng
        self._keys = authentication.KeyDirectory()
        self._limiter = workspace_limits.WorkspaceLimiter(clock)
        self._refusals = errors.RefusalCounter(metrics)
        yields = metrics.counter(
            "limpetwalk_yields",
            "Bodies and answers that gave way to others, by part.",
            ("part",),
        )
        self._memory = memory_account.MemoryAccount(
            self._bodies_limit,
            on_yield=lambda part: yields.labels(part).inc(),
        )
        self._exact: dict[tuple[str, str], Endpoint] = {}
        self._prefixed: list[tuple[str, Endpoint]] = []
        self._latency = metrics.latency(
            "limpetwalk_request",
            "Time from a request's headers to the end of its response.",
        )
        self._disconnects = metrics.counter(
            "limpetwalk_callers_left",
            "Requests whose caller left before the answer was whole.",
        )

    def add(self, method: str, path: str, endpoint: Endpoint) -> None:
        """Register the endpoint of a method and an exact path."""
        self._exact[(method, path)] = endpoint

    def add_prefix(self, prefix: str, endpoint: Endpoint) -> None:
        """Register the endpoint of all methods and paths under a prefix."""
        self._prefixed.append((prefix, endpoint))

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answer one request.

        The response is sent here rather than by the server after the return,
        so that a request is in flight until its caller has the full answer.
        """
        request_id = request_ids.make_request_id(self._clock, self._rng)
        started_at = self._clock.monotonic()
        self._lifecycle.begin_work()
        try:
            resp = await self._answer(req, request_id)
            await caller_writes.await_write(req, resp.prepare(req))
            await caller_writes.await_write(req, resp.write_eof())
        except (asyncio.CancelledError, ConnectionResetError):
            self._disconnects.inc()
            raise
        finally:
            self._lifecycle.end_work()
            self._latency.record(self._clock.monotonic() - started_at)
        return resp

    async def _answer(
        self, req: web.BaseRequest, request_id: str
    ) -> web.StreamResponse:
        """Return the response to a request, which may be a refusal."""
        try:
            resp = await self._serve(req, request_id)
        except refusals.Refused as exc:
            refusal = keyed_refusals.correct_run_state(req, exc.refusal)
            resp = self._refuse(refusal, request_id)
        except ConnectionResetError:
            raise
        except Exception:
            logger.exception(
                "request {} failed with an unexpected error", request_id
            )
            resp = self._refuse(errors.internal_error(), request_id)
        if self._lifecycle.phase is lifecycle.Phase.DRAINING:
            resp.force_close()
        return resp

    def refuse_unreadable(self, refusal: refusals.Refusal) -> web.Response:
        """Return the response to a request that can't be parsed."""
        request_id = request_ids.make_request_id(self._clock, self._rng)
        return self._refuse(refusal, request_id)

    async def _serve(
        self, req: web.BaseRequest, request_id: str
    ) -> web.StreamResponse:
        applied = self._accept_request(req)
        header = req.headers.get("Authorization")
        workspace = self._keys.authenticate(applied, header)
        endpoint = self._find_endpoint(req)
        with self._limiter.admit(workspace):
            body = bodies.IncomingBody(self._memory, workspace.name)
            try:
                return await endpoint(
                    calls.Call(req, request_id, applied, workspace, body)
                )
            finally:
                body.held.release()

    def _bodies_limit(self) -> float:
        applied = self._config.current()
        tuning = applied.snapshot.tuning if applied else snapshot.Tuning()
        return tuning.bodies_limit_bytes

    def _accept_request(
        self, req: web.BaseRequest
    ) -> snapshot.AppliedSnapshot:
        """Return the configuration in force if new work is accepted.

        :raises Refused: when this node accepts no new work.
        """
        if self._lifecycle.phase is lifecycle.Phase.DRAINING:
            raise _unavailable(
                refusals.Reason.SHUTTING_DOWN,
                "This node is shutting down; another one takes the request.",
            )
        applied = self._config.current()
        if applied is None:
            raise _unavailable(
                refusals.Reason.NOT_READY,
                "This node has no configuration yet.",
            )
        if not self._config.is_fresh():
            raise _unavailable(
                refusals.Reason.CONFIGURATION_STALE,
                "This node can't confirm that its configuration is in force.",
            )
        if self._is_full():
            exc = _unavailable(
                refusals.Reason.STORE_UNAVAILABLE,
                "This node holds as many bill entries as it may.",
            )
            raise refusals.Refused(
                keyed_refusals.with_unknown_run_state(req, exc.refusal)
            )
        return applied

    def _find_endpoint(self, req: web.BaseRequest) -> Endpoint:
        path = req.rel_url.raw_path
        endpoint = self._exact.get((req.method, path))
        if endpoint is not None:
            return endpoint
        for prefix, prefix_endpoint in self._prefixed:
            if path.startswith(prefix):
                return prefix_endpoint
        raise refusals.Refused(
            refusals.Refusal(
                refusals.Reason.UNKNOWN_ROUTE,
                refusals.RunState.NOT_RUN,
                404,
                f"Nothing is served under {req.method} {path[:200]!r}.",
            )
        )

    def _refuse(
        self, refusal: refusals.Refusal, request_id: str
    ) -> web.Response:
        self._refusals.count(refusal)
        return errors.error_response(refusal, request_id)


def _unavailable(reason: refusals.Reason, message: str) -> refusals.Refused:
    return refusals.Refused(
        refusals.Refusal(
            reason,
            refusals.RunState.NOT_RUN,
            503,
            message,
            retry_after=UNAVAILABLE_RETRY_AFTER,
        )
    )
