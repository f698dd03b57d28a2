"""Control endpoint of the platform's stand-ins."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping

from aiohttp import web
import pydantic

from . import faults
from . import instances
from . import ratings
from . import weights

# The field named faults would hide the module.
Switches = faults.Switches
Switch = Callable[[faults.ServiceName, Switches], Awaitable[None]]


class Control(pydantic.BaseModel):
    """Change of faults and contents; only what is given changes.

    :param service: service whose faults change.
    :param lag: seconds by which the instance list lags.
    :param add: instances to register or change.
    :param remove: names of instances to remove.
    :param qualities: hidden qualities of versions.
    :param rating_bias: added to each score.
    :param weight_rate: reads a second that the weight store admits.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    service: faults.ServiceName | None = None
    faults: Switches | None = None
    lag: float | None = pydantic.Field(None, ge=0.0)
    add: list[instances.InstanceEntry] = []
    remove: list[str] = []
    qualities: list[ratings.Quality] = []
    rating_bias: float | None = None
    weight_rate: float | None = pydantic.Field(None, gt=0.0)

    @pydantic.model_validator(mode="after")
    def _faults_have_a_service(self) -> "Control":
        if self.faults is not None and self.service is None:
            raise ValueError("faults need a service")
        return self


class ControlService:
    """Control endpoint.

    :param services: faults and counts by service.
    :param switch: puts the faults of a service in force.
    """

    def __init__(
        self,
        services: Mapping[faults.ServiceName, faults.FaultyService],
        switch: Switch,
        listed: instances.InstanceService,
        rated: ratings.RatingStandIn,
        stored: weights.WeightService,
    ) -> None:
        self._services = services
        self._switch = switch
        self._instances = listed
        self._ratings = rated
        self._weights = stored

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the endpoint."""
        return [
            web.post("/_control", self._control),
            web.get("/_stats", self._stats),
        ]

    async def _control(self, req: web.Request) -> web.Response:
        try:
            control = Control.model_validate_json(await req.read())
        except pydantic.ValidationError as exc:
            return web.Response(status=400, text=str(exc))
        if control.service is not None and control.faults is not None:
            service = self._services[control.service]
            given = control.faults.model_dump(exclude_unset=True)
            switches = service.switches.model_copy(update=given)
            await self._switch(control.service, switches)
        if control.lag is not None:
            self._instances.lag = control.lag
        if control.add or control.remove:
            self._instances.update(control.add, control.remove)
        self._ratings.update(control.qualities)
        if control.rating_bias is not None:
            self._ratings.bias = control.rating_bias
        if control.weight_rate is not None:
            self._weights.rate = control.weight_rate
        return web.json_response({"ok": True})

    async def _stats(self, req: web.Request) -> web.Response:
        counts = {
            name.value: service.counts
            for name, service in self._services.items()
        }
        return web.json_response(counts)
