"""Chooses the runner of one request by one node's own counts. Pure except for the random source.

Turns run at the runner where the leader of the turn log placed them, by the load of all nodes
(`placement/cluster_load.py`). This module serves requests that are not turns, turns without a
preferred runner, and retries.
"""

import math
import random
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Literal

from bendshed.identifiers import rendezvous_rank
from bendshed.model.permit import NO_PERMIT, TimedPermit
from bendshed.model.places import Places
from bendshed.placement.runner_health import median_pace
from bendshed.placement.runner_record import RunnerRecord
from bendshed.policy import ALL_ENABLED, Policy

SESSION_MAX_EXTRA_REQUESTS = 3
"""Requests of this node by which a session's runner may exceed the least loaded one. Beyond that
the session goes to the next runner in its rank, since waiting costs more than the prompt cache
saves."""
AFFINITY_MAX_EXTRA_REQUESTS = 1
"""The same for the runner of an affinity key, where less can be saved."""
NEW_CONNECTION_LOAD = 1.5
"""Cost of a new connection, in requests of this node at a runner: a connected runner with one other
request is preferred to a new connection, one with two is not."""

SLOWNESS_THRESHOLD = 3.0
"""Ratio to the pool's median work time from which on a runner counts as slow. Smaller ratios occur
by chance: measured times of single requests of a route differ by a factor of e."""


@dataclass(frozen=True, slots=True)
class NodeView:
    """The choosing node's state at the time of the choice.

    Attributes:
        node: its unique name; ranks runners of equal cost, so that nodes connect to different ones.
        zone: its own zone, preferred among runners of equal cost.
        connected: ids of runners to which it has an idle connection.
        now_s: loop time.
        places: regions of all zones; runners of the node's own region come first.

    """

    node: str
    zone: str
    connected: Collection[str]
    now_s: float
    places: Places = field(default_factory=Places)

    def is_in_own_region(self, record: RunnerRecord) -> bool:
        """Whether a runner is located in this node's region."""
        return self.places.region(record.listed.zone) == self.places.region(self.zone)


