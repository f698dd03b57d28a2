"""Stand-in of the platform's metadata store."""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import json
import time
from typing import Any

from aiohttp import web

ROWS_PER_ANSWER = 500


@dataclass
class Row:
    """Row of a table.

    :param value: contents, base64; None when it was removed.
    """

    table: str
    key: str
    value: str | None
    ver: int

    def shown(self) -> dict[str, Any]:
        """Return the row as answers show it."""
        row = {"table": self.table, "part": "", "key": self.key}
        held: dict[str, Any] = {**row, "ver": self.ver}
        if self.value is None:
            held["tombstone"] = True
        else:
            held["value"] = self.value
        return held


@dataclass
class Faults:
    """Faults that tests switch on.

    :param status: status of every answer, 0 for none.
    :param silent: whether answers never come.
    :param lose_writes: whether writes are done and not answered.
    :param page: rows of one answer at most.
    """

    status: int = 0
    silent: bool = False
    lose_writes: bool = False
    page: int = ROWS_PER_ANSWER


@dataclass
class Store:
    """Rows in memory, with their history since ``forgotten``."""

    rows: dict[tuple[str, str], Row] = field(default_factory=dict)
    ver: int = 0
    forgotten: int = 0
    faults: Faults = field(default_factory=Faults)
    calls: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Prepare to wake waiting calls."""
        self._changed = asyncio.Condition()

    def app(self) -> web.Application:
        """Return the application of the store's interface."""
        app = web.Application(middlewares=[self._fault])
        app.router.add_get("/v1/rows-get", self._get)
        app.router.add_get("/v1/rows-feed", self._feed)
        app.router.add_post("/v1/rows-tx", self._tx)
        return app

    async def put(self, table: str, key: str, value: Any) -> int:
        """Write a row as the operator or a server does.

        :param value: contents; bytes are taken as they are, others as JSON.
        """
        data = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        return await self._write(
            [(table, key, base64.b64encode(data).decode())]
        )

    async def remove(self, table: str, key: str) -> int:
        """Remove a row."""
        return await self._write([(table, key, None)])

    def value(self, table: str, key: str) -> Any:
        """Return the contents of a row, None when it is absent."""
        row = self.rows.get((table, key))
        if row is None or row.value is None:
            return None
        return json.loads(base64.b64decode(row.value))

    async def discard_history(self) -> None:
        """Discard what changed so far, and break off waiting calls."""
        async with self._changed:
            self.forgotten = self.ver
            self._changed.notify_all()

    async def _write(
        self, entries: Iterable[tuple[str, str, str | None]]
    ) -> int:
        async with self._changed:
            self.ver += 1
            for table, key, value in entries:
                self.rows[(table, key)] = Row(table, key, value, self.ver)
            self._changed.notify_all()
            return self.ver

    @web.middleware
    async def _fault(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        self.calls.append(request.path)
        if self.faults.silent:
            await asyncio.sleep(3600)
        if self.faults.status:
            return web.Response(status=self.faults.status)
        resp = await handler(request)
        if self.faults.lose_writes and request.method == "POST":
            assert request.transport is not None
            request.transport.abort()
        return resp

    async def _get(self, req: web.Request) -> web.Response:
        start = req.query.get("from", "")
        found = sorted(
            (
                row
                for (table, key), row in self.rows.items()
                if table == req.query["table"]
                and key >= start
                and row.value is not None
            ),
            key=lambda row: row.key.encode(),
        )
        page = found[: self.faults.page]
        return self._answer(page, has_more=len(found) > len(page))

    async def _feed(self, req: web.Request) -> web.Response:
        since = int(req.query["since_rev"])
        end = time.monotonic() + int(req.query["wait_ms"]) / 1000
        async with self._changed:
            while True:
                if since < self.forgotten:
                    return web.Response(status=410)
                found = [
                    row
                    for (table, _), row in self.rows.items()
                    if table == req.query["table"] and row.ver > since
                ]
                left = end - time.monotonic()
                if found or left <= 0:
                    found.sort(key=lambda row: row.ver)
                    return self._answer(found)
                try:
                    async with asyncio.timeout(left):
                        await self._changed.wait()
                except TimeoutError:
                    continue

    async def _tx(self, req: web.Request) -> web.Response:
        body = await req.json()
        for each in body["expect_rev"]:
            row = self.rows.get((each["table"], each["key"]))
            held = row.ver if row and row.value is not None else 0
            if held != each["ver"]:
                return web.json_response({"rows": []}, status=412)
        entries = [
            (each["table"], each["key"], each["value"])
            for each in body["puts"]
        ]
        entries += [
            (each["table"], each["key"], None) for each in body["remove"]
        ]
        ver = await self._write(entries)
        return web.json_response({"ver": ver, "now_ms": _now_ms()})

    def _answer(self, rows: list[Row], **more: Any) -> web.Response:
        return web.json_response(
            {
                "rows": [row.shown() for row in rows],
                "ver": self.ver,
                "now_ms": _now_ms(),
                **more,
            }
        )


def _now_ms() -> int:
    return int(time.monotonic() * 1000)
