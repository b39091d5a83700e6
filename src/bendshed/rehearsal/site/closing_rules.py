"""What must hold once all machines of a site have lost power and are back."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import StrEnum

from bendshed.rehearsal.site.oracle import check_all
from bendshed.rehearsal.site.records import SiteRecords, SiteRequest

RECOVERY_S = 12.0
"""Requests sent later than this after all machines are back are served again."""
LEAST_SERVED = 0.25
"""Share of the requests that is served at least, before and after."""


class ClosingRule(StrEnum):
    """What must hold after a loss of power of all."""

    SERVICE = "a quarter of the requests is served 12 s after power is back"
    STORED = "a stored turn is continued within 12 s after power is back"


@dataclass(frozen=True, slots=True)
class Broken:
    """A rule that did not hold.

    Attributes:
        rule: its text.

    """

    rule: str
    detail: str


@dataclass(frozen=True, slots=True)
class PowerLoss:
    """The final loss of power.

    Attributes:
        back_s: when the last machine had power again.
        continued: program by stored turn that it continues.

    """

    lost_s: float
    back_s: float
    continued: dict[str, str]


def judge(seen: SiteRecords, loss: PowerLoss) -> list[Broken]:
    """All that did not hold, the general rules too."""
    general = [Broken(row.rule.value, row.detail) for row in check_all(seen)]
    return [*general, *check_service(seen, loss), *check_stored(seen, loss)]


def check_service(seen: SiteRecords, loss: PowerLoss) -> Iterable[Broken]:
    """A site that served before the loss of power serves after it."""
    before = [row for row in seen.requests if row.sent_s < loss.lost_s]
    after = [row for row in seen.requests if row.sent_s > loss.back_s + RECOVERY_S]
    if _share(before) >= LEAST_SERVED and _share(after) < LEAST_SERVED:
        served = sum(map(is_served, after))
        detail = f"{served} of {len(after)} requests sent after {loss.back_s + RECOVERY_S:.1f} s"
        yield Broken(ClosingRule.SERVICE.value, detail)


def check_stored(seen: SiteRecords, loss: PowerLoss) -> Iterable[Broken]:
    """Clients that asked again and again to continue a stored turn were served by then."""
    until_s = loss.back_s + RECOVERY_S
    for turn, program in loss.continued.items():
        tries = [row for row in seen.requests if row.program_id == program]
        tries = [row for row in tries if row.previous == turn and row.sent_s > loss.lost_s]
        if not any(is_served(row) and row.ended_s <= until_s for row in tries):
            statuses = [row.status for row in tries]
            yield Broken(ClosingRule.STORED.value, f"{turn} of {program}: {statuses}")


def is_served(request: SiteRequest) -> bool:
    """Whether an answer came whole."""
    return request.status == 200 and request.is_whole


def _share(requests: Collection[SiteRequest]) -> float:
    return sum(map(is_served, requests)) / len(requests) if requests else 1.0
