"""Output that a turn has sent to its caller so far: events, their rate, and the bytes to store."""

import asyncio
from dataclasses import dataclass, field

from bendshed.model.service_document import EngineFeatures
from bendshed.services.events import StreamEvent

MAX_STORED_BYTES = 4 * 1024 * 1024
"""Stored output of one turn: twice the text of the longest history of a program."""


@dataclass(slots=True)
class TurnOutput:
    """The events of one turn.

    Invariant: an event is counted before it is sent, so a caller never has more than is counted.

    Attributes:
        engine: features of the service; ``None``: not a model engine.
        stores_output: the turn log stores the output, for turns that continue this one.
        num_events: events sent to the caller.

    """

    engine: EngineFeatures | None
    stores_output: bool
    num_events: int = 0
    _num_stored_bytes: int = 0
    _data_chunks: list[bytes] = field(default_factory=list)
    _first_event_s: float = 0.0
    _last_event_s: float = 0.0

    def count(self, event: StreamEvent) -> bool:
        """Count an event before it is sent; an event without data holds no model output.

        ``False``: the output is too large to be stored, and the event must not be sent.
        """
        if event.data is None:
            return True
        if self.stores_output:
            self._num_stored_bytes += len(event.data) + 1
            if self._num_stored_bytes > MAX_STORED_BYTES:
                return False
        self.num_events += 1
        self._last_event_s = asyncio.get_running_loop().time()
        if self.num_events == 1:
            self._first_event_s = self._last_event_s
        if self.stores_output:
            self._data_chunks.append(event.data + b"\n")
        return True

    @property
    def content(self) -> bytes:
        """The output as stored in the transcript: the data of each event, ended by a line feed."""
        return b"".join(self._data_chunks)

    @property
    def num_tokens(self) -> int:
        """Tokens sent to the caller: each event counts as the most tokens that it can hold."""
        return self.num_events * (self.engine.event_tokens if self.engine is not None else 1)

    @property
    def event_gap_us(self) -> int:
        """Mean time between events in microseconds; 0: fewer than two events."""
        num_gaps = self.num_events - 1
        gap_s = (self._last_event_s - self._first_event_s) / num_gaps if num_gaps > 0 else 0.0
        return int(gap_s * 1_000_000)
