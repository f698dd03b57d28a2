"""Brings an accepted generation to nodes and waits until they serve it."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from limpetwalk import clock as clocks
from limpetwalk.conf import editor
from limpetwalk.providers import base as platform

from . import nodes

POLL_INTERVAL = 0.2
NODES_PER_ZONE = 2


@dataclass(frozen=True, slots=True)
class Spread:
    """How far a generation has come.

    :param generation: accepted generation.
    :param reports: last report of each live node.
    :param listed: whether the instance list was read at least once.
    """

    generation: int
    reports: tuple[nodes.NodeReport, ...]
    listed: bool = True

    @property
    def seen(self) -> int:
        """Number of nodes that serve the generation or a newer one."""
        return sum(
            report.generation is not None
            and report.generation >= self.generation
            for report in self.reports
        )

    @property
    def everywhere(self) -> bool:
        """Whether all live nodes are known and serve it."""
        return self.listed and self.seen == len(self.reports)


class Handover:
    """Gives an accepted document to nodes directly.

    Nodes find a new head by themselves. This helps when the store fails
    right after the write: what nodes were given they pass to their peers.

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
        self._known: list[platform.Instance] = []
        self._listed = False

    async def prepare(self) -> None:
        """Learn the nodes before the write, as the list may fail after."""
        await self._refresh()

    async def give(self, accepted: editor.AcceptedEdit) -> int:
        """Give the document to a few nodes of each zone.

        :returns: number of nodes that took it.
        """
        return await self._client.hand_over(
            _few_of_each_zone(self._known),
            accepted.head.generation,
            accepted.data,
        )

    async def wait(
        self, accepted: editor.AcceptedEdit, timeout: float
    ) -> Spread:
        """Wait until all live nodes serve the generation.

        Nodes that are behind are given the document in each round.

        :param timeout: longest wait, in seconds.
        """
        generation = accepted.head.generation
        deadline = self._clock.monotonic() + timeout
        while True:
            await self._refresh()
            reports = await self._client.reports(self._known)
            spread = Spread(generation, tuple(reports), self._listed)
            if spread.everywhere or self._clock.monotonic() >= deadline:
                return spread
            behind = [
                node
                for node, report in zip(self._known, reports)
                if report.generation is None or report.generation < generation
            ]
            await self._client.hand_over(behind, generation, accepted.data)
            await asyncio.sleep(POLL_INTERVAL)

    async def _refresh(self) -> None:
        found = await nodes.try_live_nodes(self._instances)
        if found is not None:
            self._known = found
            self._listed = True


def _few_of_each_zone(
    known: Sequence[platform.Instance],
) -> list[platform.Instance]:
    chosen: dict[str, list[platform.Instance]] = {}
    for node in known:
        zone = chosen.setdefault(node.zone, [])
        if len(zone) < NODES_PER_ZONE:
            zone.append(node)
    return [node for zone in chosen.values() for node in zone]
