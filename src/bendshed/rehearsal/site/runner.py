"""A runner's stand-in: slots, proof of what was not run, streams of events, and its troubles.

Who drives it decides about time and connections: a simulated network or a real socket.
"""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NoReturn

EVENT_TOKENS = 9
EVENT_GAP_S = 0.03
PREFILL_BYTES_PER_S = 130_000.0
END_DELAY_S = 0.02
"""A process that sends something before it ends under a request ends this long after it."""
WORK_S = 0.05
QUEUE_FACTOR = 3
FIRST_SOFTWARE_VERSION = "v1"
FIRST_BIRTH_MS = 1_700_000_000_000
"""Unix time at which simulated sites begin."""


@dataclass(frozen=True, slots=True)
class RunnerCall:
    """A request as a runner reads it.

    Attributes:
        wanted_runner: incarnation that is meant; empty: any.
        num_events: events of its stream; 0: a plain request.
        after_event: id of the event after which a resumed stream goes on; 0: from its start.
        is_harmless: the runner survives it, whatever its body contains.

    """

    request_id: str
    wanted_runner: str
    program_id: str
    body: bytes
    num_events: int
    tenant: str = ""
    after_event: int = 0
    is_harmless: bool = False


@dataclass(slots=True)
class RunRecord:
    """A request that a runner began to work on.

    Attributes:
        arrived_s: when it reached the runner, before it waited there for a slot.
        events: events made so far.
        software_version: of the runner's software at the time.
        ended_s: when it stopped working on it; ``None``: it still works.

    """

    request_id: str
    program_id: str
    runner_id: str
    body: bytes
    started_s: float
    tenant: str = ""
    arrived_s: float = 0.0
    events: int = 0
    ended_s: float | None = None
    software_version: str = ""


class FatalInput(StrEnum):
    """Input under which any runner ends; the value marks it in a request's body."""

    BEFORE_HEAD = "[fatal before the head]"
    AFTER_HEAD = "[fatal after the head]"
    AFTER_EVENT = "[fatal after an event]"
    AFTER_WRONG_BYTES = "[fatal after bytes that form no answer]"
    AFTER_WRONG_BODY = "[fatal after a body that is malformed]"
    AFTER_ERROR = "[fatal after a whole error answer]"

    @classmethod
    def in_body(cls, body: bytes) -> "FatalInput | None":
        """The mark that a body contains; ``None``: it is harmless."""
        return next((mark for mark in cls if mark.encode() in body), None)


@dataclass(frozen=True, slots=True)
class RunnerEnding:
    """A runner's process that ended under a request.

    Attributes:
        at_s: when the platform shows that it ended: its connections break at once, or, if it fell
            silent, its entry lapses later.
        is_calm: all machines were in touch when it ended.

    """

    request_id: str
    runner_id: str
    at_s: float
    is_calm: bool = True


@dataclass(frozen=True, slots=True)
class Head:
    """Status of an answer; ``is_run`` false: proof that the request was not run."""

    status: int
    is_run: bool = True


@dataclass(frozen=True, slots=True)
class Chunk:
    """A piece of an answer's body."""

    content: bytes


@dataclass(frozen=True, slots=True)
class WrongBytes:
    """Bytes that form no answer, or no body."""


Piece = Head | Chunk | WrongBytes

LAST_PIECES: dict[FatalInput, tuple[Piece, ...]] = {
    FatalInput.AFTER_WRONG_BYTES: (WrongBytes(),),
    FatalInput.AFTER_WRONG_BODY: (Head(200), WrongBytes()),
    FatalInput.AFTER_ERROR: (Head(500), Chunk(b"internal error")),
}
"""What a runner sends before it ends, where it does not end at once."""


class RunnerReset(Exception):
    """The runner breaks its connection."""


@dataclass(slots=True)
class RunnerTroubles:
    """What goes wrong at a runner, as shares of requests.

    Attributes:
        lose_answer: it runs the request, then resets the connection before the answer.
        cut: it breaks off midway.
        shed: it turns the request away unrun.
        slow: its work takes this many times as long.

    """

    lose_answer: float = 0.0
    cut: float = 0.0
    shed: float = 0.0
    slow: float = 1.0


