"""Where work goes when distance counts: own region first, another one only for a clear gain."""

import random
import unittest

from bendshed.model.address import Address
from bendshed.model.places import Distance, Places
from bendshed.model.prompt import PromptPart
from bendshed.model.runner import RunnerState, ServiceRunner
from bendshed.placement.cluster_load import ClusterLoad, Placed
from bendshed.placement.distance import DistanceCosts, LinkTerms
from bendshed.placement.node_choice import NodeView, choose_runner
from bendshed.placement.runner_record import RunnerRecord
from bendshed.placement.spill import (
    MAX_SLOT_SHARE,
    MIN_GAIN_MS,
    MIN_GAIN_WAIVED_S,
    OUTAGE_GAIN_MS,
    SpilloverLimiter,
)
from bendshed.placement.turn_demand import EndedTurn, TurnDemand

PLACES = Places({"a": "east", "b": "east", "x": "west", "y": "west"})
SLOTS, CAPACITY, LONG_S = 6, 60_000, 100.0
TRIP_MS = 60.0
ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "x1": "x", "x2": "x", "y1": "y", "y2": "y"}
WEST = {name for name, zone in ZONES.items() if PLACES.region(zone) == "west"}


def runner(name: str) -> ServiceRunner:
    address = Address("10.0.0.1", 80)
    return ServiceRunner(name, "s", address, ZONES[name], SLOTS, RunnerState.READY)


class BoardTest(unittest.TestCase):
    """Four runners in each of two regions, 60 ms of round trip apart; fronts of the east ask."""

    def setUp(self) -> None:
        self.make(LinkTerms())

    def make(self, terms: LinkTerms) -> None:
        self.distance = DistanceCosts(PLACES, terms)
        self.distance.measured_ms = {Distance.SAME_REGION: 1.0, Distance.OTHER_REGION: TRIP_MS}
        self.load = ClusterLoad(random.Random(1), self.distance)
        self.runners = [runner(name) for name in ZONES]
        self.num_turns = 0

    def place(self, now_s: float = 0.0, **changes: object) -> Placed:
        self.num_turns += 1
        name = f"turn-{self.num_turns}"
        values: dict[str, object] = {
            "turn_id": name,
            "chain": name,
            "parts": (PromptPart(name, 600),),
            "max_answer_tokens": 80,
            "time_left_s": LONG_S,
            "zone": "a",
            "connected": set(ZONES),
            **changes,
        }
        placed = self.load.place(TurnDemand(**values), self.runners, CAPACITY, now_s)  # type: ignore[arg-type]
        assert isinstance(placed, Placed)
        return placed

    def num_redirected(self, num_turns: int, now_s: float = 0.0, **changes: object) -> int:
        places = [self.place(now_s, **changes) for _ in range(num_turns)]
        return sum(1 for placed in places if placed.distance is Distance.OTHER_REGION)

    def end_all(self, now_s: float) -> None:
        for number in range(1, self.num_turns + 1):
            self.load.end(EndedTurn(f"turn-{number}"), now_s)

    def test_while_the_own_region_has_places_nothing_leaves_it(self) -> None:
        self.assertEqual(self.num_redirected(4 * SLOTS), 0)

    def test_the_own_zone_comes_first_among_equals(self) -> None:
        self.assertEqual(ZONES[self.place(zone="b").runner_id], "b")
        self.assertEqual(ZONES[self.place(zone="a").runner_id], "a")

    def test_beyond_its_places_work_leaves_and_is_bounded(self) -> None:
        away = self.num_redirected(12 * SLOTS)
        self.assertGreater(away, 0)
        self.assertLessEqual(away, MAX_SLOT_SHARE * 4 * SLOTS)

    def test_a_dark_pool_sends_everything_away_and_back_when_it_returns(self) -> None:
        everything = self.runners
        self.runners = [row for row in everything if row.runner_id in WEST]
        self.assertEqual(self.num_redirected(2 * SLOTS), 2 * SLOTS)
        self.end_all(1.0)
        self.runners = everything
        self.assertEqual(self.num_redirected(SLOTS, 1.1), 0)

    def test_runners_that_fail_are_left_for_the_other_region(self) -> None:
        for _ in range(3):
            self.place()
        east = tuple(set(ZONES) - WEST)
        self.load.end(EndedTurn("turn-1", "", failed=east), 0.0)
        self.load.end(EndedTurn("turn-2", "", failed=east), 0.0)
        self.assertEqual(self.num_redirected(3), 3)

    def test_a_new_connection_costs_the_way_twice(self) -> None:
        costs = self.distance
        for kind, trip_ms in ((Distance.SAME_REGION, 1.0), (Distance.OTHER_REGION, TRIP_MS)):
            difference = costs.cost_ms(kind, False, 0) - costs.cost_ms(kind, True, 0)
            same_zone = costs.cost_ms(Distance.SAME_ZONE, False, 0)
            self.assertEqual(difference - same_zone, trip_ms)
            self.assertEqual(costs.cost_ms(kind, True, 0), trip_ms)

    def test_prices_of_bytes_count_the_body_and_the_answer(self) -> None:
        terms = LinkTerms(zone_ms_per_kb=2.0, region_ms_per_kb=5.0)
        costs = DistanceCosts(PLACES, terms, self.distance.measured_ms)
        self.assertEqual(costs.cost_ms(Distance.SAME_ZONE, True, 10_000), 0.0)
        self.assertEqual(costs.cost_ms(Distance.SAME_REGION, True, 10_000), 1.0 + 20.0)
        self.assertEqual(costs.cost_ms(Distance.OTHER_REGION, True, 10_000), TRIP_MS + 70.0)
        demand = TurnDemand("t", "l", (), 100, LONG_S, body_bytes=5_000)
        self.assertEqual(demand.transferred_bytes, 5_800)

    def test_dear_bytes_keep_a_turn_in_its_zone(self) -> None:
        self.make(LinkTerms(zone_ms_per_kb=50.0))
        zones = {ZONES[self.place(body_bytes=20_000).runner_id] for _ in range(4 * SLOTS)}
        self.assertEqual(zones, {"a"})

    def test_a_thin_link_lets_no_more_leave_than_it_carries(self) -> None:
        self.make(LinkTerms(region_mbit_per_s=3.0))
        self.assertLessEqual(self.num_redirected(12 * SLOTS, body_bytes=50_000), 2)


