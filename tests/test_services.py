"""Routes, traffic splits, the runner table, a node's choice of a runner, event parsing."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bendshed.catalog.registry_outage import MAX_LAST_RESORT_S
from bendshed.model.address import Address
from bendshed.model.route_index import RouteIndex, choose_target
from bendshed.model.runner import RunnerState, ServiceRunner
from bendshed.model.service_document import Route, RouteKind, ServiceDocument, WeightedService
from bendshed.placement.node_choice import (
    AFFINITY_MAX_EXTRA_REQUESTS,
    SESSION_MAX_EXTRA_REQUESTS,
    SLOWNESS_THRESHOLD,
    NodeView,
    choose_runner,
)
from bendshed.placement.runner_record import FAILURES_TO_AVOID, RunnerRecord
from bendshed.policy import ALL_ENABLED, Policy
from bendshed.services.events import EventSplitter, read_event
from bendshed.services.runners import RunnerTable


def route(prefix: str, host: str = "h.example", **changes: object) -> Route:
    values: dict[str, object] = {
        "name": f"{host}{prefix}",
        "host": host,
        "path_prefix": prefix,
        "kind": RouteKind.IDEMPOTENT,
        "timeout_ms": 1000,
        "target_ms": 100,
        "priority": 0,
        "targets": (WeightedService("s", 1),),
    }
    return Route(**{**values, **changes})  # type: ignore[arg-type]


def runner(name: str, **changes: object) -> ServiceRunner:
    values: dict[str, object] = {
        "runner_id": name,
        "service": "s",
        "address": Address("10.0.0.1", 80),
        "zone": "z",
        "slots": 6,
        "state": RunnerState.READY,
    }
    return ServiceRunner(**{**values, **changes})  # type: ignore[arg-type]


class RoutingTest(unittest.TestCase):
    def test_the_longest_prefix_of_the_host_wins(self) -> None:
        index = RouteIndex(
            ServiceDocument(1, (route("/a/"), route("/a/b/"), route("/a/", host="other")))
        )
        found = [index.match("H.example:80", path) for path in ("/a/x", "/a/b/x", "/a", "/b/")]
        prefixes = [match.path_prefix if match is not None else None for match in found]
        self.assertEqual(prefixes, ["/a/", "/a/b/", None, None])
        self.assertIsNone(index.match("nowhere", "/a/x"))

    def test_a_split_follows_its_weights(self) -> None:
        split = route("/", targets=(WeightedService("s", 90), WeightedService("t", 10)))
        chosen = [choose_target(split, f"key-{number}") for number in range(5000)]
        self.assertAlmostEqual(chosen.count("t") / 5000, 0.1, delta=0.02)
        self.assertEqual(choose_target(split, "key-1"), choose_target(split, "key-1"))


class RunnerTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = RunnerTable()
        for name in ("a", "b"):
            self.table.put(runner(name))

    def eligible(self, now_s: float = 0.0) -> list[str]:
        return [record.listed.runner_id for record in self.table.eligible("s", now_s, None)]

    def test_a_draining_runner_gets_no_new_requests(self) -> None:
        self.table.put(runner("a", state=RunnerState.DRAINING))
        self.assertEqual(self.eligible(), ["b"])

    def test_a_removed_runner_gets_no_new_requests(self) -> None:
        self.table.remove("a", 0.0, last_resort_s=0.0)
        self.table.remove("b", 0.0, last_resort_s=0.0)
        self.assertEqual(self.eligible(), [])

    def test_runners_unlisted_while_the_store_fails_are_a_last_resort(self) -> None:
        self.table.remove("a", 0.0, last_resort_s=MAX_LAST_RESORT_S)
        self.assertEqual(self.eligible(), ["b"])
        self.table.remove("b", 0.0, last_resort_s=MAX_LAST_RESORT_S)
        self.assertEqual(self.eligible(), ["a", "b"])
        self.table.put(runner("b"))
        self.assertEqual(self.eligible(), ["b"])
        self.table.remove("b", 0.0, last_resort_s=0.0)
        self.assertEqual(self.eligible(MAX_LAST_RESORT_S + 1), [])

    def test_a_runner_not_listed_after_the_store_returns_is_removed(self) -> None:
        """Entries that expired with the store are listed again 2 s after its return, or removed."""
        self.table.remove("a", 10.0, last_resort_s=MAX_LAST_RESORT_S)
        self.table.remove("b", 10.0, last_resort_s=MAX_LAST_RESORT_S)
        self.assertEqual(self.eligible(12.0), ["a", "b"])
        self.table.put(runner("b"))
        self.assertEqual(self.eligible(12.2), ["b"])
        self.table.remove("b", 12.3, last_resort_s=0.0)
        self.assertEqual(self.eligible(13.0), [])

    def test_a_runner_of_another_service_is_not_used(self) -> None:
        self.table.put(runner("a", service="t"))
        self.assertEqual(self.eligible(), ["b"])


class NodeChoiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.records = [RunnerRecord(runner(name)) for name in "abcd"]
        self.rng = random.Random(1)

    def choose(
        self,
        session: str = "",
        tried: str = "",
        zone: str = "z",
        connected: str = "",
        node: str = "node",
        now_s: float = 0.0,
        affinity_key: str = "",
        policy: Policy = ALL_ENABLED,
    ) -> str:
        view = NodeView(node, zone, connected, now_s)
        choice = choose_runner(self.records, tried, session, view, self.rng, policy, affinity_key)
        return choice.record.listed.runner_id if choice is not None else ""

    def test_a_session_stays_until_its_runner_is_loaded(self) -> None:
        first_chosen = self.choose("session")
        self.assertEqual({self.choose("session") for _ in range(20)}, {first_chosen})
        record = next(r for r in self.records if r.listed.runner_id == first_chosen)
        record.in_flight = SESSION_MAX_EXTRA_REQUESTS
        self.assertEqual(self.choose("session"), first_chosen)
        record.in_flight = SESSION_MAX_EXTRA_REQUESTS + 1
        self.assertNotEqual(self.choose("session"), first_chosen)

    def test_the_least_loaded_runner_of_the_own_zone_is_chosen(self) -> None:
        self.records[2].listed = runner("c", zone="mine")
        self.assertEqual(self.choose(zone="mine"), "c")
        self.records[2].in_flight = 1
        self.assertNotEqual(self.choose(zone="mine"), "c")

    def test_a_runner_with_an_idle_connection_is_used_until_it_is_loaded(self) -> None:
        self.assertEqual({self.choose(connected="c") for _ in range(5)}, {"c"})
        self.records[2].in_flight = 1
        self.assertEqual(self.choose(connected="c"), "c")
        self.records[2].in_flight = 2
        self.assertNotEqual(self.choose(connected="c"), "c")

    def test_an_affinity_key_stays_at_one_runner_with_an_idle_connection(self) -> None:
        chosen = {self.choose(affinity_key=str(number), connected="bcd") for number in range(60)}
        self.assertEqual(chosen, set("bcd"))
        first_chosen = self.choose(affinity_key="7", connected="bcd")
        self.assertEqual(
            {self.choose(affinity_key="7", connected="bcd") for _ in range(9)}, {first_chosen}
        )
        record = next(r for r in self.records if r.listed.runner_id == first_chosen)
        record.in_flight = AFFINITY_MAX_EXTRA_REQUESTS + 1
        self.assertNotEqual(self.choose(affinity_key="7", connected="bcd"), first_chosen)

    def test_an_affinity_key_opens_no_connection_while_one_is_idle(self) -> None:
        self.assertEqual(
            {self.choose(affinity_key=str(n), connected="c") for n in range(20)}, {"c"}
        )
        by_node = self.choose(node="n")
        self.assertEqual(self.choose(affinity_key="7", node="n"), by_node)

    def test_without_thing_affinity_a_key_has_one_runner_for_all_nodes(self) -> None:
        policy = Policy(thing_affinity=False)
        chosen = {
            self.choose("thing", affinity_key="thing", policy=policy, connected=one, node=one)
            for one in "abcd"
        }
        self.assertEqual(len(chosen), 1)

    def test_a_node_prefers_one_runner_and_all_nodes_together_use_all(self) -> None:
        first = [self.choose(node=f"node-{number}") for number in range(400)]
        self.assertEqual(first, [self.choose(node=f"node-{number}") for number in range(400)])
        for name in "abcd":
            self.assertAlmostEqual(first.count(name) / 400, 0.25, delta=0.06)

    def test_a_slow_runner_is_avoided_until_its_slowness_decays(self) -> None:
        for record in self.records:
            record.health.note_pace(1.0, 0.0)
        self.records[2].health.note_pace(20.0, 0.0)
        self.assertGreater(self.records[2].health.pace, SLOWNESS_THRESHOLD)
        self.assertNotEqual(self.choose(connected="c"), "c")
        self.assertEqual(self.choose(connected="c", now_s=20.0), "c")

    def test_a_tried_runner_is_not_chosen_again(self) -> None:
        self.assertEqual(self.choose(tried="abc"), "d")
        self.assertEqual(self.choose(tried="abcd"), "")

    def test_a_failing_runner_is_avoided_while_others_are_healthy(self) -> None:
        for record in self.records[:3]:
            for _ in range(FAILURES_TO_AVOID):
                record.note_broken(0.0)
        self.assertEqual({self.choose() for _ in range(20)}, {"d"})
        self.records[3].note_unreachable(0.0)
        self.assertNotEqual(self.choose(), "")


class EventSplitterTest(unittest.TestCase):
    STREAM = b"id: 1\ndata: one\n\n: note\n\nid: 2\r\ndata: two\r\ndata: more\r\n\r\nid: 3\ndata: x"

    def test_only_complete_events_are_returned(self) -> None:
        splitter = EventSplitter()
        events = splitter.feed(self.STREAM)
        self.assertEqual([event.event_id for event in events], [1, None, 2])
        self.assertEqual([event.data for event in events], [b"one", None, b"two\nmore"])
        self.assertTrue(splitter.has_partial_event)

    @settings(max_examples=100)
    @given(st.lists(st.integers(0, len(STREAM)), max_size=6))
    def test_events_do_not_depend_on_how_the_bytes_are_split(self, cuts: list[int]) -> None:
        whole = EventSplitter().feed(self.STREAM)
        splitter, events, last = EventSplitter(), [], 0
        for cut in [*sorted(cuts), len(self.STREAM)]:
            events += splitter.feed(self.STREAM[last:cut])
            last = cut
        self.assertEqual(events, whole)

    def test_an_event_without_data(self) -> None:
        self.assertIsNone(read_event(b"id: 5\n\n").data)
