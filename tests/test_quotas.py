"""Quotas: sliding windows, decisions of the leader, allowances of nodes."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bendshed.admission.quota_allowance import ALLOWANCE_VALID_S, LocalAllowances
from bendshed.admission.quota_ledger import ARRIVAL_MARGIN_MS, QuotaLedger, QuotaRequest, Rank
from bendshed.admission.quota_limits import QuotaTolerance, TenantLimit, tenant_limit
from bendshed.admission.quota_usage import USAGE_MEMORY_MS, UsageWindows
from bendshed.admission.retry_schedule import (
    MIN_RETRY_AFTER_MS,
    RetrySchedule,
    cold_retry_after_ms,
    quota_retry_after_ms,
)
from bendshed.admission.sliding_window import BUCKET_MS
from bendshed.catalog.state import Catalog
from bendshed.model.service_document import ServiceDocument, Tenant
from bendshed.turns.quota_counting import QuotaCounting
from bendshed.turns.state import TurnLogState
from bendshed.wire import turns_pb2 as wire

WINDOW_MS = 5_000
TOLERANCE = QuotaTolerance(5.0, 0.1, 20)
SMALL = Tenant("small", rate_per_s=3, burst=3)
EXACT_LIMIT = TenantLimit(10, 10, 10, 10, 0, 0)


def max_in_any_window(times_ms: list[int], window_ms: int = WINDOW_MS) -> int:
    """Return the highest count in any sliding window, computed independently of the ledger."""
    ordered = sorted(times_ms)
    return max(
        (sum(1 for t in ordered if begin <= t < begin + window_ms) for begin in ordered), default=0
    )


class UsageTest(unittest.TestCase):
    @settings(max_examples=200)
    @given(st.lists(st.integers(0, 9_000), max_size=40), st.integers(0, 12_000))
    def test_window_count_is_never_too_low(self, times: list[int], now_ms: int) -> None:
        usage = UsageWindows()
        for at_ms in sorted(times):
            usage.charge("t", at_ms, 1)
        actual = sum(1 for t in times if t > now_ms - WINDOW_MS)
        with_buckets = sum(1 for t in times if t > now_ms - WINDOW_MS - BUCKET_MS)
        counted = usage.in_window("t", now_ms, WINDOW_MS)
        self.assertLessEqual(actual, counted)
        self.assertLessEqual(counted, with_buckets)

    @settings(max_examples=200)
    @given(st.lists(st.integers(0, 9_000), min_size=1, max_size=30), st.integers(1, 30))
    def test_wait_ends_when_there_is_room(self, times: list[int], excess: int) -> None:
        usage = UsageWindows()
        for at_ms in sorted(times):
            usage.charge("t", at_ms, 1)
        now_ms = max(times)
        before = usage.in_window("t", now_ms, WINDOW_MS)
        wait_ms = usage.wait_ms("t", now_ms, WINDOW_MS, excess)
        after = usage.in_window("t", now_ms + wait_ms, WINDOW_MS)
        self.assertLessEqual(after, max(0, before - excess))

    def test_repeated_and_reordered_reports_count_once(self) -> None:
        usage = UsageWindows()
        rows = [
            wire.TenantSpent(tenant="t", total=total, reported=reported)
            for total, reported in ((2, 0), (5, 2), (5, 2), (2, 0), (6, 5))
        ]
        for row in rows:
            usage.apply_report("n", [row], 100)
        self.assertEqual(usage.in_window("t", 100, WINDOW_MS), 6)

    def test_reports_of_a_removed_node_are_not_counted_again(self) -> None:
        usage = UsageWindows()
        usage.apply_report("n", [wire.TenantSpent(tenant="t", total=50)], 0)
        usage.sweep(2 * USAGE_MEMORY_MS)
        row = wire.TenantSpent(tenant="t", total=51, reported=50)
        usage.apply_report("n", [row], 2 * USAGE_MEMORY_MS)
        self.assertEqual(usage.in_window("t", 2 * USAGE_MEMORY_MS, WINDOW_MS), 1)


class LedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = QuotaLedger(WINDOW_MS)
        self.ledger.begin_term(1)
        self.usage = UsageWindows()

    def turn(
        self,
        name: str,
        now_ms: int,
        limit: TenantLimit = EXACT_LIMIT,
        is_running: bool = False,
        is_committed: bool = True,
        program: str = "",
    ) -> bool:
        request = QuotaRequest(
            name, "t", program or name, Rank.TURN if is_running else Rank.NEW_PROGRAM
        )
        admission = self.ledger.admit_turn(request, limit, self.usage, now_ms)
        if admission.is_granted and is_committed:
            self.usage.charge("t", now_ms, 1)
            self.ledger.settle_turn(name)
        return admission.is_granted

    def test_dispatched_turns_count_until_committed(self) -> None:
        for number in range(10):
            request = QuotaRequest(f"l{number}", "t", "p", Rank.TURN)
            self.ledger.count_dispatched(request, 0)
            self.ledger.count_dispatched(request, 0)
        self.assertFalse(self.turn("new", 0))
        for number in range(10):
            self.ledger.settle_turn(f"l{number}")
        self.assertTrue(self.turn("newer", 0))

    def extend_allowance(self, node: str, now_ms: int, limit: TenantLimit) -> int:
        """Return a node's allowance after a turn, committed together with the turn's end."""
        ceiling = self.ledger.extend_allowance(node, 0, "t", limit, self.usage, now_ms)
        if ceiling:
            self.usage.set_allowance(node, "t", ceiling, now_ms)
            self.ledger.settle_allowance(node, "t")
        return ceiling

    def call(self, node: str, now_ms: int, limit: TenantLimit = EXACT_LIMIT) -> bool:
        """Request a call, which is committed when it is admitted."""
        request = QuotaRequest("c", "t", node, Rank.CALL)
        total = self.usage.reported_total(node, "t")
        granted = self.ledger.admit_call(request, node, total, limit, self.usage, now_ms).is_granted
        if granted:
            reached = self.ledger.granted_total(node, "t")
            row = wire.TenantSpent(tenant="t", total=reached, reported=total)
            self.usage.apply_report(node, [row], now_ms)
            self.ledger.settle_call("t")
        return granted

    def test_no_sliding_window_exceeds_the_limit(self) -> None:
        rng = random.Random(7)
        granted = []
        now_ms = 0
        for number in range(800):
            now_ms += rng.choice((0, 1, 10, 60, 400))
            if self.turn(str(number), now_ms):
                granted.append(now_ms)
        self.assertEqual(max_in_any_window(granted), 10)

    def test_arrival_delay_causes_no_burst(self) -> None:
        rng = random.Random(8)
        arrivals = []
        now_ms = 0
        for number in range(800):
            now_ms += rng.choice((0, 20, 60))
            if self.turn(str(number), now_ms):
                arrivals.append(now_ms + rng.randint(0, ARRIVAL_MARGIN_MS))
        self.assertLessEqual(max_in_any_window(arrivals), 10)

    def test_reserved_turns_count_before_they_are_committed(self) -> None:
        granted = [self.turn(str(number), 0, is_committed=False) for number in range(12)]
        self.assertEqual(granted.count(True), 10)

    def test_uncommitted_reservation_expires(self) -> None:
        for number in range(10):
            self.turn(str(number), 0, is_committed=False)
        self.assertTrue(self.turn("later", 2_500))

    def test_repeated_request_gets_the_same_decision(self) -> None:
        self.assertEqual([self.turn("a", 0, is_committed=False) for _ in range(3)], [True] * 3)
        for number in range(20):
            self.turn(str(number), 0)
        self.assertFalse(self.turn("refused", 0))
        self.usage = UsageWindows()
        self.assertFalse(self.turn("refused", 1))

    def test_running_programs_are_admitted_before_new_ones(self) -> None:
        limit = tenant_limit(SMALL, TOLERANCE)
        now_ms, number = 0, 0
        while self.turn(f"new-{number}", now_ms, limit):
            number += 1
            now_ms += 160
        used = self.usage.in_window("t", now_ms, WINDOW_MS)
        self.assertLessEqual(used, limit.new_programs)
        num_running = 0
        while self.turn(f"running-{num_running}", now_ms, limit, is_running=True):
            num_running += 1
        self.assertEqual(used + num_running, int(limit.turns))
        self.assertGreater(num_running, 5)

    def test_tenant_within_its_limit_is_never_rejected(self) -> None:
        limit = tenant_limit(SMALL, TOLERANCE)
        granted = [self.turn(f"new-{number}", 0, limit) for number in range(18)]
        self.assertEqual(granted, [True] * 18)

    def test_first_come_first_served_ignores_ranks(self) -> None:
        self.ledger = QuotaLedger(WINDOW_MS, prioritizes_running_programs=False)
        limit = tenant_limit(SMALL, TOLERANCE)
        number = 0
        while self.turn(f"new-{number}", 0, limit):
            number += 1
        self.assertEqual(number, int(limit.calls))

    def test_calls_are_admitted_before_turns(self) -> None:
        """A turn is retried three times, whereas a failed call ends its program."""
        limit = tenant_limit(SMALL, TOLERANCE)
        number = 0
        while self.turn(f"turn-{number}", 0, limit, is_running=True, program=str(number)):
            number += 1
        self.assertEqual(number, int(limit.turns))
        calls = [self.call(f"node-{place}", 0, limit) for place in range(30)]
        self.assertEqual(number + calls.count(True), int(limit.calls))

    def test_rejected_programs_get_different_retry_times(self) -> None:
        limit = EXACT_LIMIT
        for number in range(10):
            self.turn(str(number), 300 * number, limit, is_running=True)
        now_ms = 3_000
        waits = []
        for program in ("a", "b", "c"):
            request = QuotaRequest(program, "t", program, Rank.TURN)
            admission = self.ledger.admit_turn(request, limit, self.usage, now_ms)
            self.assertFalse(admission.is_granted)
            waits.append(admission.retry_after_ms)
        self.assertEqual(waits, sorted(set(waits)))

    def test_new_programs_leave_room_for_expected_retries(self) -> None:
        limit = EXACT_LIMIT
        for number in range(10):
            self.turn(str(number), 0, limit, is_running=True)
        for program in ("a", "b"):
            self.assertFalse(self.turn(f"{program}-1", 4_900, limit, True, program=program))
        retry_at_ms = WINDOW_MS + ARRIVAL_MARGIN_MS + BUCKET_MS
        for number in range(8):
            self.assertTrue(
                self.turn(f"new-{number}", retry_at_ms + number, TenantLimit(10, 10, 99, 99, 0, 0))
            )
        self.assertFalse(self.turn("new-8", retry_at_ms + 9, TenantLimit(10, 10, 99, 99, 0, 0)))
        self.assertTrue(self.turn("a-2", retry_at_ms + 9, limit, True, program="a"))

    def test_retry_time_is_when_the_window_has_room(self) -> None:
        for number in range(10):
            self.turn(str(number), 100 * number)
        request = QuotaRequest("x", "t", "x", Rank.NEW_PROGRAM)
        admission = self.ledger.admit_turn(request, EXACT_LIMIT, self.usage, 1_000)
        retry_at_ms = 1_000 + admission.retry_after_ms
        self.assertFalse(self.turn("too early", retry_at_ms - BUCKET_MS - 1))
        self.assertTrue(self.turn("in time", retry_at_ms))

    def test_allowances_of_all_nodes_stay_within_their_share(self) -> None:
        limit = tenant_limit(SMALL, TOLERANCE)
        held = 0
        for number in range(40):
            node = f"n{number}"
            held += self.extend_allowance(node, 0, limit)
        self.assertLessEqual(held, limit.allowances)
        self.assertGreater(held, 0)

    def test_allowance_counts_until_reported_or_outside_the_window(self) -> None:
        limit = TenantLimit(4, 4, 4, 4, 4, 4)
        self.assertEqual(self.extend_allowance("n", 0, limit), 2)
        self.assertEqual([self.call("m", 0, limit) for _ in range(3)], [True, True, False])
        self.assertFalse(self.call("m", WINDOW_MS, limit))
        self.assertEqual([self.call("m", 5_900, limit) for _ in range(3)], [True, True, False])
        self.assertTrue(self.call("m", 6_200, limit))

    def test_expired_allowance_is_available_to_other_nodes(self) -> None:
        limit = TenantLimit(2, 2, 2, 2, 2, 2)
        self.extend_allowance("n", 0, limit)
        self.assertFalse(self.call("m", 0, limit))
        self.usage.apply_report("n", [wire.TenantSpent(tenant="t", lapsed_ceiling=2)], 0)
        self.assertTrue(self.call("m", 0, limit))

    def test_new_leader_knows_allowances_of_its_predecessor(self) -> None:
        limit = tenant_limit(SMALL, TOLERANCE)
        self.assertEqual(limit.allowances, 3)
        held = sum(self.extend_allowance(f"n{number}", 0, limit) for number in range(6))
        self.assertEqual(held, limit.allowances)
        restored = wire.TurnLogSnapshot()
        for piece in self.usage.snapshot_parts():
            restored.MergeFrom(piece)
        self.usage = UsageWindows.from_snapshot(restored)
        self.ledger.begin_term(2)
        granted = 0
        while self.call(f"m{granted}", 0, limit):
            granted += 1
        self.assertEqual(granted + held, int(limit.calls))

    def test_allowances_count_before_they_are_committed(self) -> None:
        limit = tenant_limit(SMALL, TOLERANCE)
        given = [
            self.ledger.extend_allowance(f"n{number}", 0, "t", limit, self.usage, 0)
            for number in range(6)
        ]
        self.assertEqual(sum(given), limit.allowances)

    def test_calls_count_before_they_are_committed(self) -> None:
        request = QuotaRequest("c", "t", "p", Rank.CALL)
        granted = [
            self.ledger.admit_call(request, "n", 0, EXACT_LIMIT, self.usage, 0).is_granted
            for _ in range(12)
        ]
        self.assertEqual(granted.count(True), 10)

    def test_concurrent_calls_are_counted_individually(self) -> None:
        request = QuotaRequest("c", "t", "p", Rank.CALL)
        totals = []
        for _ in range(3):
            self.ledger.admit_call(request, "n", 4, EXACT_LIMIT, self.usage, 0)
            totals.append(self.ledger.granted_total("n", "t"))
        self.assertEqual(totals, [5, 6, 7])

    def test_tenant_near_its_limit_gets_no_allowances(self) -> None:
        limit = tenant_limit(SMALL, TOLERANCE)
        self.usage.charge("t", 0, 15)
        self.assertEqual(self.extend_allowance("n", 0, limit), 0)


class LocalAllowancesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.allowances = LocalAllowances()

    def test_no_call_is_admitted_without_a_valid_allowance(self) -> None:
        self.assertFalse(self.allowances.try_admit("t", 0.0))
        self.allowances.add_allowance("t", 2, 0.0)
        admitted = [self.allowances.try_admit("t", 0.1) for _ in range(3)]
        self.assertEqual(admitted, [True, True, False])
        self.allowances.add_allowance("t", 4, 0.2)
        self.assertFalse(self.allowances.try_admit("t", 0.2 + ALLOWANCE_VALID_S))

    def test_call_admitted_by_the_leader_extends_no_allowance(self) -> None:
        self.allowances.add_allowance("t", 2, 0.0)
        self.allowances.unreported(ALLOWANCE_VALID_S)
        # The total of 3 includes the expired allowance, which was counted then.
        self.allowances.record_admitted("t", 3, 5.0)
        self.assertEqual(self.allowances.total("t"), 3)
        self.assertFalse(self.allowances.try_admit("t", 5.1))

    def test_new_allowance_does_not_revive_an_expired_one(self) -> None:
        self.allowances.add_allowance("t", 5, 0.0)
        self.allowances.add_allowance("t", 2, 5.0)
        admitted = [self.allowances.try_admit("t", 5.1) for _ in range(3)]
        self.assertEqual(admitted, [True, True, False])

    def test_admitted_calls_are_reported_until_committed(self) -> None:
        self.allowances.record_admitted("t", 1, 0.0)
        (first,) = self.allowances.unreported(0.1)
        self.allowances.record_admitted("t", 2, 0.2)
        (second,) = self.allowances.unreported(0.2)
        self.assertEqual([first.total, second.total, second.reported], [1, 2, 0])
        self.allowances.note_reported([first], 0.3)
        (third,) = self.allowances.unreported(0.3)
        self.assertEqual((third.total, third.reported), (2, 1))
        self.allowances.note_reported([third], 0.4)
        self.assertEqual(self.allowances.unreported(0.5), [])

    def test_expired_allowance_is_returned_until_that_is_committed(self) -> None:
        self.allowances.add_allowance("t", 2, 0.0)
        self.assertEqual(self.allowances.unreported(0.5), [])
        (reported,) = self.allowances.unreported(ALLOWANCE_VALID_S)
        self.assertEqual((reported.total, reported.lapsed_ceiling), (0, 2))
        (again,) = self.allowances.unreported(ALLOWANCE_VALID_S + 0.1)
        self.assertEqual(again.lapsed_ceiling, 2)
        self.allowances.note_reported([again], ALLOWANCE_VALID_S + 0.2)
        self.assertEqual(self.allowances.unreported(ALLOWANCE_VALID_S + 0.3), [])

    def test_only_admitted_calls_make_a_report_due(self) -> None:
        self.allowances.add_allowance("t", 2, 0.0)
        self.allowances.unreported(ALLOWANCE_VALID_S)
        self.assertFalse(self.allowances.is_report_due(5.0, 0.15))
        self.allowances.record_admitted("t", 1, 5.0)
        self.assertFalse(self.allowances.is_report_due(5.1, 0.15))
        self.assertTrue(self.allowances.is_report_due(5.2, 0.15))


class RetryScheduleTest(unittest.TestCase):
    def test_quota_retry_waits_for_a_place_per_chain_ahead(self) -> None:
        waits = [quota_retry_after_ms(lambda count: int(40 * count), 2, ahead) for ahead in (0, 3)]
        self.assertEqual(waits, [MIN_RETRY_AFTER_MS, 200])

    def test_cold_retry_waits_for_a_permit_per_chain_ahead(self) -> None:
        waits = [cold_retry_after_ms(300, ahead, 20, 1_250) for ahead in (0, 8, 20)]
        self.assertEqual(waits, [300, 800, 1_550])
        self.assertEqual(cold_retry_after_ms(0, 0, 20, 1_250), MIN_RETRY_AFTER_MS)
        self.assertEqual(cold_retry_after_ms(1_250, 2, 0, 1_250), 3_750)

    def test_late_chain_is_not_expected_and_no_chain_counts_itself(self) -> None:
        schedule = RetrySchedule()
        for name, returns_ms in (("a", 100), ("b", 2_000)):
            schedule.note(("program", name), returns_ms)
        self.assertEqual(schedule.num_expected_others(("program", "c"), 600), 2)
        self.assertEqual(schedule.num_expected_others(("program", "b"), 600), 1)
        self.assertEqual(schedule.num_expected_others(("program", "c"), 601), 1)
        schedule.forget(("program", "b"))
        self.assertEqual(schedule.num_expected_others(("program", "c"), 601), 0)


class DispatchedTurnTest(unittest.TestCase):
    """A leader whose tenant has no room left gets turns that its predecessor admitted."""

    def setUp(self) -> None:
        catalog = Catalog()
        catalog.apply_document(ServiceDocument(version=1, tenants=(SMALL,)))
        self.quotas = QuotaCounting(catalog, TOLERANCE)
        self.state = TurnLogState()
        self.state.usage.charge(SMALL.name, 0, 1_000)

    def begin(self, has_left: bool) -> wire.BeginTurn:
        return wire.BeginTurn(tenant=SMALL.name, program_id="p", turn_id="x", has_left=has_left)

    def test_dispatched_turn_is_counted_and_never_rejected(self) -> None:
        self.assertIsNone(self.quotas.admit_turn(self.begin(True), self.state, 2, 0))

    def test_turn_that_was_not_dispatched_is_rejected(self) -> None:
        reply = self.quotas.admit_turn(self.begin(False), self.state, 2, 0)
        assert reply is not None
        self.assertEqual(reply.answer, wire.TURN_ANSWER_QUOTA_EXCEEDED)
