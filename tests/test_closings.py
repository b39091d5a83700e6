"""Sites that lose power as a whole: a short search, and the rules that it checks."""

import logging
import unittest
from unittest import mock

from bendshed.consensus import raft
from bendshed.rehearsal.search import Step
from bendshed.rehearsal.site.closing_rules import Broken, ClosingRule
from bendshed.rehearsal.site.closing_world import ClosingWorld
from bendshed.rehearsal.site.closings import CLOSINGS, STEPS_PER_CLOSING, Trouble
from bendshed.rehearsal.site.sim_world import CATCH_UP_S
from bendshed.rehearsal.site.tolerance import Tolerance
from bendshed.turns.state import TurnLogState

NUM_SEEDS = 2


class SilentLogsTestCase(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)


class SeededClosingsTest(SilentLogsTestCase):
    def test_seeded_closings(self) -> None:
        for seed in range(NUM_SEEDS):
            with self.subTest(seed=seed):
                steps = CLOSINGS.random_steps(seed, STEPS_PER_CLOSING)
                world, broken = CLOSINGS.run(seed, steps)
                world.close()
                self.assertEqual(broken, [])


def close_after_retirement_with_a_lost_disk() -> list[Broken]:
    """One of three stores is retired; then all lose power, and one of the other two its disk."""
    world = ClosingWorld.opened(1)
    try:
        CLOSINGS.apply(world, Step(Trouble.RETIRE, 0, 1.0))
        assert world.may_lose()
        return world.close_down(world.stores["store-2"])
    finally:
        world.close()


class ClosingRulesTest(SilentLogsTestCase):
    def violated_rules(self) -> set[str]:
        return {broken.rule for broken in close_after_retirement_with_a_lost_disk()}

    def test_unmodified_code_violates_no_rule(self) -> None:
        self.assertEqual(self.violated_rules(), set())

    def test_a_quorum_that_waits_for_a_lost_disk_is_detected(self) -> None:
        with mock.patch.object(raft, "quorum_size", lambda voters, _survivors: voters // 2 + 1):
            self.assertIn(ClosingRule.SERVICE.value, self.violated_rules())

    def test_turns_that_are_not_stored_are_detected(self) -> None:
        with mock.patch.object(TurnLogState, "_store_turn", lambda _state, _finish: None):
            self.assertIn(ClosingRule.STORED.value, self.violated_rules())


class ToleranceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tolerance = Tolerance()

    def test_a_machine_counts_as_lost_until_it_has_caught_up(self) -> None:
        self.tolerance.begin_trouble("a")
        self.assertEqual(self.tolerance.lost(100.0), {"a"})
        self.tolerance.end_trouble("a", 100.0)
        self.assertEqual(self.tolerance.lost(100.0 + CATCH_UP_S - 0.1), {"a"})
        self.assertEqual(self.tolerance.lost(100.0 + CATCH_UP_S), set())

    def test_catching_up_restarts_after_a_disruption(self) -> None:
        self.tolerance.end_trouble("a", 100.0)
        self.tolerance.begin_disruption(101.0)
        self.assertEqual(self.tolerance.lost(200.0), {"a"})
        self.tolerance.end_disruption(200.0)
        self.assertEqual(self.tolerance.lost(200.0 + CATCH_UP_S - 0.1), {"a"})
        self.assertEqual(self.tolerance.lost(200.0 + CATCH_UP_S), set())

    def test_a_caught_up_machine_is_not_lost_in_a_disruption(self) -> None:
        self.tolerance.end_trouble("a", 100.0)
        self.tolerance.begin_disruption(100.0 + CATCH_UP_S)
        self.assertEqual(self.tolerance.lost(200.0), set())
