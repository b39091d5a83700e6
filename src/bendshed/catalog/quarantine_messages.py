"""Messages about runners that ended under requests, decoded once into types."""

from collections.abc import Iterable
from dataclasses import dataclass

from bendshed.catalog.codec import address_from_wire, address_to_wire
from bendshed.model.address import Address
from bendshed.model.runner import RunnerProcess
from bendshed.retries.quarantine import RunnerEnd
from bendshed.wire import catalog_pb2 as wire

ENDS_METHOD = "quarantine.ends"
"""Request to a replica machine: merge these ends, and return what it knows."""
PUSH_METHOD = "quarantine.push"
"""One way, to fronts: ends that they may not know."""
FORWARD_METHOD = "quarantine.forward"
"""One way, to another replica machine, which pushes them to its own fronts."""


@dataclass(frozen=True, slots=True)
class EndsRequest:
    """Ends that a node reports.

    Attributes:
        wants_all: the reply contains all ends that the machine knows, not only those of the same
            requests.

    """

    ends: tuple[RunnerEnd, ...]
    wants_all: bool

    def encode(self) -> bytes:
        """Encode the request."""
        rows = _to_wire(self.ends)
        return wire.RunnerEndsRequest(ends=rows, wants_all=self.wants_all).SerializeToString()

    @classmethod
    def decode(cls, content: bytes) -> "EndsRequest":
        """Decode a request; raise ``DecodeError``."""
        request = wire.RunnerEndsRequest.FromString(content)
        return cls(_from_wire(request.ends), request.wants_all)


@dataclass(frozen=True, slots=True)
class EndsReply:
    """What a replica machine knows.

    Attributes:
        version: changes with what it knows; 0: it knows no ends.

    """

    ends: tuple[RunnerEnd, ...]
    version: int

    def encode(self) -> bytes:
        """Encode the reply."""
        rows = _to_wire(self.ends)
        return wire.RunnerEndsReply(ends=rows, version=self.version).SerializeToString()

    @classmethod
    def decode(cls, content: bytes) -> "EndsReply":
        """Decode a reply; raise ``DecodeError``."""
        reply = wire.RunnerEndsReply.FromString(content)
        return cls(_from_wire(reply.ends), reply.version)


@dataclass(frozen=True, slots=True)
class EndsPush:
    """Ends that a replica machine has just learned.

    Attributes:
        version_before, version: versions of the sender's knowledge without and with these ends.
        num_fronts: to a replica machine: how many fronts the sender pushes them to; ``None``: it
            does not say.

    """

    ends: tuple[RunnerEnd, ...]
    sender: Address
    version_before: int
    version: int
    num_fronts: int | None = None

    def encode(self) -> bytes:
        """Encode the message."""
        return wire.RunnerEndsPush(
            ends=_to_wire(self.ends),
            sender=address_to_wire(self.sender),
            version_before=self.version_before,
            version=self.version,
            num_fronts=self.num_fronts,
        ).SerializeToString()

    @classmethod
    def decode(cls, content: bytes) -> "EndsPush":
        """Decode a message; raise ``DecodeError``."""
        push = wire.RunnerEndsPush.FromString(content)
        sender = address_from_wire(push.sender)
        num_fronts = push.num_fronts if push.HasField("num_fronts") else None
        return cls(_from_wire(push.ends), sender, push.version_before, push.version, num_fronts)


def _to_wire(ends: Iterable[RunnerEnd]) -> list[wire.RunnerEnd]:
    return [
        wire.RunnerEnd(
            fingerprint=end.fingerprint,
            end_id=end.end_id,
            runner_id=end.process.runner_id,
            born_ms=end.process.born_ms,
            reporter=end.reporter,
            age_ms=int(end.age_s * 1000),
            is_cleared=end.is_cleared,
        )
        for end in ends
    ]


def _from_wire(rows: Iterable[wire.RunnerEnd]) -> tuple[RunnerEnd, ...]:
    return tuple(
        RunnerEnd(
            row.fingerprint,
            row.end_id,
            RunnerProcess(row.runner_id, row.born_ms),
            row.reporter,
            row.age_ms / 1000,
            row.is_cleared,
        )
        for row in rows
    )