class ChoiceReason(StrEnum):
    """Why a node chose a runner; the values of the log field ``chosen_by``."""

    SESSION = "session"
    """The runner holds the session's prompt cache."""
    SESSION_FALLBACK = "step_aside"
    """The session's runner is loaded; this runner is the next one in the session's rank."""
    AFFINITY_KEY = "thing"
    """The runner is first in the affinity key's rank among the connected ones."""
    CONNECTED = "connected"
    """The runner has the least cost, and an idle connection."""
    LEAST_LOADED = "least_loaded"
    """The runner has the least cost, and no idle connection."""
    ONLY_AVOIDED = "only_avoided"
    """All remaining runners failed or were full recently."""


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen runner and why, for the log.

    Attributes:
        reason: reason of this node, or of the turn log's leader: ``advised``: it placed the turn
            there; ``permitted``: no warm runner was left, and it chose a cold one.
        permit: the leader's permit for this one dispatch, if the runner is cold.

    """

    record: RunnerRecord
    reason: ChoiceReason | Literal["advised", "permitted"]
    permit: TimedPermit = NO_PERMIT


def choose_runner(
    eligible: Collection[RunnerRecord],
    tried: Collection[str],
    session: str,
    view: NodeView,
    rng: random.Random,
    policy: Policy = ALL_ENABLED,
    affinity_key: str = "",
) -> Choice | None:
    """Choose a runner that was not tried yet; ``None``: there is none.

    Runners that failed or were full recently are used only if no other is left, and other regions
    only if the node's own has no free slot. Among the rest the affinity key decides, else the
    session, else connections and load.

    Args:
        eligible: eligible runners that need no permit.
        tried: ids of runners that this request was sent to before.
        session: requests of one session share a prompt cache; empty: no session.
        view: the node that chooses.
        rng: decides between equal runners where connections do not count.
        policy: mechanisms that are enabled.
        affinity_key: requests with the same key run faster at the same runner; empty: none.

    """
    untried = [record for record in eligible if record.listed.runner_id not in tried]
    if not untried:
        return None
    healthy = [r for r in untried if not (policy.avoidance and r.is_avoided(view.now_s))]
    pool = _prefer_own_region(healthy or untried, view)
    if affinity_key and policy.thing_affinity:
        choice = _by_affinity_key(pool, affinity_key, view)
    elif session and policy.session_affinity:
        choice = _by_session(
            pool, session, SESSION_MAX_EXTRA_REQUESTS if policy.step_aside else math.inf
        )
    elif policy.kept_connections:
        choice = _by_connection(pool, view)
    else:
        choice = Choice(_least_loaded(pool, view.zone, rng), ChoiceReason.LEAST_LOADED)
    return choice if healthy else Choice(choice.record, ChoiceReason.ONLY_AVOIDED)


def _prefer_own_region(pool: list[RunnerRecord], view: NodeView) -> list[RunnerRecord]:
    """Runners of the node's region while any has a free slot by this node's count; else all.

    In another region a request waits a round trip between regions (60 ms measured) for its first
    byte, and its bytes load the link.
    """
    in_own_region = [record for record in pool if view.is_in_own_region(record)]
    has_room = any(record.in_flight < max(1, record.listed.slots) for record in in_own_region)
    return in_own_region if has_room else pool


def _by_session(pool: list[RunnerRecord], session: str, max_extra: float) -> Choice:
    by_id = {record.listed.runner_id: record for record in pool}
    ranked = rendezvous_rank(session, by_id)
    min_in_flight = min(record.in_flight for record in pool)
    for rank, runner_id in enumerate(ranked):
        record = by_id[runner_id]
        if record.in_flight <= min_in_flight + max_extra:
            return Choice(record, ChoiceReason.SESSION_FALLBACK if rank else ChoiceReason.SESSION)
    return Choice(by_id[ranked[0]], ChoiceReason.SESSION)


def _by_affinity_key(pool: list[RunnerRecord], key: str, view: NodeView) -> Choice:
    """Choose the key's first in rank among runners with an idle connection; else by connection.

    A repeated key saves part of the work (half of 108 ms measured at one service), but most keys
    are new: a connection to each runner that may have served one costs more than that.
    """
    pool_pace = median_pace(record.health for record in pool)
    min_in_flight = min(record.in_flight for record in pool)
    by_id = {
        record.listed.runner_id: record
        for record in pool
        if record.listed.runner_id in view.connected
        and record.in_flight <= min_in_flight + AFFINITY_MAX_EXTRA_REQUESTS
        and record.health.slowness_now(pool_pace, view.now_s, SLOWNESS_THRESHOLD) <= 1.0
    }
    if not by_id:
        return _by_connection(pool, view)
    return Choice(by_id[rendezvous_rank(key, by_id)[0]], ChoiceReason.AFFINITY_KEY)


def _by_connection(pool: list[RunnerRecord], view: NodeView) -> Choice:
    """Choose the least loaded; a new connection counts as ``NEW_CONNECTION_LOAD`` requests.

    Among equal runners of a zone each node has a fixed rank of its own, so that it opens few
    connections and all nodes together use all runners evenly (deterministic subsetting).
    """
    pool_pace = median_pace(record.health for record in pool)

    def cost(record: RunnerRecord) -> float:
        is_connected = record.listed.runner_id in view.connected
        load = 1 + record.in_flight + (0.0 if is_connected else NEW_CONNECTION_LOAD)
        return load * record.health.slowness_now(pool_pace, view.now_s, SLOWNESS_THRESHOLD)

    costs = {record.listed.runner_id: cost(record) for record in pool}
    min_cost = min(costs.values())
    cheapest = [record for record in pool if costs[record.listed.runner_id] <= min_cost]
    in_own_zone = [record for record in cheapest if record.listed.zone == view.zone] or cheapest
    by_id = {record.listed.runner_id: record for record in in_own_zone}
    chosen = rendezvous_rank(view.node, by_id)[0]
    is_connected = chosen in view.connected
    return Choice(
        by_id[chosen], ChoiceReason.CONNECTED if is_connected else ChoiceReason.LEAST_LOADED
    )


def _least_loaded(pool: list[RunnerRecord], zone: str, rng: random.Random) -> RunnerRecord:
    def cost(record: RunnerRecord) -> tuple[float, int, float]:
        share = record.in_flight / max(1, record.listed.slots)
        return share, int(record.listed.zone != zone), rng.random()

    return min(pool, key=cost)
