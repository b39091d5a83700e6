"""Without service after a store fault: short, in virtual time and with fixed seeds."""

import unittest

from bendshed.rehearsal.site.times import StoreFault, measure

SEEDS = range(1, 9)
KILL_GOAL_MS = 500
CATCH_UP_GOAL_MS = 2_150
"""Half of the tightest time that the users' sites give a machine to catch up."""


class FailoverTest(unittest.TestCase):
    def test_another_replica_leads_soon(self) -> None:
        for fault in (StoreFault.KILL, StoreFault.FREEZE, StoreFault.WIPE):
            with self.subTest(fault=fault):
                self.assertLess(max(measure(fault, SEEDS).without_leader_ms), KILL_GOAL_MS)

    def test_all_is_on_all_replicas_again_soon(self) -> None:
        for fault in (StoreFault.KILL, StoreFault.WIPE):
            with self.subTest(fault=fault):
                self.assertLess(max(measure(fault, SEEDS).until_whole_ms), CATCH_UP_GOAL_MS)
