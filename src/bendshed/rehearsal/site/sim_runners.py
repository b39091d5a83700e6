"""Connections to runners in the simulated network."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import dataclass, field

import orjson

from bendshed.model.address import Address
from bendshed.model.runner import ServiceRunner, birth_ms
from bendshed.ports.http_messages import (
    BreakCause,
    ClientRequest,
    ConnectFailed,
    ResponseBroken,
    ResponseHead,
)
from bendshed.ports.runner import ResponseClass, RunnerDispatch, RunnerProtocol, ServiceRequest
from bendshed.ports.runner_connections import RunnerConnection, RunnerConnections
from bendshed.rehearsal.simulator.loop import SimProcess
from bendshed.rehearsal.simulator.network import MIN_GAP_S, Network
from bendshed.rehearsal.site.cold import RunnerSending
from bendshed.rehearsal.site.runner import (
    Chunk,
    Head,
    Piece,
    RunnerCall,
    RunnerReset,
    SiteRunner,
    WrongBytes,
)

CONNECT_TIMEOUT_S = 0.6
HANG_S = 4.0
IDLE_S = 2.0
"""A connection without a request is watched for so long; it serves no other."""
REQUEST_ID, WANTED, PROGRAM, EVENTS, NOT_RUN = b"id", b"wanted", b"program", b"events", b"not-run"
TENANT, AFTER_EVENT, HARMLESS = b"tenant", b"after-event", b"harmless"
REPORT_TARGET = b"/report"


class SimRunnerProtocol(RunnerProtocol):
    """How simulated runners are spoken to."""

    def build_request(
        self, request: ServiceRequest, body: bytes, dispatch: RunnerDispatch
    ) -> ClientRequest:
        """Build a request."""
        headers = [
            *request.headers,
            (WANTED, dispatch.runner.runner_id.encode()),
            (TENANT, dispatch.tenant.encode()),
        ]
        return ClientRequest(request.method, request.target, headers, body, lambda _head: True)

    def build_report_request(self, runner: ServiceRunner) -> ClientRequest:
        """Build a request for a report."""
        return ClientRequest.get(runner.address, REPORT_TARGET)

    def read_birth_ms(self, report: bytes) -> int:
        """Read the time of the start."""
        return birth_ms(orjson.loads(report).get("born"))

    def classify(self, head: ResponseHead) -> ResponseClass:
        """Read the proof."""
        if head.status == 421:
            return ResponseClass.OTHER_RUNNER
        return ResponseClass.ANSWERED if head.get(NOT_RUN) is None else ResponseClass.NOT_RUN


@dataclass(slots=True)
class SimRunnerNet:
    """All runners by address, and the paths to them.

    Attributes:
        open: connections in use, by the process that opened them.
        sendings: what runners were sent.

    """

    network: Network
    runner_process: SimProcess
    by_address: dict[Address, SiteRunner] = field(default_factory=dict)
    open: dict[str, set["SimConnection"]] = field(default_factory=dict)
    sendings: list[RunnerSending] = field(default_factory=list)

    def drop_process(self, name: str) -> None:
        """A process died: runners see its connections close."""
        for connection in list(self.open.pop(name, ())):
            connection.abort()

    def reset_runner(self, runner: SiteRunner) -> None:
        """A runner died: its connections break."""
        for connections in list(self.open.values()):
            for connection in list(connections):
                if connection.runner is runner:
                    connection.break_now()


class SimConnection(RunnerConnection):
    """One connection; the runner's work goes on in the runners' process.

    It does not outlive the runner's process: after a restart it is reset at its next use.
    """

    def __init__(self, net: SimRunnerNet, owner: SimProcess, host: str, runner: SiteRunner) -> None:
        self.runner = runner
        self._born_ms = runner.born_ms
        self._is_broken = False
        self._net = net
        self._owner = owner
        self._host = host
        self._loop = asyncio.get_running_loop()
        self._head: asyncio.Future[ResponseHead] | None = None
        self._pieces: asyncio.Queue[bytes | ResponseBroken | None] = asyncio.Queue()
        self._work: asyncio.Task[None] | None = None
        self._last_arrival_s = 0.0
        self._has_lost_piece = False
        self._is_idle = False
        self._on_closed: Callable[[], None] = lambda: None

    async def send(self, request: ClientRequest) -> ResponseHead:
        """Send after the network's latency."""
        self._is_idle = False
        self._net.open.setdefault(self._owner.name, set()).add(self)
        if request.target == REPORT_TARGET:
            return await self._send_to(self._report())
        fields = dict(request.headers)
        call = RunnerCall(
            request_id=fields[REQUEST_ID].decode(),
            wanted_runner=fields[WANTED].decode(),
            program_id=fields[PROGRAM].decode(),
            body=request.body,
            num_events=int(fields[EVENTS]),
            tenant=fields[TENANT].decode(),
            after_event=int(fields.get(AFTER_EVENT, b"0")),
            is_harmless=HARMLESS in fields,
        )
        return await self._send_to(self._serve(call))

    async def _send_to(self, work: Coroutine[None, None, None]) -> ResponseHead:
        self._head = self._loop.create_future()
        self._work = self._net.runner_process.spawn(self._loop, work)
        return await self._head

    async def _report(self) -> None:
        """At the runner: report at once, whatever else it does."""
        if await self._arrives():
            self._send_back(Head(200))
            self._send_back(Chunk(orjson.dumps(self.runner.report())))
            self._send_back(None)

    async def _arrives(self) -> bool:
        """Whether a request reaches the process that the connection leads to."""
        await asyncio.sleep(self._latency_s())
        if self.runner.is_dead or self._net.network.is_cut(self._host, self.runner.runner_id):
            self._later(HANG_S, self.break_now)
            return False
        if self.runner.born_ms != self._born_ms:
            self._later(self._latency_s(), self.break_now)
            return False
        return True

    async def _serve(self, call: RunnerCall) -> None:
        """At the runner: work and send pieces back."""
        sent_s = self._loop.time()
        if not await self._arrives():
            return
        runner_id = self.runner.runner_id
        if call.wanted_runner == runner_id:
            sending = RunnerSending(runner_id, sent_s, self._loop.time())
            self._net.sendings.append(sending)
        try:
            async for piece in self.runner.serve(call):
                self._send_back(piece)
        except RunnerReset:
            if not self.runner.is_dead:
                self._later(self._latency_s(), self.break_now)
            return
        self._send_back(None)

    def _latency_s(self) -> float:
        return self._net.network.latency_s(self._host, self.runner.runner_id)

    def _send_back(self, piece: Piece | None) -> None:
        """Deliver a piece; behind a lost one nothing arrives, as on any ordered connection."""
        if self._has_lost_piece:
            return
        if self._net.network.is_cut(self.runner.runner_id, self._host):
            self._has_lost_piece = True
            self._later(HANG_S, self.break_now)
            return
        self._later(self._latency_s(), lambda: self._arrive(piece))

    def _later(self, delay_s: float, act: Callable[[], None]) -> None:
        """In the owner's process, never before an earlier piece."""
        arrival_s = max(self._loop.time() + delay_s, self._last_arrival_s + MIN_GAP_S)
        self._last_arrival_s = arrival_s
        self._loop.call_at(arrival_s, act, context=self._owner.context.copy())

    def _arrive(self, piece: Piece | None) -> None:
        match piece:
            case Head(status, is_run):
                head = ResponseHead(status, [] if is_run else [(NOT_RUN, b"1")], True)
                if self._head is not None and not self._head.done():
                    self._head.set_result(head)
            case Chunk(content):
                self._pieces.put_nowait(content)
            case WrongBytes():
                self._fail(ResponseBroken("no HTTP answer", BreakCause.MALFORMED))
            case None:
                self._pieces.put_nowait(None)

    def break_now(self) -> None:
        """The connection was reset."""
        self._fail(ResponseBroken("reset"))

    def _fail(self, broken: ResponseBroken) -> None:
        self._is_broken = True
        if self._is_idle:
            self._on_closed()
        if self._head is not None and not self._head.done():
            self._head.set_exception(broken)
            self._head.exception()
        self._pieces.put_nowait(broken)

    async def body(self) -> AsyncIterator[bytes]:
        """Pieces as they arrive."""
        while True:
            piece = await self._pieces.get()
            if piece is None:
                return
            if isinstance(piece, ResponseBroken):
                raise piece
            yield piece

    @property
    def is_reusable(self) -> bool:
        """Whether the runner has not reset it."""
        return not self._is_broken

    def watch_close(self, on_closed: Callable[[], None]) -> None:
        """Call back if the runner closes the connection while it is idle."""
        self._on_closed = on_closed

    def finish(self) -> None:
        """Stay open for a while, for the next request after a report, or to see the end."""
        self._stop_work()
        self._is_idle = True
        self._loop.call_later(IDLE_S, self._close_idle)

    def _close_idle(self) -> None:
        if self._is_idle:
            self.abort()

    def abort(self) -> None:
        """Close; the runner stops working on the request."""
        self._net.open.get(self._owner.name, set()).discard(self)
        self._stop_work()

    def _stop_work(self) -> None:
        if self._work is not None and not self._work.done():
            self._work.cancel()


class SimConnections(RunnerConnections):
    """Connections of one process."""

    def __init__(self, net: SimRunnerNet, owner: SimProcess, host: str) -> None:
        self._net = net
        self._owner = owner
        self._host = host

    async def acquire(self, address: Address) -> RunnerConnection:
        """Open a connection."""
        runner = self._net.by_address.get(address)
        if runner is not None and self._net.network.is_cut(self._host, runner.runner_id):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise ConnectFailed("cut off")
        name = runner.runner_id if runner is not None else ""
        await asyncio.sleep(self._net.network.latency_s(self._host, name))
        if runner is None or runner.is_dead:
            raise ConnectFailed("refused")
        return SimConnection(self._net, self._owner, self._host, runner)

    def has_idle(self, address: Address) -> bool:
        """No connection stays open without a request."""
        return False

    def release(self, address: Address, connection: RunnerConnection) -> None:
        """No connection stays open without a request."""

    def close_idle(self, address: Address) -> None:
        """No connection stays open without a request."""

    def close(self) -> None:
        """No connection stays open without a request."""
