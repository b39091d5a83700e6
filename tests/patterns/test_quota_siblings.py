"""Load pattern: concurrent turns of sub-agents of one program whose tenant is at its limit.

Basis of the figures: a program starts about five sub-agents at once; for a tenant of 4 requests a
second and a burst of 10, up to 46 turns may be counted in 5 s. A caller retries once after a
rejection and sends a failed turn again twice, after 0.1 to 0.4 s, so it has six attempts. It waits
at most a second each time, a third of the time left for its turn.

Guards against equal retry times: under measured load, six of ten programs that failed midway were
told to retry after 100 ms each time and used up their attempts within 0.4 to 1.7 s, while a place
became free every 110 ms.
"""

import unittest

from bendshed.admission.quota_ledger import QuotaLedger, QuotaRequest, Rank
from bendshed.admission.quota_limits import QuotaTolerance, tenant_limit
from bendshed.admission.quota_usage import UsageWindows
from bendshed.model.service_document import Tenant

WINDOW_MS = 5_000
LIMIT = tenant_limit(Tenant("t", rate_per_s=4, burst=10), QuotaTolerance(5.0, 0.1, 20))
NUM_SUB_AGENTS = 5
MAX_WAIT_MS = 1_000
MAX_ATTEMPTS = 6
REQUEST_INTERVAL_MS = 110
"""Time between two requests of the tenant while it is at its limit."""


class SubAgentRetryTest(unittest.TestCase):
    """The ledger, and callers that respect their retry times; no network and no real clock."""

    def setUp(self) -> None:
        self.ledger = QuotaLedger(WINDOW_MS)
        self.ledger.begin_term(1)
        self.usage = UsageWindows()
        self.num_requests = 0

    def fill(self, until_ms: int) -> None:
        """Count as many earlier requests as the tenant may have turns."""
        for place in reversed(range(int(LIMIT.turns))):
            self.usage.charge("t", until_ms - 1 - place * REQUEST_INTERVAL_MS, 1)

    def request_turn(self, chain: str, now_ms: int) -> int:
        """Request one turn; return 0 if it runs, otherwise the time after which it is retried."""
        self.num_requests += 1
        request = QuotaRequest(f"r{self.num_requests}", "t", "program", Rank.TURN, chain)
        admission = self.ledger.admit_turn(request, LIMIT, self.usage, now_ms)
        if not admission.is_granted:
            return min(admission.retry_after_ms, MAX_WAIT_MS)
        self.usage.charge("t", now_ms, 1)
        self.ledger.settle_turn(request.request_id)
        return 0

    def test_sub_agents_get_different_retry_times(self) -> None:
        self.fill(10_000)
        waits = [self.request_turn(f"chain-{place}", 10_000) for place in range(NUM_SUB_AGENTS)]
        self.assertNotIn(0, waits)
        self.assertEqual(len(set(waits)), NUM_SUB_AGENTS)

    def test_no_sub_agent_runs_out_of_attempts_while_places_become_free(self) -> None:
        self.fill(10_000)
        attempts = {f"chain-{place}": 0 for place in range(NUM_SUB_AGENTS)}
        due = [(10_000, chain) for chain in attempts]
        while due:
            due.sort()
            now_ms, chain = due.pop(0)
            attempts[chain] += 1
            wait_ms = self.request_turn(chain, now_ms)
            if wait_ms:
                due.append((now_ms + wait_ms, chain))
        self.assertLessEqual(max(attempts.values()), MAX_ATTEMPTS // 2)

    def test_repeated_request_does_not_wait_for_itself(self) -> None:
        self.fill(10_000)
        first = self.request_turn("chain", 10_000)
        again = self.request_turn("chain", 10_000)
        self.assertEqual(first, again)
