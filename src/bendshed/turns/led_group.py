"""One group of the turn log, at the process that leads it.

Owns the log's clock in the current term and the group's quotas. Commits through
``consensus/host.py``.
"""

import asyncio
import math
from dataclasses import dataclass

from bendshed.admission.standing_reservations import STANDING_RETRY_AFTER_MS, StandingReservations
from bendshed.consensus.host import CommitUnknown, GroupHost
from bendshed.logs import PartLog
from bendshed.turns.codec import (
    CallAdmitted,
    CallDecision,
    CallRequest,
    apply_budget_status,
    budget_use_of,
)
from bendshed.turns.quota_counting import QuotaCounting
from bendshed.turns.refused_begins import RefusedBegins
from bendshed.turns.retention import make_extension
from bendshed.turns.state import TurnLogState
from bendshed.turns.unanswered_begins import ProposedBegins, UnansweredBegins, turn_key
from bendshed.wire import turns_pb2 as wire

COMMIT_TIMEOUT_S = 1.0
"""A commit that takes longer is answered as unknown; by then the requesting node has retried."""

log = PartLog("turns")


@dataclass(slots=True)
class _LeaderClock:
    """Clock of the log in one term: the committed time at its start plus the monotonic time since.

    Attributes:
        base_ms: committed time at the first request of the term.
        base_s: loop time at which the term began, so that time also passes without requests.

    """

    term: int
    base_ms: int
    base_s: float


