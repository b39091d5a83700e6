"""Simulated callers: drive programs, retry with the same key, record the answers."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from bendshed.dispatch.calls import Answered, CallRequest, LiveAnswer, Outcome
from bendshed.errors import ANSWERS, ErrorKind, Refusal
from bendshed.identifiers import content_digest
from bendshed.node import Node
from bendshed.ports.stream_summary import summarize
from bendshed.rehearsal.simulator.loop import SimProcess
from bendshed.rehearsal.simulator.network import MIN_GAP_S
from bendshed.wire import programs_pb2 as wire

CALLER_LATENCY_S = 0.003
CALLER_TIMEOUT_S = 40.0
CALL_DEADLINE_S = 30.0
MAX_TRIES = 12
RETRY_PAUSE_S = 0.5


@dataclass(slots=True)
class RequestRecord:
    """One request as its caller saw it.

    Attributes:
        outcome: ``None``: the connection broke or nothing came.
        streamed_text: text of the streamed events.
        cut_by_planned_stop: the node stopped in order before the outcome was sent.

    """

    request: CallRequest
    node: str
    sent_at_s: float
    outcome: Outcome | None = None
    streamed_text: str = ""
    ended_at_s: float | None = None
    cut_by_planned_stop: bool = False

    @property
    def answer(self) -> str | None:
        """The whole answer, if there is one."""
        return self.outcome.result.answer if isinstance(self.outcome, Answered) else None


@dataclass(slots=True, eq=False)
class Channel:
    """One connection between a caller and a node's process."""

    record: RequestRecord
    process: SimProcess
    loop: asyncio.AbstractEventLoop
    caller: SimProcess
    chunks: list[bytes] = field(default_factory=list)
    closed: asyncio.Event = field(default_factory=asyncio.Event)
    sent_outcome: bool = False
    arrival_s: float = 0.0

    def to_caller(self, action: Callable[[], None]) -> None:
        """Let something happen at the caller after the latency of the path."""
        self.arrival_s = max(self.loop.time() + CALLER_LATENCY_S, self.arrival_s + MIN_GAP_S)
        self.loop.call_at(self.arrival_s, action, context=self.caller.context.copy())

    def finish(self, outcome: Outcome | None) -> None:
        """At the caller: the connection ends."""
        if not self.closed.is_set():
            self.record.outcome = outcome
            self.record.ended_at_s = self.loop.time()
            self.record.streamed_text = summarize(b"".join(self.chunks)).text
            self.closed.set()


async def serve_call(node: Node, channel: Channel) -> None:
    """At the node: what the HTTP gateway does with a streamed call."""
    live = node.submit(channel.record.request)
    if isinstance(live, LiveAnswer):
        async for chunk in live.read():
            channel.to_caller(lambda chunk=chunk: channel.chunks.append(chunk))  # type: ignore[misc]
        outcome = await live.wait()
    else:
        outcome = live
    channel.sent_outcome = True
    channel.to_caller(lambda: channel.finish(outcome))


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """One call that a program will issue."""

    number: int
    branch: str = "main"
    unrepeatable: bool = False
    max_answer_tokens: int = 32


@dataclass(slots=True)
class ProgramDriver:
    """One agent program.

    Attributes:
        answers: acknowledged answers by call number.
        unknown: calls that the program gave up on without knowing their outcome.
        finished: the program issued its last call and has its outcome.

    """

    program_id: str
    tenant: str
    limits: wire.ProgramLimits
    answers: dict[int, str] = field(default_factory=dict)
    unknown: set[int] = field(default_factory=set)
    calls: list[PlannedCall] = field(default_factory=list)
    finished: bool = False
    num_requests: int = 0

    def content(self, call: PlannedCall) -> str:
        """Text of a call; names its program, branch and number."""
        return f"{self.program_id}/{call.branch}/{call.number}: please go on"

    def request(self, call: PlannedCall, now_ms: int) -> CallRequest:
        """One request of a call; each try has its own request id."""
        self.num_requests += 1
        content = self.content(call)
        return CallRequest(
            program_id=self.program_id,
            program_kind="chat",
            tenant=self.tenant,
            branch=call.branch,
            parent_branch="main",
            call_number=call.number,
            idempotency_key=f"{self.program_id}-{call.number}",
            body_digest=content_digest(content),
            messages=(wire.ChatMessage(role="user", content=content),),
            unrepeatable=call.unrepeatable,
            deadline_ms=now_ms + int(CALL_DEADLINE_S * 1000),
            max_answer_tokens=call.max_answer_tokens,
            priority=5,
            model="small",
            request_id=f"{self.program_id}-r{self.num_requests}",
            limits=self.limits,
        )

    async def run(
        self,
        calls: list[PlannedCall],
        send: Callable[[CallRequest], "asyncio.Future[RequestRecord]"],
        now_ms: Callable[[], int],
    ) -> None:
        """Issue calls one after the other; each waits for the one before it."""
        for call in calls:
            self.calls.append(call)
            if not await self._issue(call, send, now_ms):
                break
        self.finished = True

    async def _issue(
        self,
        call: PlannedCall,
        send: Callable[[CallRequest], "asyncio.Future[RequestRecord]"],
        now_ms: Callable[[], int],
    ) -> bool:
        """Send until answered or refused for good; ``False``: the program stops here."""
        in_doubt = False
        for _ in range(MAX_TRIES):
            record = await send(self.request(call, now_ms()))
            if record.answer is not None:
                self.answers[call.number] = record.answer
                return True
            if isinstance(record.outcome, Refusal):
                answer = record.outcome.answer
                in_doubt = in_doubt or answer.ran != "no"
                if not answer.retryable:
                    if in_doubt:
                        self.unknown.add(call.number)
                    return record.outcome.kind is ErrorKind.OUTCOME_UNKNOWN
            else:
                in_doubt = True
            await asyncio.sleep(RETRY_PAUSE_S)
        self.unknown.add(call.number)
        return False


def was_told_not_run(record: RequestRecord) -> bool:
    """Whether the caller was told that this request was not run."""
    return isinstance(record.outcome, Refusal) and ANSWERS[record.outcome.kind].ran == "no"
