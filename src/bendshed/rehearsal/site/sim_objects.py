"""Simulated connections of one process to the platform's store, which may become silent."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

from bendshed.ports.objects import (
    MAX_IDLE_S,
    WATCH_MARGIN_S,
    HistoryExpired,
    ObjectEvent,
    ObjectEvents,
    ObjectList,
    ObjectSource,
    StoredObject,
)
from bendshed.ports.store import StoreSilent, StoreUnavailable
from bendshed.rehearsal.site.metadata import MetadataModel
from bendshed.rehearsal.site.registry_faults import SLOW_S, FaultMode, mode_of

ONE_WAY_S = 0.002
CALL_TIMEOUT_S = 1.0

ResultT = TypeVar("ResultT")


@dataclass(slots=True, eq=False)
class SimStoreConnection:
    """One connection.

    Attributes:
        is_silent: nothing that is sent on it arrives any more, and it stays open.
        idle_since_s: when its last call ended; ``None``: a call is under way.
        watched_kind: kind that its call waits for; empty: it is another call.

    """

    is_silent: bool = False
    idle_since_s: float | None = None
    watched_kind: str = ""


class SimObjectSource(ObjectSource):
    """Reads a ``MetadataModel`` as ``platform/objects.py`` reads the store.

    Args:
        model: what the store holds.
        is_reachable: whether the store answers this process.
        is_refused: whether it refuses every call at once.
        machine: whose calls these are, for the faults of the model.

    Attributes:
        connections: the open ones.
        num_calls: calls since the process started.
        refused_kinds: kinds whose watches are refused.

    """

    def __init__(
        self,
        model: MetadataModel,
        is_reachable: Callable[[], bool],
        is_refused: Callable[[], bool] = lambda: False,
        machine: str = "",
    ) -> None:
        self._machine = machine
        self._model = model
        self._is_reachable = is_reachable
        self._is_refused = is_refused
        self.connections: list[SimStoreConnection] = []
        self.num_calls = 0
        self.refused_kinds: frozenset[str] = frozenset()
        self._num_cuts = 0

    def cut_watches(self) -> None:
        """The store breaks the connections on which this process waits for changes."""
        self._num_cuts += 1
        self._model.wake()

    async def list(self, kind: str, may_be_stale: bool = False) -> ObjectList:
        """Read all objects of a kind."""

        async def read() -> ObjectList:
            rows = sorted(self._model.kinds.get(kind, {}).items())
            mode = mode_of(self._model.faults, self._machine, kind)
            if mode is FaultMode.LATER_PAGES and len(rows) > self._model.page:
                raise StoreUnavailable("status 429")
            items = [_to_object(row.to_json()) for _, row in rows]
            return ObjectList(items, self._model.revision)

        return await self._call(read, kind, "", CALL_TIMEOUT_S)

    async def watch(self, kind: str, after_revision: int, wait_s: float) -> ObjectEvents:
        """Wait for changes after a revision."""

        async def wait() -> ObjectEvents:
            if kind in self.refused_kinds:
                raise StoreUnavailable("refused")
            await self._wait_for_events(kind, after_revision, wait_s)
            if after_revision < self._model.history_from:
                raise HistoryExpired(kind)
            revision = self._model.revision
            events = [
                ObjectEvent(_to_object(row["object"]), bool(row["gone"]), revision)
                for row in self._model.events(kind, after_revision)
            ]
            return ObjectEvents(events, revision)

        return await self._call(wait, kind, kind, wait_s + WATCH_MARGIN_S)

    async def _wait_for_events(self, kind: str, after_revision: int, wait_s: float) -> None:
        model, num_cuts = self._model, self._num_cuts
        try:
            async with asyncio.timeout(wait_s):
                while after_revision >= model.history_from and not model.events(
                    kind, after_revision
                ):
                    await model.changed.wait()
                    if self._num_cuts > num_cuts:
                        raise StoreUnavailable("cut")
        except TimeoutError:
            return

    async def _call(
        self,
        work: Callable[[], Awaitable[ResultT]],
        kind: str,
        watched_kind: str,
        timeout_s: float,
    ) -> ResultT:
        self.num_calls += 1
        self._model.num_calls[self._machine, kind] += 1
        connection = self._acquire(watched_kind)
        is_complete = False
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(ONE_WAY_S)
                if self._is_refused():
                    raise StoreUnavailable("refused")
                await self._strike(kind)
                result = await work()
                await asyncio.sleep(ONE_WAY_S)
                if connection.is_silent or not self._is_reachable():
                    await asyncio.Event().wait()
            is_complete = True
            return result
        except TimeoutError as error:
            self._close_idle()
            raise StoreSilent("no answer in time") from error
        finally:
            if is_complete:
                connection.idle_since_s = asyncio.get_running_loop().time()
                connection.watched_kind = ""
            elif connection in self.connections:
                self.connections.remove(connection)

    async def _strike(self, kind: str) -> None:
        """Do to a call what the store's faults do to it."""
        match mode_of(self._model.faults, self._machine, kind):
            case FaultMode.REFUSED | FaultMode.THROTTLED | FaultMode.RESET | FaultMode.ODD as mode:
                raise StoreUnavailable(mode.value)
            case FaultMode.SILENT:
                await asyncio.Event().wait()
            case FaultMode.SLOW:
                await asyncio.sleep(SLOW_S)

    def _acquire(self, watched_kind: str) -> SimStoreConnection:
        """Take the connection that was used last, unless it was idle for too long."""
        oldest_s = asyncio.get_running_loop().time() - MAX_IDLE_S
        for connection in self._idle():
            if connection.idle_since_s is not None and connection.idle_since_s < oldest_s:
                self.connections.remove(connection)
        newest = max(self._idle(), key=lambda row: row.idle_since_s or 0.0, default=None)
        if newest is None:
            newest = SimStoreConnection()
            self.connections.append(newest)
        newest.idle_since_s = None
        newest.watched_kind = watched_kind
        return newest

    def _idle(self) -> Sequence[SimStoreConnection]:
        return [row for row in self.connections if row.idle_since_s is not None]

    def _close_idle(self) -> None:
        for connection in self._idle():
            self.connections.remove(connection)


def _to_object(content: dict[str, Any]) -> StoredObject:
    meta = content["meta"]
    return StoredObject(meta["name"], int(meta["rev"]), content["spec"], content["status"])
