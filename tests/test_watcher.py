"""Following the platform's store across losses."""

import asyncio
import contextlib
import random
import unittest
from unittest import mock

from bendshed.catalog.watcher import (
    LOST_WAIT_S,
    RETRY_MAX_S,
    KindHandler,
    KindWatcher,
)
from bendshed.ports.objects import (
    HistoryGone,
    ObjectEvent,
    ObjectEvents,
    ObjectList,
    StoredObject,
)
from bendshed.ports.store import StoreUnavailable
from bendshed.rehearsal.simulator.loop import VirtualTimeLoop

WATCH_S = 20.0
MARGIN_S = 0.6


class FakeStore:
    """A store of one object that can fall silent, with every connection made meanwhile."""

    def __init__(self, loop: VirtualTimeLoop) -> None:
        self.loop = loop
        self.revision = 1
        self.changed = asyncio.Event()
        self.is_silent = False
        self.history_from = 0
        self.list_at: int | None = None
        self.older: list[int] = []

    async def list(self, kind: str) -> ObjectList:
        await self._reach(1.0)
        at = self.revision if self.list_at is None else self.list_at
        return ObjectList([self._object()], at)

    async def watch(self, kind: str, at: int, wait_s: float) -> ObjectEvents:
        await self._reach(wait_s + MARGIN_S)
        if at < self.history_from:
            raise HistoryGone(kind)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                if self.revision == at:
                    await self.changed.wait()
        revisions = [old for old in self.older if old > at]
        revisions += [self.revision] if self.revision > at and self.list_at is None else []
        events = [ObjectEvent(self._object(old), False, self.revision) for old in revisions]
        return ObjectEvents(events, self.revision)

    def change(self, revision: int) -> None:
        self.revision = revision
        self.changed.set()

    async def _reach(self, timeout_s: float) -> None:
        await asyncio.sleep(0.004)
        if self.is_silent:
            await asyncio.sleep(timeout_s)  # this connection stays silent for good
            raise StoreUnavailable("silent")

    def _object(self, revision: int | None = None) -> StoredObject:
        revision = self.revision if revision is None else revision
        return StoredObject("main", revision, {"version": revision}, None)


class WatcherTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = VirtualTimeLoop()
        asyncio.set_event_loop(self.loop)
        self.addCleanup(self.loop.close)
        self.store = FakeStore(self.loop)
        self.seen: list[int] = []
        self.short = self.watcher([], 2.0)
        self.long = self.watcher(self.seen, WATCH_S)
        self.short.on_loss_change.append(self.long.restart)
        self.tasks = [self.loop.create_task(w.run()) for w in (self.short, self.long)]

    def tearDown(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.gather(*self.tasks, return_exceptions=True))

    def watcher(self, seen: list[int], wait_s: float, max_retry_growth: float = 1.0) -> KindWatcher:
        handler = KindHandler(
            lambda listed: seen.extend(item.revision for item in listed.items),
            lambda event: seen.append(event.object.revision),
        )
        return KindWatcher(
            self.store,  # type: ignore[arg-type]
            "kind",
            handler,
            wait_s,
            random.Random(1),
            max_retry_growth=max_retry_growth,
        )

    def run_for(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def test_a_change_is_seen_at_once(self) -> None:
        self.run_for(1.0)
        self.store.change(5)
        self.run_for(0.1)
        self.assertEqual(self.seen, [1, 5])

    def test_a_change_after_silence_is_seen_soon_after_the_store_is_back(self) -> None:
        self.run_for(1.0)
        self.store.is_silent = True
        self.run_for(5.0)
        self.store.is_silent = False
        self.run_for(3.0)
        self.store.change(7)
        self.run_for(0.5)
        self.assertEqual(self.seen[-1], 7)

    def test_the_store_is_regained_soon_whenever_it_comes_back(self) -> None:
        """A question asked just before the store is back must not be waited for long."""
        for silent_tenths in range(30, 62, 4):
            with self.subTest(silent_s=silent_tenths / 10):
                self.run_for(3.0)
                self.store.is_silent = True
                self.run_for(silent_tenths / 10)
                self.store.is_silent = False
                self.store.change(self.store.revision + 1)
                self.run_for(1.6)
                self.assertEqual(self.seen[-1], self.store.revision)

    def test_a_paused_watch_asks_nothing_and_goes_on_where_others_told_up_to(self) -> None:
        self.run_for(1.0)
        self.long.pause()
        self.store.change(5)
        self.run_for(3.0)
        self.assertEqual(self.seen, [1])
        self.long.resume(at=5)
        self.run_for(0.5)
        self.assertEqual(self.seen, [1])
        self.store.change(6)
        self.run_for(0.5)
        self.assertEqual(self.seen, [1, 6])

    def test_a_watch_that_others_told_up_to_need_not_list(self) -> None:
        self.run_for(0.5)
        late = self.watcher([], 2.0)
        late.pause()
        late.resume(at=1)
        self.tasks.append(self.loop.create_task(late.run()))
        with mock.patch.object(self.store, "list") as listed:
            self.run_for(1.0)
        listed.assert_not_called()

    def test_who_is_told_by_others_asks_a_lost_store_ever_less_often(self) -> None:
        self.run_for(1.0)
        patient = self.watcher([], 2.0, max_retry_growth=8.0)
        patient.has_peer_updates = True
        with mock.patch.object(self.store, "list", side_effect=StoreUnavailable("away")) as listed:
            self.tasks.append(self.loop.create_task(patient.run()))
            self.run_for(10.0)
        self.assertLessEqual(listed.call_count, 5)

    def test_a_quick_watch_after_a_pause_shows_a_dead_connection_soon(self) -> None:
        """What it must know in time it does not wait for on a connection that may be dead."""
        quick_seen: list[int] = []
        quick = self.watcher(quick_seen, WATCH_S)
        quick.is_first_watch_short = True
        self.tasks.append(self.loop.create_task(quick.run()))
        self.run_for(1.0)
        quick.pause()
        self.run_for(3.0)
        self.store.is_silent = True
        quick.resume()
        self.run_for(0.3)
        self.store.is_silent = False
        self.store.change(5)
        self.run_for(LOST_WAIT_S + MARGIN_S + RETRY_MAX_S + 0.1)
        self.assertEqual(quick_seen, [1, 5])

    def test_a_quick_watch_waits_as_long_as_others_afterwards(self) -> None:
        quick = self.watcher([], WATCH_S)
        quick.is_first_watch_short = True
        self.tasks.append(self.loop.create_task(quick.run()))
        self.run_for(1.0)
        quick.restart()
        with mock.patch.object(self.store, "watch", wraps=self.store.watch) as watch:
            self.run_for(10.0)
        waits = [call.args[2] for call in watch.call_args_list if call.args[2] != 2.0]
        self.assertEqual(waits, [LOST_WAIT_S, WATCH_S])

    def test_lost_history_is_listed_again(self) -> None:
        self.run_for(1.0)
        self.store.history_from = 8
        self.store.change(9)
        self.run_for(0.5)
        self.assertEqual(self.seen[-1], 9)

    def test_an_event_older_than_what_a_list_told_changes_nothing(self) -> None:
        """A list of several pages ends later than its watch begins."""
        self.store.revision = 4
        self.store.list_at = 2
        self.store.older = [2, 3]
        self.run_for(0.5)
        self.assertEqual(self.seen, [4])