class SpilloverLimiterTest(unittest.TestCase):
    def test_the_first_turn_leaves_for_a_clear_gain_and_the_next_for_any(self) -> None:
        limiter = SpilloverLimiter()
        self.assertFalse(limiter.may_redirect(MIN_GAIN_MS, 24, 0, 0.0))
        self.assertTrue(limiter.may_redirect(MIN_GAIN_MS + 1, 24, 0, 0.0))
        limiter.begin("t1", 0, 0.0)
        self.assertTrue(limiter.may_redirect(1.0, 24, 0, 0.9 * MIN_GAIN_WAIVED_S))
        self.assertFalse(limiter.may_redirect(0.0, 24, 0, 0.9 * MIN_GAIN_WAIVED_S))
        self.assertFalse(limiter.may_redirect(1.0, 24, 0, 1.1 * MIN_GAIN_WAIVED_S))

    def test_where_the_own_runners_fail_places_bound_nothing(self) -> None:
        limiter = SpilloverLimiter()
        for number in range(24):
            limiter.begin(f"t{number}", 0, 0.0)
        self.assertFalse(limiter.may_redirect(OUTAGE_GAIN_MS - 1, 24, 0, 0.0))
        self.assertTrue(limiter.may_redirect(OUTAGE_GAIN_MS, 24, 0, 0.0))

    def test_turns_that_ended_make_room(self) -> None:
        limiter = SpilloverLimiter()
        for number in range(12):
            limiter.begin(f"t{number}", 0, 0.0)
        self.assertFalse(limiter.may_redirect(100.0, 24, 0, 0.0))
        limiter.end("t3")
        self.assertTrue(limiter.may_redirect(100.0, 24, 0, 0.0))

    def test_a_turn_beyond_a_burst_leaves_and_those_behind_it_wait(self) -> None:
        limiter = SpilloverLimiter(region_mbit_per_s=1.0)
        self.assertTrue(limiter.may_redirect(5_000.0, 24, 40_000, 0.0))
        limiter.begin("large", 40_000, 0.0)
        self.assertFalse(limiter.may_redirect(5_000.0, 24, 1_000, 0.1))

    def test_bytes_that_left_without_a_choice_count_too(self) -> None:
        limiter = SpilloverLimiter(region_mbit_per_s=8.0)
        self.assertTrue(limiter.may_redirect(100.0, 24, 200_000, 0.0))
        limiter.begin("forced", 1_000_000, 0.0)
        self.assertFalse(limiter.may_redirect(100.0, 24, 10_000, 1.0))
        self.assertTrue(limiter.may_redirect(100.0, 24, 10_000, 3.0))


class OwnChoiceTest(unittest.TestCase):
    """What a front chooses without placed."""

    def setUp(self) -> None:
        self.records = {name: RunnerRecord(runner(name)) for name in ZONES}

    def choose(self, session: str = "", affinity_key: str = "", connected: str = "") -> str:
        view = NodeView("front", "x", set(connected.split()), 0.0, PLACES)
        rng = random.Random(1)
        found = choose_runner(
            self.records.values(), (), session, view, rng, affinity_key=affinity_key
        )
        assert found is not None
        return found.record.listed.runner_id

    def test_every_way_of_choosing_stays_in_the_region(self) -> None:
        for number in range(20):
            self.assertIn(self.choose(session=f"s{number}"), WEST)
            self.assertIn(self.choose(affinity_key=f"t{number}", connected="a1 b1 x1"), WEST)
        self.assertEqual(ZONES[self.choose()], "x")
        self.assertIn(self.choose(connected="a1 b1"), WEST)

    def test_another_region_when_all_places_of_the_own_are_taken(self) -> None:
        for name in WEST:
            self.records[name].in_flight = SLOTS
        self.assertNotIn(self.choose(), WEST)

    def test_another_region_when_the_own_failed_a_moment_ago(self) -> None:
        for name in WEST:
            self.records[name].avoid_until_s = 1.0
        self.assertNotIn(self.choose(session="s"), WEST)


if __name__ == "__main__":
    unittest.main()
