"""Cache of histories that this node has served, so that a turn transfers only new messages."""

from collections import OrderedDict
from dataclasses import dataclass

from bendshed.identifiers import content_digest
from bendshed.wire import programs_pb2 as wire

DEFAULT_CAPACITY_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class CachedHistory:
    """Turns of one branch up to and including a call.

    Attributes:
        last_call: number of the call whose turn is the last one.
        digest: digest of all messages; the group compares it with the digest of its record.

    """

    last_call: int
    digest: bytes
    messages: tuple[wire.ChatMessage, ...]
    num_bytes: int


class HistoryMismatch(Exception):
    """The assembled history does not match the group's digest."""


class HistoryCache:
    """LRU cache of histories by (program, branch), bounded in bytes."""

    def __init__(self, capacity_bytes: int = DEFAULT_CAPACITY_BYTES) -> None:
        self._entries: OrderedDict[tuple[str, str], CachedHistory] = OrderedDict()
        self._capacity_bytes = capacity_bytes
        self.num_bytes = 0

    def get(self, program_id: str, branch: str) -> CachedHistory | None:
        """Return a cached history; ``None`` if there is none."""
        entry = self._entries.get((program_id, branch))
        if entry is not None:
            self._entries.move_to_end((program_id, branch))
        return entry

    def put(
        self, program_id: str, branch: str, last_call: int, messages: list[wire.ChatMessage]
    ) -> None:
        """Store a history whose turns are all committed."""
        self.drop(program_id, branch)
        size = sum(len(message.content) for message in messages)
        entry = CachedHistory(last_call, digest_messages(messages), tuple(messages), size)
        self._entries[(program_id, branch)] = entry
        self.num_bytes += size
        while self.num_bytes > self._capacity_bytes and self._entries:
            _, oldest = self._entries.popitem(last=False)
            self.num_bytes -= oldest.num_bytes

    def drop(self, program_id: str, branch: str) -> None:
        """Remove one history."""
        old = self._entries.pop((program_id, branch), None)
        if old is not None:
            self.num_bytes -= old.num_bytes

    def assemble(
        self, program_id: str, branch: str, result: wire.CallResult
    ) -> list[wire.ChatMessage]:
        """Return the history of a granted call: the cached part plus the part that the group sent.

        Raises ``HistoryMismatch`` if they do not add up to the history that the group stores.
        """
        messages: list[wire.ChatMessage] = []
        if result.history_after_call:
            cached = self.get(program_id, branch)
            if cached is None or cached.last_call != result.history_after_call:
                raise HistoryMismatch(program_id)
            messages.extend(cached.messages)
        for turn in result.history:
            messages.extend(turn.messages)
        if digest_messages(messages) != result.history_digest:
            raise HistoryMismatch(program_id)
        return messages


def digest_messages(messages: list[wire.ChatMessage]) -> bytes:
    """Return the digest as the group computes it (``programs.state.history_digest``)."""
    parts: list[str] = []
    for message in messages:
        parts += [message.role, message.content, message.extra_json]
    return content_digest(*parts)
