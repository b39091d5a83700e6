"""The Hypothesis profile makes test results independent of the machine's load."""

import unittest

from hypothesis import HealthCheck, settings

import tests  # noqa: F401 (loads the profile)


class ProfileTest(unittest.TestCase):
    def test_no_health_check_reads_the_wall_clock(self) -> None:
        default = settings()
        self.assertIn(HealthCheck.too_slow, default.suppress_health_check)
        self.assertTrue(default.derandomize)
        self.assertIsNone(default.deadline)
        self.assertIsNone(default.database)
