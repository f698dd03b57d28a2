"""Splitting a stream into whole events."""

from dataclasses import dataclass

# Longest event that is put together, bytes.
LONGEST_EVENT = 1024 * 1024


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """Whole event of a stream.

    :param data: its bytes, with the blank line that ends it.
    :param id: its identifier, or empty.
    """

    data: bytes
    id: str


class EventSplitter:
    """Puts whole events together from chunks of any size."""

    def __init__(self) -> None:
        self._held = b""

    @property
    def partial(self) -> bool:
        """Whether the start of an event is held."""
        return bool(self._held.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are whole now.

        :raises ValueError: when an event grows too long.
        """
        self._held += data
        found = []
        while (end := _end_of_event(self._held)) > 0:
            whole, self._held = self._held[:end], self._held[end:]
            found.append(StreamEvent(whole, _event_id(whole)))
        if len(self._held) > LONGEST_EVENT:
            raise ValueError(f"an event is longer than {LONGEST_EVENT} bytes")
        return found


def _end_of_event(data: bytes) -> int:
    """Return where the first event ends, 0 when it isn't whole."""
    ends = [
        at + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (at := data.find(mark)) >= 0
    ]
    return min(ends, default=0)


def _event_id(data: bytes) -> str:
    for line in data.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode(errors="replace")
    return ""
