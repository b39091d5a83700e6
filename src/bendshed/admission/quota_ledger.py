"""The leader's decisions on quotas: who may send another request. Pure.

What is counted against a tenant's limit:

- requests that were committed or reported, and allowances: what nodes may let through without
  having asked for each (``UsageWindows``, replicated, so that a new leader knows them);
- what was granted and is not committed yet, turns, calls and allowances: this leader's own.
"""

from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

from bendshed.admission.quota_limits import TenantLimit
from bendshed.admission.quota_usage import UsageWindows
from bendshed.admission.retry_schedule import RetrySchedule

GUARD_MS = 100
"""Requests arrive at their runner this much later than they were allowed, but for those that a
broken connection holds up (``limits.py`` leaves room for some): the window is judged longer."""
PROMISED_MS = 2_000
"""A promised turn that was not committed by then is forgotten: its node gave up after 1.5 s."""
SPARE_PER_GRANT = 2
"""Calls that a node may let through after a turn of the same tenant without asking. On the
measured work a turn is followed by 1.1 calls in the mean."""
ALLOWANCE_MS = 1_000
"""A node may use an allowance for so long."""
MIN_WAIT_MS = 100
MAX_GRANTED = 50_000
"""Pairs of node and tenant whose calls under way are remembered; some 10 MB."""


class Rank(StrEnum):
    """What comes first where a tenant has not room for all."""

    NEW_PROGRAM = "new_program"
    TURN = "turn"
    CALL = "call"

    def most(self, limit: TenantLimit) -> float:
        """Requests that may be counted with such a one."""
        match self:
            case Rank.NEW_PROGRAM:
                return limit.new_programs
            case Rank.TURN:
                return limit.turns
            case Rank.CALL:
                return limit.calls


@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """What wants to be let through.

    Attributes:
        request_id: the same request may be asked for more than once.
        program_id: empty: it belongs to none.
        rank: what it is, which decides how far it may go.
        line: of turns that follow each other; empty: not told. Sub-agents of a program have one
            each, and each comes back by itself.

    """

    request_id: str
    tenant: str
    program_id: str
    rank: Rank
    line: str = ""

    @property
    def returns_as(self) -> tuple[str, str]:
        """What comes back after a refusal, whatever the id of its next try."""
        return self.program_id, self.line


@dataclass(frozen=True, slots=True)
class Admission:
    """The decision.

    Attributes:
        used: requests counted against the limit, with those promised and allowed.
        num_allowed: of these, what nodes hold as allowances or have not reported yet.
        retry_after_ms: when there may be room, if it was refused.

    """

    is_granted: bool
    used: int
    num_allowed: int = 0
    retry_after_ms: int = 0


@dataclass(slots=True)
class _Decision:
    admission: Admission
    tenant: str
    at_ms: int
    is_open: bool


