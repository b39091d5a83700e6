"""The turn log's side of one turn: reserve its tokens and find its chain, keep what was said."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from bendshed.admission.sliding_window import TimedPermit
from bendshed.consensus.group_client import GroupUnavailable
from bendshed.errors import ErrorKind, Refusal
from bendshed.logs import PartLog
from bendshed.model.service_document import EngineFeatures, Route
from bendshed.policy import EVERYTHING, Policy
from bendshed.ports.runner import ServiceRequest
from bendshed.services.attempts import Attempts
from bendshed.services.events import StreamEvent
from bendshed.services.group_search import GroupSearch
from bendshed.services.metrics import ServiceMetrics
from bendshed.services.permit_client import demand_of, no_room
from bendshed.services.quota_client import QuotaClient, refusal_of
from bendshed.turns.client import TranscriptCache, TurnClient
from bendshed.turns.group_locator import GroupLocator
from bendshed.turns.shares import ShareGatherer
from bendshed.wire import turns_pb2 as wire

BEGIN_TIMEOUT_S = 1.5
"""A turn waits this long for the turn log, across a change of its leader."""
FINISH_TIMEOUT_S = 3.0
SHARE_TIMEOUT_S = 0.6
"""How long another group is asked for its share of a budget, across a change of its leader."""
LATE_FINISH_TIMEOUT_S = 20.0
"""How long the end of a turn that the caller does not wait for is tried."""
UNCOMMITTED = (wire.TURN_ANSWER_QUOTA_EXCEEDED, wire.TURN_ANSWER_NO_ROOM)
"""Refusals of a command that nothing was written for."""

log = PartLog("turns")


@dataclass(slots=True)
class TurnPorts:
    """What turns need of a node.

    Attributes:
        group_locator: which group of the turn log is asked first.
        late: commands under way that no caller may wait for.
        shares: takes shares between groups whose leaders do not reach each other.

    """

    client: TurnClient
    transcripts: TranscriptCache
    metrics: ServiceMetrics
    quotas: QuotaClient
    policy: Policy = EVERYTHING
    group_locator: GroupLocator = field(default_factory=GroupLocator)
    late: "set[asyncio.Task[Any]]" = field(default_factory=set)
    shares: ShareGatherer = field(init=False)

    def __post_init__(self) -> None:
        self.shares = ShareGatherer(self.group_locator.groups, self._send)

    async def _send(self, _group: int, command: wire.TurnCommand) -> wire.TurnReply | None:
        """Commit a command in its group; ``None``: no leader answered in time."""
        try:
            return await self.client.command(command, SHARE_TIMEOUT_S)
        except GroupUnavailable:
            return None  # told with the shares that were taken


@dataclass(slots=True)
class TurnRecord:
    """One turn in the turn log.

    Invariant: tokens are counted before they are handed on; a begun turn is finished exactly once.

    Attributes:
        attempts: the sendings to runners, which take the advice of the preview.
        engine: features of the service; ``None``: not a model engine.
        deadline_s: loop time after which the turn is not begun any more.
        num_events: events handed to the caller.
        group: of the turn log, that commits the turn.

    """

    ports: TurnPorts
    request: ServiceRequest
    route: Route
    attempts: Attempts
    engine: EngineFeatures | None
    deadline_s: float
    num_events: int = 0
    group: int = 0
    _transcript: bytes = b""
    _output: list[bytes] = field(default_factory=list)
    _committing: "asyncio.Task[wire.TurnReply | None] | None" = None
    _first_event_s: float = 0.0
    _last_event_s: float = 0.0
    _begin: wire.BeginTurn = field(default_factory=wire.BeginTurn)
    _is_begun: bool = False
    _searching: GroupSearch | None = None
    _is_placed: bool = False
    _is_finished: bool = False

    @property
    def _tenant(self) -> str:
        return self.attempts.principal.name

    @property
    def _search(self) -> GroupSearch:
        """The search for the group that commits the begin."""
        if self._searching is None:
            group_locator, shares = self.ports.group_locator, self.ports.shares
            begin, group = self._begin, self.group
            self._searching = GroupSearch(group_locator, shares, begin, group, self._commit_in)
        return self._searching

    @property
    def body(self) -> bytes:
        """What a runner gets: the chain's transcript, then the new input."""
        return self._transcript + self.request.body

    def count(self, event: StreamEvent) -> None:
        """Count and keep an event before it is handed on."""
        if event.data is None:
            return
        self.num_events += 1
        self._note_time()
        if self.route.keeps_turns:
            self._output.append(event.data + b"\n")

    def _note_time(self) -> None:
        """Remember when the first and the latest event came."""
        self._last_event_s = asyncio.get_running_loop().time()
        if self.num_events == 1:
            self._first_event_s = self._last_event_s

    def finish_broken(self) -> None:
        """Charge a turn that did not end well, without anybody waiting for it."""
        if not self._is_begun or self._is_finished:
            return
        command = self._finish_command(self._outcome_of_broken())
        self._is_finished = True
        task = asyncio.get_running_loop().create_task(self._finish_in_background(command))
        self.ports.late.add(task)
        task.add_done_callback(self.ports.late.discard)

    async def begin(self) -> Refusal | None:
        """Find the chain and reserve the tokens; return why the turn may not run.

        A preview lets the turn go to its runner while its reservation is still being committed;
        ``confirm`` waits for that before anything is handed to the caller.
        """
        if self.ports.client.is_isolated:
            return Refusal(ErrorKind.TURN_LOG_UNAVAILABLE, "no other node answers this one")
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        begin = self._begin = self._begin_command()
        previous = begin.previous_turn
        self.group = self.ports.group_locator.group_of(self._tenant, begin.program_id, previous)
        held = self.ports.transcripts.get((self._tenant, previous)) if previous else None
        begin.held_turn = previous if held is not None else ""
        self._is_begun = True  # from here on the reservation may exist
        previewing = loop.create_task(self._preview(begin))
        await asyncio.sleep(0)  # the preview leaves first
        self._committing = self._commit_begin(begin)
        preview = await previewing
        is_previewed = preview is not None and preview.answer == wire.TURN_ANSWER_GRANTED
        refusal = None
        if is_previewed and preview is not None:
            self._take_chain(preview, held)
        else:
            refusal = await self._begin_committed(begin, held)
        took_s = loop.time() - began_s
        self.ports.metrics.turn_begin_s.labels(str(is_previewed).lower()).observe(took_s)
        log.say(
            "begun" if refusal is None else "not begun",
            request=self.request.request_id,
            program=self.request.program_id,
            tenant=self._tenant,
            previous=previous,
            group=self.group,
            previewed=is_previewed,
            detail=refusal.detail if refusal is not None else "",
            took_ms=round(took_s * 1000, 1),
        )
        return refusal

    async def _preview(self, begin: wire.BeginTurn) -> wire.TurnReply | None:
        if not self.ports.policy.preview:
            return None
        asked = wire.TurnPreview(begin=begin, group=self.group)
        if self.ports.policy.shared_load:
            asked.demand.CopyFrom(self._demand())
        asked_s = asyncio.get_running_loop().time()
        reply = await self.ports.client.preview(asked)
        if reply is not None:
            permit = TimedPermit(asked_s + reply.permit_ms / 1000)
            self.attempts.placement.prefer(reply.runner_id, permit)
        return reply

    def _demand(self) -> wire.TurnDemand:
        """What the leader needs to know to advise a runner."""
        left_s = self.deadline_s - asyncio.get_running_loop().time()
        placement = self.attempts.placement
        demand = demand_of(
            self.request,
            placement.service,
            left_s,
            placement.runner_state(),
            placement.ports.zone,
            regions=placement.regions,
        )
        demand.body_bytes = len(self.request.body) + self._held_bytes()
        return demand

    def _held_bytes(self) -> int:
        """Of the chain that goes before the body, as far as it is at hand."""
        turn = self.request.turn
        if turn is None or not (self.route.keeps_turns and turn.previous_turn):
            return 0
        return len(self.ports.transcripts.get((self._tenant, turn.previous_turn)) or b"")

    def _report(self) -> wire.TurnReport:
        """What this turn saw of runners."""
        num_gaps = self.num_events - 1
        gap_s = (self._last_event_s - self._first_event_s) / num_gaps if num_gaps > 0 else 0.0
        return wire.TurnReport(
            runner_id=self.attempts.answered_by,
            event_gap_us=int(gap_s * 1_000_000),
            failed=self.attempts.history.failed,
        )

    def _begin_command(self) -> wire.BeginTurn:
        turn = self.request.turn
        assert turn is not None
        return wire.BeginTurn(
            program_id=self.request.program_id,
            turn_id=self.request.request_id,
            previous_turn=turn.previous_turn if self.route.keeps_turns else "",
            budget_tokens=turn.budget_tokens or 0,
            has_budget=turn.budget_tokens is not None,
            most_tokens=turn.most_tokens,
            retention_ms=self.route.retention_ms,
            tenant=self._tenant,
            num_groups=self.ports.group_locator.num_groups(self._tenant),
        )

    def _commit_begin(self, begin: wire.BeginTurn) -> "asyncio.Task[wire.TurnReply | None]":
        """Start to commit the reservation; its chain is the preview's matter."""
        command = wire.TurnCommand(begin=begin, group=self.group)
        command.begin.held_turn = begin.previous_turn
        note_told = self._report_calls(command)
        loop = asyncio.get_running_loop()
        timeout_s = min(BEGIN_TIMEOUT_S, self.deadline_s - loop.time())
        mark_left = partial(self._mark_left, command.begin)
        task = loop.create_task(self._command_or_none(command, timeout_s, mark_left))
        task.add_done_callback(lambda done: note_told() if _is_committed(done) else None)
        self.ports.late.add(task)
        task.add_done_callback(self.ports.late.discard)
        return task

    def _mark_left(self, begin: wire.BeginTurn) -> None:
        """Tell a new leader that the turn went to its runner on another one's word."""
        begin.has_left = self.attempts.may_have_run

    def _report_calls(self, command: wire.TurnCommand) -> Callable[[], None]:
        """Tell what this node let through of limited tenants; nothing where nobody is limited."""
        if not self.attempts.principal.is_limited:
            return _nothing
        return self.ports.quotas.report(command)

    async def _command_or_none(
        self,
        command: wire.TurnCommand,
        timeout_s: float,
        before_try: Callable[[], None] = lambda: None,
    ) -> wire.TurnReply | None:
        try:
            return await self.ports.client.command(command, timeout_s, before_try)
        except GroupUnavailable as error:
            log.say(
                "the turn log does not answer",
                request=self.request.request_id,
                command=command.WhichOneof("command"),
                reason=str(error),
            )
            return None

    async def _begin_committed(self, begin: wire.BeginTurn, held: bytes | None) -> Refusal | None:
        """Without a preview: wait for the commit, then ask for what the preview would have told."""
        refusal = await self.confirm()
        if refusal is not None:
            return refusal
        if not self.attempts.placement.has_preferred_runner and await self._preview_committed(
            begin, held
        ):
            return None
        if begin.previous_turn and held is None:
            self._committing = self._ask_chain(begin)
            refusal = await self.confirm()
        reply = await self._committed()
        if refusal is None and reply is not None:
            self._take_chain(reply, held)
        return refusal

    async def _commit_in(self, group: int) -> wire.TurnReply | None:
        """Commit the begin in a further group."""
        self.group = group
        self._committing = self._commit_begin(self._begin)
        return await self._committed()

    async def _preview_committed(self, begin: wire.BeginTurn, held: bytes | None) -> bool:
        """Ask for the advice and the chain of a turn that is reserved; whether the chain came.

        Turns that waited for a new leader would else all go where this node alone thinks best,
        and the leader would not know of them.
        """
        preview = await self._preview(begin)
        if preview is None:
            return False
        if preview.answer != wire.TURN_ANSWER_GRANTED:
            return False
        self._take_chain(preview, held)
        return True

    def _ask_chain(self, begin: wire.BeginTurn) -> "asyncio.Task[wire.TurnReply | None]":
        """The same begin again, which changes nothing, for the chain in its reply."""
        command = wire.TurnCommand(begin=begin, group=self.group)
        command.begin.held_turn = ""
        work = self._command_or_none(command, BEGIN_TIMEOUT_S)
        return asyncio.get_running_loop().create_task(work)

    async def _committed(self) -> wire.TurnReply | None:
        """The reply to the begin; a caller's leaving does not end the commit."""
        if self._committing is None:
            return None
        return await asyncio.shield(self._committing)

    async def confirm(self) -> Refusal | None:
        """Wait until the reservation is committed; return why it is not."""
        reply = await self._committed()
        if not self._is_placed:
            self._is_placed = True
            reply = await self._search.settle(reply)
        if reply is None:
            return Refusal(ErrorKind.TURN_LOG_UNAVAILABLE, "the turn log does not answer")
        if reply.answer == wire.TURN_ANSWER_GRANTED:
            group_locator = self.ports.group_locator
            group_locator.note_program(self._tenant, self.request.program_id, self.group)
            return None
        # Nothing is reserved; one that left all the same is counted by its end.
        self._is_finished = not (self._tenant and self.attempts.may_have_run)
        if reply.answer == wire.TURN_ANSWER_QUOTA_EXCEEDED:
            return refusal_of(reply)
        if reply.answer == wire.TURN_ANSWER_NO_ROOM:
            return no_room(reply)
        if reply.answer == wire.TURN_ANSWER_UNKNOWN_TURN:
            return Refusal(ErrorKind.NOT_FOUND, "no such turn is kept")
        if self._search.is_spent or reply.answer == wire.TURN_ANSWER_BUDGET_SPENT:
            return Refusal(ErrorKind.BUDGET_EXHAUSTED, "the program's budget is spent")
        if reply.answer == wire.TURN_ANSWER_OTHER_GROUP:
            return Refusal(
                ErrorKind.TURN_LOG_UNAVAILABLE, "a group that holds a part of the budget is silent"
            )
        return Refusal(ErrorKind.TURN_LOG_UNAVAILABLE, "this turn id was finished before")

    def _take_chain(self, reply: wire.TurnReply, held: bytes | None) -> None:
        if not self.route.keeps_turns:
            return
        pieces = [piece.transcript for piece in reply.chain]
        self._transcript = held if held is not None else b"".join(pieces)

    def _finish_command(self, outcome: "wire.TurnOutcome.ValueType") -> wire.TurnCommand:
        turn = self.request.turn
        assert turn is not None
        keep = outcome == wire.TURN_OUTCOME_WHOLE and self.route.keeps_turns
        finish = wire.FinishTurn(
            program_id=self.request.program_id,
            turn_id=self.request.request_id,
            outcome=outcome,
            tokens=self._tokens(),
            previous_turn=turn.previous_turn if keep else "",
            keep=keep,
            input=self.request.body if keep else b"",
            output=b"".join(self._output) if keep else b"",
            retention_ms=self.route.retention_ms,
            runner_id=self.attempts.answered_by,
            tenant=self._tenant,
            was_sent=self.attempts.may_have_run,
        )
        return wire.TurnCommand(finish=finish, report=self._report(), group=self.group)

    def _tokens(self) -> int:
        """Tokens handed to the caller, as the operators count them."""
        return self.num_events * (self.engine.event_tokens if self.engine is not None else 1)

    def _outcome_of_broken(self) -> "wire.TurnOutcome.ValueType":
        if self.num_events == 0:
            return wire.TURN_OUTCOME_NOTHING_HANDED_ON
        return wire.TURN_OUTCOME_BROKEN

    async def finish_whole(self) -> bool:
        """Commit the turn's end; ``False``: not known to be committed in time."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        command = self._finish_command(wire.TURN_OUTCOME_WHOLE)
        note_told = self._report_calls(command)
        try:
            reply = await self.ports.client.command(command, FINISH_TIMEOUT_S)
        except GroupUnavailable as error:
            log.say("the end was not kept", request=self.request.request_id, reason=str(error))
            return False
        self._is_finished = True
        note_told()
        self.ports.quotas.take_allowance(self.attempts.principal, reply.spend_ceiling)
        if self.route.keeps_turns:
            self.ports.group_locator.note_turn(self._tenant, self.request.request_id, self.group)
            said = self.request.body + b"".join(self._output)
            turn = (self._tenant, self.request.request_id)
            self.ports.transcripts.put(turn, self._transcript + said)
        took_s = loop.time() - began_s
        self.ports.metrics.turn_end_s.observe(took_s)
        log.say(
            "ended",
            request=self.request.request_id,
            tokens=self._tokens(),
            took_ms=round(took_s * 1000, 1),
        )
        return True

    async def _finish_in_background(self, command: wire.TurnCommand) -> None:
        try:
            await self.ports.client.command(command, LATE_FINISH_TIMEOUT_S)
        except GroupUnavailable as error:
            log.say(
                "a reservation stays, since its end could not be told",
                request=self.request.request_id,
                reason=str(error),
            )


def _is_committed(done: "asyncio.Task[wire.TurnReply | None]") -> bool:
    """Whether a command was applied."""
    if done.cancelled() or done.exception() is not None:
        return False
    reply = done.result()
    return reply is not None and reply.answer not in UNCOMMITTED


def _nothing() -> None:
    """There is nothing to confirm."""
