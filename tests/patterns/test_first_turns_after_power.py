"""Load pattern: all machines lost power, and callers return to nodes that know no leader yet.

With 68 nodes and 11 replica machines, five of them voters, a leader was elected 0.22 s after the
power returned. In the next 0.5 s the first turn of each node took 45 to 436 ms to begin (later ones
2.2 ms) and got no placement by the leader: the node tried the replicas in turn, and most of them
neither lead nor know the leader. A program of 1.3 s may lose about 0.5 s.
"""

import unittest
from typing import Any
from unittest import mock

from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.sim_world import SimMachine, SiteWorld
from bendshed.services import attempts, turn_reservation

LEADER_DISCOVERY_S = 0.25
"""Time after an election within which nodes have found the leader without a request."""
MAX_BEGIN_MS = 10.0
"""A begin takes a round trip to the leader and its processing, about 2 ms in these worlds."""
ROUND_TRIPS_S = 0.01
"""Round trips from node to replica: one for the configuration, up to three for the leader."""
STEP_S = 0.001
SEEDS = range(1, 7)


class FirstTurnsTest(unittest.TestCase):
    def setUp(self) -> None:
        patch = mock.patch.object(turn_reservation, "log")
        self.log = patch.start()
        self.addCleanup(patch.stop)

    def begin_log_lines(self) -> list[dict[str, Any]]:
        return [call.kwargs for call in self.log.say.call_args_list if call.args[0] == "turn begun"]

    def begin_turns(self, world: SiteWorld) -> None:
        self.log.reset_mock()
        for _ in range(3 * len(world.fronts)):
            world.start_program(ProgramPlan(turns=1, tools=0))
        world.run_for(2.0)

    def test_nodes_know_the_leader_before_the_first_request(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = SiteWorld.started(seed)
                self.addCleanup(world.close)
                restart_all(world)
                world.wait_for(world.is_led, 2.0)
                world.run_for(LEADER_DISCOVERY_S)
                self.begin_turns(world)
                self.assertTrue(self.begin_log_lines())
                self.assertLess(max(row["took_ms"] for row in self.begin_log_lines()), MAX_BEGIN_MS)
                self.assertTrue(all(row["previewed"] for row in self.begin_log_lines()))

    def test_requests_that_wait_for_a_starting_node_begin_at_once(self) -> None:
        """A leader exists before the nodes start; they find it once they know its replicas."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = SiteWorld.started(seed)
                self.addCleanup(world.close)
                world.registry.is_down = True
                for front in world.fronts.values():
                    world.kill(front)
                world.run_for(1.0)
                for front in world.fronts.values():
                    world.restart(front)
                while not all(knows_routes(front) for front in world.fronts.values()):
                    world.run_for(STEP_S)
                world.run_for(ROUND_TRIPS_S)
                self.begin_turns(world)
                self.assertTrue(self.begin_log_lines())
                self.assertLess(max(row["took_ms"] for row in self.begin_log_lines()), MAX_BEGIN_MS)

    def test_turns_that_waited_for_a_new_leader_follow_its_placement(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed), mock.patch.object(attempts, "log") as log:
                world = SiteWorld.started(seed)
                self.addCleanup(world.close)
                leader = world.leader()
                assert leader is not None
                world.kill(leader)
                self.begin_turns(world)
                dispatches = [
                    call for call in log.say.call_args_list if call.args[0] == "request dispatched"
                ]
                self.assertTrue(dispatches)
                self.assertEqual({call.kwargs["chosen_by"] for call in dispatches}, {"advised"})


def knows_routes(front: SimMachine) -> bool:
    """Whether a node has routes, so that it can serve requests."""
    return front.front is not None and front.front.forwarder.index is not None


def restart_all(world: SiteWorld) -> None:
    """All machines lose power and restart after 1 s."""
    machines = [*world.fronts.values(), *world.stores.values()]
    for machine in machines:
        world.kill(machine)
    world.run_for(1.0)
    for machine in machines:
        world.restart(machine)
