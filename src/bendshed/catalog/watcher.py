"""Follows all objects of one kind in the registry."""

import asyncio
import contextlib
import math
from collections.abc import Callable
from dataclasses import dataclass

from bendshed.catalog.call_schedule import CallSchedule
from bendshed.catalog.confirmations import ConfirmationAge
from bendshed.catalog.registry_outage import RegistryOutage
from bendshed.logs import PartLog
from bendshed.ports.objects import (
    HistoryExpired,
    ObjectEvent,
    ObjectList,
    ObjectSource,
    StoredObject,
)
from bendshed.ports.store import StoreSilent, StoreUnavailable

LOST_WAIT_S = 0.1
"""While a kind is lost, its watch waits only this long, so that its failure is detected soon."""
WATCH_PAUSE_S = 0.05
"""Pause between two watches, so that a burst of changes costs few calls."""

log = PartLog("registry")


NamesHandler = Callable[[frozenset[str], int, frozenset[str]], None]
"""Called with all names of a kind, their revision, and the names deleted since the last call."""
ListHandler = Callable[[ObjectList], None]
EventHandler = Callable[[ObjectEvent], None]
ConfirmedHandler = Callable[[int], None]


def _ignore_confirmation(_revision: int) -> None:
    """Do nothing, for kinds whose confirmations are not needed."""


@dataclass(frozen=True, slots=True)
class KindHandler:
    """Callbacks for the objects of a kind.

    Attributes:
        on_list: called with all objects after the first read and after a gap in the history.
        on_event: called with one change.
        on_confirmed: called after each reply of the store, with the revision of that reply.

    """

    on_list: ListHandler
    on_event: EventHandler
    on_confirmed: ConfirmedHandler = _ignore_confirmation

    @classmethod
    def of_items(
        cls,
        handle: Callable[[StoredObject], object],
        on_confirmed: ConfirmedHandler = _ignore_confirmation,
    ) -> "KindHandler":
        """Handle each object's newest state; deletions are ignored."""

        def on_list(listed: ObjectList) -> None:
            for item in listed.items:
                handle(item)

        def on_event(event: ObjectEvent) -> None:
            if not event.is_deleted:
                handle(event.object)

        return cls(on_list, on_event, on_confirmed)

    @classmethod
    def of_names(cls, handle: NamesHandler) -> "KindHandler":
        """Handle the names of all objects after each reply of the store.

        The names are collected here across replies, so that each call gets the complete state as of
        one revision, independently of updates from other nodes. Such a watch therefore continues at
        its own last revision, or with a list, and is never resumed at a revision known from others.
        """
        present: set[str] = set()
        deleted: set[str] = set()

        def on_list(listed: ObjectList) -> None:
            present.clear()
            present.update(item.name for item in listed.items)

        def on_event(event: ObjectEvent) -> None:
            name = event.object.name
            if event.is_deleted:
                present.discard(name)
                deleted.add(name)
            else:
                present.add(name)

        def on_confirmed(revision: int) -> None:
            handle(frozenset(present), revision, frozenset(deleted - present))
            deleted.clear()

        return cls(on_list, on_event, on_confirmed)


