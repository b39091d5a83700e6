"""Chooses the runner of one request by what this node knows. Pure but for the random source.

Turns follow the advice of the turn log's leader, which knows the load of all nodes
(`placement/cluster_load.py`); this is for requests that are no turns, and for turns without advice.
"""

import math
import random
from collections.abc import Collection
from dataclasses import dataclass, field

from bendshed.admission.sliding_window import NO_PERMIT, TimedPermit
from bendshed.identifiers import rendezvous_rank
from bendshed.model.places import Places
from bendshed.placement.runner_health import median_pace
from bendshed.placement.runner_record import RunnerRecord
from bendshed.policy import EVERYTHING, Policy

SESSION_MAX_EXTRA = 3
"""A session leaves its runner when this many more requests are there than at the idlest."""
THING_MAX_EXTRA = 1
"""A thing's runner is passed over when so many more requests of this node are there."""
NEW_CONNECTION_LOAD = 1.5
"""A new connection is opened when the idle ones lead to runners with this many more requests of
this node: one may wait behind another for a moment, two may not."""

SLOW_FROM = 3.0
"""A runner counts as slow from this many times the pool's median work time on: single requests of
a route differ by a factor of e on today's services."""


@dataclass(frozen=True, slots=True)
class NodeView:
    """Who chooses.

    Attributes:
        node: a name that other nodes do not have; each node opens its connections to other runners.
        zone: this node's; decides between equals.
        connected: ids of runners to which a connection rests.
        now_s: loop time.
        places: regions of all zones; runners of the node's own region come first.

    """

    node: str
    zone: str
    connected: Collection[str]
    now_s: float
    places: Places = field(default_factory=Places)

    def is_near(self, record: RunnerRecord) -> bool:
        """Whether a runner stands in this node's region."""
        return self.places.region(record.listed.zone) == self.places.region(self.zone)


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen runner and why, for the log.

    Attributes:
        reason: ``advised``: by the leader of the turn log; ``session``: holds the session's cache;
            ``thing``: may have seen what the request names, and a connection rests there;
            ``step_aside``: that one is loaded; ``connected``: a connection rests there;
            ``least_loaded``: none does; ``only_avoided``: all failed or were full lately;
            ``permitted``: no warm runner was left, and the leader chose.
        leave: the leader's for this very sending, if the runner is cold.

    """

    record: RunnerRecord
    reason: str
    leave: TimedPermit = NO_PERMIT


def choose_runner(
    usable: Collection[RunnerRecord],
    tried: Collection[str],
    session: str,
    view: NodeView,
    rng: random.Random,
    policy: Policy = EVERYTHING,
    thing: str = "",
) -> Choice | None:
    """Choose a runner that was not tried yet; ``None``: there is none.

    Args:
        usable: runners that may get new work.
        tried: runner ids that this request was sent to before.
        session: requests of one session go where its cache is; empty: anywhere.
        view: the node that chooses.
        rng: decides between the rest.
        policy: what of this is in use.
        thing: requests that name the same run faster where it was seen; empty: none.

    """
    untried = [record for record in usable if record.listed.runner_id not in tried]
    if not untried:
        return None
    sound = [r for r in untried if not (policy.avoidance and r.is_avoided(view.now_s))]
    pool = _near_first(sound or untried, view)
    if thing and policy.thing_affinity:
        choice = _by_thing(pool, thing, view)
    elif session and policy.session_affinity:
        choice = _by_session(pool, session, SESSION_MAX_EXTRA if policy.step_aside else math.inf)
    elif policy.kept_connections:
        choice = _by_connection(pool, view)
    else:
        choice = Choice(_least_loaded(pool, view.zone, rng), "least_loaded")
    return choice if sound else Choice(choice.record, "only_avoided")


def _near_first(pool: list[RunnerRecord], view: NodeView) -> list[RunnerRecord]:
    """The runners of the node's own region while any of them has a place by this node's own count.

    What runs elsewhere costs a round trip between regions before its first byte, and the link.
    """
    near = [record for record in pool if view.is_near(record)]
    has_room = any(record.in_flight < max(1, record.listed.slots) for record in near)
    return near if has_room else pool


def _by_session(pool: list[RunnerRecord], session: str, max_extra: float) -> Choice:
    by_id = {record.listed.runner_id: record for record in pool}
    ranked = rendezvous_rank(session, by_id)
    fewest = min(record.in_flight for record in pool)
    for place, runner_id in enumerate(ranked):
        record = by_id[runner_id]
        if record.in_flight <= fewest + max_extra:
            return Choice(record, "session" if place == 0 else "step_aside")
    return Choice(by_id[ranked[0]], "session")


def _by_thing(pool: list[RunnerRecord], thing: str, view: NodeView) -> Choice:
    """The thing's own runner among those with an idle connection; without any, by connection.

    A thing seen before saves part of the work (half of 108 ms on one of today's services), but most
    are new: a connection opened for each runner that may have seen one costs more than that.
    """
    pool_pace = median_pace(record.health for record in pool)
    fewest = min(record.in_flight for record in pool)
    by_id = {
        record.listed.runner_id: record
        for record in pool
        if record.listed.runner_id in view.connected
        and record.in_flight <= fewest + THING_MAX_EXTRA
        and record.health.slowness_now(pool_pace, view.now_s, SLOW_FROM) <= 1.0
    }
    if not by_id:
        return _by_connection(pool, view)
    return Choice(by_id[rendezvous_rank(thing, by_id)[0]], "thing")


def _by_connection(pool: list[RunnerRecord], view: NodeView) -> Choice:
    """The least loaded; an idle connection is worth waiting for a moment.

    Between equals of a zone each node has a rank of its own that stays, so that it opens few
    connections and all nodes together use all runners alike (deterministic subsetting).
    """
    pool_pace = median_pace(record.health for record in pool)

    def cost(record: RunnerRecord) -> float:
        is_connected = record.listed.runner_id in view.connected
        load = 1 + record.in_flight + (0.0 if is_connected else NEW_CONNECTION_LOAD)
        return load * record.health.slowness_now(pool_pace, view.now_s, SLOW_FROM)

    costs = {record.listed.runner_id: cost(record) for record in pool}
    least = min(costs.values())
    equal = [record for record in pool if costs[record.listed.runner_id] <= least]
    near = [record for record in equal if record.listed.zone == view.zone] or equal
    by_id = {record.listed.runner_id: record for record in near}
    chosen = rendezvous_rank(view.node, by_id)[0]
    return Choice(by_id[chosen], "connected" if chosen in view.connected else "least_loaded")


def _least_loaded(pool: list[RunnerRecord], zone: str, rng: random.Random) -> RunnerRecord:
    def cost(record: RunnerRecord) -> tuple[float, int, float]:
        share = record.in_flight / max(1, record.listed.slots)
        return share, int(record.listed.zone != zone), rng.random()

    return min(pool, key=cost)
