"""Without service after a store fault: short, in virtual time and with fixed seeds."""

import unittest

from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.records import Kind
from bendshed.rehearsal.site.sim_world import SiteWorld
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


class FrontsTest(unittest.TestCase):
    """Fronts find the new leader at once, however many turns wait at them."""

    TURNS = ProgramPlan(turns=30, tools=0)

    def answered(self, world: SiteWorld, from_s: float, to_s: float) -> int:
        return sum(
            1
            for request in world.seen.requests
            if request.kind is Kind.TURN
            and request.is_whole
            and request.status == 200
            and from_s <= request.ended_s < to_s
        )

    def test_as_many_turns_are_answered_soon_after_the_leader_fell_silent_as_later(self) -> None:
        for seed in (1, 4):
            with self.subTest(seed=seed):
                world = SiteWorld.started(seed)
                self.addCleanup(world.close)
                for _ in range(40):
                    world.start_program(self.TURNS)
                world.run_for(2.0)
                silent_s = world.loop.time()
                self.silence_the_leader(world)
                world.run_for(2.5)
                soon = self.answered(world, silent_s + 0.4, silent_s + 1.0)
                later = self.answered(world, silent_s + 1.8, silent_s + 2.4)
                self.assertGreater(soon, 0.8 * later)

    def silence_the_leader(self, world: SiteWorld) -> None:
        leader = world.leader()
        assert leader is not None
        for machine in [*world.fronts.values(), *world.stores.values()]:
            if machine is not leader:
                pairs = ((machine.host, leader.host), (leader.host, machine.host))
                world.network.cuts.update(pairs)
