"""Tracks begins that were never answered and releases the reservations they made; no I/O.

A front delivers a turn's tokens only after an answer to one of the turn's begins. If the process
that proposed a begin did not answer it while the front waited, the begin started no work, whether
or not its log entry is committed later. A reservation is released when none of the begins behind it
was answered. If one was answered, or was proposed by a process that has restarted since, the
reservation stays until the turn's own end.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import islice

from bendshed.turns.state import TurnLogState
from bendshed.wire import turns_pb2 as wire

FIRST_WITHDRAWAL_DELAY_S = 1.0
"""Delay before the first withdrawal. A running front ends a refused turn itself within this time
after its begin was committed."""
WITHDRAWAL_RETRY_INTERVAL_S = 1.0
"""Pause before the withdrawal of the same begins is sent again."""
MAX_CONCURRENT_WITHDRAWALS = 64
"""Maximum number of withdrawals sent concurrently."""
MAX_TRACKED_TURNS = 10_000
"""Maximum number of turns remembered, about 400 bytes each. The oldest is dropped first; its
reservation then stays until the turn's own end."""
MAX_PROPOSALS_PER_TERM = 1 << 40
"""Upper bound on the begins that a leader proposes in one term."""

TurnKey = tuple[str, str, str]
"""Tenant, program id, turn id."""


def turn_key(message: wire.BeginTurn | wire.WithdrawBegin) -> TurnKey:
    """Return the key of the turn that a message concerns."""
    return (message.tenant, message.program_id, message.turn_id)


def granted_proposals(state: TurnLogState, turn: TurnKey) -> set[int]:
    """Return the numbers of the begins behind a turn's reservation; empty: no reservation."""
    tenant, program_id, turn_id = turn
    program = state.programs.get((tenant, program_id))
    return program.granted.get(turn_id, set()) if program is not None else set()


@dataclass(slots=True)
class _UnansweredTurn:
    """Unanswered begins of one turn.

    Attributes:
        log_indexes: log index by number of the begin.
        due_s: monotonic time of the next withdrawal; ``None``: no begin is known to be granted.

    """

    retention_ms: int
    log_indexes: dict[int, int] = field(default_factory=dict)
    due_s: float | None = None


class UnansweredBegins:
    """Begins that this process proposed in one group and did not answer in time."""

    def __init__(self) -> None:
        self._turns: OrderedDict[TurnKey, _UnansweredTurn] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of turns whose begins may still hold a reservation."""
        return len(self._turns)

    def record(self, begin: wire.BeginTurn, index: int) -> None:
        """Record a begin that will not be answered any more, with the index of its log entry."""
        unanswered = self._turns.setdefault(turn_key(begin), _UnansweredTurn(begin.retention_ms))
        unanswered.log_indexes[begin.proposal] = index
        if len(self._turns) > MAX_TRACKED_TURNS:
            self._turns.popitem(last=False)

    def due_withdrawals(
        self, state: TurnLogState, is_settled: Callable[[int], bool], now_s: float
    ) -> list[wire.WithdrawBegin]:
        """Return withdrawals to send now, up to ``MAX_CONCURRENT_WITHDRAWALS``.

        Drops begins whose settled log entries hold no reservation.

        Args:
            state: state of this process, with all settled entries applied.
            is_settled: whether the log entry at an index, or one that replaced it, is applied here.
            now_s: monotonic time.

        """
        return list(
            islice(self._iter_due_withdrawals(state, is_settled, now_s), MAX_CONCURRENT_WITHDRAWALS)
        )

    def _iter_due_withdrawals(
        self, state: TurnLogState, is_settled: Callable[[int], bool], now_s: float
    ) -> Iterator[wire.WithdrawBegin]:
        for turn, unanswered in list(self._turns.items()):
            granted = granted_proposals(state, turn)
            unanswered.log_indexes = {
                proposal: index
                for proposal, index in unanswered.log_indexes.items()
                if proposal in granted or not is_settled(index)
            }
            if not unanswered.log_indexes:
                del self._turns[turn]
                continue
            granted_unanswered = granted.intersection(unanswered.log_indexes)
            if not granted_unanswered:
                continue
            if unanswered.due_s is None:
                unanswered.due_s = now_s + FIRST_WITHDRAWAL_DELAY_S
            if now_s >= unanswered.due_s:
                unanswered.due_s = now_s + WITHDRAWAL_RETRY_INTERVAL_S
                yield _withdrawal(turn, granted_unanswered, unanswered.retention_ms)


def _withdrawal(turn: TurnKey, proposals: set[int], retention_ms: int) -> wire.WithdrawBegin:
    tenant, program_id, turn_id = turn
    return wire.WithdrawBegin(
        tenant=tenant,
        program_id=program_id,
        turn_id=turn_id,
        proposals=sorted(proposals),
        retention_ms=retention_ms,
    )


class ProposedBegins:
    """Numbers the begins that a group's leader proposes and tracks which may still be answered.

    Invariant: ``can_release`` is true for a turn only if none of its begins was or will be
    answered. The end that the leader then proposes follows all of them in the log.
    """

    def __init__(self) -> None:
        self._term = 0
        self._num_proposed = 0
        self._num_in_flight: Counter[TurnKey] = Counter()
        self._withdrawn: OrderedDict[TurnKey, set[int]] = OrderedDict()

    def assign_number(self, begin: wire.BeginTurn, term: int) -> None:
        """Assign a proposal number to a begin, unique among all leaders of the group."""
        self._num_proposed += 1
        begin.proposal = term * MAX_PROPOSALS_PER_TERM + self._num_proposed
        self._num_in_flight[turn_key(begin)] += 1

    def settle(self, begin: wire.BeginTurn) -> None:
        """Record that a numbered begin is being answered now, or never will be."""
        turn = turn_key(begin)
        self._num_in_flight[turn] -= 1
        if not self._num_in_flight[turn]:
            del self._num_in_flight[turn]

    def withdraw(self, request: wire.WithdrawBegin, term: int) -> None:
        """Record that the process which proposed these begins has answered none of them."""
        if term != self._term:
            self._term = term
            self._withdrawn.clear()
        turn = turn_key(request)
        self._withdrawn.setdefault(turn, set()).update(request.proposals)
        if len(self._withdrawn) > MAX_TRACKED_TURNS:
            self._withdrawn.popitem(last=False)

    def can_release(self, turn: TurnKey, state: TurnLogState) -> bool:
        """Whether all begins behind a turn's reservation are withdrawn and none is in flight."""
        granted = granted_proposals(state, turn)
        withdrawn = self._withdrawn.get(turn, set())
        return bool(granted) and granted <= withdrawn and not self._num_in_flight[turn]

    def forget(self, turn: TurnKey) -> None:
        """Drop the withdrawals of a turn whose reservation is released."""
        self._withdrawn.pop(turn, None)
