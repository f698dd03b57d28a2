"""Admits requests and builds the calls that they make."""

import asyncio
import random

from aiohttp import web
from result import Err
from result import Ok
from result import Result
import xxhash

from limpetwalk.gateway import call as calls
from limpetwalk.gateway import catalog
from limpetwalk.gateway import memory_account
from limpetwalk.gateway import ports
from limpetwalk.gateway import refusal
from limpetwalk.gateway import types

from . import cluster_state
from . import replies

# Retry-After of a node that has no configuration yet, seconds: about the time
# that a read of the store takes.
START_RETRY_AFTER = 0.5
# Bounds of the Retry-After of a body for which there is no room, seconds:
# about the time in which requests end and make room.
MEMORY_RETRY_AFTER = (0.5, 2.0)
# Time subtracted from each deadline, so that the answer reaches the caller
# before it, seconds.
DEADLINE_MARGIN = 0.02
# Timeout for reading a request body, seconds.
BODY_TIMEOUT = 10.0
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class AdmittedRequest:
    """Request whose headers passed the checks.

    :param current_catalog: configuration that decided.
    """

    def __init__(
        self,
        current_catalog: catalog.Catalog,
        route: types.Route,
        workspace: types.Workspace | None,
    ) -> None:
        self.catalog = current_catalog
        self.route = route
        self.workspace = workspace


class IncomingBody:
    """Body of a request that is being read.

    While it isn't complete, it may give way to others.

    :ivar held: what it holds.
    :ivar timeout: ends the reading.
    """

    def __init__(
        self, memory: memory_account.MemoryAccount, workspace: str
    ) -> None:
        self.timeout = asyncio.timeout(BODY_TIMEOUT)
        self.held = memory.body(workspace, self._give_way)

    def _give_way(self) -> None:
        if not self.timeout.expired():
            now = asyncio.get_running_loop().time()
            self.timeout.reschedule(now)


class Admission:
    """Checks requests against the configuration in force.

    :param rng: random source for split routes.
    """

    def __init__(
        self,
        state: cluster_state.ClusterState,
        header_format: ports.HeaderFormat,
        rng: random.Random,
    ) -> None:
        self._cluster_state = state
        self._header_format = header_format
        self._rng = rng

    def admit(
        self, req: web.BaseRequest
    ) -> Result[AdmittedRequest, refusal.Refusal]:
        """Check the host, path and key of a request.

        :returns: the admitted request, or the refusal to answer with.
        """
        current_catalog = self._cluster_state.catalog
        if current_catalog is None or not self._cluster_state.ready:
            return Err(
                refusal.Refusal(refusal.Reason.NO_CONFIG, START_RETRY_AFTER)
            )
        path = req.raw_path.partition("?")[0]
        route = current_catalog.route(req.headers.get("Host", ""), path)
        if route is None:
            return Err(refusal.Refusal(refusal.Reason.NO_ROUTE))
        workspace = None
        key = self._header_format.api_key(req.headers)
        if key is not None:
            workspace = current_catalog.workspace(key)
        if (
            workspace is None
            and current_catalog.config.keys_required
            and not route.public
        ):
            return Err(refusal.Refusal(refusal.Reason.NO_KEY))
        return Ok(AdmittedRequest(current_catalog, route, workspace))

    async def read_body(
        self, req: web.BaseRequest, body: IncomingBody
    ) -> Result[bytes, refusal.Refusal]:
        """Return the complete body, or the refusal to answer with.

        A body of known length that has no room is refused before it is read.

        :param body: what the request holds.
        """
        try:
            async with body.timeout:
                read = await self._read_body(req, body.held)
        except TimeoutError:
            if body.held.gave_way:
                return Err(self._no_memory())
            return Err(refusal.Refusal(refusal.Reason.SLOW_BODY))
        if body.held.gave_way:
            return Err(self._no_memory())
        body.held.keep()
        return read

    async def _read_body(
        self, req: web.BaseRequest, held: memory_account.HeldBytes
    ) -> Result[bytes, refusal.Refusal]:
        current_catalog = self._cluster_state.catalog
        limit = (
            current_catalog.config.limits.body_bytes if current_catalog else 0
        )
        too_large = refusal.Refusal(refusal.Reason.BODY_TOO_LARGE)
        length = req.content_length
        if (length or 0) > limit:
            return Err(too_large)
        if not req.body_exists:
            return Ok(b"")
        if length is not None and not held.try_add(length):
            return Err(self._no_memory())
        if req.headers.get("Expect", "").lower() == "100-continue":
            if req.transport is not None:
                req.transport.write(CONTINUE)
        data = bytearray()
        async for chunk in req.content.iter_any():
            data += chunk
            held.record_progress(len(chunk))
            if len(data) > limit:
                return Err(too_large)
            if length is None and not held.try_add(len(chunk)):
                return Err(self._no_memory())
        return Ok(bytes(data))

    def _no_memory(self) -> refusal.Refusal:
        """Return the refusal of a body for which there is no room."""
        return refusal.Refusal(
            refusal.Reason.NO_MEMORY,
            round(self._rng.uniform(*MEMORY_RETRY_AFTER), 2),
        )

    def build_call(
        self,
        req: web.BaseRequest,
        admitted: AdmittedRequest,
        body: bytes,
        arrived: float,
    ) -> calls.Call:
        """Build the call that a request makes.

        :param arrived: instant at which the headers were read.
        """
        names = self._header_format.names
        route = admitted.route
        requested_timeout = _parse_timeout(req.headers.get(names.deadline, ""))
        timeout = (
            route.timeout
            if requested_timeout is None
            else min(requested_timeout, route.timeout)
        )
        workspace = admitted.workspace
        return calls.Call(
            caller_attempt_id=req.headers.get(names.attempt, ""),
            method=req.method,
            target=req.raw_path,
            headers=self._forwarded_headers(req),
            body=body,
            route=route,
            service=catalog.choose_target(route.targets, self._rng) or "",
            workspace=workspace,
            config_version=admitted.catalog.version,
            arrived_at=arrived,
            deadline=arrived + timeout - DEADLINE_MARGIN,
            prompt=self._header_format.prompt(req.headers),
            last_event=req.headers.get(names.last_event, ""),
            session=req.headers.get(names.session, ""),
            fingerprint=_fingerprint(req, workspace, body),
        )

    def _forwarded_headers(
        self, req: web.BaseRequest
    ) -> list[tuple[bytes, bytes]]:
        connection_options = (
            req.headers.get("Connection", "").lower().split(",")
        )
        dropped = (
            replies.CONNECTION_HEADERS
            | self._header_format.names.reserved
            | {name.strip() for name in connection_options}
            | {"expect"}
        )
        return [
            (name, value)
            for name, value in req.raw_headers
            if name.decode("latin-1").lower() not in dropped
        ]


def _parse_timeout(text: str) -> float | None:
    """Parse milliseconds to seconds; return None for an invalid text."""
    try:
        return max(0.0, float(text) / 1000) if text else None
    except ValueError:
        return None


def _fingerprint(
    req: web.BaseRequest, workspace: types.Workspace | None, body: bytes
) -> str:
    name = workspace.name if workspace else ""
    digest = xxhash.xxh3_64(f"{req.method} {req.raw_path}\0{name}\0".encode())
    digest.update(body)
    return digest.hexdigest()
