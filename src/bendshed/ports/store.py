"""Port to the platform's object API (versions, watches) and to its machine list."""

from abc import ABC, abstractmethod
from dataclasses import dataclass


class StoreUnavailable(Exception):
    """The store did not answer. It is unknown whether a write took effect."""


class StoreSilent(StoreUnavailable):
    """No answer arrived in time: the store is away, or only this connection is dead."""


class VersionConflict(Exception):
    """The object does not have the expected version, or it exists already on creation."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object as read: key, version (increases with each write) and content."""

    key: str
    version: int
    content: bytes


class ObjectStore(ABC):
    """Versioned objects. Reads may be stale, but never return a partially written object."""

    @abstractmethod
    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or ``None`` if it is absent; raise ``StoreUnavailable``."""

    @abstractmethod
    async def create(self, key: str, content: bytes) -> StoredObject:
        """Create an object that must not exist; raise ``VersionConflict``."""

    @abstractmethod
    async def replace(self, key: str, content: bytes, expected_version: int) -> StoredObject:
        """Compare-and-swap by version; raise ``VersionConflict``."""

    @abstractmethod
    async def list_after(self, prefix: str, after_key: str) -> list[StoredObject]:
        """Return the objects under the prefix with a key greater than ``after_key``, by key."""

    @abstractmethod
    async def watch(self, prefix: str, after_key: str, wait_s: float) -> list[StoredObject]:
        """Like ``list_after``, but wait up to ``wait_s`` seconds for the first such object."""


@dataclass(frozen=True, slots=True)
class Machine:
    """One entry of the machine list.

    Attributes:
        machine_id: the platform's name for the machine.
        kind: ``engine``, ``tool`` or ``node``.
        url: base URL of its service.
        model: model that an engine serves.
        zone: zone name.
        leaving: whether the platform is removing the machine.
        incarnation: increases when the same machine returns.

    """

    machine_id: str
    kind: str
    url: str
    model: str
    zone: str
    leaving: bool
    incarnation: int


class MachineList(ABC):
    """The platform's list of machines, which is updated with a delay."""

    @abstractmethod
    async def read(self) -> list[Machine]:
        """Return all machines; raise ``StoreUnavailable``."""
