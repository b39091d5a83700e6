"""The load of all nodes' turns at each runner, and where the next turn had best run. Pure.

The leader of the turn log hears of every turn before it is sent and after it has ended. So it knows
what all nodes have under way at each runner at this moment, without any message of its own, and
every node is told the same: nodes do not herd on old counts. Nothing here is replicated: a new
leader begins empty and knows the load after the length of one turn; what it does not know costs
time and never truth.

The choice is the least of costs that have one unit, milliseconds of the turn: waiting for a slot,
reading what the runner does not keep, slowness, failures, distance, a new connection.
"""

import heapq
import random
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field

from bendshed.identifiers import rendezvous_rank
from bendshed.model.places import Distance
from bendshed.model.prompt import PromptPart
from bendshed.model.runner import ServiceRunner
from bendshed.placement.distance import ANSWER_TOKEN_BYTES, DistanceCosts, TurnWays
from bendshed.placement.other_loads import OtherLoad, OtherLoads
from bendshed.placement.prompt_cache import PromptCache
from bendshed.placement.runner_health import RunnerHealth, median_pace
from bendshed.placement.spill import SpillGate

READ_TOKENS_PER_MS = 80.0
"""Prompt tokens that a runner reads in a millisecond; engines met so far read 65 to 163."""
HISTORY_WEIGHT = 3.0
"""How many times its reading time a program's own history costs when it must be read again: that
also stops the turns beside it, and no other program will use it; the first part is for all.
At 1, bursts on the large site lost a tenth of the programs (docs/POLICY.md)."""
MIN_RUNNING_MS = 4.0
"""Least that one more running turn costs the others at its runner. While a turn runs, about as many
others begin there as run beside it, and each stops it for the time in which its prompt is read; so
the mean reading time of a turn is what one running turn costs."""
COLD_MS = 120.0
"""A cold runner takes a turn once the others cost so much more. Free warm runners differ by less:
six running turns at 10 ms each, 30 ms for a connection, 24 ms for 650 tokens of history that are
read anew. Three turns of 250 ms that wait for one of six slots cost 125 ms. How slow it is beyond
that its measured pace tells."""
COLD_FIRST_MS = 60.0
"""The same for a program's first turn: it reads no history, only what it shares with others, and so
a cold runner has read that by the time it is warm."""
FAILED_TURN_MS = 1_000.0
"""What a failed turn costs its program: its client comes back after up to 0.4 s, from the start."""
FIRST_TURN_MS = 250.0
"""Length of a turn until any has ended."""
TURN_WEIGHT = 0.05
"""Weight of the newest turn in the mean length: some twenty turns tell a change."""
MEMORY_SHARE = 0.8
"""Share of a runner's memory that running turns may fill; beyond it the newest is put back."""
SILENT_TURNS = 4.0
"""A runner where no turn has ended for so many mean lengths, and some run, is slow or hangs."""
MAX_LINES = 20_000
"""Lines of turns remembered as placed here; some 2 MB."""
MAX_CANDIDATES = 64
"""Runners that one choice looks at; of larger pools a sample, beside those that keep the prompt."""
DEFAULT_CAPACITY_TOKENS = 50_000
"""Memory of a runner when the configuration does not tell it."""
SLOW_FROM = 2.5
"""A runner counts as slow from this many times the pool's median time between events on. Below it
is chance: in a burst prompts read in between make a mean of three turns half as long again."""
NEAR_MS = 1.0
"""Costs this near to the least count as equal; the rank by session decides then."""


