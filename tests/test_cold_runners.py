"""Cold runners: which listing takes precedence, and how many permits leaders grant.

The bound on permits must hold in every second, however often the leader changes.
"""

import random
import unittest
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from bendshed.admission.cold_permits import (
    ESTABLISHED_S,
    MAX_STALE_LEADER_S,
    MAX_UPDATE_GAP_S,
    PERMIT_VALID_S,
    WINDOW_MS,
    ColdPermitCounts,
    LeadershipTracker,
)
from bendshed.model.address import Address
from bendshed.model.runner import RunnerState, ServiceRunner
from bendshed.model.service_document import Service
from bendshed.placement.cold_runners import MAX_VANISHED, ColdRateLimit, ColdRunners

START_S = 8.0
RATE_LIMIT = ColdRateLimit(factor=1.5, slack=5)
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

    def test_runner_is_cold_from_the_time_of_its_listing(self) -> None:
        self.cold.note_listed(runner("a", 5_000), 100.0)
        self.assertEqual(self.cold.cold_left_ms("a", 102.0), 3_000)
        self.assertTrue(self.cold.is_cold("a", 104.9))
        self.assertFalse(self.cold.is_cold("a", 105.0))

    def test_newer_listing_takes_precedence(self) -> None:
        self.cold.note_listed(runner("a", 5_000), 100.0)
        self.cold.note_listed(runner("a"), 101.0)
        self.assertFalse(self.cold.is_cold("a", 101.0))

    def test_runner_can_turn_cold_again_without_a_restart(self) -> None:
        self.cold.note_listed(runner("a"), 0.0)
        self.assertFalse(self.cold.is_cold("a", 50.0))
        self.cold.note_listed(runner("a", 2_000), 50.0)
        self.assertTrue(self.cold.is_cold("a", 51.9))

    def test_runner_that_is_listed_again_counts_as_just_started(self) -> None:
        self.cold.note_listed(runner("a"), 0.0)
        self.cold.note_vanished("a")
        self.assertFalse(self.cold.is_cold("a", 10.0))
        self.cold.note_listed(runner("a"), 10.0)
        self.assertTrue(self.cold.is_cold("a", 10.0 + START_S - 0.1))
        self.cold.note_listed(runner("a"), 11.0)
        self.assertFalse(self.cold.is_cold("a", 11.0))

    def test_number_of_stored_removed_runners_is_bounded(self) -> None:
        for number in range(MAX_VANISHED + 5):
            self.cold.note_listed(runner(f"r{number}"), 0.0)
            self.cold.note_vanished(f"r{number}")
        self.assertEqual(len(self.cold._vanished), MAX_VANISHED)
        self.assertEqual(len(self.cold._entries), MAX_VANISHED)

    def test_persisted_time_counts_in_full_until_confirmed(self) -> None:
        self.cold.note_persisted(runner("a", 3_000), 0.0)
        self.assertEqual(self.cold.cold_left_ms("a", 0.0), 3_000)
        self.cold.note_confirmed(runner("a", 500), 0.1)
        self.assertEqual(self.cold.cold_left_ms("a", 0.1), 500)
        self.cold.note_confirmed(runner("a", 900), 0.2)
        self.assertEqual(self.cold.cold_left_ms("a", 0.2), 400)

    def test_reopened_zone_is_cold_except_for_newer_listings(self) -> None:
        self.cold.note_listed(runner("old word"), 10.0)
        self.cold.note_listed(runner("elsewhere", zone="y"), 10.0)
        self.cold.note_listed(runner("new word"), 21.0)
        self.assertEqual(self.cold.note_reopened("z", 20.0), ["old word"])
        self.assertTrue(self.cold.is_cold("old word", 20.0 + START_S - 0.1))
        self.assertFalse(self.cold.is_cold("elsewhere", 22.0))
        self.assertFalse(self.cold.is_cold("new word", 22.0))
        self.cold.note_listed(runner("old word"), 23.0)
        self.assertFalse(self.cold.is_cold("old word", 23.0))

    def test_reopened_zone_does_not_shorten_a_runners_own_time(self) -> None:
        self.cold.note_listed(runner("a", 60_000), 10.0)
        self.assertEqual(self.cold.note_reopened("z", 20.0), [])
        self.assertEqual(self.cold.cold_left_ms("a", 20.0), 50_000)

    def test_services_without_a_rate_limit_are_never_cold(self) -> None:
        self.cold.note_listed(runner("a", 5_000, service="free"), 0.0)
        self.assertFalse(self.cold.is_cold("a", 1.0))
        self.assertEqual(self.cold.cold_left_ms("a", 1.0), 4_000)
        self.assertEqual(self.cold.num_cold(1.0), 0)

    def test_new_rate_limit_applies_to_runners_already_cold(self) -> None:
        unbound = ColdRunners()
        unbound.note_listed(runner("a", 5_000), 0.0)
        unbound.services = SERVICES
        self.assertTrue(unbound.is_cold("a", 1.0))

    def test_runners_that_became_warm_are_reported_once(self) -> None:
        self.cold.note_listed(runner("a", 1_000), 0.0)
        self.cold.note_listed(runner("b", 3_000), 0.0)
        self.assertEqual(self.cold.pop_warm(2.0), ["a"])
        self.assertEqual(self.cold.pop_warm(2.0), [])


