"""Closed zones and allowed regions: updates, storage, encoding, and filtering of runners."""

import unittest

from bendshed.catalog.call_schedule import RETRY_MAX_S
from bendshed.catalog.codec import (
    StoredCatalog,
    add_zones,
    decode_stored,
    encode_stored,
    zones_from_wire,
)
from bendshed.catalog.follower import REPLY_MARGIN_S
from bendshed.catalog.registry_outage import MAX_LAST_RESORT_S
from bendshed.catalog.state import Catalog, KnownRunner
from bendshed.catalog.times import CatalogTimes
from bendshed.catalog.watcher import LOST_WAIT_S, KindHandler
from bendshed.catalog.zones import make_registry_update
from bendshed.model.address import Address
from bendshed.model.places import Places
from bendshed.model.principal import Principal
from bendshed.model.runner import RunnerState, ServiceRunner
from bendshed.model.service_document import (
    Route,
    RouteKind,
    ServiceDocument,
    Tenant,
    WeightedService,
)
from bendshed.placement.allowed_regions import allowed_regions, unknown_regions
from bendshed.placement.zones import (
    REOPENED_KNOWN_S,
    REOPENED_REPORTED_S,
    ClosedZones,
    OpenedZone,
    RunnerFilter,
    ZoneRecord,
    ZoneUpdate,
)
from bendshed.platform.objects import CALL_TIMEOUT_S
from bendshed.ports.objects import MAX_IDLE_S, WATCH_MARGIN_S, ObjectEvent, ObjectList, StoredObject
from bendshed.services.runners import RunnerTable
from bendshed.wire import catalog_pb2 as wire

PLACES = Places({"a": "west", "b": "west", "c": "east"})
ZONE_CLOSE_S = 5.0


def update(at: int, *closed: str, **reopened_ago_s: float) -> ZoneUpdate:
    return ZoneUpdate(ClosedZones(at, frozenset(closed)), reopened_ago_s)


def runner(name: str, zone: str) -> ServiceRunner:
    return ServiceRunner(name, "s", Address("10.0.0.1", 80), zone, 6, RunnerState.READY)


class ZoneRecordTest(unittest.TestCase):
    def setUp(self) -> None:
        self.record = ZoneRecord()
        self.record.apply(update(5, "a"), 10.0)

    def test_zone_is_closed_and_reopened(self) -> None:
        self.assertEqual(self.record.closed_since_s, {"a": 10.0})
        changes = self.record.apply(update(9, "b"), 14.0)
        self.assertEqual(changes.closed, ("b",))
        self.assertEqual(changes.opened, (OpenedZone("a", 14.0),))
        self.assertEqual(self.record.closed_since_s, {"b": 14.0})

    def test_older_update_is_ignored(self) -> None:
        for old in (update(4), update(4, "b"), update(0), update(4, a=0.1)):
            self.assertFalse(self.record.apply(old, 11.0))
        self.assertEqual(self.record.zones, ClosedZones(5, frozenset("a")))

    def test_revision_advances_without_a_change(self) -> None:
        self.assertFalse(self.record.apply(update(8, "a"), 11.0))
        self.assertEqual((self.record.zones.revision, self.record.changed_revision), (8, 5))

    def test_zone_closed_and_reopened_between_updates(self) -> None:
        changes = self.record.apply(update(9, "a", b=2.5), 20.0)
        self.assertEqual(changes.opened, (OpenedZone("b", 17.5),))

    def test_repeated_report_of_a_reopening_is_ignored(self) -> None:
        self.record.apply(update(9, b=2.5), 20.0)
        self.assertFalse(self.record.apply(update(10, b=4.1), 21.5))
        self.assertTrue(self.record.apply(update(12, b=0.2), 25.0))

    def test_zone_closed_again_does_not_count_as_reopened(self) -> None:
        self.assertEqual(self.record.apply(update(9, "a", a=1.0), 20.0).opened, ())

    def test_reported_reopening_time_is_used(self) -> None:
        self.assertEqual(self.record.apply(update(9, a=3.0), 20.0).opened, (OpenedZone("a", 17.0),))

    def test_reopening_is_reported_and_remembered_for_a_limited_time(self) -> None:
        self.record.apply(update(9), 20.0)
        self.assertEqual(self.record.make_update(23.0).reopened_ago_s, {"a": 3.0})
        self.assertEqual(self.record.make_update(20.5 + REOPENED_REPORTED_S).reopened_ago_s, {})
        self.assertFalse(self.record.forget_old(20.5 + REOPENED_REPORTED_S))
        self.assertTrue(self.record.forget_old(20.5 + REOPENED_KNOWN_S))
        self.assertEqual(self.record.opened_at_s, {})


class RunnerFilterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.filter = RunnerFilter(ClosedZones(5, frozenset("a")), PLACES)

    def test_closed_zones_and_regions(self) -> None:
        cases = {
            ("a", None): False,
            ("b", None): True,
            ("c", None): True,
            ("unknown", None): True,
            ("b", frozenset({"west"})): True,
            ("a", frozenset({"west"})): False,
            ("c", frozenset({"west"})): False,
            ("unknown", frozenset({"west"})): False,
            ("b", frozenset()): False,
        }
        for (zone, regions), is_allowed in cases.items():
            with self.subTest(zone=zone, regions=regions):
                self.assertIs(self.filter.allows(runner("r", zone), regions), is_allowed)

    def test_runner_table_and_catalog_apply_the_filter(self) -> None:
        table, catalog = RunnerTable(filter=self.filter), Catalog(filter=self.filter)
        for number, zone in enumerate("abc"):
            table.put(runner(zone, zone))
            catalog.put_runner(KnownRunner(runner(zone, zone), number + 1))
        for regions, expected in ((None, ["b", "c"]), (frozenset({"west"}), ["b"])):
            eligible = table.eligible("s", 0.0, regions)
            self.assertEqual([one.listed.runner_id for one in eligible], expected)
            ready = catalog.ready_runners("s", regions)
            self.assertEqual([one.runner_id for one in ready], expected)

    def test_unlisted_runner_is_preferred_over_one_in_a_closed_zone(self) -> None:
        table = RunnerTable(filter=self.filter)
        for zone in "ab":
            table.put(runner(zone, zone))
        table.remove("b", 0.0, last_resort_s=MAX_LAST_RESORT_S)
        self.assertEqual([one.listed.runner_id for one in table.eligible("s", 0.0, None)], ["b"])

    def test_no_eligible_runner_only_because_of_closed_zones_or_regions(self) -> None:
        table = RunnerTable(filter=self.filter)
        self.assertFalse(table.has_no_eligible_runner("s", None))
        table.put(runner("a", "a"))
        self.assertTrue(table.has_no_eligible_runner("s", None))
        table.put(runner("c", "c"))
        self.assertFalse(table.has_no_eligible_runner("s", None))
        self.assertTrue(table.has_no_eligible_runner("s", frozenset({"west"})))


class AllowedRegionsTest(unittest.TestCase):
    def route(self, *regions: str) -> Route:
        return Route(
            "r",
            "h",
            "/",
            RouteKind.STREAM,
            1000,
            100,
            0,
            (WeightedService("s", 1),),
            allowed_regions=regions,
        )

    def test_route_and_tenant_restrictions_both_apply(self) -> None:
        anonymous = Principal(None, 0)
        self.assertIsNone(allowed_regions(self.route(), anonymous))
        self.assertEqual(allowed_regions(self.route("west"), anonymous), {"west"})
        tenant = Principal(Tenant("t", allowed_regions=("east", "west")), 0)
        self.assertEqual(allowed_regions(self.route(), tenant), {"east", "west"})
        self.assertEqual(allowed_regions(self.route("west", "north"), tenant), {"west"})
        self.assertEqual(allowed_regions(self.route("north"), tenant), frozenset())

    def test_regions_without_a_zone_are_reported(self) -> None:
        tenants = (Tenant("t", allowed_regions=("west",)), Tenant("u", allowed_regions=("south",)))
        document = ServiceDocument(1, (self.route("north", "west"),), tenants=tenants)
        found = unknown_regions(document, PLACES)
        self.assertEqual(found, {"route r": ["north"], "tenant u": ["south"]})


class ZoneCodecTest(unittest.TestCase):
    def test_closed_zones_are_sent_to_nodes_with_an_older_revision(self) -> None:
        reply = wire.CatalogReply()
        add_zones(reply, update(9, "b", a=2.5), known_at=5)
        self.assertEqual(zones_from_wire(reply), update(9, "b", a=2.5))
        reply = wire.CatalogReply()
        add_zones(reply, update(9, "b", a=2.5), known_at=9)
        self.assertEqual((reply.zones_at, list(reply.closed_zones)), (9, []))

    def test_closed_zones_are_stored_with_the_catalog(self) -> None:
        stored = decode_stored(encode_stored(StoredCatalog(zones=update(9, "b", a=2.5))))
        self.assertEqual(stored.zones, update(9, "b", a=2.5))

    def test_file_of_an_earlier_version_has_no_closed_zones(self) -> None:
        earlier = wire.CatalogReply(document_version=0, has_runners=True, runners_at=4)
        self.assertEqual(decode_stored(earlier.SerializeToString()).zones, ZoneUpdate())


