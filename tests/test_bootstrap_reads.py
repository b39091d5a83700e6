"""Bootstrapping the turn log takes few registry reads."""

import unittest
from unittest import mock

from bendshed.rehearsal.site.sim_registry import SimRegistry
from bendshed.rehearsal.site.sim_world import SiteWorld


class BootstrapReadsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.num_reads = 0
        read = SimRegistry.bootstrap_voters

        async def count_read(registry: SimRegistry, group_id: int = 0) -> list[str]:
            self.num_reads += 1
            return await read(registry, group_id)

        patch = mock.patch.object(SimRegistry, "bootstrap_voters", count_read)
        patch.start()
        self.addCleanup(patch.stop)
        self.world = SiteWorld.started(1)
        self.addCleanup(self.world.close)

    def test_standby_store_does_not_read_again(self) -> None:
        num_stores = len(self.world.stores)
        self.assertGreater(num_stores, len(self.world.registry.voters))
        self.world.run_for(20.0)
        self.assertLessEqual(self.num_reads, 2 * num_stores)

    def test_store_that_joins_later_reads_once(self) -> None:
        self.world.run_for(1.0)
        reads_before = self.num_reads
        self.world.add_machine("store-9", "10.0.1.9", 0, has_disk=True)
        self.world.run_for(10.0)
        self.assertEqual(self.num_reads, reads_before + 1)