@dataclass(frozen=True, slots=True)
class Demand:
    """What a turn asks of a runner.

    Attributes:
        line: turns of one line share their prompts; decides between equals.
        most_tokens: most that it may generate.
        left_s: until its deadline; after that it counts as over.
        connected: runners to which the asker has an idle connection.
        avoided: runners that failed the asker a moment ago.
        zone: the asker's.
        body_bytes: of what goes to the runner.
        ran_at: where the program's latest turn ran, which a new leader knows too.
        prompt_tokens: length of the whole prompt; counted once, since each runner is asked for it.
        own_tokens: of it, the program's own: all but the first of several parts.

    """

    turn_id: str
    line: str
    parts: Sequence[PromptPart]
    most_tokens: int
    left_s: float
    connected: Collection[str] = ()
    avoided: Collection[str] = ()
    zone: str = ""
    ran_at: str = ""
    body_bytes: int = 0
    prompt_tokens: int = field(init=False)
    own_tokens: int = field(init=False)

    def __post_init__(self) -> None:
        prompt_tokens = sum(part.tokens for part in self.parts)
        shared_tokens = self.parts[0].tokens if len(self.parts) > 1 else 0
        object.__setattr__(self, "prompt_tokens", prompt_tokens)
        object.__setattr__(self, "own_tokens", prompt_tokens - shared_tokens)

    @property
    def moved_bytes(self) -> int:
        """Of the turn's body and its longest answer."""
        return self.body_bytes + ANSWER_TOKEN_BYTES * self.most_tokens


@dataclass(frozen=True, slots=True)
class Advice:
    """Where a turn had best run, for the log too.

    Attributes:
        cost_ms: what was the least.
        num_running: turns of all nodes that the board knows there, without this one.
        cached_tokens: of the prompt, very likely kept there.
        distance: between the asker and the runner.

    """

    runner_id: str
    cost_ms: float
    num_running: int
    cached_tokens: int
    distance: Distance = Distance.SAME_ZONE


@dataclass(frozen=True, slots=True)
class Ended:
    """What the node of a turn saw.

    Attributes:
        runner_id: whose answer was passed on; empty: none.
        gap_ms: mean time between events; 0: unknown.
        failed: runners that broke their answers or were not reached.

    """

    turn_id: str
    runner_id: str = ""
    gap_ms: float = 0.0
    failed: Collection[str] = ()


@dataclass(frozen=True, slots=True)
class _Running:
    """A turn under way."""

    runner_id: str
    tokens: int
    began_s: float


@dataclass(slots=True)
class _RunnerLoad:
    """One runner.

    Attributes:
        turns: under way there, by turn id, the oldest first.
        num_tokens: prompts and worst outputs of these.
        ended_s: when the latest turn ended here.

    """

    cache: PromptCache
    health: RunnerHealth = field(default_factory=RunnerHealth)
    turns: dict[str, _Running] = field(default_factory=dict)
    num_tokens: int = 0
    ended_s: float = float("-inf")

    def silent_s(self, now_s: float) -> float:
        """For how long turns have run here and none has ended; 0: none runs."""
        for turn in self.turns.values():
            return now_s - max(turn.began_s, self.ended_s)
        return 0.0


