"""Reaching a group's leader that stands far: its bound, and what its silence proves."""

import asyncio
import random
import unittest

from bendshed.consensus.group_client import EXTRA_TIMEOUT_ROUND_TRIPS, GroupClient
from bendshed.model.address import Address
from bendshed.ports.transport import PeerUnreachable
from bendshed.rehearsal.simulator.loop import VirtualTimeLoop

WAY_S = 0.06
GROUP = 0


class Silent:
    """Nobody answers; remembers how long each request was given."""

    def __init__(self) -> None:
        self.given_s: list[float] = []

    async def request(self, peer: Address, method: str, payload: bytes, timeout_s: float) -> bytes:
        self.given_s.append(timeout_s)
        await asyncio.sleep(timeout_s)
        raise PeerUnreachable("silent")


class FarLeaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = VirtualTimeLoop()
        asyncio.set_event_loop(self.loop)
        self.addCleanup(self.loop.close)
        self.silent = Silent()
        self.round_trip_s = 0.0
        self.client = GroupClient(
            self.silent,
            random.Random(1),
            1,
            lambda name: Address(name, 1),
            lambda: ["far"],
            expected_round_trip_s=lambda _peer: self.round_trip_s,
        )
        self.client.leaders[GROUP] = "far"

    def ask(self, timeout_s: float, most_s: float) -> float:
        """How long the request was given."""
        asking = self.client.request_leader(GROUP, "m", b"", timeout_s, most_s)
        self.assertIsNone(self.loop.run_until_complete(asking))
        return self.silent.given_s[-1]

    def test_a_far_leader_has_more_time_and_never_more_than_is_left(self) -> None:
        self.assertEqual(self.ask(0.2, 9.0), 0.2)
        self.round_trip_s = WAY_S
        self.assertAlmostEqual(self.ask(0.2, 9.0), 0.2 + EXTRA_TIMEOUT_ROUND_TRIPS * WAY_S)
        self.assertEqual(self.ask(0.2, 0.25), 0.25)

    def test_a_leader_that_had_no_time_to_answer_is_not_forgotten(self) -> None:
        self.round_trip_s = WAY_S
        self.ask(0.2, 1.5 * WAY_S)
        self.assertEqual(self.client.leaders, {GROUP: "far"})
        self.ask(0.2, 9.0)
        self.assertEqual(self.client.leaders, {})

    def test_the_way_to_a_leader_that_is_not_known_counts_nothing(self) -> None:
        self.round_trip_s = WAY_S
        self.assertEqual(self.client.round_trip_to_leader_s(GROUP), WAY_S)
        del self.client.leaders[GROUP]
        self.client._resolve = lambda name: Address(name, 1) if name else None
        self.assertEqual(self.client.round_trip_to_leader_s(GROUP), 0.0)


if __name__ == "__main__":
    unittest.main()
