"""Which requests come in, and what they ask for."""

import random

from aiohttp import web
from result import Err
from result import Ok
from result import Result
import xxhash

from limpetwalk.gateway import call as calls
from limpetwalk.gateway import catalog
from limpetwalk.gateway import ports
from limpetwalk.gateway import refusal
from limpetwalk.gateway import types

from . import cluster_state
from . import replies

# When a caller should come back to a node that knows no configuration yet,
# seconds: about the time of a read of the store.
START_RETRY_AFTER = 0.5
# Time kept back so that the last answer reaches the caller in time, seconds.
DEADLINE_MARGIN = 0.02
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class AdmittedRequest:
    """Request whose header was let in."""

    def __init__(
        self,
        known: catalog.Catalog,
        route: types.Route,
        workspace: types.Workspace | None,
    ) -> None:
        self.catalog = known
        self.route = route
        self.workspace = workspace


class Admission:
    """Checks requests against the configuration in force.

    :param rng: random source for split routes.
    """

    def __init__(
        self,
        state: cluster_state.ClusterState,
        wire: ports.Wire,
        rng: random.Random,
    ) -> None:
        self._cluster_state = state
        self._wire = wire
        self._rng = rng

    def admit(
        self, req: web.BaseRequest
    ) -> Result[AdmittedRequest, refusal.Refusal]:
        """Check host, path and key of a request."""
        known = self._cluster_state.catalog
        if known is None or not self._cluster_state.fleet.fully_read:
            return Err(
                refusal.Refusal(refusal.Reason.NO_CONFIG, START_RETRY_AFTER)
            )
        path = req.raw_path.partition("?")[0]
        route = known.route(req.headers.get("Host", ""), path)
        if route is None:
            return Err(refusal.Refusal(refusal.Reason.NO_ROUTE))
        workspace = None
        key = self._wire.api_key(req.headers)
        if key is not None:
            workspace = known.workspace(key)
        if workspace is None and known.config.keys and not route.public:
            return Err(refusal.Refusal(refusal.Reason.NO_KEY))
        return Ok(AdmittedRequest(known, route, workspace))

    async def read_body(self, req: web.BaseRequest) -> bytes | None:
        """Return the whole body, None when it is too large."""
        known = self._cluster_state.catalog
        limit = known.config.limits.body_bytes if known else 0
        if (req.content_length or 0) > limit:
            return None
        if not req.body_exists:
            return b""
        if req.headers.get("Expect", "").lower() == "100-continue":
            if req.transport is not None:
                req.transport.write(CONTINUE)
        data = bytearray()
        async for chunk in req.content.iter_any():
            data += chunk
            if len(data) > limit:
                return None
        return bytes(data)

    def call(
        self,
        req: web.BaseRequest,
        admitted: AdmittedRequest,
        body: bytes,
        arrived: float,
    ) -> calls.Call:
        """Return the call that a request makes."""
        names = self._wire.names
        route = admitted.route
        wait = _milliseconds(req.headers.get(names.deadline, ""))
        allowed = route.timeout if wait is None else min(wait, route.timeout)
        workspace = admitted.workspace
        return calls.Call(
            id=req.headers.get(names.attempt, ""),
            method=req.method,
            target=req.raw_path,
            headers=self._forwarded_headers(req),
            body=body,
            route=route,
            service=catalog.choose_target(route.targets, self._rng) or "",
            workspace=workspace,
            config_version=admitted.catalog.version,
            arrived_at=arrived,
            deadline=arrived + allowed - DEADLINE_MARGIN,
            prompt=self._wire.prompt(req.headers),
            last_event=req.headers.get(names.last_event, ""),
            session=req.headers.get(names.session, ""),
            fingerprint=_fingerprint(req, workspace, body),
        )

    def _forwarded_headers(
        self, req: web.BaseRequest
    ) -> list[tuple[bytes, bytes]]:
        named = req.headers.get("Connection", "").lower().split(",")
        dropped = (
            replies.CONNECTION_HEADERS
            | self._wire.names.reserved
            | {name.strip() for name in named}
            | {"expect"}
        )
        return [
            (name, value)
            for name, value in req.raw_headers
            if name.decode("latin-1").lower() not in dropped
        ]


def _milliseconds(text: str) -> float | None:
    """Return a duration in seconds, None when the text is none."""
    try:
        return max(0.0, float(text) / 1000) if text else None
    except ValueError:
        return None


def _fingerprint(
    req: web.BaseRequest, workspace: types.Workspace | None, body: bytes
) -> str:
    name = workspace.name if workspace else ""
    text = f"{req.method} {req.raw_path}\0{name}\0".encode()
    return xxhash.xxh3_64_hexdigest(text + body)
