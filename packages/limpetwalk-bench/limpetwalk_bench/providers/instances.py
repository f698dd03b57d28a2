"""Instance list stand-in that shows changes with a delay."""

from aiohttp import web
import pydantic
import xxhash

from limpetwalk import clock as clocks
from limpetwalk.providers import base
from limpetwalk.providers import http_sd

from . import faults

InstanceList = list[base.Instance]


class InstanceEntry(pydantic.BaseModel):
    """Instance in the request body of the control endpoint."""

    model_config = pydantic.ConfigDict(extra="forbid")

    name: str
    kind: base.InstanceKind
    address: str
    zone: str
    state: base.InstanceState = base.InstanceState.LIVE
    operators: str = ""

    def instance(self) -> base.Instance:
        """Return the entry as an instance of the platform."""
        return base.Instance(
            name=self.name,
            kind=self.kind,
            address=self.address,
            zone=self.zone,
            state=self.state,
            operators=self.operators,
        )


class InstanceService:
    """Instance list.

    :param service: faults and counts of the service.
    :param clock: clock that times the delay of changes.
    """

    def __init__(
        self, service: faults.FaultyService, clock: clocks.Clock
    ) -> None:
        self.lag = 0.0
        self._service = service
        self._clock = clock
        self._current: dict[str, base.Instance] = {}
        self._history: list[tuple[float, InstanceList]] = [(float("-inf"), [])]

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the service."""
        return [web.get("/instances", self._fetch)]

    def update(self, added: list[InstanceEntry], removed: list[str]) -> None:
        """Add or change instances and remove others.

        :param added: instances to add or change.
        :param removed: names of the instances to remove.
        """
        for entry in added:
            self._current[entry.name] = entry.instance()
        for name in removed:
            self._current.pop(name, None)
        now = self._clock.monotonic()
        self._history.append((now, list(self._current.values())))

    def visible_instances(self) -> InstanceList:
        """Return the instance list of ``lag`` seconds ago."""
        cutoff = self._clock.monotonic() - self.lag
        while len(self._history) > 1 and self._history[1][0] <= cutoff:
            self._history.pop(0)
        return self._history[0][1]

    async def _fetch(self, req: web.Request) -> web.StreamResponse:
        self._service.count("fetch")

        async def apply(_: web.Request) -> web.StreamResponse:
            resp = web.json_response(
                http_sd.to_groups(self.visible_instances())
            )
            assert isinstance(resp.body, bytes)
            resp.etag = xxhash.xxh64_hexdigest(resp.body)
            if resp.headers["ETag"] == req.headers.get("If-None-Match"):
                self._service.count("not_modified")
                return web.Response(status=http_sd.NOT_MODIFIED)
            return resp

        return await self._service.handle(req, False, apply)
