"""The replicated state of the turn log: chains of stored turns, budgets of programs, usage. Pure.

Commands in, replies out. Time is the log's clock, which the commands carry. It never runs
backwards and stops while no replica leads, so that nothing expires early.
"""

from collections.abc import Iterator

from bendshed.admission.program_budget import ProgramBudget
from bendshed.admission.quota_usage import UsageWindows
from bendshed.turns.methods import TenantScopedId
from bendshed.turns.stored_turn import StoredTurn
from bendshed.wire import turns_pb2 as wire

PROGRAM_RETENTION_FACTOR = 2
"""A program's budget is stored this many retentions beyond its last turn."""
MIN_PROGRAM_RETENTION_MS = 120_000
"""The same at least, for routes with a short retention or none."""
RELEASED_RETENTION_FACTOR = 10
"""A program that has released its share here is stored this many times as long as others. The group
that took the share requests it again while the program runs; a group that had forgotten the release
would give the same tokens twice."""
EXPIRY_SWEEP_INTERVAL_MS = 1_000
"""Expired turns and programs are removed once in this time of the log's clock."""
PREVIEW_MIN_TURNS = 4
"""A begin is previewed as granted when the budget holds this many turns like it, so that turns of
the same program that begin at once can hardly use it up."""
COLLECT_SHARES_BELOW_TURNS = 6
"""The other groups' shares are requested when this group's holds fewer turns like the last one:
before previews end, and never for a program of few turns."""


