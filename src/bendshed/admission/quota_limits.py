"""What a tenant may use in a window, and how far the count may be off. Pure.

The promise is that no more than ``(rate x window + burst) x (1 + over) + slack`` requests of a
tenant run in any window. What lies between that and the tenant's own limit is shared out: new
programs may use four tenths of it; turns of programs under way seven, since a program that is not
finished was for nothing; calls 0.85, since one that fails ends its program, while a turn is sent
again. The rest is for requests that arrive at their runner late.
"""

from dataclasses import dataclass

from bendshed.model.service_document import Tenant

MAX_WINDOW_S = 10.0
"""Longest window that can be judged: so much usage is remembered (``admission/quota_usage.py``)."""
NEW_SHARE = 0.4
TURN_SHARE = 0.7
CALL_SHARE = 0.85
ALLOWANCE_SHARE = 0.2
"""Of a tenant's own limit: an allowance that its node does not tell of any more is out of use for a
window, so they are bounded."""
UNHURRIED_SHARE = 0.8
"""Nodes get allowances while less than this of a tenant's own limit is used."""


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """What the installation promises of every tenant's limit.

    Attributes:
        window_s: any span of this length counts; at most ``MAX_WINDOW_S``.
        over: share by which the limit may be exceeded.
        slack: requests by which it may be exceeded besides.

    """

    window_s: float = 5.0
    over: float = 0.0
    slack: float = 0.0


EXACT = QuotaTerms()
"""Not one request more than a tenant's own limit; nodes then ask for each call."""


@dataclass(frozen=True, slots=True)
class TenantLimit:
    """Requests of one tenant in one window.

    Attributes:
        own: what the tenant was promised.
        new_programs: while fewer are counted, programs may begin.
        turns: while fewer are counted, programs that have begun may take another turn.
        calls: while fewer are counted, calls between their turns may go.
        allowances: most that all nodes together may hold without having asked for each; while
            fewer than ``unhurried`` are counted.

    """

    own: float
    new_programs: float
    turns: float
    calls: float
    allowances: int
    unhurried: float


def limit_of(tenant: Tenant, terms: QuotaTerms) -> TenantLimit:
    """The limits that follow from a tenant's rate and burst."""
    own = tenant.rate_per_s * terms.window_s + tenant.burst
    extra = own * terms.over + terms.slack
    return TenantLimit(
        own,
        own + NEW_SHARE * extra,
        own + TURN_SHARE * extra,
        own + CALL_SHARE * extra,
        int(ALLOWANCE_SHARE * own),
        UNHURRIED_SHARE * own,
    )
