"""Structured log on standard output, bounded and non-blocking."""

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

# Largest number of buffered bytes; beyond it, lines are dropped.
MAX_BUFFER_BYTES = 1024 * 1024
# Largest number of lines per second of each kind of event that may be left
# out. A failed request writes about five lines, of other kinds too.
LINES_PER_SECOND = 50
# Time for which the writer collects lines before it writes them, seconds.
IDLE_PAUSE = 0.05


class Writer(Protocol):
    """Destination of log lines.

    :ivar dropped: number of lines that were dropped.
    """

    dropped: int

    def write(self, line: str) -> None:
        """Accept a line without blocking."""
        ...

    def flush(self, timeout: float) -> None:
        """Wait until all lines are written, at most ``timeout`` seconds."""
        ...


class BoundedWriter:
    """Writes lines from a thread, and drops them when the buffer is full.

    :param fd: file descriptor to write to.
    :param limit_bytes: size of the buffer, in bytes.
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
        """Start the thread that writes."""
        self._thread.start()

    def write(self, line: str) -> None:
        """Buffer a line, or drop it when the buffer is full."""
        data = line.encode()
        if self._buffered_bytes + len(data) > self._limit_bytes:
            self.dropped += 1
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        self.lines += 1
        self._wake.set()

    def flush(self, timeout: float) -> None:
        """Wait until all lines are written, at most ``timeout`` seconds."""
        deadline = time.monotonic() + timeout
        while self._buffer and time.monotonic() < deadline:
            time.sleep(IDLE_PAUSE / 10)

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            time.sleep(IDLE_PAUSE)
            while self._buffer:
                # Write a batch of lines. They stay in the buffer until they
                # are written, so that flush() waits for them.
                data = b"".join(list(self._buffer)[:200])
                count = min(200, len(self._buffer))
                try:
                    _write_all(self._fd, data)
                except OSError:
                    # The reader has closed; the lines still count as dropped.
                    self.dropped += count
                for _ in range(count):
                    self._buffered_bytes -= len(self._buffer.popleft())


def _write_all(fd: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]


class _LibraryLogHandler(logging.Handler):
    """Forwards warnings of libraries to the log."""

    def __init__(self, journal: "Journal") -> None:
        super().__init__(logging.WARNING)
        self._journal = journal

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record of a library as an event."""
        self._journal.emit(
            events.UnexpectedError(record.name, record.getMessage()[:500])
        )


class Journal:
    """Log of the process, with one JSON line per event.

    :param node: name of the node, written in every line.
    """

    def __init__(
        self, node: str, writer: Writer, metrics: metrics_.Metrics
    ) -> None:
        self._node = node
        self._writer = writer
        self._current_second = 0
        self._lines_in_second: collections.Counter[str] = collections.Counter()
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
        """Write an event, unless its kind exceeds its lines per second."""
        if not self._is_within_rate(event):
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
        """Return the number of lines dropped because nobody read them."""
        return self._writer.dropped

    def flush(self, timeout: float) -> None:
        """Wait until all lines are written, at most ``timeout`` seconds."""
        self._writer.flush(timeout)

    def _is_within_rate(self, event: events.Event) -> bool:
        if event.sampling is events.Sampling.NEVER:
            return True
        current_second = int(time.monotonic())
        if current_second != self._current_second:
            self._current_second = current_second
            self._lines_in_second.clear()
        self._lines_in_second[event.name] += 1
        return self._lines_in_second[event.name] <= LINES_PER_SECOND


@contextlib.contextmanager
def send_lines_to(write: Callable[[str], None]) -> Iterator[None]:
    """Send lines to a function until the context ends."""
    sink = logger.add(write, format="{message}", level="INFO", catch=False)
    try:
        yield
    finally:
        logger.remove(sink)


def configure(node: str, metrics: metrics_.Metrics) -> Journal:
    """Send the log of this process to standard output.

    The queue of loguru needs locks between processes, so lines go to a bounded
    buffer of this process instead.
    """
    writer = BoundedWriter(sys.stdout.fileno())
    writer.start()
    logger.remove()
    logger.add(writer.write, format="{message}", level="INFO", catch=False)
    journal = Journal(node, writer, metrics)
    logging.basicConfig(handlers=[_LibraryLogHandler(journal)], force=True)
    return journal
