"""The leader's decisions on quotas: admit or reject a tenant's request. Pure.

What counts against a tenant's limit:

- committed turns, reported calls and allowances that nodes may use without a request each
  (``UsageWindows``; replicated, so that a new leader knows them);
- turns, calls and allowances that this leader has admitted and that are not committed yet.

Source: docs/design/0007.
"""

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from bendshed.admission.quota_limits import TenantLimit
from bendshed.admission.quota_usage import UsageWindows
from bendshed.admission.retry_schedule import ChainKey, RetrySchedule, quota_retry_after_ms
from bendshed.admission.turn_reservations import AdmissionDecision, TurnReservations

ARRIVAL_MARGIN_MS = 100
"""The window is judged this much longer than it is: a request reaches its runner up to 100 ms after
it was admitted. Requests that a broken connection holds up longer fall into the part of the limit
that nobody is given (``quota_limits.py``)."""
ALLOWANCE_PER_TURN = 2
"""Calls that a node may admit locally after a turn of the same tenant; saves them a message and a
commit, some 7 ms. A turn is followed by 1.1 calls in the mean of the measured work."""
ALLOWANCE_COUNTED_MS = 1_000
"""How long the leader counts an allowance beyond the window; its node uses it for 900 ms
(``quota_allowance.ALLOWANCE_VALID_S``)."""
MAX_GRANTED_TOTALS = 50_000
"""Pairs of node and tenant with admitted calls that are remembered; some 10 MB."""


class Rank(StrEnum):
    """Which requests wait first where a tenant has no room for all."""

    NEW_PROGRAM = "new_program"
    TURN = "turn"
    CALL = "call"

    def max_count(self, limit: TenantLimit) -> float:
        """Requests that may be counted, this one included."""
        match self:
            case Rank.NEW_PROGRAM:
                return limit.new_programs
            case Rank.TURN:
                return limit.turns
            case Rank.CALL:
                return limit.calls


@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """A request that wants to be admitted.

    Attributes:
        request_id: of a turn, the turn's id: it stays when the request is repeated.
        program_id: empty: it belongs to none.
        rank: decides up to which count it is admitted.
        chain: of the turn; empty: unknown. Sub-agents of a program have one each.

    """

    request_id: str
    tenant: str
    program_id: str
    rank: Rank
    chain: str = ""

    @property
    def chain_key(self) -> ChainKey:
        """What comes back after a rejection; the next try may have another request id."""
        return self.program_id, self.chain


