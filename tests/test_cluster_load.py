"""Placement by the load of all nodes: slots, cached prompts, pace, failures, connections."""

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
CAPACITY_TOKENS = 60_000
TIME_LEFT_S = 100.0


def runner(name: str, zone: str = "z") -> ServiceRunner:
    return ServiceRunner(name, "s", Address("10.0.0.1", 80), zone, SLOTS, RunnerState.READY)


class ColdRunnerCostTest(unittest.TestCase):
    def setUp(self) -> None:
        self.load = ClusterLoad(random.Random(1))
        self.num_turns = 0

    def place(self, last_runner: str = "") -> str:
        self.num_turns += 1
        name = f"turn-{self.num_turns}"
        parts = (PromptPart("shared", 500), PromptPart(name, 300))
        demand = TurnDemand(name, name, parts, 80, TIME_LEFT_S, zone="z", last_runner=last_runner)
        pool = [runner("warm"), runner("cold")]
        placed = self.load.place(demand, pool, CAPACITY_TOKENS, 0.0, cold={"cold"})
        assert isinstance(placed, Placed)
        return placed.runner_id

    def test_a_cold_runner_gets_turns_when_the_warm_one_is_loaded(self) -> None:
        chosen = [self.place() for _ in range(20)]
        self.assertEqual(chosen[:5], ["warm"] * 5)
        self.assertIn("cold", chosen)
        self.assertGreater(chosen.count("warm"), chosen.count("cold"))

    def test_first_turns_use_a_cold_runner_sooner_than_later_turns(self) -> None:
        num_warm = [self.place(last_runner="warm") for _ in range(12)].count("warm")
        self.load = ClusterLoad(random.Random(1))
        self.assertLess([self.place() for _ in range(12)].count("warm"), num_warm)


class ClusterLoadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.load = ClusterLoad(random.Random(1))
        self.runners = [runner(name) for name in "abcde"]
        self.num_turns = 0

    def demand(self, chain: str = "", tokens: int = 1_000, **changes: object) -> TurnDemand:
        self.num_turns += 1
        values: dict[str, object] = {
            "turn_id": f"turn-{self.num_turns}",
            "chain": chain or f"line-{self.num_turns}",
            "parts": (PromptPart(chain or f"line-{self.num_turns}", tokens),),
            "max_answer_tokens": 80,
            "time_left_s": TIME_LEFT_S,
            "zone": "z",
        }
        return TurnDemand(**{**values, **changes})  # type: ignore[arg-type]

    def place(self, demand: TurnDemand, now_s: float = 0.0) -> Placed:
        placed = self.load.place(demand, self.runners, CAPACITY_TOKENS, now_s)
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

    def test_a_chain_stays_where_its_prompt_is_cached_while_a_slot_is_free(self) -> None:
        first = self.demand("line", 2_000)
        first_placed = self.place(first)
        self.end(first, first_placed, 0.3)
        for _ in range(10):
            self.place(self.demand(), 0.4)
        second = self.place(self.demand("line", 2_500), 0.5)
        self.assertEqual((second.runner_id, second.cached_tokens), (first_placed.runner_id, 2_000))

    def test_a_chain_stays_while_a_slot_is_free_though_other_runners_are_idle(self) -> None:
        first = self.demand("line", 1_900)
        first_placed = self.place(first)
        self.end(first, first_placed, 0.3)
        others = {listed.runner_id for listed in self.runners} - {first_placed.runner_id}
        for _ in range(SLOTS - 1):
            self.place(self.demand(avoided=others), 0.4)
        self.assertEqual(
            self.place(self.demand("line", 2_200), 0.5).runner_id, first_placed.runner_id
        )

    def test_a_child_chain_runs_where_its_parents_prompt_is_cached(self) -> None:
        shared, parent = PromptPart("shared", 500), PromptPart("parent", 2_000)
        first = self.demand(parts=(shared, parent))
        first_placed = self.place(first)
        self.end(first, first_placed, 0.3)
        for number in range(4):
            own = PromptPart(f"child-{number}", 300)
            child = self.demand(f"child-{number}", parts=(shared, parent, own))
            self.assertEqual(self.place(child, 0.4).runner_id, first_placed.runner_id)

    def test_a_shared_first_part_does_not_concentrate_turns(self) -> None:
        shared = PromptPart("shared", 1_000)
        for number in range(20):
            self.place(self.demand(parts=(shared, PromptPart(f"own-{number}", 100))))
        loads = [self.num_at(runner.runner_id) for runner in self.runners]
        self.assertLessEqual(max(loads) - min(loads), 2)

    def test_a_chain_leaves_a_runner_without_a_free_slot(self) -> None:
        first = self.demand("line", 1_000)
        first_placed = self.place(first)
        self.end(first, first_placed, 0.3)
        others = self.runners
        self.runners = [listed for listed in others if listed.runner_id == first_placed.runner_id]
        for _ in range(SLOTS):
            self.place(self.demand(), 0.4)
        self.runners = others
        self.assertNotEqual(
            self.place(self.demand("line", 1_000), 0.5).runner_id, first_placed.runner_id
        )

    def test_a_new_leader_places_a_program_where_its_latest_turn_ran(self) -> None:
        for _ in range(12):
            self.place(self.demand())
        placed = self.place(self.demand("line", 8_000, last_runner="d"))
        self.assertEqual((placed.runner_id, placed.cached_tokens), ("d", 8_000))
        other = self.demand("line", 8_000, last_runner="b")
        self.assertEqual(self.place(other).runner_id, "d")

    def test_an_idle_connection_is_used_while_it_costs_little(self) -> None:
        for _ in range(5):
            self.assertEqual(self.place(self.demand(connected={"c"})).runner_id, "c")
        while self.num_at("c") < SLOTS + 1:
            self.place(self.demand(avoided=set("abde")))
        self.assertNotEqual(self.place(self.demand(connected={"c"})).runner_id, "c")

    def test_a_slow_runner_gets_no_turns_until_its_slowness_decays(self) -> None:
        first = self.demand()
        self.end(first, self.place(first), 0.0)
        for listed in self.runners:
            self.load.end(EndedTurn("old", listed.runner_id, 30.0), 0.0)
        for _ in range(3):
            self.load.end(EndedTurn("old", "c", 150.0), 0.0)
        for _ in range(15):
            self.place(self.demand(time_left_s=1.0))
        self.assertEqual(self.num_at("c"), 0)
        for _ in range(10):
            self.place(self.demand(), 8 * HEALTH_HALF_LIFE_S)
        self.assertGreater(self.num_at("c"), 0)

    def test_a_slow_runner_is_used_when_all_others_are_full(self) -> None:
        self.place(self.demand())
        for listed in self.runners:
            self.load.end(EndedTurn("old", listed.runner_id, 30.0), 0.0)
        for _ in range(3):
            self.load.end(EndedTurn("old", "c", 150.0), 0.0)
        for _ in range(200):
            self.place(self.demand())
        self.assertGreater(self.num_at("c"), 0)

    def test_a_runner_where_no_turn_ends_counts_as_slow(self) -> None:
        placed = self.place(self.demand())
        later_s = 20 * INITIAL_MEAN_TURN_MS / 1000
        for _ in range(12):
            self.place(self.demand(), later_s)
        self.assertEqual(self.num_at(placed.runner_id), 1)

    def test_one_long_turn_does_not_mark_a_runner_as_slow(self) -> None:
        placed = self.place(self.demand())
        later_s = 20 * INITIAL_MEAN_TURN_MS / 1000
        self.load.end(EndedTurn("another", placed.runner_id), later_s)
        for _ in range(14):
            self.place(self.demand(), later_s)
        self.assertEqual(self.num_at(placed.runner_id), 3)

    def test_a_failing_runner_gets_no_turns_for_a_while(self) -> None:
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

    def test_a_runner_whose_memory_would_overflow_is_avoided(self) -> None:
        for listed in self.runners[:-1]:
            others = {other.runner_id for other in self.runners} - {listed.runner_id}
            self.place(self.demand(tokens=45_000, avoided=others))
        self.assertEqual(self.place(self.demand(tokens=10_000)).runner_id, "e")

    def test_a_large_pool_is_sampled_and_the_cached_prompt_is_still_found(self) -> None:
        self.runners = [runner(f"runner-{number}") for number in range(4 * MAX_CANDIDATES)]
        first = self.demand("line", 8_000)
        first_placed = self.place(first)
        self.end(first, first_placed, 0.3)
        for _ in range(20):
            again = self.demand("line", 8_000)
            placed = self.place(again, 0.4)
            self.end(again, placed, 0.5)
            self.assertEqual(placed.runner_id, first_placed.runner_id)

    def test_unlisted_runners_are_forgotten_with_their_turns(self) -> None:
        placed = self.place(self.demand())
        self.load.retain_only([])
        self.assertEqual(self.load.num_running, 0)
        self.load.end(EndedTurn("turn-1", placed.runner_id, 30.0), 1.0)
        self.assertEqual(self.load.place(self.demand(), [], CAPACITY_TOKENS, 1.0), NotPlaced())

    def test_a_failure_costs_more_than_any_wait_for_a_slot(self) -> None:
        self.assertGreater(FAILED_TURN_COST_MS, INITIAL_MEAN_TURN_MS)


