"""Decodes objects of the registry; those that cannot be used are logged and passed over."""

from collections import OrderedDict
from collections.abc import Iterable

from bendshed.catalog.metrics_port import LabelledGaugeFactory
from bendshed.logs import PartLog
from bendshed.model.runner import ServiceRunner
from bendshed.model.service_document import ServiceDocument
from bendshed.ports.objects import StoredObject
from bendshed.ports.registry import ReplicaNode
from bendshed.ports.registry_objects import RegistryFormat, UnreadableObject

MAX_REMEMBERED = 200
"""Unreadable objects of one kind whose reason is remembered, so that one that is written again and
again is logged once."""
MAX_REASON_LENGTH = 200

log = PartLog("registry")


class ObjectReader:
    """Decodes the objects that one node reads.

    Args:
        registry_format: names and encoding of the objects.

    """

    def __init__(self, registry_format: RegistryFormat) -> None:
        self._format = registry_format
        kinds = (
            registry_format.runner_kind,
            registry_format.configuration_kind,
            registry_format.replica_kind,
        )
        self._unreadable: dict[str, OrderedDict[str, str]] = {kind: OrderedDict() for kind in kinds}

    def runner(self, item: StoredObject) -> ServiceRunner | None:
        """Decode a runner's entry; ``None``: it names no runner to use."""
        outcome = self._format.read_runner(item)
        if isinstance(outcome, UnreadableObject):
            self._note(self._format.runner_kind, item, outcome)
            return None
        self.forget_runner(item.name)
        return outcome

    def runners(self, items: Iterable[StoredObject]) -> list[tuple[StoredObject, ServiceRunner]]:
        """Decode the whole list of runners; entries that cannot be used are missing."""
        items = list(items)
        names = {item.name for item in items}
        for name in [
            name for name in self._unreadable[self._format.runner_kind] if name not in names
        ]:
            self.forget_runner(name)
        decoded = [(item, self.runner(item)) for item in items]
        return [(item, runner) for item, runner in decoded if runner is not None]

    def forget_runner(self, name: str) -> None:
        """Record that a runner's entry can be used now, or is gone."""
        self._unreadable[self._format.runner_kind].pop(name, None)

    def document(self, item: StoredObject) -> ServiceDocument | None:
        """Decode the configuration; ``None``: another object, or the one in force stays."""
        if item.name != self._format.configuration_name:
            return None
        outcome = self._format.read_document(item)
        if isinstance(outcome, UnreadableObject):
            self._note(self._format.configuration_kind, item, outcome)
            return None
        self._unreadable[self._format.configuration_kind].pop(item.name, None)
        return outcome

    def replica(self, item: StoredObject) -> ReplicaNode | None:
        """Decode a replica machine's announcement; ``None``: it names no machine."""
        outcome = self._format.read_replica(item)
        if isinstance(outcome, UnreadableObject):
            self._note(self._format.replica_kind, item, outcome)
            return None
        self._unreadable[self._format.replica_kind].pop(item.name, None)
        return outcome

    def add_gauge(self, metrics: LabelledGaugeFactory) -> None:
        """Add a gauge of the objects that cannot be used."""
        gauge = metrics.labelled_gauge(
            "bendshed_registry_unreadable_objects", "Objects that cannot be read", "kind"
        )
        for kind, reasons in self._unreadable.items():
            gauge.labels(kind).set_function(reasons.__len__)

    def _note(self, kind: str, item: StoredObject, unreadable: UnreadableObject) -> None:
        reasons = self._unreadable[kind]
        reason = unreadable.reason[:MAX_REASON_LENGTH]
        if reasons.get(item.name) != reason:
            log.say(
                "object ignored: unreadable",
                kind=kind,
                name=item.name,
                revision=item.revision,
                reason=reason,
            )
        reasons[item.name] = reason
        while len(reasons) > MAX_REMEMBERED:
            reasons.popitem(last=False)
