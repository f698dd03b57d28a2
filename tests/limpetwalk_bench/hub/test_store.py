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
