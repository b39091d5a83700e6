"""Decides when a node reads the registry itself: only while no machine reads it for the node."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Sequence
from functools import partial

from bendshed.catalog.follower import CatalogFollower
from bendshed.catalog.metrics_port import LabelledGaugeFactory
from bendshed.catalog.watcher import KindWatcher
from bendshed.logs import PartLog

DISCOVERY_INTERVAL_S = 0.25
"""Interval at which a node that has just started looks for replica machines."""
FIRST_UPDATE_TIMEOUT_S = 0.5
"""A node that has no update this long after its start reads the registry itself. Updates usually
arrive within a few round trips, and when all nodes start at once each own read costs a call."""

log = PartLog("registry")


class RegistryReading:
    """Pauses and resumes a node's watches.

    Args:
        follower: receives updates of other machines.
        primary: the watch that retries a lost registry.
        others: watches that restart once the registry answers again.
        on_change: called with ``is_lost`` after it or the follower's freshness may have changed.

    """

    def __init__(
        self,
        follower: CatalogFollower,
        primary: KindWatcher,
        others: Sequence[KindWatcher],
        on_change: Callable[[bool], None] = lambda _is_lost: None,
    ) -> None:
        self._on_change = on_change
        self._follower = follower
        self._primary = primary
        self._others = others
        self._may_read = True
        self._is_loss_logged = False
        primary.on_loss_change.append(self._handle_loss_change)
        follower.on_freshness_change.append(self._handle_freshness_change)

    @property
    def is_lost(self) -> bool:
        """Whether the registry did not answer this node's last call.

        That does not change while other machines update this node: they must not follow it.
        """
        return self._primary.is_lost

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
        for watcher in (self._primary, *self._others):
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
        for watcher in (self._primary, *self._others):
            watcher.pause()
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
        """Read the registry only while no fresh updates arrive."""
        if not self._may_read:
            return
        for watcher in (self._primary, *self._others):
            watcher.has_peer_updates = self._follower.first_update.is_set()
        if self._follower.is_fresh:
            for watcher in (self._primary, *self._others):
                watcher.pause()
        else:
            self._primary.resume(self._follower.runners_at)
            self._handle_loss_change()
        self._on_change(self.is_lost)

    def _handle_loss_change(self) -> None:
        """Only the primary watch retries a lost registry; restart the others once it answers."""
        if self._primary.is_lost != self._is_loss_logged:
            self._is_loss_logged = self._primary.is_lost
            kinds = [watcher.kind for watcher in self._others]
            if self._is_loss_logged:
                log.say(
                    "watches paused: another kind fails", failing=self._primary.kind, kinds=kinds
                )
            else:
                log.say("watches resumed", kinds=kinds)
        for watcher in self._others:
            if self._primary.is_lost:
                watcher.pause()
            elif self._may_read and not self._follower.is_fresh:
                watcher.restart()
                watcher.resume()
        self._on_change(self.is_lost)


def _num_calls(watcher: KindWatcher) -> float:
    return float(watcher.num_calls)


def _num_failed_calls(watcher: KindWatcher) -> float:
    return float(watcher.num_failed_calls)
