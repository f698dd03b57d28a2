"""Client of the operators' interface of entry nodes."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeVar

import aiohttp
import pydantic

from limpetwalk import exceptions
from limpetwalk.providers import base as platform

T = TypeVar("T")

MAX_CONCURRENCY = 32
MAX_ANSWER_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class NodeReport:
    """State that an entry node reports of itself.

    :param name: name of the node.
    :param zone: availability zone of the node.
    :param operators: ``host:port`` of its operators' interface.
    :param generation: generation that it serves; None when it has none or
        did not answer.
    :param ready: whether it accepts new work.
    :param error: why there is no report; empty when there is one.
    """

    name: str
    zone: str
    operators: str
    generation: int | None = None
    ready: bool = False
    error: str = ""


class _Status(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")

    name: str = ""
    zone: str = ""
    generation: int | None = None
    ready: bool = False


async def live_nodes(
    instances: platform.InstanceList,
) -> list[platform.Instance]:
    """Return the live entry nodes that have an operators' interface.

    :raises InstanceListUnavailable: when the list can't be read.
    """
    return [
        item
        for item in await instances.fetch()
        if item.kind is platform.InstanceKind.ENTRY
        and item.state is platform.InstanceState.LIVE
        and item.operators
    ]


def node_at(operators: str) -> platform.Instance:
    """Return an instance for a node of which only the address is known.

    :param operators: ``host:port`` of its operators' interface.
    """
    return platform.Instance(
        name=operators,
        kind=platform.InstanceKind.ENTRY,
        address="",
        zone="",
        state=platform.InstanceState.LIVE,
        operators=operators,
    )


class NodeClient:
    """Client of many nodes that sends a limited number of requests at once.

    :param session: HTTP session.
    :param timeout: longest wait for one answer, in seconds.
    """

    def __init__(self, session: aiohttp.ClientSession, timeout: float) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout)
        self._slots = asyncio.Semaphore(MAX_CONCURRENCY)

    async def fetch_reports(
        self, nodes: Sequence[platform.Instance]
    ) -> list[NodeReport]:
        """Return the report of each node, in the order of the nodes."""
        return await asyncio.gather(
            *(self._fetch_report(node) for node in nodes)
        )

    async def hand_over(
        self,
        nodes: Sequence[platform.Instance],
        generation: int,
        data: bytes,
    ) -> int:
        """Send the document of an accepted generation to nodes.

        :param nodes: nodes to send it to.
        :param generation: number of the generation.
        :param data: serialized document.
        :returns: number of nodes that accepted it.
        """
        accepted = await asyncio.gather(
            *(self._put_document(node, generation, data) for node in nodes)
        )
        return sum(accepted)

    async def _fetch_report(self, node: platform.Instance) -> NodeReport:
        async def fetch() -> NodeReport:
            url = f"http://{node.operators}/status"
            async with self._session.get(url, timeout=self._timeout) as resp:
                resp.raise_for_status()
                body = await resp.content.read(MAX_ANSWER_BYTES)
            status = _Status.model_validate_json(body)
            return NodeReport(
                status.name or node.name,
                status.zone or node.zone,
                node.operators,
                status.generation,
                status.ready,
            )

        return await self._call_limited(
            fetch,
            lambda error: NodeReport(
                node.name, node.zone, node.operators, error=error
            ),
        )

    async def _put_document(
        self, node: platform.Instance, generation: int, data: bytes
    ) -> bool:
        async def put() -> bool:
            url = f"http://{node.operators}/config/{generation}"
            async with self._session.put(
                url, data=data, timeout=self._timeout
            ) as resp:
                return resp.status < 300

        return await self._call_limited(put, lambda error: False)

    async def _call_limited(
        self, call: Callable[[], Awaitable[T]], on_error: Callable[[str], T]
    ) -> T:
        async with self._slots:
            try:
                return await call()
            except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
                return on_error(str(exc) or type(exc).__name__)


async def try_live_nodes(
    instances: platform.InstanceList,
) -> list[platform.Instance] | None:
    """Return the live entry nodes, or None when the list can't be read."""
    try:
        return await live_nodes(instances)
    except exceptions.InstanceListUnavailable:
        return None
