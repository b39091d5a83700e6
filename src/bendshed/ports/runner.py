"""Ports of request forwarding to both sides: callers and runners."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import StrEnum

from bendshed.errors import Refusal
from bendshed.model.prompt import PromptPart
from bendshed.model.runner import ServiceRunner
from bendshed.model.service_document import Route
from bendshed.ports.http_messages import ClientRequest, Headers, ResponseHead


@dataclass(frozen=True, slots=True)
class TurnDetails:
    """What a caller states about a turn of an agent program.

    Attributes:
        previous_turn: id of the turn that this one continues; empty at the start of a chain.
        budget_tokens: tokens that the whole program may generate; ``None`` for no limit.
        max_answer_tokens: tokens that this turn may generate.
        parts: parts of the prompt, in order; requests may share all but the last.
        chain_id: chain of turns to which this one belongs; each turn continues the previous one.

    """

    previous_turn: str
    budget_tokens: int | None
    max_answer_tokens: int
    parts: tuple[PromptPart, ...] = ()
    chain_id: str = ""


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A caller's request, as received.

    Attributes:
        target: path and query string, as on the wire.
        headers: headers to be forwarded unchanged.
        wait_ms: how long the caller waits after arrival; ``None`` if not specified.
        session: id shared by requests with a common prompt prefix; empty for none.
        last_event_id: event after which the caller resumes a stream; empty for a new stream.
        resumes: id of the caller's attempt that brought the first event of that stream; empty if
            it names none.
        arrived_s: event loop time of the arrival.
        credential: SHA-256 of the caller's credential; empty if there is none or it is malformed.
        authorization: headers that contained it; forwarded only if the configuration declares no
            tenants.
        affinity_key: requests with the same key run faster on a runner that has served the key;
            empty for none.

    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    wait_ms: int | None
    program_id: str
    session: str
    last_event_id: str
    turn: TurnDetails | None
    arrived_s: float
    credential: str = field(default="", repr=False)
    authorization: Headers = field(default_factory=list, repr=False)
    affinity_key: str = ""
    resumes: str = ""


class Caller(ABC):
    """The caller of one request, who receives the response."""

    @abstractmethod
    async def refuse(self, refusal: Refusal) -> None:
        """Send an error response; abort if a response has already started."""

    @abstractmethod
    async def begin(self, head: ResponseHead) -> None:
        """Send status and headers."""

    @abstractmethod
    async def send(self, chunk: bytes) -> None:
        """Send a chunk of the body."""

    @abstractmethod
    async def end(self) -> None:
        """End the response after a complete body."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection so that the response is recognizably incomplete."""


class ResponseClass(StrEnum):
    """What the head of a response says about the request."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    OTHER_RUNNER = "other_runner"
    """Another runner now uses the address; the request was not run."""


@dataclass(frozen=True, slots=True)
class RunnerDispatch:
    """Data that a dispatch to one runner adds to the caller's request.

    Attributes:
        tenant: tenant on whose behalf the request runs; empty for none.
        forwards_authorization: whether the configuration declares no tenants, so that the
            authorization header is meant for the runner.
        urgency: 0 is the most urgent.
        remaining_ms: time that the runner may use.

    """

    route: Route
    runner: ServiceRunner
    tenant: str
    forwards_authorization: bool
    urgency: int
    remaining_ms: int


class RunnerProtocol(ABC):
    """The protocol of runners."""

    @abstractmethod
    def build_request(
        self, request: ServiceRequest, body: bytes, dispatch: RunnerDispatch
    ) -> ClientRequest:
        """Build the request for one runner."""

    def build_report_request(self, runner: ServiceRunner) -> ClientRequest | None:
        """Build a request for a runner's report on itself; ``None``: it gives none."""
        return None

    def read_birth_ms(self, report: bytes) -> int:
        """Unix time, in ms, of the start that a report names; 0: it names none."""
        return 0

    @abstractmethod
    def classify(self, head: ResponseHead) -> ResponseClass:
        """Determine from a response whether the request was run."""
