"""Splits a stream of server-sent events into complete events and parses ids and data."""

from dataclasses import dataclass

EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
MAX_TERMINATOR_BYTES = max(len(terminator) for terminator in EVENT_TERMINATORS)
MAX_EVENT_BYTES = 64 * 1024
"""Size of the largest event; a longer one is taken for bytes without end."""


class EventTooLarge(Exception):
    """An event does not end."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event.

    Attributes:
        raw: its bytes, including the empty line that ends it.
        event_id: its id; ``None``: it has none, or the id is not a number.
        data: its data lines, joined by line feeds; ``None``: it has none.

    """

    raw: bytes
    event_id: int | None
    data: bytes | None


class EventSplitter:
    """Buffers bytes until events are complete."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Append bytes; return the events that are complete now; raise ``EventTooLarge``."""
        searched_to = max(0, len(self._buffer) - MAX_TERMINATOR_BYTES)
        self._buffer += chunk
        events = []
        while (end := self._next_end(searched_to)) > 0:
            raw, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(read_event(raw))
            searched_to = 0
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"an event of more than {MAX_EVENT_BYTES} bytes")
        return events

    def _next_end(self, searched_to: int) -> int:
        """Position after the first event's terminator; 0: no event is complete."""
        positions = [
            (self._buffer.find(terminator, searched_to), len(terminator))
            for terminator in EVENT_TERMINATORS
        ]
        return min((start + size for start, size in positions if start >= 0), default=0)


def read_event(raw: bytes) -> StreamEvent:
    """Parse one complete event."""
    event_id: int | None = None
    data: list[bytes] = []
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            data.append(value)
        elif name == b"id":
            event_id = int(value) if value.isdigit() else None
    return StreamEvent(raw, event_id, b"\n".join(data) if data else None)
