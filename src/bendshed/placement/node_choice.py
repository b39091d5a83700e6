"""Chooses the runner of one request by one node's own counts. Pure but for the random source.

Turns run at the runner that the turn log's leader placed them at, by the load of all nodes
(`placement/cluster_load.py`). This is for requests that are not turns, for turns that have no
preferred runner, and for repeats.
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
from bendshed.policy import EVERYTHING, Policy

SESSION_MAX_EXTRA_REQUESTS = 3
"""Requests of this node by which a session's runner may exceed the least loaded one; beyond it the
session goes to the next in its rank, as a wait costs more than its prompt cache saves. Chosen, not
measured."""
AFFINITY_MAX_EXTRA_REQUESTS = 1
"""The same for the runner of an affinity key, where less can be saved. Chosen, not measured."""
NEW_CONNECTION_LOAD = 1.5
"""Cost of a new connection, in requests of this node at a runner: a request rather waits behind one
other at a connected runner than opens a connection, but not behind two."""

SLOWNESS_THRESHOLD = 3.0
"""Ratio to the pool's median work time from which on a runner counts as slow. Smaller ratios are
chance: single requests of a route were measured to differ by a factor of e."""


@dataclass(frozen=True, slots=True)
class NodeView:
    """The node that chooses, and its time.

    Attributes:
        node: its unique name; ranks runners of equal cost, so that nodes connect to different ones.
        zone: its own, preferred between equals.
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
    """It holds the session's prompt cache."""
    SESSION_FALLBACK = "step_aside"
    """The session's runner is loaded; this one is next in the session's rank."""
    AFFINITY_KEY = "thing"
    """It is the affinity key's among the connected ones."""
    CONNECTED = "connected"
    """It has the least cost, and an idle connection."""
    LEAST_LOADED = "least_loaded"
    """It has the least cost, and no idle connection."""
    ONLY_AVOIDED = "only_avoided"
    """All runners that are left failed or were full lately."""


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen runner and why, for the log.

    Attributes:
        reason: by this node; or by the leader of the turn log: ``advised``: it placed the turn
            there; ``permitted``: no warm runner was left, and it chose a cold one.
        leave: the leader's permit for this one dispatch, if the runner is cold.

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
    policy: Policy = EVERYTHING,
    affinity_key: str = "",
) -> Choice | None:
    """Choose a runner that was not tried yet; ``None``: there is none.

    Runners that failed or were full lately come last, then those of other regions. Among the rest
    the affinity key decides, else the session, else connections and load.

    Args:
        usable: eligible runners that need no permit.
        tried: ids of runners that this request was sent to before.
        session: requests of one session share a prompt cache; empty: no session.
        view: the node that chooses.
        rng: decides between equals where connections do not count.
        policy: mechanisms that are on.
        thing: affinity key: requests with the same one run faster at the same runner; empty: none.

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
    """The runners of the node's region, while any of them has a free slot by this node's own count.

    Elsewhere a request waits a round trip between regions (60 ms measured) for its first byte, and
    its bytes load the link.
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
    """The key's first in rank among runners with an idle connection; without any, by connection.

    A repeated key saves part of the work (half of 108 ms measured at one service), but most keys
    are new: a connection for each runner that may have seen one costs more than that.
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
    """The least loaded, where a new connection counts as ``NEW_CONNECTION_LOAD`` requests.

    Between equals of a zone each node has a fixed rank of its own, so that it opens few connections
    and all nodes together use all runners alike (deterministic subsetting).
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
