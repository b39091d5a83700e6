"""Quotas on a node: calls that it may admit locally, and the usage that it must report. Pure."""

from dataclasses import dataclass, field

from bendshed.model.permit import NO_PERMIT, TimedPermit

ALLOWANCE_VALID_S = 0.9
"""Time for which a node uses an allowance after receiving it. The leader counts it 0.1 s longer
(``quota_ledger.ALLOWANCE_COUNTED_MS``), which covers the transmission of the reply."""


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Usage of one tenant that a node reports.

    Attributes:
        total: calls admitted since the node started.
        lapsed_ceiling: ceiling of an allowance that expired unused; 0 if none did.
        reported: part of ``total`` that is known to be committed.

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
        unreported_since_s: time at which the oldest unreported call was admitted.

    """

    total: int = 0
    reported: int = 0
    ceiling: int = 0
    lapsed_ceiling: int = 0
    permit: TimedPermit = NO_PERMIT
    unreported_since_s: float = 0.0


@dataclass(slots=True)
class LocalAllowances:
    """Allowances of one node by tenant; times are of the node's steady clock.

    Invariant: apart from calls that the leader admitted individually, no more calls are admitted
    than the newest allowance permits, and none after its expiry.

    """

    _accounts: dict[str, _Account] = field(default_factory=dict)
    _active: dict[str, None] = field(default_factory=dict)
    _unreported: dict[str, None] = field(default_factory=dict)

    def try_admit(self, tenant: str, now_s: float) -> bool:
        """Admit one call under the allowance; ``False`` if the leader has to decide."""
        account = self._accounts.get(tenant)
        if account is None or account.total >= account.ceiling:
            return False
        if not account.permit.is_valid(now_s):
            return False
        self._count(tenant, account, now_s)
        return True

    def record_admitted(self, tenant: str, counted_total: int, now_s: float) -> None:
        """Count one call that the leader admitted.

        ``counted_total`` is the total that the leader has counted for this node; 0 if the tenant is
        not limited. It may exceed the calls admitted here by an allowance that has expired or is
        still valid. Calls that it includes must not be admitted later, in a window that does not
        count them.
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
        """Return the number of calls admitted so far."""
        account = self._accounts.get(tenant)
        return account.total if account is not None else 0

    def reported(self, tenant: str) -> int:
        """Return the number of admitted calls that are known to be committed."""
        account = self._accounts.get(tenant)
        return account.reported if account is not None else 0

    def add_allowance(self, tenant: str, ceiling: int, now_s: float) -> None:
        """Allow calls up to this total from now on."""
        account = self._accounts.setdefault(tenant, _Account())
        if ceiling > account.total:
            is_valid = account.permit.is_valid(now_s)
            account.ceiling = max(account.ceiling, ceiling) if is_valid else ceiling
            account.permit = TimedPermit(now_s + ALLOWANCE_VALID_S)
            self._active[tenant] = None

    def unreported(self, now_s: float) -> list[UsageReport]:
        """Return usage not known to be committed, and expired allowances, which are returned."""
        self._expire_allowances(now_s)
        return [self._report_of(tenant) for tenant in self._unreported]

    def is_report_due(self, now_s: float, after_s: float) -> bool:
        """Return whether an admitted call has been unreported for ``after_s``."""
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
        """Record that a report was committed."""
        for row in rows:
            account = self._accounts[row.tenant]
            if row.lapsed_ceiling >= account.lapsed_ceiling:
                account.lapsed_ceiling = 0
            self.note_committed(row.tenant, row.total, now_s)

    def note_committed(self, tenant: str, total: int, now_s: float) -> None:
        """Record that calls up to this total were committed."""
        account = self._accounts[tenant]
        account.reported = max(account.reported, total)
        account.unreported_since_s = now_s
        if account.reported == account.total and not account.lapsed_ceiling:
            self._unreported.pop(tenant, None)
