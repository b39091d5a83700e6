"""Estimates what a turn loses at a runner, in milliseconds of the turn. Pure.

Holds every weight of a placement. All terms have one unit, so that they can be added: waiting for a
slot, prefill of prompt parts that the runner has not cached, delaying the turns that run there,
slowness, failures, memory, distance, a new connection, a cold runner.
"""

from dataclasses import dataclass

from bendshed.model.runner import ServiceRunner
from bendshed.placement.distance import PathCost
from bendshed.placement.peer_loads import LoadSummary
from bendshed.placement.prompt_cache import PromptCache
from bendshed.placement.runner_load import RunnerLoad
from bendshed.placement.turn_demand import TurnDemand

PREFILL_TOKENS_PER_MS = 80.0
"""Prompt tokens that a runner prefills per millisecond; 65 to 163 were seen at model engines."""
HISTORY_WEIGHT = 3.0
"""Factor on the prefill time of a program's own history (all parts but the first of several). Its
prefill also stops the turns that run beside it, and no other program uses the result; the first
part is shared. Keeps chains at their runner: over a full day of 171 fronts, with a factor of 1 they
left it at three running turns, 10 million prompt tokens were prefilled instead of 6 million, and
87.8% of the work was served instead of 94.6% (measured together with SLOWNESS_THRESHOLD)."""
MIN_RUNNING_TURN_COST_MS = 4.0
"""Least cost, in milliseconds, of each turn that runs at the runner. While a turn runs, about as
many others begin there as run beside it, and each stops it during its prefill. A running turn
therefore costs the mean prefill time, and at least this."""
COLD_RUNNER_COST_MS = 120.0
"""Added to a cold runner's cost, in milliseconds, so that warm runners with room come first.
Warm runners with free slots differ by less: six running turns at 10 ms each, 30 ms for a
connection, 24 ms for 650 tokens of history. Three turns of 250 ms that wait for one of six slots
cost 125 ms, so the cold runner then gets work. The slowness of a cold runner is not included; its
measured pace accounts for it."""
FIRST_TURN_COLD_COST_MS = 60.0
"""The same for a program's first turn: it has no history, so it prefills only shared parts there,
which are cached by the time the runner is warm."""
FAILED_TURN_COST_MS = 1_000.0
"""Cost of a failed turn, in milliseconds: its client starts it again after up to 0.4 s. Higher than
any wait for a slot, so a failing runner gets work only when all runners fail."""
MAX_MEMORY_SHARE = 0.8
"""Share of a runner's memory that running turns may fill. Beyond it the engine preempts the newest
turn, which costs the length of a turn."""
STALL_TURN_LENGTHS = 4.0
"""A runner counts as slow if turns run there and none has ended for this many mean turn lengths.
The time counts from the latest end. When it counted from the oldest turn's begin, one stuck turn in
24 marked its runner as slow."""
SLOWNESS_THRESHOLD = 2.5
"""Ratio to the pool's median time between events from which on a runner counts as slow. Smaller
ratios occur by chance: in a burst, prefills in between make a mean of three turns 1.5 times as
long."""


@dataclass(frozen=True, slots=True)
class PoolTimes:
    """Means over the runners of a service at the time of a placement.

    Attributes:
        mean_turn_ms: mean length of a turn.
        mean_prefill_ms: mean prefill time of a turn's prompt.
        event_gap_ms: median of the runners' times between events; 0: unknown.
        now_s: steady time of the placement.

    """

    mean_turn_ms: float
    mean_prefill_ms: float
    event_gap_ms: float
    now_s: float


def cost_ms(
    demand: TurnDemand,
    runner: ServiceRunner,
    load: RunnerLoad,
    peer_load: LoadSummary,
    path: PathCost,
    pool: PoolTimes,
) -> float:
    """Milliseconds that a turn is expected to lose at a runner.

    A cold one costs ``cold_cost_ms`` more.

    Args:
        demand: the turn.
        runner: its list entry.
        load: turns that this leader placed there, and what was observed of the runner.
        peer_load: load that leaders of other groups placed there.
        path: distance from the requesting node.
        pool: means of the service's runners, to compare with.

    """
    num_running = len(load.turns) + peer_load.num_running
    slowness = _slowness(load, pool)
    waiting_ms = _waiting_ms(runner.slots, num_running, pool.mean_turn_ms)
    prefill_ms = _prefill_ms(demand, load.cache)
    running_ms = max(MIN_RUNNING_TURN_COST_MS, pool.mean_prefill_ms) * num_running
    total_ms = slowness * (waiting_ms + prefill_ms + running_ms)
    total_ms += (slowness - 1.0) * pool.mean_turn_ms
    total_ms += FAILED_TURN_COST_MS * load.health.failure_share_now(pool.now_s)
    needed_tokens = load.num_tokens + peer_load.num_tokens + demand.max_kv_tokens
    if needed_tokens > MAX_MEMORY_SHARE * load.cache.capacity_tokens:
        total_ms += pool.mean_turn_ms
    if runner.runner_id in demand.avoided:
        total_ms += FAILED_TURN_COST_MS
    is_connected = runner.runner_id in demand.connected
    return total_ms + (path.connected_ms if is_connected else path.new_connection_ms)


def cold_cost_ms(demand: TurnDemand) -> float:
    """Milliseconds that a turn loses in addition at a cold runner."""
    return COLD_RUNNER_COST_MS if demand.last_runner else FIRST_TURN_COLD_COST_MS


def _slowness(load: RunnerLoad, pool: PoolTimes) -> float:
    """Factor by which a turn takes longer there than at the median runner; at least 1."""
    pace_slowness = load.health.slowness_now(pool.event_gap_ms, pool.now_s, SLOWNESS_THRESHOLD)
    return max(
        pace_slowness, 1000 * load.stalled_s(pool.now_s) / (STALL_TURN_LENGTHS * pool.mean_turn_ms)
    )


def _waiting_ms(num_slots: int, num_running: int, mean_turn_ms: float) -> float:
    """Time until a slot is free; slots become free evenly within the length of a turn."""
    num_waiting = max(0, num_running + 1 - num_slots)
    return mean_turn_ms * num_waiting / num_slots


def _prefill_ms(demand: TurnDemand, cache: PromptCache) -> float:
    """Weighted prefill time of the prompt tokens that are not cached; own history weighs more."""
    uncached = demand.prompt_tokens - cache.cached_tokens(demand.parts)
    uncached_own = min(uncached, demand.own_tokens)
    return (uncached - uncached_own + HISTORY_WEIGHT * uncached_own) / PREFILL_TOKENS_PER_MS
