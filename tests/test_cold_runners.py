"""Cold runners: whose word counts, and what leaders grant however they change."""

import random
import unittest
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from bendshed.admission.cold_permits import (
    ESTABLISHED_S,
    LOOK_GAP_S,
    PERMIT_VALID_S,
    STALE_S,
    WINDOW_MS,
    ColdPermitCounts,
    LeaderTouch,
)
from bendshed.model.address import Address
from bendshed.model.runner import RunnerState, ServiceRunner
from bendshed.model.service_document import Service
from bendshed.placement.cold_runners import MAX_VANISHED, ColdRateLimit, ColdRunners

START_S = 8.0
TERMS = ColdRateLimit(factor=1.5, slack=5)
COLD_PER_S = 25.0
BOUND = 42.5
SERVICES = {
    "s": Service("s", cold_per_s=COLD_PER_S, cold_start_ms=int(1000 * START_S)),
    "free": Service("free"),
}


def runner(name: str, left_ms: int = 0, zone: str = "z", service: str = "s") -> ServiceRunner:
    address = Address("10.0.0.1", 80)
    return ServiceRunner(name, service, address, zone, 6, RunnerState.READY, left_ms)


class ColdRunnersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cold = ColdRunners(SERVICES)

    def test_it_is_cold_from_the_moment_at_which_that_was_heard(self) -> None:
        self.cold.note_listed(runner("a", 5_000), 100.0)
        self.assertEqual(self.cold.cold_left_ms("a", 102.0), 3_000)
        self.assertTrue(self.cold.is_cold("a", 104.9))
        self.assertFalse(self.cold.is_cold("a", 105.0))

    def test_a_newer_word_counts(self) -> None:
        self.cold.note_listed(runner("a", 5_000), 100.0)
        self.cold.note_listed(runner("a"), 101.0)
        self.assertFalse(self.cold.is_cold("a", 101.0))

    def test_a_runner_is_cold_again_without_a_new_start(self) -> None:
        self.cold.note_listed(runner("a"), 0.0)
        self.assertFalse(self.cold.is_cold("a", 50.0))
        self.cold.note_listed(runner("a", 2_000), 50.0)
        self.assertTrue(self.cold.is_cold("a", 51.9))

    def test_an_entry_that_vanished_and_came_back_counts_as_just_started(self) -> None:
        self.cold.note_listed(runner("a"), 0.0)
        self.cold.note_vanished("a")
        self.assertFalse(self.cold.is_cold("a", 10.0))
        self.cold.note_listed(runner("a"), 10.0)
        self.assertTrue(self.cold.is_cold("a", 10.0 + START_S - 0.1))
        self.cold.note_listed(runner("a"), 11.0)
        self.assertFalse(self.cold.is_cold("a", 11.0))

    def test_runners_that_vanished_are_forgotten_at_some_number(self) -> None:
        for number in range(MAX_VANISHED + 5):
            self.cold.note_listed(runner(f"r{number}"), 0.0)
            self.cold.note_vanished(f"r{number}")
        self.assertEqual(len(self.cold._vanished), MAX_VANISHED)
        self.assertEqual(len(self.cold._entries), MAX_VANISHED)

    def test_a_word_that_was_kept_counts_in_full_until_it_is_told_anew(self) -> None:
        self.cold.note_persisted(runner("a", 3_000), 0.0)
        self.assertEqual(self.cold.cold_left_ms("a", 0.0), 3_000)
        self.cold.note_confirmed(runner("a", 500), 0.1)
        self.assertEqual(self.cold.cold_left_ms("a", 0.1), 500)
        self.cold.note_confirmed(runner("a", 900), 0.2)
        self.assertEqual(self.cold.cold_left_ms("a", 0.2), 400)

    def test_a_zone_that_was_opened_again_is_cold_but_for_newer_words(self) -> None:
        self.cold.note_listed(runner("old word"), 10.0)
        self.cold.note_listed(runner("elsewhere", zone="y"), 10.0)
        self.cold.note_listed(runner("new word"), 21.0)
        self.assertEqual(self.cold.note_reopened("z", 20.0), ["old word"])
        self.assertTrue(self.cold.is_cold("old word", 20.0 + START_S - 0.1))
        self.assertFalse(self.cold.is_cold("elsewhere", 22.0))
        self.assertFalse(self.cold.is_cold("new word", 22.0))
        self.cold.note_listed(runner("old word"), 23.0)
        self.assertFalse(self.cold.is_cold("old word", 23.0))

    def test_a_zone_that_was_opened_does_not_shorten_a_runners_own_time(self) -> None:
        self.cold.note_listed(runner("a", 60_000), 10.0)
        self.assertEqual(self.cold.note_reopened("z", 20.0), [])
        self.assertEqual(self.cold.cold_left_ms("a", 20.0), 50_000)

    def test_services_without_a_bound_are_never_cold(self) -> None:
        self.cold.note_listed(runner("a", 5_000, service="free"), 0.0)
        self.assertFalse(self.cold.is_cold("a", 1.0))
        self.assertEqual(self.cold.cold_left_ms("a", 1.0), 4_000)
        self.assertEqual(self.cold.num_cold(1.0), 0)

    def test_a_bound_that_comes_into_force_finds_those_that_are_cold(self) -> None:
        unbound = ColdRunners()
        unbound.note_listed(runner("a", 5_000), 0.0)
        unbound.services = SERVICES
        self.assertTrue(unbound.is_cold("a", 1.0))

    def test_those_whose_time_is_over_are_told_once(self) -> None:
        self.cold.note_listed(runner("a", 1_000), 0.0)
        self.cold.note_listed(runner("b", 3_000), 0.0)
        self.assertEqual(self.cold.pop_warm(2.0), ["a"])
        self.assertEqual(self.cold.pop_warm(2.0), [])