@dataclass(slots=True)
class SiteRunner:
    """A runner, which may start again under its id.

    Attributes:
        born_ms: Unix time, in ms, of its latest start.
        report_birth: what its report names as that time; another type: not a time; ``None``: its
            report names none.
        runs: every request that it began to work on.
        on_fatal_input: called as its process ends under a request, with that request's id.

    """

    runner_id: str
    service: str
    zone: str
    slots: int
    rng: random.Random
    runs: list[RunRecord]
    software_version: str = ""
    troubles: RunnerTroubles = field(default_factory=RunnerTroubles)
    born_ms: int = FIRST_BIRTH_MS
    report_birth: object = FIRST_BIRTH_MS
    num_present: int = 0
    is_dead: bool = False
    on_fatal_input: Callable[["SiteRunner", str], None] = lambda _runner, _request_id: None
    _slots: asyncio.Semaphore = field(init=False)

    def start_again(self, software_version: str, born_ms: int, report_birth: object) -> None:
        """Start again under the same id; whoever drives it closes the connections."""
        self.software_version, self.born_ms = software_version, born_ms
        self.report_birth = report_birth

    def report(self) -> dict[str, object]:
        """What it says of itself; takes no slot."""
        told = {} if self.report_birth is None else {"born": self.report_birth}
        return {"running": self.num_present, **told}

    def __post_init__(self) -> None:
        self._slots = asyncio.Semaphore(self.slots)

    async def serve(self, call: RunnerCall) -> AsyncIterator[Piece]:
        """Answer one request; raise ``RunnerReset``. Closing the iterator is a client's leaving."""
        if call.wanted_runner and call.wanted_runner != self.runner_id:
            yield Head(421, is_run=False)
            return
        is_full = self.num_present >= self.slots * QUEUE_FACTOR
        if is_full or self.rng.random() < self.troubles.shed:
            yield Head(503, is_run=False)
            return
        self.num_present += 1
        arrived_s = asyncio.get_running_loop().time()
        try:
            async with self._slots:
                async for piece in self._run(call, arrived_s):
                    yield piece
        finally:
            self.num_present -= 1

    async def _run(self, call: RunnerCall, arrived_s: float) -> AsyncIterator[Piece]:
        loop = asyncio.get_running_loop()
        record = RunRecord(
            call.request_id,
            call.program_id,
            self.runner_id,
            call.body,
            loop.time(),
            call.tenant,
            arrived_s,
            software_version=self.software_version,
        )
        self.runs.append(record)
        try:
            async for piece in self._work(call, record):
                yield piece
        finally:
            record.ended_s = loop.time()

    async def _work(self, call: RunnerCall, record: RunRecord) -> AsyncIterator[Piece]:
        slow = self.troubles.slow
        fatal = None if call.is_harmless else FatalInput.in_body(call.body)
        loses = self.rng.random() < self.troubles.lose_answer
        cuts = self.rng.random() < self.troubles.cut
        if call.num_events == 0:
            await asyncio.sleep(WORK_S * slow)
            if fatal in LAST_PIECES:
                self._end_soon(call)
                for piece in LAST_PIECES[fatal]:
                    yield piece
                return
            if fatal is FatalInput.BEFORE_HEAD:
                self._end_under(call)
            if loses:
                raise RunnerReset
            yield Head(200)
            if fatal is not None:
                self._end_under(call)
            content = plain_answer(call.request_id)
            yield Chunk(content[: len(content) // 2])
            if cuts:
                raise RunnerReset
            yield Chunk(content[len(content) // 2 :])
            return
        await asyncio.sleep((WORK_S + len(call.body) / PREFILL_BYTES_PER_S) * slow)
        if fatal in LAST_PIECES:
            self._end_soon(call)
            for piece in LAST_PIECES[fatal]:
                yield piece
            return
        if fatal is FatalInput.BEFORE_HEAD:
            self._end_under(call)
        if loses:
            raise RunnerReset
        yield Head(200)
        if fatal is FatalInput.AFTER_HEAD:
            self._end_under(call)
        cut_at = self.rng.randrange(call.num_events) if cuts else call.num_events
        for number in range(call.after_event, call.num_events):
            if number == cut_at:
                event = event_bytes(call.request_id, number)
                yield Chunk(event[: len(event) // 2])
                raise RunnerReset
            record.events += 1
            yield Chunk(event_bytes(call.request_id, number))
            await asyncio.sleep(EVENT_GAP_S * slow)
            if fatal is FatalInput.AFTER_EVENT:
                self._end_under(call)

    def _end_soon(self, call: RunnerCall) -> None:
        """The process ends once its last bytes have left, whether or not its client stays."""
        born_ms = self.born_ms

        def end() -> None:
            if not self.is_dead and self.born_ms == born_ms:
                self.on_fatal_input(self, call.request_id)

        asyncio.get_running_loop().call_later(END_DELAY_S, end)

    def _end_under(self, call: RunnerCall) -> NoReturn:
        """The process ends; whoever drives it closes the connections."""
        self.on_fatal_input(self, call.request_id)
        raise RunnerReset


def plain_answer(request_id: str) -> bytes:
    """Body of the answer to a plain request."""
    return f"answer to {request_id} ".encode() * 8


def event_data(request_id: str, number: int) -> bytes:
    """Data of one event of a stream."""
    return f"{request_id} says {number}".encode()


def event_bytes(request_id: str, number: int) -> bytes:
    """One event of a stream as it is sent."""
    return b"id: %d\ndata: %s\n\n" % (number + 1, event_data(request_id, number))


def stream_output(request_id: str, num_events: int) -> bytes:
    """What a stored turn adds to its chain: the data of its events, a line feed after each."""
    return b"".join(event_data(request_id, number) + b"\n" for number in range(num_events))
