"""Guards against a planned stop that takes the majority from a group.

One disk node of three was killed and another one was stopped. A stream that was running at a third
node delivered all of its tokens and then, after 61 s, failed with group_unavailable, because the
call's group had no majority to commit the outcome. A stopping node waits until its groups have a
majority without it, but it did so only if another disk node could take over its replica, and it
counted voters that had just died.
"""

import logging
import unittest

from bendshed.dispatch.calls import Answered
from bendshed.rehearsal.simulator.callers import PlannedCall
from bendshed.rehearsal.simulator.world import World

ELECTION_TIMEOUT_S = 30.0
STREAM_START_S = 0.3
STREAM_END_S = 5.0
STOP_TIMEOUT_S = 10.0


class PlannedStopTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.world = World.started(1)
        self.addCleanup(self.world.close)

    def test_stream_at_another_node_completes_while_a_disk_node_is_dead(self) -> None:
        world = self.world
        world.kill_node("node-1")
        world.run_for(1.0)
        world.wait_for(world.all_groups_led, ELECTION_TIMEOUT_S)
        program = world.start_program([])
        program.calls.append(call := PlannedCall(1, max_answer_tokens=64))
        request = program.request(call, world.nodes["node-4"].clock.wall_ms())
        pending = world.send(request, "node-4")
        world.run_for(STREAM_START_S)
        world.drain_node("node-2")
        world.run_for(STREAM_END_S)
        self.assertIsInstance(pending.result().outcome, Answered)
        self.assertTrue(world.is_draining("node-2") or not world.nodes["node-2"].is_up)

    def test_installation_that_stops_as_a_whole_does_not_wait(self) -> None:
        for name in self.world.nodes:
            self.world.drain_node(name)
        self.world.run_for(STOP_TIMEOUT_S)
        self.assertEqual([name for name, node in self.world.nodes.items() if node.is_up], [])
