"""Port to an object store with kinds, names, one global revision counter and watches."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any

WATCH_MARGIN_S = 0.6
"""A watch without an answer this long after the end of its wait is given up."""
MAX_IDLE_S = 0.5
"""A connection that was idle for longer is not used again: only a call shows that one is dead."""


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

    Each call raises ``StoreUnavailable`` without a valid reply, and ``StoreSilent`` without any
    reply in time; the next call is then made on a new connection.
    """

    @abstractmethod
    async def list(self, kind: str, may_be_stale: bool = False) -> ObjectList:
        """Read all objects of a kind; a result that may be stale by seconds costs less."""

    @abstractmethod
    async def watch(self, kind: str, after_revision: int, wait_s: float) -> ObjectEvents:
        """Wait for changes after a revision; raise ``HistoryExpired``.

        ``StoreSilent`` is raised ``WATCH_MARGIN_S`` after ``wait_s``.
        """
