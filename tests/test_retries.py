"""Retry decisions, case by case, and the refusals that callers get."""

import itertools
import random
import unittest

from bendshed.errors import ErrorKind, Refusal, WasRun
from bendshed.model.service_document import Route, RouteKind
from bendshed.retries.decisions import (
    MAX_NOT_RUN_ATTEMPTS,
    MIN_DISPATCH_TIME_LEFT_S,
    GiveUp,
    GiveUpReason,
    RequestQuota,
    TryRunner,
    decide_after_broken_answer,
    decide_next_attempt,
    may_choose_runner,
    refusal_of,
    refusal_or_outcome_unknown,
)
from bendshed.retries.history import AttemptHistory
from bendshed.retries.retry_budget import MAX_SAVED_RETRIES, RetryBudget

NOW_S, DEADLINE_S = 100.0, 101.0
REPEATABLE = Route("r", "h", "/", RouteKind.IDEMPOTENT, 5_000, 200, 1, (), max_attempts=2)
NON_REPEATABLE = Route("r", "h", "/", RouteKind.NON_IDEMPOTENT, 5_000, 200, 1, (), max_attempts=2)
RAN_REASONS = {
    GiveUpReason.NOT_REPEATABLE,
    GiveUpReason.ANSWER_BROKEN,
    GiveUpReason.NO_QUOTA,
    GiveUpReason.RESERVATION_FAILED,
    GiveUpReason.ORIGIN_UNCONFIRMED,
}


def make_history(
    num_unanswered: int = 0, num_not_run: int = 0, num_admitted: int = 1
) -> AttemptHistory:
    """Attempts that got no answer, and attempts that provably did not run."""
    history = AttemptHistory(DEADLINE_S)
    for number in range(num_unanswered):
        history.record_choice(f"lost-{number}")
        history.record_dispatch()
        history.record_no_answer(f"lost-{number}")
    for number in range(num_not_run):
        history.record_choice(f"full-{number}")
        history.record_dispatch()
        history.record_not_run()
    for _ in range(num_admitted - 1):
        history.record_admitted_run()
    return history


class NextAttemptTest(unittest.TestCase):
    def test_a_request_that_did_not_run_is_retried_on_any_route(self) -> None:
        for route, num_not_run in itertools.product((NON_REPEATABLE, REPEATABLE), range(4)):
            decision = decide_next_attempt(make_history(num_not_run=num_not_run), route, NOW_S)
            self.assertEqual(decision, TryRunner())

    def test_a_request_that_may_have_run_ends_on_a_route_without_repeats(self) -> None:
        decision = decide_next_attempt(make_history(num_unanswered=1), NON_REPEATABLE, NOW_S)
        assert isinstance(decision, GiveUp)
        self.assertIs(decision.reason, GiveUpReason.NOT_REPEATABLE)

    def test_each_further_run_needs_quota(self) -> None:
        unanswered = make_history(num_unanswered=1)
        self.assertEqual(decide_next_attempt(unanswered, REPEATABLE, NOW_S), RequestQuota())
        unanswered.record_admitted_run()
        self.assertEqual(decide_next_attempt(unanswered, REPEATABLE, NOW_S), TryRunner())

    def test_runs_are_bounded_by_the_route(self) -> None:
        decision = decide_next_attempt(
            make_history(num_unanswered=2, num_admitted=2), REPEATABLE, NOW_S
        )
        assert isinstance(decision, GiveUp)
        self.assertIs(decision.reason, GiveUpReason.NOT_REPEATABLE)

    def test_nothing_is_dispatched_shortly_before_the_deadline(self) -> None:
        too_late_s = DEADLINE_S - MIN_DISPATCH_TIME_LEFT_S / 2
        decision = decide_next_attempt(make_history(), REPEATABLE, too_late_s)
        assert isinstance(decision, GiveUp)
        self.assertIs(decision.reason, GiveUpReason.NO_TIME_LEFT)
        in_time_s = DEADLINE_S - 2 * MIN_DISPATCH_TIME_LEFT_S
        self.assertEqual(decide_next_attempt(make_history(), REPEATABLE, in_time_s), TryRunner())

    def test_attempts_that_did_not_run_are_bounded(self) -> None:
        self.assertTrue(may_choose_runner(make_history(num_not_run=MAX_NOT_RUN_ATTEMPTS - 1)))
        self.assertFalse(may_choose_runner(make_history(num_not_run=MAX_NOT_RUN_ATTEMPTS)))

    def test_a_broken_answer_is_retried_only_if_a_further_run_is_allowed(self) -> None:
        self.assertEqual(
            decide_after_broken_answer(make_history(1), REPEATABLE, "cut"), TryRunner()
        )
        for history, route in ((make_history(1), NON_REPEATABLE), (make_history(2), REPEATABLE)):
            decision = decide_after_broken_answer(history, route, "cut")
            assert isinstance(decision, GiveUp)
            self.assertIs(decision.reason, GiveUpReason.ANSWER_BROKEN)


