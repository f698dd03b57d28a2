"""Bare aiohttp pass-through: a lower bound for the cost of an entry node.

Run as ``python -m limpetwalk_bench.overhead.passthrough``. It reads a body,
posts it to one target and returns the answer, and does nothing else.
"""

import asyncio
import json
import sys

from absl import app
from absl import flags
import aiohttp
from aiohttp import web
import uvloop

_TARGET = flags.DEFINE_string("target", "", "URL that requests go to")
_PORT = flags.DEFINE_integer("port", 0, "port to listen on; 0 for any")


async def _serve(target: str, port: int) -> None:
    http = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
    )

    async def handle(req: web.Request) -> web.Response:
        body = await req.read()
        async with http.post(
            target + req.path_qs,
            data=body,
            headers={"Content-Type": "application/json"},
        ) as resp:
            answer = await resp.read()
            return web.Response(
                body=answer,
                status=resp.status,
                content_type="application/json",
            )

    application = web.Application()
    application.router.add_post("/{path:.*}", handle)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", port)
    await site.start()
    bound = runner.addresses[0][1]
    print(json.dumps({"ready": True, "ports": {"http": bound}}), flush=True)
    try:
        await asyncio.Event().wait()
    finally:
        await http.close()
        await runner.cleanup()


def main(argv: list[str]) -> int:
    """Serve until the process is terminated."""
    del argv
    try:
        uvloop.run(_serve(_TARGET.value, _PORT.value))
    except KeyboardInterrupt:
        return 0
    return 0


if __name__ == "__main__":
    sys.exit(app.run(main))
