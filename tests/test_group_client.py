"""Requests to a remote group leader: their timeout, and what a missing answer implies."""

import asyncio
import random
import unittest

from bendshed.consensus.group_client import EXTRA_TIMEOUT_ROUND_TRIPS, GroupClient
from bendshed.model.address import Address
from bendshed.ports.transport import PeerUnreachable
from bendshed.rehearsal.simulator.loop import VirtualTimeLoop

ROUND_TRIP_S = 0.06
GROUP = 0


class SilentTransport:
    """Transport that never answers and records the timeout of each request."""

    def __init__(self) -> None:
        self.timeouts_s: list[float] = []

    async def request(self, peer: Address, method: str, payload: bytes, timeout_s: float) -> bytes:
        self.timeouts_s.append(timeout_s)
        await asyncio.sleep(timeout_s)
        raise PeerUnreachable("silent")


class RemoteLeaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = VirtualTimeLoop()
        asyncio.set_event_loop(self.loop)
        self.addCleanup(self.loop.close)
        self.transport = SilentTransport()
        self.round_trip_s = 0.0
        self.client = GroupClient(
            self.transport,
            random.Random(1),
            1,
            lambda name: Address(name, 1),
            lambda: ["far"],
            expected_round_trip_s=lambda _peer: self.round_trip_s,
        )
        self.client.leaders[GROUP] = "far"

    def request_timeout(self, timeout_s: float, most_s: float) -> float:
        """Send a request to the leader and return the timeout that it was given."""
        request = self.client.request_leader(GROUP, "m", b"", timeout_s, most_s)
        self.assertIsNone(self.loop.run_until_complete(request))
        return self.transport.timeouts_s[-1]

    def test_remote_leader_gets_a_longer_timeout_within_the_remaining_time(self) -> None:
        self.assertEqual(self.request_timeout(0.2, 9.0), 0.2)
        self.round_trip_s = ROUND_TRIP_S
        self.assertAlmostEqual(
            self.request_timeout(0.2, 9.0), 0.2 + EXTRA_TIMEOUT_ROUND_TRIPS * ROUND_TRIP_S
        )
        self.assertEqual(self.request_timeout(0.2, 0.25), 0.25)

    def test_leader_without_time_to_answer_is_not_forgotten(self) -> None:
        self.round_trip_s = ROUND_TRIP_S
        self.request_timeout(0.2, 1.5 * ROUND_TRIP_S)
        self.assertEqual(self.client.leaders, {GROUP: "far"})
        self.request_timeout(0.2, 9.0)
        self.assertEqual(self.client.leaders, {})

    def test_round_trip_to_an_unknown_leader_is_zero(self) -> None:
        self.round_trip_s = ROUND_TRIP_S
        self.assertEqual(self.client.round_trip_to_leader_s(GROUP), ROUND_TRIP_S)
        del self.client.leaders[GROUP]
        self.client._resolve = lambda name: Address(name, 1) if name else None
        self.assertEqual(self.client.round_trip_to_leader_s(GROUP), 0.0)


if __name__ == "__main__":
    unittest.main()
