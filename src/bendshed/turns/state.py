"""The replicated state of the turn log: chains of kept turns, budgets of programs, usage.

Pure: commands in, replies out. Time is the log's own clock, carried by the commands; it never
runs backwards and stands still while no replica leads, so nothing expires early.
"""

from collections.abc import Iterator

from bendshed.admission.quota_usage import UsageWindows
from bendshed.turns.budget import ProgramBudget
from bendshed.turns.methods import Owned
from bendshed.turns.stored_turn import StoredTurn
from bendshed.wire import turns_pb2 as wire

PROGRAM_KEPT_FACTOR = 2
"""A program's budget outlives its last turn by this many retentions."""
MIN_PROGRAM_KEPT_MS = 120_000
RELEASED_KEPT_FACTOR = 10
"""A program that has released its share here is kept so many times as long as others: whoever took
the share asks again while the program lives, and must never find it forgotten."""
SWEEP_INTERVAL_MS = 1_000
PREVIEW_TURNS = 4
"""A begin is previewed as granted when the budget holds this many turns like it."""
GATHER_TURNS = 6
"""The other groups are asked for their shares when the own one holds fewer turns: before previews
end, and never for a program that is short."""


class TurnLogState:
    """Everything that one group of the turn log replicates.

    Invariants: a kept turn's whole chain is kept; a turn id is granted at most once and never
    after it was closed.
    """

    def __init__(self, group_id: int = 0) -> None:
        self.group_id = group_id
        self.clock_ms = 0
        self.turns: dict[Owned, StoredTurn] = {}
        self.programs: dict[Owned, ProgramBudget] = {}
        self.usage = UsageWindows()

    # --- what the replication asks for ---------------------------------------------------

    def apply(self, data: bytes) -> wire.TurnReply:
        """Apply one committed command."""
        command = wire.TurnCommand.FromString(data)
        before_ms = self.clock_ms
        self.clock_ms = max(before_ms, command.elapsed_ms)
        if before_ms // SWEEP_INTERVAL_MS != self.clock_ms // SWEEP_INTERVAL_MS:
            self._sweep()
        if command.HasField("spent"):
            self.usage.take_report(command.spent.node, command.spent.spent, self.clock_ms)
        if command.HasField("allowance"):
            given = command.allowance
            self.usage.allow(given.node, given.tenant, given.ceiling, self.clock_ms)
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
            kept = turn.to_wire(tenant, turn_id)
            yield wire.TurnLogSnapshot(turns=[kept]).SerializeToString()
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
        if self._is_unknown(begin):
            return wire.TurnReply(answer=wire.TURN_ANSWER_UNKNOWN_TURN)
        program = self._program((begin.tenant, begin.program_id), begin.retention_ms)
        if begin.turn_id in program.closed:
            return wire.TurnReply(answer=wire.TURN_ANSWER_CLOSED)
        if begin.turn_id not in program.reserved:
            if not self._reserve(program, begin):
                return self._short(program, begin)
            if begin.tenant:
                self.usage.charge(begin.tenant, self.clock_ms, 1)
        reply = self._reply(wire.TURN_ANSWER_GRANTED, program)
        self._add_chain(reply, begin)
        return reply

    def preview(self, begin: wire.BeginTurn) -> wire.TurnReply:
        """Tell what a begin would very likely be answered, and its chain; changes nothing.

        ``GRANTED`` is told only where the budget holds some turns more, so that others under way
        at the same time can hardly change it. Every other answer must come from the log.
        """
        if self._is_unknown(begin):
            return wire.TurnReply(answer=wire.TURN_ANSWER_UNKNOWN_TURN)
        program = self.programs.get((begin.tenant, begin.program_id), ProgramBudget())
        if not self._surely_holds(program, begin):
            return self._reply(wire.TURN_ANSWER_BUDGET_SPENT, program)
        reply = self._reply(wire.TURN_ANSWER_GRANTED, program)
        self._add_chain(reply, begin)
        return reply

    def _surely_holds(self, program: ProgramBudget, begin: wire.BeginTurn) -> bool:
        """Whether a begin will very likely be granted.

        Until the other groups were asked the share need not hold more than the turn itself: if it
        is short by then, theirs are taken.
        """
        if program.holds(begin, self.group_id, PREVIEW_TURNS):
            return True
        used = program.used_tokens + PREVIEW_TURNS * begin.most_tokens
        may_take = begin.num_groups > 1 and not program.asked_ms
        return may_take and used <= begin.budget_tokens and program.holds(begin, self.group_id)

    def _is_unknown(self, begin: wire.BeginTurn) -> bool:
        """Whether the turn wants to continue one that its tenant does not have."""
        previous = begin.previous_turn
        return bool(previous) and (begin.tenant, previous) not in self.turns

    def runner_of(self, tenant: str, program_id: str) -> str:
        """Where the latest turn of a program ran; empty: unknown."""
        program = self.programs.get((tenant, program_id))
        return program.runner_id if program is not None else ""

    def is_under_way(self, begin: wire.BeginTurn) -> bool:
        """Whether the turn's program has begun: its next turns come before new programs."""
        has_begun = (begin.tenant, begin.program_id) in self.programs
        return has_begun or bool(begin.previous_turn)

    def is_reserved(self, begin: wire.BeginTurn) -> bool:
        """Whether this very turn was granted before."""
        program = self.programs.get((begin.tenant, begin.program_id))
        return program is not None and begin.turn_id in program.reserved

    def _add_chain(self, reply: wire.TurnReply, begin: wire.BeginTurn) -> None:
        """Add what the asker does not hold of the chain."""
        if begin.previous_turn and begin.held_turn == begin.previous_turn:
            reply.held_turn = begin.held_turn
        else:
            reply.chain.extend(self._chain(begin.tenant, begin.previous_turn))

    def _reserve(self, program: ProgramBudget, begin: wire.BeginTurn) -> bool:
        """Reserve the turn's worst case; ``False``: the group's share does not hold it."""
        if not program.holds(begin, self.group_id):
            return False
        program.reserved[begin.turn_id] = begin.most_tokens
        return True

    def _short(self, program: ProgramBudget, begin: wire.BeginTurn) -> wire.TurnReply:
        """The share does not hold the turn: say whether the whole budget can.

        ``OTHER_GROUP`` names the group to ask: this one if it must take the others' shares first,
        since it keeps the turn's chain, or since another has sent the asker here.
        """
        is_spent = program.used_tokens + begin.most_tokens > begin.budget_tokens
        if begin.num_groups <= 1 or is_spent:
            return self._reply(wire.TURN_ANSWER_BUDGET_SPENT, program)
        reply = self._reply(wire.TURN_ANSWER_OTHER_GROUP, program)
        receiver = program.main_receiver()
        stays = begin.is_sent_on or bool(begin.previous_turn) or receiver is None
        reply.owner_group = self.group_id if stays or receiver is None else receiver
        return reply

    def wants_shares(self, begin: wire.BeginTurn) -> bool:
        """Whether the other groups should be asked for their shares of a granted turn's budget.

        They are asked when the own share runs low, and now and then as long as the program lives,
        so that none of them forgets what it has released.
        """
        if begin.num_groups <= 1 or not begin.has_budget:
            return False
        program = self.programs.get((begin.tenant, begin.program_id))
        if program is None:
            return False
        if not program.asked_ms:
            return not program.holds(begin, self.group_id, GATHER_TURNS)
        return self.clock_ms - program.asked_ms > _kept_ms(begin.retention_ms)

    # --- shares of several groups --------------------------------------------------------

    def _release(self, ask: wire.ReleaseShare) -> wire.TurnReply:
        """Give up what the group holds of a budget and does not need, for good."""
        owned = (ask.tenant, ask.program_id)
        program = self._program(owned, ask.retention_ms, RELEASED_KEPT_FACTOR)
        reply = self._reply(wire.TURN_ANSWER_GRANTED, program)
        if ask.to_group != self.group_id:
            reply.released_tokens = program.release(ask, self.group_id)
        return reply

    def _take(self, told: wire.TakeShare) -> wire.TurnReply:
        """Count what another group has given up."""
        program = self._program((told.tenant, told.program_id), told.retention_ms)
        program.take(told)
        program.asked_ms = max(1, self.clock_ms)
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
        program = self._program((finish.tenant, finish.program_id), finish.retention_ms)
        if finish.turn_id in program.closed:
            return self._reply(wire.TURN_ANSWER_CLOSED, program)
        if finish.tenant and finish.was_sent and finish.turn_id not in program.reserved:
            self.usage.charge(finish.tenant, self.clock_ms, 1)
        program.close(finish.turn_id)
        program.runner_id = finish.runner_id or program.runner_id
        if finish.outcome != wire.TURN_OUTCOME_NOTHING_HANDED_ON:
            program.spent_tokens += finish.tokens
        if finish.outcome == wire.TURN_OUTCOME_WHOLE and finish.keep:
            self._keep(finish)
        return self._reply(wire.TURN_ANSWER_GRANTED, program)

    def _keep(self, finish: wire.FinishTurn) -> None:
        """Keep the turn, and its chain for as long."""
        expires_ms = self.clock_ms + finish.retention_ms
        self.turns[finish.tenant, finish.turn_id] = StoredTurn(
            finish.previous_turn, finish.input + finish.output, expires_ms
        )
        earlier = self.turns.get((finish.tenant, finish.previous_turn))
        while earlier is not None and earlier.expires_ms < expires_ms:
            earlier.expires_ms = expires_ms
            earlier = self.turns.get((finish.tenant, earlier.previous_turn))

    # --- retention -----------------------------------------------------------------------

    def _program(self, owned: Owned, retention_ms: int, factor: int = 1) -> ProgramBudget:
        program = self.programs.get(owned)
        if program is None:
            program = ProgramBudget()
            self.programs[owned] = program
        kept_ms = factor * _kept_ms(retention_ms)
        program.expires_ms = max(program.expires_ms, self.clock_ms + kept_ms)
        return program

    def _sweep(self) -> None:
        """Forget what has expired; a chain's turns never expire before its newest one.

        When it happens follows from the replicated clock alone: a replica that was restored from a
        snapshot forgets with the very command at which all others do.
        """
        now_ms = self.clock_ms
        self.turns = {name: turn for name, turn in self.turns.items() if turn.expires_ms >= now_ms}
        self.programs = {
            name: program for name, program in self.programs.items() if program.expires_ms >= now_ms
        }
        self.usage.sweep(now_ms)


def _kept_ms(retention_ms: int) -> int:
    """How long a program's budget outlives its latest turn."""
    return max(MIN_PROGRAM_KEPT_MS, PROGRAM_KEPT_FACTOR * retention_ms)
