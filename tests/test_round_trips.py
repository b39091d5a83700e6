"""Round trips to peers, measured from ordinary requests, in the simulation and over TCP."""

import asyncio
import unittest

from prometheus_client import CollectorRegistry, generate_latest

from bendshed.adapters.tcp_transport import TcpTransport
from bendshed.model.address import Address
from bendshed.model.places import Distance, Places
from bendshed.paths.adaptive_timeout import MIN_DIRECT_TIMEOUT_S, AdaptiveTimeout
from bendshed.paths.echo import UNREACHABLE_ROUNDS, RegionReachability
from bendshed.paths.host_locations import DEFAULT_ROUND_TRIPS_S, HostLocations
from bendshed.ports.round_trips import EXPIRY_S, MAX_PEERS, WINDOW_S, RoundTrips

PLACES = Places({"a": "east", "b": "east", "x": "west"})
LOCAL = "127.0.0.1"


class RoundTripsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.round_trips: RoundTrips[str] = RoundTrips()

    def test_minimum_of_a_window_counts(self) -> None:
        for number, took_s in enumerate((0.09, 0.061, 0.3, 0.07)):
            self.round_trips.record("peer", took_s, number)
        self.assertEqual(self.round_trips.min_s("peer", 4.0), 0.061)
        self.assertIsNone(self.round_trips.min_s("another", 4.0))

    def test_longer_round_trip_is_known_after_two_windows(self) -> None:
        self.round_trips.record("peer", 0.06, 0.0)
        for second in range(1, int(2 * WINDOW_S) + 2):
            self.round_trips.record("peer", 0.6, second)
        self.assertEqual(self.round_trips.min_s("peer", 2 * WINDOW_S + 2), 0.6)

    def test_shorter_round_trip_is_known_at_once(self) -> None:
        self.round_trips.record("peer", 0.6, 0.0)
        self.round_trips.record("peer", 0.06, 0.1)
        self.assertEqual(self.round_trips.min_s("peer", 0.1), 0.06)

    def test_after_a_gap_only_the_new_measurement_counts(self) -> None:
        self.round_trips.record("peer", 0.06, 0.0)
        self.round_trips.record("peer", 0.6, 3 * WINDOW_S)
        self.assertEqual(self.round_trips.min_s("peer", 3 * WINDOW_S), 0.6)

    def test_old_measurement_expires(self) -> None:
        self.round_trips.record("peer", 0.06, 0.0)
        self.assertEqual(self.round_trips.min_s("peer", EXPIRY_S), 0.06)
        self.assertIsNone(self.round_trips.min_s("peer", EXPIRY_S + 1))

    def test_number_of_peers_is_bounded(self) -> None:
        for number in range(MAX_PEERS + 10):
            self.round_trips.record(str(number), 0.01, 0.0)
        self.assertEqual(len(self.round_trips.all_min_s(0.0)), MAX_PEERS)


class HostLocationsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.host_locations = HostLocations("a", PLACES)
        for host, zone in (("h1", "a"), ("h2", "b"), ("h3", "b"), ("h4", "x"), ("h5", "x")):
            self.host_locations.put(host, zone)

    def test_distances_and_their_medians(self) -> None:
        self.assertIs(self.host_locations.distance("h1"), Distance.SAME_ZONE)
        self.assertIs(self.host_locations.distance("h4"), Distance.OTHER_REGION)
        self.assertIsNone(self.host_locations.distance("unknown"))
        took_s = {"h2": 0.001, "h3": 0.003, "h4": 0.06, "h5": 0.2, "unknown": 9.0}
        medians = self.host_locations.medians_s({Address(h, 1): s for h, s in took_s.items()})
        self.assertEqual(set(medians), {Distance.SAME_REGION, Distance.OTHER_REGION})
        self.assertAlmostEqual(medians[Distance.SAME_REGION], 0.002)
        self.assertAlmostEqual(medians[Distance.OTHER_REGION], 0.13)

    def test_timeouts_are_at_least_those_of_near_peers(self) -> None:
        known = {"h2": 0.001, "h4": 0.06}
        adaptive_timeout = AdaptiveTimeout(lambda peer: known.get(peer.host), self.host_locations)
        near, far = Address("h2", 1), Address("h4", 1)
        self.assertEqual(adaptive_timeout.direct_timeout_s(near, "m", 0.0), MIN_DIRECT_TIMEOUT_S)
        self.assertGreater(adaptive_timeout.direct_timeout_s(far, "m", 0.0), 2 * 0.06)
        self.assertGreater(adaptive_timeout.direct_timeout_s(Address("h5", 1), "m", 0.0), 2 * 0.06)
        adaptive_timeout.note(far, "m", 0.12, 0.0)
        self.assertGreater(adaptive_timeout.direct_timeout_s(far, "m", 0.0), 2 * 0.12)
        self.assertLess(adaptive_timeout.direct_timeout_s(far, "another", 0.0), 2 * 0.12)

    def test_unmeasured_peer_gets_the_default_of_its_distance(self) -> None:
        adaptive_timeout = AdaptiveTimeout(lambda _peer: None, self.host_locations)
        self.assertEqual(
            adaptive_timeout.expected_round_trip_s(Address("h4", 1)),
            DEFAULT_ROUND_TRIPS_S[Distance.OTHER_REGION],
        )
        self.assertEqual(
            adaptive_timeout.expected_round_trip_s(Address("unknown", 1)),
            DEFAULT_ROUND_TRIPS_S[None],
        )


class RegionReachabilityTest(unittest.TestCase):
    def test_region_is_reported_once_when_unreachable_and_once_when_back(self) -> None:
        reachability = RegionReachability()
        self.assertEqual(reachability.note(["west"], ["west"]), {})
        changes = [reachability.note(["west"], []) for _ in range(UNREACHABLE_ROUNDS + 2)]
        self.assertEqual([row for row in changes if row], [{"west": False}])
        self.assertEqual(reachability.num_unreachable, 1)
        self.assertEqual(reachability.note(["west"], ["west"]), {"west": True})
        self.assertEqual(
            (reachability.note(["west"], ["west"]), reachability.num_unreachable), ({}, 0)
        )


class OverTcpTest(unittest.IsolatedAsyncioTestCase):
    """Real sockets of this machine; requester and peer share one clock."""

    async def asyncSetUp(self) -> None:
        self.node, self.peer = TcpTransport(LOCAL, 0), TcpTransport(LOCAL, 0)
        await self.node.start()
        self.address = await self.peer.start()
        self.received, self.may_answer = asyncio.Event(), asyncio.Event()
        self.peer.handlers["wait"] = self.wait

    async def asyncTearDown(self) -> None:
        await self.node.close()
        await self.peer.close()

    async def wait(self, payload: bytes) -> bytes:
        """Answer only after the test has moved this loop's clock."""
        self.received.set()
        await self.may_answer.wait()
        return payload

    async def test_processing_time_of_the_peer_is_excluded(self) -> None:
        loop = asyncio.get_running_loop()
        real_time, ahead_s = loop.time, 0.0
        loop.time = lambda: real_time() + ahead_s  # type: ignore[method-assign]
        pending = loop.create_task(self.node.request(self.address, "wait", b"x", 10_000.0))
        await self.received.wait()
        ahead_s = 500.0
        self.may_answer.set()
        self.assertEqual(await pending, b"x")
        measured_s = self.node.round_trip_s(self.address)
        assert measured_s is not None
        self.assertLess(measured_s, 400.0)
        self.assertIsNone(self.peer.round_trip_s(self.address))

    async def test_sent_bytes_are_reported_by_message_and_distance(self) -> None:
        registry = CollectorRegistry()
        self.node.traffic.distance = HostLocations("a", PLACES, {LOCAL: "x"}).distance
        self.node.traffic.add_to(registry)
        self.may_answer.set()
        await self.node.request(self.address, "wait", bytes(1_000), 10_000.0)
        page = generate_latest(registry).decode()
        row = next(line for line in page.splitlines() if line.startswith("bendshed_peer_bytes"))
        self.assertIn('distance="other_region",message="wait"', row)
        self.assertGreater(float(row.split()[-1]), 1_000)
        self.assertEqual(set(self.peer.traffic.num_bytes), {("wait", "not_told")})


if __name__ == "__main__":
    unittest.main()
