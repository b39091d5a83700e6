"""A front that lost the turn log sends its clients elsewhere, and is ready again afterwards."""

import unittest

from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.sim_world import SimMachine, SiteWorld

AT_ONCE_S = 0.05


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

    def cut_from(self, others: list[SimMachine]) -> None:
        for other in others:
            self.world.network.cuts.add((self.front.host, other.host))

    def test_cut_from_all_stores_it_serves_through_other_fronts(self) -> None:
        self.cut_from(list(self.world.stores.values()))
        for _ in range(6):
            self.world.start_program(ProgramPlan(turns=3, tools=0))
        self.world.run_for(4.0)
        self.assertTrue(all(program.finished for program in self.world.programs))
        self.assertEqual({r.status for r in self.world.seen.requests}, {200})
        self.assertTrue(self.is_ready(self.front))

    def test_cut_from_everybody_it_is_not_ready_until_the_cut_has_healed(self) -> None:
        self.assertTrue(self.is_ready(self.front))
        fronts = [front for front in self.world.fronts.values() if front is not self.front]
        self.cut_from([*self.world.stores.values(), *fronts])
        for _ in range(6):
            self.world.start_program(ProgramPlan(turns=1, tools=0))
        self.world.run_for(4.0)
        self.assertFalse(self.is_ready(self.front))
        self.assertTrue(self.is_ready(self.world.fronts["front-2"]))
        self.world.network.cuts.clear()
        self.world.run_for(1.5)
        self.assertTrue(self.is_ready(self.front))

    def test_cut_from_everybody_it_refuses_turns_at_once(self) -> None:
        fronts = [front for front in self.world.fronts.values() if front is not self.front]
        self.cut_from([*self.world.stores.values(), *fronts])
        for _ in range(6):
            self.world.start_program(ProgramPlan(turns=1, tools=0))
        self.world.run_for(4.0)
        before = len(self.world.seen.requests)
        for _ in range(6):
            self.world.start_program(ProgramPlan(turns=1, tools=0))
        self.world.run_for(1.0)
        here = [r for r in self.world.seen.requests[before:] if r.node == self.front.name]
        self.assertTrue(here)
        for request in here:
            self.assertEqual(request.status, 503)
            self.assertLess(request.ended_s - request.sent_s, AT_ONCE_S)

    def test_a_change_of_the_leader_is_no_loss(self) -> None:
        leader = self.world.leader()
        assert leader is not None
        self.world.kill(leader)
        self.world.start_program(ProgramPlan(turns=1, tools=0))
        self.world.run_for(1.2)
        self.assertTrue(all(self.is_ready(front) for front in self.world.fronts.values()))
