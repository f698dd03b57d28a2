"""Splits a server-sent event stream into complete events."""

from dataclasses import dataclass

from . import buffers

SEPARATORS = (b"\n\n", b"\r\n\r\n")
# Longest separator less one byte, by which a search must go back.
_OVERLAP = 3
# Bytes that are added at a time: a chunk may hold many events and be larger
# than the limit of one.
STEP_BYTES = 16 * buffers.KIB


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """Complete event of a stream.

    :param data: raw bytes, including the blank line that ends the event.
    :param id: identifier of the event, or empty.
    :param comment: whether it has no field, so that clients ignore it.
    """

    data: bytes
    id: str
    comment: bool = False


class EventSplitter:
    """Assembles complete events from chunks of any size.

    :param buffer: holds the incomplete event.
    """

    def __init__(self, buffer: buffers.Buffer) -> None:
        self._buffer = buffer
        self._searched = 0

    @property
    def partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer.view().strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add a chunk and return the events that it completes.

        :raises LimitExceeded: when an incomplete event is too large.
        """
        events = []
        for start in range(0, len(data), STEP_BYTES):
            self._buffer.append(data[start : start + STEP_BYTES])
            while (end := self._end_of_event()) > 0:
                self._searched = 0
                events.append(_parse(self._buffer.consume(end)))
        return events

    def _end_of_event(self) -> int:
        """Return the end offset of the first event, 0 when incomplete."""
        view = self._buffer.view()
        start = max(0, self._searched - _OVERLAP)
        self._searched = len(view)
        ends = [
            offset + len(separator)
            for separator in SEPARATORS
            if (offset := view.find(separator, start)) >= 0
        ]
        return min(ends, default=0)


def _parse(data: bytes) -> StreamEvent:
    event_id = ""
    comment = True
    for line in data.splitlines():
        if not line.strip() or line.startswith(b":"):
            continue
        comment = False
        if line.startswith(b"id:"):
            event_id = line[3:].strip().decode(errors="replace")
    return StreamEvent(data, event_id, comment)
