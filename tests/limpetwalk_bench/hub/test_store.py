"""Stand-in of the platform's store."""

import unittest

from limpetwalk_bench.hub import store


class RestoredStore(unittest.IsolatedAsyncioTestCase):
    """A store that comes back from an older copy."""

    async def test_rows_lost_before_a_second_restoration_are_written_again(
        self,
    ) -> None:
        standin = store.Store()
        await standin.put("servers", "e-1", "ready")
        await standin.put("op", "config", "first")
        await standin.restore(0)
        await standin.put("op", "config", "second")
        await standin.restore(0)
        await standin.write_again(("op", "servers"))
        self.assertEqual("ready", standin.value("servers", "e-1"))
        self.assertEqual("second", standin.value("op", "config"))

    async def test_row_written_since_is_not_replaced_by_a_lost_one(
        self,
    ) -> None:
        standin = store.Store()
        for number in range(3):
            await standin.put("op", "config", f"lost {number}")
        await standin.restore(0)
        await standin.put("op", "config", "newest")
        await standin.write_again(("op",))
        self.assertEqual("newest", standin.value("op", "config"))

    async def test_row_that_a_second_restoration_keeps_is_not_replaced(
        self,
    ) -> None:
        standin = store.Store()
        await standin.put("op", "config", "lost")
        await standin.put("servers", "e-1", "ready")
        await standin.restore(0)
        kept = await standin.put("op", "config", "kept")
        await standin.put("servers", "e-2", "ready")
        await standin.restore(kept)
        await standin.write_again(("op", "servers"))
        self.assertEqual("kept", standin.value("op", "config"))
        self.assertEqual("ready", standin.value("servers", "e-1"))
        self.assertEqual("ready", standin.value("servers", "e-2"))