class PromptCacheTest(unittest.TestCase):
    def test_a_part_counts_only_after_cached_parts(self) -> None:
        cache = PromptCache(10_000)
        cache.add_prompt([PromptPart("shared", 500), PromptPart("own", 300)])
        self.assertEqual(cache.cached_tokens([PromptPart("shared", 500)]), 500)
        self.assertEqual(cache.cached_tokens([PromptPart("x", 9), PromptPart("own", 300)]), 0)
        grown = [PromptPart("shared", 500), PromptPart("own", 700), PromptPart("more", 5)]
        self.assertEqual(cache.cached_tokens(grown), 800)

    def test_the_least_recently_used_part_is_evicted(self) -> None:
        cache = PromptCache(1_000)
        for name in "abc":
            cache.add_prompt([PromptPart(name, 400)])
        found = {name: cache.cached_tokens([PromptPart(name, 400)]) for name in "abc"}
        self.assertEqual(found, {"a": 0, "b": 400, "c": 400})
        self.assertEqual(cache.num_tokens, 800)


class RunnerHealthTest(unittest.TestCase):
    def test_slowness_is_relative_to_the_pool_and_decays(self) -> None:
        pool = [RunnerHealth() for _ in range(4)]
        for health in pool:
            health.note_pace(30.0, 0.0)
        pool[0].note_pace(300.0, 0.0)
        pool_pace = median_pace(pool)
        self.assertEqual([h.slowness_now(pool_pace, 0.0, 1.6) for h in pool[1:]], [1.0] * 3)
        slowness = pool[0].slowness_now(pool_pace, 0.0, 1.6)
        later_slowness = pool[0].slowness_now(pool_pace, HEALTH_HALF_LIFE_S, 1.6)
        self.assertGreater(slowness, 4.0)
        self.assertAlmostEqual(later_slowness - 1.0, (slowness - 1.0) / 2)

    def test_one_slow_request_does_not_mark_a_runner_as_slow(self) -> None:
        health = RunnerHealth()
        health.note_pace(30.0, 0.0)
        health.note_pace(60.0, 0.0)
        self.assertEqual(health.slowness_now(30.0, 0.0, 1.6), 1.0)


if __name__ == "__main__":
    unittest.main()
