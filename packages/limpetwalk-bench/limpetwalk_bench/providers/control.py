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

# Alias, because the field named faults hides the module inside Control.
Switches = faults.Switches
SetFaults = Callable[[faults.ServiceName, Switches], Awaitable[None]]


class Control(pydantic.BaseModel):
    """Change of faults and contents; omitted fields change nothing.

    :param service: service whose faults change.
    :param lag: delay of changes to the instance list, in seconds.
    :param add: instances to register or change.
    :param remove: names of instances to remove.
    :param qualities: hidden qualities of versions.
    :param rating_bias: added to each score.
    :param weight_rate: reads per second that the weight store admits.
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
    :param set_faults: applies the faults of a service.
    :param instance_service: instance list.
    :param rating_service: rating service.
    :param weight_service: weight store.
    """

    def __init__(
        self,
        services: Mapping[faults.ServiceName, faults.FaultyService],
        set_faults: SetFaults,
        instance_service: instances.InstanceService,
        rating_service: ratings.RatingStandIn,
        weight_service: weights.WeightService,
    ) -> None:
        self._services = services
        self._set_faults = set_faults
        self._instances = instance_service
        self._ratings = rating_service
        self._weights = weight_service

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
            changes = control.faults.model_dump(exclude_unset=True)
            switches = service.switches.model_copy(update=changes)
            await self._set_faults(control.service, switches)
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
