"""Replicated state machine of the turn log: stored turns, budgets, tenant usage, stream origins.

Applies committed commands and returns replies; performs no I/O. Time is the log's clock, which
commands carry. It is monotonic and stops while the group has no leader, so that nothing expires
early.
"""

from collections.abc import Iterator

from bendshed.admission.program_budget import ProgramBudget
from bendshed.admission.quota_usage import UsageWindows
from bendshed.turns.methods import TenantScopedId
from bendshed.turns.stored_turn import StoredTurn
from bendshed.turns.stream_origins import StreamOrigins
from bendshed.wire import turns_pb2 as wire

PROGRAM_RETENTION_FACTOR = 2
"""A program's budget is stored for this many retention periods after its last turn."""
MIN_PROGRAM_RETENTION_MS = 120_000
"""Minimum time to store a program's budget, for routes with a short retention or none."""
RELEASED_RETENTION_FACTOR = 10
"""Factor on the storage time of a program whose share this group has released. The group that took
the share requests it again while the program runs; if this group had dropped its record of the
release, it would release the same tokens twice."""
EXPIRY_SWEEP_INTERVAL_MS = 1_000
"""Interval, by the log's clock, at which expired turns and programs are removed."""
PREVIEW_MIN_TURNS = 4
"""A preview grants a begin only if the budget covers this many turns of its size, so that begins of
the same program that run concurrently are unlikely to exhaust it."""
COLLECT_SHARES_BELOW_TURNS = 6
"""The other groups' shares are requested once this group's share covers fewer turns of the last
one's size. It exceeds ``PREVIEW_MIN_TURNS``, so that shares arrive before previews stop being
granted; a program of few turns never causes a request."""


