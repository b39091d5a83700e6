"""Agent programs as clients: turns, calls of tools, sub-agents, and their stubborn retries."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from bendshed.rehearsal.site.records import Kind, SiteRequest
from bendshed.rehearsal.site.runner import EVENT_TOKENS, FatalInput

ATTEMPTS = 2
"""Tries of one request that a client makes."""
STREAM_ATTEMPTS = 4
"""Tries of one stream that may be taken up again."""
SENDINGS = 3
"""Times that a failed turn is sent from its start."""
FINAL_STATUSES = (400, 401, 402, 404, 413)
COMES_BACK = (429, 503)
RETRY_MIN_S, RETRY_MAX_S = 0.1, 0.4
THINK_S = 0.15

Send = Callable[[SiteRequest], Awaitable[None]]


@dataclass(slots=True)
class ProgramPlan:
    """What a program will do.

    Attributes:
        turns: turns of its main chain.
        tools: calls between two turns.
        sub_agents: lines of two turns each, begun after the first turn.
        loops: starts sub-agents again and again until it is stopped.
        streams: turns before the main chain whose streams the client takes up again.
        stream_kind: kind of these requests.
        names_streams: the client names the attempt that brought the first event.
        stream_retry_s: how long it waits at least before it takes a stream up again.
        fatal: input of a request that the program sends first; ``None``: it sends none.
        fatal_kind: kind of that request.
        num_equal: how many requests equal to it, which runners survive, are under way beside it.

    """

    turns: int = 3
    tools: int = 2
    sub_agents: int = 0
    loops: bool = False
    streams: int = 0
    stream_kind: Kind = Kind.RESUMABLE_TURN
    names_streams: bool = True
    stream_retry_s: float = 0.0
    fatal: FatalInput | None = None
    fatal_kind: Kind = Kind.REPEATABLE
    num_equal: int = 0


@dataclass(slots=True)
class AgentProgram:
    """One program.

    Attributes:
        tenant: on whose behalf it runs.
        finished: it did all that it planned.
        last_turn: newest turn of its main chain that was answered whole.

    """

    program_id: str
    plan: ProgramPlan
    budget_tokens: int
    send: Send
    pick_node: Callable[[], str]
    rng: random.Random
    next_id: Callable[[], str]
    tenant: str = ""
    finished: bool = False
    last_turn: str = ""
    statuses: list[int] = field(default_factory=list)

    async def run(self, continues: str = "") -> None:
        """Do what is planned; end early on a final refusal."""
        if self.plan.fatal is not None:
            await self._send_beside_equal_requests(self.plan.fatal.encode())
        for _ in range(self.plan.streams):
            await self._stream()
            await asyncio.sleep(THINK_S)
        previous = continues
        for number in range(self.plan.turns):
            turn = await self._turn(previous)
            if turn is None:
                return
            previous = self.last_turn = turn
            if not await self._use_tools():
                return
            if number == 0 and not await self._start_sub_agents(previous):
                return
            await asyncio.sleep(THINK_S)
        self.finished = True

    async def _send_beside_equal_requests(self, fatal: bytes) -> None:
        """Send a request under which runners end, while equal ones that they survive are sent."""
        is_sent = asyncio.Event()
        others = [self._send_equal_requests(fatal, is_sent) for _ in range(self.plan.num_equal)]
        equal = asyncio.gather(*others)
        await self._send_fatal(fatal)
        is_sent.set()
        await equal

    async def _send_equal_requests(self, fatal: bytes, until: asyncio.Event) -> None:
        """Send requests that differ from the fatal one in nothing that names its tries."""
        kind = self.plan.fatal_kind
        num_events = 0 if kind is Kind.REPEATABLE else 1
        while not until.is_set():
            request = self.make_request(kind, body=fatal, events=num_events, operation="equal")
            request.is_harmless = True
            await self.send(request)
            self.statuses.append(request.status)
            await asyncio.sleep(self.rng.uniform(0.02, 0.1))

    async def _send_fatal(self, fatal: bytes) -> None:
        """Send a request under which runners end, as often as a program sends any that fails."""
        match self.plan.fatal_kind:
            case Kind.TURN:
                await self._turn("", fatal)
            case Kind.RESUMABLE_TURN:
                for _ in range(SENDINGS):
                    await self._stream(fatal)
            case kind:
                for _ in range(SENDINGS):
                    await self._try_for(
                        lambda: self.make_request(kind, body=fatal, operation=fatal.decode())
                    )
                    await asyncio.sleep(self.rng.uniform(RETRY_MIN_S, RETRY_MAX_S))

    async def _start_sub_agents(self, parent: str) -> bool:
        while True:
            lines = [self._sub_agent(parent) for _ in range(self.plan.sub_agents)]
            results = await asyncio.gather(*lines)
            if not all(results):
                return False
            if not self.plan.loops:
                return True

    async def _sub_agent(self, parent: str) -> bool:
        first = await self._turn(parent)
        return first is not None and await self._turn(first) is not None

    async def _use_tools(self) -> bool:
        calls = [self._tool_call(number) for number in range(self.plan.tools)]
        return all(await asyncio.gather(*calls))

    async def _tool_call(self, number: int) -> bool:
        kind = Kind.UNREPEATABLE if number % 2 else Kind.REPEATABLE
        request = await self._try_for(lambda: self.make_request(kind))
        return request.status == 200 and request.is_whole

    async def _turn(self, previous: str, fatal: bytes = b"") -> str | None:
        """Run one turn; return its id, or ``None`` when the program must end."""
        body = fatal or f"[{self.program_id} {self.rng.random():.6f}]".encode() * 8
        events = self.rng.randint(2, 8)
        for _ in range(SENDINGS):
            request = await self._try_for(
                lambda: self.make_request(Kind.TURN, body=body, previous=previous, events=events)
            )
            if request.status == 200 and request.is_whole:
                return request.request_id
            if request.status in FINAL_STATUSES:
                return None
            await asyncio.sleep(self.rng.uniform(RETRY_MIN_S, RETRY_MAX_S))
        return None

    async def _stream(self, fatal: bytes = b"") -> None:
        """Run one turn whose stream is taken up again after the newest event that arrived.

        Each try names the attempt that brought the first event, not the latest one.
        """
        events = self.rng.randint(6, 14)
        body = fatal or f"[{self.program_id} {self.rng.random():.6f}]".encode()
        resumes, after_event = "", 0
        for _ in range(STREAM_ATTEMPTS):
            request = self.make_request(self.plan.stream_kind, body=body, events=events)
            request.resumes, request.after_event = resumes, after_event
            request.names_stream = self.plan.names_streams
            await self.send(request)
            self.statuses.append(request.status)
            is_done = request.status == 200 and request.is_whole
            after_event += request.num_events
            if is_done or after_event == events or request.status in FINAL_STATUSES:
                return
            if request.num_events and not resumes:
                resumes = request.request_id
            await asyncio.sleep(self.plan.stream_retry_s + self.rng.uniform(0.02, 0.1))

    async def _try_for(self, make: Callable[[], SiteRequest]) -> SiteRequest:
        """Send with the client's own retries: after a promise always, else if repeatable."""
        for attempt in range(ATTEMPTS):
            request = make()
            await self.send(request)
            self.statuses.append(request.status)
            done = request.status == 200 and request.is_whole
            may_retry = request.status in COMES_BACK or request.kind is Kind.REPEATABLE
            is_final = request.status in FINAL_STATUSES
            if done or is_final or not may_retry or attempt == ATTEMPTS - 1:
                return request
            await asyncio.sleep(self.rng.uniform(0.02, 0.1))
        raise AssertionError("unreachable")

    def make_request(
        self,
        kind: Kind,
        body: bytes = b"",
        previous: str = "",
        events: int = 0,
        operation: str = "",
    ) -> SiteRequest:
        """Make one attempt, at a node that the program picks."""
        return SiteRequest(
            request_id=self.next_id(),
            kind=kind,
            program_id=self.program_id,
            sent_s=asyncio.get_running_loop().time(),
            node=self.pick_node(),
            tenant=self.tenant,
            body=body,
            previous=previous,
            budget_tokens=self.budget_tokens,
            most_events=events,
            operation=f"{self.program_id} {operation or body.decode()}",
        )


def tokens_of(events: int) -> int:
    """Tokens that a turn of this many events may generate."""
    return events * EVENT_TOKENS
