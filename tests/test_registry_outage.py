"""For how long a runner whose entry vanished is a last resort."""

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from bendshed.catalog.registry_outage import (
    DISPATCH_MARGIN_S,
    MAX_LAST_RESORT_S,
    RegistryOutage,
)

SETTLED_S, DRAIN_S, MAX_GAP_S = 3.0, 2.0, 1.5
CALL_S = st.floats(0.0, 1.0)
PAUSE_S = st.floats(0.01, 4.0)
CALLS = st.lists(st.tuples(PAUSE_S, CALL_S), min_size=1, max_size=9)


class RegistryOutageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.confirmed_s = 0.0
        self.outage = RegistryOutage(SETTLED_S, DRAIN_S, MAX_GAP_S, lambda: self.confirmed_s)

    def fail_calls(self, *began_s: float) -> None:
        for at_s in began_s:
            self.outage.note_failure(at_s)

    def last_resort_s(self, reply_s: float) -> float:
        """Of a runner whose removal a reply reports."""
        self.outage.note_reply(reply_s)
        self.confirmed_s = reply_s
        return self.outage.last_resort_s(reply_s)

    def test_runner_removed_by_a_registry_that_never_failed_has_left(self) -> None:
        self.assertEqual(self.last_resort_s(5.0), 0.0)

    def test_runner_missing_after_an_outage_is_a_last_resort_until_it_should_be_listed(
        self,
    ) -> None:
        self.fail_calls(1.0, 2.0)
        self.assertEqual(self.last_resort_s(3.0), MAX_LAST_RESORT_S)
        self.assertEqual(self.last_resort_s(4.0), MAX_LAST_RESORT_S - 1.0)

    def test_runner_removed_later_has_left(self) -> None:
        self.fail_calls(1.0, 2.0)
        self.last_resort_s(3.0)
        self.assertEqual(self.last_resort_s(3.0 + MAX_LAST_RESORT_S), 0.0)

    def test_call_that_fails_soon_after_a_confirmation_is_no_outage(self) -> None:
        self.fail_calls(0.5)
        self.assertEqual(self.last_resort_s(MAX_GAP_S), 0.0)

    def test_calls_that_fail_beside_replies_are_no_outage(self) -> None:
        for number in range(10):
            self.fail_calls(float(number))
            self.assertEqual(self.last_resort_s(number + 0.5), 0.0)

    # Guards against a node that takes its first own reply for the end of an outage which other
    # machines have told it is over.
    def test_outage_that_is_over_for_other_machines_is_over(self) -> None:
        self.fail_calls(1.0, 2.0)
        self.confirmed_s = 8.0
        self.assertEqual(self.last_resort_s(9.0), 0.0)

    # Guards against a node that began to call the registry late in an outage, and takes its one
    # failed call for none.
    def test_one_failed_call_is_an_outage_if_nothing_was_confirmed_for_long(self) -> None:
        self.fail_calls(4.0)
        self.assertEqual(self.last_resort_s(4.5), MAX_LAST_RESORT_S)

    def test_calls_of_an_isolated_process_say_nothing_of_the_registry(self) -> None:
        self.outage.is_isolated = lambda: True
        self.fail_calls(1.0, 2.0)
        self.assertEqual(self.last_resort_s(3.0), 0.0)

    # Guards against live runners that are dropped by a node which calls a lost registry rarely.
    def test_informed_process_uses_runners_although_its_last_call_is_long_ago(self) -> None:
        self.outage.is_informed = True
        self.fail_calls(0.0, 1.0)
        self.assertAlmostEqual(self.last_resort_s(8.0), DRAIN_S - DISPATCH_MARGIN_S)

    # Guards against requests later than DRAIN_S after a removal that binds, whenever the calls of
    # this process failed and were answered.
    @given(CALLS, CALLS, st.floats(0.0, 1.0), st.floats(0.0, 9.0))
    def test_removal_that_binds_is_kept_within_its_bound(
        self,
        failed: list[tuple[float, float]],
        answered: list[tuple[float, float]],
        share: float,
        later_s: float,
    ) -> None:
        outage = RegistryOutage(SETTLED_S, DRAIN_S, MAX_GAP_S, lambda: -math.inf)
        now_s = began_s = 0.0
        for pause_s, took_s in failed:
            began_s = now_s + pause_s
            now_s = began_s + took_s
            outage.note_failure(began_s)
        well_since_s = began_s + share * (now_s - began_s)
        acknowledged_s = well_since_s + SETTLED_S + later_s
        for pause_s, took_s in answered:
            now_s += pause_s + took_s
            outage.note_reply(now_s)
            if now_s >= acknowledged_s:
                until_s = now_s + outage.last_resort_s(now_s)
                bound_s = acknowledged_s + DRAIN_S - DISPATCH_MARGIN_S
                self.assertLessEqual(until_s, max(now_s, bound_s + 1e-6))
                break
