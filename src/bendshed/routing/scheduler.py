"""Decides which waiting call goes to which runner, in one ``schedule`` step.

Calls wait here and not in the engines. Urgent tenants go first; within a priority the program that
has attained the least service goes first (least attained service, Nuyens 2008), so that a long
session does not delay a short alert. Waiting raises a call's priority, so that none starves.
"""

import asyncio
import random
from dataclasses import dataclass, field
from typing import Protocol

from bendshed.routing.runners import Runner, RunnerTable

MAX_WAITING = 10_000
"""Calls that may wait on one node; further ones are refused at once."""
AGING_S_PER_PRIORITY = 10.0
"""Waiting time, in seconds, that makes a call more urgent by one priority."""
RECHECK_INTERVAL_S = 0.25
KV_MOVE_COST_REQUESTS = 3.0
"""A call leaves the runner with its cache only if at least this many requests, the call included,
would be queued there."""


@dataclass(slots=True)
class WaitingCall:
    """A call that is ready to run and needs a runner.

    Attributes:
        priority: 0 is the most urgent.
        attained_tokens: tokens of service that its program has attained already.
        history_tokens: tokens that a runner without the cache must prefill again.
        failed_runners: runners where an attempt of this call failed.
        chosen: future that is resolved with the runner id.

    """

    program_id: str
    model: str
    priority: int
    attained_tokens: int
    history_tokens: int
    arrived_s: float
    last_runner: str
    failed_runners: frozenset[str]
    chosen: "asyncio.Future[str]" = field(repr=False)

    def urgency(self, now_s: float) -> tuple[float, int, float]:
        """Sort key: lower goes first."""
        aged = self.priority - (now_s - self.arrived_s) / AGING_S_PER_PRIORITY
        return (int(max(0.0, aged)), self.attained_tokens, self.arrived_s)


class PlacementPolicy(Protocol):
    """Chooses a runner for one call."""

    def choose(self, call: WaitingCall, candidates: list[Runner]) -> Runner | None:
        """Choose one of the candidates, which accept work and serve the model; ``None``: wait."""


class CacheAwarePolicy:
    """Weighs expected prefix cache hits against load; two random choices prevent herding."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, call: WaitingCall, candidates: list[Runner]) -> Runner | None:
        """Prefer the runner that holds the cache; ``None``: wait for it, or for any free slot."""
        cache_holder = next(
            (r for r in candidates if r.machine.machine_id == call.last_runner), None
        )
        free = [runner for runner in candidates if runner.has_free_slot()]
        if cache_holder is not None and cache_holder.has_free_slot():
            return cache_holder
        if not free:
            return None
        sampled = self._rng.sample(free, min(2, len(free)))
        best = min(sampled, key=lambda runner: runner.expected_load / runner.slots)
        if cache_holder is not None and call.history_tokens > 0:
            queued = cache_holder.expected_load - cache_holder.slots + 1
            if queued < KV_MOVE_COST_REQUESTS:
                return None  # the cache saves more than the wait costs
        return best


class Scheduler:
    """Calls that wait for a runner on this node.

    Invariant: a call is assigned to a runner only while that runner accepts work.
    """

    def __init__(self, table: RunnerTable, policy: PlacementPolicy) -> None:
        self.table = table
        self.waiting: list[WaitingCall] = []
        self._policy = policy

    def choose_now(self, call: WaitingCall) -> str:
        """Id of a runner that can take the call at once, if no call waits; else empty."""
        now_s = asyncio.get_running_loop().time()
        if self.waiting:
            return ""
        runner = self._policy.choose(call, self._candidates(call, now_s))
        return runner.machine.machine_id if runner is not None else ""

    def has_room(self) -> bool:
        """Whether another call may wait."""
        return len(self.waiting) < MAX_WAITING

    def serves(self, model: str) -> bool:
        """Whether any runner that accepts work serves the model."""
        now_s = asyncio.get_running_loop().time()
        return any(
            r.machine.model == model and r.accepts_work(now_s) for r in self.table.runners.values()
        )

    async def acquire(self, call: WaitingCall, timeout_s: float) -> str:
        """Wait for a runner and return its id; empty: none was available in time."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        self.waiting.append(call)
        try:
            while not call.chosen.done():
                self.schedule()
                left_s = deadline_s - loop.time()
                if call.chosen.done() or left_s <= 0:
                    break
                await asyncio.wait([call.chosen], timeout=min(left_s, RECHECK_INTERVAL_S))
            return call.chosen.result() if call.chosen.done() else ""
        finally:
            if call in self.waiting:
                self.waiting.remove(call)

    def schedule(self) -> None:
        """Assign a runner to every waiting call that can run now, most urgent first."""
        now_s = asyncio.get_running_loop().time()
        # 1. Most urgent first.
        by_urgency = sorted(self.waiting, key=lambda call: call.urgency(now_s))
        for call in by_urgency:
            # 2. Runners that accept work, serve the model and have not failed this call.
            candidates = self._candidates(call, now_s)
            # 3. The policy chooses one of them, or lets the call wait.
            runner = self._policy.choose(call, candidates)
            if runner is None:
                continue
            # 4. Count the call at once, so that the next one sees the slot taken.
            runner.own_since_report += 1
            self.waiting.remove(call)
            call.chosen.set_result(runner.machine.machine_id)

    def explain(self, call: WaitingCall) -> list[dict[str, object]]:
        """Candidate runners of a call, with what the policy compares."""
        return [
            {
                "runner": runner.machine.machine_id,
                "holds_cache": runner.machine.machine_id == call.last_runner,
                "expected_load": runner.expected_load,
                "slots": runner.slots,
                "free_slot": runner.has_free_slot(),
            }
            for runner in self._candidates(call, asyncio.get_running_loop().time())
        ]

    def _candidates(self, call: WaitingCall, now_s: float) -> list[Runner]:
        serving = [
            runner
            for runner in self.table.runners.values()
            if runner.machine.model == call.model and runner.accepts_work(now_s)
        ]
        untried = [r for r in serving if r.machine.machine_id not in call.failed_runners]
        return untried or serving
