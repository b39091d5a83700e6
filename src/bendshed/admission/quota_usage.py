"""Admitted requests of tenants by time of the turn log's clock. Replicated and pure."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from bendshed.admission.sliding_window import Bucket, SlidingWindowCounter
from bendshed.wire import turns_pb2 as wire

USAGE_MEMORY_MS = 12_000
"""Time for which usage is stored: it must cover the longest window (``quota_limits.MAX_WINDOW_S``),
the arrival margin and the time of an allowance, 11.1 s together."""


@dataclass(slots=True)
class _Allowance:
    """Total up to which a node may admit calls, and when it was granted."""

    ceiling: int
    at_ms: int


@dataclass(slots=True)
class _ReportedTotal:
    """Total that a node last reported for a tenant, and when."""

    total: int
    at_ms: int


@dataclass(slots=True)
class UsageWindows:
    """Requests of each tenant by time, and allowances of nodes.

    Invariant: a node's report counts once, however often and in whatever order it arrives, because
    it carries a total that only rises.
    """

    _counts: dict[str, SlidingWindowCounter] = field(default_factory=dict)
    _reported: dict[tuple[str, str], _ReportedTotal] = field(default_factory=dict)
    _allowances: dict[str, dict[str, _Allowance]] = field(default_factory=dict)

    def set_allowance(self, node: str, tenant: str, ceiling: int, at_ms: int) -> None:
        """Allow a node to admit calls of a tenant up to a total."""
        allowance = self._allowances.setdefault(tenant, {}).get(node)
        if allowance is None or ceiling >= allowance.ceiling:
            self._allowances[tenant][node] = _Allowance(ceiling, at_ms)

    def ceiling(self, node: str, tenant: str) -> int:
        """Return the ceiling of a node's allowance; 0 if it has none."""
        allowance = self._allowances.get(tenant, {}).get(node)
        return allowance.ceiling if allowance is not None else 0

    def num_allowed(self, tenant: str, since_ms: int) -> int:
        """Return the unreported calls, admitted or not, that allowances since a time permit."""
        return sum(
            max(0, allowance.ceiling - self.reported_total(node, tenant))
            for node, allowance in self._allowances.get(tenant, {}).items()
            if allowance.at_ms >= since_ms
        )

    def charge(self, tenant: str, at_ms: int, count: int) -> None:
        """Count requests of a tenant."""
        self._counts.setdefault(tenant, SlidingWindowCounter()).add(at_ms, count)

    def apply_report(self, node: str, spent: Iterable[wire.TenantSpent], at_ms: int) -> None:
        """Count what a node has admitted since its last report."""
        for row in spent:
            known = self._reported.setdefault(
                (node, row.tenant), _ReportedTotal(row.reported, at_ms)
            )
            if row.total > known.total:
                self.charge(row.tenant, at_ms, row.total - known.total)
                known.total = row.total
            known.at_ms = at_ms
            self._remove_allowance(node, row.tenant, max(known.total, row.lapsed_ceiling))

    def _remove_allowance(self, node: str, tenant: str, reached: int) -> None:
        """Remove an allowance that is used up or has expired."""
        by_node = self._allowances.get(tenant, {})
        allowance = by_node.get(node)
        if allowance is not None and allowance.ceiling <= reached:
            del by_node[node]
            if not by_node:
                del self._allowances[tenant]

    def reported_total(self, node: str, tenant: str) -> int:
        """Return the total calls of a tenant that a node has reported."""
        known = self._reported.get((node, tenant))
        return known.total if known is not None else 0

    def in_window(self, tenant: str, now_ms: int, window_ms: int) -> int:
        """Return the requests counted in the window that ends now."""
        counter = self._counts.get(tenant)
        return counter.in_window(now_ms, window_ms) if counter is not None else 0

    def wait_ms(self, tenant: str, now_ms: int, window_ms: int, excess: float) -> int:
        """Return the time in ms until ``excess`` counted requests have left the window."""
        counter = self._counts.get(tenant, SlidingWindowCounter())
        return counter.wait_ms(now_ms, window_ms, excess)

    def sweep(self, now_ms: int) -> None:
        """Remove usage and allowances that are outside every window."""
        oldest_ms = now_ms - USAGE_MEMORY_MS
        for tenant in [t for t, counter in self._counts.items() if counter.drop_before(oldest_ms)]:
            del self._counts[tenant]
        for tenant in list(self._allowances):
            by_node = self._allowances[tenant]
            valid = {node: row for node, row in by_node.items() if row.at_ms >= oldest_ms}
            self._allowances[tenant] = valid
            if not valid:
                del self._allowances[tenant]
        for key in [key for key, known in self._reported.items() if known.at_ms < oldest_ms]:
            del self._reported[key]

    # --- snapshot --------------------------------------------------------------------------

    def snapshot_parts(self) -> Iterator[wire.TurnLogSnapshot]:
        """Yield the parts of a snapshot."""
        for tenant, counter in self._counts.items():
            spans = [
                wire.UsageSpan(at_ms=bucket.at_ms, count=bucket.count) for bucket in counter.buckets
            ]
            yield wire.TurnLogSnapshot(usage=[wire.TenantUsage(tenant=tenant, spans=spans)])
        for (node, tenant), known in self._reported.items():
            row = wire.NodeSpent(node=node, tenant=tenant, total=known.total, at_ms=known.at_ms)
            yield wire.TurnLogSnapshot(spent=[row])
        for tenant, nodes in self._allowances.items():
            rows = [
                wire.Allowance(node=node, tenant=tenant, ceiling=row.ceiling, at_ms=row.at_ms)
                for node, row in nodes.items()
            ]
            yield wire.TurnLogSnapshot(allowances=rows)

    @classmethod
    def from_snapshot(cls, snapshot: wire.TurnLogSnapshot) -> "UsageWindows":
        """Restore usage from a snapshot."""
        counts = {
            row.tenant: SlidingWindowCounter.from_buckets(
                Bucket(bucket.at_ms, bucket.count) for bucket in row.spans
            )
            for row in snapshot.usage
        }
        spent = {
            (row.node, row.tenant): _ReportedTotal(row.total, row.at_ms) for row in snapshot.spent
        }
        windows = cls(counts, spent)
        for row in snapshot.allowances:
            windows.set_allowance(row.node, row.tenant, row.ceiling, row.at_ms)
        return windows
