"""Updates of the catalog cross regions once, through one replica machine of each region."""

import unittest
from collections import Counter
from unittest import mock

from bendshed.catalog import demand, follower
from bendshed.catalog.reader_choice import RequestingNode, choose_catalog_source
from bendshed.catalog.server import CATALOG_METHOD
from bendshed.identifiers import rendezvous_rank
from bendshed.model.address import Address
from bendshed.model.places import Distance, Places
from bendshed.ports.registry import ReplicaNode
from bendshed.rehearsal.site.documents import make_document
from bendshed.rehearsal.site.layout import two_zones_a_region
from bendshed.rehearsal.site.sim_world import APPLY_S, TIMES, SimMachine, SiteWorld

PLACES = Places({"zone-a": "east", "zone-b": "east", "zone-c": "west", "zone-d": "west"})
NUM_FRONTS = 8
SIMULATED_S = 8.0


def replica(name: str, zone: str) -> ReplicaNode:
    return ReplicaNode(name, name, Address(name, 7000), zone)


class ChoiceTest(unittest.TestCase):
    """Four replica machines by rank, alternating between east and west."""

    def setUp(self) -> None:
        self.ranked = [
            replica("e1", "zone-a"),
            replica("w1", "zone-c"),
            replica("e2", "zone-b"),
            replica("w2", "zone-d"),
        ]

    def source_of(self, name: str, zone: str, avoided: str = "", places: Places = PLACES) -> str:
        is_replica = any(node.name == name for node in self.ranked)
        requester = RequestingNode(Address(name, 7000), zone, places, is_replica)
        avoided_addresses = {Address(host, 7000) for host in avoided.split()}
        found = choose_catalog_source(requester, self.ranked, avoided_addresses)
        return found.host if found is not None else ""

    def test_first_by_rank_reads_and_the_other_region_follows_it(self) -> None:
        self.assertEqual(self.source_of("e1", "zone-a"), "")
        self.assertEqual(self.source_of("e2", "zone-b"), "e1")
        self.assertEqual(self.source_of("w1", "zone-c"), "e1")
        self.assertEqual(self.source_of("w2", "zone-d"), "w1")

    def test_fronts_follow_the_first_of_their_region(self) -> None:
        self.assertEqual(self.source_of("front", "zone-b"), "e1")
        self.assertEqual(self.source_of("front", "zone-d"), "w1")
        self.assertEqual(self.source_of("front", "zone-d", "w1"), "w2")
        self.assertEqual(self.source_of("front", "zone-d", "w1 w2"), "e1")

    def test_next_by_rank_reads_for_both_regions_when_the_reader_is_avoided(self) -> None:
        self.assertEqual(self.source_of("w1", "zone-c", "e1"), "")
        self.assertEqual(self.source_of("e1", "zone-a", "e1"), "e2")
        self.assertEqual(self.source_of("e2", "zone-b", "e1"), "w1")
        self.assertEqual(self.source_of("w2", "zone-d", "e1"), "w1")

    def test_without_regions_all_follow_the_first(self) -> None:
        for name, zone in (("e2", "zone-b"), ("w1", "zone-c"), ("w2", "zone-d"), ("f", "zone-d")):
            self.assertEqual(self.source_of(name, zone, places=Places()), "e1")
        self.assertEqual(self.source_of("e1", "zone-a", places=Places()), "")

    def test_requests_never_form_a_cycle(self) -> None:
        """With any machines avoided, following the sources ends at a machine that has none."""
        zones = {node.name: node.zone for node in self.ranked}
        for lost in ("", "e1", "w1", "e1 w1", "e1 e2", "e1 w1 e2"):
            for start in zones:
                if start in lost.split():
                    continue
                name, num_hops = start, 0
                while name and num_hops < 5:
                    name = self.source_of(name, zones[name], lost)
                    num_hops += 1
                self.assertLess(num_hops, 5, f"{start} with {lost} lost")


