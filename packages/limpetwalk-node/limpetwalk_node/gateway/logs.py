"""Structured log on standard output, bounded and never in the way."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import json
import logging
import os
import sys
import threading
import time
from typing import Protocol

from loguru import logger

from limpetwalk import metrics as metrics_

from . import events

# Bytes that may wait for a reader of the pipe before lines are dropped.
MAX_BUFFER_BYTES = 1024 * 1024
# Lines a second of one kind of event that may be left out. A failed request
# writes about five lines, none of them of these kinds alone.
LINES_PER_SECOND = 50
# Pause of the writer between two looks at an empty buffer, seconds.
IDLE_PAUSE = 0.05


class Writer(Protocol):
    """Where lines go."""

    dropped: int

    def write(self, line: str) -> None:
        """Take a line without waiting."""
        ...

    def flush(self, timeout: float) -> None:
        """Wait until all is written, at most ``timeout`` seconds."""
        ...


class BoundedWriter:
    """Writes lines from a thread, and drops them when nobody reads.

    :param fd: file descriptor to write to.
    """

    def __init__(self, fd: int, limit_bytes: int = MAX_BUFFER_BYTES) -> None:
        self._fd = fd
        self._limit_bytes = limit_bytes
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._wake = threading.Event()
        self.dropped = 0
        self.lines = 0
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def write(self, line: str) -> None:
        """Take a line, or drop it when too much is waiting."""
        data = line.encode()
        if self._buffered_bytes + len(data) > self._limit_bytes:
            self.dropped += 1
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        self.lines += 1
        self._wake.set()

    def flush(self, timeout: float) -> None:
        """Wait until all is written, at most ``timeout`` seconds."""
        end = time.monotonic() + timeout
        while self._buffer and time.monotonic() < end:
            time.sleep(IDLE_PAUSE / 10)

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            time.sleep(IDLE_PAUSE)
            while self._buffer:
                # A few lines at once, each kept until it is written.
                data = b"".join(list(self._buffer)[:200])
                count = min(200, len(self._buffer))
                try:
                    _write_all(self._fd, data)
                except OSError:
                    # Nobody will read any more; counters still tell.
                    self.dropped += count
                for _ in range(count):
                    self._buffered_bytes -= len(self._buffer.popleft())


def _write_all(fd: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]


class _LibraryLogHandler(logging.Handler):
    """Passes warnings of libraries on to the log."""

    def __init__(self, journal: "Journal") -> None:
        super().__init__(logging.WARNING)
        self._journal = journal

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record of a library."""
        self._journal.emit(
            events.UnexpectedError(record.name, record.getMessage()[:500])
        )


class Journal:
    """Log of the process: one JSON line for each event.

    :param node: name of the node, in every line.
    """

    def __init__(
        self, node: str, writer: Writer, metrics: metrics_.Metrics
    ) -> None:
        self._node = node
        self._writer = writer
        self._second = 0
        self._written: collections.Counter[str] = collections.Counter()
        self._lines = metrics.counter(
            "limpetwalk_log_lines", "Log lines by event.", ("event",)
        )
        self._left_out = metrics.counter(
            "limpetwalk_log_lines_left_out",
            "Log lines left out to bound their volume, by event.",
            ("event",),
        )
        metrics.gauge(
            "limpetwalk_log_lines_dropped",
            "Log lines dropped because nobody read them.",
        ).set_function(lambda: writer.dropped)

    def emit(self, event: events.Event) -> None:
        """Write an event, unless its kind has used up its second."""
        if not self._allows(event):
            self._left_out.labels(event.name).inc()
            return
        self._lines.labels(event.name).inc()
        line = {"ts": round(time.time(), 4), "node": self._node}
        line["event"] = event.name
        line.update(dataclasses.asdict(event))
        text = json.dumps(line, separators=(",", ":"), default=str)
        logger.opt(raw=True).info("{}\n", text)

    @property
    def dropped(self) -> int:
        """Lines dropped because nobody read them."""
        return self._writer.dropped

    def flush(self, timeout: float) -> None:
        """Wait until all lines are written, at most ``timeout`` seconds."""
        self._writer.flush(timeout)

    def _allows(self, event: events.Event) -> bool:
        if event.sampling is events.Sampling.NEVER:
            return True
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._written.clear()
        self._written[event.name] += 1
        return self._written[event.name] <= LINES_PER_SECOND


@contextlib.contextmanager
def send_lines_to(write: Callable[[str], None]) -> Iterator[None]:
    """Send lines elsewhere while the context lasts."""
    sink = logger.add(write, format="{message}", level="INFO", catch=False)
    try:
        yield
    finally:
        logger.remove(sink)


def configure(node: str, metrics: metrics_.Metrics) -> Journal:
    """Send the log of this process to standard output.

    loguru's own queue needs locks between processes, so its lines go to a
    bounded buffer of this process.
    """
    writer = BoundedWriter(sys.stdout.fileno())
    writer.start()
    logger.remove()
    logger.add(writer.write, format="{message}", level="INFO", catch=False)
    journal = Journal(node, writer, metrics)
    logging.basicConfig(handlers=[_LibraryLogHandler(journal)], force=True)
    return journal
