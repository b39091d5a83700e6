"""When a node reads the registry itself: only while no other machine reads it for this node."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Sequence

from bendshed.catalog.follower import CatalogFollower
from bendshed.catalog.watcher import KindWatcher
from bendshed.logs import PartLog

LOOK_INTERVAL_S = 0.25
"""A node that has just started looks this often for replica machines."""
NO_UPDATE_S = 0.5
"""A node without any update this long after its start reads the registry itself: updates usually
come within some round trips, and when all nodes start at once each own reading costs a call."""

log = PartLog("registry")


class RegistryReading:
    """Pauses and resumes a node's watches.

    Args:
        follower: gets updates of other machines.
        leading: the watch that looks for a lost registry.
        others: begin again once the registry is back.
        on_change: gets ``is_lost`` after it or the follower's freshness may have changed.

    """

    def __init__(
        self,
        follower: CatalogFollower,
        leading: KindWatcher,
        others: Sequence[KindWatcher],
        on_change: Callable[[bool], None] = lambda _is_lost: None,
    ) -> None:
        self._on_change = on_change
        self._follower = follower
        self._leading = leading
        self._others = others
        self._may_read = True
        leading.on_trouble.append(self._follow_trouble)
        follower.on_freshness_change.append(self._follow_freshness)

    @property
    def is_lost(self) -> bool:
        """The registry did not answer this node's last call.

        That stays while others update this node: the machines that do must not rely on it.
        """
        return self._leading.is_lost

    async def wait_for_update(self, look: Callable[[], Awaitable[bool]], settle_s: float) -> None:
        """Read nothing until others had time to send updates: all nodes may start at once.

        Args:
            look: looks for replica machines once; ``False``: found none.
            settle_s: after the first update, how long to wait for a fresh one.

        """
        self._may_read = False
        for watcher in (self._leading, *self._others):
            watcher.pause()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(NO_UPDATE_S):
                is_found = await look()
                while not is_found:
                    await asyncio.sleep(LOOK_INTERVAL_S)
                    is_found = await look()
                await self._follower.first_update.wait()
        if self._follower.first_update.is_set():
            await asyncio.sleep(settle_s)
        self._may_read = True
        log.say("startup wait over: registry may be read", is_told=self._follower.is_fresh)
        self._follow_freshness()

    def _follow_freshness(self) -> None:
        """Read only while no fresh updates come."""
        if not self._may_read:
            return
        for watcher in (self._leading, *self._others):
            watcher.is_known = self._follower.first_update.is_set()
        if self._follower.is_fresh:
            for watcher in (self._leading, *self._others):
                watcher.pause()
        else:
            self._leading.resume(self._follower.runners_at)
            self._follow_trouble()
        self._on_change(self.is_lost)

    def _follow_trouble(self) -> None:
        """One watch looks for a lost registry; the others begin afresh once it is back."""
        for watcher in self._others:
            if self._leading.is_lost:
                watcher.pause()
            elif self._may_read and not self._follower.is_fresh:
                watcher.restart()
                watcher.resume()
        self._on_change(self.is_lost)
