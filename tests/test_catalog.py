"""The catalog of replica machines: changes by revision, storage, and shared registry reads."""

import unittest
from unittest import mock

from bendshed.catalog import demand, follower
from bendshed.catalog.codec import StoredCatalog, decode_stored, encode_stored
from bendshed.catalog.known_fronts import KnownFronts
from bendshed.catalog.server import CATALOG_METHOD
from bendshed.catalog.state import MAX_REMOVED, Catalog, KnownRunner
from bendshed.identifiers import rendezvous_rank
from bendshed.model.address import Address
from bendshed.model.runner import RunnerState, ServiceRunner
from bendshed.ports.registry import ReplicaNode
from bendshed.rehearsal.site.documents import make_document
from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.sim_world import APPLY_S, SimMachine, SiteWorld


def known(name: str, revision: int, state: RunnerState = RunnerState.READY) -> KnownRunner:
    return KnownRunner(
        ServiceRunner(name, "engines", Address("10.0.3.1", 80), "zone-a", 8, state), revision
    )


class CatalogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.catalog = Catalog()
        self.catalog.replace_runners([known("a", 3), known("b", 5)], revision=6, last_resort_s=0.0)

    def test_requester_without_revision_gets_the_full_list(self) -> None:
        changes = self.catalog.changes_since(0)
        self.assertEqual((changes.since, changes.revision, len(changes.runners)), (0, 6, 2))

    def test_requester_gets_only_changes_since_its_revision(self) -> None:
        self.catalog.put_runner(known("b", 8, RunnerState.DRAINING))
        self.catalog.remove_runner("a", 9, last_resort_s=0.0)
        self.catalog.advance(9)
        changes = self.catalog.changes_since(6)
        self.assertEqual((changes.since, changes.revision), (6, 9))
        self.assertEqual([k.runner.runner_id for k in changes.runners], ["b"])
        self.assertEqual([gone.runner_id for gone in changes.removed], ["a"])
        self.assertEqual(self.catalog.changes_since(9).runners, ())

    def test_revision_before_the_first_list_gets_the_full_list(self) -> None:
        self.assertEqual(self.catalog.changes_since(4).since, 0)

    def test_revision_before_the_oldest_removal_gets_the_full_list(self) -> None:
        for number in range(MAX_REMOVED + 1):
            self.catalog.put_runner(known(f"r{number}", 10 + 2 * number))
            self.catalog.remove_runner(f"r{number}", 11 + 2 * number, last_resort_s=0.0)
        self.catalog.advance(20 + 2 * MAX_REMOVED)
        self.assertEqual(self.catalog.changes_since(10).since, 0)
        self.assertEqual(self.catalog.changes_since(12).since, 12)

    # Guards against requests that are answered at once, again and again, while a runner is a last
    # resort.
    def test_last_resort_is_told_to_nodes_that_know_its_removal_and_is_no_news(self) -> None:
        self.catalog.remove_runner("a", 9, last_resort_s=2.0)
        self.catalog.advance(9)
        for since in (0, 9):
            (removal,) = self.catalog.changes_since(since).removed
            self.assertEqual((removal.runner_id, removal.last_resort_s), ("a", 2.0))
        self.assertTrue(self.catalog.has_changes_since(6))
        self.assertFalse(self.catalog.has_changes_since(9))

    def test_last_resort_gets_shorter_as_time_passes(self) -> None:
        now_s = 10.0
        self.catalog.begin_incarnation(lambda: now_s)
        self.catalog.remove_runner("a", 9, last_resort_s=2.0)
        self.catalog.advance(9)
        now_s = 11.5
        (removal,) = self.catalog.changes_since(6).removed
        self.assertEqual(removal.last_resort_s, 0.5)
        now_s = 13.0
        (removal,) = self.catalog.changes_since(6).removed
        self.assertEqual(removal.last_resort_s, 0.0)

    def test_longer_last_resort_of_another_machine_counts(self) -> None:
        self.catalog.remove_runner("a", 9, last_resort_s=1.0)
        for told_s, expected_s in ((0.5, 1.0), (2.5, 2.5)):
            self.assertFalse(self.catalog.remove_runner("a", 9, last_resort_s=told_s))
            (removal,) = self.catalog.changes_since(0).removed
            self.assertEqual(removal.last_resort_s, expected_s)

    def test_older_revisions_are_ignored(self) -> None:
        self.catalog.apply_document(make_document(4))
        self.assertFalse(self.catalog.apply_document(make_document(3)))
        self.assertFalse(self.catalog.put_runner(known("a", 2, RunnerState.DRAINING)))
        self.assertFalse(self.catalog.replace_runners([], revision=5, last_resort_s=0.0))
        self.assertEqual((self.catalog.version, self.catalog.runners_at), (4, 6))

    def test_stored_catalog_round_trips_and_an_unreadable_file_is_empty(self) -> None:
        self.catalog.apply_document(make_document(4))
        node = ReplicaNode("store-1", "abc", Address("10.0.1.1", 7000), "zone-a")
        front = Address("10.0.2.1", 7000)
        stored = decode_stored(encode_stored(StoredCatalog(self.catalog, (node,), (front,))))
        self.assertEqual((stored.replicas, stored.fronts), ((node,), (front,)))
        catalog = stored.catalog
        self.assertEqual((catalog.version, catalog.runners_at), (4, 6))
        self.assertEqual(catalog.document, self.catalog.document)
        self.assertEqual(decode_stored(b"\xff\xff").catalog.version, 0)
        self.assertEqual(decode_stored(None).catalog.version, 0)