class NamesHandlerTest(unittest.TestCase):
    """Each reply of the registry yields a complete state."""

    def setUp(self) -> None:
        self.record = ZoneRecord()
        self.handler = KindHandler.of_names(self.take)

    def take(self, names: frozenset[str], at: int, gone: frozenset[str]) -> None:
        self.record.apply(make_registry_update(names, at, gone), 30.0)

    def list(self, at: int, *names: str) -> None:
        self.handler.on_list(ObjectList([StoredObject(name, at, {}, None) for name in names], at))
        self.handler.on_confirmed(at)

    def watch(self, at: int, *events: tuple[str, int, bool]) -> None:
        for name, revision, is_gone in events:
            item = StoredObject(name, revision, {}, None)
            self.handler.on_event(ObjectEvent(item, is_gone, at))
        self.handler.on_confirmed(at)

    @property
    def closed(self) -> set[str]:
        return set(self.record.zones.closed)

    def test_added_and_removed_objects_are_reported(self) -> None:
        self.list(3, "a")
        self.watch(7, ("b", 6, False))
        self.assertEqual((self.closed, self.record.zones.revision), ({"a", "b"}, 7))
        self.watch(9, ("a", 3, True))
        self.assertEqual((self.closed, self.record.opened_at_s), ({"b"}, {"a": 30.0}))

    def test_zone_closed_and_reopened_within_one_reply_counts_as_reopened(self) -> None:
        self.list(3)
        self.watch(9, ("a", 5, False), ("a", 5, True))
        self.assertEqual((self.closed, self.record.opened_at_s), (set(), {"a": 30.0}))

    def test_zone_reopened_and_closed_again_within_one_reply_is_closed(self) -> None:
        self.list(3, "a")
        self.watch(9, ("a", 3, True), ("a", 8, False))
        self.assertEqual((self.closed, self.record.opened_at_s), ({"a"}, {}))

    def test_new_list_replaces_all_names(self) -> None:
        self.list(3, "a")
        self.list(40, "b")
        self.assertEqual(self.closed, {"b"})
        self.watch(41)
        self.assertEqual(self.closed, {"b"})

    def test_watch_behind_the_known_revision_is_ignored(self) -> None:
        """Other nodes sent revision 10 already; the watch then returns earlier changes."""
        self.list(3)
        self.record.apply(update(10, "a"), 30.0)
        self.watch(6, ("a", 5, False), ("a", 5, True))
        self.assertEqual(self.closed, {"a"})
        self.watch(12, ("a", 9, False))
        self.assertEqual((self.closed, self.record.zones.revision), ({"a"}, 12))


class CatalogTimesTest(unittest.TestCase):
    def test_closed_zones_are_not_followed_without_a_bound(self) -> None:
        self.assertFalse(CatalogTimes.within(3.0, 20.0).follows_zones)

    def test_longer_zone_bound_saves_calls_and_a_shorter_one_bounds_everything(self) -> None:
        times = CatalogTimes.within(3.0, 20.0, ZONE_CLOSE_S)
        self.assertEqual(times.interval_s, CatalogTimes.within(3.0, 20.0).interval_s)
        self.assertAlmostEqual(times.zones_wait_s, 1.7)
        tight = CatalogTimes.within(3.0, 20.0, 2.0)
        self.assertEqual(tight.max_age_s, CatalogTimes.within(2.0, 20.0).max_age_s)
        self.assertAlmostEqual(tight.zones_wait_s, tight.interval_s)

    def test_zone_bound_holds_with_one_dead_connection_per_step(self) -> None:
        times = CatalogTimes.within(3.0, 20.0, ZONE_CLOSE_S)
        retry_s = RETRY_MAX_S + LOST_WAIT_S
        hop_s = times.interval_s + REPLY_MARGIN_S
        via_reader_s = times.zones_wait_s + WATCH_MARGIN_S + retry_s + hop_s
        self.assertLess(via_reader_s, ZONE_CLOSE_S)
        assert times.zones_lag_s is not None
        old_s = times.max_age_s + times.zones_lag_s
        dead_s = max(LOST_WAIT_S + WATCH_MARGIN_S, CALL_TIMEOUT_S)
        self.assertLess(old_s + dead_s + retry_s, ZONE_CLOSE_S)

    def test_silent_connection_is_replaced_within_the_time_to_be_in_touch(self) -> None:
        times = CatalogTimes.within(2.0, 20.0, contact_s=3.0)
        self.assertEqual(times.silence_s, 3.0)
        self.assertLess(MAX_IDLE_S + times.idle_wait_s + WATCH_MARGIN_S, times.silence_s)

    def test_longer_bound_of_a_change_saves_calls(self) -> None:
        times = CatalogTimes.within(13.0, 20.0, contact_s=3.0)
        self.assertEqual(times.silence_s, 13.0)
        self.assertLess(MAX_IDLE_S + times.idle_wait_s + WATCH_MARGIN_S, times.silence_s)

    def test_watch_is_shorter_than_the_history(self) -> None:
        self.assertEqual(CatalogTimes.within(13.0, 4.0).idle_wait_s, 3.0)


if __name__ == "__main__":
    unittest.main()
