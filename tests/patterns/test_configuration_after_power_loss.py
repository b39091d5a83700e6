"""Load pattern: all machines lost power, and callers wait at nodes that know no configuration yet.

Grounds for the figures: replica machines greet nodes that start, so a node knows whom to ask 12 to
19 ms after it has started; it had the configuration 125 ms (p50) after that, since it slept for 50
to 200 ms whenever nobody was known. The whole way is one round trip and some ms of reading.

"""

import unittest

from bendshed.rehearsal.site.sim_world import SimMachine, SiteWorld

MAX_FETCH_S = 0.02
"""From the first replica machine known to the configuration in force: a round trip of some ms."""
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
