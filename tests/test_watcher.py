"""Watches of the platform's store across outages."""

import asyncio
import contextlib
import math
import random
import unittest
from collections.abc import Callable
from unittest import mock

from bendshed.catalog.call_schedule import RETRY_MAX_S, RETRY_MIN_S, CallSchedule
from bendshed.catalog.watcher import LOST_WAIT_S, KindHandler, KindWatcher
from bendshed.ports.objects import (
    HistoryExpired,
    ObjectEvent,
    ObjectEvents,
    ObjectList,
    StoredObject,
)
from bendshed.ports.store import StoreSilent, StoreUnavailable
from bendshed.rehearsal.simulator.loop import VirtualTimeLoop

WATCH_S = 20.0
MARGIN_S = 0.6
MANY_CALLS = 1_200
"""More than a float has binary exponents."""


class FakeStore:
    """A store of one object; while it is down, calls hang, also after it is up again."""

    def __init__(self, loop: VirtualTimeLoop) -> None:
        self.loop = loop
        self.revision = 1
        self.changed = asyncio.Event()
        self.is_down = False
        self.history_from = 0
        self.list_at: int | None = None
        self.older: list[int] = []

    async def list(self, kind: str) -> ObjectList:
        await self._reach(1.0)
        at = self.revision if self.list_at is None else self.list_at
        return ObjectList([self._object()], at)

    async def watch(self, kind: str, after_revision: int, wait_s: float) -> ObjectEvents:
        await self._reach(wait_s + MARGIN_S)
        if after_revision < self.history_from:
            raise HistoryExpired(kind)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                if self.revision == after_revision:
                    await self.changed.wait()
        revisions = [old for old in self.older if old > after_revision]
        revisions += (
            [self.revision] if self.revision > after_revision and self.list_at is None else []
        )
        events = [ObjectEvent(self._object(old), False, self.revision) for old in revisions]
        return ObjectEvents(events, self.revision)

    def change(self, revision: int) -> None:
        self.revision = revision
        self.changed.set()

    async def _reach(self, timeout_s: float) -> None:
        await asyncio.sleep(0.004)
        if self.is_down:
            await asyncio.sleep(timeout_s)  # the call hangs even if the store is up again
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
            CallSchedule(random.Random(1), max_retry_growth),
        )

    def in_loop(self, call: Callable[[], None]) -> None:
        async def run() -> None:
            call()

        self.loop.run_until_complete(run())

    def run_for(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def test_change_is_seen_at_once(self) -> None:
        self.run_for(1.0)
        self.store.change(5)
        self.run_for(0.1)
        self.assertEqual(self.seen, [1, 5])

    def test_age_counts_from_the_last_reply(self) -> None:
        self.run_for(1.0)
        self.assertLess(self.long.age.seconds, 1.0)
        self.store.is_down = True
        self.run_for(WATCH_S + 1.0)
        self.assertGreater(self.long.age.seconds, WATCH_S)
        self.assertLess(self.short.age.seconds, math.inf)

    def test_change_after_an_outage_is_seen_soon(self) -> None:
        self.run_for(1.0)
        self.store.is_down = True
        self.run_for(5.0)
        self.store.is_down = False
        self.run_for(3.0)
        self.store.change(7)
        self.run_for(0.5)
        self.assertEqual(self.seen[-1], 7)

    def test_watch_recovers_soon_after_outages_of_any_length(self) -> None:
        """A call begun just before the store is back hangs, and must not delay the recovery."""
        for outage_tenths in range(30, 62, 4):
            with self.subTest(outage_s=outage_tenths / 10):
                self.run_for(3.0)
                self.store.is_down = True
                self.run_for(outage_tenths / 10)
                self.store.is_down = False
                self.store.change(self.store.revision + 1)
                self.run_for(1.6)
                self.assertEqual(self.seen[-1], self.store.revision)

    def test_paused_watch_resumes_at_the_revision_known_from_peers(self) -> None:
        self.run_for(1.0)
        self.in_loop(self.long.pause)
        self.store.change(5)
        self.run_for(3.0)
        self.assertEqual(self.seen, [1])
        self.in_loop(lambda: self.long.resume(revision=5))
        self.run_for(0.5)
        self.assertEqual(self.seen, [1])
        self.store.change(6)
        self.run_for(0.5)
        self.assertEqual(self.seen, [1, 6])

    def test_watch_resumed_at_a_known_revision_does_not_list(self) -> None:
        self.run_for(0.5)
        watcher = self.watcher([], 2.0)
        self.in_loop(watcher.pause)
        self.in_loop(lambda: watcher.resume(revision=1))
        self.tasks.append(self.loop.create_task(watcher.run()))
        with mock.patch.object(self.store, "list") as listed:
            self.run_for(1.0)
        listed.assert_not_called()

    def test_retries_slow_down_while_peers_send_updates(self) -> None:
        self.run_for(1.0)
        watcher = self.watcher([], 2.0, max_retry_growth=8.0)
        watcher.has_peer_updates = True
        with mock.patch.object(self.store, "list", side_effect=StoreUnavailable("away")) as listed:
            self.tasks.append(self.loop.create_task(watcher.run()))
            self.run_for(10.0)
        self.assertLessEqual(listed.call_count, 5)

    # Guards against a watch that ends for good in an outage of half an hour.
    def test_watch_goes_on_after_any_number_of_failed_calls(self) -> None:
        self.run_for(1.0)
        watcher = self.watcher([], 2.0, max_retry_growth=8.0)
        watcher.has_peer_updates = True
        task = self.loop.create_task(watcher.run())
        self.tasks.append(task)
        with mock.patch.object(self.store, "list", side_effect=StoreUnavailable("away")) as listed:
            while listed.call_count < MANY_CALLS and not task.done():
                self.run_for(600.0)
        self.run_for(8 * RETRY_MAX_S + 1.0)
        self.assertFalse(task.done())
        self.assertFalse(watcher.is_lost)

    def test_short_first_watch_detects_a_dead_connection(self) -> None:
        """The first watch after a pause is short, since its connection may be dead."""
        seen: list[int] = []
        watcher = self.watcher(seen, WATCH_S)
        watcher.is_first_watch_short = True
        self.tasks.append(self.loop.create_task(watcher.run()))
        self.run_for(1.0)
        self.in_loop(watcher.pause)
        self.run_for(3.0)
        self.store.is_down = True
        self.in_loop(watcher.resume)
        self.run_for(0.3)
        self.store.is_down = False
        self.store.change(5)
        self.run_for(LOST_WAIT_S + MARGIN_S + RETRY_MAX_S + 0.1)
        self.assertEqual(seen, [1, 5])

    def test_only_the_first_watch_after_a_restart_is_short(self) -> None:
        watcher = self.watcher([], WATCH_S)
        watcher.is_first_watch_short = True
        self.tasks.append(self.loop.create_task(watcher.run()))
        self.run_for(1.0)
        watcher.restart()
        with mock.patch.object(self.store, "watch", wraps=self.store.watch) as watch:
            self.run_for(10.0)
        waits = [call.args[2] for call in watch.call_args_list if call.args[2] != 2.0]
        self.assertEqual(waits, [LOST_WAIT_S, WATCH_S])

    # Guards against a silent connection that is replaced only after the delay of a lost store.
    def test_silent_watch_begins_again_at_once(self) -> None:
        self.run_for(1.0)
        with mock.patch.object(self.store, "watch", side_effect=StoreSilent("no answer")) as watch:
            self.long.restart()
            self.run_for(0.05)
            self.assertEqual(watch.call_count, 2)
            self.run_for(RETRY_MIN_S - 0.1)
            self.assertEqual(watch.call_count, 2)
        self.run_for(1.0)
        self.store.change(5)
        self.run_for(0.1)
        self.assertEqual(self.seen, [1, 5])

    def test_refused_watch_begins_again_after_a_delay(self) -> None:
        self.run_for(1.0)
        with mock.patch.object(
            self.store, "watch", side_effect=StoreUnavailable("status 503")
        ) as watch:
            self.long.restart()
            self.run_for(RETRY_MIN_S - 0.1)
        self.assertEqual(watch.call_count, 1)

    def test_expired_history_is_listed_again(self) -> None:
        self.run_for(1.0)
        self.store.history_from = 8
        self.store.change(9)
        self.run_for(0.5)
        self.assertEqual(self.seen[-1], 9)

    def test_event_older_than_the_listed_state_is_ignored(self) -> None:
        """A list of several pages contains later states than the revision its watch begins at."""
        self.store.revision = 4
        self.store.list_at = 2
        self.store.older = [2, 3]
        self.run_for(0.5)
        self.assertEqual(self.seen, [4])
