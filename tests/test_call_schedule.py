"""When kinds of the registry are called again after failed calls."""

import math
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from bendshed.catalog.call_schedule import RETRY_MAX_S, RETRY_MIN_S, CallSchedule

KINDS = ("a", "b", "c", "d")
STEPS = st.lists(
    st.tuples(
        st.sampled_from(KINDS),
        st.sampled_from(["fails", "answers", "paused", "read"]),
        st.floats(0.0, 2.0),
    ),
    max_size=60,
)


def make_schedule(max_growth: float = 1.0) -> CallSchedule:
    schedule = CallSchedule(random.Random(1), max_growth)
    for kind in KINDS:
        schedule.add(kind)
    return schedule


def next_call(schedule: CallSchedule, now_s: float) -> tuple[str, float]:
    """The kind that is called next, and after how long."""
    delays = {kind: schedule.delay_s(kind, now_s) for kind in KINDS}
    kind = min(KINDS, key=lambda each: delays[each])
    return kind, delays[kind]


class RetryScheduleTest(unittest.TestCase):
    def fail_all(self, schedule: CallSchedule) -> None:
        for kind in KINDS:
            schedule.note_failure(kind, 0.0)

    def test_kind_that_fails_is_called_again_beside_kinds_that_are_answered(self) -> None:
        schedule = make_schedule()
        schedule.note_failure("a", 0.0)
        self.assertFalse(schedule.is_away)
        self.assertTrue(RETRY_MIN_S <= schedule.delay_s("a", 0.0) <= RETRY_MAX_S)
        self.assertEqual(schedule.delay_s("b", 0.0), 0.0)

    # Guards against calls of every kind, at full pace, to a registry that is away.
    def test_registry_that_is_away_gets_one_call_a_delay(self) -> None:
        schedule = make_schedule()
        self.fail_all(schedule)
        self.assertTrue(schedule.is_away)
        now_s, called = 0.0, []
        for _ in range(3 * len(KINDS)):
            kind, delay_s = next_call(schedule, now_s)
            self.assertTrue(RETRY_MIN_S <= delay_s <= RETRY_MAX_S)
            self.assertEqual(sum(schedule.delay_s(each, now_s) < math.inf for each in KINDS), 1)
            now_s += delay_s
            called.append(kind)
            schedule.note_failure(kind, now_s)
        self.assertEqual({called.count(kind) for kind in KINDS}, {3})

    # Guards against a registry whose return is noticed by one kind alone.
    def test_any_answer_lets_all_kinds_be_called(self) -> None:
        for answered in KINDS:
            schedule = make_schedule(8.0)
            self.fail_all(schedule)
            schedule.note_reply(answered, 5.0)
            self.assertFalse(schedule.is_away)
            self.assertEqual({schedule.delay_s(kind, 5.0) for kind in KINDS}, {0.0})

    def test_delay_grows_while_the_registry_is_away(self) -> None:
        schedule = make_schedule(8.0)
        self.fail_all(schedule)
        now_s = 0.0
        for _ in range(12):
            kind, delay_s = next_call(schedule, now_s)
            now_s += delay_s
            schedule.note_failure(kind, now_s)
        self.assertGreaterEqual(next_call(schedule, now_s)[1], 8 * RETRY_MIN_S)
        self.assertLessEqual(next_call(schedule, now_s)[1], 8 * RETRY_MAX_S)

    def test_kinds_that_other_nodes_send_do_not_count(self) -> None:
        schedule = make_schedule()
        for kind in KINDS[1:]:
            schedule.set_read(kind, False, 0.0)
        schedule.note_failure("a", 0.0)
        self.assertTrue(schedule.is_away)
        schedule.set_read("b", True, 1.0)
        self.assertFalse(schedule.is_away)
        self.assertEqual(schedule.delay_s("b", 1.0), 0.0)
        self.assertEqual(schedule.delay_s("a", 1.0), 0.0)

    @given(STEPS)
    def test_some_kind_that_is_read_is_called_soon(
        self, steps: list[tuple[str, str, float]]
    ) -> None:
        schedule = make_schedule(2.0)
        read, now_s = set(KINDS), 0.0
        for kind, what, after_s in steps:
            now_s += after_s
            match what:
                case "fails" if kind in read:
                    schedule.note_failure(kind, now_s)
                case "answers" if kind in read:
                    schedule.note_reply(kind, now_s)
                case "paused":
                    read.discard(kind)
                    schedule.set_read(kind, False, now_s)
                case "read":
                    read.add(kind)
                    schedule.set_read(kind, True, now_s)
            delays = [schedule.delay_s(each, now_s) for each in read]
            self.assertTrue(not delays or min(delays) <= 2 * RETRY_MAX_S)
            if not schedule.is_away:
                self.assertTrue(all(delay_s <= 2 * RETRY_MAX_S for delay_s in delays))
