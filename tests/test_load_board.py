"""Placement by the load of all nodes: slots, kept prompts, speed, failures, connections."""

import random
import unittest

from bendshed.model.address import Address
from bendshed.model.prompt import PromptPart
from bendshed.model.runner import RunnerState, ServiceRunner
from bendshed.placement.cluster_load import MAX_CANDIDATES, ClusterLoad, NotPlaced, Placed
from bendshed.placement.placement_cost import FAILED_TURN_COST_MS
from bendshed.placement.prompt_cache import PromptCache
from bendshed.placement.runner_health import HEALTH_HALF_LIFE_S, RunnerHealth, median_pace
from bendshed.placement.running_turns import INITIAL_MEAN_TURN_MS
from bendshed.placement.turn_demand import EndedTurn, TurnDemand

SLOTS = 6
CAPACITY = 60_000
LONG_S = 100.0


def runner(name: str, zone: str = "z") -> ServiceRunner:
    return ServiceRunner(name, "s", Address("10.0.0.1", 80), zone, SLOTS, RunnerState.READY)


class ColdCostTest(unittest.TestCase):
    def setUp(self) -> None:
        self.load = ClusterLoad(random.Random(1))
        self.num_turns = 0

    def place(self, last_runner: str = "") -> str:
        self.num_turns += 1
        name = f"turn-{self.num_turns}"
        parts = (PromptPart("shared", 500), PromptPart(name, 300))
        demand = TurnDemand(name, name, parts, 80, LONG_S, zone="z", last_runner=last_runner)
        pool = [runner("warm"), runner("cold")]
        placed = self.load.place(demand, pool, CAPACITY, 0.0, cold={"cold"})
        assert isinstance(placed, Placed)
        return placed.runner_id

    def test_a_cold_runner_is_filled_when_the_warm_one_is_loaded(self) -> None:
        chosen = [self.place() for _ in range(20)]
        self.assertEqual(chosen[:5], ["warm"] * 5)
        self.assertIn("cold", chosen)
        self.assertGreater(chosen.count("warm"), chosen.count("cold"))

    def test_first_turns_come_to_it_sooner_than_those_with_a_history(self) -> None:
        before = [self.place(last_runner="warm") for _ in range(12)].count("warm")
        self.load = ClusterLoad(random.Random(1))
        self.assertLess([self.place() for _ in range(12)].count("warm"), before)


class ClusterLoadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.load = ClusterLoad(random.Random(1))
        self.runners = [runner(name) for name in "abcde"]
        self.num_turns = 0

    def demand(self, line: str = "", tokens: int = 1_000, **changes: object) -> TurnDemand:
        self.num_turns += 1
        values: dict[str, object] = {
            "turn_id": f"turn-{self.num_turns}",
            "chain": line or f"line-{self.num_turns}",
            "parts": (PromptPart(line or f"line-{self.num_turns}", tokens),),
            "max_answer_tokens": 80,
            "time_left_s": LONG_S,
            "zone": "z",
        }
        return TurnDemand(**{**values, **changes})  # type: ignore[arg-type]

    def place(self, demand: TurnDemand, now_s: float = 0.0) -> Placed:
        placed = self.load.place(demand, self.runners, CAPACITY, now_s)
        assert isinstance(placed, Placed)
        return placed

    def num_at(self, runner_id: str) -> int:
        loads = dict(self.load.own_loads())
        return loads[runner_id].num_running if runner_id in loads else 0

    def end(
        self, demand: TurnDemand, placed: Placed, now_s: float, event_gap_ms: float = 30.0
    ) -> None:
        self.load.end(EndedTurn(demand.turn_id, placed.runner_id, event_gap_ms), now_s)

    def test_turns_of_all_nodes_spread_evenly(self) -> None:
        for _ in range(20):
            self.place(self.demand())
        loads = [self.num_at(runner.runner_id) for runner in self.runners]
        self.assertEqual(loads, [4] * 5)

    def test_a_line_stays_where_its_prompt_is_kept_while_there_is_a_slot(self) -> None:
        first = self.demand("line", 2_000)
        home = self.place(first)
        self.end(first, home, 0.3)
        for _ in range(10):
            self.place(self.demand(), 0.4)
        second = self.place(self.demand("line", 2_500), 0.5)
        self.assertEqual((second.runner_id, second.cached_tokens), (home.runner_id, 2_000))

    def test_a_line_stays_while_a_slot_is_free_though_others_run_nothing(self) -> None:
        first = self.demand("line", 1_900)
        home = self.place(first)
        self.end(first, home, 0.3)
        others = {row.runner_id for row in self.runners} - {home.runner_id}
        for _ in range(SLOTS - 1):
            self.place(self.demand(avoided=others), 0.4)
        self.assertEqual(self.place(self.demand("line", 2_200), 0.5).runner_id, home.runner_id)

    def test_a_child_stays_where_its_parents_prompt_is_kept(self) -> None:
        shared, parent = PromptPart("shared", 500), PromptPart("parent", 2_000)
        first = self.demand(parts=(shared, parent))
        home = self.place(first)
        self.end(first, home, 0.3)
        for number in range(4):
            own = PromptPart(f"child-{number}", 300)
            child = self.demand(f"child-{number}", parts=(shared, parent, own))
            self.assertEqual(self.place(child, 0.4).runner_id, home.runner_id)

    def test_a_first_part_that_many_share_is_read_by_runners_with_less_to_do(self) -> None:
        shared = PromptPart("shared", 1_000)
        for number in range(20):
            self.place(self.demand(parts=(shared, PromptPart(f"own-{number}", 100))))
        loads = [self.num_at(runner.runner_id) for runner in self.runners]
        self.assertLessEqual(max(loads) - min(loads), 2)

    def test_a_line_leaves_a_runner_whose_slots_are_taken(self) -> None:
        first = self.demand("line", 1_000)
        home = self.place(first)
        self.end(first, home, 0.3)
        others = self.runners
        self.runners = [row for row in others if row.runner_id == home.runner_id]
        for _ in range(SLOTS):
            self.place(self.demand(), 0.4)
        self.runners = others
        self.assertNotEqual(self.place(self.demand("line", 1_000), 0.5).runner_id, home.runner_id)

    def test_a_new_leader_sends_a_program_where_its_latest_turn_ran(self) -> None:
        for _ in range(12):
            self.place(self.demand())
        known = self.place(self.demand("line", 8_000, last_runner="d"))
        self.assertEqual((known.runner_id, known.cached_tokens), ("d", 8_000))
        other = self.demand("line", 8_000, last_runner="b")
        self.assertEqual(self.place(other).runner_id, "d")

    def test_an_idle_connection_is_used_while_it_costs_little(self) -> None:
        for _ in range(5):
            self.assertEqual(self.place(self.demand(connected={"c"})).runner_id, "c")
        while self.num_at("c") < SLOTS + 1:
            self.place(self.demand(avoided=set("abde")))
        self.assertNotEqual(self.place(self.demand(connected={"c"})).runner_id, "c")

    def test_a_slow_runner_gets_its_share_and_comes_back(self) -> None:
        first = self.demand()
        self.end(first, self.place(first), 0.0)
        for row in self.runners:
            self.load.end(EndedTurn("old", row.runner_id, 30.0), 0.0)
        for _ in range(3):
            self.load.end(EndedTurn("old", "c", 150.0), 0.0)
        for _ in range(15):
            self.place(self.demand(time_left_s=1.0))
        self.assertEqual(self.num_at("c"), 0)
        for _ in range(10):
            self.place(self.demand(), 8 * HEALTH_HALF_LIFE_S)
        self.assertGreater(self.num_at("c"), 0)

    def test_when_all_others_are_full_a_slow_runner_is_used(self) -> None:
        self.place(self.demand())
        for row in self.runners:
            self.load.end(EndedTurn("old", row.runner_id, 30.0), 0.0)
        for _ in range(3):
            self.load.end(EndedTurn("old", "c", 150.0), 0.0)
        for _ in range(200):
            self.place(self.demand())
        self.assertGreater(self.num_at("c"), 0)

    def test_a_runner_where_no_turn_ends_counts_as_slow(self) -> None:
        stuck = self.place(self.demand())
        later_s = 20 * INITIAL_MEAN_TURN_MS / 1000
        for _ in range(12):
            self.place(self.demand(), later_s)
        self.assertEqual(self.num_at(stuck.runner_id), 1)

    def test_one_long_turn_among_others_that_end_is_no_slowness(self) -> None:
        long = self.place(self.demand())
        later_s = 20 * INITIAL_MEAN_TURN_MS / 1000
        self.load.end(EndedTurn("another", long.runner_id), later_s)
        for _ in range(14):
            self.place(self.demand(), later_s)
        self.assertEqual(self.num_at(long.runner_id), 3)

    def test_a_failing_runner_is_left_for_a_while(self) -> None:
        self.place(self.demand())
        self.load.end(EndedTurn("turn-1", "", failed=("a",)), 0.0)
        for _ in range(12):
            self.place(self.demand())
        self.assertEqual(self.num_at("a"), 0)
        self.assertEqual(self.place(self.demand(avoided=set("bcde")), 30.0).runner_id, "a")

    def test_a_turn_counts_until_its_end_or_its_deadline(self) -> None:
        first, second = self.demand(time_left_s=2.0), self.demand(time_left_s=4.0)
        placed = self.place(first)
        self.place(second)
        self.end(first, placed, 0.2)
        self.end(first, placed, 0.3)
        self.assertEqual(self.load.num_running, 1)
        self.place(self.demand(), 4.1)
        self.assertEqual(self.load.num_running, 1)

    def test_memory_that_would_overflow_is_avoided(self) -> None:
        for row in self.runners[:-1]:
            others = {other.runner_id for other in self.runners} - {row.runner_id}
            self.place(self.demand(tokens=45_000, avoided=others))
        self.assertEqual(self.place(self.demand(tokens=10_000)).runner_id, "e")

    def test_a_large_pool_is_sampled_and_the_kept_prompt_is_still_found(self) -> None:
        self.runners = [runner(f"runner-{number}") for number in range(4 * MAX_CANDIDATES)]
        first = self.demand("line", 8_000)
        home = self.place(first)
        self.end(first, home, 0.3)
        for _ in range(20):
            again = self.demand("line", 8_000)
            placed = self.place(again, 0.4)
            self.end(again, placed, 0.5)
            self.assertEqual(placed.runner_id, home.runner_id)

    def test_runners_that_are_gone_are_forgotten_with_their_turns(self) -> None:
        placed = self.place(self.demand())
        self.load.retain_only([])
        self.assertEqual(self.load.num_running, 0)
        self.load.end(EndedTurn("turn-1", placed.runner_id, 30.0), 1.0)
        self.assertEqual(self.load.place(self.demand(), [], CAPACITY, 1.0), NotPlaced())

    def test_a_failure_costs_more_than_any_wait_for_a_slot(self) -> None:
        self.assertGreater(FAILED_TURN_COST_MS, INITIAL_MEAN_TURN_MS)


