"""Endpoints ``/services/{name}/{path}`` and ``GET /outcomes/{key}``."""

import base64
from collections.abc import Callable
import hashlib
from typing import Any

from aiohttp import web

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import metrics as measures
from limpetwalk import refusals
from limpetwalk.backends import base as backends
from limpetwalk.conf import snapshot
from limpetwalk.records import base as records
from limpetwalk.routing import access
from limpetwalk.routing import service_routes
from limpetwalk.routing import work

from .. import protocols
from ..billing import answer_biller
from ..records import non_idempotent_runner
from ..records import record_refusals
from . import calls
from . import chat
from . import errors

SERVICES_PREFIX = "/services/"
OUTCOMES_PREFIX = "/outcomes/"
REPLAYED_HEADER = "Idempotent-Replayed"
# Request headers that are forwarded to the service.
FORWARDED_HEADERS = ("Content-Type", "Accept", "Accept-Language")
# Response headers of a single hop, which are not returned to the caller.
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-encoding",
        "content-length",
        "date",
        "keep-alive",
        "server",
        "transfer-encoding",
    )
)


class ServiceEndpoint:
    """Endpoint that calls plain services.

    :param config: returns the configuration in force.
    :param services: calls plain services.
    :param runner: runs non-idempotent calls.
    :param biller: writes bill entries.
    :param clock: clock for deadlines.
    :param metrics: metrics of the process.
    """

    def __init__(
        self,
        config: Callable[[], snapshot.AppliedSnapshot],
        services: protocols.ServiceCaller,
        runner: non_idempotent_runner.NonIdempotentRunner,
        biller: answer_biller.AnswerBiller,
        clock: clocks.Clock,
        metrics: measures.Metrics,
    ) -> None:
        self._config = config
        self._services = services
        self._runner = runner
        self._biller = biller
        self._clock = clock
        self._answers = metrics.counter(
            "limpetwalk_answers",
            "Whole answers by the kind of request.",
            ("kind",),
        )

    async def __call__(self, call: calls.Call) -> web.StreamResponse:
        """Answer one call of a plain service.

        :raises Refused: when no answer could be obtained.
        """
        path = call.req.rel_url.raw_path[len(SERVICES_PREFIX) :]
        name, _, subpath = path.partition("/")
        cfg = call.applied.snapshot
        service = access.get_service(cfg, call.workspace, name)
        route = service_routes.match_route(service, call.req.method, subpath)
        key = call.idempotency_key()
        if not route.idempotent and key is None:
            raise record_refusals.key_missing()
        item = await self._make_work(
            call, service.name, subpath, service.timeout
        )
        if route.idempotent:
            return await self._call_idempotent(call, item)
        return await self._run_non_idempotent(call, item, key or "")

    async def _make_work(
        self, call: calls.Call, service: str, subpath: str, timeout: float
    ) -> work.ServiceWork:
        body = await call.body()
        query = call.req.rel_url.raw_query_string
        headers = call.req.headers

        def check_still_allowed() -> None:
            cfg = self._config().snapshot
            access.check_service(cfg, call.workspace.name, service)

        return work.ServiceWork(
            request_id=call.request_id,
            service=service,
            method=call.req.method,
            path=f"/{subpath}?{query}" if query else f"/{subpath}",
            headers={
                name: headers[name]
                for name in FORWARDED_HEADERS
                if name in headers
            },
            body=body,
            priority=call.workspace.priority,
            deadline=self._clock.monotonic() + call.timeout(timeout),
            check=check_still_allowed,
        )

    async def _call_idempotent(
        self, call: calls.Call, item: work.ServiceWork
    ) -> web.Response:
        answer = await self._services.call(item)
        await self._biller.write_service_call(
            call.workspace.name,
            chat.billing_key(call, item.body),
            item.request_id,
            item.service,
        )
        self._answers.labels("idempotent").inc()
        return _response(answer, item.request_id, replayed=False)

    async def _run_non_idempotent(
        self, call: calls.Call, item: work.ServiceWork, key: str
    ) -> web.Response:
        digest = request_digest(
            item.method, item.service, item.path, item.body
        )
        ident = records.RecordIdent(call.workspace.name, key, digest)
        outcome = await self._runner.run(ident, item)
        self._answers.labels(
            "replayed" if outcome.replayed else "non_idempotent"
        ).inc()
        return _response(outcome.answer, outcome.request_id, outcome.replayed)


class OutcomeEndpoint:
    """Endpoint that returns the outcome of an idempotency key.

    :param store: durable records.
    :param runner: resolves records without a final outcome.
    """

    def __init__(
        self,
        store: records.RecordStore,
        runner: non_idempotent_runner.NonIdempotentRunner,
    ) -> None:
        self._store = store
        self._runner = runner

    async def __call__(self, call: calls.Call) -> web.StreamResponse:
        """Return the recorded outcome of a key of the caller's workspace.

        :raises Refused: when nothing is recorded or the store is unavailable.
        """
        key = call.req.rel_url.path[len(OUTCOMES_PREFIX) :]
        try:
            record = await self._store.read(call.workspace.name, key)
        except exceptions.StoreError:
            raise _refused(
                refusals.Reason.STORE_UNAVAILABLE,
                503,
                "The record can't be read now.",
            ) from None
        if record is None:
            raise _refused(
                refusals.Reason.UNKNOWN_OUTCOME_KEY,
                404,
                "Nothing is recorded under this Idempotency-Key.",
            )
        record = await self._runner.resolve(record)
        return web.json_response(_describe(record))


def _refused(
    reason: refusals.Reason, status: int, message: str
) -> refusals.Refused:
    return refusals.Refused(
        refusals.Refusal(reason, refusals.RunState.UNKNOWN, status, message)
    )


def _describe(record: records.Record) -> dict[str, Any]:
    outcome: dict[str, Any] = {
        "key": record.ident.key,
        "state": record.state.value,
        "run": _run_state(record.state).value,
        "request_id": record.request_id,
    }
    if record.answer is not None:
        outcome["answer"] = {
            "status": record.answer.status,
            "headers": _end_to_end(record.answer),
            "body_base64": base64.b64encode(record.answer.body).decode(),
        }
    return outcome


def _run_state(state: records.RecordState) -> refusals.RunState:
    if state is records.RecordState.ANSWERED:
        return refusals.RunState.RUN
    if state is records.RecordState.NOT_RUN:
        return refusals.RunState.NOT_RUN
    return refusals.RunState.UNKNOWN


def request_digest(method: str, service: str, path: str, body: bytes) -> str:
    """Return the digest that identifies a retry of the same request."""
    head = f"{method}\n{service}{path}\n".encode()
    return hashlib.sha256(head + body).hexdigest()


def _end_to_end(answer: backends.ServiceAnswer) -> dict[str, str]:
    return {
        name: value
        for name, value in answer.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    }


def _response(
    answer: backends.ServiceAnswer, request_id: str, replayed: bool
) -> web.Response:
    headers = _end_to_end(answer)
    headers[errors.REQUEST_ID_HEADER] = request_id
    if replayed:
        headers[REPLAYED_HEADER] = "true"
    return web.Response(
        status=answer.status, body=answer.body, headers=headers
    )
