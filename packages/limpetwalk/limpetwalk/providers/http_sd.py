"""Instance list client for the Prometheus HTTP service discovery format."""

import asyncio
from typing import Any

import aiohttp
import pydantic

from .. import exceptions
from .. import registry
from . import base
from . import http
from . import settings

NOT_MODIFIED = 304
LABEL_PREFIX = "__meta_limpetwalk_"


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
                LABEL_PREFIX + "name": instance.name,
                LABEL_PREFIX + "kind": instance.kind.value,
                LABEL_PREFIX + "zone": instance.zone,
                LABEL_PREFIX + "state": instance.state.value,
                LABEL_PREFIX + "operators": instance.operators,
            },
        }
        for instance in instances
    ]


def parse_groups(data: bytes) -> list[base.Instance]:
    """Return the instances of a service discovery document.

    :raises pydantic.ValidationError: when the document is malformed.
    """
    return [_parse_group(group) for group in _GROUPS.validate_json(data)]


def _parse_group(group: _Group) -> base.Instance:
    labels = _Labels.model_validate(
        {
            name.removeprefix(LABEL_PREFIX): value
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

    An unchanged list is not transferred again when the service supports
    entity tags (RFC 9110, section 8.8.3).

    :param cfg: settings of the instance list.
    """

    def __init__(self, cfg: settings.InstanceListSettings) -> None:
        self._cfg = cfg
        self._session: aiohttp.ClientSession | None = None
        self._etag = ""
        self._cached: list[base.Instance] = []

    async def open(self) -> None:
        """Create the HTTP session; no connection is opened yet."""
        timeout = aiohttp.ClientTimeout(total=self._cfg.timeout)
        self._session = http.open_session(timeout)

    async def fetch(self) -> list[base.Instance]:
        """Return the current list."""
        assert self._session is not None
        try:
            async with self._session.get(
                self._cfg.url, headers=self._conditional_headers()
            ) as resp:
                resp.raise_for_status()
                if resp.status == NOT_MODIFIED and self._etag:
                    return list(self._cached)
                instances = parse_groups(await resp.read())
                self._etag = resp.headers.get("ETag", "")
                self._cached = instances
                return list(instances)
        except (
            aiohttp.ClientError,
            asyncio.TimeoutError,
            pydantic.ValidationError,
        ) as exc:
            reason = str(exc) or type(exc).__name__
            raise exceptions.InstanceListUnavailable(reason) from exc

    def _conditional_headers(self) -> dict[str, str]:
        return {"If-None-Match": self._etag} if self._etag else {}

    async def close(self) -> None:
        """Release connections."""
        if self._session is not None:
            await self._session.close()
