"""Load of runners that leaders of different groups report to each other."""

import random
import unittest

from bendshed.model.address import Address
from bendshed.model.runner import RunnerState, ServiceRunner
from bendshed.placement.cluster_load import ClusterLoad, Placed
from bendshed.placement.peer_loads import (
    MAX_REPORTED_TURNS,
    NO_LOAD,
    REPORT_VALID_S,
    LoadSummary,
    PeerLoads,
)
from bendshed.placement.turn_demand import TurnDemand
from bendshed.rehearsal.site.layout import TWO_REGIONS
from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.sim_world import SiteWorld

RUNNERS = [
    ServiceRunner(name, "s", Address("h", number), "z", 4, RunnerState.READY)
    for number, name in enumerate("ab")
]


class PeerLoadsTest(unittest.TestCase):
    def test_the_latest_report_of_each_leader_counts(self) -> None:
        loads = PeerLoads()
        loads.apply_report("x", 5, [("a", LoadSummary(2, 20))], 0.0)
        loads.apply_report("y", 1, [("a", LoadSummary(3, 30))], 0.0)
        self.assertEqual(loads.load_of("a", 0.1), LoadSummary(5, 50))
        loads.apply_report("x", 4, [("a", LoadSummary(9, 90))], 0.2)
        self.assertEqual(loads.load_of("a", 0.2), LoadSummary(5, 50))
        loads.apply_report("x", 6, [], 0.3)
        self.assertEqual(loads.load_of("a", 0.3), LoadSummary(3, 30))

    def test_an_expired_report_is_ignored(self) -> None:
        loads = PeerLoads()
        loads.apply_report("x", 5, [("a", LoadSummary(2, 20))], 0.0)
        self.assertEqual(loads.load_of("a", REPORT_VALID_S), NO_LOAD)

    def test_the_turns_of_a_report_are_capped(self) -> None:
        loads = PeerLoads()
        loads.apply_report("x", 5, [("a", LoadSummary(10_000, 20))], 0.0)
        self.assertEqual(loads.load_of("a", 0.0).num_running, MAX_REPORTED_TURNS)

    def test_a_placement_avoids_runners_filled_by_other_leaders(self) -> None:
        for full, free in (("a", "b"), ("b", "a")):
            load = ClusterLoad(random.Random(1))
            load.peer_loads.apply_report("x", 1, [(full, LoadSummary(4, 0))], 0.0)
            demand = TurnDemand("t", "line", (), max_answer_tokens=10, time_left_s=3.0, zone="z")
            placed = load.place(demand, RUNNERS, 50_000, 0.0)
            assert isinstance(placed, Placed)
            self.assertEqual(placed.runner_id, free)

    def test_leaders_of_two_regions_receive_each_others_loads(self) -> None:
        world = SiteWorld.started(1, TWO_REGIONS)
        self.addCleanup(world.close)
        for runner in world.runners.values():
            runner.troubles.slow = 8.0
        for _ in range(12):
            world.start_program(ProgramPlan(turns=4, tools=0), budget_tokens=100_000)
        world.run_for(0.8)
        leaders = [world.leader(group) for group in range(2)]
        loads = [leader.replica._load_exchange._cluster_load for leader in leaders]  # type: ignore[union-attr]
        now_s = world.loop.time()
        for load, other in (loads, reversed(loads)):
            known = sum(load.peer_loads.load_of(name, now_s).num_running for name in world.runners)
            self.assertGreater(known, 0)
            self.assertLessEqual(known, other.num_running + 12)


if __name__ == "__main__":
    unittest.main()
