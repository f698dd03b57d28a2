"""Crash reports shared by the nodes.

A node at which a request crashes a backend server reports it to its peers,
and stores a row so that a node that starts later learns of it as well.
"""

import asyncio
import collections
from collections.abc import Coroutine
import hashlib
from typing import Any

from loguru import logger
import pydantic

from limpetwalk import clock as clocks
from limpetwalk import exceptions
from limpetwalk import metrics as metrics_
from limpetwalk.peers import hub as hubs
from limpetwalk.peers import messages
from limpetwalk.providers import base as platform
from limpetwalk.routing import quarantine as quarantines

PARTITION = "crash"
# Durations are in seconds.
ROW_LIFETIME = 3600
MAX_ROWS = 4096
WRITE_ATTEMPTS = 5
RETRY_DELAY = 1.0
MAX_PENDING_WRITES = 64


class _CrashRow(pydantic.BaseModel):
    """Contents of the row of a crash."""

    fingerprint: str
    server: str
    boot_id: str


class CrashSharing:
    """Shares the crashes recorded in a node's quarantine.

    :param hub: links to the peers.
    :param quarantine: crash counts of this node.
    :param table: table service.
    :param clock: source of time.
    :param metrics: metrics of the process.
    """

    def __init__(
        self,
        hub: hubs.Hub,
        quarantine: quarantines.Quarantine,
        table: platform.TableStore,
        clock: clocks.Clock,
        metrics: metrics_.Metrics,
    ) -> None:
        self._hub = hub
        self._quarantine = quarantine
        self._table = table
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()
        # Reports that were shared or received already, oldest first.
        self._known_reports: collections.OrderedDict[
            messages.CrashReport, None
        ] = collections.OrderedDict()
        self._reports = metrics.counter(
            "limpetwalk_crash_reports",
            "Crash reports, by where they came from or went.",
            ("way",),
        )
        quarantine.on_crash = self.share
        hub.subscribe(messages.CrashReport, self._on_report)

    async def start(self) -> None:
        """Load the stored crashes, with retries until the store answers."""
        self._spawn(self._load_stored())

    async def stop(self) -> None:
        """Cancel the loading and the writes in flight."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def share(self, fingerprint: str, server: str, boot_id: str) -> None:
        """Report a crash to the peers and store it."""
        report = messages.CrashReport(fingerprint, server, boot_id)
        self._add_if_new(report)
        self._reports.labels("sent").inc()
        self._hub.broadcast(report)
        if len(self._tasks) >= MAX_PENDING_WRITES:
            # The peers have the report; only a node that starts later misses
            # it.
            self._reports.labels("not_kept").inc()
            return
        self._spawn(self._store(report))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _on_report(
        self, sender: str, message: messages.Message
    ) -> messages.Message | None:
        assert isinstance(message, messages.CrashReport)
        self._reports.labels("received").inc()
        if not self._add_if_new(message):
            return None
        self._merge(message.fingerprint, message.server, message.boot_id)
        if not self._hub.is_full_mesh:
            # Forwards the report to nodes that the sender has no link to.
            self._hub.broadcast(message)
        return None

    def _add_if_new(self, report: messages.CrashReport) -> bool:
        if report in self._known_reports:
            return False
        self._known_reports[report] = None
        while len(self._known_reports) > MAX_ROWS:
            self._known_reports.popitem(last=False)
        return True

    def _merge(self, fingerprint: str, server: str, boot_id: str) -> None:
        self._quarantine.merge_crash(fingerprint, server, boot_id)

    async def _load_stored(self) -> None:
        while True:
            try:
                rows = await self._table.query(PARTITION, limit=MAX_ROWS)
            except exceptions.StoreError:
                await asyncio.sleep(RETRY_DELAY)
                continue
            break
        now = self._clock.wall()
        for row in rows:
            if row.expires_at is not None and row.expires_at <= now:
                continue
            value = _CrashRow.model_validate_json(row.value)
            self._reports.labels("loaded").inc()
            self._merge(value.fingerprint, value.server, value.boot_id)

    async def _store(self, report: messages.CrashReport) -> None:
        """Write the row, unless another node has written the same one."""
        value = _CrashRow(
            fingerprint=report.fingerprint,
            server=report.server,
            boot_id=report.boot_id,
        )
        put = platform.Put(
            platform.RowKey(PARTITION, _sort_key(report)),
            value.model_dump_json(),
            expect_version=0,
            expires_at=int(self._clock.wall()) + ROW_LIFETIME,
        )
        for _ in range(WRITE_ATTEMPTS):
            try:
                await self._table.transact([put], self._hub.boot_id)
                return
            except exceptions.StoreError:
                await asyncio.sleep(RETRY_DELAY)
        self._reports.labels("not_kept").inc()
        logger.warning(
            "could not store the crash of server {}: all writes failed",
            report.server,
        )


def _sort_key(report: messages.CrashReport) -> str:
    boot = f"{report.server}\0{report.boot_id}"
    digest = hashlib.sha256(boot.encode()).hexdigest()
    return f"{report.fingerprint}/{digest[:16]}"
