"""Without service after a store fault: short, in virtual time and with fixed seeds."""

import random
import unittest
from collections.abc import Callable
from enum import StrEnum

from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.records import Kind
from bendshed.rehearsal.site.sim_world import SimMachine, SiteWorld

SEEDS = range(1, 9)
KILL_GOAL_MS = 500
CATCH_UP_GOAL_MS = 2_150
"""Half of the tightest time that the users' sites give a machine to catch up."""
STEP_S = 0.01
LIMIT_S = 20.0
SETTLE_S = 6.0


class StoreFault(StrEnum):
    """What happens to the machine whose replica leads."""

    KILL = "killed"
    FREEZE = "frozen"
    WIPE = "restarted with an empty disk"


class FailoverTest(unittest.TestCase):
    def test_another_replica_leads_soon(self) -> None:
        for fault in StoreFault:
            with self.subTest(fault=fault):
                times = [self.times_after(fault, seed) for seed in SEEDS]
                self.assertLess(max(led_ms for led_ms, _ in times), KILL_GOAL_MS)

    def test_all_is_on_all_replicas_again_soon(self) -> None:
        for fault in (StoreFault.KILL, StoreFault.WIPE):
            with self.subTest(fault=fault):
                times = [self.times_after(fault, seed) for seed in SEEDS]
                self.assertLess(max(whole_ms for _, whole_ms in times), CATCH_UP_GOAL_MS)

    def times_after(self, fault: StoreFault, seed: int) -> tuple[int, int]:
        """Milliseconds until another replica leads; until all wanted voters hold all committed."""
        world = SiteWorld.started(seed)
        try:
            world.run_for(SETTLE_S + random.Random(seed).random())
            leader = world.leader()
            assert leader is not None
            began_s = world.loop.time()
            self.strike(world, leader, fault)
            self.wait(world, lambda: world.leader() not in (None, leader))
            led_s = world.loop.time() - began_s
            self.wait(world, lambda: self.is_whole(world, leader))
            return round(led_s * 1000), round((world.loop.time() - began_s) * 1000)
        finally:
            world.close()

    def strike(self, world: SiteWorld, leader: SimMachine, fault: StoreFault) -> None:
        match fault:
            case StoreFault.KILL:
                world.kill(leader)
            case StoreFault.FREEZE:
                leader.process.paused = True
            case StoreFault.WIPE:
                world.kill(leader)
                leader.lose_disk()
                world.restart(leader)

    def is_whole(self, world: SiteWorld, struck: SimMachine) -> bool:
        """Whether the wanted number of voters, without the struck one, hold all committed."""
        leader = world.leader()
        if leader is None or leader is struck or leader.replica is None:
            return False
        return leader.replica.supervisor.num_healthy_voters() >= world.layout.num_voters

    def wait(self, world: SiteWorld, condition: Callable[[], bool]) -> None:
        """Let time pass in steps of ``STEP_S``, finer than the world's."""
        until_s = world.loop.time() + LIMIT_S
        while not condition():
            self.assertLess(world.loop.time(), until_s, "not reached")
            world.run_for(STEP_S)


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