@dataclass
class Reign:
    """One leader that grants whatever it may; what it grants leaves as late as it may."""

    grants: ColdPermitCounts = field(default_factory=lambda: ColdPermitCounts(TERMS))
    sent_s: list[float] = field(default_factory=list)

    def lead(self, from_s: float, to_s: float, rng: random.Random, term: int) -> None:
        at_s = from_s
        while at_s < to_s:
            self.grants.touch.look(term, has_majority=True, now_s=at_s)
            if self.grants.room("r", COLD_PER_S, False, at_s) > 0:
                self.grants.grant("r", at_s)
                self.sent_s.append(at_s + rng.uniform(0, PERMIT_VALID_S))
            at_s += rng.uniform(0.001, 0.02)


def most_in_a_second(times_s: list[float]) -> int:
    ordered = sorted(times_s)
    return max((sum(1 for t in ordered if b <= t <= b + 1.0) for b in ordered), default=0)


class ColdGrantsTest(unittest.TestCase):
    def test_the_times_bear_the_shares(self) -> None:
        self.assertGreater(ESTABLISHED_S, 1 + PERMIT_VALID_S + STALE_S)
        self.assertEqual(WINDOW_MS, 1000 * (1 + PERMIT_VALID_S))

    def test_an_established_leader_grants_half_and_a_new_one_a_quarter(self) -> None:
        grants = ColdPermitCounts(TERMS)
        grants.touch.look(1, True, 0.0)
        self.assertEqual(grants.most(COLD_PER_S, False, 0.1), int(BOUND / 4))
        for tenth in range(1, 30):
            grants.touch.look(1, True, tenth / 10)
        self.assertEqual(grants.most(COLD_PER_S, False, 2.9), int(BOUND / 2))
        halved = ColdPermitCounts(TERMS, num_leaders=2, touch=grants.touch)
        self.assertEqual(halved.most(COLD_PER_S, False, 2.9), int(BOUND / 4))

    def test_programs_under_way_have_room_that_new_ones_have_not(self) -> None:
        grants = ColdPermitCounts(TERMS)
        grants.touch.look(1, True, 0.0)
        while grants.room("r", COLD_PER_S, True, 0.1) > 0:
            grants.grant("r", 0.1)
        self.assertGreater(grants.wait_ms("r", COLD_PER_S, True, 0.1), 0)
        self.assertGreater(grants.room("r", COLD_PER_S, False, 0.1), 0)
        self.assertEqual(grants.wait_ms("r", COLD_PER_S, False, 0.1), 0)

    @settings(max_examples=100)
    @given(st.integers(0, 10_000))
    def test_no_second_holds_more_than_the_bound_while_one_leads(self, seed: int) -> None:
        reign = Reign()
        reign.lead(0.0, 6.0, random.Random(seed), term=1)
        self.assertGreater(len(reign.sent_s), 2 * BOUND)
        self.assertLessEqual(most_in_a_second(reign.sent_s), BOUND / 2)

    @settings(max_examples=100)
    @given(st.integers(0, 10_000), st.floats(0.0, 1.0), st.floats(0.0, 1.0))
    def test_nor_when_the_leader_changes_twice_within_it(
        self, seed: int, first_s: float, second_s: float
    ) -> None:
        """Each that was replaced goes on granting for a while beside its successors."""
        rng = random.Random(seed)
        began_s = [0.0, 4.0 + min(first_s, second_s), 4.0 + max(first_s, second_s)]
        ended_s = [began_s[1] + STALE_S, began_s[2] + STALE_S, 9.0]
        reigns = [Reign(), Reign(), Reign()]
        for term, reign in enumerate(reigns):
            reign.lead(began_s[term], ended_s[term], rng, term)
        sent_s = [at_s for reign in reigns for at_s in reign.sent_s]
        self.assertLessEqual(most_in_a_second(sent_s), BOUND)

    def test_nor_when_a_leader_wakes_with_leave_out_and_two_others_led_meanwhile(self) -> None:
        rng = random.Random(5)
        frozen, second, third = Reign(), Reign(), Reign()
        frozen.lead(0.0, 5.0, rng, term=1)
        second.lead(5.4, 8.0 + STALE_S, rng, term=2)
        third.lead(8.0, 12.0, rng, term=3)
        self.assertEqual(frozen.grants.touch.share(8.1), 0.0)
        frozen.lead(8.1, 8.1 + STALE_S, rng, term=1)
        sent_s = [*frozen.sent_s, *second.sent_s, *third.sent_s]
        self.assertLessEqual(most_in_a_second(sent_s), BOUND)

    def test_a_leader_that_leads_again_remembers_what_it_granted(self) -> None:
        reign = Reign()
        reign.lead(0.0, 3.0, random.Random(1), term=1)
        before = reign.grants.num_granted("r", 3.0)
        reign.grants.touch.look(3, True, 3.05)
        self.assertEqual(reign.grants.num_granted("r", 3.0), before)
        self.assertLessEqual(reign.grants.room("r", COLD_PER_S, False, 3.05), 0)

    def test_grants_take_bounded_memory(self) -> None:
        grants = ColdPermitCounts(TERMS)
        for number in range(10_000):
            grants.grant("r", number / 100)
        self.assertLess(len(grants._granted["r"].spans), 30)

    def test_what_no_window_holds_is_forgotten(self) -> None:
        grants = ColdPermitCounts(TERMS)
        grants.grant("r", 1.0)
        grants.sweep(2.0)
        self.assertEqual(grants.num_granted("r", 2.0), 1)
        grants.sweep(3.0)
        self.assertEqual(grants._granted, {})


class LeaderTouchTest(unittest.TestCase):
    def test_without_a_majority_nothing_may_be_granted(self) -> None:
        touch = LeaderTouch()
        self.assertEqual(touch.share(0.0), 0.0)
        touch.look(1, True, 0.0)
        touch.look(1, False, 0.1)
        self.assertEqual(touch.share(0.1), 0.0)
        touch.look(1, True, 0.2)
        self.assertEqual(touch.share(0.2), 0.25)

    def test_a_process_that_did_not_run_grants_nothing_until_it_has_looked(self) -> None:
        touch = LeaderTouch()
        for tenth in range(40):
            touch.look(1, True, tenth / 10)
        self.assertEqual(touch.share(3.95), 0.5)
        self.assertEqual(touch.share(3.9 + LOOK_GAP_S + 0.1), 0.0)
        touch.look(1, True, 5.0)
        self.assertEqual(touch.share(5.0), 0.25)
