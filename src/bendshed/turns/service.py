"""The replicas' side of the turn log: commits commands at the leader, on the log's own clock."""

import asyncio
from dataclasses import dataclass

from bendshed.consensus.host import CommitUnknown, GroupHost, NotCommitted, NotLeader
from bendshed.consensus.raft_types import Role, RoleChanged
from bendshed.logs import PartLog
from bendshed.ports.transport import Transport
from bendshed.turns.advice import TurnAdvice
from bendshed.turns.methods import PREVIEW_METHOD, QUOTA_METHOD, TURN_GROUP, TURN_METHOD
from bendshed.turns.metrics import CommandEnd, TurnLogMetrics
from bendshed.turns.quotas import TurnQuotas
from bendshed.turns.state import TurnLogState
from bendshed.wire import turns_pb2 as wire

COMMIT_TIMEOUT_S = 1.0
NOT_TO_RUN = (
    wire.TURN_ANSWER_UNKNOWN_TURN,
    wire.TURN_ANSWER_BUDGET_SPENT,
    wire.TURN_ANSWER_CLOSED,
    wire.TURN_ANSWER_QUOTA_EXCEEDED,
)
"""Answers to a begin after which the turn is sent to no runner, and no end is told."""

log = PartLog("turns")


@dataclass(slots=True)
class _LeaderClock:
    """Clock of the log in one term: committed time at its start plus steady time since.

    Attributes:
        base_ms: committed time when the first command of the term came.
        base_s: loop time at which the term began: a leader that nobody asks lets time pass too.

    """

    term: int
    base_ms: int
    base_s: float


