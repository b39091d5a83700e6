"""Port to an object store with kinds, names, one global revision counter and watches."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any


class HistoryExpired(Exception):
    """A watch requested a revision whose history has expired; list the objects again."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object as read."""

    name: str
    revision: int
    spec: Any
    status: Any


@dataclass(frozen=True, slots=True)
class ObjectEvent:
    """One change to an object of a kind.

    Attributes:
        revision: revision up to which the reply contains changes; at least that of this change.

    """

    object: StoredObject
    is_deleted: bool
    revision: int


@dataclass(frozen=True, slots=True)
class ObjectList:
    """All objects of a kind at a revision."""

    items: list[StoredObject]
    revision: int


@dataclass(frozen=True, slots=True)
class ObjectEvents:
    """Changes of a kind up to a revision."""

    events: list[ObjectEvent]
    revision: int


class ObjectSource(ABC):
    """Read access to the store.

    Each call raises ``StoreUnavailable`` if no valid reply arrives in time.
    """

    @abstractmethod
    async def list(self, kind: str, may_be_stale: bool = False) -> ObjectList:
        """Read all objects of a kind; a result that may be stale by seconds costs less."""

    @abstractmethod
    async def watch(self, kind: str, after_revision: int, wait_s: float) -> ObjectEvents:
        """Wait for changes after a revision; raise ``HistoryExpired``."""
