"""Time from a zone's removal to the start of the last request in it.

Sends chat requests to the nodes of a running site, removes a zone through a
configuration change and reads from the run logs of the zone's engines when
the last request started. Run by ``scripts/last_request.sh``.
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

REQUESTS_PER_SECOND = 60.0
SECONDS_BEFORE_REMOVAL = 1.5
SECONDS_AFTER_REMOVAL = 5.0
LIMIT_SECONDS = 8.0
OUT = snapshot.PlacementState.OUT
IN = snapshot.PlacementState.IN


class Sender:
    """Sends chat requests to all nodes in turn until it is cancelled.

    :param site: site whose nodes are called.
    :param http: client session.
    """

    def __init__(
        self, site: workload.Site, http: aiohttp.ClientSession
    ) -> None:
        self._urls = [node.url for node in site.nodes.values()]
        self._http = http
        self._tasks: set[asyncio.Task[None]] = set()
        self.failures: list[str] = []

    async def run(self) -> None:
        """Send requests at a constant rate."""
        number = 0
        while True:
            url = self._urls[number % len(self._urls)]
            task = asyncio.create_task(self._send(url, number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            number += 1
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)

    async def finish(self) -> None:
        """Wait for the requests in flight."""
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
                answer = await resp.text()
                if resp.status != 200:
                    self.failures.append(answer)
        except aiohttp.ClientError as exc:
            self.failures.append(repr(exc))


async def _last_run_start(
    http: aiohttp.ClientSession, urls: list[str], since: float
) -> float:
    """Return the start time of the last run, at least ``since``."""
    last = since
    for url in urls:
        async with http.get(f"{url}/_runs") as resp:
            runs = (await resp.json())["runs"]
        last = max([last, *(run["started"] for run in runs)])
    return last


async def _measure_removal(
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
    await asyncio.sleep(SECONDS_BEFORE_REMOVAL)
    remove = edits.SetPlacement(edits.PlacementTarget.ZONE, zone, OUT)
    (await editor.edit(remove)).unwrap()
    accepted_at = time.time()
    await asyncio.sleep(SECONDS_AFTER_REMOVAL)
    last_start = await _last_run_start(http, urls, accepted_at)
    restore = edits.SetPlacement(edits.PlacementTarget.ZONE, zone, IN)
    (await editor.edit(restore)).unwrap()
    return last_start - accepted_at


async def _measure_removals() -> tuple[list[float], list[str]]:
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
        send_task = asyncio.create_task(sender.run())
        delays = [
            await _measure_removal(
                site, doc, editor, zones[n % len(zones)], http
            )
            for n in range(_TRIES.value)
        ]
        send_task.cancel()
        await asyncio.gather(send_task, return_exceptions=True)
        await sender.finish()
    await platform.close()
    return delays, sender.failures


def main(argv: list[str]) -> int:
    """Print the times; exit with 1 if one is over the limit."""
    del argv
    delays, failures = uvloop.run(_measure_removals())
    print("| removals | p50 s | max s | over 8 s | requests failed |")
    print("|---|---|---|---|---|")
    over_limit = sum(seconds > LIMIT_SECONDS for seconds in delays)
    print(
        f"| {len(delays)} | {statistics.median(delays):.2f} "
        f"| {max(delays):.2f} | {over_limit} | {len(failures)} |"
    )
    for failure in failures:
        print(f"\nfailed: {failure}")
    return 1 if over_limit else 0


if __name__ == "__main__":
    sys.exit(app.run(main))
