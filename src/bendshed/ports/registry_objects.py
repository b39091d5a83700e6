"""How the objects that nodes read from the registry are named and decoded."""

from collections.abc import Callable
from dataclasses import dataclass

from bendshed.model.runner import ServiceRunner
from bendshed.model.service_document import ServiceDocument
from bendshed.ports.objects import StoredObject
from bendshed.ports.registry import ReplicaNode


@dataclass(frozen=True, slots=True)
class UnreadableObject:
    """An object that another writer may have put, and that cannot be used.

    Attributes:
        reason: the field, and what is wrong with it.

    """

    reason: str


@dataclass(frozen=True, slots=True)
class RegistryFormat:
    """Kinds of objects, and the functions that decode them.

    The functions never raise: an object that cannot be used must not affect the others.

    Attributes:
        configuration_name: name of the one object that holds the configuration.
        closed_zone_kind: an object's name is the zone's; it has no content.

    """

    runner_kind: str
    configuration_kind: str
    configuration_name: str
    replica_kind: str
    retirement_kind: str
    closed_zone_kind: str
    read_document: Callable[[StoredObject], ServiceDocument | UnreadableObject]
    read_runner: Callable[[StoredObject], ServiceRunner | UnreadableObject]
    read_replica: Callable[[StoredObject], ReplicaNode | UnreadableObject]
