"""Relayed requests between regions 60 ms of round trip apart: without a fault and with a cut."""

import asyncio
import random
import unittest
from collections.abc import Coroutine
from typing import Any

from bendshed.model.address import Address
from bendshed.model.places import Places
from bendshed.paths.host_locations import HostLocations
from bendshed.paths.relayed import RelayedRequests
from bendshed.ports.transport import PeerUnreachable
from bendshed.rehearsal.simulator.loop import SimProcess, VirtualTimeLoop
from bendshed.rehearsal.simulator.network import JITTER_S, LATENCY_S, Network, SimTransport

METHOD = "say"
LINK_S = 0.03
"""One-way latency between the regions."""
SLOW_LINK_S = 10 * LINK_S
ROUND_TRIP_S = 2 * (LINK_S + JITTER_S)
NEAR_TRIP_S = 2 * (LATENCY_S + JITTER_S)
COMMIT_S = 0.02
TIMEOUT_S = 0.5
NEAR = ("front", "near-store", "near-1", "near-2", "near-3")
FAR = ("far-store", "far-1", "far-2", "far-3")
PLACES = Places({"near-zone": "near-region", "far-zone": "far-region"})


async def gather_all(pending: list[Coroutine[Any, Any, bytes]]) -> list[bytes]:
    return await asyncio.gather(*pending)


