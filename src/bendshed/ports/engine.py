"""Port to a model engine."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from bendshed.wire.programs_pb2 import ChatMessage


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """One attempt of a call, as sent to an engine.

    Attributes:
        attempt_id: name of the stream on the engine; used to resume and cancel it.
        request_id: id of the caller's HTTP request, for correlating logs.
        program_id: program whose KV cache may be held between turns.
        messages: the complete prompt.
        max_answer_tokens: upper bound on the generated tokens.
        priority: lower is more urgent, as engines define it.

    """

    attempt_id: str
    request_id: str
    program_id: str
    model: str
    messages: list[ChatMessage]
    max_answer_tokens: int
    priority: int


@dataclass(slots=True)
class EngineUsage:
    """Tokens that the engine reports at the end of a stream."""

    prompt_tokens: int = 0
    answer_tokens: int = 0
    cached_tokens: int = 0


@dataclass(slots=True)
class StreamSummary:
    """Result of a stream; complete once ``finish_reason`` is set."""

    text: str = ""
    finish_reason: str = ""
    usage: EngineUsage = field(default_factory=EngineUsage)


class EngineNotStarted(Exception):
    """The engine certainly did not start the request (connection refused, 503 before start)."""

    def __init__(self, detail: str, leaving: bool = False) -> None:
        super().__init__(detail)
        self.leaving = leaving


class EngineBroken(Exception):
    """The stream ended early, or it is unknown whether it started."""


class EngineRejected(Exception):
    """The engine rejected the request permanently."""


class StreamUnknown(Exception):
    """On resume: the engine has no stream with this name."""


class NotSupported(Exception):
    """The engine does not implement this operation; callers continue without it."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load as reported by the engine, with a delay; ``leaving`` is set while it shuts down."""

    running: int
    waiting: int
    kv_used_share: float
    slots: int
    leaving: bool = False


class EngineStream(ABC):
    """A response in progress: raw server-sent events, then a summary."""

    summary: StreamSummary

    @abstractmethod
    def events(self) -> AsyncIterator[bytes]:
        """Yield raw bytes without the final ``[DONE]``; raise ``EngineBroken``."""


class Engine(ABC):
    """One model engine. Every method raises the errors defined above."""

    @abstractmethod
    async def generate(self, request: EngineRequest) -> EngineStream:
        """Start an attempt."""

    @abstractmethod
    async def resume(self, attempt_id: str) -> EngineStream:
        """Reread a stream from its first byte; raise ``StreamUnknown``."""

    @abstractmethod
    async def cancel(self, attempt_id: str) -> None:
        """Cancel a stream. The engine remembers its name and rejects a later start under it."""

    @abstractmethod
    async def load(self) -> LoadReport:
        """Return the current load."""

    @abstractmethod
    async def held_programs(self) -> list[str]:
        """Return the programs for which KV cache is held."""

    @abstractmethod
    async def release(self, program_id: str) -> None:
        """Release the KV cache held for a program."""

    @abstractmethod
    async def order(self, fence: int, order: str, argument: str) -> None:
        """Send a fenced order (load model or adapter, change role).

        The engine rejects an order whose fence is older than one it has seen.
        """
