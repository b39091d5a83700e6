"""Decides which waiting call goes to which runner: one readable ``schedule`` step.

Calls wait here and not in the engines. Urgent tenants go first; within a priority the program
that has attained the least service goes first (least attained service, Nuyens 2008), so a long
session does not delay a short alert, and waiting raises a call's priority so that none starves.
"""

import asyncio
import random
from dataclasses import dataclass, field
from typing import Protocol

from bendshed.routing.runners import Runner, RunnerTable

MAX_WAITING = 10_000
"""Calls that may wait on one node; more are refused at once."""
AGING_S_PER_PRIORITY = 10.0
"""A call that has waited this long counts as one priority more urgent."""
RECHECK_S = 0.25
KV_MOVE_COST_REQUESTS = 3.0
"""Leaving the runner that holds the cache must save at least this many queued requests."""


@dataclass(slots=True)
class WaitingCall:
    """A call whose turn has come and that needs a runner.

    Attributes:
        priority: 0 most urgent.
        attained_tokens: tokens that its program has been served already.
        history_tokens: tokens that a runner without the cache must compute again.
        avoid: runners where an attempt of this call failed.
        chosen: resolved with the runner id.

    """

    program_id: str
    model: str
    priority: int
    attained_tokens: int
    history_tokens: int
    arrived_s: float
    last_runner: str
    avoid: frozenset[str]
    chosen: "asyncio.Future[str]" = field(repr=False)

    def urgency(self, now_s: float) -> tuple[float, int, float]:
        """Sort key: lower goes first."""
        aged = self.priority - (now_s - self.arrived_s) / AGING_S_PER_PRIORITY
        return (int(max(0.0, aged)), self.attained_tokens, self.arrived_s)


class PlacementPolicy(Protocol):
    """Chooses a runner for one call."""

    def choose(self, call: WaitingCall, candidates: list[Runner]) -> Runner | None:
        """One of the candidates (they take work and serve the model), or ``None``: wait."""


class CacheAwarePolicy:
    """Expected prefix hit against load, with two random choices against herding."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, call: WaitingCall, candidates: list[Runner]) -> Runner | None:
        """Prefer the runner that holds the cache; ``None``: it is worth waiting for."""
        home = next((r for r in candidates if r.machine.machine_id == call.last_runner), None)
        free = [runner for runner in candidates if runner.has_free_slot()]
        if home is not None and home.has_free_slot():
            return home
        if not free:
            return None
        pair = self._rng.sample(free, min(2, len(free)))
        best = min(pair, key=lambda runner: runner.expected_load / runner.slots)
        if home is not None and call.history_tokens > 0:
            queued = home.expected_load - home.slots + 1
            if queued < KV_MOVE_COST_REQUESTS:
                return None  # worth waiting for the cache
        return best


class Scheduler:
    """Calls that wait for a runner on this node.

    Invariant: a call is handed to a runner only while that runner takes work.
    """

    def __init__(self, table: RunnerTable, policy: PlacementPolicy) -> None:
        self.table = table
        self.waiting: list[WaitingCall] = []
        self._policy = policy

    def try_now(self, call: WaitingCall) -> str:
        """Runner id if one can take the call at once and no call waits; else empty."""
        now_s = asyncio.get_running_loop().time()
        if self.waiting:
            return ""
        runner = self._policy.choose(call, self._candidates(call, now_s))
        return runner.machine.machine_id if runner is not None else ""

    def has_room(self) -> bool:
        """Whether another call may wait."""
        return len(self.waiting) < MAX_WAITING

    def serves(self, model: str) -> bool:
        """Whether any runner that takes work serves the model."""
        now_s = asyncio.get_running_loop().time()
        return any(
            r.machine.model == model and r.accepts_work(now_s) for r in self.table.runners.values()
        )

    async def acquire(self, call: WaitingCall, timeout_s: float) -> str:
        """Wait for a runner; empty when none came in time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        self.waiting.append(call)
        try:
            while not call.chosen.done():
                self.schedule()
                left_s = until - loop.time()
                if call.chosen.done() or left_s <= 0:
                    break
                await asyncio.wait([call.chosen], timeout=min(left_s, RECHECK_S))
            return call.chosen.result() if call.chosen.done() else ""
        finally:
            if call in self.waiting:
                self.waiting.remove(call)

    def schedule(self) -> None:
        """Give every waiting call that can run now its runner, most urgent first."""
        now_s = asyncio.get_running_loop().time()
        # 1. Most urgent first.
        ordered = sorted(self.waiting, key=lambda call: call.urgency(now_s))
        for call in ordered:
            # 2. Runners that take work, serve the model and have not failed this call.
            candidates = self._candidates(call, now_s)
            # 3. The policy picks one of them, or lets the call wait.
            runner = self._policy.choose(call, candidates)
            if runner is None:
                continue
            # 4. Count it at once, so that the next call sees the slot taken.
            runner.own_since_report += 1
            self.waiting.remove(call)
            call.chosen.set_result(runner.machine.machine_id)

    def explain(self, call: WaitingCall) -> list[dict[str, object]]:
        """The runners that fit a call and what speaks for and against each."""
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
        fitting = [
            runner
            for runner in self.table.runners.values()
            if runner.machine.model == call.model and runner.accepts_work(now_s)
        ]
        untried = [r for r in fitting if r.machine.machine_id not in call.avoid]
        return untried or fitting
