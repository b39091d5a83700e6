"""Port to the place where the replicas of the turn log announce themselves and are founded."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from bendshed.model.address import Address


@dataclass(frozen=True, slots=True)
class ReplicaNode:
    """A process that can hold replicas, as it announced itself.

    Attributes:
        name: the machine's name; stays when its disk is lost.
        node_id: identity of its data folder; a wiped disk is a new one.
        address: where peers reach it.

    """

    name: str
    node_id: str
    address: Address
    zone: str


@dataclass(frozen=True, slots=True)
class Retirement:
    """An operator's wish that a replica machine is emptied."""

    name: str


class RegistryUnavailable(Exception):
    """The registry did not answer. After a write the effect is unknown."""


class ReplicaRegistry(ABC):
    """Announcements, bootstrap voters, retirements. Every write may be repeated."""

    @abstractmethod
    async def announce(self, me: ReplicaNode) -> None:
        """Write or replace this machine's announcement; raise ``RegistryUnavailable``."""

    @abstractmethod
    async def bootstrap_voters(self, group_id: int = 0) -> list[str]:
        """Node ids of a group's first voters; empty: not founded yet.

        Raise ``RegistryUnavailable``.
        """

    @abstractmethod
    async def write_bootstrap_voters(self, voters: list[str], group_id: int = 0) -> list[str]:
        """Write a group's first voters unless others were written; return those that hold."""

    @abstractmethod
    async def report_retirement(self, name: str, complete: bool) -> None:
        """Tell the operator how far a retirement is; raise ``RegistryUnavailable``."""