class ColdStartTest(unittest.TestCase):
    def assert_serves(self, world: SiteWorld) -> None:
        program = world.start_program(ProgramPlan(turns=2, tools=1))
        world.run_for(3.0)
        self.assertTrue(program.finished)
        self.assertEqual(set(program.statuses), {200})

    def test_site_started_while_the_registry_is_down_serves(self) -> None:
        for seed in (1, 2):
            with self.subTest(seed=seed):
                world = SiteWorld.started(seed)
                self.addCleanup(world.close)
                world.run_for(2.0)
                world.registry.is_down = True
                machines = [*world.fronts.values(), *world.stores.values()]
                for machine in machines:
                    world.kill(machine)
                world.run_for(1.0)
                for machine in machines:
                    world.restart(machine)
                world.run_for(1.0)
                self.assert_serves(world)

    def test_front_restarted_alone_while_the_registry_is_down_serves(self) -> None:
        for seed in (1, 2):
            with self.subTest(seed=seed):
                world = SiteWorld.started(seed)
                self.addCleanup(world.close)
                world.run_for(2.0)
                world.registry.is_down = True
                front = world.fronts["front-2"]
                world.kill(front)
                world.run_for(0.6)
                world.restart(front)
                world.run_for(1.2)
                assert front.front is not None
                self.assertIsNotNone(front.front.forwarder.index)
                self.assert_serves(world)


class KnownFrontsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fronts = KnownFronts()
        self.named = [Address(f"10.0.9.{number}", 7000) for number in range(20)]

    def test_update_naming_few_fronts_keeps_those_known(self) -> None:
        self.fronts.update(self.named[:6])
        self.fronts.update([])
        self.assertEqual(self.fronts.addresses, self.named[:6])
        self.fronts.update(self.named[6:8])
        self.assertEqual(self.fronts.addresses, [*self.named[6:8], *self.named[:4]])

    def test_update_naming_many_fronts_replaces_those_known(self) -> None:
        self.fronts.update(self.named[:6])
        self.fronts.update(self.named[6:12])
        self.assertEqual(self.fronts.addresses, self.named[6:12])


