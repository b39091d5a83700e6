"""Ports between the forwarding of requests and its two sides: callers and runners."""

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
        previous_turn: id of the turn that it continues; empty at a chain's start.
        budget_tokens: what the whole program may generate; ``None``: no bound.
        max_answer_tokens: most that this turn may generate.
        parts: of its prompt, in order; requests may share all but the last.
        chain_id: name of the chain that the turn belongs to; its turns continue each other.

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
        target: path and query as on the wire.
        headers: to be passed on as they are.
        wait_ms: how long the caller waits from arrival; ``None``: it did not say.
        session: requests that share a prompt prefix; empty: none.
        last_event_id: the caller resumes a stream behind this event; empty: a start.
        arrived_s: loop time.
        credential: SHA-256 of the caller's credential; empty: none that can be read.
        authorization: the headers that carried it, passed on only where the configuration names no
            tenants.
        thing: affinity key; requests with the same one run faster at a runner that served it;
            empty: none.

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


class Caller(ABC):
    """Answers the caller of one request."""

    @abstractmethod
    async def refuse(self, refusal: Refusal) -> None:
        """Answer with an error of ours; break off if an answer has begun."""

    @abstractmethod
    async def begin(self, head: ResponseHead) -> None:
        """Pass on status and headers."""

    @abstractmethod
    async def send(self, chunk: bytes) -> None:
        """Pass on a piece of the body."""

    @abstractmethod
    async def end(self) -> None:
        """The body is whole."""

    @abstractmethod
    def abort(self) -> None:
        """End the connection so that the answer cannot look complete."""


class ResponseClass(StrEnum):
    """What an answer's head says of the request."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    OTHER_RUNNER = "other_runner"
    """Another runner has the address; the request was not run."""


@dataclass(frozen=True, slots=True)
class RunnerDispatch:
    """What one dispatch adds to the caller's request, for one runner.

    Attributes:
        tenant: on whose behalf; empty: no tenant.
        forwards_authorization: the configuration names no tenants, so that header is the runner's.
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

    @abstractmethod
    def classify(self, head: ResponseHead) -> ResponseClass:
        """Read whether the request was run."""
