"""Quotas: the window's arithmetic, the leader's decisions, a node's allowances."""

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
TERMS = QuotaTolerance(5.0, 0.1, 20)
SMALL = Tenant("small", rate_per_s=3, burst=3)
EXACT_LIMIT = TenantLimit(10, 10, 10, 10, 0, 0)


def most_in_any_window(times_ms: list[int], window_ms: int = WINDOW_MS) -> int:
    """The promise's own arithmetic: the fullest sliding window."""
    ordered = sorted(times_ms)
    return max(
        (sum(1 for t in ordered if begin <= t < begin + window_ms) for begin in ordered), default=0
    )


class UsageTest(unittest.TestCase):
    @settings(max_examples=200)
    @given(st.lists(st.integers(0, 9_000), max_size=40), st.integers(0, 12_000))
    def test_a_window_is_never_judged_too_small(self, times: list[int], now_ms: int) -> None:
        usage = UsageWindows()
        for at_ms in sorted(times):
            usage.charge("t", at_ms, 1)
        really = sum(1 for t in times if t > now_ms - WINDOW_MS)
        with_buckets = sum(1 for t in times if t > now_ms - WINDOW_MS - BUCKET_MS)
        counted = usage.in_window("t", now_ms, WINDOW_MS)
        self.assertLessEqual(really, counted)
        self.assertLessEqual(counted, with_buckets)

    @settings(max_examples=200)
    @given(st.lists(st.integers(0, 9_000), min_size=1, max_size=30), st.integers(1, 30))
    def test_the_wait_ends_when_there_is_room(self, times: list[int], excess: int) -> None:
        usage = UsageWindows()
        for at_ms in sorted(times):
            usage.charge("t", at_ms, 1)
        now_ms = max(times)
        before = usage.in_window("t", now_ms, WINDOW_MS)
        wait_ms = usage.wait_ms("t", now_ms, WINDOW_MS, excess)
        after = usage.in_window("t", now_ms + wait_ms, WINDOW_MS)
        self.assertLessEqual(after, max(0, before - excess))

    def test_a_report_counts_once_however_it_arrives(self) -> None:
        usage = UsageWindows()
        rows = [
            wire.TenantSpent(tenant="t", total=total, reported=told)
            for total, told in ((2, 0), (5, 2), (5, 2), (2, 0), (6, 5))
        ]
        for row in rows:
            usage.apply_report("n", [row], 100)
        self.assertEqual(usage.in_window("t", 100, WINDOW_MS), 6)

    def test_a_node_that_was_forgotten_is_not_counted_anew(self) -> None:
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
        under_way: bool = False,
        commits: bool = True,
        program: str = "",
    ) -> bool:
        request = QuotaRequest(
            name, "t", program or name, Rank.TURN if under_way else Rank.NEW_PROGRAM
        )
        admission = self.ledger.admit_turn(request, limit, self.usage, now_ms)
        if admission.is_granted and commits:
            self.usage.charge("t", now_ms, 1)
            self.ledger.settle_turn(name)
        return admission.is_granted

    def test_turns_that_left_count_until_they_are_committed(self) -> None:
        for number in range(10):
            request = QuotaRequest(f"l{number}", "t", "p", Rank.TURN)
            self.ledger.count_dispatched(request, 0)
            self.ledger.count_dispatched(request, 0)
        self.assertFalse(self.turn("new", 0))
        for number in range(10):
            self.ledger.settle_turn(f"l{number}")
        self.assertTrue(self.turn("newer", 0))

    def spare(self, node: str, now_ms: int, limit: TenantLimit) -> int:
        """What a node is allowed after a turn; committed as the turn's end is."""
        ceiling = self.ledger.extend_allowance(node, 0, "t", limit, self.usage, now_ms)
        if ceiling:
            self.usage.set_allowance(node, "t", ceiling, now_ms)
            self.ledger.settle_allowance(node, "t")
        return ceiling

    def call(self, node: str, now_ms: int, limit: TenantLimit = EXACT_LIMIT) -> bool:
        """Ask for a call; it is committed as it is granted."""
        request = QuotaRequest("c", "t", node, Rank.CALL)
        total = self.usage.reported_total(node, "t")
        granted = self.ledger.admit_call(request, node, total, limit, self.usage, now_ms).is_granted
        if granted:
            reached = self.ledger.granted_total(node, "t")
            row = wire.TenantSpent(tenant="t", total=reached, reported=total)
            self.usage.apply_report(node, [row], now_ms)
            self.ledger.settle_call("t")
        return granted

    def test_no_sliding_window_holds_more_than_the_limit(self) -> None:
        rng = random.Random(7)
        granted = []
        now_ms = 0
        for number in range(800):
            now_ms += rng.choice((0, 1, 10, 60, 400))
            if self.turn(str(number), now_ms):
                granted.append(now_ms)
        self.assertEqual(most_in_any_window(granted), 10)

    def test_time_between_permission_and_arrival_forms_no_burst(self) -> None:
        rng = random.Random(8)
        arrivals = []
        now_ms = 0
        for number in range(800):
            now_ms += rng.choice((0, 20, 60))
            if self.turn(str(number), now_ms):
                arrivals.append(now_ms + rng.randint(0, ARRIVAL_MARGIN_MS))
        self.assertLessEqual(most_in_any_window(arrivals), 10)

    def test_promised_turns_count_before_they_are_committed(self) -> None:
        granted = [self.turn(str(number), 0, commits=False) for number in range(12)]
        self.assertEqual(granted.count(True), 10)

    def test_a_promise_that_is_never_committed_is_forgotten(self) -> None:
        for number in range(10):
            self.turn(str(number), 0, commits=False)
        self.assertTrue(self.turn("later", 2_500))

    def test_asked_twice_the_answer_stays(self) -> None:
        self.assertEqual([self.turn("a", 0, commits=False) for _ in range(3)], [True] * 3)
        for number in range(20):
            self.turn(str(number), 0)
        self.assertFalse(self.turn("refused", 0))
        self.usage = UsageWindows()
        self.assertFalse(self.turn("refused", 1))

    def test_programs_under_way_come_before_new_ones(self) -> None:
        limit = tenant_limit(SMALL, TERMS)
        now_ms, number = 0, 0
        while self.turn(f"new-{number}", now_ms, limit):
            number += 1
            now_ms += 160
        used = self.usage.in_window("t", now_ms, WINDOW_MS)
        self.assertLessEqual(used, limit.new_programs)
        under_way = 0
        while self.turn(f"goes on {under_way}", now_ms, limit, under_way=True):
            under_way += 1
        self.assertEqual(used + under_way, int(limit.turns))
        self.assertGreater(under_way, 5)

    def test_within_its_own_limit_a_tenant_is_never_refused(self) -> None:
        limit = tenant_limit(SMALL, TERMS)
        granted = [self.turn(f"new-{number}", 0, limit) for number in range(18)]
        self.assertEqual(granted, [True] * 18)

    def test_first_come_first_served_makes_no_difference(self) -> None:
        self.ledger = QuotaLedger(WINDOW_MS, prioritizes_running_programs=False)
        limit = tenant_limit(SMALL, TERMS)
        number = 0
        while self.turn(f"new-{number}", 0, limit):
            number += 1
        self.assertEqual(number, int(limit.calls))

    def test_calls_come_before_turns(self) -> None:
        """A turn is sent again three times; a call that fails ends its program."""
        limit = tenant_limit(SMALL, TERMS)
        number = 0
        while self.turn(f"turn-{number}", 0, limit, under_way=True, program=str(number)):
            number += 1
        self.assertEqual(number, int(limit.turns))
        calls = [self.call(f"node-{place}", 0, limit) for place in range(30)]
        self.assertEqual(number + calls.count(True), int(limit.calls))

    def test_programs_told_to_come_back_are_told_different_times(self) -> None:
        limit = EXACT_LIMIT
        for number in range(10):
            self.turn(str(number), 300 * number, limit, under_way=True)
        now_ms = 3_000
        waits = []
        for program in ("a", "b", "c"):
            request = QuotaRequest(program, "t", program, Rank.TURN)
            admission = self.ledger.admit_turn(request, limit, self.usage, now_ms)
            self.assertFalse(admission.is_granted)
            waits.append(admission.retry_after_ms)
        self.assertEqual(waits, sorted(set(waits)))

    def test_new_programs_leave_room_for_those_told_to_come_back(self) -> None:
        limit = EXACT_LIMIT
        for number in range(10):
            self.turn(str(number), 0, limit, under_way=True)
        for program in ("a", "b"):
            self.assertFalse(self.turn(f"{program}-1", 4_900, limit, True, program=program))
        back_ms = WINDOW_MS + ARRIVAL_MARGIN_MS + BUCKET_MS
        for number in range(8):
            self.assertTrue(
                self.turn(f"new-{number}", back_ms + number, TenantLimit(10, 10, 99, 99, 0, 0))
            )
        self.assertFalse(self.turn("new-8", back_ms + 9, TenantLimit(10, 10, 99, 99, 0, 0)))
        self.assertTrue(self.turn("a-2", back_ms + 9, limit, True, program="a"))

    def test_the_time_to_come_back_is_the_windows(self) -> None:
        for number in range(10):
            self.turn(str(number), 100 * number)
        request = QuotaRequest("x", "t", "x", Rank.NEW_PROGRAM)
        admission = self.ledger.admit_turn(request, EXACT_LIMIT, self.usage, 1_000)
        back_ms = 1_000 + admission.retry_after_ms
        self.assertFalse(self.turn("too early", back_ms - BUCKET_MS - 1))
        self.assertTrue(self.turn("in time", back_ms))

    def test_allowances_of_all_nodes_stay_under_their_share(self) -> None:
        limit = tenant_limit(SMALL, TERMS)
        held = 0
        for number in range(40):
            node = f"n{number}"
            held += self.spare(node, 0, limit)
        self.assertLessEqual(held, limit.allowances)
        self.assertGreater(held, 0)

    def test_an_allowance_counts_until_it_was_told_or_its_window_is_over(self) -> None:
        limit = TenantLimit(4, 4, 4, 4, 4, 4)
        self.assertEqual(self.spare("n", 0, limit), 2)
        self.assertEqual([self.call("m", 0, limit) for _ in range(3)], [True, True, False])
        self.assertFalse(self.call("m", WINDOW_MS, limit))
        self.assertEqual([self.call("m", 5_900, limit) for _ in range(3)], [True, True, False])
        self.assertTrue(self.call("m", 6_200, limit))

    def test_an_allowance_that_lapsed_is_given_to_others(self) -> None:
        limit = TenantLimit(2, 2, 2, 2, 2, 2)
        self.spare("n", 0, limit)
        self.assertFalse(self.call("m", 0, limit))
        self.usage.apply_report("n", [wire.TenantSpent(tenant="t", lapsed_ceiling=2)], 0)
        self.assertTrue(self.call("m", 0, limit))

    def test_a_new_leader_knows_what_others_allowed(self) -> None:
        limit = tenant_limit(SMALL, TERMS)
        self.assertEqual(limit.allowances, 3)
        held = sum(self.spare(f"n{number}", 0, limit) for number in range(6))
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
        limit = tenant_limit(SMALL, TERMS)
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

    def test_calls_asked_for_side_by_side_count_each(self) -> None:
        request = QuotaRequest("c", "t", "p", Rank.CALL)
        totals = []
        for _ in range(3):
            self.ledger.admit_call(request, "n", 4, EXACT_LIMIT, self.usage, 0)
            totals.append(self.ledger.granted_total("n", "t"))
        self.assertEqual(totals, [5, 6, 7])

    def test_a_tenant_that_hurries_gets_no_allowances(self) -> None:
        limit = tenant_limit(SMALL, TERMS)
        self.usage.charge("t", 0, 15)
        self.assertEqual(self.spare("n", 0, limit), 0)


class GateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.gate = LocalAllowances()

    def test_nothing_passes_without_an_allowance_or_after_it(self) -> None:
        self.assertFalse(self.gate.try_admit("t", 0.0))
        self.gate.add_allowance("t", 2, 0.0)
        spent = [self.gate.try_admit("t", 0.1) for _ in range(3)]
        self.assertEqual(spent, [True, True, False])
        self.gate.add_allowance("t", 4, 0.2)
        self.assertFalse(self.gate.try_admit("t", 0.2 + ALLOWANCE_VALID_S))

    def test_a_grant_by_name_opens_nothing_else(self) -> None:
        self.gate.add_allowance("t", 2, 0.0)
        self.gate.unreported(ALLOWANCE_VALID_S)
        self.gate.record_admitted("t", 3, 5.0)  # with the lapsed allowance, which was counted then
        self.assertEqual(self.gate.total("t"), 3)
        self.assertFalse(self.gate.try_admit("t", 5.1))

    def test_a_newer_allowance_does_not_open_one_that_lapsed(self) -> None:
        self.gate.add_allowance("t", 5, 0.0)
        self.gate.add_allowance("t", 2, 5.0)
        spent = [self.gate.try_admit("t", 5.1) for _ in range(3)]
        self.assertEqual(spent, [True, True, False])

    def test_what_was_let_through_is_told_until_it_is_committed(self) -> None:
        self.gate.record_admitted("t", 1, 0.0)
        (first,) = self.gate.unreported(0.1)
        self.gate.record_admitted("t", 2, 0.2)
        (second,) = self.gate.unreported(0.2)
        self.assertEqual([first.total, second.total, second.reported], [1, 2, 0])
        self.gate.note_reported([first], 0.3)
        (third,) = self.gate.unreported(0.3)
        self.assertEqual((third.total, third.reported), (2, 1))
        self.gate.note_reported([third], 0.4)
        self.assertEqual(self.gate.unreported(0.5), [])

    def test_a_lapsed_allowance_is_given_back_until_that_is_committed(self) -> None:
        self.gate.add_allowance("t", 2, 0.0)
        self.assertEqual(self.gate.unreported(0.5), [])
        (told,) = self.gate.unreported(ALLOWANCE_VALID_S)
        self.assertEqual((told.total, told.lapsed_ceiling), (0, 2))
        (again,) = self.gate.unreported(ALLOWANCE_VALID_S + 0.1)
        self.assertEqual(again.lapsed_ceiling, 2)
        self.gate.note_reported([again], ALLOWANCE_VALID_S + 0.2)
        self.assertEqual(self.gate.unreported(ALLOWANCE_VALID_S + 0.3), [])

    def test_only_requests_must_be_told_by_themselves(self) -> None:
        self.gate.add_allowance("t", 2, 0.0)
        self.gate.unreported(ALLOWANCE_VALID_S)
        self.assertFalse(self.gate.is_report_due(5.0, 0.15))
        self.gate.record_admitted("t", 1, 5.0)
        self.assertFalse(self.gate.is_report_due(5.1, 0.15))
        self.assertTrue(self.gate.is_report_due(5.2, 0.15))


