"""The replicas' side of the turn log: commits commands at the leaders, on the log's own clocks."""

import asyncio
from collections.abc import Awaitable, Callable

from bendshed.consensus.host import CommitUnknown, GroupHost, NotCommitted, NotLeader
from bendshed.consensus.raft_types import Role, RoleChanged
from bendshed.logs import PartLog
from bendshed.placement.groups import ONE_GROUP, TurnGroups
from bendshed.ports.transport import Transport
from bendshed.turns.led_group import LedGroup
from bendshed.turns.methods import PREVIEW_METHOD, QUOTA_METHOD, RUNNER_METHOD, TURN_METHOD
from bendshed.turns.metrics import CommandEnd, TurnLogMetrics
from bendshed.turns.quota_counting import QuotaCounting
from bendshed.turns.shares import ShareGatherer
from bendshed.turns.state import TurnLogState
from bendshed.turns.turn_placement import TurnPlacement
from bendshed.wire import turns_pb2 as wire

SHARE_TIMEOUT_S = 0.25
"""How long another group's leader is asked for its share: a front waits a little longer."""
NOT_TO_RUN = (
    wire.TURN_ANSWER_UNKNOWN_TURN,
    wire.TURN_ANSWER_BUDGET_SPENT,
    wire.TURN_ANSWER_CLOSED,
    wire.TURN_ANSWER_QUOTA_EXCEEDED,
    wire.TURN_ANSWER_OTHER_GROUP,
    wire.TURN_ANSWER_NO_ROOM,
)
"""Answers to a begin after which the turn is sent to no runner, and no end is told."""
TERMS_OF_A_GROUP = 1 << 48
"""More than any group has: tells a term of one group from that of another."""
LOOK_S = 0.1
"""A leader looks so often whether it leads without a doubt (``admission/cold_permits.py``)."""

AskGroup = Callable[[wire.TurnCommand, float], Awaitable[wire.TurnReply | None]]
"""Commits a command in its group at another process; ``None``: no leader answered in time."""

log = PartLog("turns")


async def _ask_nobody(_command: wire.TurnCommand, _timeout_s: float) -> wire.TurnReply | None:
    return None


