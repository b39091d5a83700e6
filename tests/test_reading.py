"""When a node reads the registry itself instead of following another machine."""

import asyncio
import unittest
from collections.abc import Callable
from unittest import mock

from bendshed.catalog.reading import FIRST_UPDATE_TIMEOUT_S, RegistryReading
from bendshed.rehearsal.simulator.loop import VirtualTimeLoop

SETTLE_S = 1.0


class FakeWatcher:
    """Records whether it is active and how often it was restarted."""

    def __init__(self) -> None:
        self.is_active = True
        self.is_lost = False
        self.has_peer_updates = False
        self.num_restarts = 0
        self.on_loss_change: list[Callable[[], None]] = []

    def pause(self) -> None:
        self.is_active = False

    def resume(self, _at: int = 0) -> None:
        self.is_active = True

    def restart(self) -> None:
        self.num_restarts += 1


class RegistryReadingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = VirtualTimeLoop()
        asyncio.set_event_loop(self.loop)
        self.addCleanup(self.loop.close)
        self.follower = mock.Mock(
            first_update=asyncio.Event(), is_fresh=False, runners_at=0, on_freshness_change=[]
        )
        self.primary, self.other = FakeWatcher(), FakeWatcher()
        self.lost: list[bool] = []
        self.reading = RegistryReading(
            self.follower,
            self.primary,  # type: ignore[arg-type]
            [self.other],  # type: ignore[list-item]
            self.lost.append,
        )

    def active(self) -> tuple[bool, bool]:
        return self.primary.is_active, self.other.is_active

    def set_fresh(self, is_fresh: bool) -> None:
        self.follower.is_fresh = is_fresh
        for on_freshness_change in self.follower.on_freshness_change:
            on_freshness_change()

    def notify_loss_change(self) -> None:
        for on_loss_change in self.primary.on_loss_change:
            on_loss_change()

    def wait_for_update(self, finds: bool) -> float:
        async def discover() -> bool:
            return finds

        began_s = self.loop.time()
        self.loop.run_until_complete(self.reading.wait_for_update(discover, SETTLE_S))
        return self.loop.time() - began_s

    def test_node_reads_only_without_fresh_updates(self) -> None:
        self.set_fresh(True)
        self.assertEqual(self.active(), (False, False))
        self.set_fresh(False)
        self.assertEqual(self.active(), (True, True))

    def test_only_the_primary_watch_retries_a_lost_registry(self) -> None:
        self.primary.is_lost = True
        self.notify_loss_change()
        self.assertEqual(self.active(), (True, False))
        self.primary.is_lost = False
        self.notify_loss_change()
        self.assertEqual((self.active(), self.other.num_restarts), ((True, True), 1))
        self.assertEqual(self.lost, [True, False])

    def test_registry_stays_lost_while_the_node_follows_others(self) -> None:
        self.primary.is_lost = True
        self.set_fresh(True)
        self.assertTrue(self.reading.is_lost)

    def test_starting_node_with_fresh_updates_does_not_read(self) -> None:
        self.follower.first_update.set()
        self.follower.is_fresh = True
        self.assertAlmostEqual(self.wait_for_update(finds=True), SETTLE_S, places=2)
        self.assertEqual(self.active(), (False, False))

    def test_starting_node_without_updates_reads_soon(self) -> None:
        self.assertAlmostEqual(self.wait_for_update(finds=False), FIRST_UPDATE_TIMEOUT_S, places=2)
        self.assertEqual(self.active(), (True, True))

    def test_watches_learn_that_peers_send_updates(self) -> None:
        self.set_fresh(False)
        self.assertFalse(self.primary.has_peer_updates)
        self.follower.first_update.set()
        self.set_fresh(False)
        self.assertTrue(self.primary.has_peer_updates)

    def test_starting_node_with_outdated_updates_reads_after_the_settle_time(self) -> None:
        self.follower.first_update.set()
        self.wait_for_update(finds=True)
        self.assertEqual(self.active(), (True, True))


if __name__ == "__main__":
    unittest.main()
