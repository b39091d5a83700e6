"""Port to a model engine."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from bendshed.wire.programs_pb2 import ChatMessage


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """One attempt of a call, as sent to an engine.

    Attributes:
        attempt_id: name of the stream at the engine; used to resume and cancel.
        request_id: the caller's HTTP request, to follow a call across logs.
        program_id: whose KV cache may be held between turns.
        messages: the whole prompt.
        max_answer_tokens: upper bound of generated tokens.
        priority: lower is more urgent, as engines take it.

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
    """Filled while a stream is read; complete when ``finish_reason`` is set."""

    text: str = ""
    finish_reason: str = ""
    usage: EngineUsage = field(default_factory=EngineUsage)


class EngineNotStarted(Exception):
    """Proven: the engine did not take the request (refused connection, 503 before start)."""

    def __init__(self, detail: str, leaving: bool = False) -> None:
        super().__init__(detail)
        self.leaving = leaving


class EngineBroken(Exception):
    """The stream ended early or nothing is known of its start."""


class EngineRejected(Exception):
    """The engine answered that this request can never be served."""


class StreamUnknown(Exception):
    """Resume: the engine has no stream of this name."""


class NotSupported(Exception):
    """The engine lacks this part of the port; callers go on without it."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load as the engine reports it, with a lag; ``leaving``: the engine says that it leaves."""

    running: int
    waiting: int
    kv_used_share: float
    slots: int
    leaving: bool = False


class EngineStream(ABC):
    """One answer being read: raw server-sent events, then a summary."""

    summary: StreamSummary

    @abstractmethod
    def events(self) -> AsyncIterator[bytes]:
        """Raw bytes without the closing ``[DONE]``; raise ``EngineBroken``."""


class Engine(ABC):
    """One model engine. Every method raises the errors named above."""

    @abstractmethod
    async def generate(self, request: EngineRequest) -> EngineStream:
        """Start an attempt."""

    @abstractmethod
    async def resume(self, attempt_id: str) -> EngineStream:
        """Read a stream again from its first byte; raise ``StreamUnknown``."""

    @abstractmethod
    async def cancel(self, attempt_id: str) -> None:
        """End a stream. The engine remembers the name and refuses a later start of it."""

    @abstractmethod
    async def load(self) -> LoadReport:
        """Report the load."""

    @abstractmethod
    async def held_programs(self) -> list[str]:
        """Programs for which KV cache is held."""

    @abstractmethod
    async def release(self, program_id: str) -> None:
        """Give back the KV cache held for a program."""

    @abstractmethod
    async def order(self, fence: int, order: str, argument: str) -> None:
        """Fenced order (load model or adapter, change role); an older fence is refused."""
