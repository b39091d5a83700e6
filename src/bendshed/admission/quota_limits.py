"""Limits of a tenant in one window, and how far they may be exceeded. Pure.

At most ``(rate x window + burst) x (1 + excess_share) + slack`` requests of a tenant may run in any
window. The margin between that and the tenant's limit is divided by rank. New programs may use the
smallest part. Turns of running programs may use more, because the work of a program that does not
finish is lost. Calls may use the largest part, because a call that fails ends its program, whereas
a turn is retried. The rest of the margin is for requests that reach their runner late.

Source: docs/design/0007.
"""

from dataclasses import dataclass

from bendshed.model.service_document import Tenant

MAX_WINDOW_S = 10.0
"""Longest supported window; usage is stored for it (``quota_usage.USAGE_MEMORY_MS``)."""
NEW_PROGRAM_MARGIN_SHARE = 0.4
TURN_MARGIN_SHARE = 0.7
CALL_MARGIN_SHARE = 0.85
"""Shares of the margin for new programs, turns and calls. On a day with a lowered limit and a burst
of 1.8 times the usual traffic, shares of 0.3, 0.6 and 0.8 rejected 0.027 and 0.035 of the requests
in two runs, a share of 0.5 for both turns and calls rejected 0.038, and first come, first served
rejected 0.048. Two runs of the same code differ by 0.02."""
ALLOWANCE_SHARE = 0.2
"""Share of a tenant's limit that all allowances together may hold; the allowance of a node that is
lost counts as used for a window."""
ALLOWANCE_THRESHOLD_SHARE = 0.8
"""Nodes get allowances while less than this share of a tenant's limit is used."""


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """How far the installation may exceed each tenant's limit.

    Attributes:
        window_s: length of the sliding window; at most ``MAX_WINDOW_S``.
        excess_share: share of the limit by which it may be exceeded.
        slack: number of requests by which it may be exceeded in addition.

    """

    window_s: float = 5.0
    excess_share: float = 0.0
    slack: float = 0.0


NO_TOLERANCE = QuotaTolerance()
"""No request beyond a tenant's limit."""


@dataclass(frozen=True, slots=True)
class TenantLimit:
    """Maximum counts of requests of one tenant in one window.

    Attributes:
        nominal: the tenant's limit.
        new_programs: count up to which new programs are admitted.
        turns: count up to which turns of running programs are admitted.
        calls: count up to which calls between turns are admitted.
        allowances: calls that all nodes together may hold as allowances.
        allowance_threshold: count below which nodes get allowances.

    """

    nominal: float
    new_programs: float
    turns: float
    calls: float
    allowances: int
    allowance_threshold: float


def tenant_limit(tenant: Tenant, tolerance: QuotaTolerance) -> TenantLimit:
    """Return the limits that follow from a tenant's rate and burst."""
    nominal = tenant.rate_per_s * tolerance.window_s + tenant.burst
    margin = nominal * tolerance.excess_share + tolerance.slack
    return TenantLimit(
        nominal,
        nominal + NEW_PROGRAM_MARGIN_SHARE * margin,
        nominal + TURN_MARGIN_SHARE * margin,
        nominal + CALL_MARGIN_SHARE * margin,
        int(ALLOWANCE_SHARE * nominal),
        ALLOWANCE_THRESHOLD_SHARE * nominal,
    )
