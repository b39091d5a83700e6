"""Chooses the runner of one request. One readable step; pure but for the random source."""

import math
import random
from collections.abc import Collection
from dataclasses import dataclass

from bendshed.identifiers import rendezvous_rank
from bendshed.policy import EVERYTHING, Policy
from bendshed.services.runners import RunnerRecord

SESSION_MAX_EXTRA = 3
"""A session leaves its runner when this many more requests are there than at the idlest."""


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen runner and why, for the log.

    Attributes:
        reason: ``session``: holds the session's cache; ``step_aside``: that one is loaded;
            ``least_loaded``: no session; ``only_avoided``: all failed or were full lately.

    """

    record: RunnerRecord
    reason: str


def choose_runner(
    usable: Collection[RunnerRecord],
    tried: Collection[str],
    session: str,
    zone: str,
    now_s: float,
    rng: random.Random,
    policy: Policy = EVERYTHING,
) -> Choice | None:
    """Choose a runner that was not tried yet; ``None``: there is none.

    Args:
        usable: runners that may get new work.
        tried: runner ids that this request was sent to before.
        session: requests of one session go where its cache is; empty: anywhere.
        zone: this node's; decides between equals.
        now_s: loop time.
        rng: decides between the rest.
        policy: what of this is in use.

    """
    untried = [record for record in usable if record.listed.runner_id not in tried]
    if not untried:
        return None
    sound = [r for r in untried if not (policy.avoidance and r.is_avoided(now_s))]
    pool = sound or untried
    if session and policy.session_affinity:
        choice = _by_session(pool, session, SESSION_MAX_EXTRA if policy.step_aside else math.inf)
    else:
        choice = Choice(_least_loaded(pool, zone, rng), "least_loaded")
    return choice if sound else Choice(choice.record, "only_avoided")


def _by_session(pool: list[RunnerRecord], session: str, max_extra: float) -> Choice:
    by_id = {record.listed.runner_id: record for record in pool}
    ranked = rendezvous_rank(session, by_id)
    fewest = min(record.in_flight for record in pool)
    for place, runner_id in enumerate(ranked):
        record = by_id[runner_id]
        if record.in_flight <= fewest + max_extra:
            return Choice(record, "session" if place == 0 else "step_aside")
    return Choice(by_id[ranked[0]], "session")


def _least_loaded(pool: list[RunnerRecord], zone: str, rng: random.Random) -> RunnerRecord:
    def cost(record: RunnerRecord) -> tuple[float, int, float]:
        share = record.in_flight / max(1, record.listed.slots)
        return share, int(record.listed.zone != zone), rng.random()

    return min(pool, key=cost)
