"""Load pattern: after a power loss callers wait at nodes that have no configuration yet.

Replica machines send a hello to starting nodes, so a node knows a replica to ask 12 to 19 ms after
its start. Formerly it had the configuration only 125 ms (p50) later, since it slept for 50 to
200 ms whenever it knew no replica. The fetch itself takes one round trip and a few ms of reading.

"""

import unittest

from bendshed.rehearsal.site.sim_world import SimMachine, SiteWorld

MAX_FETCH_S = 0.02
"""From the first known replica machine to the configuration in force: a round trip of a few ms."""
STEP_S = 0.001
SEEDS = range(1, 9)


class ConfigurationFetchTest(unittest.TestCase):
    def test_node_fetches_configuration_once_it_knows_a_replica(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = SiteWorld.started(seed)
                self.addCleanup(world.close)
                world.registry.is_down = True
                front = world.fronts["front-1"]
                world.kill(front)
                world.run_for(1.0)
                world.restart(front)
                known_s = self.time_of_first_replica(world, front)
                while front.front is None or front.front.forwarder.index is None:
                    world.run_for(STEP_S)
                self.assertLess(world.loop.time() - known_s, MAX_FETCH_S)

    @staticmethod
    def time_of_first_replica(world: SiteWorld, front: SimMachine) -> float:
        while front.front is None or not front.front.directory.by_name:
            world.run_for(STEP_S)
        return world.loop.time()