class TurnService:
    """Answers commands of executors."""

    def __init__(
        self,
        host: GroupHost,
        transport: Transport,
        metrics: TurnLogMetrics,
        advice: TurnAdvice,
        quotas: TurnQuotas,
    ) -> None:
        self._host = host
        self._advice = advice
        self._quotas = quotas
        self._metrics = metrics
        self._transport = transport
        self._clock: _LeaderClock | None = None
        self._leads_since_s = 0.0
        host.on_role_changed = self._note_role

    def start(self) -> None:
        """Begin to answer."""
        self._transport.handlers[TURN_METHOD] = self.answer
        self._transport.handlers[PREVIEW_METHOD] = self.preview
        self._transport.handlers[QUOTA_METHOD] = self.admit_call

    async def answer(self, payload: bytes) -> bytes:
        """Commit one command and return the reply of applying it."""
        command = wire.TurnCommand.FromString(payload)
        self._take_report(command)
        began_s = asyncio.get_running_loop().time()
        end = CommandEnd.COMMITTED
        try:
            reply = await self._commit(command)
        except NotLeader as error:
            end = CommandEnd.NOT_LEADER
            reply = wire.TurnReply(answer=wire.TURN_ANSWER_NOT_LEADER, leader_id=error.leader_id)
        except (CommitUnknown, NotCommitted) as error:
            end = CommandEnd.UNKNOWN
            log.say("a command was not seen to commit", reason=repr(error))
            reply = wire.TurnReply(answer=wire.TURN_ANSWER_UNAVAILABLE)
        if command.HasField("begin"):
            self._quotas.settle_turn(command.begin.turn_id)
            if reply.answer in NOT_TO_RUN:
                self._advice.take_refusal(command.begin.turn_id, asyncio.get_running_loop().time())
        self._metrics.commands.labels(end.value).inc()
        if end is CommandEnd.COMMITTED:
            self._metrics.commit_s.observe(asyncio.get_running_loop().time() - began_s)
        return reply.SerializeToString()

    async def _commit(self, command: wire.TurnCommand) -> wire.TurnReply:
        """Commit a command; a turn beyond its tenant's quota is refused without."""
        command.elapsed_ms = self._elapsed_ms()
        state, term = self._led()
        if command.HasField("begin"):
            refusal = self._quotas.admit_turn(command.begin, state, term, command.elapsed_ms)
            if refusal is not None:
                return refusal
        if command.HasField("finish"):
            self._quotas.add_allowance(command, state, term)
        try:
            applied = await self._host.propose(
                TURN_GROUP, command.SerializeToString(), COMMIT_TIMEOUT_S
            )
        finally:
            self._quotas.settle_allowance(command)
        assert isinstance(applied, wire.TurnReply)
        applied.spend_ceiling = command.allowance.ceiling
        return applied

    async def _commit_call(self, command: wire.TurnCommand, tenant: str) -> None:
        try:
            await self._commit(command)
        finally:
            self._quotas.settle_call(tenant)

    def _led(self) -> tuple[TurnLogState, int]:
        """State and term of the group that this process leads; raise ``NotLeader``."""
        group = self._host.ready_group(TURN_GROUP)
        assert isinstance(group.state, TurnLogState)
        return group.state, group.replica.term

    async def admit_call(self, payload: bytes) -> bytes:
        """Let a request through that is no turn, or not; it counts before its node hears of it."""
        ask = wire.QuotaAsk.FromString(payload)
        try:
            state, term = self._led()
            now_ms = self._elapsed_ms()
            reply = self._quotas.admit_call(ask, state, term, now_ms)
            if reply.spend_ceiling:
                spent = wire.TenantSpent(tenant=ask.tenant, total=reply.spend_ceiling)
                spent.reported = ask.reported
                report = wire.SpentReport(node=ask.node, spent=[spent])
                await self._commit_call(wire.TurnCommand(spent=report), ask.tenant)
        except NotLeader as error:
            reply = wire.TurnReply(answer=wire.TURN_ANSWER_NOT_LEADER, leader_id=error.leader_id)
        except (CommitUnknown, NotCommitted) as error:
            log.say("a command was not seen to commit", reason=repr(error))
            reply = wire.TurnReply(answer=wire.TURN_ANSWER_UNAVAILABLE)
        return reply.SerializeToString()

    async def preview(self, payload: bytes) -> bytes:
        """Tell what a begin would be answered, from the committed state, without committing.

        A turn that may be granted is told its runner too.
        """
        try:
            state, term = self._led()
            now_ms = self._elapsed_ms()
        except NotLeader as error:
            reply = wire.TurnReply(answer=wire.TURN_ANSWER_NOT_LEADER, leader_id=error.leader_id)
            return reply.SerializeToString()
        preview = wire.TurnPreview.FromString(payload)
        begin = preview.begin
        reply = state.preview(begin)
        may_run = reply.answer in (wire.TURN_ANSWER_GRANTED, wire.TURN_ANSWER_BUDGET_SPENT)
        line = preview.demand.line
        refusal = self._quotas.admit_turn(begin, state, term, now_ms, line) if may_run else None
        if refusal is not None:
            return refusal.SerializeToString()
        if may_run and preview.demand.service:
            ran_at = state.runner_of(begin.tenant, begin.program_id)
            now_s = asyncio.get_running_loop().time()
            reply.runner_id = self._advice.advise(preview, ran_at, now_s)
        return reply.SerializeToString()

    def _take_report(self, command: wire.TurnCommand) -> None:
        """What a turn's end tells of runners is this process's alone: take it off the command."""
        if not command.HasField("report"):
            return
        now_s = asyncio.get_running_loop().time()
        self._advice.take_report(command.finish.turn_id, command.report, now_s)
        command.ClearField("report")

    def _note_role(self, group_id: int, change: RoleChanged) -> None:
        if group_id == TURN_GROUP and change.role is Role.LEADER:
            self._leads_since_s = asyncio.get_running_loop().time()

    def _elapsed_ms(self) -> int:
        """Time of the log's clock; raise ``NotLeader`` elsewhere."""
        state, term = self._led()
        now_s = asyncio.get_running_loop().time()
        if self._clock is None or self._clock.term != term:
            self._clock = _LeaderClock(term, state.clock_ms, self._leads_since_s)
        return self._clock.base_ms + int((now_s - self._clock.base_s) * 1000)
