"""Runners that end under one request: it is not sent to ever more of them."""

import logging
import unittest

from bendshed.rehearsal.site.runner import FatalInput
from tests.site_quarantine_defects import FATAL_KINDS, runners_end_under_one_request

SEEDS = (1, 2)


class EndedRunnersTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    # Guards against a request that ends one runner after the other, since each try of its client
    # begins with a history of its own.
    def test_a_request_under_which_three_runners_ended_is_not_sent_again(self) -> None:
        for kind in FATAL_KINDS:
            for fatal in FatalInput:
                for restarts in (False, True):
                    for seed in SEEDS:
                        found = runners_end_under_one_request(seed, kind, fatal, restarts)
                        self.assertEqual(found, [], (kind, fatal, restarts, seed))
