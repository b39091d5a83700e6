"""Chooses the runner of a turn by the load of all nodes. Pure except for the random source.

Runs at the leader of the turn log, which handles the begin and end of every turn. It therefore has
the turns of all nodes at each runner without further messages, and nodes do not all choose the same
idle runner from equally old counts. This state is not replicated: a new leader starts without load
and has rebuilt it after the length of one turn. Until then a placement may cost time, but nothing
else.

`ClusterLoad.place` chooses the lowest cost by `placement/placement_cost.py`, from the counts of
`placement/running_turns.py`, within the limits of `placement/spill.py` on redirection between
regions.
"""

import random
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

from bendshed.identifiers import rendezvous_rank
from bendshed.model.places import Distance
from bendshed.model.runner import ServiceRunner
from bendshed.placement.distance import DistanceCosts, TurnPaths
from bendshed.placement.peer_loads import LoadSummary, PeerLoads
from bendshed.placement.placement_cost import PoolTimes, cold_cost_ms, cost_ms
from bendshed.placement.runner_health import median_pace
from bendshed.placement.running_turns import RunningTurns
from bendshed.placement.spill import SpilloverLimiter
from bendshed.placement.turn_demand import EndedTurn, TurnDemand

MAX_CANDIDATES = 64
"""Runners whose costs one placement compares. Bounds its processor time (227 to 296 microseconds
for 24 runners). Of a larger pool it compares a random sample of this size, and the runners that
have the prompt cached or an idle connection."""
EQUAL_COST_MARGIN_MS = 1.0
"""Costs that exceed the lowest by no more than this, in milliseconds, count as equal. The zone and
the chain's rank decide between them, so that a chain does not move for differences below noise."""


class PlacementReason(StrEnum):
    """Why a turn was placed at a runner."""

    LEAST_COST = "least_cost"
    SAME_ZONE = "same_zone"
    """The only runner in the requesting node's zone among those of equal cost."""
    CHAIN_RANK = "chain_rank"
    """First in the chain's rank among the runners that are equal by cost and zone."""


@dataclass(frozen=True, slots=True)
class Placed:
    """The runner where a turn was placed.

    Attributes:
        cost_ms: time that the turn is expected to lose there.
        num_running: turns that this leader has running there, without this one.
        cached_tokens: tokens of the prompt that the runner is expected to have cached.
        distance: between the requesting node and the runner.
        reason: what decided the choice.

    """

    runner_id: str
    cost_ms: float
    num_running: int
    cached_tokens: int
    distance: Distance
    reason: PlacementReason


@dataclass(frozen=True, slots=True)
class NotPlaced:
    """No runner of the turn's service is eligible."""


Candidates = Mapping[str, ServiceRunner]
"""Runners by id."""


