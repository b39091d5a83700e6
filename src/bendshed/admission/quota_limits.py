"""What a tenant may use in a window, and how far the count may be off. Pure.

At most ``(rate x window + burst) x (1 + over) + slack`` requests of a tenant may run in any window.
What lies between that and the tenant's limit, the margin, is shared by rank. New programs may
use the least of it. Turns of programs under way may use more, since the work of a program that does
not finish is lost. Calls may use most, since one that fails ends its program, while a turn is sent
again. The rest of the margin is for requests that reach their runner late.

Source: docs/design/0007.
"""

from dataclasses import dataclass

from bendshed.model.service_document import Tenant

MAX_WINDOW_S = 10.0
"""Longest window that can be judged; usage is stored for it (``quota_usage.KEPT_MS``)."""
NEW_PROGRAM_MARGIN_SHARE = 0.4
TURN_MARGIN_SHARE = 0.7
CALL_MARGIN_SHARE = 0.85
"""Parts of the margin for new programs, turns and calls. Measured on a day with a lowered limit and
a burst of 1.8 at 0.3, 0.6 and 0.8: a share of 0.027 and 0.035 was rejected in two runs, 0.048 first
come, first served, 0.038 with half of the margin for turns and calls alike. Two runs of one code
differ by 0.02. The step to 0.4, 0.7 and 0.85 has no run of its own."""
ALLOWANCE_SHARE = 0.2
"""Part of a tenant's limit that all allowances together may hold: one whose node is lost counts
as used for a window."""
ALLOWANCE_THRESHOLD_SHARE = 0.8
"""Nodes get allowances while less than this part of a tenant's limit is used."""


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """How exactly the installation keeps every tenant's limit.

    Attributes:
        window_s: any span of this length counts; at most ``MAX_WINDOW_S``.
        over: share by which the limit may be exceeded.
        slack: requests by which it may be exceeded in addition.

    """

    window_s: float = 5.0
    over: float = 0.0
    slack: float = 0.0


NO_TOLERANCE = QuotaTolerance()
"""Not one request more than a tenant's limit."""


@dataclass(frozen=True, slots=True)
class TenantLimit:
    """Requests of one tenant in one window.

    Attributes:
        nominal: the tenant's limit.
        new_programs: count up to which new programs are admitted.
        turns: count up to which turns of programs under way are admitted.
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
    """The limits that follow from a tenant's rate and burst."""
    nominal = tenant.rate_per_s * tolerance.window_s + tenant.burst
    margin = nominal * tolerance.over + tolerance.slack
    return TenantLimit(
        nominal,
        nominal + NEW_PROGRAM_MARGIN_SHARE * margin,
        nominal + TURN_MARGIN_SHARE * margin,
        nominal + CALL_MARGIN_SHARE * margin,
        int(ALLOWANCE_SHARE * nominal),
        ALLOWANCE_THRESHOLD_SHARE * nominal,
    )