@dataclass(slots=True)
class QuotaLedger:
    """Decides in one term of the leader; times are of the log's clock.

    Invariant: whatever nodes do with what they were granted, the counted requests of a tenant stay
    within ``limit.calls``.

    Attributes:
        prioritizes_running_programs: new programs are rejected before turns of programs under way,
            and these before calls; otherwise first come, first served.

    """

    window_ms: int
    prioritizes_running_programs: bool = True
    _term: int = -1
    _turns: TurnReservations = field(default_factory=TurnReservations)
    _granted_totals: dict[tuple[str, str], int] = field(default_factory=dict)
    _num_uncommitted_calls: Counter[str] = field(default_factory=Counter)
    _uncommitted_ceilings: dict[str, dict[str, int]] = field(default_factory=dict)
    _retry_schedules: dict[str, RetrySchedule] = field(default_factory=dict)

    def begin_term(self, term: int) -> None:
        """Forget what an earlier term decided: it may have been overtaken since."""
        if term == self._term:
            return
        self._term = term
        self._turns.clear()
        self._granted_totals.clear()
        self._num_uncommitted_calls.clear()
        self._uncommitted_ceilings.clear()
        self._retry_schedules.clear()

    # --- turns -----------------------------------------------------------------------------

    def admit_turn(
        self, request: QuotaRequest, limit: TenantLimit, usage: UsageWindows, now_ms: int
    ) -> AdmissionDecision:
        """Reserve a place for a turn, or reject it; a repeated request gets the same decision."""
        self._turns.expire(now_ms)
        known = self._turns.decision(request.request_id)
        if known is not None:
            return known
        admission = self._decide(request, limit, usage, now_ms)
        self._turns.note(request.request_id, request.tenant, admission, now_ms)
        return admission

    def count_dispatched(self, request: QuotaRequest, now_ms: int) -> None:
        """Count a turn that was dispatched on an earlier leader's uncommitted reservation."""
        self._turns.expire(now_ms)
        self._turns.withdraw(request.request_id)
        self._turns.note(request.request_id, request.tenant, AdmissionDecision(True, 0, 0), now_ms)

    def settle_turn(self, request_id: str) -> None:
        """An admitted turn was committed, so that it is counted there, or will not run."""
        self._turns.settle(request_id)

    # --- calls -----------------------------------------------------------------------------

    def admit_call(
        self,
        request: QuotaRequest,
        node: str,
        node_total: int,
        limit: TenantLimit,
        usage: UsageWindows,
        now_ms: int,
    ) -> AdmissionDecision:
        """Decide on a request that is no turn; an admitted one counts until it is committed.

        Args:
            request: what wants to be admitted.
            node: one incarnation of the requesting node.
            node_total: requests of the tenant that it has admitted so far.
            limit: the tenant's.
            usage: what is counted.
            now_ms: of the log's clock.

        """
        admission = self._decide(request, limit, usage, now_ms)
        if admission.is_granted:
            key = (node, request.tenant)
            reached = max(node_total, usage.reported_total(*key), usage.ceiling(*key))
            if len(self._granted_totals) >= MAX_GRANTED_TOTALS:
                self._granted_totals.clear()
            self._granted_totals[key] = max(reached, self._granted_totals.get(key, 0)) + 1
            self._num_uncommitted_calls[request.tenant] += 1
        return admission

    def settle_call(self, tenant: str) -> None:
        """An admitted call was committed, so that it is counted there, or was not."""
        if self._num_uncommitted_calls[tenant] > 1:
            self._num_uncommitted_calls[tenant] -= 1
        else:
            del self._num_uncommitted_calls[tenant]

    def granted_total(self, node: str, tenant: str) -> int:
        """Total that a node has reached with the calls that were admitted here; 0: none."""
        return self._granted_totals.get((node, tenant), 0)

    # --- allowances ------------------------------------------------------------------------

    def extend_allowance(
        self,
        node: str,
        node_total: int,
        tenant: str,
        limit: TenantLimit,
        usage: UsageWindows,
        now_ms: int,
    ) -> int:
        """Total up to which a node may admit calls that follow a turn; 0: no allowance."""
        held = self._num_allowed(tenant, usage, now_ms)
        num_counted = self._num_counted(tenant, usage, now_ms)
        room = min(limit.allowances - held, limit.allowance_threshold - num_counted)
        total = max(
            node_total, usage.reported_total(node, tenant), self.granted_total(node, tenant)
        )
        ceiling = max(total, usage.ceiling(node, tenant))
        wanted = min(ALLOWANCE_PER_TURN - (ceiling - total), int(room))
        if wanted <= 0:
            return 0
        self._uncommitted_ceilings.setdefault(tenant, {})[node] = ceiling + wanted
        return ceiling + wanted

    def settle_allowance(self, node: str, tenant: str) -> None:
        """An allowance was committed, so that it is counted there, or was not given."""
        ceilings = self._uncommitted_ceilings.get(tenant, {})
        ceilings.pop(node, None)
        if not ceilings:
            self._uncommitted_ceilings.pop(tenant, None)

    # --- the decision ------------------------------------------------------------------------

    def _decide(
        self, request: QuotaRequest, limit: TenantLimit, usage: UsageWindows, now_ms: int
    ) -> AdmissionDecision:
        """Admit while the count with this request stays within the limit of its rank.

        A new program leaves room for all chains that are expected back. Any other request may take
        a free place before them, and is told to come back behind them.
        """
        tenant = request.tenant
        rank = request.rank if self.prioritizes_running_programs else Rank.CALL
        num_counted = self._num_counted(tenant, usage, now_ms)
        schedule = self._retry_schedules.setdefault(tenant, RetrySchedule())
        num_expected = schedule.num_expected_others(request.chain_key, now_ms)
        is_new = rank is Rank.NEW_PROGRAM
        excess = num_counted + 1 + (num_expected if is_new else 0) - rank.max_count(limit)
        num_allowed = self._num_allowed(tenant, usage, now_ms)
        if excess <= 0:
            schedule.forget(request.chain_key)
            return AdmissionDecision(True, num_counted, num_allowed)
        retry_after_ms = quota_retry_after_ms(
            lambda count: usage.wait_ms(tenant, now_ms, self._counted_window_ms, count),
            excess,
            0 if is_new else num_expected,
        )
        if request.rank is not Rank.NEW_PROGRAM:
            schedule.note(request.chain_key, now_ms + retry_after_ms)
        return AdmissionDecision(False, num_counted, num_allowed, retry_after_ms)

    @property
    def _counted_window_ms(self) -> int:
        return self.window_ms + ARRIVAL_MARGIN_MS

    def _num_counted(self, tenant: str, usage: UsageWindows, now_ms: int) -> int:
        """Requests that count against the limit."""
        counted = usage.in_window(tenant, now_ms, self._counted_window_ms)
        uncommitted = self._turns.num_reserved(tenant) + self._num_uncommitted_calls.get(tenant, 0)
        return counted + uncommitted + self._num_allowed(tenant, usage, now_ms)

    def _num_allowed(self, tenant: str, usage: UsageWindows, now_ms: int) -> int:
        """Requests that nodes may admit locally, or have admitted and not reported."""
        allowed = usage.num_allowed(tenant, now_ms - self._counted_window_ms - ALLOWANCE_COUNTED_MS)
        for node, ceiling in self._uncommitted_ceilings.get(tenant, {}).items():
            counted = max(usage.reported_total(node, tenant), usage.ceiling(node, tenant))
            allowed += max(0, ceiling - counted)
        return allowed
