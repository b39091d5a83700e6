"""Which reservations count as standing when the program's budget rejects a turn."""

import unittest
from unittest import mock

from bendshed.admission import standing_reservations
from bendshed.admission.standing_reservations import STANDING_S, StandingReservations

PROGRAM = ("tenant", "program")
OTHER = ("tenant", "other")


class StandingReservationsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reservations = StandingReservations()

    def standing_tokens(self, reserved: dict[str, int], at_s: float) -> int:
        return self.reservations.standing_tokens(PROGRAM, reserved, at_s)

    def test_reservation_counts_only_after_the_standing_time(self) -> None:
        self.assertEqual(self.standing_tokens({"a": 5}, 0.0), 0)
        self.assertEqual(self.standing_tokens({"a": 5}, STANDING_S - 0.1), 0)
        self.assertEqual(self.standing_tokens({"a": 5}, STANDING_S), 5)

    def test_reservations_are_timed_individually(self) -> None:
        self.standing_tokens({"a": 5}, 0.0)
        self.assertEqual(self.standing_tokens({"a": 5, "b": 7}, STANDING_S), 5)
        self.assertEqual(self.standing_tokens({"a": 5, "b": 7}, 2 * STANDING_S), 12)

    def test_released_reservation_starts_a_new_time(self) -> None:
        self.standing_tokens({"a": 5}, 0.0)
        self.standing_tokens({}, 1.0)
        self.assertEqual(self.standing_tokens({"a": 5}, STANDING_S), 0)

    def test_number_of_programs_is_bounded(self) -> None:
        with mock.patch.object(standing_reservations, "MAX_PROGRAMS", 1):
            self.standing_tokens({"a": 5}, 0.0)
            self.reservations.standing_tokens(OTHER, {"a": 5}, 0.0)
            self.assertEqual(self.standing_tokens({"a": 5}, STANDING_S), 0)
