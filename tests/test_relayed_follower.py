"""A follower that reaches its source only through relays, which time out requests that wait."""

import asyncio
import math
import random
import unittest

from bendshed.catalog.demand import MIN_SHARED_REQUESTERS
from bendshed.catalog.follower import CatalogFollower, FollowerPaths
from bendshed.catalog.parts import CatalogPart
from bendshed.catalog.state import Catalog, KnownRunner
from bendshed.catalog.times import CatalogTimes
from bendshed.consensus.directory import ReplicaDirectory
from bendshed.model.address import Address
from bendshed.model.service_document import ServiceDocument
from bendshed.paths.host_locations import HostLocations
from bendshed.placement.zones import ZoneUpdate
from bendshed.ports.registry import ReplicaNode
from bendshed.rehearsal.simulator.loop import SimProcess, VirtualTimeLoop
from bendshed.rehearsal.simulator.network import Network, SimTransport
from bendshed.wire import catalog_pb2 as wire

TIMES = CatalogTimes.within(3.0, 20.0)
STORE = Address("store", 7000)
SIMULATED_S = 6.0


class RecordingSink:
    """Applies updates to a catalog and records the revisions of closed zones."""

    def __init__(self) -> None:
        self.catalog = Catalog()
        self.zone_revisions: list[int] = []

    def apply_document(self, document: ServiceDocument) -> bool:
        return self.catalog.apply_document(document)

    def put_runner(self, known: KnownRunner) -> None:
        self.catalog.put_runner(known)

    def remove_runner(self, runner_id: str, at: int, last_resort_s: float) -> None:
        self.catalog.remove_runner(runner_id, at, last_resort_s)

    def replace_runners(self, runners: list[KnownRunner], at: int, last_resort_s: float) -> None:
        self.catalog.replace_runners(runners, at, last_resort_s)

    def apply_zones(self, update: ZoneUpdate) -> None:
        self.zone_revisions.append(update.zones.revision)

    def confirm_received(self, part: CatalogPart, age_s: float, runners_at: int) -> None:
        pass

    def age_s(self, part: CatalogPart) -> float:
        return math.inf


class RecordingRelays:
    """Replies to relayed requests and records the wait that each asked for."""

    def __init__(self, zones_at: int = 0) -> None:
        self.waits_ms: list[int] = []
        self.zones_at = zones_at

    async def request(self, peer: Address, method: str, payload: bytes, timeout_s: float) -> bytes:
        self.waits_ms.append(wire.CatalogRequest.FromString(payload).wait_ms)
        reply = wire.CatalogReply(
            has_runners=True,
            runners_at=5,
            num_askers=MIN_SHARED_REQUESTERS,
            document_version=0,
            zones_at=self.zones_at,
        )
        return reply.SerializeToString()


class RelayedFollowerTest(unittest.TestCase):
    def follow(self, relays: RecordingRelays, times: CatalogTimes, known_zones_at: int = 0) -> bool:
        """Whether a follower that gets these replies for some seconds is fresh."""
        loop = VirtualTimeLoop()
        asyncio.set_event_loop(loop)
        self.addCleanup(loop.close)
        network = Network(loop, random.Random(1))
        transport = SimTransport(network, SimProcess("front"), Address("front", 7000))
        directory = ReplicaDirectory()
        directory.put(ReplicaNode("store", "n1", STORE, "a"))
        self.sink = sink = RecordingSink()
        follower = CatalogFollower(
            FollowerPaths(transport, relays, HostLocations(), is_relay_only=lambda _peer: True),
            directory,
            sink,
            Address("front", 7000),
            times,
            random.Random(2),
        )
        follower.note_zones_revision(known_zones_at)
        following = loop.create_task(follower.run())
        loop.run_until_complete(asyncio.sleep(SIMULATED_S))
        following.cancel()
        return follower.is_fresh

    def test_relayed_requests_do_not_wait_and_keep_the_interval(self) -> None:
        relays = RecordingRelays()
        self.assertTrue(self.follow(relays, TIMES))
        self.assertEqual(set(relays.waits_ms), {0})
        self.assertLessEqual(len(relays.waits_ms), SIMULATED_S / TIMES.interval_s + 2)
        self.assertGreater(len(relays.waits_ms), SIMULATED_S / TIMES.interval_s / 2)

    def test_fresh_only_if_the_source_knows_the_closed_zones(self) -> None:
        times = CatalogTimes.within(3.0, 20.0, 5.0)
        self.assertFalse(self.follow(RecordingRelays(zones_at=0), times))
        self.assertTrue(self.follow(RecordingRelays(zones_at=9), times, known_zones_at=9))
        self.assertTrue(self.follow(RecordingRelays(zones_at=0), TIMES))

    def test_newer_known_closed_zones_are_kept_and_the_node_is_fresh(self) -> None:
        times = CatalogTimes.within(3.0, 20.0, 5.0)
        self.assertTrue(self.follow(RecordingRelays(zones_at=8), times, known_zones_at=9))
        self.assertEqual(self.sink.zone_revisions, [])
        self.assertTrue(self.follow(RecordingRelays(zones_at=10), times, known_zones_at=9))
        self.assertEqual(self.sink.zone_revisions, [10])
