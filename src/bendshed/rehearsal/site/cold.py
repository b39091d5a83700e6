"""Cold runners of a rehearsed site: when they were cold, what they were sent, and the bound."""

from collections.abc import Iterable
from dataclasses import dataclass

from bendshed.placement.cold_runners import ColdRateLimit

COLD_TERMS = ColdRateLimit(factor=1.5, slack=5.0)
COLD_PER_S = 4.0
COLD_START_S = 2.0
MOST_IN_A_SECOND = COLD_TERMS.max_per_s(COLD_PER_S)
SECOND_S = 1.0


@dataclass(frozen=True, slots=True)
class ColdSpell:
    """A time in which a runner is cold, and all nodes must know it."""

    runner_id: str
    from_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class RunnerSending:
    """A request that a runner read and did not answer with 421."""

    runner_id: str
    sent_s: float
    arrived_s: float


def overfull_seconds(
    spells: Iterable[ColdSpell], sendings: Iterable[RunnerSending]
) -> list[tuple[str, float, int]]:
    """First second of each spell that held too much: runner, its begin, sendings inside it."""
    by_runner: dict[str, list[RunnerSending]] = {}
    for sending in sendings:
        by_runner.setdefault(sending.runner_id, []).append(sending)
    found = []
    for spell in spells:
        inside = [
            row
            for row in by_runner.get(spell.runner_id, ())
            if row.sent_s >= spell.from_s and row.arrived_s <= spell.until_s
        ]
        for begin_s in sorted(row.sent_s for row in inside):
            count = sum(
                begin_s <= row.sent_s and row.arrived_s <= begin_s + SECOND_S for row in inside
            )
            if count > MOST_IN_A_SECOND:
                found.append((spell.runner_id, begin_s, count))
                break
    return found
