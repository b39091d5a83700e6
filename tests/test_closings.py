"""Sites that lose power as a whole: a short search, and the rules that it judges by."""

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

SEARCHED_WORLDS = 2


class Quiet(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)


class SearchedClosingsTest(Quiet):
    def test_seeds_of_the_search(self) -> None:
        for seed in range(SEARCHED_WORLDS):
            with self.subTest(seed=seed):
                steps = CLOSINGS.random_steps(seed, STEPS_PER_CLOSING)
                world, broken = CLOSINGS.run(seed, steps)
                world.close()
                self.assertEqual(broken, [])


def two_voters_one_loses_its_disk() -> list[Broken]:
    """One of three stores is retired; then all lose power, and one of the two its disk."""
    world = ClosingWorld.opened(1)
    try:
        CLOSINGS.apply(world, Step(Trouble.RETIRE, 0, 1.0))
        assert world.may_lose()
        return world.close_down(world.stores["store-2"])
    finally:
        world.close()


class RulesTest(Quiet):
    def rules(self) -> set[str]:
        return {broken.rule for broken in two_voters_one_loses_its_disk()}

    def test_the_product_passes(self) -> None:
        self.assertEqual(self.rules(), set())

    def test_a_quorum_that_waits_for_a_lost_disk_is_caught(self) -> None:
        with mock.patch.object(raft, "quorum_size", lambda voters, _survivors: voters // 2 + 1):
            self.assertIn(ClosingRule.SERVICE.value, self.rules())

    def test_turns_that_are_not_kept_are_caught(self) -> None:
        with mock.patch.object(TurnLogState, "_store_turn", lambda _state, _finish: None):
            self.assertIn(ClosingRule.STORED.value, self.rules())


class ToleranceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tolerance = Tolerance()

    def test_a_machine_counts_as_lost_until_it_has_caught_up(self) -> None:
        self.tolerance.begin_trouble("a")
        self.assertEqual(self.tolerance.lost(100.0), {"a"})
        self.tolerance.end_trouble("a", 100.0)
        self.assertEqual(self.tolerance.lost(100.0 + CATCH_UP_S - 0.1), {"a"})
        self.assertEqual(self.tolerance.lost(100.0 + CATCH_UP_S), set())

    def test_its_time_begins_anew_after_a_disruption(self) -> None:
        self.tolerance.end_trouble("a", 100.0)
        self.tolerance.begin_disruption(101.0)
        self.assertEqual(self.tolerance.lost(200.0), {"a"})
        self.tolerance.end_disruption(200.0)
        self.assertEqual(self.tolerance.lost(200.0 + CATCH_UP_S - 0.1), {"a"})
        self.assertEqual(self.tolerance.lost(200.0 + CATCH_UP_S), set())

    def test_a_sound_machine_stays_sound_in_a_disruption(self) -> None:
        self.tolerance.end_trouble("a", 100.0)
        self.tolerance.begin_disruption(100.0 + CATCH_UP_S)
        self.assertEqual(self.tolerance.lost(200.0), set())
