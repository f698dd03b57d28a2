"""Tests of a store that is restored from a copy some seconds old."""

import asyncio
import time
from unittest import mock

from limpetwalk.gateway import fleet
from limpetwalk_bench.hub import site
from limpetwalk_node.gateway import cluster_state
from limpetwalk_node.gateway import table_follower
from limpetwalk_platform import adapter

from . import harness

ORDER = {"backend": site.ENGINE, "to": "v2", "period_s": 30}


class RestoredStore(harness.GatewayCase):
    """A gateway whose store loses its latest writes."""

    async def asyncSetUp(self) -> None:
        for module, name, value in (
            (fleet, "EXPIRY_GRACE", 0.1),
            (table_follower, "SETTLE_TIME", 1.0),
        ):
            patch = mock.patch.object(module, name, value)
            patch.start()
            self.addCleanup(patch.stop)
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

    async def lose_and_return(self, count: int) -> None:
        """Restore the store from a copy, and wait until that is known."""
        await self.lose(count)
        self.store.faults.status = 0
        await self.run_.until(
            lambda: len(self.run_.lines.events("store.restored")) >= 3
        )

    async def test_server_that_the_copy_lacks_is_used_until_the_table_settles(
        self,
    ) -> None:
        await self.run_.site.add_server("p-2", site.PLAIN)
        await self.run_.until(lambda: self.state.fleet.get("p-2"))
        await self.lose_and_return(1)
        await asyncio.sleep(0.4)
        usable = {server.id for server in self.state.fleet.usable(site.PLAIN)}
        self.assertEqual({"p-1", "p-2"}, usable)
        await self.run_.until(lambda: self.state.fleet.get("p-2") is None)

    async def test_zone_whose_evacuation_was_lost_gets_no_requests(
        self,
    ) -> None:
        await self.store.put("op", "evacuate/zone-a", {})
        await self.run_.until(lambda: self.state.fleet.evacuated)
        await self.lose_and_return(1)
        async with self.run_.request("POST", "/once/x") as resp:
            self.assertEqual(503, resp.status)
        await self.run_.until(lambda: not self.state.fleet.evacuated)

    async def test_order_of_a_roll_out_that_was_lost_holds(self) -> None:
        orders = self.state.rollouts.orders
        await self.store.put("op", f"rollout/{site.ENGINE}", ORDER)
        await self.run_.until(lambda: orders)
        await self.lose_and_return(1)
        self.assertIn(site.ENGINE, orders)
        await self.run_.until(lambda: not orders)

    async def test_server_that_left_after_the_copy_is_not_used_again(
        self,
    ) -> None:
        await self.store.remove("servers", "p-1")
        await self.run_.until(lambda: self.state.fleet.get("p-1") is None)
        await self.lose_and_return(1)
        async with self.run_.request("POST", "/once/x") as resp:
            self.assertEqual(503, resp.status)
        await self.run_.until(lambda: self.state.fleet.get("p-1"))

    async def test_server_that_was_leaving_is_not_used_again(self) -> None:
        row = site.server_row(
            site.PLAIN, self.run_.site.ports["p-1"], state="draining", seq=2
        )
        await self.store.put("servers", "p-1", row)
        await self.run_.until(
            lambda: self.state.fleet.get("p-1").entry.leaving
        )
        await self.lose_and_return(1)
        async with self.run_.request("POST", "/once/x") as resp:
            self.assertEqual(503, resp.status)

    async def test_address_of_a_node_is_published_again(self) -> None:
        """A node without it gets no part of limits, permits and groups."""
        await self.run_.until(lambda: "node-1" in self.state.nodes)
        await self.lose_and_return(self.store.ver - self.present_since + 1)
        await self.run_.until(
            lambda: self.store.value("limpetwalk", "node/node-1")
        )

    @property
    def present_since(self) -> int:
        """Version of the row with the node's address."""
        return self.store.rows["limpetwalk", "node/node-1"].ver

    async def test_nodes_that_start_are_told_of_the_lost_configuration(
        self,
    ) -> None:
        await self.store.put("op", "config", site.config_row(version=5))
        await self.run_.until(lambda: self.state.catalog.version == 5)
        await self.lose_and_return(1)
        key = cluster_state.CONFIG_IN_FORCE_KEY
        await self.run_.until(lambda: self.store.value("limpetwalk", key))
        self.assertEqual(5, self.store.value("limpetwalk", key)["version"])


class StartOnAnOlderCopy(harness.GatewayCase):
    """A node starts before the operator has written again what was lost."""

    async def asyncSetUp(self) -> None:
        # The gateway starts in each test.
        self.run_ = harness.RunningGateway()

    async def start(self, until: float) -> None:
        store = self.run_.site.store
        row = {"version": 5, "until": until}
        await store.put("limpetwalk", cluster_state.CONFIG_IN_FORCE_KEY, row)
        with mock.patch.object(harness, "WAIT_TIMEOUT", 1.0):
            await self.run_.start(self.services)
        self.addAsyncCleanup(self.run_.stop)

    async def test_older_configuration_is_not_served(self) -> None:
        """Routes that were confirmed would be refused with 404."""
        started = asyncio.create_task(self.start(time.monotonic() + 30))
        with self.assertRaises(TimeoutError):
            await started
        self.addAsyncCleanup(self.run_.stop)
        async with self.run_.request("POST", "/once/x") as resp:
            self.assertEqual(503, resp.status)
        config = site.config_row(version=5)
        await self.run_.site.store.put("op", "config", config)
        state = self.run_.gateway.cluster_state
        await self.run_.until(lambda: state.ready)
        async with self.run_.request("POST", "/once/x") as resp:
            self.assertEqual(200, resp.status)

    async def test_configuration_that_never_comes_is_not_waited_for(
        self,
    ) -> None:
        await self.start(time.monotonic() - 1)
        async with self.run_.request("POST", "/once/x") as resp:
            self.assertEqual(200, resp.status)


class StartDuringAnOutage(harness.GatewayCase):
    """A node starts while the rows that nodes share can't be read."""

    async def asyncSetUp(self) -> None:
        # The gateway starts in each test.
        self.run_ = harness.RunningGateway()

    async def start(self, era: int) -> None:
        self.run_.site.store.era = era

        async def read(feed: adapter.SharedTable) -> None:
            await asyncio.sleep(harness.WAIT_TIMEOUT)

        for target, name, value in (
            (adapter.SharedTable, "read", read),
            (cluster_state, "SHARED_ROWS_TIMEOUT", 60.0),
            (harness, "WAIT_TIMEOUT", 2.0),
        ):
            patch = mock.patch.object(target, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.addAsyncCleanup(self.run_.stop)
        await self.run_.start(self.services)

    async def test_store_that_was_never_restored_is_not_waited_for(
        self,
    ) -> None:
        """Guard against refusing requests for a second after a power cut."""
        await self.start(era=0)
        async with self.run_.request("POST", "/once/x") as resp:
            self.assertEqual(200, resp.status)

    async def test_restored_store_is_waited_for(self) -> None:
        with self.assertRaises(TimeoutError):
            await self.start(era=1)
        async with self.run_.request("POST", "/once/x") as resp:
            self.assertEqual(503, resp.status)
