"""Stateful fuzzing of a whole simulated installation; the same verdict every time."""

import unittest
from typing import ClassVar

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from bendshed.rehearsal.simulator.fuzz import Action, Fuzzer, Step, read_trace, write_trace
from bendshed.rehearsal.simulator.world import World

EXAMPLES = 25
STEPS = 30
LOAD = (Action.START_PROGRAM, Action.START_BRANCHES, Action.SUBMIT_TWICE)
REPAIR = (Action.ADVANCE, Action.RESTART_NODE, Action.RESUME_NODE, Action.HEAL, Action.STORE_UP)
FAULTS = tuple(action for action in Action if action not in (*LOAD, *REPAIR))

numbers = st.integers(0, 5)
amounts = st.integers(0, 10).map(lambda tenths: tenths / 10)


class InstallationMachine(RuleBasedStateMachine):
    """Load, faults and repairs in any order; at the end everything heals and the oracle judges."""

    world: World | None = None

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed: int) -> None:
        self.world = World.started(seed)
        self.fuzzer = Fuzzer(self.world)

    @rule(action=st.sampled_from(LOAD), which=numbers, amount=amounts)
    def load(self, action: Action, which: int, amount: float) -> None:
        self.fuzzer.apply(Step(action, which, amount))

    @rule(action=st.sampled_from(FAULTS), which=numbers, amount=amounts)
    def fault(self, action: Action, which: int, amount: float) -> None:
        self.fuzzer.apply(Step(action, which, amount))

    @rule(action=st.sampled_from(REPAIR), which=numbers, amount=amounts)
    def repair(self, action: Action, which: int, amount: float) -> None:
        self.fuzzer.apply(Step(action, which, amount))

    def teardown(self) -> None:
        if self.world is None:
            return
        try:
            violations = self.world.settle()
            assert not violations, violations
        finally:
            self.world.close()


class FuzzTest(InstallationMachine.TestCase):  # type: ignore[misc]
    settings: ClassVar = settings(
        max_examples=EXAMPLES,
        stateful_step_count=STEPS,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )


class TraceTest(unittest.TestCase):
    def test_a_written_trace_reads_back(self) -> None:
        steps = [Step(Action.KILL_NODE, 3, 0.25), Step(Action.ADVANCE, 0, 1.0)]
        self.assertEqual(read_trace(write_trace(7, steps)), (7, steps))
