"""A front that lost the turn log sends its clients elsewhere, and is ready again afterwards."""

import unittest

from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.sim_world import SimMachine, SiteWorld


class ReadinessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = SiteWorld.started(1)
        self.addCleanup(self.world.close)
        self.front = self.world.fronts["front-1"]

    def is_ready(self, machine: SimMachine) -> bool:
        async def ask() -> bool:
            assert machine.front is not None
            return machine.front.is_ready

        return bool(
            self.world.loop.run_until_complete(machine.process.spawn(self.world.loop, ask()))
        )

    def test_cut_from_all_stores(self) -> None:
        self.assertTrue(self.is_ready(self.front))
        for store in self.world.stores.values():
            self.world.network.cuts.add((self.front.host, store.host))
        for _ in range(6):
            self.world.start_program(ProgramPlan(turns=1, tools=0))
        self.world.run_for(4.0)
        self.assertFalse(self.is_ready(self.front))
        self.assertTrue(self.is_ready(self.world.fronts["front-2"]))
        self.world.network.cuts.clear()
        self.world.run_for(1.5)
        self.assertTrue(self.is_ready(self.front))

    def test_a_change_of_the_leader_is_no_loss(self) -> None:
        leader = self.world.leader()
        assert leader is not None
        self.world.kill(leader)
        self.world.start_program(ProgramPlan(turns=1, tools=0))
        self.world.run_for(1.2)
        self.assertTrue(all(self.is_ready(front) for front in self.world.fronts.values()))
