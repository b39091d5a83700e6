"""Guards against two stores that lead one group at once after reading older announcements.

Both stores had lost their disks, one after the other, and were voters again. Then all lost power,
the registry listed older announcements, and the identities known as lost were not on the disks.
Each store took the older announcement of the other for a newer identity, counted the live identity
as lost (each held it among its lost ones), and elected itself with its own vote only. Two leaders
answered turns, and a program got more tokens than its budget.
"""

import logging
import unittest
from dataclasses import replace

from bendshed.catalog.codec import decode_stored, encode_stored
from bendshed.ports.registry import ReplicaNode
from bendshed.rehearsal.site.layout import SiteLayout
from bendshed.rehearsal.site.sim_world import SiteWorld

TWO_STORES = SiteLayout(
    front_zones=("zone-a", "zone-b", "zone-c"),
    store_zones=("zone-a", "zone-b"),
    num_voters=3,
    has_tenants=False,
)
CATCH_UP_S = 12.0
POWER_OFF_S = 0.5
OBSERVATION_S = 3.0
SAMPLE_INTERVAL_S = 0.01


class FrozenAnnouncements(dict[str, ReplicaNode]):
    """Ignores new announcements, so that the registry keeps listing older ones."""

    def __setitem__(self, _name: str, _node: ReplicaNode) -> None:
        return


def leaders(world: SiteWorld) -> list[str]:
    groups = {n: s.replica.host.groups for n, s in world.stores.items() if s.replica is not None}
    return [n for n, held in groups.items() if 0 in held and held[0].replica.is_ready_leader]


class OlderAnnouncementsTest(unittest.TestCase):
    def simulate(self, seed: int, keeps_lost: bool) -> tuple[int, int]:
        """Return the largest number of simultaneous leaders, and the number at the end."""
        world = SiteWorld.started(seed, TWO_STORES)
        self.addCleanup(world.close)
        world.run_for(CATCH_UP_S)
        announcements = FrozenAnnouncements(world.registry.announced)
        for _, store in sorted(world.stores.items()):
            world.kill(store)
            store.lose_disk()
            world.restart(store)
            world.run_for(CATCH_UP_S)
        for store in world.stores.values():
            world.kill(store)
            if not keeps_lost and store.disk is not None:
                stored = decode_stored(store.disk.catalog)
                store.disk.catalog = encode_stored(replace(stored, lost=()))
        world.registry.announced = announcements
        world.run_for(POWER_OFF_S)
        for store in world.stores.values():
            world.restart(store)
        max_leaders = 0
        for _ in range(int(OBSERVATION_S / SAMPLE_INTERVAL_S)):
            world.run_for(SAMPLE_INTERVAL_S)
            max_leaders = max(max_leaders, len(leaders(world)))
        return max_leaders, len(leaders(world))

    def test_at_most_one_store_leads_at_a_time(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        results = [
            self.simulate(seed, keeps_lost) for seed in (1, 2, 3) for keeps_lost in (True, False)
        ]
        self.assertEqual(results, [(1, 1)] * 6)
