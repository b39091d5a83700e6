"""Simulated engines: the emulator in a process of its own, reached over the simulated network."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from bendshed.adapters.openai_engine import request_body
from bendshed.ports.engine import (
    Engine,
    EngineBroken,
    EngineNotStarted,
    EngineRequest,
    EngineStream,
    LoadReport,
    StreamSummary,
    StreamUnknown,
)
from bendshed.ports.stream_summary import summarize
from bendshed.rehearsal.engine_model import (
    Cancelled,
    EngineModel,
    EngineParameters,
    Refused,
    Stream,
)
from bendshed.rehearsal.simulator.loop import SimProcess
from bendshed.rehearsal.simulator.network import Network

LOST_MESSAGE_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Start:
    """One start of a stream at an engine, as the oracle sees it."""

    at_s: float
    runner: str
    attempt_id: str
    request_id: str
    program_id: str
    call_number: int
    prompt: tuple[tuple[str, str], ...]
    stream: Stream


@dataclass(slots=True)
class SimRunner:
    """One engine host; a killed engine comes back empty.

    Attributes:
        starts: all starts over all its incarnations.

    """

    name: str
    parameters: EngineParameters
    network: Network
    starts: list[Start] = field(default_factory=list)
    process: SimProcess = field(init=False)
    model: EngineModel = field(init=False)
    broken: asyncio.Event = field(init=False)

    def __post_init__(self) -> None:
        self.restart()

    def restart(self) -> None:
        """Start a new incarnation with an empty cache."""
        self.process = SimProcess(self.name)
        self.model = EngineModel(self.parameters)
        self.broken = asyncio.Event()

    def kill(self) -> None:
        """End at once; every reader's connection breaks."""
        self.process.kill()
        self.broken.set()


class SimEngine(Engine):
    """A node's adapter to one simulated engine."""

    def __init__(self, runner: SimRunner, host: str) -> None:
        self._runner = runner
        self._host = host

    async def _reach(self) -> EngineModel:
        network = self._runner.network
        await asyncio.sleep(network.latency_s())
        if network.is_cut(self._host, self._runner.name):
            await asyncio.sleep(LOST_MESSAGE_TIMEOUT_S)
            raise EngineBroken("no answer")
        if self._runner.process.dead:
            raise EngineNotStarted("connection refused")
        return self._runner.model

    async def _answer(self) -> None:
        network = self._runner.network
        await asyncio.sleep(network.latency_s())
        if network.is_cut(self._runner.name, self._host) or self._runner.process.dead:
            raise EngineBroken("the answer was lost")

    async def generate(self, request: EngineRequest) -> EngineStream:
        """Start an attempt."""
        model = await self._reach()
        body = request_body(request)
        known = model.find(request.attempt_id) is not None
        try:
            stream = self._runner.process.context.copy().run(model.start, body)
        except Refused as error:
            raise EngineNotStarted(str(error), leaving=True) from error
        except Cancelled as error:
            raise EngineNotStarted("cancelled") from error
        if not known:
            self._record(request, stream)
        await self._answer()
        return SimEngineStream(self._runner, self._host, stream)

    def _record(self, request: EngineRequest, stream: Stream) -> None:
        number = int(request.attempt_id.split(":")[1])
        prompt = tuple((message.role, message.content) for message in request.messages)
        now_s = asyncio.get_running_loop().time()
        self._runner.starts.append(
            Start(
                now_s,
                self._runner.name,
                request.attempt_id,
                request.request_id,
                request.program_id,
                number,
                prompt,
                stream,
            )
        )

    async def resume(self, attempt_id: str) -> EngineStream:
        """Read a stream again."""
        model = await self._reach()
        stream = model.find(attempt_id)
        await self._answer()
        if stream is None:
            raise StreamUnknown(attempt_id)
        return SimEngineStream(self._runner, self._host, stream)

    async def cancel(self, attempt_id: str) -> None:
        """End a stream."""
        (await self._reach()).cancel(attempt_id)
        await self._answer()

    async def load(self) -> LoadReport:
        """Report the load."""
        report = LoadReport(**(await self._reach()).load())
        await self._answer()
        return report

    async def held_programs(self) -> list[str]:
        """Programs whose cache is held."""
        held = list((await self._reach()).holds)
        await self._answer()
        return held

    async def release(self, program_id: str) -> None:
        """Give back."""
        (await self._reach()).release(program_id)
        await self._answer()

    async def order(self, fence: int, order: str, argument: str) -> None:
        """Fenced order."""
        if not (await self._reach()).order(fence, order, argument):
            raise EngineBroken("an older fence")
        await self._answer()


class SimEngineStream(EngineStream):
    """Reads a stream until it ends, the engine dies or the path is cut."""

    def __init__(self, runner: SimRunner, host: str, stream: Stream) -> None:
        self.summary = StreamSummary()
        self._runner = runner
        self._host = host
        self._stream = stream
        self._broken = runner.broken

    async def events(self) -> AsyncIterator[bytes]:
        """Raw events."""
        position = 0
        seen: list[bytes] = []
        while True:
            self._check_path()
            if position < len(self._stream.events):
                event = self._stream.events[position]
                position += 1
                seen.append(event)
                yield event
            elif self._stream.done:
                break
            else:
                await self._wait_for_more()
        if self._stream.cancelled:
            raise EngineBroken("cancelled")
        self.summary = summarize(b"".join(seen))

    def _check_path(self) -> None:
        cut = self._runner.network.is_cut(self._runner.name, self._host)
        if cut or self._broken.is_set():
            raise EngineBroken("the connection broke")

    async def _wait_for_more(self) -> None:
        waits = [
            asyncio.ensure_future(self._stream.grown.wait()),
            asyncio.ensure_future(self._broken.wait()),
        ]
        try:
            await asyncio.wait(
                waits, return_when=asyncio.FIRST_COMPLETED, timeout=LOST_MESSAGE_TIMEOUT_S
            )
        finally:
            for wait in waits:
                wait.cancel()
