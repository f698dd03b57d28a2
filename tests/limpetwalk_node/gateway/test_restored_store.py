"""Tests of a store that is restored from a copy some seconds old."""

from limpetwalk_bench.hub import site

from . import harness


class RestoredStore(harness.GatewayCase):
    """A gateway whose store loses its latest writes."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store = self.run_.site.store
        self.state = self.run_.gateway.cluster_state

    async def lose(self, count: int) -> None:
        """Restore the store from a copy while it doesn't answer.

        :param count: writes that are lost.
        """
        self.store.faults.status = 503
        tables = ("op", "servers", "limpetwalk")
        await self.run_.until(
            lambda: {
                line["table"]
                for line in self.run_.lines.events("dependency.lost")
            }.issuperset(tables)
        )
        await self.store.restore(self.store.ver - count)

    async def test_change_written_again_below_a_known_version_is_in_force(
        self,
    ) -> None:
        await self.store.put("op", "config", site.config_row(version=5))
        await self.run_.until(lambda: self.state.catalog.version == 5)
        await self.lose(1)
        await self.store.put("op", "config", site.config_row(version=9))
        await self.store.put("status", "other", {})
        self.store.faults.status = 0
        await self.run_.until(lambda: self.state.catalog.version == 9)
