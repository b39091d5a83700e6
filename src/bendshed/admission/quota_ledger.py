"""The leader's quota decisions: admit or reject a tenant's request. Pure.

The following count against a tenant's limit:

- committed turns, reported calls, and allowances, which nodes use without a request for each call
  (``UsageWindows``; replicated, so that a new leader has them);
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
"""Extension of the counted window: a request reaches its runner up to 100 ms after it was admitted.
Requests that a broken connection delays further use the part of the margin that is not granted to
any rank (``quota_limits.py``)."""
ALLOWANCE_PER_TURN = 2
"""Calls that a node may admit locally after a turn of the same tenant, which saves each of them a
message and a commit, some 7 ms. In the measured workload a turn is followed by 1.1 calls on
average."""
ALLOWANCE_COUNTED_MS = 1_000
"""Time beyond the window for which the leader counts an allowance; its node uses it for 900 ms
(``quota_allowance.ALLOWANCE_VALID_S``)."""
MAX_GRANTED_TOTALS = 50_000
"""Maximum number of stored totals, one for each node and tenant; some 10 MB."""


class Rank(StrEnum):
    """Rank of a request: the lower ranks are rejected first when a tenant nears its limit."""

    NEW_PROGRAM = "new_program"
    TURN = "turn"
    CALL = "call"

    def max_count(self, limit: TenantLimit) -> float:
        """Return the maximum count of requests, including this one."""
        match self:
            case Rank.NEW_PROGRAM:
                return limit.new_programs
            case Rank.TURN:
                return limit.turns
            case Rank.CALL:
                return limit.calls


@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """A request that is to be admitted.

    Attributes:
        request_id: for a turn, the turn's id, which stays the same when the request is repeated.
        program_id: empty if it belongs to no program.
        rank: determines up to which count it is admitted.
        chain: chain of the turn; empty if unknown. Each sub-agent of a program has its own.

    """

    request_id: str
    tenant: str
    program_id: str
    rank: Rank
    chain: str = ""

    @property
    def chain_key(self) -> ChainKey:
        """Key by which a retry is recognized; it may have another request id."""
        return self.program_id, self.chain


@dataclass(slots=True)
class QuotaLedger:
    """Quota decisions of one leader term; times are of the log's clock.

    Invariant: however nodes use what they were granted, the counted requests of a tenant stay
    within ``limit.calls``.

    Attributes:
        prioritizes_running_programs: new programs are rejected before turns of running programs,
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
        """Drop the decisions of an earlier term, which may be outdated."""
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
        """Count a turn that was dispatched under an earlier leader's uncommitted reservation."""
        self._turns.expire(now_ms)
        self._turns.withdraw(request.request_id)
        self._turns.note(request.request_id, request.tenant, AdmissionDecision(True, 0, 0), now_ms)

    def settle_turn(self, request_id: str) -> None:
        """Release the place of a turn that was committed, and is counted there, or will not run."""
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
        """Decide on a request that is not a turn; an admitted one counts until it is committed.

        Args:
            request: the request to be admitted.
            node: incarnation of the requesting node.
            node_total: requests of the tenant that the node has admitted so far.
            limit: the tenant's limit.
            usage: committed usage.
            now_ms: time of the log's clock.

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
        """Release the place of an admitted call that was committed, and is counted there, or
        failed."""
        if self._num_uncommitted_calls[tenant] > 1:
            self._num_uncommitted_calls[tenant] -= 1
        else:
            del self._num_uncommitted_calls[tenant]

    def granted_total(self, node: str, tenant: str) -> int:
        """Return a node's total including the calls admitted here; 0 if none were."""
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
        """Return the total up to which a node may admit calls after a turn; 0 for no allowance."""
        num_allowed = self._num_allowed(tenant, usage, now_ms)
        num_counted = self._num_counted(tenant, usage, now_ms)
        room = min(limit.allowances - num_allowed, limit.allowance_threshold - num_counted)
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
        """Remove an uncommitted allowance: it was committed, and is counted there, or failed."""
        ceilings = self._uncommitted_ceilings.get(tenant, {})
        ceilings.pop(node, None)
        if not ceilings:
            self._uncommitted_ceilings.pop(tenant, None)

    # --- the decision ------------------------------------------------------------------------

    def _decide(
        self, request: QuotaRequest, limit: TenantLimit, usage: UsageWindows, now_ms: int
    ) -> AdmissionDecision:
        """Admit a request if the count that includes it stays within the limit of its rank.

        A new program leaves room for all chains whose retry is expected. Any other request may take
        a free place before them; if it is rejected, its retry is scheduled after theirs.
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
        """Return the number of requests that count against the limit."""
        counted = usage.in_window(tenant, now_ms, self._counted_window_ms)
        uncommitted = self._turns.num_reserved(tenant) + self._num_uncommitted_calls.get(tenant, 0)
        return counted + uncommitted + self._num_allowed(tenant, usage, now_ms)

    def _num_allowed(self, tenant: str, usage: UsageWindows, now_ms: int) -> int:
        """Return the number of requests that nodes may admit locally or have not reported yet."""
        allowed = usage.num_allowed(tenant, now_ms - self._counted_window_ms - ALLOWANCE_COUNTED_MS)
        for node, ceiling in self._uncommitted_ceilings.get(tenant, {}).items():
            counted = max(usage.reported_total(node, tenant), usage.ceiling(node, tenant))
            allowed += max(0, ceiling - counted)
        return allowed
