"""Stateful fuzzing of a simulated site; the same verdict every time."""

import logging
import unittest
from typing import ClassVar

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from bendshed.rehearsal.site.fuzz import CALM, Action, SiteFuzzer, Step, random_steps, run_world
from bendshed.rehearsal.site.sim_world import SiteWorld

EXAMPLES = 15
STEPS = 25
SEARCHED_WORLDS = 8
FAULTS = tuple(action for action in Action if action not in CALM)

numbers = st.integers(0, 5)
amounts = st.integers(0, 10).map(lambda tenths: tenths / 10)


class SiteMachine(RuleBasedStateMachine):
    """Load, faults and repairs in any order; at the end everything heals and the oracle judges."""

    world: SiteWorld | None = None

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed: int) -> None:
        self.world = SiteWorld.started(seed)
        self.fuzzer = SiteFuzzer(self.world)

    @rule(action=st.sampled_from(FAULTS), which=numbers, amount=amounts)
    def fault(self, action: Action, which: int, amount: float) -> None:
        self.fuzzer.apply(Step(action, which, amount))

    @rule(action=st.sampled_from(CALM), which=numbers, amount=amounts)
    def calm(self, action: Action, which: int, amount: float) -> None:
        self.fuzzer.apply(Step(action, which, amount))

    def teardown(self) -> None:
        if self.world is None:
            return
        try:
            violations = self.world.settle()
            assert not violations, violations
        finally:
            self.world.close()


class SiteFuzzTest(SiteMachine.TestCase):  # type: ignore[misc]
    settings: ClassVar = settings(
        max_examples=EXAMPLES,
        stateful_step_count=STEPS,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )


class SearchedWorldsTest(unittest.TestCase):
    def test_seeds_of_the_search(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        for seed in range(SEARCHED_WORLDS):
            with self.subTest(seed=seed):
                world, violations = run_world(seed, random_steps(seed, 40))
                world.close()
                self.assertEqual(violations, [])
