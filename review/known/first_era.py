"""Restores a store that was never restored before, after a roll-out.

Shows entry 8 of KNOWN-RED.txt. It exits with 1 if the rule was broken.
"""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import deployment  # noqa: E402
import drill  # noqa: E402

# Time from the drill to the final fault, and for which the nodes are down, in
# seconds.
SETTLED, DOWN = 6.0, 1.0
# ``Store-Era`` of a store that was never restored.
FIRST_ERA = int(os.environ.get("FIRST_ERA", "0"))


async def trouble(site: deployment.Site, platform: drill.Platform) -> None:
    await drill.lose_store(site, platform, kill=False)
    await asyncio.sleep(SETTLED - drill.EXPIRY)
    await drill.kill_nodes(site)
    await asyncio.sleep(DOWN)
    await drill.start_nodes(site)


async def case(site: deployment.Site) -> int:
    site.store.era = FIRST_ERA
    return await drill.play(site, trouble)


os.environ.setdefault("RECORD", os.devnull)
deployment.run(case, str(HERE))
