"""The replicated state of the turn log: chains of kept turns, budgets of programs, usage.

Pure: commands in, replies out. Time is the log's own clock, carried by the commands; it never
runs backwards and stands still while no replica leads, so nothing expires early.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from bendshed.quotas.usage import UsageWindows
from bendshed.turns.methods import Owned
from bendshed.wire import turns_pb2 as wire

PROGRAM_KEPT_FACTOR = 2
"""A program's budget outlives its last turn by this many retentions."""
MIN_PROGRAM_KEPT_MS = 120_000
MAX_CLOSED_TURNS = 64
"""Finished turn ids remembered of a program, against commands that arrive twice or late."""
SWEEP_INTERVAL_MS = 1_000
PREVIEW_TURNS = 4
"""A begin is previewed as granted when the budget holds this many turns like it."""


@dataclass(slots=True)
class KeptTurn:
    """One turn that may be continued.

    Attributes:
        previous_turn: the turn it continues; empty at the start of a chain.
        transcript: its input and output.
        expires_ms: time of the log's clock until which it is kept, with its whole chain.

    """

    previous_turn: str
    transcript: bytes
    expires_ms: int


@dataclass(slots=True)
class ProgramBudget:
    """Tokens of one program.

    Invariant: ``spent_tokens`` plus all reservations never exceeds the budget of the command
    that made the newest reservation.

    Attributes:
        spent_tokens: charged for ended turns.
        reserved: worst case of each turn under way, by turn id.
        closed: the latest finished turn ids, oldest first.
        runner_id: where its latest turn ran; empty: nowhere yet.

    """

    spent_tokens: int = 0
    reserved: dict[str, int] = field(default_factory=dict)
    closed: dict[str, None] = field(default_factory=dict)
    expires_ms: int = 0
    runner_id: str = ""

    @property
    def reserved_tokens(self) -> int:
        """Worst case of all turns under way."""
        return sum(self.reserved.values())


class TurnLogState:
    """Everything that one group of the turn log replicates.

    Invariants: a kept turn's whole chain is kept; a turn id is granted at most once and never
    after it was closed.
    """

    def __init__(self, group_id: int = 0) -> None:
        self.group_id = group_id
        self.clock_ms = 0
        self.turns: dict[Owned, KeptTurn] = {}
        self.programs: dict[Owned, ProgramBudget] = {}
        self.usage = UsageWindows()
        self._swept_ms = 0

    # --- what the replication asks for ---------------------------------------------------

    def apply(self, data: bytes) -> wire.TurnReply:
        """Apply one committed command."""
        command = wire.TurnCommand.FromString(data)
        self.clock_ms = max(self.clock_ms, command.elapsed_ms)
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
            kept = wire.KeptTurn(
                tenant=tenant,
                turn_id=turn_id,
                previous_turn=turn.previous_turn,
                transcript=turn.transcript,
                expires_ms=turn.expires_ms,
            )
            yield wire.TurnLogSnapshot(turns=[kept]).SerializeToString()
        for (tenant, program_id), program in self.programs.items():
            reserved = [
                wire.Reservation(turn_id=turn, tokens=tokens)
                for turn, tokens in program.reserved.items()
            ]
            budget = wire.ProgramBudget(
                tenant=tenant,
                program_id=program_id,
                spent_tokens=program.spent_tokens,
                reserved=reserved,
                expires_ms=program.expires_ms,
                closed_turns=list(program.closed),
                runner_id=program.runner_id,
            )
            yield wire.TurnLogSnapshot(programs=[budget]).SerializeToString()
        for piece in self.usage.pieces():
            yield piece.SerializeToString()

    def restore(self, state: bytes) -> None:
        """Replace the state."""
        snapshot = wire.TurnLogSnapshot.FromString(state)
        self.clock_ms = snapshot.clock_ms
        self.turns = {
            (row.tenant, row.turn_id): KeptTurn(row.previous_turn, row.transcript, row.expires_ms)
            for row in snapshot.turns
        }
        self.programs = {
            (row.tenant, row.program_id): ProgramBudget(
                row.spent_tokens,
                {entry.turn_id: entry.tokens for entry in row.reserved},
                dict.fromkeys(row.closed_turns),
                row.expires_ms,
                row.runner_id,
            )
            for row in snapshot.programs
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
                return self._reply(wire.TURN_ANSWER_BUDGET_SPENT, program)
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
        used = program.spent_tokens + program.reserved_tokens
        wanted = used + PREVIEW_TURNS * begin.most_tokens
        if begin.has_budget and wanted > begin.budget_tokens:
            return self._reply(wire.TURN_ANSWER_BUDGET_SPENT, program)
        reply = self._reply(wire.TURN_ANSWER_GRANTED, program)
        self._add_chain(reply, begin)
        return reply

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

    @staticmethod
    def _reserve(program: ProgramBudget, begin: wire.BeginTurn) -> bool:
        """Reserve the turn's worst case; ``False``: the budget does not hold it."""
        wanted = program.spent_tokens + program.reserved_tokens + begin.most_tokens
        if begin.has_budget and wanted > begin.budget_tokens:
            return False
        program.reserved[begin.turn_id] = begin.most_tokens
        return True

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
        program.reserved.pop(finish.turn_id, None)
        program.runner_id = finish.runner_id or program.runner_id
        program.closed[finish.turn_id] = None
        if len(program.closed) > MAX_CLOSED_TURNS:
            del program.closed[next(iter(program.closed))]
        if finish.outcome != wire.TURN_OUTCOME_NOTHING_HANDED_ON:
            program.spent_tokens += finish.tokens
        if finish.outcome == wire.TURN_OUTCOME_WHOLE and finish.keep:
            self._keep(finish)
        return self._reply(wire.TURN_ANSWER_GRANTED, program)

    def _keep(self, finish: wire.FinishTurn) -> None:
        """Keep the turn, and its chain for as long."""
        expires_ms = self.clock_ms + finish.retention_ms
        self.turns[finish.tenant, finish.turn_id] = KeptTurn(
            finish.previous_turn, finish.input + finish.output, expires_ms
        )
        earlier = self.turns.get((finish.tenant, finish.previous_turn))
        while earlier is not None and earlier.expires_ms < expires_ms:
            earlier.expires_ms = expires_ms
            earlier = self.turns.get((finish.tenant, earlier.previous_turn))

    # --- retention -----------------------------------------------------------------------

    def _program(self, owned: Owned, retention_ms: int) -> ProgramBudget:
        program = self.programs.get(owned)
        if program is None:
            program = ProgramBudget()
            self.programs[owned] = program
        kept_ms = max(MIN_PROGRAM_KEPT_MS, PROGRAM_KEPT_FACTOR * retention_ms)
        program.expires_ms = max(program.expires_ms, self.clock_ms + kept_ms)
        return program

    def _sweep(self) -> None:
        """Forget what has expired; a chain's turns never expire before its newest one."""
        if self.clock_ms - self._swept_ms < SWEEP_INTERVAL_MS:
            return
        self._swept_ms = self.clock_ms
        now_ms = self.clock_ms
        self.turns = {name: turn for name, turn in self.turns.items() if turn.expires_ms >= now_ms}
        self.programs = {
            name: program for name, program in self.programs.items() if program.expires_ms >= now_ms
        }
        self.usage.sweep(now_ms)
