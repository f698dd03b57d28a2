"""Stand-in of the platform's metadata store."""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import json
import time
from typing import Any

from aiohttp import web

ROWS_PER_PAGE = 500


@dataclass
class Row:
    """Latest version of a row of a table.

    :param value: contents in base64; None when the row was removed.
    :param ver: store version at which the row was last written.
    """

    table: str
    key: str
    value: str | None
    ver: int

    def to_json(self) -> dict[str, Any]:
        """Return the row in the form that responses carry."""
        row_key = {"table": self.table, "part": "", "key": self.key}
        row: dict[str, Any] = {**row_key, "ver": self.ver}
        if self.value is None:
            row["tombstone"] = True
        else:
            row["value"] = self.value
        return row


@dataclass
class Faults:
    """Faults that tests switch on.

    :param status: HTTP status of every response; 0 switches the fault off.
    :param silent: whether requests are never answered.
    :param lose_writes: whether the connection is aborted once a write has
        been applied, so that its response is lost.
    :param page: maximum number of rows in one response.
    """

    status: int = 0
    silent: bool = False
    lose_writes: bool = False
    page: int = ROWS_PER_PAGE


@dataclass
class Store:
    """Versioned rows in memory.

    :param ver: version of the latest write.
    :param discarded_ver: version up to which the history is discarded.
    :param era: grows each time that the store is restored from a copy.
    :param calls: path of each request, in order of arrival.
    """

    rows: dict[tuple[str, str], Row] = field(default_factory=dict)
    ver: int = 0
    discarded_ver: int = 0
    era: int = 1
    faults: Faults = field(default_factory=Faults)
    calls: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Create the condition that wakes waiting feed requests."""
        self._changed = asyncio.Condition()
        self._log: list[Row] = []
        # Rows that copies lacked and that nobody has written again, and the
        # keys that were written since the first of these restorations.
        self._lost: list[Row] = []
        self._written_since: set[tuple[str, str]] = set()

    def app(self) -> web.Application:
        """Return the web application of the store's API."""
        app = web.Application(middlewares=[self._inject_fault])
        app.router.add_get("/v1/rows-get", self._get)
        app.router.add_get("/v1/rows-feed", self._feed)
        app.router.add_post("/v1/rows-tx", self._tx)
        return app

    async def put(self, table: str, key: str, value: Any) -> int:
        """Write a row as the operator or a server does.

        :param value: contents; bytes are stored as given, anything else is
            encoded as JSON.
        :returns: new version of the store.
        """
        data = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        return await self._write(
            [(table, key, base64.b64encode(data).decode())]
        )

    async def remove(self, table: str, key: str) -> int:
        """Remove a row.

        :returns: new version of the store.
        """
        return await self._write([(table, key, None)])

    def value(self, table: str, key: str) -> Any:
        """Return the decoded contents of a row, None when it is absent."""
        row = self.rows.get((table, key))
        if row is None or row.value is None:
            return None
        return json.loads(base64.b64decode(row.value))

    async def discard_history(self) -> None:
        """Discard the history so far.

        Waiting feed requests from an older version get status 410.
        """
        async with self._changed:
            self.discarded_ver = self.ver
            self._changed.notify_all()

    async def restore(self, ver: int) -> None:
        """Go back to a version; what was written since is lost.

        Later versions are given out again. Waiting feed requests get status
        503.

        :param ver: version of the copy that the store is restored from.
        """
        async with self._changed:
            if not self._lost:
                self._written_since.clear()
            lost = [row for row in self._log if row.ver > ver]
            self._written_since -= {(row.table, row.key) for row in lost}
            self._lost += lost
            self._log = [row for row in self._log if row.ver <= ver]
            self.rows = {(row.table, row.key): row for row in self._log}
            self.ver = ver
            self.era += 1
            self._changed.notify_all()

    async def write_again(self, tables: Collection[str]) -> None:
        """Write lost rows again, unless they were written since.

        :param tables: tables whose writers know what they have written.
        """
        lost = {
            (row.table, row.key): row
            for row in self._lost
            if row.table in tables
        }
        self._lost = []
        for (table, key), row in lost.items():
            if (table, key) not in self._written_since:
                await self._write([(table, key, row.value)])

    async def _write(
        self, entries: Iterable[tuple[str, str, str | None]]
    ) -> int:
        async with self._changed:
            self.ver += 1
            for table, key, value in entries:
                row = Row(table, key, value, self.ver)
                self.rows[(table, key)] = row
                self._written_since.add((table, key))
                self._log.append(row)
            self._changed.notify_all()
            return self.ver

    @web.middleware
    async def _inject_fault(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        self.calls.append(request.path)
        if self.faults.silent:
            await asyncio.sleep(3600)
        if self.faults.status:
            resp: web.StreamResponse = web.Response(status=self.faults.status)
        else:
            resp = await handler(request)
        resp.headers["Store-Era"] = str(self.era)
        if (
            not self.faults.status
            and self.faults.lose_writes
            and request.method == "POST"
        ):
            assert request.transport is not None
            request.transport.abort()
        return resp

    async def _get(self, req: web.Request) -> web.Response:
        start = req.query.get("from", "")
        rows = sorted(
            (
                row
                for (table, key), row in self.rows.items()
                if table == req.query["table"]
                and key >= start
                and row.value is not None
            ),
            key=lambda row: row.key.encode(),
        )
        page = rows[: self.faults.page]
        return self._json_response(page, has_more=len(rows) > len(page))

    async def _feed(self, req: web.Request) -> web.Response:
        since = int(req.query["since_rev"])
        wait_until = time.monotonic() + int(req.query["wait_ms"]) / 1000
        era = self.era
        async with self._changed:
            while True:
                if self.era != era:
                    return web.Response(status=503)
                if not self.discarded_ver <= since <= self.ver:
                    return web.Response(status=410)
                rows = [
                    row
                    for (table, _), row in self.rows.items()
                    if table == req.query["table"] and row.ver > since
                ]
                remaining = wait_until - time.monotonic()
                if rows or remaining <= 0:
                    rows.sort(key=lambda row: row.ver)
                    return self._json_response(rows)
                try:
                    async with asyncio.timeout(remaining):
                        await self._changed.wait()
                except TimeoutError:
                    continue

    async def _tx(self, req: web.Request) -> web.Response:
        body = await req.json()
        for expected in body["expect_rev"]:
            row = self.rows.get((expected["table"], expected["key"]))
            current_ver = row.ver if row and row.value is not None else 0
            if current_ver != expected["ver"]:
                return web.json_response({"rows": []}, status=412)
        entries = [
            (put["table"], put["key"], put["value"]) for put in body["puts"]
        ]
        entries += [
            (removed["table"], removed["key"], None)
            for removed in body["remove"]
        ]
        ver = await self._write(entries)
        return web.json_response({"ver": ver, "now_ms": _now_ms()})

    def _json_response(self, rows: list[Row], **more: Any) -> web.Response:
        return web.json_response(
            {
                "rows": [row.to_json() for row in rows],
                "ver": self.ver,
                "now_ms": _now_ms(),
                **more,
            }
        )


def _now_ms() -> int:
    return int(time.monotonic() * 1000)
