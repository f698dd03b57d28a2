"""Opens the clients of the platform's services named in the settings."""

import contextlib
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from .. import registry
from . import base
from . import settings

PLUGINS = [
    "limpetwalk.providers.dynamodb",
    "limpetwalk.providers.s3",
    "limpetwalk.providers.http_sd",
    "limpetwalk.providers.ratings",
]


@dataclass(slots=True)
class Platform:
    """Clients of the platform's services.

    :param table: table service.
    :param objects: object store.
    :param instances: instance list.
    :param ratings: rating service, or None when none is configured.
    """

    table: base.TableStore
    objects: base.ObjectStore
    instances: base.InstanceList
    ratings: base.RatingService | None
    _stack: contextlib.AsyncExitStack = field(
        default_factory=contextlib.AsyncExitStack
    )

    async def close(self) -> None:
        """Release all connections."""
        await self._stack.aclose()


async def open_platform(cfg: settings.PlatformSettings) -> Platform:
    """Open the clients; the services need not be available.

    :raises UnknownPlugin: when the settings name an unknown client.
    """
    registry.load_plugins(PLUGINS)
    async with contextlib.AsyncExitStack() as stack:
        kind = registry.Kind
        table = await _open(stack, kind.TABLE_STORE, cfg.table)
        objects = await _open(stack, kind.OBJECT_STORE, cfg.objects)
        instances = await _open(stack, kind.INSTANCE_LIST, cfg.instances)
        ratings = None
        if cfg.ratings is not None:
            ratings = await _open(stack, kind.RATING_SERVICE, cfg.ratings)
        return Platform(table, objects, instances, ratings, stack.pop_all())


async def _open(
    stack: contextlib.AsyncExitStack, kind: registry.Kind, cfg: Any
) -> Any:
    client = registry.get(kind, cfg.client)(cfg)
    stack.push_async_callback(client.close)
    await client.open()
    return client
