"""Failover and catch-up times after a store fault, in virtual time with fixed seeds."""

import random
import unittest
from collections.abc import Callable
from enum import StrEnum

from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.records import Kind
from bendshed.rehearsal.site.sim_world import SimMachine, SiteWorld

SEEDS = range(1, 9)
ELECTION_GOAL_MS = 500
CATCH_UP_GOAL_MS = 2_150
"""Half of the shortest time that the users' sites give a machine to catch up."""
POLL_STEP_S = 0.01
WAIT_LIMIT_S = 20.0
WARM_UP_S = 6.0


class StoreFault(StrEnum):
    """Fault injected into the machine whose replica is the leader."""

    KILL = "killed"
    FREEZE = "frozen"
    WIPE = "restarted with an empty disk"


class FailoverTest(unittest.TestCase):
    def test_another_replica_becomes_leader_in_time(self) -> None:
        for fault in StoreFault:
            with self.subTest(fault=fault):
                times = [self.recovery_times_ms(fault, seed) for seed in SEEDS]
                self.assertLess(max(elected_ms for elected_ms, _ in times), ELECTION_GOAL_MS)

    def test_voters_catch_up_in_time(self) -> None:
        for fault in (StoreFault.KILL, StoreFault.WIPE):
            with self.subTest(fault=fault):
                times = [self.recovery_times_ms(fault, seed) for seed in SEEDS]
                self.assertLess(max(caught_up_ms for _, caught_up_ms in times), CATCH_UP_GOAL_MS)

    def recovery_times_ms(self, fault: StoreFault, seed: int) -> tuple[int, int]:
        """Return the time until another replica leads, and until enough voters have caught up."""
        world = SiteWorld.started(seed)
        try:
            world.run_for(WARM_UP_S + random.Random(seed).random())
            leader = world.leader()
            assert leader is not None
            injected_s = world.loop.time()
            self.inject_fault(world, leader, fault)
            self.wait_for(world, lambda: world.leader() not in (None, leader))
            elected_s = world.loop.time() - injected_s
            self.wait_for(world, lambda: self.is_caught_up(world, leader))
            return round(elected_s * 1000), round((world.loop.time() - injected_s) * 1000)
        finally:
            world.close()

    def inject_fault(self, world: SiteWorld, leader: SimMachine, fault: StoreFault) -> None:
        match fault:
            case StoreFault.KILL:
                world.kill(leader)
            case StoreFault.FREEZE:
                leader.process.paused = True
            case StoreFault.WIPE:
                world.kill(leader)
                leader.lose_disk()
                world.restart(leader)

    def is_caught_up(self, world: SiteWorld, faulty: SimMachine) -> bool:
        """Whether the target number of voters, without the faulty one, hold all committed data."""
        leader = world.leader()
        if leader is None or leader is faulty or leader.replica is None:
            return False
        return leader.replica.supervisor.num_healthy_voters() >= world.layout.num_voters

    def wait_for(self, world: SiteWorld, condition: Callable[[], bool]) -> None:
        """Advance time in steps of ``POLL_STEP_S``, which are shorter than the world's own."""
        deadline_s = world.loop.time() + WAIT_LIMIT_S
        while not condition():
            self.assertLess(world.loop.time(), deadline_s, "not reached")
            world.run_for(POLL_STEP_S)


class FrontFailoverTest(unittest.TestCase):
    """Fronts find the new leader promptly, however many turns wait at them."""

    LONG_PROGRAM = ProgramPlan(turns=30, tools=0)

    def count_answered(self, world: SiteWorld, start_s: float, end_s: float) -> int:
        return sum(
            1
            for request in world.seen.requests
            if request.kind is Kind.TURN
            and request.is_whole
            and request.status == 200
            and start_s <= request.ended_s < end_s
        )

    def test_turn_rate_recovers_soon_after_leader_is_cut_off(self) -> None:
        for seed in (1, 4):
            with self.subTest(seed=seed):
                world = SiteWorld.started(seed)
                self.addCleanup(world.close)
                for _ in range(40):
                    world.start_program(self.LONG_PROGRAM)
                world.run_for(2.0)
                cut_s = world.loop.time()
                self.cut_off_leader(world)
                world.run_for(2.5)
                num_soon = self.count_answered(world, cut_s + 0.4, cut_s + 1.0)
                num_later = self.count_answered(world, cut_s + 1.8, cut_s + 2.4)
                self.assertGreater(num_soon, 0.8 * num_later)

    def cut_off_leader(self, world: SiteWorld) -> None:
        leader = world.leader()
        assert leader is not None
        for machine in [*world.fronts.values(), *world.stores.values()]:
            if machine is not leader:
                pairs = ((machine.host, leader.host), (leader.host, machine.host))
                world.network.cuts.update(pairs)
