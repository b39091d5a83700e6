"""A node's side of quotas: calls that it may admit locally, and what it must report. Pure."""

from dataclasses import dataclass, field

from bendshed.model.permit import NO_PERMIT, TimedPermit

ALLOWANCE_VALID_S = 0.9
"""A node uses an allowance for this long after its receipt. The leader counts it 0.1 s longer
(``quota_ledger.ALLOWANCE_COUNTED_MS``), which covers the reply's time to the node."""


@dataclass(frozen=True, slots=True)
class UsageReport:
    """What a node reports of one tenant.

    Attributes:
        total: calls admitted since the node's start.
        lapsed_ceiling: an allowance up to this total lapsed unused; 0: none.
        reported: of ``total``, what is known to be committed.

    """

    tenant: str
    total: int
    lapsed_ceiling: int
    reported: int


@dataclass(slots=True)
class _Account:
    """Totals of one tenant.

    Attributes:
        ceiling: total up to which ``permit`` allows calls.
        unreported_since_s: when the oldest unreported call was admitted.

    """

    total: int = 0
    reported: int = 0
    ceiling: int = 0
    lapsed_ceiling: int = 0
    permit: TimedPermit = NO_PERMIT
    unreported_since_s: float = 0.0


@dataclass(slots=True)
class LocalAllowances:
    """Allowances of one node by tenant; times are the node's steady clock.

    Invariant: but for calls that the leader admitted one by one, no more calls are admitted than
    the newest allowance permits, and none after its expiry.

    """

    _accounts: dict[str, _Account] = field(default_factory=dict)
    _active: dict[str, None] = field(default_factory=dict)
    _unreported: dict[str, None] = field(default_factory=dict)

    def try_admit(self, tenant: str, now_s: float) -> bool:
        """Admit one call by the allowance; ``False``: the leader must be requested."""
        account = self._accounts.get(tenant)
        if account is None or account.total >= account.ceiling:
            return False
        if not account.permit.is_valid(now_s):
            return False
        self._count(tenant, account, now_s)
        return True

    def record_admitted(self, tenant: str, counted_total: int, now_s: float) -> None:
        """Count one call that the leader admitted.

        ``counted_total`` is what the leader has counted of this node; 0: the tenant is not limited.
        It may exceed what was admitted here, by an allowance that lapsed or is still valid. What it
        includes must not be admitted later, in a window that does not count it.
        """
        account = self._accounts.setdefault(tenant, _Account())
        self._count(tenant, account, now_s)
        account.total = max(account.total, counted_total)

    def _count(self, tenant: str, account: _Account, now_s: float) -> None:
        if account.total == account.reported:
            account.unreported_since_s = now_s
        account.total += 1
        self._unreported[tenant] = None

    def total(self, tenant: str) -> int:
        """Calls admitted so far."""
        account = self._accounts.get(tenant)
        return account.total if account is not None else 0

    def reported(self, tenant: str) -> int:
        """Of these, those known to be committed."""
        account = self._accounts.get(tenant)
        return account.reported if account is not None else 0

    def add_allowance(self, tenant: str, ceiling: int, now_s: float) -> None:
        """Calls up to this total may be admitted from now on."""
        account = self._accounts.setdefault(tenant, _Account())
        if ceiling > account.total:
            is_valid = account.permit.is_valid(now_s)
            account.ceiling = max(account.ceiling, ceiling) if is_valid else ceiling
            account.permit = TimedPermit(now_s + ALLOWANCE_VALID_S)
            self._active[tenant] = None

    def unreported(self, now_s: float) -> list[UsageReport]:
        """What is not known to be committed; lapsed allowances are given back with it."""
        self._expire_allowances(now_s)
        return [self._report_of(tenant) for tenant in self._unreported]

    def is_report_due(self, now_s: float, after_s: float) -> bool:
        """Whether an admitted call has been unreported for ``after_s``."""
        for tenant in self._unreported:
            account = self._accounts[tenant]
            is_unreported = account.total > account.reported
            if is_unreported and now_s - account.unreported_since_s >= after_s:
                return True
        return False

    def _expire_allowances(self, now_s: float) -> None:
        for tenant in list(self._active):
            account = self._accounts[tenant]
            if account.total >= account.ceiling:
                del self._active[tenant]
            elif not account.permit.is_valid(now_s):
                account.lapsed_ceiling = max(account.lapsed_ceiling, account.ceiling)
                account.ceiling = account.total
                self._unreported[tenant] = None
                del self._active[tenant]

    def _report_of(self, tenant: str) -> UsageReport:
        account = self._accounts[tenant]
        return UsageReport(tenant, account.total, account.lapsed_ceiling, account.reported)

    def note_reported(self, rows: list[UsageReport], now_s: float) -> None:
        """A report was committed."""
        for row in rows:
            account = self._accounts[row.tenant]
            if row.lapsed_ceiling >= account.lapsed_ceiling:
                account.lapsed_ceiling = 0
            self.note_committed(row.tenant, row.total, now_s)

    def note_committed(self, tenant: str, total: int, now_s: float) -> None:
        """Calls up to this total were committed."""
        account = self._accounts[tenant]
        account.reported = max(account.reported, total)
        account.unreported_since_s = now_s
        if account.reported == account.total and not account.lapsed_ceiling:
            self._unreported.pop(tenant, None)
