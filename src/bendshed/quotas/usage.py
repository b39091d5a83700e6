"""Requests of tenants that were let through, on the turn log's own clock. Replicated and pure."""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from bendshed.wire import turns_pb2 as wire

KEPT_MS = 12_000
"""Spans are remembered for the longest window (``limits.MAX_WINDOW_S``) and its guard."""
SPAN_MS = 50
"""Requests of one such span are counted together, as if all had come at its end: a window is
never judged too small, by at most this much too large."""


@dataclass(slots=True)
class _Span:
    """Requests whose time lies in ``[at_ms, at_ms + SPAN_MS)``."""

    at_ms: int
    count: int


@dataclass(slots=True)
class _Spent:
    """What a node said of a tenant, and when."""

    total: int
    at_ms: int


@dataclass(slots=True)
class UsageWindows:
    """Requests of each tenant by span.

    Invariant: a node's report counts once however often and in whatever order it arrives, since
    it tells a total that only rises.
    """

    _spans: dict[str, deque[_Span]] = field(default_factory=dict)
    _spent: dict[tuple[str, str], _Spent] = field(default_factory=dict)
    _terms: dict[int, int] = field(default_factory=dict)

    def note_term(self, term: int, at_ms: int) -> None:
        """A leader of this term proposed a command: it may have given allowances."""
        if term:
            self._terms[term] = at_ms

    def num_other_terms(self, term: int, since_ms: int) -> int:
        """Terms of other leaders that proposed commands since."""
        return sum(1 for other, at_ms in self._terms.items() if other != term and at_ms >= since_ms)

    def charge(self, tenant: str, at_ms: int, count: int) -> None:
        """Count requests of a tenant."""
        spans = self._spans.setdefault(tenant, deque())
        begins_ms = at_ms - at_ms % SPAN_MS
        if spans and spans[-1].at_ms == begins_ms:
            spans[-1].count += count
        else:
            spans.append(_Span(begins_ms, count))

    def take_report(self, node: str, spent: Iterable[wire.TenantSpent], at_ms: int) -> None:
        """Count what a node let through since its last report."""
        for row in spent:
            known = self._spent.setdefault((node, row.tenant), _Spent(row.reported, at_ms))
            if row.total > known.total:
                self.charge(row.tenant, at_ms, row.total - known.total)
                known.total = row.total
            known.at_ms = at_ms

    def total_of(self, node: str, tenant: str) -> int:
        """What a node is known to have let through."""
        known = self._spent.get((node, tenant))
        return known.total if known is not None else 0

    def in_window(self, tenant: str, now_ms: int, window_ms: int) -> int:
        """Requests counted in the window that ends now."""
        return sum(span.count for span in self._inside(tenant, now_ms, window_ms))

    def wait_ms(self, tenant: str, now_ms: int, window_ms: int, excess: float) -> int:
        """Time until so many of the counted requests have left the window."""
        left = 0
        for span in self._inside(tenant, now_ms, window_ms):
            left += span.count
            if left >= excess:
                return span.at_ms + SPAN_MS + window_ms - now_ms
        return window_ms + SPAN_MS

    def _inside(self, tenant: str, now_ms: int, window_ms: int) -> Iterator[_Span]:
        oldest_ms = now_ms - window_ms
        for span in self._spans.get(tenant, ()):
            if span.at_ms + SPAN_MS > oldest_ms:
                yield span

    def sweep(self, now_ms: int) -> None:
        """Forget what no window holds any more."""
        oldest_ms = now_ms - KEPT_MS
        for tenant in list(self._spans):
            spans = self._spans[tenant]
            while spans and spans[0].at_ms < oldest_ms:
                spans.popleft()
            if not spans:
                del self._spans[tenant]
        for term in [term for term, at_ms in self._terms.items() if at_ms < oldest_ms]:
            del self._terms[term]
        for key in [key for key, known in self._spent.items() if known.at_ms < oldest_ms]:
            del self._spent[key]

    # --- snapshot --------------------------------------------------------------------------

    def pieces(self) -> Iterator[wire.TurnLogSnapshot]:
        """Parts of a snapshot."""
        for tenant, spans in self._spans.items():
            rows = [wire.UsageSpan(at_ms=span.at_ms, count=span.count) for span in spans]
            yield wire.TurnLogSnapshot(usage=[wire.TenantUsage(tenant=tenant, spans=rows)])
        for (node, tenant), known in self._spent.items():
            row = wire.NodeSpent(node=node, tenant=tenant, total=known.total, at_ms=known.at_ms)
            yield wire.TurnLogSnapshot(spent=[row])
        terms = [wire.TermUse(term=term, at_ms=at_ms) for term, at_ms in self._terms.items()]
        yield wire.TurnLogSnapshot(terms=terms)

    @classmethod
    def of_snapshot(cls, snapshot: wire.TurnLogSnapshot) -> "UsageWindows":
        """Read them back."""
        spans = {
            row.tenant: deque(_Span(span.at_ms, span.count) for span in row.spans)
            for row in snapshot.usage
        }
        spent = {(row.node, row.tenant): _Spent(row.total, row.at_ms) for row in snapshot.spent}
        return cls(spans, spent, {row.term: row.at_ms for row in snapshot.terms})
