"""Decides which parts a node reads from the registry: those that no machine reads for it."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Mapping
from functools import partial

from bendshed.catalog.call_schedule import CallSchedule
from bendshed.catalog.follower import CatalogFollower
from bendshed.catalog.metrics_port import LabelledGaugeFactory
from bendshed.catalog.parts import SERVED_PARTS, CatalogPart
from bendshed.catalog.watcher import KindWatcher
from bendshed.logs import PartLog

DISCOVERY_INTERVAL_S = 0.25
"""Interval at which a node that has just started looks for replica machines."""
FIRST_UPDATE_TIMEOUT_S = 0.5
"""A node that has no update this long after its start reads the registry itself. Updates usually
arrive within a few round trips, and when all nodes start at once each own read costs a call."""

log = PartLog("registry")


class RegistryReading:
    """Pauses and resumes a node's watches, each by whether its own part is fresh.

    Args:
        follower: receives updates of other machines.
        watches: the watch of each part.
        schedule: shared by the watches.
        on_change: called after a watch is lost or regained, and after a change of fresh parts.

    """

    def __init__(
        self,
        follower: CatalogFollower,
        watches: Mapping[CatalogPart, KindWatcher],
        schedule: CallSchedule,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_change = on_change
        self._follower = follower
        self._watches = watches
        self._schedule = schedule
        self._may_read = True
        for watch in watches.values():
            watch.on_loss_change.append(partial(self._handle_loss_change, watch))
            watch.on_failed_call = self._note_failed_call
        follower.on_freshness_change.append(self._handle_freshness_change)

    @property
    def is_lost(self) -> bool:
        """Whether the registry answered no last call of this node for a part served to others.

        That does not change while other machines update this node: they must not follow it. A node
        that lacks one part alone is followed for the others; each reads the missing one itself.
        """
        return all(self._watches[part].is_lost for part in SERVED_PARTS if part in self._watches)

    @property
    def fails_partly(self) -> bool:
        """Whether the registry did not answer the last call for any part."""
        return any(watch.is_lost for watch in self._watches.values())

    def add_gauges(self, metrics: LabelledGaugeFactory) -> None:
        """Add gauges of the age of each kind and of the calls for it."""
        ages = metrics.labelled_gauge(
            "bendshed_registry_age_seconds", "Since the store last replied to the watch", "kind"
        )
        calls = metrics.labelled_gauge(
            "bendshed_registry_calls", "Calls of the watch since start", "kind"
        )
        failed = metrics.labelled_gauge(
            "bendshed_registry_failed_calls", "Those without a valid answer", "kind"
        )
        for watcher in self._watches.values():
            ages.labels(watcher.kind).set_function(watcher.age.read)
            calls.labels(watcher.kind).set_function(partial(_num_calls, watcher))
            failed.labels(watcher.kind).set_function(partial(_num_failed_calls, watcher))

    async def wait_for_update(
        self, discover: Callable[[], Awaitable[bool]], settle_s: float
    ) -> None:
        """Delay reads until other machines had time to send updates: all nodes may start at once.

        Args:
            discover: looks for replica machines once; ``False``: found none.
            settle_s: how long to wait for a fresh update after the first one, in seconds.

        """
        self._may_read = False
        for watch in self._watches.values():
            watch.pause()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_UPDATE_TIMEOUT_S):
                is_found = await discover()
                while not is_found:
                    await asyncio.sleep(DISCOVERY_INTERVAL_S)
                    is_found = await discover()
                await self._follower.first_update.wait()
        if self._follower.first_update.is_set():
            await asyncio.sleep(settle_s)
        self._may_read = True
        log.say("startup wait over: registry may be read", is_told=self._follower.is_fresh)
        self._handle_freshness_change()

    def _handle_freshness_change(self) -> None:
        """Read each part only while no fresh updates of it arrive."""
        if not self._may_read:
            return
        for part, watch in self._watches.items():
            watch.has_peer_updates = self._follower.first_update.is_set()
            if self._follower.is_part_fresh(part):
                watch.pause()
            else:
                watch.resume(self._follower.runners_at if part is CatalogPart.RUNNERS else 0)
        self._on_change()

    def _handle_loss_change(self, watch: KindWatcher) -> None:
        """Restart other watches after a silent one: they may hang on connections as dead as its."""
        if not watch.is_lost and watch.was_silent:
            for other in self._watches.values():
                if other is not watch and not other.is_lost:
                    other.restart()
        self._on_change()

    def _note_failed_call(self, began_s: float) -> None:
        """Count a failed call for any kind as one for the runners, which are called more rarely."""
        runners = self._watches[CatalogPart.RUNNERS]
        if self._schedule.is_away and runners.is_lost:
            runners.outage.note_failure(began_s)


def _num_calls(watcher: KindWatcher) -> float:
    return float(watcher.num_calls)


def _num_failed_calls(watcher: KindWatcher) -> float:
    return float(watcher.num_failed_calls)