@dataclass(slots=True)
class QuotaLedger:
    """Decides in one term of the leader; times are of the log's clock.

    Invariant: whatever nodes do with what they were granted, the counted requests of a tenant stay
    within ``limit.calls``.

    Attributes:
        puts_programs_first: new programs are refused before turns of those under way, and these
            before calls; otherwise first come, first served.

    """

    window_ms: int
    puts_programs_first: bool = True
    _term: int = -1
    _decided: "OrderedDict[str, _Decision]" = field(default_factory=OrderedDict)
    _num_promised: dict[str, int] = field(default_factory=dict)
    _granted: dict[tuple[str, str], int] = field(default_factory=dict)
    _num_calls: Counter[str] = field(default_factory=Counter)
    _giving: dict[str, dict[str, int]] = field(default_factory=dict)
    _returns: dict[str, RetrySchedule] = field(default_factory=dict)

    def begin_term(self, term: int) -> None:
        """What an earlier term granted is not known to be true any more."""
        if term == self._term:
            return
        self._term = term
        self._decided.clear()
        self._num_promised.clear()
        self._granted.clear()
        self._num_calls.clear()
        self._giving.clear()
        self._returns.clear()

    # --- turns -----------------------------------------------------------------------------

    def admit_turn(
        self, request: QuotaRequest, limit: TenantLimit, usage: UsageWindows, now_ms: int
    ) -> Admission:
        """Promise a turn, or refuse it; asked again, the answer stays."""
        self._forget_promises(now_ms)
        known = self._decided.get(request.request_id)
        if known is not None:
            return known.admission
        admission = self._decide(request, limit, usage, now_ms)
        self._promise(request, admission, now_ms)
        return admission

    def _promise(self, request: QuotaRequest, admission: Admission, now_ms: int) -> None:
        """Remember a decision; one that grants counts until it is settled."""
        granted = admission.is_granted
        self._decided[request.request_id] = _Decision(admission, request.tenant, now_ms, granted)
        if granted:
            promised = self._num_promised.get(request.tenant, 0)
            self._num_promised[request.tenant] = promised + 1

    def count_left(self, request: QuotaRequest, now_ms: int) -> None:
        """A turn that left on an earlier leader's word counts as promised until it is committed."""
        self._forget_promises(now_ms)
        known = self._decided.pop(request.request_id, None)
        if known is not None:
            self._close(known)
        self._promise(request, Admission(True, 0, 0), now_ms)

    def settle_turn(self, request_id: str) -> None:
        """A promised turn was committed, so that it is counted there, or will not run."""
        decision = self._decided.get(request_id)
        if decision is not None:
            self._close(decision)

    def _close(self, decision: _Decision) -> None:
        if not decision.is_open:
            return
        decision.is_open = False
        self._num_promised[decision.tenant] -= 1
        if not self._num_promised[decision.tenant]:
            del self._num_promised[decision.tenant]

    def _forget_promises(self, now_ms: int) -> None:
        while self._decided:
            request_id, decision = next(iter(self._decided.items()))
            if now_ms - decision.at_ms <= PROMISED_MS:
                return
            self._close(decision)
            del self._decided[request_id]

    # --- calls -----------------------------------------------------------------------------

    def admit_call(
        self,
        request: QuotaRequest,
        node: str,
        node_total: int,
        limit: TenantLimit,
        usage: UsageWindows,
        now_ms: int,
    ) -> Admission:
        """Let one request through that is no turn; it counts until its node reports it.

        Args:
            request: what is asked for.
            node: one life of the node that asks.
            node_total: what it has let through of the tenant so far.
            limit: the tenant's.
            usage: what is counted.
            now_ms: of the log's clock.

        """
        admission = self._decide(request, limit, usage, now_ms)
        if admission.is_granted:
            key = (node, request.tenant)
            reached = max(node_total, usage.total_of(*key), usage.ceiling(*key))
            if len(self._granted) >= MAX_GRANTED:
                self._granted.clear()
            self._granted[key] = max(reached, self._granted.get(key, 0)) + 1
            self._num_calls[request.tenant] += 1
        return admission

    def settle_call(self, tenant: str) -> None:
        """A granted call was committed, so that it is counted there, or was not."""
        if self._num_calls[tenant] > 1:
            self._num_calls[tenant] -= 1
        else:
            del self._num_calls[tenant]

    def granted_total(self, node: str, tenant: str) -> int:
        """Total that a node has reached with the calls that it asked for; 0: none."""
        return self._granted.get((node, tenant), 0)

    def spare(
        self,
        node: str,
        node_total: int,
        tenant: str,
        limit: TenantLimit,
        usage: UsageWindows,
        now_ms: int,
    ) -> int:
        """Total up to which a node may let calls through that follow a turn; 0: ask for each."""
        held = self._num_allowed(tenant, usage, now_ms)
        level = self._level(tenant, usage, now_ms)
        room = min(limit.allowances - held, limit.unhurried - level)
        total = max(node_total, usage.total_of(node, tenant), self.granted_total(node, tenant))
        ceiling = max(total, usage.ceiling(node, tenant))
        wanted = min(SPARE_PER_GRANT - (ceiling - total), int(room))
        if wanted <= 0:
            return 0
        self._giving.setdefault(tenant, {})[node] = ceiling + wanted
        return ceiling + wanted

    def settle_spare(self, node: str, tenant: str) -> None:
        """An allowance was committed, so that it is counted there, or was not given."""
        giving = self._giving.get(tenant, {})
        giving.pop(node, None)
        if not giving:
            self._giving.pop(tenant, None)

    # --- what is counted ---------------------------------------------------------------------

    def _decide(
        self, request: QuotaRequest, limit: TenantLimit, usage: UsageWindows, now_ms: int
    ) -> Admission:
        tenant = request.tenant
        rank = request.rank if self.puts_programs_first else Rank.CALL
        used = self._level(tenant, usage, now_ms)
        returning = self._returns.setdefault(tenant, RetrySchedule())
        num_returning = returning.num_others(request.returns_as, now_ms)
        wanted = used + 1 + (num_returning if rank is Rank.NEW_PROGRAM else 0)
        excess = wanted - rank.most(limit)
        wait_ms = 0
        if excess > 0:
            behind = 0 if rank is Rank.NEW_PROGRAM else num_returning
            wait_ms = usage.wait_ms(tenant, now_ms, self._judged_ms, excess + behind)
        num_allowed = self._num_allowed(tenant, usage, now_ms)
        if not wait_ms:
            returning.forget(request.returns_as)
            return Admission(True, used, num_allowed)
        wait_ms = max(MIN_WAIT_MS, wait_ms)
        if request.rank is not Rank.NEW_PROGRAM:
            returning.note(request.returns_as, now_ms + wait_ms)
        return Admission(False, used, num_allowed, wait_ms)

    @property
    def _judged_ms(self) -> int:
        return self.window_ms + GUARD_MS

    def _level(self, tenant: str, usage: UsageWindows, now_ms: int) -> int:
        counted = usage.in_window(tenant, now_ms, self._judged_ms)
        promised = self._num_promised.get(tenant, 0) + self._num_calls.get(tenant, 0)
        return counted + promised + self._num_allowed(tenant, usage, now_ms)

    def _num_allowed(self, tenant: str, usage: UsageWindows, now_ms: int) -> int:
        """Requests that nodes may let through or have not reported yet."""
        allowed = usage.num_allowed(tenant, now_ms - self._judged_ms - ALLOWANCE_MS)
        for node, ceiling in self._giving.get(tenant, {}).items():
            counted = max(usage.total_of(node, tenant), usage.ceiling(node, tenant))
            allowed += max(0, ceiling - counted)
        return allowed
