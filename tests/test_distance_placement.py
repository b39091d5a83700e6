"""Placement by distance: the own region first, another one only for a clear gain."""

import random
import unittest

from bendshed.model.address import Address
from bendshed.model.places import Distance, Places
from bendshed.model.prompt import PromptPart
from bendshed.model.runner import RunnerState, ServiceRunner
from bendshed.placement.cluster_load import ClusterLoad, Placed
from bendshed.placement.distance import DistanceCosts, LinkSettings
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
SLOTS, CAPACITY_TOKENS, TIME_LEFT_S = 6, 60_000, 100.0
ROUND_TRIP_MS = 60.0
ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "x1": "x", "x2": "x", "y1": "y", "y2": "y"}
WEST = {name for name, zone in ZONES.items() if PLACES.region(zone) == "west"}


def runner(name: str) -> ServiceRunner:
    address = Address("10.0.0.1", 80)
    return ServiceRunner(name, "s", address, ZONES[name], SLOTS, RunnerState.READY)


class RegionalPlacementTest(unittest.TestCase):
    """Four runners in each of two regions, 60 ms of round trip apart; requests come from the
    east."""

    def setUp(self) -> None:
        self.build_load(LinkSettings())

    def build_load(self, link: LinkSettings) -> None:
        self.distance = DistanceCosts(PLACES, link)
        self.distance.measured_round_trip_ms = {
            Distance.SAME_REGION: 1.0,
            Distance.OTHER_REGION: ROUND_TRIP_MS,
        }
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
            "time_left_s": TIME_LEFT_S,
            "zone": "a",
            "connected": set(ZONES),
            **changes,
        }
        placed = self.load.place(TurnDemand(**values), self.runners, CAPACITY_TOKENS, now_s)  # type: ignore[arg-type]
        assert isinstance(placed, Placed)
        return placed

    def num_redirected(self, num_turns: int, now_s: float = 0.0, **changes: object) -> int:
        placements = [self.place(now_s, **changes) for _ in range(num_turns)]
        return sum(1 for placed in placements if placed.distance is Distance.OTHER_REGION)

    def end_all(self, now_s: float) -> None:
        for number in range(1, self.num_turns + 1):
            self.load.end(EndedTurn(f"turn-{number}"), now_s)

    def test_no_turn_is_redirected_while_its_region_has_free_slots(self) -> None:
        self.assertEqual(self.num_redirected(4 * SLOTS), 0)

    def test_equal_costs_prefer_the_own_zone(self) -> None:
        self.assertEqual(ZONES[self.place(zone="b").runner_id], "b")
        self.assertEqual(ZONES[self.place(zone="a").runner_id], "a")

    def test_turns_beyond_the_regions_slots_are_redirected_up_to_a_bound(self) -> None:
        num_redirected = self.num_redirected(12 * SLOTS)
        self.assertGreater(num_redirected, 0)
        self.assertLessEqual(num_redirected, MAX_SLOT_SHARE * 4 * SLOTS)

    def test_a_region_without_runners_redirects_all_turns_until_they_return(self) -> None:
        all_runners = self.runners
        self.runners = [listed for listed in all_runners if listed.runner_id in WEST]
        self.assertEqual(self.num_redirected(2 * SLOTS), 2 * SLOTS)
        self.end_all(1.0)
        self.runners = all_runners
        self.assertEqual(self.num_redirected(SLOTS, 1.1), 0)

    def test_turns_leave_a_region_whose_runners_fail(self) -> None:
        for _ in range(3):
            self.place()
        east = tuple(set(ZONES) - WEST)
        self.load.end(EndedTurn("turn-1", "", failed=east), 0.0)
        self.load.end(EndedTurn("turn-2", "", failed=east), 0.0)
        self.assertEqual(self.num_redirected(3), 3)

    def test_a_new_connection_costs_one_more_round_trip(self) -> None:
        costs = self.distance
        for kind, round_trip_ms in (
            (Distance.SAME_REGION, 1.0),
            (Distance.OTHER_REGION, ROUND_TRIP_MS),
        ):
            extra_ms = costs.cost_ms(kind, False, 0) - costs.cost_ms(kind, True, 0)
            new_connection_ms = costs.cost_ms(Distance.SAME_ZONE, False, 0)
            self.assertEqual(extra_ms - new_connection_ms, round_trip_ms)
            self.assertEqual(costs.cost_ms(kind, True, 0), round_trip_ms)

    def test_prices_of_bytes_count_the_body_and_the_answer(self) -> None:
        link = LinkSettings(zone_ms_per_kb=2.0, region_ms_per_kb=5.0)
        costs = DistanceCosts(PLACES, link, self.distance.measured_round_trip_ms)
        self.assertEqual(costs.cost_ms(Distance.SAME_ZONE, True, 10_000), 0.0)
        self.assertEqual(costs.cost_ms(Distance.SAME_REGION, True, 10_000), 1.0 + 20.0)
        self.assertEqual(costs.cost_ms(Distance.OTHER_REGION, True, 10_000), ROUND_TRIP_MS + 70.0)
        demand = TurnDemand("t", "l", (), 100, TIME_LEFT_S, body_bytes=5_000)
        self.assertEqual(demand.transferred_bytes, 5_800)

    def test_expensive_bytes_keep_turns_in_their_zone(self) -> None:
        self.build_load(LinkSettings(zone_ms_per_kb=50.0))
        zones = {ZONES[self.place(body_bytes=20_000).runner_id] for _ in range(4 * SLOTS)}
        self.assertEqual(zones, {"a"})

    def test_a_slow_link_bounds_redirected_turns(self) -> None:
        self.build_load(LinkSettings(region_mbit_per_s=3.0))
        self.assertLessEqual(self.num_redirected(12 * SLOTS, body_bytes=50_000), 2)


