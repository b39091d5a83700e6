"""Simulated connections to runners: bytes behind lost ones do not arrive.

Seen: a turn was answered whole with events missing in its midst (regions, seed 3023). The answer
had been cut off for a moment, and the simulated connection left out what was sent meanwhile.
"""

import logging
import unittest

from bendshed.rehearsal.site.sim_world import SiteWorld
from tests.site_budget_defects import ANSWER_S, SLOW_RUNNER_FACTOR, send_turn


class CutAnswerTest(unittest.TestCase):
    def test_an_answer_that_was_cut_for_a_moment_is_not_whole(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        world = SiteWorld.started(1)
        self.addCleanup(world.close)
        for runner in world.runners.values():
            runner.troubles.slow = SLOW_RUNNER_FACTOR
        turn = send_turn(world, 0)
        world.wait_for(lambda: bool(turn.answer), 3 * ANSWER_S)
        begun = turn.answer
        hosts = [front.host for front in world.fronts.values()]
        world.network.cuts.update((runner, host) for runner in world.runners for host in hosts)
        world.run_for(ANSWER_S)
        world.network.cuts.clear()
        world.run_for(3 * ANSWER_S)
        self.assertEqual((turn.answer, turn.is_whole), (begun, False))
