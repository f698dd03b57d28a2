"""Instance list client for the Prometheus HTTP service discovery format."""

import asyncio
from typing import Any

import aiohttp
import pydantic

from .. import exceptions
from .. import registry
from . import base
from . import settings

NOT_MODIFIED = 304
LABEL = "__meta_limpetwalk_"


class _Labels(pydantic.BaseModel):
    name: str
    kind: base.InstanceKind
    zone: str
    state: base.InstanceState
    operators: str = ""


class _Group(pydantic.BaseModel):
    targets: list[str] = pydantic.Field(min_length=1, max_length=1)
    labels: dict[str, str]


_GROUPS = pydantic.TypeAdapter(list[_Group])


def to_groups(instances: list[base.Instance]) -> list[dict[str, Any]]:
    """Return instances in the service discovery format."""
    return [
        {
            "targets": [instance.address],
            "labels": {
                LABEL + "name": instance.name,
                LABEL + "kind": instance.kind.value,
                LABEL + "zone": instance.zone,
                LABEL + "state": instance.state.value,
                LABEL + "operators": instance.operators,
            },
        }
        for instance in instances
    ]


def parse_groups(data: bytes) -> list[base.Instance]:
    """Return the instances of a service discovery document.

    :raises pydantic.ValidationError: when it is malformed.
    """
    return [_instance(group) for group in _GROUPS.validate_json(data)]


def _instance(group: _Group) -> base.Instance:
    labels = _Labels.model_validate(
        {
            name.removeprefix(LABEL): value
            for name, value in group.labels.items()
        }
    )
    return base.Instance(
        name=labels.name,
        kind=labels.kind,
        address=group.targets[0],
        zone=labels.zone,
        state=labels.state,
        operators=labels.operators,
    )


@registry.register(registry.Kind.INSTANCE_LIST, "http_sd")
class HttpInstanceList:
    """Instance list read over HTTP.

    A list that has not changed is not sent again, when the service gives
    entity tags (RFC 9110, section 8.8.3).

    :param cfg: where the list is.
    """

    def __init__(self, cfg: settings.InstanceListSettings) -> None:
        self._cfg = cfg
        self._session: aiohttp.ClientSession | None = None
        self._etag = ""
        self._held: list[base.Instance] = []

    async def open(self) -> None:
        """Make the HTTP session; no connection is opened yet."""
        timeout = aiohttp.ClientTimeout(total=self._cfg.timeout)
        self._session = aiohttp.ClientSession(timeout=timeout)

    async def fetch(self) -> list[base.Instance]:
        """Return the list as it stands now."""
        assert self._session is not None
        try:
            async with self._session.get(
                self._cfg.url, headers=self._condition()
            ) as answer:
                answer.raise_for_status()
                if answer.status == NOT_MODIFIED and self._etag:
                    return list(self._held)
                found = parse_groups(await answer.read())
                self._etag = answer.headers.get("ETag", "")
                self._held = found
                return list(found)
        except (
            aiohttp.ClientError,
            asyncio.TimeoutError,
            pydantic.ValidationError,
        ) as exc:
            text = str(exc) or type(exc).__name__
            raise exceptions.InstanceListUnavailable(text) from exc

    def _condition(self) -> dict[str, str]:
        return {"If-None-Match": self._etag} if self._etag else {}

    async def close(self) -> None:
        """Release connections."""
        if self._session is not None:
            await self._session.close()
