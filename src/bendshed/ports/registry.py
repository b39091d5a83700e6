"""Port to the registry of turn log replicas: announcements, bootstrap voters, retirements."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from bendshed.model.address import Address


@dataclass(frozen=True, slots=True)
class ReplicaNode:
    """The announcement of a process that can hold replicas.

    Attributes:
        name: the machine's name; unchanged if its disk is lost.
        node_id: identity of its data folder; an emptied disk gets a new one.
        address: address at which peers reach it.

    """

    name: str
    node_id: str
    address: Address
    zone: str


class RegistryUnavailable(Exception):
    """The registry did not answer. It is unknown whether a write took effect."""


class ReplicaRegistry(ABC):
    """Announcements, bootstrap voters and retirements. All writes are idempotent."""

    @abstractmethod
    async def announce(self, node: ReplicaNode) -> None:
        """Write or replace this machine's announcement; raise ``RegistryUnavailable``."""

    @abstractmethod
    async def bootstrap_voters(self, group_id: int = 0) -> list[str]:
        """Return the node ids of a group's initial voters; empty if it is not bootstrapped yet.

        Raise ``RegistryUnavailable``.
        """

    @abstractmethod
    async def write_bootstrap_voters(self, voters: list[str], group_id: int = 0) -> list[str]:
        """Write a group's initial voters if absent; return the voters that are in effect."""

    @abstractmethod
    async def report_retirement(self, name: str, complete: bool) -> None:
        """Report the progress of a retirement; raise ``RegistryUnavailable``."""
