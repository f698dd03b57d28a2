"""All stand-ins of the platform's services."""

import asyncio
import random

from limpetwalk import clock as clocks
from limpetwalk.providers import settings

from . import control
from . import faults
from . import instances
from . import listener
from . import objects
from . import ratings
from . import table
from . import weights

CONTROL = "control"
Name = faults.ServiceName
REFUSALS = {
    Name.TABLE: faults.refuse_as_dynamodb,
    Name.OBJECTS: faults.refuse_as_s3,
    Name.WEIGHTS: faults.refuse_as_s3,
}


class PlatformStandIns:
    """All services of the platform and their control endpoint.

    :param port: port of the control endpoint, the services use the next
        ones; 0 lets the system choose all.
    :param seed: seed of the random faults and scores.
    """

    def __init__(self, port: int = 0, seed: int = 0) -> None:
        clock = clocks.SystemClock()
        self.services = {
            name: faults.FaultyService(
                random.Random(f"{seed}/{name.value}"), REFUSALS.get(name)
            )
            for name in Name
        }
        self.table = table.TableService(self.services[Name.TABLE])
        self.objects = objects.ObjectService(self.services[Name.OBJECTS])
        self.instances = instances.InstanceService(
            self.services[Name.INSTANCES], clock
        )
        self.ratings = ratings.RatingStandIn(self.services[Name.RATINGS], seed)
        self.weights = weights.WeightService(
            self.services[Name.WEIGHTS], clock
        )
        routes = {
            Name.TABLE: self.table.routes(),
            Name.OBJECTS: self.objects.routes(),
            Name.INSTANCES: self.instances.routes(),
            Name.RATINGS: self.ratings.routes(),
            Name.WEIGHTS: self.weights.routes(),
        }
        self._listeners = {
            name: listener.Listener(routes[name], port and port + number)
            for number, name in enumerate(Name, start=1)
        }
        control_service = control.ControlService(
            self.services,
            self.set_faults,
            self.instances,
            self.ratings,
            self.weights,
        )
        self._control = listener.Listener(control_service.routes(), port)

    async def start(self) -> None:
        """Start listening on all ports."""
        for service_listener in (self._control, *self._listeners.values()):
            await service_listener.start()

    async def stop(self) -> None:
        """Stop listening on all ports."""
        await asyncio.gather(
            *(
                service_listener.stop()
                for service_listener in self._listeners.values()
            )
        )
        await self._control.stop()

    async def set_faults(self, name: Name, switches: faults.Switches) -> None:
        """Apply the faults of a service; ``down`` stops its listener."""
        self.services[name].switches = switches
        if switches.down:
            await self._listeners[name].stop()
        else:
            await self._listeners[name].start()

    def ports(self) -> dict[str, int]:
        """Return the TCP port of each service and of the control endpoint."""
        ports = {
            name.value: service_listener.port
            for name, service_listener in self._listeners.items()
        }
        return {CONTROL: self._control.port, **ports}

    def settings(self) -> settings.PlatformSettings:
        """Return the settings that clients need to reach the stand-ins."""
        urls = {
            name: f"http://{listener.HOST}:{port}"
            for name, port in self.ports().items()
        }
        return settings.PlatformSettings.model_validate(
            {
                "table": {"endpoint": urls["table"]},
                "objects": {"endpoint": urls["objects"]},
                "instances": {"url": urls["instances"] + "/instances"},
                "ratings": {"url": urls["ratings"] + "/rate"},
            }
        )
