"""Send an accepted generation to nodes and wait until they serve it."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from limpetwalk import clock as clocks
from limpetwalk.conf import editor
from limpetwalk.providers import base as platform

from . import nodes

POLL_INTERVAL_SECONDS = 0.2
MAX_NODES_PER_ZONE = 2


@dataclass(frozen=True, slots=True)
class Propagation:
    """Which nodes serve an accepted generation.

    :param generation: accepted generation.
    :param reports: latest report of each live node.
    :param is_list_read: whether the instance list was read at least once.
    """

    generation: int
    reports: tuple[nodes.NodeReport, ...]
    is_list_read: bool = True

    @property
    def serving_count(self) -> int:
        """Number of nodes that serve the generation or a newer one."""
        return sum(
            report.generation is not None
            and report.generation >= self.generation
            for report in self.reports
        )

    @property
    def is_complete(self) -> bool:
        """Whether all live nodes are known and serve the generation."""
        return self.is_list_read and self.serving_count == len(self.reports)


class Handover:
    """Sends an accepted document to nodes directly.

    Nodes find a new head by themselves. Sending it to them helps when the
    store fails right after the write, as nodes pass on to their peers what
    they received.

    :param client: client of the nodes.
    :param instances: the platform's instance list.
    :param clock: source of time.
    """

    def __init__(
        self,
        client: nodes.NodeClient,
        instances: platform.InstanceList,
        clock: clocks.Clock,
    ) -> None:
        self._client = client
        self._instances = instances
        self._clock = clock
        self._nodes: list[platform.Instance] = []
        self._list_read = False

    async def prepare(self) -> None:
        """Read the instance list before the write, as it may fail later."""
        await self._refresh()

    async def send(self, accepted: editor.AcceptedEdit) -> int:
        """Send the document to a few nodes of each zone.

        :returns: number of nodes that accepted it.
        """
        return await self._client.hand_over(
            _select_per_zone(self._nodes),
            accepted.head.generation,
            accepted.data,
        )

    async def wait(
        self, accepted: editor.AcceptedEdit, timeout: float
    ) -> Propagation:
        """Wait until all live nodes serve the generation.

        In each round the document is sent to the nodes that are behind.

        :param timeout: longest wait, in seconds.
        :returns: state of the nodes when all serve it or the time is up.
        """
        generation = accepted.head.generation
        deadline = self._clock.monotonic() + timeout
        while True:
            await self._refresh()
            reports = await self._client.fetch_reports(self._nodes)
            propagation = Propagation(
                generation, tuple(reports), self._list_read
            )
            if propagation.is_complete or self._clock.monotonic() >= deadline:
                return propagation
            behind = [
                node
                for node, report in zip(self._nodes, reports)
                if report.generation is None or report.generation < generation
            ]
            await self._client.hand_over(behind, generation, accepted.data)
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _refresh(self) -> None:
        live_nodes = await nodes.try_live_nodes(self._instances)
        if live_nodes is not None:
            self._nodes = live_nodes
            self._list_read = True


def _select_per_zone(
    live_nodes: Sequence[platform.Instance],
) -> list[platform.Instance]:
    selected: dict[str, list[platform.Instance]] = {}
    for node in live_nodes:
        zone = selected.setdefault(node.zone, [])
        if len(zone) < MAX_NODES_PER_ZONE:
            zone.append(node)
    return [node for zone in selected.values() for node in zone]
