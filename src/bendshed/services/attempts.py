"""Sends one request to runners until one answers, within attempts and deadline."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

from bendshed.admission.sliding_window import NO_PERMIT, TimedPermit
from bendshed.errors import ErrorKind, Refusal
from bendshed.logs import PartLog
from bendshed.model.places import Places
from bendshed.model.principal import Principal
from bendshed.model.service_document import Route
from bendshed.placement.allowed_regions import describe_regions
from bendshed.placement.node_choice import Choice, NodeView, choose_runner
from bendshed.policy import EVERYTHING, Policy
from bendshed.ports.http_messages import ConnectFailed, ResponseBroken, ResponseHead
from bendshed.ports.runner import RunnerProtocol, Sending, ServiceRequest, Verdict
from bendshed.ports.runner_connections import RunnerConnection, RunnerConnections
from bendshed.services.metrics import AttemptEnd, ServiceMetrics
from bendshed.services.permit_client import PermitClient, RunnerState, demand_of
from bendshed.services.runners import RunnerRecord, RunnerTable

MAX_UNRUN_TRIES = 4
"""Runners that may turn one request away unrun, or be unreachable, before it is refused."""
MIN_LEFT_S = 0.02
"""With less time left a request is not sent any more."""

log = PartLog("forward")


@dataclass(frozen=True, slots=True)
class RunnerPorts:
    """What attempts need of a node.

    Attributes:
        zone, node: the node's zone and a name that other nodes do not have.
        asks: asks for leave to send to cold runners; ``None``: nobody gives any.

    """

    table: RunnerTable
    pool: RunnerConnections
    protocol: RunnerProtocol
    zone: str
    node: str
    rng: random.Random
    metrics: ServiceMetrics
    policy: Policy = EVERYTHING
    asks: PermitClient | None = None
    places: Places = field(default_factory=Places)


@dataclass(slots=True)
class OpenAnswer:
    """An answer whose head has come.

    ``close`` must be called once, whatever happens.

    Attributes:
        sent_s: loop time at which the request was sent.

    """

    head: ResponseHead
    record: RunnerRecord
    connection: RunnerConnection
    pool: RunnerConnections
    sent_s: float
    _closed: bool = False

    async def body(self) -> AsyncIterator[bytes]:
        """Chunks; raise ``ResponseBroken``."""
        async for chunk in self.connection.body():
            yield chunk

    def close(self, whole: bool) -> None:
        """Give the connection back if the answer was read whole, or end it."""
        if self._closed:
            return
        self._closed = True
        self.record.in_flight -= 1
        if whole:
            self.record.note_success()
            self.connection.finish()
        else:
            self.connection.abort()
        self.pool.release(self.record.listed.address, self.connection)


@dataclass(slots=True)
class Attempts:
    """The attempts of one request.

    Invariant: a request that may not be repeated is sent again only after proof that it was not
    run; at most ``max_attempts`` runners may have run it. Nothing is sent to a cold runner without
    the leader's leave for that very sending.

    Attributes:
        service: where it goes.
        deadline_s: loop time after which nothing is sent.
        sticky_key: session or nothing, for the choice of the runner.
        principal: on whose behalf the request runs.
        admit_again: asks whether the principal's quota holds another run of a request that may have
            run; ``None``: nobody counts.
        advised: id of the runner that the leader of the turn log advises; empty: no advice.
        regions: where its runners may stand; ``None``: anywhere.
        leave: the leader's to send there, if it is cold.
        answered_by: id of the runner whose answer was taken; empty: none yet.
        failed: ids of runners that were not reached or gave no answer.
        num_maybe_run: attempts after which the request may have run.

    """

    ports: RunnerPorts
    request: ServiceRequest
    route: Route
    service: str
    body: bytes
    deadline_s: float
    sticky_key: str
    principal: Principal
    admit_again: Callable[[], Awaitable[Refusal | None]] | None = None
    advised: str = ""
    regions: frozenset[str] | None = None
    leave: TimedPermit = NO_PERMIT
    answered_by: str = ""
    failed: list[str] = field(default_factory=list)
    num_maybe_run: int = 0
    _num_admitted: int = 1
    _num_unrun: int = 0
    _tried: set[str] = field(default_factory=set)

    @property
    def may_have_run(self) -> bool:
        """Whether any runner may have begun work on the request."""
        return self.num_maybe_run > 0

    async def open(self) -> OpenAnswer | Refusal:
        """Return the first answer, or why there is none."""
        loop = asyncio.get_running_loop()
        while True:
            if self.deadline_s - loop.time() < MIN_LEFT_S:
                return self._refusal(ErrorKind.DEADLINE_EXCEEDED, "no time is left")
            if self.num_maybe_run >= self._num_admitted and not await self._is_admitted_again():
                return Refusal(ErrorKind.ENGINE_LOST, "the quota holds no second run")
            choice = await self._choose_or_ask()
            if isinstance(choice, Refusal):
                return choice
            outcome = await self._try(choice)
            if isinstance(outcome, OpenAnswer):
                return outcome
            if self.may_have_run and not self._may_repeat():
                return Refusal(ErrorKind.ENGINE_LOST, "the runner gave no whole answer")

    async def _choose_or_ask(self) -> Choice | Refusal:
        """A warm runner, else what the leader permits, else why there is none."""
        now_s = asyncio.get_running_loop().time()
        if self._num_unrun < MAX_UNRUN_TRIES:
            choice = self._choose(now_s)
            if choice is None and self._has_cold(now_s):
                return await self._ask_leader()
            if choice is not None:
                return choice
        kind = ErrorKind.OVERLOADED if self._num_unrun else ErrorKind.NO_RUNNER
        return self._refusal(kind, self._nobody_takes_it())

    def _has_cold(self, now_s: float) -> bool:
        """Whether leave could open a runner that was not tried yet."""
        usable = self.ports.table.usable(self.service, now_s, self.regions)
        return any(
            self.ports.table.cold.is_cold(record.listed.runner_id)
            for record in usable
            if record.listed.runner_id not in self._tried
        )

    async def _ask_leader(self) -> Choice | Refusal:
        """Ask for leave for one sending to a runner that was not tried yet."""
        if self.ports.asks is None:
            return self._refusal(ErrorKind.NO_RUNNER, f"all runners of {self.service} are cold")
        loop = asyncio.get_running_loop()
        demand = demand_of(
            self.request,
            self.service,
            self.deadline_s - loop.time(),
            self.runner_state(),
            self.ports.zone,
            self._tried,
            self.regions,
        )
        permit = await self.ports.asks.ask(self.request, demand)
        if isinstance(permit, Refusal):
            return permit if not self.may_have_run else self._refusal(permit.kind, permit.detail)
        for record in self.ports.table.usable(self.service, loop.time(), self.regions):
            if record.listed.runner_id == permit.runner_id:
                return Choice(record, "permitted", permit.leave)
        return self._refusal(ErrorKind.NO_RUNNER, "this node does not know the permitted runner")

    async def _is_admitted_again(self) -> bool:
        """Every run counts against the principal's quota, the second one of a request too."""
        if self.admit_again is not None and await self.admit_again() is not None:
            return False
        self._num_admitted += 1
        return True

    def reject_if_no_eligible_runner(self) -> Refusal | None:
        """Refuse at once what no runner may get, closed zones and allowed regions being so."""
        if self.regions is not None and not self.regions:
            regions = describe_regions(self.route, self.principal)
            return Refusal(ErrorKind.NO_RUNNER, f"no region is allowed: {regions}")
        if self.ports.table.has_no_eligible_runner(self.service, self.regions):
            return Refusal(ErrorKind.NO_RUNNER, self._nobody_takes_it())
        return None

    def _nobody_takes_it(self) -> str:
        """Why no runner is left, for the refusal."""
        detail = f"no runner of {self.service} takes the request now"
        closed = sorted(self.ports.table.filter.zones.closed)
        if closed:
            detail += f", closed zones: {', '.join(closed)}"
        if self.regions is not None:
            detail += f", allowed regions: {', '.join(sorted(self.regions))}"
        return detail

    def runner_state(self) -> RunnerState:
        """What this node can tell others of the service's runners."""
        now_s = asyncio.get_running_loop().time()
        usable = self.ports.table.usable(self.service, now_s, self.regions)
        connected: list[str] = []
        if self.ports.policy.kept_connections:
            connected = [r.listed.runner_id for r in usable if self._is_connected(r)]
        return RunnerState(connected, [r.listed.runner_id for r in usable if r.is_avoided(now_s)])

    def _is_connected(self, record: RunnerRecord) -> bool:
        return self.ports.pool.has_idle(record.listed.address)

    def _choose(self, now_s: float) -> Choice | None:
        """The advised runner if it may get new work from here, else one by this node's own view."""
        usable = self.ports.table.usable(self.service, now_s, self.regions)
        for record in usable:
            runner_id = record.listed.runner_id
            is_fit = runner_id not in self._tried and not record.is_avoided(now_s)
            if runner_id == self.advised and is_fit and self._may_get(record, self.leave, now_s):
                return Choice(record, "advised", self.leave)
        warm = self.ports.table.cold.only_warm(usable)
        connected: set[str] = set()
        if self.ports.policy.kept_connections:
            connected = {r.listed.runner_id for r in usable if self._is_connected(r)}
        ports = self.ports
        view = NodeView(ports.node, ports.zone, connected, now_s, ports.places)
        return choose_runner(
            warm,
            self._tried,
            self.sticky_key,
            view,
            self.ports.rng,
            self.ports.policy,
            self.request.thing if self.sticky_key else "",
        )

    def _may_get(self, record: RunnerRecord, leave: TimedPermit, now_s: float) -> bool:
        """Whether a runner may be sent the request now: it stands where it may, and it is warm or
        there is leave for it.
        """
        if not self.ports.table.filter.may_get(record.listed, self.regions):
            return False
        return leave.is_valid(now_s) or not self.ports.table.cold.is_cold(record.listed.runner_id)

    def may_try_again(self) -> bool:
        """Whether a broken answer may be replaced by another attempt."""
        return self._may_repeat()

    def _may_repeat(self) -> bool:
        return self.route.may_repeat and self.num_maybe_run < self.route.max_attempts

    def _refusal(self, kind: ErrorKind, detail: str) -> Refusal:
        """A refusal says "not run" only if that is certain."""
        if self.may_have_run:
            return Refusal(ErrorKind.OUTCOME_UNKNOWN, detail)
        return Refusal(kind, detail)

    async def _try(self, choice: Choice) -> OpenAnswer | None:
        """Send once; ``None``: no answer, the counts say what may have happened."""
        record = choice.record
        runner = record.listed
        self._tried.add(runner.runner_id)
        record.in_flight += 1
        answer: OpenAnswer | None = None
        try:
            answer = await self._send(choice)
        finally:
            if answer is None:
                record.in_flight -= 1
        if answer is None:
            return None
        match self.ports.protocol.verdict(answer.head):
            case Verdict.ANSWERED:
                self.answered_by = runner.runner_id
                self._count(AttemptEnd.ANSWERED)
                return answer
            case Verdict.NOT_RUN:
                record.note_full(asyncio.get_running_loop().time())
                await self._drop_unrun(answer, "turned it away unrun")
            case Verdict.OTHER_RUNNER:
                record.note_unreachable(asyncio.get_running_loop().time())
                await self._drop_unrun(answer, "another runner has the address")
        return None

    async def _send(self, choice: Choice) -> OpenAnswer | None:
        loop = asyncio.get_running_loop()
        record, runner = choice.record, choice.record.listed
        was_connected = self._is_connected(record)
        try:
            connection = await self.ports.pool.acquire(runner.address)
        except ConnectFailed as error:
            self._num_unrun += 1
            self.failed.append(runner.runner_id)
            self._count(AttemptEnd.UNREACHABLE)
            record.note_unreachable(loop.time())
            self._say("could not be sent", choice, reason=str(error))
            return None
        if not self._may_get(record, choice.leave, loop.time()):
            self._give_back(choice, connection)
            return None
        left_ms = max(1, int((self.deadline_s - loop.time()) * 1000))
        principal = self.principal
        sending = Sending(
            self.route, runner, principal.name, principal.is_unasked, principal.urgency, left_ms
        )
        sent = self.ports.protocol.request(self.request, self.body, sending)
        self.num_maybe_run += 1
        log.say(
            "sent",
            request=self.request.request_id,
            runner=runner.runner_id,
            tenant=self.principal.name,
            chosen_by=choice.reason,
            in_flight_there=record.in_flight,
            was_connected=was_connected,
            left_ms=left_ms,
            attempt=self.num_maybe_run,
            is_cold=self.ports.table.cold.is_cold(runner.runner_id),
        )
        sent_s = loop.time()
        try:
            head = await connection.send(sent)
        except ResponseBroken as error:
            connection.abort()
            self.failed.append(runner.runner_id)
            self._count(AttemptEnd.NO_ANSWER)
            record.note_broken(loop.time())
            self._say("got no answer", choice, reason=str(error))
            return None
        except BaseException:
            connection.abort()
            raise
        return OpenAnswer(head, record, connection, self.ports.pool, sent_s)

    def _give_back(self, choice: Choice, connection: RunnerConnection) -> None:
        """What held when a runner was chosen does not hold any more: choose again.

        Its zone was closed meanwhile, the way to a cold runner took longer than the leave lasts, or
        it has just turned cold.
        """
        runner = choice.record.listed
        if not self.ports.table.filter.may_get(runner, self.regions):
            connection.finish()
            self.ports.pool.release(runner.address, connection)
            self._say("is not sent there any more", choice, reason="its zone was closed meanwhile")
            return
        self._num_unrun += 1
        self._tried.discard(runner.runner_id)
        connection.abort()
        self.ports.pool.release(runner.address, connection)
        self._say("was not sent", choice, reason="there is no leave for a cold runner any more")

    def note_work_time(self, answer: OpenAnswer) -> None:
        """A plain request was answered whole: what that tells of its runner's speed."""
        now_s = asyncio.get_running_loop().time()
        pace = self.ports.table.work_times.in_typical(self.route.name, now_s - answer.sent_s)
        answer.record.health.note_pace(pace, now_s)

    async def _drop_unrun(self, answer: OpenAnswer, reason: str) -> None:
        self.num_maybe_run -= 1
        self._num_unrun += 1
        self._count(AttemptEnd.NOT_RUN)
        log.say(
            "the runner did not run it",
            request=self.request.request_id,
            runner=answer.record.listed.runner_id,
            reason=reason,
            status=answer.head.status,
        )
        whole = False
        try:
            async for _chunk in answer.body():
                pass
            whole = True
        except ResponseBroken:
            pass
        finally:
            answer.close(whole)

    def _count(self, end: AttemptEnd) -> None:
        self.ports.metrics.attempts.labels(end.value).inc()

    def _say(self, sentence: str, choice: Choice, reason: str) -> None:
        log.say(
            sentence,
            request=self.request.request_id,
            runner=choice.record.listed.runner_id,
            chosen_by=choice.reason,
            reason=reason,
        )
