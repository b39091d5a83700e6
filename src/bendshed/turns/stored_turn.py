"""A stored turn that may be continued; one group of the turn log holds it."""

from dataclasses import dataclass

from bendshed.wire import turns_pb2 as wire


@dataclass(slots=True)
class StoredTurn:
    """One stored turn that may be continued.

    Attributes:
        previous_turn: id of the turn it continues; empty at the start of a chain.
        transcript: its input and output.
        expires_ms: time by the log's clock until which the turn and its whole chain are stored.

    """

    previous_turn: str
    transcript: bytes
    expires_ms: int

    def to_wire(self, tenant: str, turn_id: str) -> wire.KeptTurn:
        """Encode the turn for a snapshot."""
        return wire.KeptTurn(
            tenant=tenant,
            turn_id=turn_id,
            previous_turn=self.previous_turn,
            transcript=self.transcript,
            expires_ms=self.expires_ms,
        )

    @classmethod
    def from_wire(cls, row: wire.KeptTurn) -> "StoredTurn":
        """Decode a turn from a snapshot."""
        return cls(row.previous_turn, row.transcript, row.expires_ms)
