"""Time from a zone's removal to the last new request in it.

Sends chats at the nodes of a running site, takes a zone out through the
accepted configuration and reads from the run logs of the zone's engines when
the last request began. Run by ``scripts/last_request.sh``.
"""

import asyncio
import pathlib
import statistics
import sys
import time

from absl import app
from absl import flags
import aiohttp
import uvloop

from limpetwalk import clock as clocks
from limpetwalk.conf import document
from limpetwalk.conf import editor as editors
from limpetwalk.conf import edits
from limpetwalk.conf import head as heads
from limpetwalk.conf import snapshot
from limpetwalk_bench.load import run_logs
from limpetwalk_bench.load import workload

_SITE = flags.DEFINE_string("site", "", "site file (YAML)")
_KEY = flags.DEFINE_string("key", "demo-head-office", "bearer key")
_MODEL = flags.DEFINE_string("model", "quick", "public model name")
_TRIES = flags.DEFINE_integer("tries", 6, "removals")

RATE = 60.0
BEFORE = 1.5
AFTER = 5.0
LIMIT = 8.0
OUT = snapshot.PlacementState.OUT
IN = snapshot.PlacementState.IN


class Sender:
    """Sends chats at all nodes in turn until it is stopped.

    :param site: nodes by name.
    :param http: client session.
    """

    def __init__(
        self, site: workload.Site, http: aiohttp.ClientSession
    ) -> None:
        self._urls = [node.url for node in site.nodes.values()]
        self._http = http
        self._tasks: set[asyncio.Task[None]] = set()
        self.failed: list[str] = []

    async def run(self) -> None:
        """Send at a steady rate."""
        number = 0
        while True:
            url = self._urls[number % len(self._urls)]
            task = asyncio.create_task(self._send(url, number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            number += 1
            await asyncio.sleep(1 / RATE)

    async def finish(self) -> None:
        """Wait for the requests that are under way."""
        await asyncio.gather(*self._tasks)

    async def _send(self, url: str, number: int) -> None:
        body = {
            "model": _MODEL.value,
            "messages": [{"role": "user", "content": f"question {number}"}],
            "max_tokens": 8,
        }
        headers = {"Authorization": f"Bearer {_KEY.value}"}
        path = f"{url}/v1/chat/completions"
        try:
            async with self._http.post(
                path, json=body, headers=headers
            ) as resp:
                text = await resp.text()
                if resp.status != 200:
                    self.failed.append(text)
        except aiohttp.ClientError as exc:
            self.failed.append(repr(exc))


async def _last_start(
    http: aiohttp.ClientSession, urls: list[str], since: float
) -> float:
    """Return when the last run began, or ``since`` without one."""
    last = since
    for url in urls:
        async with http.get(f"{url}/_runs") as resp:
            runs = (await resp.json())["runs"]
        last = max([last, *(run["started"] for run in runs)])
    return last


async def _try_zone(
    site: workload.Site,
    doc: document.Document,
    editor: editors.Editor,
    zone: str,
    http: aiohttp.ClientSession,
) -> float:
    urls = [
        site.engines[name].url
        for name, server in doc.servers.items()
        if server.zone == zone and name in site.engines
    ]
    await asyncio.sleep(BEFORE)
    out = edits.SetPlacement(edits.PlacementTarget.ZONE, zone, OUT)
    (await editor.edit(out)).unwrap()
    accepted_at = time.time()
    await asyncio.sleep(AFTER)
    last = await _last_start(http, urls, accepted_at)
    back = edits.SetPlacement(edits.PlacementTarget.ZONE, zone, IN)
    (await editor.edit(back)).unwrap()
    return last - accepted_at


async def _measure() -> tuple[list[float], list[str]]:
    site = workload.read_site(pathlib.Path(_SITE.value))
    platform = await run_logs.open_platform(site)
    store = heads.HeadStore(
        platform.table, platform.objects, clocks.SystemClock()
    )
    doc = await store.load_document(await store.read())
    editor = editors.Editor(store, "measurement")
    zones = sorted(doc.zones)
    async with aiohttp.ClientSession() as http:
        sender = Sender(site, http)
        sending = asyncio.create_task(sender.run())
        found = [
            await _try_zone(site, doc, editor, zones[n % len(zones)], http)
            for n in range(_TRIES.value)
        ]
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        await sender.finish()
    await platform.close()
    return found, sender.failed


def main(argv: list[str]) -> int:
    """Print the times; exit with 1 when one is over the limit."""
    del argv
    found, failed = uvloop.run(_measure())
    print("| removals | p50 s | max s | over 8 s | requests failed |")
    print("|---|---|---|---|---|")
    over = sum(seconds > LIMIT for seconds in found)
    print(
        f"| {len(found)} | {statistics.median(found):.2f} "
        f"| {max(found):.2f} | {over} | {len(failed)} |"
    )
    for text in failed:
        print(f"\nfailed: {text}")
    return 1 if over else 0


if __name__ == "__main__":
    sys.exit(app.run(main))