class HistoryTest(unittest.TestCase):
    def test_a_runner_whose_permit_expired_may_be_chosen_again(self) -> None:
        history = AttemptHistory(DEADLINE_S)
        history.record_choice("cold")
        history.record_expired_permit("cold")
        self.assertEqual((history.tried, history.num_not_run, history.failed), (set(), 1, []))

    def test_only_runners_without_an_answer_count_as_failed(self) -> None:
        history = make_history(num_unanswered=1, num_not_run=1)
        history.record_choice("dark")
        history.record_unreachable("dark")
        self.assertEqual(history.failed, ["lost-0", "dark"])
        self.assertEqual(history.tried, {"lost-0", "full-0", "dark"})
        self.assertEqual((history.num_possible_runs, history.num_not_run), (1, 2))


class RefusalTest(unittest.TestCase):
    def test_not_run_is_reported_only_if_certain(self) -> None:
        rng = random.Random(7)
        for _ in range(1_000):
            history = make_history(rng.randint(0, 2), rng.randint(0, 3))
            for reason in GiveUpReason:
                ran = refusal_of(GiveUp(reason, "d"), history).answer.ran
                if reason in RAN_REASONS:
                    self.assertIs(ran, WasRun.YES)
                else:
                    self.assertIs(ran, WasRun.UNKNOWN if history.may_have_run else WasRun.NO)

    def test_kinds_of_requests_that_did_not_run(self) -> None:
        kinds = {
            (GiveUpReason.NO_TIME_LEFT, 0): ErrorKind.DEADLINE_EXCEEDED,
            (GiveUpReason.TIMED_OUT, 1): ErrorKind.DEADLINE_EXCEEDED,
            (GiveUpReason.NO_RUNNER, 0): ErrorKind.NO_RUNNER,
            (GiveUpReason.NO_RUNNER, 1): ErrorKind.OVERLOADED,
            (GiveUpReason.NO_PERMIT, 1): ErrorKind.NO_RUNNER,
        }
        for (reason, num_not_run), kind in kinds.items():
            refusal = refusal_of(GiveUp(reason, "d"), make_history(num_not_run=num_not_run))
            self.assertEqual(refusal, Refusal(kind, "d"))

    def test_a_leaders_refusal_keeps_its_retry_time_only_if_nothing_ran(self) -> None:
        refusal = Refusal(ErrorKind.NO_ROOM, "later", 0.3)
        self.assertEqual(refusal_or_outcome_unknown(refusal, make_history()), refusal)
        unknown = Refusal(ErrorKind.OUTCOME_UNKNOWN, "later")
        self.assertEqual(
            refusal_or_outcome_unknown(refusal, make_history(num_unanswered=1)), unknown
        )


class RetryBudgetTest(unittest.TestCase):
    def test_retries_add_a_bounded_share_to_the_load(self) -> None:
        budget = RetryBudget()
        num_saved = sum(budget.take() for _ in range(1_000))
        self.assertEqual(num_saved, MAX_SAVED_RETRIES / 2)
        for _ in range(101):
            budget.record_first_attempt()
        self.assertEqual(sum(budget.take() for _ in range(1_000)), 20)
