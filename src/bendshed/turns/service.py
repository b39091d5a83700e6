"""Server of the turn log in a replica machine: handles requests for the groups that it leads.

Owns the led groups and the leader's unreplicated state: pending quota admissions and placements.
Commits through ``consensus/host.py``.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable

from bendshed.consensus.host import CommitUnknown, GroupHost, NotCommitted, NotLeader
from bendshed.consensus.raft_types import Role, RoleChanged
from bendshed.logs import PartLog
from bendshed.placement.groups import ONE_GROUP, TurnGroups
from bendshed.ports.transport import Transport
from bendshed.turns.codec import (
    apply_budget_status,
    decode_call_request,
    encode_call_decision,
    no_room_reply,
    not_leader_reply,
    unavailable_reply,
)
from bendshed.turns.led_group import LedGroup
from bendshed.turns.methods import PREVIEW_METHOD, QUOTA_METHOD, RUNNER_METHOD, TURN_METHOD
from bendshed.turns.metrics import CommandOutcome, TurnLogMetrics
from bendshed.turns.quota_counting import QuotaCounting
from bendshed.turns.retention import PREVIEW_MARGIN_MS
from bendshed.turns.shares import ShareGatherer
from bendshed.turns.state import TurnLogState
from bendshed.turns.turn_placement import TurnPlacement
from bendshed.wire import turns_pb2 as wire

SHARE_TIMEOUT_S = 0.25
"""Timeout of another group's leader to release its share; the waiting front's timeout is longer."""
NOT_DISPATCHED_ANSWERS = (
    wire.TURN_ANSWER_UNKNOWN_TURN,
    wire.TURN_ANSWER_BUDGET_SPENT,
    wire.TURN_ANSWER_BUDGET_RESERVED,
    wire.TURN_ANSWER_CLOSED,
    wire.TURN_ANSWER_QUOTA_EXCEEDED,
    wire.TURN_ANSWER_OTHER_GROUP,
    wire.TURN_ANSWER_NO_ROOM,
)
"""Answers to a begin after which the turn is not dispatched and its end is not reported."""
MAX_TERMS_PER_GROUP = 1 << 48
"""Upper bound on a group's terms, which keeps the numbers of different groups' terms distinct."""
WITHDRAWAL_INTERVAL_S = 0.5
"""Interval between checks for begins that this process did not answer."""
MAJORITY_CHECK_INTERVAL_S = 0.1
"""Interval between checks whether this process still reaches a majority. It is shorter than the gap
after which no more permits are granted (``cold_permits.MAX_UPDATE_GAP_S``, 0.25 s)."""

CommitElsewhere = Callable[[wire.TurnCommand, float], Awaitable[wire.TurnReply | None]]
"""Commits a command in its group at another process; ``None``: no leader answered in time."""

log = PartLog("turns")


async def _no_other_leader(_command: wire.TurnCommand, _timeout_s: float) -> wire.TurnReply | None:
    return None


class TurnService:
    """Handles requests of nodes for each group that this process leads.

    Attributes:
        shares: transfers other groups' shares of budgets to groups led here.

    """

    def __init__(
        self,
        host: GroupHost,
        transport: Transport,
        metrics: TurnLogMetrics,
        placement: TurnPlacement,
        make_quotas: Callable[[], QuotaCounting],
        groups: TurnGroups = ONE_GROUP,
        commit_elsewhere: CommitElsewhere = _no_other_leader,
    ) -> None:
        self._host = host
        self._placement = placement
        self._metrics = metrics
        self._transport = transport
        self._commit_elsewhere = commit_elsewhere
        self._groups = {number: LedGroup(number, host, make_quotas()) for number in groups.ids}
        self.shares = ShareGatherer(groups, self._commit_at_leader)
        host.on_role_changed = self._on_role_changed

    def start(self) -> None:
        """Register the request handlers."""
        self._transport.handlers[TURN_METHOD] = self.handle_command
        self._transport.handlers[PREVIEW_METHOD] = self.preview
        self._transport.handlers[QUOTA_METHOD] = self.admit_call
        self._transport.handlers[RUNNER_METHOD] = self.permit_dispatch

    def _group(self, number: int) -> LedGroup:
        """Return a group; raise ``NotLeader`` if this process does not know it."""
        group = self._groups.get(number)
        if group is None:
            raise NotLeader("")
        return group

    # --- commands ------------------------------------------------------------------------

    async def handle_command(self, payload: bytes) -> bytes:
        """Commit one command and return the reply from applying it."""
        command = wire.TurnCommand.FromString(payload)
        self._extract_report(command)
        began_s = asyncio.get_running_loop().time()
        answer_by_s = began_s + command.wait_ms / 1000 if command.wait_ms else math.inf
        command.ClearField("wait_ms")
        end = CommandOutcome.COMMITTED
        try:
            reply = await self._commit(command, answer_by_s)
        except NotLeader as error:
            end = CommandOutcome.NOT_LEADER
            reply = not_leader_reply(error.leader_id)
        except (CommitUnknown, NotCommitted) as error:
            end = CommandOutcome.UNKNOWN
            _log_unknown_commit(command.group, error)
            reply = unavailable_reply()
        if command.HasField("begin"):
            self._settle_begin(command, reply)
        self._metrics.commands.labels(end.value).inc()
        if end is CommandOutcome.COMMITTED:
            self._metrics.commit_s.observe(asyncio.get_running_loop().time() - began_s)
        return reply.SerializeToString()

    async def _commit(self, command: wire.TurnCommand, answer_by_s: float) -> wire.TurnReply:
        """Commit a command; decide on a withdrawal, and repeat the refusal of a refused begin."""
        group = self._group(command.group)
        if command.HasField("withdraw"):
            return await group.withdraw(command.withdraw)
        if not command.HasField("begin"):
            return await group.commit(command)
        begin = command.begin
        refused = group.refused.find(begin, asyncio.get_running_loop().time())
        if refused is not None:
            return refused
        reply = await self._commit_begin(group, command, answer_by_s)
        group.refused.record(begin, reply, asyncio.get_running_loop().time())
        return reply

    async def _commit_begin(
        self, group: LedGroup, command: wire.TurnCommand, answer_by_s: float
    ) -> wire.TurnReply:
        """Commit a begin; if its group's share does not cover it, first take over the others'.

        The answer is ``BUDGET_SPENT`` or ``BUDGET_RESERVED`` only if every other group has answered
        and all shares together do not cover the turn. Otherwise it remains ``OTHER_GROUP``: the
        requesting node may reach a group that did not answer here, and tokens in transit between
        groups count only once they have arrived.
        """
        state, _ = group.leader_state()
        refusal = self._rejected_by_preview(command.begin, state)
        if refusal is not None:
            return refusal
        await group.extend_chain(command.begin, command.turn_left_ms)
        command.ClearField("turn_left_ms")
        self._set_expected_version(command.begin)
        reply = await group.commit(command, answer_by_s)
        if reply.answer == wire.TURN_ANSWER_UNKNOWN_TURN:
            _log_unknown_chain(command)
        if _needs_gather(command, reply):
            gathered = await self.shares.gather(command.group, command.begin)
            reply = await group.commit(command, answer_by_s)
            if _needs_gather(command, reply):
                apply_budget_status(reply, gathered.classify_shortage(command.begin, reply))
        if reply.answer == wire.TURN_ANSWER_GRANTED and state.needs_other_shares(command.begin):
            self.shares.gather_later(command.group, command.begin)
        return reply

    def _set_expected_version(self, begin: wire.BeginTurn) -> None:
        """Set the software version of the runner where the preview placed the turn.

        The begin was sent along with the preview, so its front did not know the placement.
        """
        if begin.HasField("origin"):
            placed_version = self._placement.software_version_of(begin.turn_id)
            begin.origin.software_version = placed_version or begin.origin.software_version

    def _settle_begin(self, command: wire.TurnCommand, reply: wire.TurnReply) -> None:
        """End the bookkeeping of a begin that was committed or whose turn will not run."""
        turn_id = command.begin.turn_id
        group = self._groups.get(command.group)
        if group is not None and reply.answer != wire.TURN_ANSWER_UNAVAILABLE:
            # A begin of unknown outcome may be committed later: its reservation expires by itself.
            group.quotas.settle_turn(turn_id)
        if reply.answer in NOT_DISPATCHED_ANSWERS:
            self._placement.cancel_turn(turn_id, asyncio.get_running_loop().time())

    async def _commit_at_leader(
        self, number: int, command: wire.TurnCommand
    ) -> wire.TurnReply | None:
        """Commit a command at a group's leader; ``None``: not known to be committed."""
        if number not in self._host.led_groups():
            return await self._commit_elsewhere(command, SHARE_TIMEOUT_S)
        try:
            return await self._commit(command, math.inf)
        except (NotLeader, CommitUnknown, NotCommitted) as error:
            _log_unknown_commit(number, error)
            return None

    async def withdraw_unanswered(self) -> None:
        """Withdraw begins that this process proposed and did not answer; runs until cancelled."""
        while True:
            for number, group in self._groups.items():
                due = group.due_withdrawals()
                commands = [wire.TurnCommand(withdraw=row, group=number) for row in due]
                await asyncio.gather(
                    *(self._commit_at_leader(number, command) for command in commands)
                )
            await asyncio.sleep(WITHDRAWAL_INTERVAL_S)

    # --- unreplicated requests -----------------------------------------------------------

    async def admit_call(self, payload: bytes) -> bytes:
        """Admit or reject a request outside turns; an admitted one is committed first."""
        call = decode_call_request(payload)
        try:
            reply = encode_call_decision(await self._group(call.group).admit_call(call))
        except NotLeader as error:
            reply = not_leader_reply(error.leader_id)
        except (CommitUnknown, NotCommitted) as error:
            _log_unknown_commit(call.group, error)
            reply = unavailable_reply()
        return reply.SerializeToString()

    async def preview(self, payload: bytes) -> bytes:
        """Return the expected reply to a begin from the committed state, without committing.

        The reply for a turn that may run also names its runner.
        """
        preview = wire.TurnPreview.FromString(payload)
        try:
            reply = self._preview(preview)
        except NotLeader as error:
            reply = not_leader_reply(error.leader_id)
        return reply.SerializeToString()

    def _preview(self, preview: wire.TurnPreview) -> wire.TurnReply:
        """Decide on a turn by its chain, its tenant's quota and runner capacity, in this order.

        A turn that its budget may not cover passes the same checks: the commit decides on the
        budget. Raise ``NotLeader``.
        """
        group = self._group(preview.group)
        state, term = group.leader_state()
        now_ms = group.elapsed_ms()
        begin = preview.begin
        reply = state.preview(begin)
        expires_ms = state.previous_expiry_ms(begin)
        if expires_ms is not None and expires_ms < now_ms + PREVIEW_MARGIN_MS:
            # The begin decides: it may be applied after the chain has expired.
            return wire.TurnReply(answer=wire.TURN_ANSWER_UNKNOWN_TURN)
        if reply.answer not in (wire.TURN_ANSWER_GRANTED, wire.TURN_ANSWER_BUDGET_SPENT):
            return reply
        rejection = group.quotas.admit_turn(begin, state, term, now_ms, preview.demand.line)
        if rejection is not None:
            return rejection
        return self._place_previewed(preview, state, reply) if preview.demand.service else reply

    def _place_previewed(
        self, preview: wire.TurnPreview, state: TurnLogState, reply: wire.TurnReply
    ) -> wire.TurnReply:
        """Add the chosen runner to the reply for a turn that may run."""
        begin = preview.begin
        last_runner = state.latest_runner_id(begin.tenant, begin.program_id)
        is_new = not state.is_program_started(begin)
        has_cold = self._placement.cold.tracker.has_cold
        now_s = self._check_majority() if has_cold else asyncio.get_running_loop().time()
        placement = self._placement.place_turn(preview, last_runner, is_new, now_s)
        if placement.retry_after_ms:
            return no_room_reply(placement.retry_after_ms)
        reply.runner_id, reply.permit_ms = placement.runner_id, placement.permit_ms
        return reply

    async def permit_dispatch(self, payload: bytes) -> bytes:
        """Permit one dispatch without a preview, or reply when to retry."""
        request = wire.RunnerAsk.FromString(payload)
        try:
            self._group(request.group).leader_state()
        except NotLeader as error:
            return not_leader_reply(error.leader_id).SerializeToString()
        placement = self._placement.permit_dispatch(request, self._check_majority())
        if placement.retry_after_ms:
            return no_room_reply(placement.retry_after_ms).SerializeToString()
        reply = wire.TurnReply(answer=wire.TURN_ANSWER_GRANTED)
        reply.runner_id, reply.permit_ms = placement.runner_id, placement.permit_ms
        return reply.SerializeToString()

    def _rejected_by_preview(
        self, begin: wire.BeginTurn, state: TurnLogState
    ) -> wire.TurnReply | None:
        """Apply a preview's rejection to the begin that was sent along with it.

        Otherwise a program that did not run would count as started.
        """
        now_s = asyncio.get_running_loop().time()
        retry_ms = self._placement.cold.rejection_retry_ms(begin.turn_id, now_s)
        if not retry_ms or begin.has_left or state.is_reserved(begin):
            return None
        return no_room_reply(retry_ms)

    async def monitor_majority(self) -> None:
        """Check periodically whether this process reaches a majority; runs until cancelled."""
        while True:
            self._check_majority()
            await asyncio.sleep(MAJORITY_CHECK_INTERVAL_S)

    def _check_majority(self) -> float:
        """Check whether this process leads and reaches a majority; return the loop time.

        A process that leads several groups counts all of its permits in one window, so only the
        first group is checked: when it changes, the process counts as a new leader, which may
        grant fewer permits.
        """
        now_s = asyncio.get_running_loop().time()
        terms = [
            number * MAX_TERMS_PER_GROUP + group.replica.term
            for number, group in self._host.groups.items()
            if group.replica.is_ready_leader and group.replica.has_majority
        ]
        self._placement.cold.permit_counts.leadership.update(
            min(terms, default=0), bool(terms), now_s
        )
        return now_s

    def _extract_report(self, command: wire.TurnCommand) -> None:
        """Remove the runner report from a turn's end and apply it; it is not replicated."""
        if not command.HasField("report"):
            return
        now_s = asyncio.get_running_loop().time()
        self._placement.end_turn(command.finish.turn_id, command.report, now_s)
        command.ClearField("report")

    def _on_role_changed(self, group_id: int, change: RoleChanged) -> None:
        group = self._groups.get(group_id)
        if group is not None and change.role is Role.LEADER:
            group.begin_term(asyncio.get_running_loop().time())


def _log_unknown_chain(command: wire.TurnCommand) -> None:
    begin = command.begin
    log.say(
        "turn refused: the turn before is not stored",
        request=begin.turn_id,
        program=begin.program_id,
        previous=begin.previous_turn,
        group=command.group,
    )


def _needs_gather(command: wire.TurnCommand, reply: wire.TurnReply) -> bool:
    """Whether this group must take over the other groups' shares for a begin."""
    is_other_group = reply.answer == wire.TURN_ANSWER_OTHER_GROUP
    return is_other_group and reply.owner_group == command.group


def _log_unknown_commit(group: int, error: Exception) -> None:
    log.say(
        "command not known to be committed: no majority, or the leader changed",
        group=group,
        reason=repr(error),
    )
