"""The founding of the turn log costs the registry few calls."""

import unittest
from unittest import mock

from bendshed.rehearsal.site.sim_registry import SimRegistry
from bendshed.rehearsal.site.sim_world import SiteWorld


class FoundingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.num_reads = 0
        read = SimRegistry.bootstrap_voters

        async def counted(registry: SimRegistry, group_id: int = 0) -> list[str]:
            self.num_reads += 1
            return await read(registry, group_id)

        patch = mock.patch.object(SimRegistry, "bootstrap_voters", counted)
        patch.start()
        self.addCleanup(patch.stop)
        self.world = SiteWorld.started(1)
        self.addCleanup(self.world.close)

    def test_a_store_that_stands_by_does_not_ask_again(self) -> None:
        stores = len(self.world.stores)
        self.assertGreater(stores, len(self.world.registry.voters))
        self.world.run_for(20.0)
        self.assertLessEqual(self.num_reads, 2 * stores)

    def test_a_store_that_comes_later_reads_once(self) -> None:
        self.world.run_for(1.0)
        before = self.num_reads
        self.world.add_machine("store-9", "10.0.1.9", 0, has_disk=True)
        self.world.run_for(10.0)
        self.assertEqual(self.num_reads, before + 1)
