"""Stand-in of the platform's metadata store, and of its operator."""

import asyncio
import base64
import json
import time
import urllib.parse

import wire

HISTORY_S = 20.0


class Store:
    """Rows of tables, with versions, conditional writes and a feed."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.history: list[tuple[float, str, str, bytes | None, int]] = []
        self.version = 100
        self._dropped = 0
        self.era = 1
        self.away = False
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self, host: str) -> None:
        """Serve at a free port of a loopback address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def put(self, table: str, key: str, value: object) -> int:
        """Write a row as the operator or a server does; return its version."""
        return self._write([(table, key, json.dumps(value).encode())])

    def remove(self, table: str, key: str) -> int:
        """Remove a row."""
        return self._write([(table, key, None)])

    def _write(self, changes: list[tuple[str, str, bytes | None]]) -> int:
        self.version += 1
        now = time.monotonic()
        for table, key, value in changes:
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = value, self.version
            self.history.append((now, table, key, value, self.version))
        while self.history and self.history[0][0] < now - HISTORY_S:
            self._dropped = self.history.pop(0)[4]
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    def snapshot(self) -> tuple[float, dict, int]:
        """Return a copy: the time, the rows and the version."""
        return time.monotonic(), dict(self.rows), self.version

    def restore(self, copy: tuple[float, dict, int]) -> None:
        """Come back from a copy; versions are given out again."""
        _, rows, self.version = copy
        self.rows = dict(rows)
        self.history.clear()
        self._dropped = self.version
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        try:
            while (req := await wire.read_request(reader)) is not None:
                status, answer = await self._answer(req)
                body = json.dumps(answer).encode()
                writer.write(
                    wire.response(
                        status,
                        [
                            ("Content-Type", "application/json"),
                            ("Store-Era", str(self.era)),
                        ],
                        body,
                    )
                )
                await writer.drain()
                if req.headers.get("connection", "").lower() == "close":
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, req) -> tuple[int, dict]:
        path, _, query = req.target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        await asyncio.sleep(0.004)
        if self.away:
            return 503, {}
        if path == "/v1/rows-get":
            return 200, self._get(args)
        if path == "/v1/rows-feed":
            return await self._feed(args)
        if path == "/v1/rows-tx":
            return self._transact(json.loads(req.body))
        return 404, {}

    def _stamp(self, answer: dict) -> dict:
        answer["ver"] = self.version
        answer["now_ms"] = int(time.monotonic() * 1000)
        return answer

    def _get(self, args: dict[str, str]) -> dict:
        start, end = args.get("from", ""), args.get("to")
        found = sorted(
            (key, value, version)
            for (table, key), (value, version) in self.rows.items()
            if table == args["table"]
            and key >= start
            and (end is None or key < end)
        )
        limit = min(500, int(args.get("limit", 500)))
        rows = [
            _row(args["table"], key, value, version)
            for key, value, version in found[:limit]
        ]
        return self._stamp({"rows": rows, "has_more": len(found) > limit})

    async def _feed(self, args: dict[str, str]) -> tuple[int, dict]:
        since = int(args["since_rev"])
        deadline = time.monotonic() + int(args.get("wait_ms", 0)) / 1000
        while True:
            if self.away:
                return 503, {}
            if since < self._dropped or since > self.version:
                return 410, {}
            latest = {}
            for _, table, key, value, version in self.history:
                if table == args["table"] and version > since:
                    latest.pop(key, None)
                    latest[key] = value, version
            if latest or time.monotonic() >= deadline:
                rows = [
                    _row(args["table"], key, value, version)
                    for key, (value, version) in latest.items()
                ]
                return 200, self._stamp({"rows": rows})
            changed = self._changed
            try:
                async with asyncio.timeout(deadline - time.monotonic()):
                    await changed.wait()
            except TimeoutError:
                pass

    def _transact(self, body: dict) -> tuple[int, dict]:
        failed = False
        current = []
        for expected in body.get("expect_rev", ()):
            key = expected["table"], expected["key"]
            value, version = self.rows.get(key, (b"", 0))
            failed = failed or version != expected["ver"]
            if version:
                current.append(_row(*key, value, version))
        if failed:
            return 412, self._stamp({"rows": current})
        changes = [
            (put["table"], put["key"], base64.b64decode(put["value"]))
            for put in body.get("puts", ())
        ]
        changes += [
            (drop["table"], drop["key"], None)
            for drop in body.get("remove", ())
        ]
        if any(table in ("op", "servers") for table, _, _ in changes):
            return 403, {}
        self._write(changes)
        return 200, self._stamp({})


def _row(table: str, key: str, value: bytes | None, version: int) -> dict:
    row = {"table": table, "part": "", "key": key, "ver": version}
    if value is None:
        row["tombstone"] = True
    else:
        row["value"] = base64.b64encode(value).decode()
    return row