class RelaysBetweenRegionsTest(unittest.TestCase):
    """One front, and in each region a store and three further fronts."""

    def setUp(self) -> None:
        self.loop = VirtualTimeLoop()
        asyncio.set_event_loop(self.loop)
        self.addCleanup(self.loop.abandon)
        self.network = Network(self.loop, random.Random(1))
        self.set_link(LINK_S)
        self.zone_of = {name: "near-zone" for name in NEAR} | {name: "far-zone" for name in FAR}
        self.addresses = {name: Address(name, 7000) for name in self.zone_of}
        self.requesters = {name: self.create_requester(name) for name in self.addresses}
        self.num_answers = 0
        for store in ("near-store", "far-store"):
            self.transports[store].handlers[METHOD] = self.answer

    def set_link(self, one_way_s: float) -> None:
        self.network.between_s = {(near, far): one_way_s for near in NEAR for far in FAR}

    def create_requester(self, name: str) -> RelayedRequests:
        transport = SimTransport(self.network, SimProcess(name), self.addresses[name])
        self.loop.run_until_complete(transport.start())
        if not hasattr(self, "transports"):
            self.transports: dict[str, SimTransport] = {}
        self.transports[name] = transport
        host_locations = HostLocations(self.zone_of[name], PLACES)
        for other, zone in self.zone_of.items():
            host_locations.put(other, zone)
        relays = [
            self.addresses[other]
            for other in self.addresses
            if "store" not in other and other != name
        ]
        methods = frozenset({METHOD})
        return RelayedRequests(transport, random.Random(2), lambda: relays, methods, host_locations)

    async def answer(self, payload: bytes) -> bytes:
        self.num_answers += 1
        await asyncio.sleep(COMMIT_S)
        return payload

    def send_request(self, target: str, timeout_s: float = TIMEOUT_S) -> float | None:
        """Return how long an answer took; ``None`` if there was none."""
        started_s = self.loop.time()
        pending = self.requesters["front"].request(self.addresses[target], METHOD, b"x", timeout_s)
        try:
            self.loop.run_until_complete(pending)
        except PeerUnreachable:
            return None
        return self.loop.time() - started_s

    async def send_request_after(self, wait_s: float, target: str) -> bytes:
        await asyncio.sleep(wait_s)
        return await self.requesters["front"].request(self.addresses[target], METHOD, b"x", 2.0)

    def cut_from_stores(self, *names: str) -> None:
        for name in names:
            for store in ("near-store", "far-store"):
                self.network.cuts.update(((name, store), (store, name)))

    def used_relays(self) -> set[str]:
        counted = self.network.num_sent.items()
        return {to for (of, to, method), num in counted if method == "paths.relay" and num}

    def num_relay_requests(self) -> int:
        counted = self.network.num_sent.items()
        return sum(num for (_, _, method), num in counted if method == "paths.relay")

    def assert_answered_within(self, took_s: float | None, max_s: float) -> None:
        self.assertIsNotNone(took_s)
        assert took_s is not None
        self.assertLess(took_s, max_s)

    # --- no fault --------------------------------------------------------------------------

    def test_distant_request_without_a_fault_is_sent_once(self) -> None:
        for number in range(1, 6):
            took_s = self.send_request("far-store")
            self.assert_answered_within(took_s, ROUND_TRIP_S + COMMIT_S + 0.001)
            self.assertEqual(self.num_answers, number)
        self.assertEqual(self.used_relays(), set())
        self.assertEqual(self.requesters["front"].num_doubled, 0)

    def test_commit_that_crosses_the_link_is_awaited(self) -> None:
        async def slow_answer(payload: bytes) -> bytes:
            self.num_answers += 1
            await asyncio.sleep(2 * LINK_S)
            return payload

        for store in ("near-store", "far-store"):
            self.transports[store].handlers[METHOD] = slow_answer
            self.send_request(store)
            self.loop.run_until_complete(asyncio.sleep(TIMEOUT_S))
            before = self.num_answers
            for _ in range(3):
                self.send_request(store)
            self.assertEqual(self.num_answers, before + 3)

    def test_timeouts_adapt_to_a_ten_times_slower_link(self) -> None:
        for _ in range(3):
            self.send_request("far-store")
        self.set_link(SLOW_LINK_S)
        for _ in range(60):
            self.send_request("far-store", 3.0)
        self.network.num_sent.clear()
        before = self.num_answers
        for _ in range(5):
            self.assertIsNotNone(self.send_request("far-store", 3.0))
        self.assertEqual((self.num_answers - before, self.used_relays()), (5, set()))

    # --- a cut -----------------------------------------------------------------------------

    def test_cut_from_a_near_store_is_detected_quickly(self) -> None:
        self.send_request("near-store")
        self.cut_from_stores("front")
        self.assert_answered_within(self.send_request("near-store"), 0.13)
        for _ in range(5):
            self.assert_answered_within(
                self.send_request("near-store"), 2 * NEAR_TRIP_S + COMMIT_S + 0.001
            )
        self.assertTrue(all(name.startswith("near") for name in self.used_relays()))

    def test_cut_from_a_distant_store_costs_one_timeout_and_then_a_near_relay(self) -> None:
        self.send_request("far-store")
        self.cut_from_stores("front")
        first_s = 2 * (ROUND_TRIP_S + COMMIT_S) + 0.03 + NEAR_TRIP_S + ROUND_TRIP_S + COMMIT_S
        self.assert_answered_within(self.send_request("far-store"), first_s + 0.01)
        self.network.num_sent.clear()
        for _ in range(10):
            took_s = self.send_request("far-store")
            self.assert_answered_within(took_s, NEAR_TRIP_S + ROUND_TRIP_S + COMMIT_S + 0.001)
        self.assertEqual(self.num_relay_requests(), 10)
        self.assertTrue(all(name.startswith("near") for name in self.used_relays()))

    def test_concurrent_requests_use_the_relay_that_the_first_finds(self) -> None:
        for target in ("near-store", "far-store"):
            self.send_request(target)
        self.cut_from_stores("front")
        for target, max_s in (("far-store", 0.39), ("near-store", 0.2)):
            pending = [self.send_request_after(0.005 * number, target) for number in range(5)]
            started_s = self.loop.time()
            self.loop.run_until_complete(asyncio.wait_for(gather_all(pending), 2.5))
            self.assertLess(self.loop.time() - started_s, max_s)

    def test_near_store_is_reached_through_the_other_region_if_necessary(self) -> None:
        self.send_request("near-store")
        self.cut_from_stores("front", "near-1", "near-2", "near-3")
        answered = [self.send_request("near-store", TIMEOUT_S) for _ in range(12)]
        self.assertTrue(any(took_s is not None for took_s in answered[:4]))
        for took_s in answered[4:]:
            self.assert_answered_within(took_s, 2 * ROUND_TRIP_S + COMMIT_S + 0.001)

    def test_distant_store_is_reached_through_a_relay_in_its_region(self) -> None:
        self.send_request("far-store")
        self.cut_from_stores("front", "near-1", "near-2", "near-3")
        answered = [self.send_request("far-store") for _ in range(12)]
        for took_s in answered[6:]:
            self.assert_answered_within(took_s, NEAR_TRIP_S + ROUND_TRIP_S + COMMIT_S + 0.001)
        self.assertTrue(any(name.startswith("far") for name in self.used_relays()))

    def test_request_that_cannot_finish_in_time_is_not_relayed(self) -> None:
        self.send_request("far-store")
        self.cut_from_stores("front")
        self.send_request("far-store")
        self.network.num_sent.clear()
        self.assertIsNone(self.send_request("far-store", LINK_S))
        self.assertEqual(self.used_relays(), set())


if __name__ == "__main__":
    unittest.main()