class LedGroup:
    """Commits commands of one group.

    ``leader_state``, ``elapsed_ms``, ``commit``, ``extend_chain``, ``withdraw`` and ``admit_call``
    raise ``NotLeader`` where this process does not lead the group.

    Attributes:
        group_id: id of the group.
        quotas: quota decisions for the tenants whose usage the group counts.
        unanswered: begins that this process proposed but did not answer, also in earlier terms.
        refused: begins that this process refused as leader, also in earlier terms.

    """

    def __init__(self, group_id: int, host: GroupHost, quotas: QuotaCounting) -> None:
        self.group_id = group_id
        self.quotas = quotas
        self._host = host
        self._clock: _LeaderClock | None = None
        self._term_began_s = 0.0
        self._reservations = StandingReservations()
        self.unanswered = UnansweredBegins()
        self.refused = RefusedBegins(group_id)
        self._proposed_begins = ProposedBegins()

    def begin_term(self, now_s: float) -> None:
        """Record that a term of this process as leader begins."""
        self._term_began_s = now_s

    def leader_state(self) -> tuple[TurnLogState, int]:
        """Return the replicated state and the term."""
        group = self._host.ready_group(self.group_id)
        assert isinstance(group.state, TurnLogState)
        return group.state, group.replica.term

    def elapsed_ms(self) -> int:
        """Return the time of the log's clock, in ms."""
        state, term = self.leader_state()
        now_s = asyncio.get_running_loop().time()
        if self._clock is None or self._clock.term != term:
            self._clock = _LeaderClock(term, state.clock_ms, self._term_began_s)
        return self._clock.base_ms + int((now_s - self._clock.base_s) * 1000)

    async def commit(
        self, command: wire.TurnCommand, answer_by_s: float = math.inf
    ) -> wire.TurnReply:
        """Commit a command; a turn beyond its tenant's quota is rejected without a commit.

        ``answer_by_s`` is the loop time after which the front no longer waits for the answer to a
        begin.

        Raise ``NotLeader``, ``NotCommitted`` or ``CommitUnknown``.
        """
        command.elapsed_ms = self.elapsed_ms()
        state, term = self.leader_state()
        if command.HasField("begin"):
            refusal = self.quotas.admit_turn(command.begin, state, term, command.elapsed_ms)
            if refusal is not None:
                return refusal
        if command.HasField("finish"):
            self.quotas.add_allowance(command, state, term)
        try:
            if command.HasField("begin"):
                applied = await self._propose_begin(command, term, answer_by_s)
            else:
                applied = await self._propose(command)
        finally:
            self.quotas.settle_allowance(command)
        applied.spend_ceiling = command.allowance.ceiling
        if applied.answer == wire.TURN_ANSWER_BUDGET_SPENT:
            self._classify_refusal(command.begin, applied, state)
        return applied

    async def _propose(self, command: wire.TurnCommand) -> wire.TurnReply:
        applied = await self._host.propose(
            self.group_id, command.SerializeToString(), COMMIT_TIMEOUT_S
        )
        assert isinstance(applied, wire.TurnReply)
        return applied

    async def _propose_begin(
        self, command: wire.TurnCommand, term: int, answer_by_s: float
    ) -> wire.TurnReply:
        """Commit a begin; one committed after its front stopped waiting counts as unanswered."""
        begin = command.begin
        self._proposed_begins.assign_number(begin, term)
        try:
            applied = await self._propose(command)
            if asyncio.get_running_loop().time() > answer_by_s:
                raise CommitUnknown(
                    f"group {self.group_id}: committed after the front stopped waiting"
                )
        except CommitUnknown as error:
            self.unanswered.record(begin, error.index)
            raise
        finally:
            self._proposed_begins.settle(begin)
        return applied

    async def extend_chain(self, begin: wire.BeginTurn, turn_left_ms: int) -> None:
        """Store the chain that a begin continues until the begun turn has ended, if it is stored.

        ``turn_left_ms``: until the turn's end is committed at the latest; 0: a node of an earlier
        build did not say, so nothing is extended.

        Raise ``NotLeader``, ``NotCommitted`` or ``CommitUnknown``.
        """
        state, _ = self.leader_state()
        expires_ms, now_ms = state.previous_expiry_ms(begin), self.elapsed_ms()
        if expires_ms is None or not turn_left_ms or expires_ms >= now_ms + turn_left_ms:
            return
        extension = make_extension(begin, turn_left_ms)
        await self.commit(wire.TurnCommand(finish=extension, group=self.group_id))
        log.say(
            "chain extended: a turn that continues it may outlast it",
            request=begin.turn_id,
            program=begin.program_id,
            previous=begin.previous_turn,
            group=self.group_id,
            expires_in_ms=expires_ms - now_ms,
            turn_left_ms=turn_left_ms,
        )

    def due_withdrawals(self) -> list[wire.WithdrawBegin]:
        """Return due withdrawals of this process's begins; the group's leader decides on them."""
        group = self._host.groups.get(self.group_id)
        if group is None:
            return []
        assert isinstance(group.state, TurnLogState)
        applied_index = group.replica.applied_index
        now_s = asyncio.get_running_loop().time()
        return self.unanswered.due_withdrawals(
            group.state, lambda index: index <= applied_index, now_s
        )

    async def withdraw(self, request: wire.WithdrawBegin) -> wire.TurnReply:
        """Release a turn's reservation if no begin of the turn was answered.

        Raise ``NotLeader``, ``NotCommitted`` or ``CommitUnknown``.
        """
        state, term = self.leader_state()
        turn = turn_key(request)
        self._proposed_begins.withdraw(request, term)
        if not self._proposed_begins.can_release(turn, state):
            return wire.TurnReply()
        # A turn end without any output: replicas of every build apply this command identically.
        end = wire.FinishTurn(
            tenant=request.tenant,
            program_id=request.program_id,
            turn_id=request.turn_id,
            outcome=wire.TURN_OUTCOME_NOTHING_HANDED_ON,
            retention_ms=request.retention_ms,
        )
        reply = await self.commit(wire.TurnCommand(finish=end, group=self.group_id))
        self._proposed_begins.forget(turn)
        log.say(
            "reservation released: no begin of the turn was answered",
            request=request.turn_id,
            program=request.program_id,
            group=self.group_id,
            reserved_tokens=reply.reserved_tokens,
        )
        return reply

    def _classify_refusal(
        self, begin: wire.BeginTurn, reply: wire.TurnReply, state: TurnLogState
    ) -> None:
        """Distinguish a spent budget from a reserved one, and set when to retry the latter."""
        name = (begin.tenant, begin.program_id)
        program = state.programs.get(name)
        # The program is missing if a snapshot has replaced the state: another process leads now.
        reserved = program.reserved if program is not None else {}
        now_s = asyncio.get_running_loop().time()
        standing_tokens = self._reservations.standing_tokens(name, reserved, now_s)
        use = budget_use_of(reply)
        apply_budget_status(reply, use.status_for_turn(begin.most_tokens, begin.budget_tokens))
        free_tokens = begin.budget_tokens - use.spent_tokens - standing_tokens
        if reply.answer == wire.TURN_ANSWER_BUDGET_RESERVED and free_tokens < begin.most_tokens:
            reply.retry_after_ms = STANDING_RETRY_AFTER_MS

    async def admit_call(self, call: CallRequest) -> CallDecision:
        """Decide on a request outside turns; an admitted one is committed before the answer.

        Raise ``NotLeader``, ``NotCommitted`` or ``CommitUnknown``.
        """
        state, term = self.leader_state()
        decision = self.quotas.admit_call(call, state, term, self.elapsed_ms())
        if isinstance(decision, CallAdmitted) and decision.counted_total:
            spent = wire.TenantSpent(
                tenant=call.tenant, total=decision.counted_total, reported=call.reported_total
            )
            report = wire.SpentReport(node=call.node, spent=[spent])
            try:
                await self.commit(wire.TurnCommand(spent=report, group=self.group_id))
            finally:
                self.quotas.settle_call(call.tenant)
        return decision