class SpilloverLimiterTest(unittest.TestCase):
    def test_the_first_redirect_needs_a_clear_gain_and_the_next_ones_any(self) -> None:
        limiter = SpilloverLimiter()
        self.assertFalse(limiter.may_redirect(MIN_GAIN_MS, 24, 0, 0.0))
        self.assertTrue(limiter.may_redirect(MIN_GAIN_MS + 1, 24, 0, 0.0))
        limiter.begin("t1", 0, 0.0)
        self.assertTrue(limiter.may_redirect(1.0, 24, 0, 0.9 * MIN_GAIN_WAIVED_S))
        self.assertFalse(limiter.may_redirect(0.0, 24, 0, 0.9 * MIN_GAIN_WAIVED_S))
        self.assertFalse(limiter.may_redirect(1.0, 24, 0, 1.1 * MIN_GAIN_WAIVED_S))

    def test_slots_are_no_bound_while_the_own_runners_fail(self) -> None:
        limiter = SpilloverLimiter()
        for number in range(24):
            limiter.begin(f"t{number}", 0, 0.0)
        self.assertFalse(limiter.may_redirect(OUTAGE_GAIN_MS - 1, 24, 0, 0.0))
        self.assertTrue(limiter.may_redirect(OUTAGE_GAIN_MS, 24, 0, 0.0))

    def test_ended_turns_free_slots(self) -> None:
        limiter = SpilloverLimiter()
        for number in range(12):
            limiter.begin(f"t{number}", 0, 0.0)
        self.assertFalse(limiter.may_redirect(100.0, 24, 0, 0.0))
        limiter.end("t3")
        self.assertTrue(limiter.may_redirect(100.0, 24, 0, 0.0))

    def test_a_turn_larger_than_a_burst_is_redirected_and_delays_the_next(self) -> None:
        limiter = SpilloverLimiter(region_mbit_per_s=1.0)
        self.assertTrue(limiter.may_redirect(5_000.0, 24, 40_000, 0.0))
        limiter.begin("large", 40_000, 0.0)
        self.assertFalse(limiter.may_redirect(5_000.0, 24, 1_000, 0.1))

    def test_bytes_of_unavoidable_redirects_count_too(self) -> None:
        limiter = SpilloverLimiter(region_mbit_per_s=8.0)
        self.assertTrue(limiter.may_redirect(100.0, 24, 200_000, 0.0))
        limiter.begin("forced", 1_000_000, 0.0)
        self.assertFalse(limiter.may_redirect(100.0, 24, 10_000, 1.0))
        self.assertTrue(limiter.may_redirect(100.0, 24, 10_000, 3.0))


class NodeChoiceTest(unittest.TestCase):
    """Choices of a node for requests that the leader did not place."""

    def setUp(self) -> None:
        self.records = {name: RunnerRecord(runner(name)) for name in ZONES}

    def choose(self, session: str = "", affinity_key: str = "", connected: str = "") -> str:
        view = NodeView("front", "x", set(connected.split()), 0.0, PLACES)
        rng = random.Random(1)
        choice = choose_runner(
            self.records.values(), (), session, view, rng, affinity_key=affinity_key
        )
        assert choice is not None
        return choice.record.listed.runner_id

    def test_every_kind_of_choice_stays_in_the_region(self) -> None:
        for number in range(20):
            self.assertIn(self.choose(session=f"s{number}"), WEST)
            self.assertIn(self.choose(affinity_key=f"t{number}", connected="a1 b1 x1"), WEST)
        self.assertEqual(ZONES[self.choose()], "x")
        self.assertIn(self.choose(connected="a1 b1"), WEST)

    def test_another_region_is_chosen_when_all_slots_of_the_own_are_taken(self) -> None:
        for name in WEST:
            self.records[name].in_flight = SLOTS
        self.assertNotIn(self.choose(), WEST)

    def test_another_region_is_chosen_when_the_own_failed_recently(self) -> None:
        for name in WEST:
            self.records[name].avoid_until_s = 1.0
        self.assertNotIn(self.choose(session="s"), WEST)


if __name__ == "__main__":
    unittest.main()
