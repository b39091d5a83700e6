"""A turn that may be continued, as one group of the turn log stores it. Pure."""

from dataclasses import dataclass

from bendshed.wire import turns_pb2 as wire


@dataclass(slots=True)
class StoredTurn:
    """One turn that may be continued.

    Attributes:
        previous_turn: the turn it continues; empty at the start of a chain.
        transcript: its input and output.
        expires_ms: time of the log's clock until which it is stored, with its whole chain.

    """

    previous_turn: str
    transcript: bytes
    expires_ms: int

    def to_wire(self, tenant: str, turn_id: str) -> wire.KeptTurn:
        """Write it for a snapshot."""
        return wire.KeptTurn(
            tenant=tenant,
            turn_id=turn_id,
            previous_turn=self.previous_turn,
            transcript=self.transcript,
            expires_ms=self.expires_ms,
        )

    @classmethod
    def of_wire(cls, row: wire.KeptTurn) -> "StoredTurn":
        """Read it from a snapshot."""
        return cls(row.previous_turn, row.transcript, row.expires_ms)
