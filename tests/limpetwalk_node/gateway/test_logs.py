"""Tests of the structured log: bounds, a stalled reader, the reference."""

import inspect
import os
import pathlib
import re
import time
import unittest

from limpetwalk import metrics as metrics_
from limpetwalk_node.gateway import events
from limpetwalk_node.gateway import logs

ROOT = pathlib.Path(__file__).parents[3]


def all_events() -> list[type[events.Event]]:
    return [
        event_class
        for _, event_class in inspect.getmembers(events, inspect.isclass)
        if issubclass(event_class, events.Event)
        and event_class is not events.Event
    ]


class Volume(unittest.TestCase):
    """Limits of the log's volume."""

    def journal(self, lines: list[str]) -> logs.Journal:
        class Writer:
            dropped = 0

            def write(self, line: str) -> None:
                lines.append(line)

            def flush(self, timeout: float) -> None:
                pass

        return logs.Journal("n", Writer(), metrics_.Metrics())

    def test_sampled_events_are_bounded_and_counted(self) -> None:
        lines: list[str] = []
        metrics = metrics_.Metrics()
        writer = logs.BoundedWriter(os.open(os.devnull, os.O_WRONLY))
        journal = logs.Journal("n", writer, metrics)
        with logs.send_lines_to(lines.append):
            started = int(time.monotonic())
            for _ in range(500):
                journal.emit(events.RequestEscalated("r", "a", "b", 1))
            seconds = int(time.monotonic()) - started + 1
        self.assertLessEqual(len(lines), logs.LINES_PER_SECOND * seconds)
        left_out = metrics.value(
            "limpetwalk_log_lines_left_out_total",
            {"event": "request.climbed"},
        )
        self.assertEqual(500, len(lines) + left_out)

    def test_failures_are_never_left_out(self) -> None:
        for event_class in (
            events.RequestFailed,
            events.RequestRefused,
            events.AttemptEnded,
        ):
            self.assertIs(events.Sampling.NEVER, event_class.sampling)
        lines: list[str] = []
        journal = self.journal(lines)
        with logs.send_lines_to(lines.append):
            for _ in range(500):
                journal.emit(events.RequestFailed("r", 502, "x", 1, 1))
        self.assertEqual(500, len(lines))


class StalledReader(unittest.TestCase):
    """Nobody reads the pipe that the log is written to."""

    def test_writing_continues_and_drops_are_counted(self) -> None:
        read_fd, write_fd = os.pipe()
        self.addCleanup(os.close, read_fd)
        writer = logs.BoundedWriter(write_fd, limit_bytes=200_000)
        writer.start()
        line = "x" * 999 + "\n"
        for _ in range(1000):
            writer.write(line)
        self.assertGreater(writer.dropped, 500)
        self.assertLess(writer.dropped, 1000)

    def test_all_lines_are_written_to_a_reader(self) -> None:
        read_fd, write_fd = os.pipe()
        self.addCleanup(os.close, read_fd)
        writer = logs.BoundedWriter(write_fd)
        writer.start()
        for number in range(50):
            writer.write(f"{number}\n")
        writer.flush(5.0)
        data = os.read(read_fd, 10_000)
        self.assertEqual(50, data.count(b"\n"))


class Reference(unittest.TestCase):
    """The reference page of all events."""

    def test_page_and_code_name_the_same_events_and_fields(self) -> None:
        page = (ROOT / "docs/reference/events.md").read_text()
        documented = {}
        for name, fields in re.findall(
            r"^\| `([a-z_.]+)` \| ([^|]*) \|", page, re.MULTILINE
        ):
            documented[name] = set(re.findall(r"`(\w+)`", fields))
        for event_class in all_events():
            fields_ = set(event_class.__dataclass_fields__)
            self.assertEqual(
                fields_, documented.get(event_class.name), event_class.name
            )
        self.assertEqual(
            {event_class.name for event_class in all_events()}, set(documented)
        )
