"""A node's side of quotas: what it may let through without asking, and what it must tell. Pure."""

from dataclasses import dataclass, field

from bendshed.admission.sliding_window import NO_PERMIT, TimedPermit

USABLE_S = 0.9
"""An allowance is used for so long; whoever granted it counts it longer
(``admission/quota_ledger.py``)."""


@dataclass(frozen=True, slots=True)
class Spending:
    """What a node tells of one tenant.

    Attributes:
        total: requests let through since the node's start.
        lapsed_ceiling: an allowance up to here lapsed unspent; 0: none.
        reported: the total that was committed last.

    """

    tenant: str
    total: int
    lapsed_ceiling: int
    reported: int


@dataclass(slots=True)
class _Account:
    """Attributes are totals of one tenant; ``untold_since_s``: when the oldest untold one left."""

    total: int = 0
    reported: int = 0
    ceiling: int = 0
    lapsed_ceiling: int = 0
    leave: TimedPermit = NO_PERMIT
    untold_since_s: float = 0.0


@dataclass(slots=True)
class LocalAllowances:
    """Allowances of one node by tenant.

    Invariant: without a grant for the very request, no more is let through than the newest
    allowance tells, and none of it after its time.

    """

    _accounts: dict[str, _Account] = field(default_factory=dict)
    _allowed: dict[str, None] = field(default_factory=dict)
    _untold: dict[str, None] = field(default_factory=dict)

    def try_spend(self, tenant: str, now_s: float) -> bool:
        """Let one request through by the allowance; ``False``: it must be asked for."""
        account = self._accounts.get(tenant)
        if account is None or account.total >= account.ceiling:
            return False
        if not account.leave.is_valid(now_s):
            return False
        self._count(tenant, account, now_s)
        return True

    def spend_granted(self, tenant: str, counted_total: int, now_s: float) -> None:
        """A request was granted by name.

        ``counted_total``: what whoever granted it has counted of this node, at that moment; 0: the
        tenant is not limited. It may lie above what left here, by an allowance that lapsed or is
        still out. What was counted then must not leave later, in a window that does not count it.
        """
        account = self._accounts.setdefault(tenant, _Account())
        self._count(tenant, account, now_s)
        account.total = max(account.total, counted_total)

    def _count(self, tenant: str, account: _Account, now_s: float) -> None:
        if account.total == account.reported:
            account.untold_since_s = now_s
        account.total += 1
        self._untold[tenant] = None

    def total(self, tenant: str) -> int:
        """Requests let through so far."""
        account = self._accounts.get(tenant)
        return account.total if account is not None else 0

    def reported(self, tenant: str) -> int:
        """Of these, those known to be counted."""
        account = self._accounts.get(tenant)
        return account.reported if account is not None else 0

    def take_allowance(self, tenant: str, ceiling: int, now_s: float) -> None:
        """Requests up to this total may be let through from now on."""
        account = self._accounts.setdefault(tenant, _Account())
        if ceiling > account.total:
            is_open = account.leave.is_valid(now_s)
            account.ceiling = max(account.ceiling, ceiling) if is_open else ceiling
            account.leave = TimedPermit(now_s + USABLE_S)
            self._allowed[tenant] = None

    def news(self, now_s: float) -> list[Spending]:
        """What was not told yet, or not confirmed; allowances whose time is over are given back."""
        self._end_lapsed(now_s)
        return [self._spending(tenant) for tenant in self._untold]

    def must_tell(self, now_s: float, after_s: float) -> bool:
        """Whether a request that was let through has been untold for so long."""
        for tenant in self._untold:
            account = self._accounts[tenant]
            is_untold = account.total > account.reported
            if is_untold and now_s - account.untold_since_s >= after_s:
                return True
        return False

    def _end_lapsed(self, now_s: float) -> None:
        for tenant in list(self._allowed):
            account = self._accounts[tenant]
            if account.total >= account.ceiling:
                del self._allowed[tenant]
            elif not account.leave.is_valid(now_s):
                account.lapsed_ceiling = max(account.lapsed_ceiling, account.ceiling)
                account.ceiling = account.total
                self._untold[tenant] = None
                del self._allowed[tenant]

    def _spending(self, tenant: str) -> Spending:
        account = self._accounts[tenant]
        return Spending(tenant, account.total, account.lapsed_ceiling, account.reported)

    def note_told(self, told: list[Spending], now_s: float) -> None:
        """A report was committed."""
        for row in told:
            account = self._accounts[row.tenant]
            account.reported = max(account.reported, row.total)
            account.untold_since_s = now_s
            if row.lapsed_ceiling >= account.lapsed_ceiling:
                account.lapsed_ceiling = 0
            if account.reported == account.total and not account.lapsed_ceiling:
                self._untold.pop(row.tenant, None)
