"""Splits a server-sent event stream into complete events."""

from dataclasses import dataclass

# Maximum size of an event, in bytes.
MAX_EVENT_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """Complete event of a stream.

    :param data: raw bytes, including the blank line that ends the event.
    :param id: identifier of the event, or empty.
    """

    data: bytes
    id: str


class EventSplitter:
    """Assembles complete events from chunks of any size."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add a chunk and return the events that it completes.

        :raises ValueError: when an incomplete event exceeds
            ``MAX_EVENT_BYTES``.
        """
        self._buffer += data
        events = []
        while (end := _end_of_event(self._buffer)) > 0:
            event, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(StreamEvent(event, _event_id(event)))
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(
                f"event exceeds the limit of {MAX_EVENT_BYTES} bytes"
            )
        return events


def _end_of_event(data: bytes) -> int:
    """Return the end offset of the first event, 0 when it is incomplete."""
    ends = [
        offset + len(separator)
        for separator in (b"\n\n", b"\r\n\r\n")
        if (offset := data.find(separator)) >= 0
    ]
    return min(ends, default=0)


def _event_id(data: bytes) -> str:
    for line in data.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode(errors="replace")
    return ""