class ClusterLoad:
    """Turns under way by runner.

    Invariant: a turn counts at one runner from its advice until its end or its deadline.

    Attributes:
        turn_ms: mean length of a turn.
        reading_ms: mean time in which a turn's prompt is read.
        others: what leaders of other groups have at runners.
        distance: what runners far from the asker cost.

    """

    def __init__(self, rng: random.Random, distance: DistanceCosts | None = None) -> None:
        self.others = OtherLoads()
        self.turn_ms = FIRST_TURN_MS
        self.reading_ms = MIN_RUNNING_MS
        self.distance = distance if distance is not None else DistanceCosts()
        self._spill = SpillGate(self.distance.terms.region_mbit_per_s)
        self._rng = rng
        self._loads: dict[str, _RunnerLoad] = {}
        self._turns: dict[str, str] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._lines: dict[str, None] = {}

    @property
    def num_running(self) -> int:
        """Turns under way."""
        return len(self._turns)

    @property
    def num_away(self) -> int:
        """Of them, those that run outside their asker's region."""
        return self._spill.num_away

    def running_at(self, runner_id: str) -> int:
        """Turns under way at one runner."""
        load = self._loads.get(runner_id)
        return len(load.turns) if load is not None else 0

    def own_loads(self) -> list[tuple[str, OtherLoad]]:
        """What this board has at runners, for the leaders of other groups."""
        return [
            (runner_id, OtherLoad(len(load.turns), load.num_tokens))
            for runner_id, load in self._loads.items()
            if load.turns
        ]

    def advise(
        self,
        demand: Demand,
        runners: Sequence[ServiceRunner],
        capacity_tokens: int,
        now_s: float,
        cold: Collection[str] = (),
    ) -> Advice | None:
        """Choose the runner of a turn and count it there; ``None``: there is no runner.

        Args:
            demand: the turn.
            runners: those of its service that may get new work.
            capacity_tokens: memory of each; 0: not told.
            now_s: steady time.
            cold: ids of runners that come last while others have room.

        """
        self._end_overdue(now_s)
        if not runners:
            return None
        for runner in runners:
            if runner.runner_id not in self._loads:
                cache = PromptCache(capacity_tokens or DEFAULT_CAPACITY_TOKENS)
                self._loads[runner.runner_id] = _RunnerLoad(cache)
        self._learn_cache(demand)
        pool_gap = median_pace(self._loads[runner.runner_id].health for runner in runners)
        ways = self.distance.ways(demand.zone, demand.moved_bytes)
        candidates = {r.runner_id: r for r in self._candidates(demand, runners)}
        costs = {
            name: self._cost_ms(demand, runner, ways, pool_gap, now_s)
            for name, runner in candidates.items()
        }
        for runner_id in cold:
            if runner_id in costs:
                costs[runner_id] += COLD_MS if demand.ran_at else COLD_FIRST_MS
        if ways.has_far:
            costs = self._within_region(demand, candidates, ways, costs, now_s)
        least_ms = min(costs.values())
        equal = [name for name, cost in costs.items() if cost <= least_ms + NEAR_MS]
        equal = [name for name in equal if candidates[name].zone == demand.zone] or equal
        chosen = equal[0] if len(equal) == 1 else rendezvous_rank(demand.line, equal)[0]
        load = self._loads[chosen]
        kind = ways[candidates[chosen].zone].kind
        cached_tokens = load.cache.cached_tokens(demand.parts)
        advice = Advice(chosen, costs[chosen], len(load.turns), cached_tokens, kind)
        self._begin(demand, chosen, now_s)
        if kind is Distance.OTHER_REGION:
            self._spill.begin(demand.turn_id, demand.moved_bytes, now_s)
        return advice

    def _within_region(
        self,
        demand: Demand,
        runners: Mapping[str, ServiceRunner],
        ways: TurnWays,
        costs: dict[str, float],
        now_s: float,
    ) -> dict[str, float]:
        """Costs of the runners that come into question: the asker's region's, or all."""
        far = {n for n, r in runners.items() if ways[r.zone].kind is Distance.OTHER_REGION}
        near = {name: cost for name, cost in costs.items() if name not in far}
        if not near:
            return costs
        gain_ms = min(near.values()) - min(costs[name] for name in far)
        num_slots = sum(runners[name].slots for name in far)
        if self._spill.may_leave(gain_ms, num_slots, demand.moved_bytes, now_s):
            return costs
        return near

    def _learn_cache(self, demand: Demand) -> None:
        """A new leader knows of no kept prompt: a program's are where its latest turn ran."""
        load = self._loads.get(demand.ran_at)
        if load is not None and demand.line not in self._lines:
            load.cache.note_read(demand.parts)

    def _candidates(
        self, demand: Demand, runners: Sequence[ServiceRunner]
    ) -> Sequence[ServiceRunner]:
        """All of a small pool; of a large one a sample, and those that are near the turn."""
        if len(runners) <= MAX_CANDIDATES:
            return runners
        near = [
            runner
            for runner in runners
            if runner.runner_id in demand.connected
            or self._loads[runner.runner_id].cache.cached_tokens(demand.parts)
        ]
        return [*near, *self._rng.sample(list(runners), MAX_CANDIDATES)]

    def _cost_ms(
        self,
        demand: Demand,
        runner: ServiceRunner,
        ways: TurnWays,
        pool_gap: float,
        now_s: float,
    ) -> float:
        """Milliseconds that the turn very likely loses at a runner."""
        load = self._loads[runner.runner_id]
        other = self.others.at(runner.runner_id, now_s)
        num_running = len(load.turns) + other.num_running
        slowness = load.health.slowness_now(pool_gap, now_s, SLOW_FROM)
        slowness = max(slowness, 1000 * load.silent_s(now_s) / (SILENT_TURNS * self.turn_ms))
        num_waiting = max(0, num_running + 1 - runner.slots)
        waiting_ms = self.turn_ms * num_waiting / runner.slots
        reading_ms = self._reading_cost_ms(demand, load.cache)
        running_ms = max(MIN_RUNNING_MS, self.reading_ms) * num_running
        cost_ms = slowness * (waiting_ms + reading_ms + running_ms)
        cost_ms += (slowness - 1.0) * self.turn_ms
        cost_ms += FAILED_TURN_MS * load.health.failures_now(now_s)
        wanted = load.num_tokens + other.num_tokens + demand.prompt_tokens + demand.most_tokens
        if wanted > MEMORY_SHARE * load.cache.capacity_tokens:
            cost_ms += self.turn_ms
        if runner.runner_id in demand.avoided:
            cost_ms += FAILED_TURN_MS
        way = ways[runner.zone]
        is_connected = runner.runner_id in demand.connected
        return cost_ms + (way.connected_ms if is_connected else way.new_ms)

    @staticmethod
    def _reading_cost_ms(demand: Demand, cache: PromptCache) -> float:
        """What reading costs that a runner does not keep."""
        unread = demand.prompt_tokens - cache.cached_tokens(demand.parts)
        unread_own = min(unread, demand.own_tokens)
        return (unread - unread_own + HISTORY_WEIGHT * unread_own) / READ_TOKENS_PER_MS

    # --- turns under way -------------------------------------------------------------------

    def _begin(self, demand: Demand, runner_id: str, now_s: float) -> None:
        self._remove(demand.turn_id)
        load = self._loads[runner_id]
        tokens = demand.prompt_tokens + demand.most_tokens
        load.turns[demand.turn_id] = _Running(runner_id, tokens, now_s)
        load.num_tokens += tokens
        unread = demand.prompt_tokens - load.cache.cached_tokens(demand.parts)
        self.reading_ms += TURN_WEIGHT * (unread / READ_TOKENS_PER_MS - self.reading_ms)
        load.cache.note_read(demand.parts)
        self._lines[demand.line] = None
        if len(self._lines) > MAX_LINES:
            del self._lines[next(iter(self._lines))]
        self._turns[demand.turn_id] = runner_id
        heapq.heappush(self._deadlines, (now_s + demand.left_s, demand.turn_id))

    def end(self, ended: Ended, now_s: float) -> None:
        """A turn has ended, well or not."""
        turn = self._remove(ended.turn_id)
        if turn is not None and turn.runner_id == ended.runner_id:
            took_ms = 1000 * (now_s - turn.began_s)
            self.turn_ms += TURN_WEIGHT * (took_ms - self.turn_ms)
        load = self._loads.get(ended.runner_id)
        if load is not None:
            load.ended_s = now_s
            load.health.note_try(False, now_s)
            if ended.gap_ms:
                load.health.note_pace(ended.gap_ms, now_s)
        for runner_id in ended.failed:
            failing = self._loads.get(runner_id)
            if failing is not None:
                failing.health.note_try(True, now_s)

    def _remove(self, turn_id: str) -> _Running | None:
        self._spill.end(turn_id)
        runner_id = self._turns.pop(turn_id, None)
        if runner_id is None:
            return None
        load = self._loads[runner_id]
        turn = load.turns.pop(turn_id)
        load.num_tokens -= turn.tokens
        return turn

    def _end_overdue(self, now_s: float) -> None:
        """Turns whose deadline has passed are over, whatever became of their nodes."""
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, turn_id = heapq.heappop(self._deadlines)
            self._remove(turn_id)

    def keep_only(self, listed: Collection[str]) -> None:
        """Forget runners that are not listed any more."""
        for runner_id in [name for name in self._loads if name not in listed]:
            for turn_id in self._loads.pop(runner_id).turns:
                del self._turns[turn_id]
                self._spill.end(turn_id)
