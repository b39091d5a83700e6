"""Simulated platform: object API, machine list, disks."""

import asyncio
import random
from dataclasses import dataclass, field

from bendshed.configuration.document import Snapshot
from bendshed.configuration.service import ConfigurationCache
from bendshed.ports.clock import Clock
from bendshed.ports.log_storage import GroupWrite, LogStorage, StorageFailed, StoredGroup
from bendshed.ports.store import (
    Machine,
    MachineList,
    ObjectStore,
    StoredObject,
    StoreUnavailable,
    VersionConflict,
)
from bendshed.wire.consensus_pb2 import LogEntry
from bendshed.wire.consensus_pb2 import Snapshot as GroupSnapshot

STORE_LATENCY_S = 0.01
STORE_TIMEOUT_S = 2.0
WATCH_CHECK_S = 0.1
DISK_COMMIT_S = 0.002


class SimClock(Clock):
    """Wall clock of one node: virtual time plus an offset that a fault may step."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.offset_ms = 1_700_000_000_000

    def wall_ms(self) -> int:
        """Milliseconds."""
        return int(self._loop.time() * 1000) + self.offset_ms


@dataclass(slots=True)
class SimStore(ObjectStore):
    """Object API with faults.

    Attributes:
        down: nothing answers.
        answer_loss: share of writes that take effect and whose answer is lost.
        stale_reads: share of reads that see an older state.

    """

    loop: asyncio.AbstractEventLoop
    rng: random.Random
    down: bool = False
    answer_loss: float = 0.0
    stale_reads: float = 0.0
    objects: dict[str, StoredObject] = field(default_factory=dict)
    older: list[dict[str, StoredObject]] = field(default_factory=list)
    writes: int = 0

    async def _reach(self) -> None:
        if self.down:
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise StoreUnavailable("down")
        await asyncio.sleep(STORE_LATENCY_S * self.rng.uniform(0.5, 2))
        if self.down:
            raise StoreUnavailable("down")

    def _seen(self) -> dict[str, StoredObject]:
        if self.older and self.rng.random() < self.stale_reads:
            return self.rng.choice(self.older[-5:])
        return self.objects

    async def get(self, key: str) -> StoredObject | None:
        """Read one object."""
        await self._reach()
        return self._seen().get(key)

    async def create(self, key: str, content: bytes) -> StoredObject:
        """Create."""
        await self._reach()
        if key in self.objects:
            raise VersionConflict(key)
        return await self._write(key, content)

    async def replace(self, key: str, content: bytes, expected_version: int) -> StoredObject:
        """Compare-and-swap."""
        await self._reach()
        found = self.objects.get(key)
        if found is None or found.version != expected_version:
            raise VersionConflict(key)
        return await self._write(key, content)

    async def _write(self, key: str, content: bytes) -> StoredObject:
        self.older.append(dict(self.objects))
        self.writes += 1
        self.objects[key] = StoredObject(key, self.writes, content)
        if self.rng.random() < self.answer_loss:
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise StoreUnavailable("the answer was lost")
        return self.objects[key]

    async def list_after(self, prefix: str, after_key: str) -> list[StoredObject]:
        """List."""
        await self._reach()
        return _matching(self._seen(), prefix, after_key)

    async def watch(self, prefix: str, after_key: str, wait_s: float) -> list[StoredObject]:
        """Wait for the first matching object."""
        await self._reach()
        until = self.loop.time() + wait_s
        while self.loop.time() < until:
            if self.down:
                raise StoreUnavailable("down")
            found = _matching(self._seen(), prefix, after_key)
            if found:
                return found
            await asyncio.sleep(WATCH_CHECK_S)
        return []


def _matching(objects: dict[str, StoredObject], prefix: str, after_key: str) -> list[StoredObject]:
    keys = sorted(key for key in objects if key.startswith(prefix) and key > after_key)
    return [objects[key] for key in keys]


@dataclass(slots=True)
class SimMachineList(MachineList):
    """Machine list with a lag."""

    store: SimStore
    machines: dict[str, Machine] = field(default_factory=dict)

    async def read(self) -> list[Machine]:
        """All machines; shares the store's outages."""
        if self.store.down:
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise StoreUnavailable("down")
        await asyncio.sleep(STORE_LATENCY_S)
        return list(self.machines.values())


@dataclass(slots=True)
class _GroupFile:
    term: int = 0
    voted_for: str = ""
    snapshot: GroupSnapshot = field(default_factory=GroupSnapshot)
    entries: list[LogEntry] = field(default_factory=list)


@dataclass(slots=True)
class SimDisk:
    """What outlives a process: logs, identity, the stored configuration and catalog."""

    identity: str
    groups: dict[int, _GroupFile] = field(default_factory=dict)
    bootstrapped: bool = False
    configuration: Snapshot | None = None
    catalog: bytes | None = None
    commit_s: float = DISK_COMMIT_S
    is_full: bool = False
    commits: int = 0


class SimLogStorage(LogStorage):
    """Log storage of one process over its node's disk."""

    def __init__(self, disk: SimDisk) -> None:
        self._disk = disk

    def load(self) -> list[StoredGroup]:
        """Read all groups."""
        return [
            StoredGroup(number, file.term, file.voted_for, file.snapshot, list(file.entries))
            for number, file in sorted(self._disk.groups.items())
        ]

    async def commit(self, writes: list[GroupWrite]) -> None:
        """Durable after the disk's time; a process killed before that leaves nothing."""
        await asyncio.sleep(self._disk.commit_s)
        if self._disk.is_full:
            raise StorageFailed("the disk is full")
        self._disk.commits += 1
        for write in writes:
            self._write(self._disk.groups.setdefault(write.group_id, _GroupFile()), write)

    @staticmethod
    def _write(file: _GroupFile, write: GroupWrite) -> None:
        if write.term is not None:
            file.term, file.voted_for = write.term, write.voted_for or ""
        if write.truncate_from:
            file.entries = [e for e in file.entries if e.index < write.truncate_from]
        if write.snapshot is not None:
            file.snapshot = write.snapshot
            file.entries = [e for e in file.entries if e.index > write.snapshot.index]
        file.entries.extend(write.entries)

    def node_id(self) -> str:
        """Identity of the disk."""
        return self._disk.identity

    def is_bootstrapped(self) -> bool:
        """Whether the first placement was carried out here."""
        return self._disk.bootstrapped

    def mark_bootstrapped(self) -> None:
        """Remember it."""
        self._disk.bootstrapped = True


class SimConfigurationCache(ConfigurationCache):
    """The stored configuration on a simulated disk."""

    def __init__(self, disk: SimDisk) -> None:
        self._disk = disk

    def load(self) -> Snapshot | None:
        """Return what was stored."""
        return self._disk.configuration

    def save(self, snapshot: Snapshot) -> None:
        """Store it."""
        self._disk.configuration = snapshot
