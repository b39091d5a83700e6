"""Turn log client in fronts: logging of a loss of the turn log and its end."""

import unittest
from unittest import mock

from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.sim_world import SiteWorld
from bendshed.turns import client as turn_client


class LossTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = SiteWorld.started(1)
        self.addCleanup(self.world.close)
        patch = mock.patch.object(turn_client, "log")
        self.log = patch.start()
        self.addCleanup(patch.stop)

    def logged(self) -> list[str]:
        return [call.args[0] for call in self.log.say.call_args_list]

    def test_leader_change_is_not_logged_as_loss(self) -> None:
        leader = self.world.leader()
        assert leader is not None
        self.world.kill(leader)
        for _ in range(6):
            self.world.start_program(ProgramPlan(turns=2, tools=0))
        self.world.run_for(4.0)
        self.assertEqual(self.logged(), [])

    def test_loss_and_recovery_are_logged_once(self) -> None:
        front = self.world.fronts["front-1"]
        for other in [*self.world.stores.values(), *self.world.fronts.values()]:
            if other is not front:
                self.world.network.cuts.add((front.host, other.host))
        for _ in range(9):
            self.world.start_program(ProgramPlan(turns=1, tools=0))
        self.world.run_for(4.0)
        self.world.network.cuts.clear()
        self.world.run_for(4.0)
        self.assertEqual(
            self.logged(),
            ["turn log lost: no replica answers", "turn log regained: a replica answered"],
        )
