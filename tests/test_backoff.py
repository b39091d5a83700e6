"""Delays that double with each failure, also after thousands of them."""

import asyncio
import unittest

from bendshed.consensus.replica_candidates import MAX_BACKOFF_S, ReplicaCandidates
from bendshed.retries.backoff import exponential_backoff

MANY_FAILURES = 5_000


class BackoffTest(unittest.IsolatedAsyncioTestCase):
    def test_delay_doubles_up_to_its_limit(self) -> None:
        delays = [exponential_backoff(0.5, number, 3.0) for number in range(5)]
        self.assertEqual(delays, [0.5, 1.0, 2.0, 3.0, 3.0])

    def test_delay_is_bounded_after_any_number_of_failures(self) -> None:
        self.assertEqual(exponential_backoff(0.5, MANY_FAILURES, 3.0), 3.0)

    # Guards against a supervisor that ends once a machine has failed 1,024 times.
    async def test_machine_may_fail_any_number_of_times(self) -> None:
        candidates = ReplicaCandidates()
        for _ in range(MANY_FAILURES):
            candidates.record_failure("store-1")
        self.assertTrue(candidates.is_backed_off("store-1"))
        until_s = candidates._backoff_until_s["store-1"]
        self.assertLessEqual(until_s, asyncio.get_running_loop().time() + MAX_BACKOFF_S)
