"""Streams that clients take up again while runners of two software versions serve."""

import logging
import unittest

from bendshed.rehearsal.site.oracle import Violation
from tests.site_stream_defects import fronts_are_killed, leaders_are_killed

SEEDS = range(1, 4)


class StreamVersionsTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    # Guards against answers that are joined from events of two software versions of a service.
    def test_resumed_streams_stay_at_the_version_that_began_them(self) -> None:
        found: list[Violation] = []
        for seed in SEEDS:
            found += fronts_are_killed(seed)
        self.assertEqual(found, [])

    # Guards against origins of streams that are lost, or read from a replaced leader.
    def test_versions_of_streams_outlive_the_leader(self) -> None:
        found: list[Violation] = []
        for seed in SEEDS:
            found += leaders_are_killed(seed)
        self.assertEqual(found, [])
