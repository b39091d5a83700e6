"""When a node reads the registry itself instead of following another machine."""

import asyncio
import unittest
from collections.abc import Callable
from unittest import mock

from bendshed.catalog.parts import CatalogPart
from bendshed.catalog.reading import FIRST_UPDATE_TIMEOUT_S, RegistryReading
from bendshed.rehearsal.simulator.loop import VirtualTimeLoop

SETTLE_S = 1.0


class FakeWatcher:
    """Records whether it is active and how often it was restarted."""

    def __init__(self) -> None:
        self.is_active = True
        self.is_lost = False
        self.was_silent = False
        self.has_peer_updates = False
        self.num_restarts = 0
        self.outage = mock.Mock()
        self.on_loss_change: list[Callable[[], None]] = []
        self.on_failed_call: Callable[[float], None] = lambda _began_s: None

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
        self.fresh: set[CatalogPart] = set()
        self.follower = mock.Mock(
            first_update=asyncio.Event(),
            is_fresh=False,
            is_part_fresh=self.fresh.__contains__,
            runners_at=0,
            on_freshness_change=[],
        )
        self.runners, self.configuration, self.machines = (FakeWatcher() for _ in range(3))
        self.schedule = mock.Mock(is_away=False)
        self.lost: list[bool] = []
        self.reading = RegistryReading(
            self.follower,
            {
                CatalogPart.RUNNERS: self.runners,  # type: ignore[dict-item]
                CatalogPart.DOCUMENT: self.configuration,  # type: ignore[dict-item]
                CatalogPart.MACHINES: self.machines,  # type: ignore[dict-item]
            },
            self.schedule,
            lambda: self.lost.append(self.reading.is_lost),
        )

    def active(self) -> tuple[bool, bool]:
        return self.runners.is_active, self.configuration.is_active

    def set_fresh(self, *parts: CatalogPart) -> None:
        self.fresh.clear()
        self.fresh.update(parts)
        for on_freshness_change in self.follower.on_freshness_change:
            on_freshness_change()

    def set_lost(self, watcher: FakeWatcher, is_lost: bool) -> None:
        watcher.is_lost = is_lost
        for on_loss_change in watcher.on_loss_change:
            on_loss_change()

    def wait_for_update(self, finds: bool) -> float:
        async def discover() -> bool:
            return finds

        began_s = self.loop.time()
        self.loop.run_until_complete(self.reading.wait_for_update(discover, SETTLE_S))
        return self.loop.time() - began_s

    def test_node_reads_just_the_parts_without_fresh_updates(self) -> None:
        self.set_fresh(*CatalogPart)
        self.assertEqual(self.active(), (False, False))
        self.set_fresh(CatalogPart.DOCUMENT)
        self.assertEqual(self.active(), (True, False))
        self.set_fresh(CatalogPart.RUNNERS)
        self.assertEqual(self.active(), (False, True))
        self.set_fresh()
        self.assertEqual(self.active(), (True, True))

    # Guards against a watch whose failure stops the node from reading other kinds.
    def test_no_watch_pauses_others(self) -> None:
        for watcher in (self.runners, self.configuration, self.machines):
            self.set_lost(watcher, True)
            self.assertEqual(self.active(), (True, True))
            self.set_lost(watcher, False)

    # Guards against a machine that nobody follows for what it can read, so that all read it.
    def test_registry_is_lost_only_if_no_part_that_requests_depend_on_is_answered(self) -> None:
        self.set_lost(self.machines, True)
        self.set_lost(self.runners, True)
        self.assertTrue(self.reading.fails_partly)
        self.set_lost(self.configuration, True)
        self.set_lost(self.runners, False)
        self.assertEqual(self.lost, [False, False, True, False])

    def test_other_watches_restart_after_a_silent_one(self) -> None:
        self.set_lost(self.runners, True)
        self.set_lost(self.runners, False)
        self.assertEqual(self.configuration.num_restarts, 0)
        self.runners.was_silent = True
        self.set_lost(self.runners, True)
        self.set_lost(self.runners, False)
        self.assertEqual((self.configuration.num_restarts, self.runners.num_restarts), (1, 0))

    def test_registry_stays_lost_while_the_node_follows_others(self) -> None:
        self.set_lost(self.runners, True)
        self.set_lost(self.configuration, True)
        self.set_fresh(*CatalogPart)
        self.assertTrue(self.reading.is_lost)

    def test_calls_that_fail_while_the_registry_is_away_show_its_outage(self) -> None:
        self.machines.on_failed_call(7.0)
        self.runners.outage.note_failure.assert_not_called()
        self.schedule.is_away = self.runners.is_lost = True
        self.machines.on_failed_call(8.0)
        self.runners.outage.note_failure.assert_called_once_with(8.0)

    def test_starting_node_with_fresh_updates_does_not_read(self) -> None:
        self.follower.first_update.set()
        self.fresh.update(CatalogPart)
        self.assertAlmostEqual(self.wait_for_update(finds=True), SETTLE_S, places=2)
        self.assertEqual(self.active(), (False, False))

    def test_starting_node_without_updates_reads_soon(self) -> None:
        self.assertAlmostEqual(self.wait_for_update(finds=False), FIRST_UPDATE_TIMEOUT_S, places=2)
        self.assertEqual(self.active(), (True, True))

    def test_watches_learn_that_peers_send_updates(self) -> None:
        self.set_fresh()
        self.assertFalse(self.runners.has_peer_updates)
        self.follower.first_update.set()
        self.set_fresh()
        self.assertTrue(self.runners.has_peer_updates)

    def test_starting_node_with_outdated_updates_reads_after_the_settle_time(self) -> None:
        self.follower.first_update.set()
        self.wait_for_update(finds=True)
        self.assertEqual(self.active(), (True, True))


if __name__ == "__main__":
    unittest.main()
