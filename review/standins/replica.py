"""Stand-in of a backend server: a model engine or a plain service.

Prints its address, then a JSON line for each request that it begins, ends or
rejects. It registers nowhere itself: the harness writes its entry.
"""

import argparse
import asyncio
import json
import sys

import wire


def say(**fields: object) -> None:
    print(json.dumps(fields), flush=True)


class Replica:
    """Runs up to ``slots`` requests, and queues a few more.

    :param first_s: time to the first event of a stream, or to the answer.
    """

    def __init__(self, args: argparse.Namespace) -> None:
        self._args = args
        self._active = 0
        self._slots = asyncio.Semaphore(args.slots)

    async def serve(self, reader, writer) -> None:
        try:
            while (req := await wire.read_request(reader)) is not None:
                await self._answer(req, reader, writer)
                if req.headers.get("connection", "").lower() == "close":
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, req, reader, writer) -> None:
        args = self._args
        attempt = req.headers.get("attempt-id", "")
        if req.target == "/healthz":
            writer.write(wire.response(200, [("Instance-Id", args.id)], b""))
            return
        named = req.headers.get("target-instance", args.id)
        if named != args.id:
            say(what="misdirected", id=attempt)
            writer.write(wire.response(421, [("Instance-Id", args.id)], b""))
            return
        if self._active >= args.slots + args.queue:
            say(what="rejected", id=attempt)
            writer.write(wire.response(503, [("Not-Executed", "1")], b""))
            return
        self._active += 1
        gone = asyncio.create_task(reader.read(1))
        try:
            async with self._slots:
                work = asyncio.create_task(self._run(req, attempt, writer))
                await asyncio.wait(
                    (work, gone), return_when=asyncio.FIRST_COMPLETED
                )
                if not work.done():
                    work.cancel()
                    say(what="dropped", id=attempt)
                    raise ConnectionResetError
                await work
        finally:
            self._active -= 1
            gone.cancel()

    async def _run(self, req, attempt: str, writer) -> None:
        args = self._args
        say(
            what="run",
            id=attempt,
            tenant=req.headers.get("tenant", ""),
            key=req.headers.get("authorization", ""),
            path=req.target,
            model=req.headers.get("model", ""),
        )
        headers = [("Attempt-Id", attempt), ("Server-Seal", f"s.{attempt}")]
        if args.confidence >= 0:
            headers.append(("Confidence", str(args.confidence)))
        await asyncio.sleep(args.first_s)
        if not args.events:
            writer.write(
                wire.response(200, headers, f"{attempt} done".encode())
            )
            await writer.drain()
            return
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        after = int(req.headers.get("last-event-id") or 0)
        for number in range(after + 1, args.events + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(args.pause_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--queue", type=int, default=24)
    parser.add_argument("--first-s", type=float, default=0.045)
    parser.add_argument("--events", type=int, default=0)
    parser.add_argument("--pause-s", type=float, default=0.02)
    parser.add_argument("--confidence", type=int, default=-1)
    parser.add_argument("--life-s", type=float, default=150)
    args = parser.parse_args()
    replica = Replica(args)
    server = await asyncio.start_server(replica.serve, args.host, args.port)
    port = server.sockets[0].getsockname()[1]
    print(f"{args.host}:{port}", flush=True)
    await asyncio.sleep(args.life_s)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
