"""Data of one call in an executor, and its answer while it arrives."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from bendshed.errors import Refusal
from bendshed.wire import programs_pb2 as wire


@dataclass(frozen=True, slots=True)
class CallRequest:
    """One call of a program, as parsed by the gateway.

    Attributes:
        call_number: position in the order of all calls of the program, from 1.
        messages: the new messages only.
        deadline_ms: wall clock time after which the call is not started.
        request_id: id of this HTTP request.

    """

    program_id: str
    program_kind: str
    tenant: str
    branch: str
    parent_branch: str
    call_number: int
    idempotency_key: str
    body_digest: bytes
    messages: tuple[wire.ChatMessage, ...]
    unrepeatable: bool
    deadline_ms: int
    max_answer_tokens: int
    priority: int
    model: str
    request_id: str
    limits: wire.ProgramLimits

    @property
    def key(self) -> tuple[str, int]:
        """Program and call number."""
        return (self.program_id, self.call_number)


@dataclass(frozen=True, slots=True)
class Answered:
    """A complete and committed answer."""

    result: wire.CallResult


Outcome = Answered | Refusal


@dataclass(slots=True)
class LiveAnswer:
    """Bytes of an answer while they arrive; any number of readers can read them from the start.

    Attributes:
        chunks: server-sent events as the engine sent them, without the closing ``[DONE]``.
        outcome: set last, after the group has committed it.

    """

    request: CallRequest
    chunks: list[bytes] = field(default_factory=list)
    outcome: Outcome | None = None
    num_bytes: int = 0
    _waiters: "list[asyncio.Future[None]]" = field(default_factory=list)

    def append(self, chunk: bytes) -> None:
        """Append bytes."""
        self.chunks.append(chunk)
        self.num_bytes += len(chunk)
        self._notify()

    def finish(self, outcome: Outcome) -> None:
        """Set the outcome; no bytes follow."""
        self.outcome = outcome
        self._notify()

    def _notify(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def _wait_for_change(self) -> None:
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        await waiter

    async def read(self) -> AsyncIterator[bytes]:
        """Yield all bytes until the outcome is known; available ones are joined into one chunk."""
        position = 0
        while True:
            if position < len(self.chunks):
                pending = self.chunks[position:]
                position += len(pending)
                yield pending[0] if len(pending) == 1 else b"".join(pending)
            elif self.outcome is not None:
                return
            else:
                await self._wait_for_change()

    async def wait_for_start(self) -> None:
        """Wait for the first byte or the outcome."""
        while not self.chunks and self.outcome is None:
            await self._wait_for_change()

    async def wait(self) -> Outcome:
        """Wait for the outcome."""
        while self.outcome is None:
            await self._wait_for_change()
        return self.outcome
