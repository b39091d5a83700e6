"""A disk that stalls for seconds delays no commit while a majority of disks works."""

import unittest

from bendshed.consensus.stall import MAX_MEAN_TICK_DELAY_S, TICK_WINDOW, Stall, StallDetector
from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.sim_world import SimMachine, SiteWorld

STALL_S = 4.0
PROGRAM_S = 1.5
"""Two turns and a call take half a second here; the rest bounds the delay caused by a stall."""


class DiskStallTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = SiteWorld.started(4)
        self.addCleanup(self.world.close)
        self.world.run_for(1.0)

    def stall(self, store: SimMachine) -> None:
        assert store.disk is not None
        store.disk.commit_s = STALL_S

    def leader(self) -> SimMachine:
        leader = self.world.leader()
        assert leader is not None
        return leader

    def voters(self) -> list[SimMachine]:
        replica = self.leader().replica
        assert replica is not None
        ids = set(replica.host.groups[0].replica.membership.voters)
        return [
            store
            for store in self.world.stores.values()
            if store.replica is not None and store.replica.host.node_id in ids
        ]

    def assert_serves(self) -> None:
        programs = [self.world.start_program(ProgramPlan(turns=2, tools=1)) for _ in range(5)]
        self.world.run_for(PROGRAM_S)
        self.assertTrue(all(program.finished for program in programs))
        statuses = {status for program in programs for status in program.statuses}
        self.assertEqual(statuses, {200})

    def test_a_stalled_leader_still_commits_through_the_others(self) -> None:
        self.stall(self.leader())
        self.assert_serves()

    def test_stalled_leader_transfers_leadership(self) -> None:
        before = self.leader()
        self.stall(before)
        self.world.start_program(ProgramPlan(turns=20, tools=0), budget_tokens=100_000)
        self.world.run_for(1.5)
        self.assertIsNot(self.leader(), before)
        self.assert_serves()

    def test_single_late_tick_is_no_loop_stall(self) -> None:
        detector = StallDetector()
        for delay_s in (0.0,) * 39 + (2.0,):
            detector.record_tick(delay_s)
        self.assertIsNone(detector.detect(0.0))
        for _ in range(TICK_WINDOW):
            detector.record_tick(MAX_MEAN_TICK_DELAY_S)
        self.assertIs(detector.detect(0.0), Stall.LOOP)

    def test_stalled_follower_does_not_delay_commits(self) -> None:
        self.stall(next(store for store in self.voters() if store is not self.leader()))
        self.assert_serves()

    def test_nothing_is_acknowledged_without_a_majority_of_disks(self) -> None:
        for store in self.voters()[:2]:
            self.stall(store)
        program = self.world.start_program(ProgramPlan(turns=2, tools=0))
        self.world.run_for(PROGRAM_S)
        self.assertFalse(program.finished)


if __name__ == "__main__":
    unittest.main()