@dataclass
class SimulatedLeader:
    """Grants as many permits as possible; each is used at a random time of its validity."""

    permits: ColdPermitCounts = field(default_factory=lambda: ColdPermitCounts(RATE_LIMIT))
    dispatched_s: list[float] = field(default_factory=list)

    def lead(self, from_s: float, to_s: float, rng: random.Random, term: int) -> None:
        at_s = from_s
        while at_s < to_s:
            self.permits.leadership.update(term, has_majority=True, now_s=at_s)
            if self.permits.num_available("r", COLD_PER_S, False, at_s) > 0:
                self.permits.grant("r", at_s)
                self.dispatched_s.append(at_s + rng.uniform(0, PERMIT_VALID_S))
            at_s += rng.uniform(0.001, 0.02)


def max_in_one_second(times_s: list[float]) -> int:
    ordered = sorted(times_s)
    return max((sum(1 for t in ordered if b <= t <= b + 1.0) for b in ordered), default=0)


class ColdPermitCountsTest(unittest.TestCase):
    def test_constants_satisfy_the_proof(self) -> None:
        self.assertGreater(ESTABLISHED_S, 1 + PERMIT_VALID_S + MAX_STALE_LEADER_S)
        self.assertEqual(WINDOW_MS, 1000 * (1 + PERMIT_VALID_S))

    def test_established_leader_permits_half_and_a_new_one_a_quarter(self) -> None:
        permits = ColdPermitCounts(RATE_LIMIT)
        permits.leadership.update(1, True, 0.0)
        self.assertEqual(permits.max_permits(COLD_PER_S, False, 0.1), int(BOUND / 4))
        for step in range(1, 30):
            permits.leadership.update(1, True, step / 10)
        self.assertEqual(permits.max_permits(COLD_PER_S, False, 2.9), int(BOUND / 2))
        halved = ColdPermitCounts(RATE_LIMIT, num_leaders=2, leadership=permits.leadership)
        self.assertEqual(halved.max_permits(COLD_PER_S, False, 2.9), int(BOUND / 4))

    def test_running_programs_have_permits_that_new_programs_lack(self) -> None:
        permits = ColdPermitCounts(RATE_LIMIT)
        permits.leadership.update(1, True, 0.0)
        while permits.num_available("r", COLD_PER_S, True, 0.1) > 0:
            permits.grant("r", 0.1)
        self.assertGreater(permits.wait_ms("r", COLD_PER_S, True, 0.1), 0)
        self.assertGreater(permits.num_available("r", COLD_PER_S, False, 0.1), 0)
        self.assertEqual(permits.wait_ms("r", COLD_PER_S, False, 0.1), 0)

    @settings(max_examples=100)
    @given(st.integers(0, 10_000))
    def test_one_leader_keeps_the_bound_in_every_second(self, seed: int) -> None:
        leader = SimulatedLeader()
        leader.lead(0.0, 6.0, random.Random(seed), term=1)
        self.assertGreater(len(leader.dispatched_s), 2 * BOUND)
        self.assertLessEqual(max_in_one_second(leader.dispatched_s), BOUND / 2)

    @settings(max_examples=100)
    @given(st.integers(0, 10_000), st.floats(0.0, 1.0), st.floats(0.0, 1.0))
    def test_two_leader_changes_keep_the_bound_in_every_second(
        self, seed: int, first_s: float, second_s: float
    ) -> None:
        """Each replaced leader goes on granting permits for a while, concurrently with the next."""
        rng = random.Random(seed)
        started_s = [0.0, 4.0 + min(first_s, second_s), 4.0 + max(first_s, second_s)]
        ended_s = [started_s[1] + MAX_STALE_LEADER_S, started_s[2] + MAX_STALE_LEADER_S, 9.0]
        leaders = [SimulatedLeader(), SimulatedLeader(), SimulatedLeader()]
        for term, leader in enumerate(leaders):
            leader.lead(started_s[term], ended_s[term], rng, term)
        dispatched_s = [at_s for leader in leaders for at_s in leader.dispatched_s]
        self.assertLessEqual(max_in_one_second(dispatched_s), BOUND)

    def test_resumed_leader_keeps_the_bound_after_two_other_leaders(self) -> None:
        rng = random.Random(5)
        paused, second, third = SimulatedLeader(), SimulatedLeader(), SimulatedLeader()
        paused.lead(0.0, 5.0, rng, term=1)
        second.lead(5.4, 8.0 + MAX_STALE_LEADER_S, rng, term=2)
        third.lead(8.0, 12.0, rng, term=3)
        self.assertEqual(paused.permits.leadership.share(8.1), 0.0)
        paused.lead(8.1, 8.1 + MAX_STALE_LEADER_S, rng, term=1)
        dispatched_s = [*paused.dispatched_s, *second.dispatched_s, *third.dispatched_s]
        self.assertLessEqual(max_in_one_second(dispatched_s), BOUND)

    def test_reelected_leader_counts_its_earlier_permits(self) -> None:
        leader = SimulatedLeader()
        leader.lead(0.0, 3.0, random.Random(1), term=1)
        before = leader.permits.num_granted("r", 3.0)
        leader.permits.leadership.update(3, True, 3.05)
        self.assertEqual(leader.permits.num_granted("r", 3.0), before)
        self.assertLessEqual(leader.permits.num_available("r", COLD_PER_S, False, 3.05), 0)

    def test_permit_counts_use_bounded_memory(self) -> None:
        permits = ColdPermitCounts(RATE_LIMIT)
        for number in range(10_000):
            permits.grant("r", number / 100)
        self.assertLess(len(permits._granted["r"].buckets), 30)

    def test_permits_outside_every_window_are_removed(self) -> None:
        permits = ColdPermitCounts(RATE_LIMIT)
        permits.grant("r", 1.0)
        permits.sweep(2.0)
        self.assertEqual(permits.num_granted("r", 2.0), 1)
        permits.sweep(3.0)
        self.assertEqual(permits._granted, {})


class LeadershipTrackerTest(unittest.TestCase):
    def test_share_is_zero_without_a_majority(self) -> None:
        leadership = LeadershipTracker()
        self.assertEqual(leadership.share(0.0), 0.0)
        leadership.update(1, True, 0.0)
        leadership.update(1, False, 0.1)
        self.assertEqual(leadership.share(0.1), 0.0)
        leadership.update(1, True, 0.2)
        self.assertEqual(leadership.share(0.2), 0.25)

    def test_share_is_zero_after_a_pause_until_the_next_update(self) -> None:
        leadership = LeadershipTracker()
        for step in range(40):
            leadership.update(1, True, step / 10)
        self.assertEqual(leadership.share(3.95), 0.5)
        self.assertEqual(leadership.share(3.9 + MAX_UPDATE_GAP_S + 0.1), 0.0)
        leadership.update(1, True, 5.0)
        self.assertEqual(leadership.share(5.0), 0.25)
