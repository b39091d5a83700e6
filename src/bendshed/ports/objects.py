"""Port to a store of objects by kind and name, with one revision counter and watches."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any


class HistoryExpired(Exception):
    """A watch requested a revision that the store has forgotten; list again."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object as read."""

    name: str
    revision: int
    spec: Any
    status: Any


@dataclass(frozen=True, slots=True)
class ObjectEvent:
    """One change of a kind.

    Attributes:
        revision: up to which the answer holds changes; not below that of the change.

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
    """What can be read.

    Each call raises ``StoreUnavailable`` when no proper answer comes in time.
    """

    @abstractmethod
    async def list(self, kind: str, may_be_stale: bool = False) -> ObjectList:
        """Read all objects of a kind; ``may_be_stale``: seconds old will do, and costs less."""

    @abstractmethod
    async def watch(self, kind: str, after_revision: int, wait_s: float) -> ObjectEvents:
        """Wait for changes after a revision; raise ``HistoryExpired``."""