class ClusterLoad:
    """Places turns and counts them until they end.

    Invariant: a turn counts at one runner from its placement until its end or its deadline.

    Attributes:
        peer_loads: load at runners that leaders of other groups placed there.
        distance: costs of the distance between the requesting node and a runner.

    """

    def __init__(self, rng: random.Random, distance: DistanceCosts | None = None) -> None:
        self.peer_loads = PeerLoads()
        self.distance = distance if distance is not None else DistanceCosts()
        self._spill = SpilloverLimiter(self.distance.link.region_mbit_per_s)
        self._running = RunningTurns(self._spill)
        self._rng = rng

    @property
    def num_running(self) -> int:
        """Running turns."""
        return self._running.num_running

    @property
    def num_redirected(self) -> int:
        """Running turns outside the requesting node's region."""
        return self._spill.num_redirected

    def runner_of(self, turn_id: str) -> str:
        """Id of the runner where a running turn was placed; empty: it was not placed here."""
        return self._running.runner_of(turn_id)

    def own_loads(self) -> list[tuple[str, LoadSummary]]:
        """Load that this leader placed at runners, for reports to leaders of other groups."""
        return self._running.load_summaries()

    # --- placement -------------------------------------------------------------------------

    def place(
        self,
        demand: TurnDemand,
        runners: Sequence[ServiceRunner],
        capacity_tokens: int,
        now_s: float,
        cold: Collection[str] = (),
    ) -> Placed | NotPlaced:
        """Choose the runner of a turn and count the turn there.

        Args:
            demand: the turn.
            runners: eligible runners of its service.
            capacity_tokens: memory of each runner; 0: unknown.
            now_s: steady time.
            cold: ids of the cold runners among them; warm ones that have room come first.

        """
        self._running.end_expired(now_s)
        if not runners:
            return NotPlaced()
        self._running.add_runners(runners, capacity_tokens)
        self._running.assume_cached(demand)
        candidates = {r.runner_id: r for r in self._candidates(demand, runners)}
        paths = self.distance.paths(demand.zone, demand.transferred_bytes)
        pool = self._pool_times(runners, now_s)
        costs = self._costs(demand, candidates, paths, pool, cold)
        if paths.has_other_region:
            costs = self._limit_spillover(demand, candidates, paths, costs, now_s)
        chosen, reason = _choose_least_cost(costs, candidates, demand)
        kind = paths[candidates[chosen].zone].kind
        load = self._running.load_of(chosen)
        cached_tokens = load.cache.cached_tokens(demand.parts)
        placed = Placed(chosen, costs[chosen], len(load.turns), cached_tokens, kind, reason)
        self._record(demand, placed, now_s)
        return placed

    def _candidates(
        self, demand: TurnDemand, runners: Sequence[ServiceRunner]
    ) -> Sequence[ServiceRunner]:
        """All runners of a small pool; of a large one the preferred ones and a sample.

        A runner is preferred if it has an idle connection or part of the prompt cached.
        """
        if len(runners) <= MAX_CANDIDATES:
            return runners
        preferred = [
            runner
            for runner in runners
            if runner.runner_id in demand.connected
            or self._running.load_of(runner.runner_id).cache.cached_tokens(demand.parts)
        ]
        return [*preferred, *self._rng.sample(list(runners), MAX_CANDIDATES)]

    def _pool_times(self, runners: Sequence[ServiceRunner], now_s: float) -> PoolTimes:
        event_gap_ms = median_pace(self._running.load_of(r.runner_id).health for r in runners)
        return PoolTimes(
            self._running.mean_turn_ms, self._running.mean_prefill_ms, event_gap_ms, now_s
        )

    def _costs(
        self,
        demand: TurnDemand,
        candidates: Candidates,
        paths: TurnPaths,
        pool: PoolTimes,
        cold: Collection[str],
    ) -> dict[str, float]:
        """Cost of each candidate, in milliseconds."""
        costs = {
            runner_id: cost_ms(
                demand,
                runner,
                self._running.load_of(runner_id),
                self.peer_loads.load_of(runner_id, pool.now_s),
                paths[runner.zone],
                pool,
            )
            for runner_id, runner in candidates.items()
        }
        for runner_id in cold:
            if runner_id in costs:
                costs[runner_id] += cold_cost_ms(demand)
        return costs

    def _limit_spillover(
        self,
        demand: TurnDemand,
        candidates: Candidates,
        paths: TurnPaths,
        costs: dict[str, float],
        now_s: float,
    ) -> dict[str, float]:
        """Costs within the requesting node's region, or all if the turn may or must be
        redirected."""
        remote_ids = {
            n for n, r in candidates.items() if paths[r.zone].kind is Distance.OTHER_REGION
        }
        local_costs = {
            runner_id: cost for runner_id, cost in costs.items() if runner_id not in remote_ids
        }
        if not local_costs:
            return costs
        gain_ms = min(local_costs.values()) - min(costs[runner_id] for runner_id in remote_ids)
        num_slots = sum(candidates[runner_id].slots for runner_id in remote_ids)
        if self._spill.may_redirect(gain_ms, num_slots, demand.transferred_bytes, now_s):
            return costs
        return local_costs

    def _record(self, demand: TurnDemand, placed: Placed, now_s: float) -> None:
        self._running.begin(demand, placed.runner_id, now_s)
        if placed.distance is Distance.OTHER_REGION:
            self._spill.begin(demand.turn_id, demand.transferred_bytes, now_s)

    # --- after a placement -----------------------------------------------------------------

    def end(self, ended: EndedTurn, now_s: float) -> None:
        """Stop counting a turn, answered or not, and record what its node observed of runners."""
        self._running.end(ended, now_s)

    def retain_only(self, listed: Collection[str]) -> None:
        """Forget runners that are no longer listed, with their turns."""
        self._running.retain_only(listed)


def _choose_least_cost(
    costs: Mapping[str, float], candidates: Candidates, demand: TurnDemand
) -> tuple[str, PlacementReason]:
    """Choose the least cost; among equals the node's own zone first, then the chain's rank."""
    max_equal_ms = min(costs.values()) + EQUAL_COST_MARGIN_MS
    equal = [runner_id for runner_id, cost in costs.items() if cost <= max_equal_ms]
    in_zone = [runner_id for runner_id in equal if candidates[runner_id].zone == demand.zone]
    if len(equal) == 1:
        return equal[0], PlacementReason.LEAST_COST
    if len(in_zone) == 1:
        return in_zone[0], PlacementReason.SAME_ZONE
    return rendezvous_rank(demand.chain, in_zone or equal)[0], PlacementReason.CHAIN_RANK