class PromptCacheTest(unittest.TestCase):
    def test_a_part_helps_only_behind_parts_that_are_kept(self) -> None:
        cache = PromptCache(10_000)
        cache.add_prompt([PromptPart("shared", 500), PromptPart("own", 300)])
        self.assertEqual(cache.cached_tokens([PromptPart("shared", 500)]), 500)
        self.assertEqual(cache.cached_tokens([PromptPart("x", 9), PromptPart("own", 300)]), 0)
        grown = [PromptPart("shared", 500), PromptPart("own", 700), PromptPart("more", 5)]
        self.assertEqual(cache.cached_tokens(grown), 800)

    def test_the_longest_unused_part_is_given_up(self) -> None:
        cache = PromptCache(1_000)
        for name in "abc":
            cache.add_prompt([PromptPart(name, 400)])
        found = {name: cache.cached_tokens([PromptPart(name, 400)]) for name in "abc"}
        self.assertEqual(found, {"a": 0, "b": 400, "c": 400})
        self.assertEqual(cache.num_tokens, 800)


class RunnerHealthTest(unittest.TestCase):
    def test_slowness_is_against_the_pool_and_fades(self) -> None:
        pool = [RunnerHealth() for _ in range(4)]
        for health in pool:
            health.note_pace(30.0, 0.0)
        pool[0].note_pace(300.0, 0.0)
        middle = median_pace(pool)
        self.assertEqual([h.slowness_now(middle, 0.0, 1.6) for h in pool[1:]], [1.0] * 3)
        now = pool[0].slowness_now(middle, 0.0, 1.6)
        later = pool[0].slowness_now(middle, HEALTH_HALF_LIFE_S, 1.6)
        self.assertGreater(now, 4.0)
        self.assertAlmostEqual(later - 1.0, (now - 1.0) / 2)

    def test_one_odd_request_is_no_slowness(self) -> None:
        health = RunnerHealth()
        health.note_pace(30.0, 0.0)
        health.note_pace(60.0, 0.0)
        self.assertEqual(health.slowness_now(30.0, 0.0, 1.6), 1.0)


if __name__ == "__main__":
    unittest.main()