class KindWatcher:
    """Lists a kind, then watches it until cancelled.

    Attributes:
        wait_s: how long a watch may wait for a change.
        pause_s: pause between two watches.
        has_peer_updates: whether updates of other nodes contain the kind.
        schedule: when kinds are called again after failed calls; shared by the watches of a node.
        is_first_watch_short: the first watch after a pause or a change of pace waits
            ``LOST_WAIT_S``, so that missed changes, or a dead connection, are detected at once; it
            costs a call.
        outage: what the calls show of the registry's latest outage.
        age: since the store's last reply.
        num_calls, num_failed_calls: since the process started.
        is_lost: whether the last call failed.
        was_silent: whether the last failed call had no answer at all, so that connections on which
            other calls wait may be dead too.
        on_failed_call: called with the time at which a call began that failed.
        on_loss_change: called when calls for the kind begin to fail and when one is answered again.

    """

    def __init__(
        self,
        source: ObjectSource,
        kind: str,
        handler: KindHandler,
        wait_s: float,
        schedule: CallSchedule,
        pause_s: float = WATCH_PAUSE_S,
        outage: RegistryOutage | None = None,
    ) -> None:
        self.outage = outage or RegistryOutage()
        self.age = ConfirmationAge()
        self.num_calls = 0
        self.num_failed_calls = 0
        self.on_loss_change: list[Callable[[], None]] = []
        self.on_failed_call: Callable[[float], None] = lambda _began_s: None
        self.is_first_watch_short = False
        self._is_next_watch_short = False
        self._source = source
        self._kind = kind
        self._handler = handler
        self.has_peer_updates = False
        self.wait_s = wait_s
        self.pause_s = pause_s
        self.is_lost = False
        self.was_silent = False
        self._schedule = schedule
        self._schedule.add(kind)
        self._schedule.on_change.append(self._wake)
        self._may_call = asyncio.Event()
        self._revision: int | None = None
        self._listed: dict[str, int] = {}
        self._call: asyncio.Task[None] | None = None
        self._is_active = asyncio.Event()
        self._is_active.set()

    @property
    def kind(self) -> str:
        """Kind of the objects that are followed."""
        return self._kind

    def last_resort_s(self) -> float:
        """How long a runner whose removal the store reports now may be used as a last resort."""
        return self.outage.last_resort_s(asyncio.get_running_loop().time())

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._wait_for_turn()
            began_s = loop.time()
            self.num_calls += 1
            self._call = loop.create_task(self._call_store())
            try:
                await self._call
                self._note_regained()
                await asyncio.sleep(self.pause_s)
            except HistoryExpired:
                log.say("listing again: change history expired", kind=self._kind)
                self._revision = None
                self._note_regained()
            except asyncio.CancelledError:
                current = asyncio.current_task()
                if current is not None and current.cancelling():
                    self._call.cancel()
                    raise
            except Exception as error:  # whatever it is, the kind is followed again
                self._note_failure(error, began_s)

    async def _wait_for_turn(self) -> None:
        """Wait until the kind is read by this node, and may be called after failed calls."""
        loop = asyncio.get_running_loop()
        while True:
            await self._is_active.wait()
            delay_s = self._schedule.delay_s(self._kind, loop.time())
            if delay_s <= 0:
                return
            self._may_call.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(delay_s if delay_s < math.inf else None):
                    await self._may_call.wait()

    def _wake(self) -> None:
        self._may_call.set()

    def set_pace(self, wait_s: float, pause_s: float) -> None:
        """Change the wait and the pause; a shorter wait takes effect at once."""
        is_shorter = wait_s < self.wait_s
        self.wait_s, self.pause_s = wait_s, pause_s
        if is_shorter:
            self.restart()

    def pause(self) -> None:
        """Send no calls until ``resume``, while other nodes send updates of this kind."""
        if not self._is_active.is_set():
            return
        self._is_active.clear()
        self._schedule.set_read(self._kind, False, asyncio.get_running_loop().time())
        self.restart()

    def resume(self, revision: int = 0) -> None:
        """Watch again; ``revision``: up to which everything is known from other nodes."""
        if revision:
            self._revision = max(self._revision or 0, revision)
        if self._is_active.is_set():
            return
        self._is_active.set()
        self._schedule.set_read(self._kind, True, asyncio.get_running_loop().time())

    def restart(self) -> None:
        """Cancel a watch that may hang on a dead connection, and begin a new one."""
        self._is_next_watch_short = self.is_first_watch_short
        if self._call is not None:
            self._call.cancel()

    async def _call_store(self) -> None:
        if self._revision is None:
            listed = await self._source.list(self._kind)
            self._note_reply()
            self._listed = {item.name: item.revision for item in listed.items}
            self._handler.on_list(listed)
            self._revision = listed.revision
            self._note_confirmed(listed.revision)
            return
        wait_s = LOST_WAIT_S if self.is_lost or self._is_next_watch_short else self.wait_s
        changes = await self._source.watch(self._kind, self._revision, wait_s)
        self._note_reply()
        self._is_next_watch_short = False
        for event in changes.events:
            if not self._is_outdated(event):
                self._handler.on_event(event)
        self._revision = changes.revision
        self._note_confirmed(changes.revision)

    def _note_reply(self) -> None:
        self.outage.note_reply(asyncio.get_running_loop().time())

    def _note_confirmed(self, revision: int) -> None:
        self.age.confirm(0.0)
        self._handler.on_confirmed(revision)

    def _is_outdated(self, event: ObjectEvent) -> bool:
        """Whether an event is older than the listed state of its object.

        A list of several pages contains later states than the revision at which its watch begins.
        """
        return event.object.revision < self._listed.get(event.object.name, 0)

    def _note_failure(self, error: Exception, began_s: float) -> None:
        self.outage.note_failure(began_s)
        self.num_failed_calls += 1
        self.was_silent = isinstance(error, StoreSilent)
        is_known = self._revision is not None or self.has_peer_updates
        now_s = asyncio.get_running_loop().time()
        self._schedule.note_failure(self._kind, now_s, self.was_silent, is_known)
        self.on_failed_call(began_s)
        if not self.is_lost:
            confirmed_ago_s = round(self.age.seconds, 3) if self.age.seconds < math.inf else None
            is_answered = not isinstance(error, StoreUnavailable)
            log.say(
                "update failed: unexpected error"
                if is_answered
                else "platform store lost: call failed",
                kind=self._kind,
                confirmed_ago_s=confirmed_ago_s,
                reason=repr(error) if is_answered else str(error),
                is_away=self._schedule.is_away,
            )
            self.is_lost = True
            self._notify_loss_change()

    def _notify_loss_change(self) -> None:
        for on_loss_change in self.on_loss_change:
            on_loss_change()

    def _note_regained(self) -> None:
        self._schedule.note_reply(self._kind, asyncio.get_running_loop().time())
        if self.is_lost:
            log.say("platform store answers again", kind=self._kind)
            self.is_lost = False
            self._notify_loss_change()