class TurnLogState:
    """State that one group of the turn log replicates.

    Invariants: no command fails; if a turn is stored, so is its whole chain, unless a leader of an
    earlier build granted a turn that outlasted its chain; a turn id is granted at most once, and
    never after it was closed.
    """

    def __init__(self, group_id: int = 0) -> None:
        self.group_id = group_id
        self.clock_ms = 0
        self.turns: dict[TenantScopedId, StoredTurn] = {}
        self.programs: dict[TenantScopedId, ProgramBudget] = {}
        self.usage = UsageWindows()
        self.origins = StreamOrigins()

    # --- replication ---------------------------------------------------------------------

    def apply(self, data: bytes) -> wire.TurnReply:
        """Apply one committed command."""
        command = wire.TurnCommand.FromString(data)
        previous_ms = self.clock_ms
        self.clock_ms = max(previous_ms, command.elapsed_ms)
        if previous_ms // EXPIRY_SWEEP_INTERVAL_MS != self.clock_ms // EXPIRY_SWEEP_INTERVAL_MS:
            self._sweep()
        if command.HasField("spent"):
            self.usage.apply_report(command.spent.node, command.spent.spent, self.clock_ms)
        if command.HasField("allowance"):
            allowance = command.allowance
            self.usage.set_allowance(
                allowance.node, allowance.tenant, allowance.ceiling, self.clock_ms
            )
        match command.WhichOneof("command"):
            case "begin":
                return self._begin(command.begin)
            case "finish":
                return self._finish(command.finish)
            case "release":
                return self._release(command.release)
            case "take":
                return self._take(command.take)
            case "record_origin":
                return self._record_origin(command.record_origin)
            case "find_origin":
                return self._find_origin(command.find_origin)
        return wire.TurnReply()

    def snapshot(self) -> bytes:
        """Serialize the whole state."""
        return b"".join(self._snapshot_pieces())

    def _snapshot_pieces(self) -> Iterator[bytes]:
        """Yield parts that form one message when joined (protobuf concatenates repeated fields).

        Building a single message would hold a second copy of every transcript in memory.
        """
        yield wire.TurnLogSnapshot(clock_ms=self.clock_ms).SerializeToString()
        for (tenant, turn_id), turn in self.turns.items():
            row = turn.to_wire(tenant, turn_id)
            yield wire.TurnLogSnapshot(turns=[row]).SerializeToString()
        for (tenant, program_id), program in self.programs.items():
            budget = program.to_wire(tenant, program_id)
            yield wire.TurnLogSnapshot(programs=[budget]).SerializeToString()
        for piece in self.usage.snapshot_parts():
            yield piece.SerializeToString()
        for part in self.origins.snapshot_parts():
            yield part.SerializeToString()

    def restore(self, state: bytes) -> None:
        """Replace the state by that of a snapshot."""
        snapshot = wire.TurnLogSnapshot.FromString(state)
        self.clock_ms = snapshot.clock_ms
        self.turns = {
            (row.tenant, row.turn_id): StoredTurn.from_wire(row) for row in snapshot.turns
        }
        self.programs = {
            (row.tenant, row.program_id): ProgramBudget.from_wire(row) for row in snapshot.programs
        }
        self.usage = UsageWindows.from_snapshot(snapshot)
        self.origins = StreamOrigins.from_snapshot(snapshot)

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
        if begin.HasField("origin"):
            stream = (begin.tenant, begin.turn_id)
            self.origins.record_expected(stream, begin.origin, self.clock_ms)
            self.origins.add_to_reply(reply, stream, self.clock_ms)
        return reply

    def preview(self, begin: wire.BeginTurn) -> wire.TurnReply:
        """Return the expected reply to a begin, with its chain; read-only.

        It is ``GRANTED`` only if the budget covers ``PREVIEW_MIN_TURNS`` such turns. For any other
        result the requesting node waits for the reply of the commit.
        """
        if self._is_previous_turn_missing(begin):
            return wire.TurnReply(answer=wire.TURN_ANSWER_UNKNOWN_TURN)
        program = self.programs.get((begin.tenant, begin.program_id), ProgramBudget())
        if not program.has_headroom(begin, self.group_id, PREVIEW_MIN_TURNS):
            return self._reply(wire.TURN_ANSWER_BUDGET_SPENT, program)
        reply = self._reply(wire.TURN_ANSWER_GRANTED, program)
        self._add_uncached_chain(reply, begin)
        return reply

    def _is_previous_turn_missing(self, begin: wire.BeginTurn) -> bool:
        """Whether the turn continues a turn that is not stored for its tenant."""
        previous = begin.previous_turn
        return bool(previous) and (begin.tenant, previous) not in self.turns

    def previous_expiry_ms(self, begin: wire.BeginTurn) -> int | None:
        """Return when the turn that a begin continues expires; ``None``: none is stored."""
        turn = self.turns.get((begin.tenant, begin.previous_turn))
        return turn.expires_ms if turn is not None else None

    def latest_runner_id(self, tenant: str, program_id: str) -> str:
        """Return the runner of a program's latest turn; empty if unknown."""
        program = self.programs.get((tenant, program_id))
        return program.runner_id if program is not None else ""

    def is_program_started(self, begin: wire.BeginTurn) -> bool:
        """Whether the turn's program has started; its turns take precedence over new programs."""
        has_begun = (begin.tenant, begin.program_id) in self.programs
        return has_begun or bool(begin.previous_turn)

    def is_reserved(self, begin: wire.BeginTurn) -> bool:
        """Whether this turn was granted before and still holds its reservation."""
        program = self.programs.get((begin.tenant, begin.program_id))
        return program is not None and begin.turn_id in program.reserved

    def _add_uncached_chain(self, reply: wire.TurnReply, begin: wire.BeginTurn) -> None:
        """Add the chain's transcripts, unless the requesting node has them cached.

        A chain that is not whole counts as unknown.
        """
        if begin.previous_turn and begin.held_turn == begin.previous_turn:
            reply.held_turn = begin.held_turn
            return
        chain = self._chain(begin.tenant, begin.previous_turn)
        if chain is None:
            reply.answer = wire.TURN_ANSWER_UNKNOWN_TURN
        else:
            reply.chain.extend(chain)

    def _reserve(self, program: ProgramBudget, begin: wire.BeginTurn) -> bool:
        return program.reserve(begin, self.group_id)

    def _insufficient_share_reply(
        self, program: ProgramBudget, begin: wire.BeginTurn
    ) -> wire.TurnReply:
        """Build the reply to a begin that this group's share of the budget does not cover.

        ``OTHER_GROUP`` names the group that should grant the turn. It names this group, which must
        first take over the others' shares, if the turn continues a chain stored here, if another
        group redirected the node here, or if no other group has received this group's share.
        """
        if begin.num_groups <= 1 or program.exceeds_budget(begin):
            return self._reply(wire.TURN_ANSWER_BUDGET_SPENT, program)
        reply = self._reply(wire.TURN_ANSWER_OTHER_GROUP, program)
        receiver = program.largest_receiver()
        stays_here = begin.is_sent_on or bool(begin.previous_turn) or receiver is None
        reply.owner_group = self.group_id if stays_here or receiver is None else receiver
        return reply

    def needs_other_shares(self, begin: wire.BeginTurn) -> bool:
        """Whether to request the other groups' shares of a granted turn's budget.

        The first request is due when this group's share runs low, further ones once per storage
        time of a program, so that no group drops its record of what it has released.
        """
        if begin.num_groups <= 1 or not begin.has_budget:
            return False
        program = self.programs.get((begin.tenant, begin.program_id))
        if program is None:
            return False
        if not program.shares_taken_ms:
            return not program.can_reserve(begin, self.group_id, COLLECT_SHARES_BELOW_TURNS)
        return self.clock_ms - program.shares_taken_ms > _program_retention_ms(begin.retention_ms)

    # --- budget shares of groups ---------------------------------------------------------

    def _release(self, request: wire.ReleaseShare) -> wire.TurnReply:
        """Permanently release the part of the group's share that it neither spent nor reserved."""
        scoped_id = (request.tenant, request.program_id)
        program = self._get_or_create_program(
            scoped_id, request.retention_ms, RELEASED_RETENTION_FACTOR
        )
        reply = self._reply(wire.TURN_ANSWER_GRANTED, program)
        if request.to_group != self.group_id:
            reply.released_tokens = program.release(request, self.group_id)
        return reply

    def _take(self, share: wire.TakeShare) -> wire.TurnReply:
        """Add tokens that another group has released to this group's share."""
        program = self._get_or_create_program((share.tenant, share.program_id), share.retention_ms)
        program.take_over_share(share)
        program.shares_taken_ms = max(1, self.clock_ms)
        return self._reply(wire.TURN_ANSWER_GRANTED, program)

    def _chain(self, tenant: str, turn_id: str) -> list[wire.TurnPiece] | None:
        """Return the transcripts of a chain up to and including a turn, oldest first.

        ``None``: one of its turns is not stored. Leaders grant no begin that could lead to that,
        but those of an earlier build do, and every replica must apply what they committed.
        """
        pieces = []
        while turn_id:
            turn = self.turns.get((tenant, turn_id))
            if turn is None:
                return None
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

    # --- origins of streams --------------------------------------------------------------

    def _record_origin(self, record: wire.RecordOrigin) -> wire.TurnReply:
        stream = (record.tenant, record.request_id)
        self.origins.record_confirmed(stream, record.origin, self.clock_ms)
        return self._find_origin(
            wire.FindOrigin(tenant=record.tenant, request_id=record.request_id)
        )

    def _find_origin(self, request: wire.FindOrigin) -> wire.TurnReply:
        reply = wire.TurnReply()
        if request.request_id:
            self.origins.add_to_reply(reply, (request.tenant, request.request_id), self.clock_ms)
        else:
            self.origins.add_common_to_reply(reply, request, self.clock_ms)
        return reply

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
        """Store the turn and extend the expiry of its chain to at least the same time."""
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
        """Remove expired entries; a chain's turns never expire before its newest one.

        Runs at times that depend on the replicated clock alone, so that a replica restored from a
        snapshot removes the same entries at the same command as all others.
        """
        now_ms = self.clock_ms
        self.turns = {name: turn for name, turn in self.turns.items() if turn.expires_ms >= now_ms}
        self.programs = {
            name: program for name, program in self.programs.items() if program.expires_ms >= now_ms
        }
        self.usage.sweep(now_ms)
        self.origins.sweep(now_ms)


def _program_retention_ms(retention_ms: int) -> int:
    """Return how long a program's budget is stored after its latest turn, in ms."""
    return max(MIN_PROGRAM_RETENTION_MS, PROGRAM_RETENTION_FACTOR * retention_ms)