class RetryTimeTest(unittest.TestCase):
    def test_a_quota_frees_a_place_for_each_chain_ahead(self) -> None:
        waits = [quota_retry_after_ms(lambda count: int(40 * count), 2, ahead) for ahead in (0, 3)]
        self.assertEqual(waits, [MIN_RETRY_AFTER_MS, 200])

    def test_chains_ahead_of_a_cold_runner_take_its_next_permits(self) -> None:
        waits = [cold_retry_after_ms(300, ahead, 20, 1_250) for ahead in (0, 8, 20)]
        self.assertEqual(waits, [300, 800, 1_550])
        self.assertEqual(cold_retry_after_ms(0, 0, 20, 1_250), MIN_RETRY_AFTER_MS)
        self.assertEqual(cold_retry_after_ms(1_250, 2, 0, 1_250), 3_750)

    def test_a_late_chain_is_not_expected_and_nobody_waits_for_itself(self) -> None:
        schedule = RetrySchedule()
        for name, returns_ms in (("a", 100), ("b", 2_000)):
            schedule.note(("program", name), returns_ms)
        self.assertEqual(schedule.num_expected_others(("program", "c"), 600), 2)
        self.assertEqual(schedule.num_expected_others(("program", "b"), 600), 1)
        self.assertEqual(schedule.num_expected_others(("program", "c"), 601), 1)
        schedule.forget(("program", "b"))
        self.assertEqual(schedule.num_expected_others(("program", "c"), 601), 0)


class PromisedTurnTest(unittest.TestCase):
    """A leader that counts nothing more meets turns of the leader before it."""

    def setUp(self) -> None:
        catalog = Catalog()
        catalog.take_document(ServiceDocument(version=1, tenants=(SMALL,)))
        self.quotas = QuotaCounting(catalog, TERMS)
        self.state = TurnLogState()
        self.state.usage.charge(SMALL.name, 0, 1_000)

    def begin(self, has_left: bool) -> wire.BeginTurn:
        return wire.BeginTurn(tenant=SMALL.name, program_id="p", turn_id="x", has_left=has_left)

    def test_one_that_left_is_counted_and_never_refused(self) -> None:
        self.assertIsNone(self.quotas.admit_turn(self.begin(True), self.state, 2, 0))

    def test_one_that_did_not_leave_is_refused(self) -> None:
        reply = self.quotas.admit_turn(self.begin(False), self.state, 2, 0)
        assert reply is not None
        self.assertEqual(reply.answer, wire.TURN_ANSWER_QUOTA_EXCEEDED)
