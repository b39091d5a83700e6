"""Running turns by runner, and the load, prompt cache and health derived from them. Pure.

Owns the counts on which placements are based. A turn counts at one runner from its placement until
its end or its deadline. Nothing is replicated, so a new leader starts without turns and has all of
them after the length of one turn.
"""

import heapq
from collections.abc import Collection, Iterable

from bendshed.model.runner import ServiceRunner
from bendshed.placement.peer_loads import LoadSummary
from bendshed.placement.placement_cost import MIN_RUNNING_TURN_COST_MS, PREFILL_TOKENS_PER_MS
from bendshed.placement.prompt_cache import PromptCache
from bendshed.placement.runner_load import RunnerLoad, RunningTurn
from bendshed.placement.spill import SpilloverLimiter
from bendshed.placement.turn_demand import EndedTurn, TurnDemand

INITIAL_MEAN_TURN_MS = 250.0
"""Mean length of a turn, in milliseconds, that is assumed until the first one has ended."""
NEWEST_TURN_WEIGHT = 0.05
"""Weight of the newest turn in the mean length and prefill time: a change shows after about 20
turns."""
MAX_CHAINS = 20_000
"""Chains remembered as placed by this leader; bounds their memory to about 2 MB."""
DEFAULT_CAPACITY_TOKENS = 50_000
"""Memory of a runner, in tokens, if the configuration gives none."""


class RunningTurns:
    """Running turns by runner.

    Invariants: a turn counts at one runner at most; ``RunnerLoad.num_tokens`` is the sum over its
    turns; ``spill`` counts no turn that does not run.

    Attributes:
        mean_turn_ms: mean length of a turn.
        mean_prefill_ms: mean prefill time of a turn's prompt.
        spill: limits the turns that run outside their region.

    """

    def __init__(self, spill: SpilloverLimiter) -> None:
        self.mean_turn_ms = INITIAL_MEAN_TURN_MS
        self.mean_prefill_ms = MIN_RUNNING_TURN_COST_MS
        self.spill = spill
        self._loads: dict[str, RunnerLoad] = {}
        self._runner_by_turn: dict[str, str] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._chains: dict[str, None] = {}

    @property
    def num_running(self) -> int:
        """Number of running turns."""
        return len(self._runner_by_turn)

    def load_of(self, runner_id: str) -> RunnerLoad:
        """Record of a runner that was passed to ``add_runners``."""
        return self._loads[runner_id]

    def runner_of(self, turn_id: str) -> str:
        """Id of the runner where a turn counts; empty: it does not run."""
        return self._runner_by_turn.get(turn_id, "")

    def load_summaries(self) -> list[tuple[str, LoadSummary]]:
        """Load by runner, for reports to leaders of other groups; idle runners are left out."""
        return [
            (runner_id, LoadSummary(len(load.turns), load.num_tokens))
            for runner_id, load in self._loads.items()
            if load.turns
        ]

    def add_runners(self, runners: Iterable[ServiceRunner], capacity_tokens: int) -> None:
        """Create a record for each runner that has none.

        Args:
            runners: candidates of a placement.
            capacity_tokens: memory of each; 0: unknown.

        """
        for runner in runners:
            if runner.runner_id not in self._loads:
                cache = PromptCache(capacity_tokens or DEFAULT_CAPACITY_TOKENS)
                self._loads[runner.runner_id] = RunnerLoad(cache)

    def assume_cached(self, demand: TurnDemand) -> None:
        """Assume that a chain's prompt is cached at the runner of its program's latest turn.

        Only for chains that this leader has not placed yet, since a new leader does not know what
        is cached.
        """
        load = self._loads.get(demand.last_runner)
        if load is not None and demand.chain not in self._chains:
            load.cache.add_prompt(demand.parts)

    def begin(self, demand: TurnDemand, runner_id: str, now_s: float) -> None:
        """Count a turn at a runner; a turn that is placed again moves there."""
        self._remove(demand.turn_id)
        load = self._loads[runner_id]
        tokens = demand.max_kv_tokens
        load.turns[demand.turn_id] = RunningTurn(runner_id, tokens, now_s)
        load.num_tokens += tokens
        uncached_tokens = demand.prompt_tokens - load.cache.cached_tokens(demand.parts)
        self.mean_prefill_ms += NEWEST_TURN_WEIGHT * (
            uncached_tokens / PREFILL_TOKENS_PER_MS - self.mean_prefill_ms
        )
        load.cache.add_prompt(demand.parts)
        self._remember_chain(demand.chain)
        self._runner_by_turn[demand.turn_id] = runner_id
        heapq.heappush(self._deadlines, (now_s + demand.time_left_s, demand.turn_id))

    def _remember_chain(self, chain: str) -> None:
        self._chains[chain] = None
        if len(self._chains) > MAX_CHAINS:
            del self._chains[next(iter(self._chains))]

    def end(self, ended: EndedTurn, now_s: float) -> None:
        """Stop counting a turn, answered or not, and record what its node observed of runners."""
        turn = self._remove(ended.turn_id)
        if turn is not None and turn.runner_id == ended.runner_id:
            took_ms = 1000 * (now_s - turn.began_s)
            self.mean_turn_ms += NEWEST_TURN_WEIGHT * (took_ms - self.mean_turn_ms)
        load = self._loads.get(ended.runner_id)
        if load is not None:
            load.ended_s = now_s
            load.health.note_attempt(False, now_s)
            if ended.event_gap_ms:
                load.health.note_pace(ended.event_gap_ms, now_s)
        for runner_id in ended.failed:
            failed_load = self._loads.get(runner_id)
            if failed_load is not None:
                failed_load.health.note_attempt(True, now_s)

    def _remove(self, turn_id: str) -> RunningTurn | None:
        self.spill.end(turn_id)
        runner_id = self._runner_by_turn.pop(turn_id, None)
        if runner_id is None:
            return None
        load = self._loads[runner_id]
        turn = load.turns.pop(turn_id)
        load.num_tokens -= turn.tokens
        return turn

    def end_expired(self, now_s: float) -> None:
        """Stop counting turns whose deadline has passed: their nodes' reports were lost."""
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, turn_id = heapq.heappop(self._deadlines)
            self._remove(turn_id)

    def retain_only(self, listed: Collection[str]) -> None:
        """Forget runners that are no longer listed, with their turns."""
        for runner_id in [name for name in self._loads if name not in listed]:
            for turn_id in self._loads.pop(runner_id).turns:
                del self._runner_by_turn[turn_id]
                self.spill.end(turn_id)