class TurnLogState:
    """Everything that one group of the turn log replicates.

    Invariants: with a turn its whole chain is stored; a turn id is granted at most once and never
    after it was closed.
    """

    def __init__(self, group_id: int = 0) -> None:
        self.group_id = group_id
        self.clock_ms = 0
        self.turns: dict[TenantScopedId, StoredTurn] = {}
        self.programs: dict[TenantScopedId, ProgramBudget] = {}
        self.usage = UsageWindows()

    # --- replication ---------------------------------------------------------------------

    def apply(self, data: bytes) -> wire.TurnReply:
        """Apply one committed command."""
        command = wire.TurnCommand.FromString(data)
        previous_ms = self.clock_ms
        self.clock_ms = max(previous_ms, command.elapsed_ms)
        if previous_ms // EXPIRY_SWEEP_INTERVAL_MS != self.clock_ms // EXPIRY_SWEEP_INTERVAL_MS:
            self._sweep()
        if command.HasField("spent"):
            self.usage.take_report(command.spent.node, command.spent.spent, self.clock_ms)
        if command.HasField("allowance"):
            allowance = command.allowance
            self.usage.allow(allowance.node, allowance.tenant, allowance.ceiling, self.clock_ms)
        match command.WhichOneof("command"):
            case "begin":
                return self._begin(command.begin)
            case "finish":
                return self._finish(command.finish)
            case "release":
                return self._release(command.release)
            case "take":
                return self._take(command.take)
        return wire.TurnReply()

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return b"".join(self._snapshot_pieces())

    def _snapshot_pieces(self) -> Iterator[bytes]:
        """Pieces that are one message when joined (repeated fields of protobuf concatenate).

        One message of all turns would hold every transcript once more.
        """
        yield wire.TurnLogSnapshot(clock_ms=self.clock_ms).SerializeToString()
        for (tenant, turn_id), turn in self.turns.items():
            row = turn.to_wire(tenant, turn_id)
            yield wire.TurnLogSnapshot(turns=[row]).SerializeToString()
        for (tenant, program_id), program in self.programs.items():
            budget = program.to_wire(tenant, program_id)
            yield wire.TurnLogSnapshot(programs=[budget]).SerializeToString()
        for piece in self.usage.pieces():
            yield piece.SerializeToString()

    def restore(self, state: bytes) -> None:
        """Replace the state."""
        snapshot = wire.TurnLogSnapshot.FromString(state)
        self.clock_ms = snapshot.clock_ms
        self.turns = {(row.tenant, row.turn_id): StoredTurn.of_wire(row) for row in snapshot.turns}
        self.programs = {
            (row.tenant, row.program_id): ProgramBudget.of_wire(row) for row in snapshot.programs
        }
        self.usage = UsageWindows.of_snapshot(snapshot)

    # --- begin ---------------------------------------------------------------------------

    def _begin(self, begin: wire.BeginTurn) -> wire.TurnReply:
        if self._is_previous_turn_missing(begin):
            return wire.TurnReply(answer=wire.TURN_ANSWER_UNKNOWN_TURN)
        program = self._get_or_create_program((begin.tenant, begin.program_id), begin.retention_ms)
        if begin.turn_id in program.closed:
            return wire.TurnReply(answer=wire.TURN_ANSWER_CLOSED)
        if begin.turn_id not in program.reserved:
            if not self._reserve(program, begin):
                return self._insufficient_share_reply(program, begin)
            if begin.tenant:
                self.usage.charge(begin.tenant, self.clock_ms, 1)
        program.note_granted(begin)
        reply = self._reply(wire.TURN_ANSWER_GRANTED, program)
        self._add_uncached_chain(reply, begin)
        return reply

    def preview(self, begin: wire.BeginTurn) -> wire.TurnReply:
        """What a begin would be answered, with its chain; changes nothing.

        ``GRANTED`` only where the budget holds ``PREVIEW_MIN_TURNS``. The requesting node takes any
        other answer from the commit.
        """
        if self._is_previous_turn_missing(begin):
            return wire.TurnReply(answer=wire.TURN_ANSWER_UNKNOWN_TURN)
        program = self.programs.get((begin.tenant, begin.program_id), ProgramBudget())
        if not program.surely_holds(begin, self.group_id, PREVIEW_MIN_TURNS):
            return self._reply(wire.TURN_ANSWER_BUDGET_SPENT, program)
        reply = self._reply(wire.TURN_ANSWER_GRANTED, program)
        self._add_uncached_chain(reply, begin)
        return reply

    def _is_previous_turn_missing(self, begin: wire.BeginTurn) -> bool:
        """Whether the turn continues one that is not stored for its tenant."""
        previous = begin.previous_turn
        return bool(previous) and (begin.tenant, previous) not in self.turns

    def latest_runner_id(self, tenant: str, program_id: str) -> str:
        """Runner of a program's latest turn; empty: unknown."""
        program = self.programs.get((tenant, program_id))
        return program.runner_id if program is not None else ""

    def is_program_started(self, begin: wire.BeginTurn) -> bool:
        """Whether the turn's program has begun: its next turns come before new programs."""
        has_begun = (begin.tenant, begin.program_id) in self.programs
        return has_begun or bool(begin.previous_turn)

    def is_reserved(self, begin: wire.BeginTurn) -> bool:
        """Whether this very turn was granted before."""
        program = self.programs.get((begin.tenant, begin.program_id))
        return program is not None and begin.turn_id in program.reserved

    def _add_uncached_chain(self, reply: wire.TurnReply, begin: wire.BeginTurn) -> None:
        """Add what the requesting node has not cached of the chain."""
        if begin.previous_turn and begin.held_turn == begin.previous_turn:
            reply.held_turn = begin.held_turn
        else:
            reply.chain.extend(self._chain(begin.tenant, begin.previous_turn))

    def _reserve(self, program: ProgramBudget, begin: wire.BeginTurn) -> bool:
        return program.reserve(begin, self.group_id)

    def _insufficient_share_reply(
        self, program: ProgramBudget, begin: wire.BeginTurn
    ) -> wire.TurnReply:
        """Answer a turn that this group's share does not hold: whether the whole budget does.

        ``OTHER_GROUP`` names the group that should take the turn. It is this one, which must take
        over the others' shares first, if it stores the turn's chain, if another group has sent the
        node here, or if no other holds this group's share.
        """
        if begin.num_groups <= 1 or program.is_spent(begin):
            return self._reply(wire.TURN_ANSWER_BUDGET_SPENT, program)
        reply = self._reply(wire.TURN_ANSWER_OTHER_GROUP, program)
        receiver = program.main_receiver()
        stays_here = begin.is_sent_on or bool(begin.previous_turn) or receiver is None
        reply.owner_group = self.group_id if stays_here or receiver is None else receiver
        return reply

    def needs_other_shares(self, begin: wire.BeginTurn) -> bool:
        """Whether to request the other groups' shares of a granted turn's budget.

        First when this group's share runs low, then once in the time for which a program is stored,
        so that no group forgets what it has released.
        """
        if begin.num_groups <= 1 or not begin.has_budget:
            return False
        program = self.programs.get((begin.tenant, begin.program_id))
        if program is None:
            return False
        if not program.shares_taken_ms:
            return not program.holds(begin, self.group_id, COLLECT_SHARES_BELOW_TURNS)
        return self.clock_ms - program.shares_taken_ms > _program_retention_ms(begin.retention_ms)

    # --- shares of several groups --------------------------------------------------------

    def _release(self, request: wire.ReleaseShare) -> wire.TurnReply:
        """Give up what the group holds of a budget and does not need, for good."""
        scoped_id = (request.tenant, request.program_id)
        program = self._get_or_create_program(
            scoped_id, request.retention_ms, RELEASED_RETENTION_FACTOR
        )
        reply = self._reply(wire.TURN_ANSWER_GRANTED, program)
        if request.to_group != self.group_id:
            reply.released_tokens = program.release(request, self.group_id)
        return reply

    def _take(self, share: wire.TakeShare) -> wire.TurnReply:
        """Count what another group has given up."""
        program = self._get_or_create_program((share.tenant, share.program_id), share.retention_ms)
        program.take(share)
        program.shares_taken_ms = max(1, self.clock_ms)
        return self._reply(wire.TURN_ANSWER_GRANTED, program)

    def _chain(self, tenant: str, turn_id: str) -> list[wire.TurnPiece]:
        """Transcripts up to and with a turn, oldest first."""
        pieces = []
        while turn_id:
            turn = self.turns[tenant, turn_id]
            pieces.append(wire.TurnPiece(turn_id=turn_id, transcript=turn.transcript))
            turn_id = turn.previous_turn
        pieces.reverse()
        return pieces

    @staticmethod
    def _reply(answer: "wire.TurnAnswer.ValueType", program: ProgramBudget) -> wire.TurnReply:
        return wire.TurnReply(
            answer=answer,
            spent_tokens=program.spent_tokens,
            reserved_tokens=program.reserved_tokens,
        )

    # --- finish --------------------------------------------------------------------------

    def _finish(self, finish: wire.FinishTurn) -> wire.TurnReply:
        program = self._get_or_create_program(
            (finish.tenant, finish.program_id), finish.retention_ms
        )
        if finish.turn_id in program.closed:
            return self._reply(wire.TURN_ANSWER_CLOSED, program)
        if finish.tenant and finish.was_sent and finish.turn_id not in program.reserved:
            self.usage.charge(finish.tenant, self.clock_ms, 1)
        program.close(finish.turn_id)
        program.runner_id = finish.runner_id or program.runner_id
        if finish.outcome != wire.TURN_OUTCOME_NOTHING_HANDED_ON:
            program.spent_tokens += finish.tokens
        if finish.outcome == wire.TURN_OUTCOME_WHOLE and finish.keep:
            self._store_turn(finish)
        return self._reply(wire.TURN_ANSWER_GRANTED, program)

    def _store_turn(self, finish: wire.FinishTurn) -> None:
        """Store the turn, and its chain for at least as long."""
        expires_ms = self.clock_ms + finish.retention_ms
        self.turns[finish.tenant, finish.turn_id] = StoredTurn(
            finish.previous_turn, finish.input + finish.output, expires_ms
        )
        ancestor = self.turns.get((finish.tenant, finish.previous_turn))
        while ancestor is not None and ancestor.expires_ms < expires_ms:
            ancestor.expires_ms = expires_ms
            ancestor = self.turns.get((finish.tenant, ancestor.previous_turn))

    # --- retention -----------------------------------------------------------------------

    def _get_or_create_program(
        self, scoped_id: TenantScopedId, retention_ms: int, factor: int = 1
    ) -> ProgramBudget:
        program = self.programs.get(scoped_id)
        if program is None:
            program = ProgramBudget()
            self.programs[scoped_id] = program
        stored_ms = factor * _program_retention_ms(retention_ms)
        program.expires_ms = max(program.expires_ms, self.clock_ms + stored_ms)
        return program

    def _sweep(self) -> None:
        """Remove what has expired; a chain's turns never expire before its newest one.

        When it runs follows from the replicated clock alone: a replica that was restored from a
        snapshot removes the same entries at the same command as all others.
        """
        now_ms = self.clock_ms
        self.turns = {name: turn for name, turn in self.turns.items() if turn.expires_ms >= now_ms}
        self.programs = {
            name: program for name, program in self.programs.items() if program.expires_ms >= now_ms
        }
        self.usage.sweep(now_ms)


def _program_retention_ms(retention_ms: int) -> int:
    """How long a program's budget is stored beyond its latest turn."""
    return max(MIN_PROGRAM_RETENTION_MS, PROGRAM_RETENTION_FACTOR * retention_ms)