class RegionsTest(unittest.TestCase):
    """Eight fronts and four replica machines in two regions, 30 ms apart one way."""

    def setUp(self) -> None:
        patch = mock.patch.object(demand, "MIN_SHARED_REQUESTERS", 1)
        patch.start()
        self.addCleanup(patch.stop)
        self.world = SiteWorld.started(3, two_zones_a_region(NUM_FRONTS))
        self.addCleanup(self.world.close)
        self.world.run_for(3.0)

    def machines(self) -> dict[str, SimMachine]:
        machines = [*self.world.fronts.values(), *self.world.stores.values()]
        return {machine.host: machine for machine in machines}

    def ranked(self) -> list[SimMachine]:
        names = rendezvous_rank(CATALOG_METHOD, self.world.stores)
        return [self.world.stores[name] for name in names]

    def regional_reader(self) -> SimMachine:
        reader = self.ranked()[0]
        return next(m for m in self.ranked() if self.is_far(m, reader))

    @staticmethod
    def is_far(machine: SimMachine, other: SimMachine) -> bool:
        return PLACES.distance(machine.zone, other.zone) is Distance.OTHER_REGION

    def requests_across_regions(self) -> Counter[str]:
        """Number of catalog requests that each machine sent to the other region."""
        machines = self.machines()
        found: Counter[str] = Counter()
        for (source, target, method), num in self.world.network.num_sent.items():
            is_far = self.is_far(machines[source], machines[target])
            if method == CATALOG_METHOD and is_far:
                found[source] += num
        return found

    def versions(self) -> set[int]:
        found = set()
        for front in self.world.fronts.values():
            assert front.front is not None and front.front.forwarder.index is not None
            found.add(front.front.forwarder.index.document.version)
        return found

    def are_fresh(self) -> bool:
        fronts = [machine.front for machine in self.world.fronts.values()]
        return all(front is not None and front.catalog.is_fresh for front in fronts)

    def change(self) -> int:
        version = self.world.document.version + 1
        self.world.document = make_document(version)
        return version

    def test_without_faults_only_the_regional_reader_requests_across_regions(self) -> None:
        self.world.network.num_sent.clear()
        self.world.run_for(SIMULATED_S)
        requests = self.requests_across_regions()
        self.assertEqual(set(requests), {self.regional_reader().host})
        most = SIMULATED_S / (follower.REGIONAL_READER_SHARE * TIMES.interval_s)
        self.assertLessEqual(requests[self.regional_reader().host], most + 2)

    def test_all_stay_fresh_without_faults(self) -> None:
        for _ in range(100):
            self.world.run_for(0.1)
            self.assertTrue(self.are_fresh())

    def test_change_is_applied_everywhere_soon(self) -> None:
        version = self.change()
        self.world.run_for(0.6)
        self.assertEqual(self.versions(), {version})

    def test_regional_reader_without_the_registry_still_serves_its_fronts(self) -> None:
        reader = self.regional_reader()
        self.world.network.cuts.add(("registry", reader.host))
        self.world.run_for(1.0)
        for front in self.world.fronts.values():
            self.world.network.cuts.add(("registry", front.host))
        version = self.change()
        self.world.network.num_sent.clear()
        self.world.run_for(0.3 * APPLY_S)
        self.assertEqual(self.versions(), {version})
        fronts = {machine.host for machine in self.world.fronts.values()}
        self.assertEqual(fronts & set(self.requests_across_regions()), set())
        num_sent = sum(self.world.network.num_sent.values())
        self.assertLess(num_sent, 3_000)

    def test_next_of_the_region_replaces_a_dead_regional_reader(self) -> None:
        reader = self.regional_reader()
        self.world.kill(reader)
        self.world.run_for(3.0)
        version = self.change()
        self.world.network.num_sent.clear()
        self.world.run_for(4.0)
        self.assertEqual(self.versions(), {version})
        self.assertTrue(self.are_fresh())
        stores = {machine.host for machine in self.world.stores.values()}
        self.assertLessEqual(set(self.requests_across_regions()), stores)

    def test_change_is_applied_in_time_when_the_reader_loses_the_registry(self) -> None:
        self.world.network.cuts.add(("registry", self.ranked()[0].host))
        version = self.change()
        self.world.run_for(0.75 * APPLY_S)
        self.assertEqual(self.versions(), {version})
        self.world.run_for(3.0)
        self.assertTrue(self.are_fresh())

    def test_change_is_applied_in_time_when_regions_are_partitioned(self) -> None:
        machines = self.machines()
        for host, machine in machines.items():
            for other_host, other in machines.items():
                if self.is_far(machine, other):
                    self.world.network.cuts.add((host, other_host))
        version = self.change()
        self.world.run_for(0.75 * APPLY_S)
        self.assertEqual(self.versions(), {version})
        self.world.network.cuts.clear()
        self.world.run_for(10.0)
        self.assertTrue(self.are_fresh())

    def test_front_that_is_cut_off_is_not_named_as_a_relay(self) -> None:
        front = self.world.fronts["front-1"]
        for store in self.world.stores.values():
            pairs = ((store.host, front.host), (front.host, store.host))
            self.world.network.cuts.update(pairs)
        self.world.run_for(6.0)
        for other in self.world.fronts.values():
            assert other.front is not None
            if other is not front:
                self.assertNotIn(front.host, [peer.host for peer in other.front.catalog.fronts])
        assert front.front is not None
        self.assertTrue(front.front.catalog.fronts)


class SmallSiteTest(unittest.TestCase):
    """Neither region alone has enough nodes for shared reads; both together have."""

    def test_nodes_of_both_regions_count_together(self) -> None:
        world = SiteWorld.started(3, two_zones_a_region(demand.MIN_SHARED_REQUESTERS))
        self.addCleanup(world.close)
        world.run_for(4.0)
        for front in world.fronts.values():
            assert front.front is not None
            self.assertTrue(front.front.catalog.is_fresh, front.name)


if __name__ == "__main__":
    unittest.main()
