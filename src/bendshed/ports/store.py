"""Port to the platform's object API (versions, watches) and to its machine list."""

from abc import ABC, abstractmethod
from dataclasses import dataclass


class StoreUnavailable(Exception):
    """The store did not answer. After a write the effect is unknown."""


class VersionConflict(Exception):
    """The object is not at the expected version, or exists although it must not."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object as read: key, version (rises with each write) and content."""

    key: str
    version: int
    content: bytes


class ObjectStore(ABC):
    """Versioned objects. Reads may be stale; an object is never seen in part."""

    @abstractmethod
    async def get(self, key: str) -> StoredObject | None:
        """Read one object; ``None``: absent. Raise ``StoreUnavailable``."""

    @abstractmethod
    async def create(self, key: str, content: bytes) -> StoredObject:
        """Create an object that must not exist; raise ``VersionConflict``."""

    @abstractmethod
    async def replace(self, key: str, content: bytes, expected_version: int) -> StoredObject:
        """Compare-and-swap by version; raise ``VersionConflict``."""

    @abstractmethod
    async def list_after(self, prefix: str, after_key: str) -> list[StoredObject]:
        """Objects under the prefix with a key greater than ``after_key``, by key."""

    @abstractmethod
    async def watch(self, prefix: str, after_key: str, wait_s: float) -> list[StoredObject]:
        """Like ``list``, but wait up to ``wait_s`` seconds for the first such object."""


@dataclass(frozen=True, slots=True)
class Machine:
    """One line of the machine list.

    Attributes:
        machine_id: the platform's name of it.
        kind: ``engine``, ``tool`` or ``node``.
        url: base URL of its service.
        model: model that an engine serves.
        zone: zone name.
        leaving: whether the platform is taking it away.
        incarnation: rises when the same machine comes back.

    """

    machine_id: str
    kind: str
    url: str
    model: str
    zone: str
    leaving: bool
    incarnation: int


class MachineList(ABC):
    """The platform's list of machines; it lags."""

    @abstractmethod
    async def read(self) -> list[Machine]:
        """All machines; raise ``StoreUnavailable``."""