class TurnService:
    """Answers commands of executors, for each group that this process leads.

    Attributes:
        shares: takes other groups' shares of budgets.

    """

    def __init__(
        self,
        host: GroupHost,
        transport: Transport,
        metrics: TurnLogMetrics,
        advice: TurnPlacement,
        make_quotas: Callable[[], QuotaCounting],
        groups: TurnGroups = ONE_GROUP,
        ask_group: AskGroup = _ask_nobody,
    ) -> None:
        self._host = host
        self._advice = advice
        self._metrics = metrics
        self._transport = transport
        self._ask_group = ask_group
        self._groups = {number: LedGroup(number, host, make_quotas()) for number in groups.numbers}
        self.shares = ShareGatherer(groups, self._send)
        host.on_role_changed = self._note_role

    def start(self) -> None:
        """Begin to answer."""
        self._transport.handlers[TURN_METHOD] = self.answer
        self._transport.handlers[PREVIEW_METHOD] = self.preview
        self._transport.handlers[QUOTA_METHOD] = self.admit_call
        self._transport.handlers[RUNNER_METHOD] = self.place

    def _group(self, number: int) -> LedGroup:
        """A group; raise ``NotLeader`` for one that this process does not know."""
        group = self._groups.get(number)
        if group is None:
            raise NotLeader("")
        return group

    # --- commands ------------------------------------------------------------------------

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
            log.say("a command was not seen to commit", group=command.group, reason=repr(error))
            reply = wire.TurnReply(answer=wire.TURN_ANSWER_UNAVAILABLE)
        if command.HasField("begin"):
            self._settle_begin(command, reply)
        self._metrics.commands.labels(end.value).inc()
        if end is CommandEnd.COMMITTED:
            self._metrics.commit_s.observe(asyncio.get_running_loop().time() - began_s)
        return reply.SerializeToString()

    async def _commit(self, command: wire.TurnCommand) -> wire.TurnReply:
        """Commit a command; a begin that its group's share does not hold takes the others' first.

        ``BUDGET_SPENT`` is told only when no other group holds anything more; where one does not
        answer, the asker is told to try, which may reach it.
        """
        group = self._group(command.group)
        if not command.HasField("begin"):
            return await group.commit(command)
        refusal = self._refused_by_preview(command.begin, group.led()[0])
        if refusal is not None:
            return refusal
        reply = await group.commit(command)
        if _must_gather(command, reply):
            has_all = await self.shares.gather(command.group, command.begin)
            reply = await group.commit(command)
            if has_all and _must_gather(command, reply):
                reply.answer = wire.TURN_ANSWER_BUDGET_SPENT
        if reply.answer == wire.TURN_ANSWER_GRANTED and group.led()[0].wants_shares(command.begin):
            self.shares.gather_later(command.group, command.begin)
        return reply

    def _settle_begin(self, command: wire.TurnCommand, reply: wire.TurnReply) -> None:
        """A begin was committed, or its turn will not run."""
        turn_id = command.begin.turn_id
        group = self._groups.get(command.group)
        if group is not None and reply.answer != wire.TURN_ANSWER_UNAVAILABLE:
            group.quotas.settle_turn(turn_id)  # else it may commit yet, and its promise lapses
        if reply.answer in NOT_TO_RUN:
            self._advice.take_refusal(turn_id, asyncio.get_running_loop().time())

    async def _send(self, number: int, command: wire.TurnCommand) -> wire.TurnReply | None:
        """Commit a command between groups, here or wherever its group is led."""
        if number not in self._host.led_groups():
            return await self._ask_group(command, SHARE_TIMEOUT_S)
        try:
            return await self._group(number).commit(command)
        except (NotLeader, CommitUnknown, NotCommitted) as error:
            log.say("a command was not seen to commit", group=number, reason=repr(error))
            return None

    # --- what is not replicated ----------------------------------------------------------

    async def admit_call(self, payload: bytes) -> bytes:
        """Let a request through that is no turn, or not; it counts before its node hears of it."""
        ask = wire.QuotaAsk.FromString(payload)
        try:
            reply = await self._group(ask.group).admit_call(ask)
        except NotLeader as error:
            reply = wire.TurnReply(answer=wire.TURN_ANSWER_NOT_LEADER, leader_id=error.leader_id)
        except (CommitUnknown, NotCommitted) as error:
            log.say("a command was not seen to commit", group=ask.group, reason=repr(error))
            reply = wire.TurnReply(answer=wire.TURN_ANSWER_UNAVAILABLE)
        return reply.SerializeToString()

    async def preview(self, payload: bytes) -> bytes:
        """Tell what a begin would be answered, from the committed state, without committing.

        A turn that may be granted is told its runner too.
        """
        preview = wire.TurnPreview.FromString(payload)
        try:
            group = self._group(preview.group)
            state, term = group.led()
            now_ms = group.elapsed_ms()
        except NotLeader as error:
            reply = wire.TurnReply(answer=wire.TURN_ANSWER_NOT_LEADER, leader_id=error.leader_id)
            return reply.SerializeToString()
        begin = preview.begin
        reply = state.preview(begin)
        may_run = reply.answer in (wire.TURN_ANSWER_GRANTED, wire.TURN_ANSWER_BUDGET_SPENT)
        line = preview.demand.line
        refusal = group.quotas.admit_turn(begin, state, term, now_ms, line) if may_run else None
        if refusal is not None:
            return refusal.SerializeToString()
        if may_run and preview.demand.service:
            ran_at = state.runner_of(begin.tenant, begin.program_id)
            is_new = not state.is_under_way(begin)
            has_cold = self._advice.cold.tracker.has_cold
            now_s = self._look() if has_cold else asyncio.get_running_loop().time()
            placement = self._advice.advise(preview, ran_at, is_new, now_s)
            if placement.retry_after_ms:
                return _no_room(placement.retry_after_ms).SerializeToString()
            reply.runner_id, reply.permit_ms = placement.runner_id, placement.permit_ms
        return reply.SerializeToString()

    async def place(self, payload: bytes) -> bytes:
        """Permit one sending that has no preview, or tell when there is room."""
        asked = wire.RunnerAsk.FromString(payload)
        try:
            self._group(asked.group).led()
            placement = self._advice.place(asked, self._look())
            reply = wire.TurnReply(answer=wire.TURN_ANSWER_GRANTED)
            reply.runner_id, reply.permit_ms = placement.runner_id, placement.permit_ms
            if placement.retry_after_ms:
                reply = _no_room(placement.retry_after_ms)
        except NotLeader as error:
            reply = wire.TurnReply(answer=wire.TURN_ANSWER_NOT_LEADER, leader_id=error.leader_id)
        return reply.SerializeToString()

    def _refused_by_preview(
        self, begin: wire.BeginTurn, state: TurnLogState
    ) -> wire.TurnReply | None:
        """A preview's refusal holds for the begin beside it: its program stays a new one."""
        now_s = asyncio.get_running_loop().time()
        retry_ms = self._advice.cold.refused_for_ms(begin.turn_id, now_s)
        if not retry_ms or begin.has_left or state.is_reserved(begin):
            return None
        return _no_room(retry_ms)

    async def follow_lead(self) -> None:
        """Look again and again whether this process leads without a doubt."""
        while True:
            self._look()
            await asyncio.sleep(LOOK_S)

    def _look(self) -> float:
        """Look whether this process leads without a doubt; return the loop's time.

        One that leads several groups counts all that it grants in one window, so the term of the
        first of them tells enough: another one counts as a new leader's, which grants less.
        """
        now_s = asyncio.get_running_loop().time()
        terms = [
            number * TERMS_OF_A_GROUP + group.replica.term
            for number, group in self._host.groups.items()
            if group.replica.is_ready_leader and group.replica.hears_majority
        ]
        self._advice.cold.grants.touch.look(min(terms, default=0), bool(terms), now_s)
        return now_s

    def _take_report(self, command: wire.TurnCommand) -> None:
        """What a turn's end tells of runners is this process's alone: take it off the command."""
        if not command.HasField("report"):
            return
        now_s = asyncio.get_running_loop().time()
        self._advice.take_report(command.finish.turn_id, command.report, now_s)
        command.ClearField("report")

    def _note_role(self, group_id: int, change: RoleChanged) -> None:
        group = self._groups.get(group_id)
        if group is not None and change.role is Role.LEADER:
            group.note_leading(asyncio.get_running_loop().time())


def _must_gather(command: wire.TurnCommand, reply: wire.TurnReply) -> bool:
    """Whether a begin was answered that this very group must take the others' shares."""
    is_elsewhere = reply.answer == wire.TURN_ANSWER_OTHER_GROUP
    return is_elsewhere and reply.owner_group == command.group


def _no_room(retry_after_ms: int) -> wire.TurnReply:
    """No runner may take it now."""
    return wire.TurnReply(answer=wire.TURN_ANSWER_NO_ROOM, retry_after_ms=retry_after_ms)