class SharedReadingTest(unittest.TestCase):
    """With enough dependent nodes, one replica machine reads the registry for all of them."""

    def setUp(self) -> None:
        patch = mock.patch.object(demand, "MIN_SHARED_REQUESTERS", 1)
        patch.start()
        self.addCleanup(patch.stop)
        self.world = SiteWorld.started(3)
        self.addCleanup(self.world.close)
        self.world.run_for(3.0)
        self.front = self.world.fronts["front-1"]

    def version(self) -> int:
        assert self.front.front is not None
        index = self.front.front.forwarder.index
        return index.document.version if index is not None else 0

    def is_fresh(self) -> bool:
        assert self.front.front is not None
        return self.front.front.catalog.is_fresh

    def change(self) -> int:
        version = self.world.document.version + 1
        self.world.document = make_document(version)
        return version

    def test_front_receives_a_change_from_a_replica_machine(self) -> None:
        self.world.network.cuts.add(("registry", self.front.host))
        self.assertTrue(self.is_fresh())
        version = self.change()
        self.world.run_for(0.5)
        self.assertEqual(self.version(), version)

    def test_change_is_applied_in_time_when_the_reader_is_unreachable(self) -> None:
        for store in self.world.stores.values():
            pairs = ((store.host, self.front.host), (self.front.host, store.host))
            self.world.network.cuts.update(pairs)
        version = self.change()
        self.world.run_for(0.75 * APPLY_S)
        self.assertEqual(self.version(), version)

    def test_change_is_applied_in_time_when_the_reader_loses_the_registry(self) -> None:
        for store in self.world.stores.values():
            self.world.network.cuts.add(("registry", store.host))
        version = self.change()
        self.world.run_for(0.75 * APPLY_S)
        self.assertEqual(self.version(), version)
        self.assertFalse(self.is_fresh())
        self.world.network.cuts.clear()
        self.world.run_for(3.0)
        self.assertTrue(self.is_fresh())

    def ranked_stores(self) -> list[SimMachine]:
        """Replica machines by rank."""
        return [
            self.world.stores[name] for name in rendezvous_rank(CATALOG_METHOD, self.world.stores)
        ]

    def test_replica_machines_follow_the_first_by_rank(self) -> None:
        first, *others = self.ranked_stores()
        assert first.replica is not None
        self.assertFalse(first.replica.follower.is_fresh)
        for store in others:
            assert store.replica is not None
            self.assertTrue(store.replica.follower.is_fresh)
            self.world.network.cuts.add(("registry", store.host))
        version = self.change()
        self.world.registry.retirements[others[0].name] = False
        self.world.run_for(0.5)
        for store in others:
            assert store.replica is not None
            self.assertEqual(store.replica.catalog.catalog.version, version)
            self.assertEqual(store.replica.directory.retiring, {others[0].name})

    def test_next_by_rank_reads_when_the_first_loses_the_registry(self) -> None:
        first, second, *_ = self.ranked_stores()
        self.world.network.cuts.add(("registry", first.host))
        self.world.network.cuts.add(("registry", self.front.host))
        version = self.change()
        for _ in range(30):
            self.world.run_for(0.1)
            self.assertTrue(self.is_fresh())
        self.assertEqual(self.version(), version)
        assert first.replica is not None and second.replica is not None
        self.assertTrue(first.replica.follower.is_fresh)
        self.assertFalse(second.replica.follower.is_fresh)

    def test_dead_machine_is_not_retried_after_each_reply_of_the_next(self) -> None:
        first = self.ranked_stores()[0]
        self.world.kill(first)
        with mock.patch.object(follower, "log") as log:
            self.world.run_for(7.0)
        avoidances = [call for call in log.say.call_args_list if "instead_of" in call.kwargs]
        machines = [*self.world.fronts, *self.world.stores]
        self.assertGreaterEqual(len(avoidances), len(machines) - 1)
        self.assertLessEqual(len(avoidances), 3 * len(machines))

    def test_runner_removal_is_applied_in_time(self) -> None:
        self.world.network.cuts.add(("registry", self.front.host))
        del self.world.listed["engine-1"]
        self.world.run_for(0.5)
        assert self.front.front is not None
        names = {
            record.listed.runner_id
            for record in self.front.front._table.eligible("engines", 0, None)
        }
        self.assertEqual(names, {"engine-2", "engine-3"})
