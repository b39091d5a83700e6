"""Planted defects that the search for registry faults must find."""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from unittest import mock

from bendshed.catalog.codec import decode_document
from bendshed.catalog.follower import CatalogFollower
from bendshed.catalog.messages import CatalogUpdate
from bendshed.catalog.object_reader import ObjectReader
from bendshed.catalog.parts import SERVED_PARTS, CatalogPart
from bendshed.catalog.reading import RegistryReading
from bendshed.catalog.times import CatalogTimes
from bendshed.catalog.update_intake import UpdateIntake
from bendshed.catalog.watcher import KindWatcher
from bendshed.model.route_index import RouteIndex
from bendshed.model.runner import ServiceRunner
from bendshed.model.service_document import ServiceDocument
from bendshed.ports.objects import StoredObject
from bendshed.ports.registry_objects import UnreadableObject
from bendshed.services import node
from bendshed.services.node import ServiceNode

_REAL_AGE_S = CatalogUpdate.age_s


def _read_while_runners_are(reading: RegistryReading, *_watch: KindWatcher) -> None:
    """Read the other parts only while the watch of the runners is answered."""
    if not reading._may_read:
        return
    runners = reading._watches[CatalogPart.RUNNERS]
    for watch in reading._watches.values():
        if reading._follower.is_fresh or (watch is not runners and runners.is_lost):
            watch.pause()
        else:
            watch.resume()
    reading._on_change()


@contextmanager
def runners_stand_for_all() -> Iterator[None]:
    """The watch of the runners stands for the health of the registry."""
    with (
        mock.patch.object(RegistryReading, "_handle_loss_change", _read_while_runners_are),
        mock.patch.object(RegistryReading, "_handle_freshness_change", _read_while_runners_are),
    ):
        yield


def _read_or_raise(reader: ObjectReader, item: StoredObject) -> ServiceRunner:
    outcome = reader._format.read_runner(item)
    if isinstance(outcome, UnreadableObject):
        raise ValueError(outcome.reason)
    return outcome


def _is_any_part_fresh(follower: CatalogFollower, _part: CatalogPart) -> bool:
    return bool(follower.upstream.fresh_parts)


def _age_of_the_newest_part(
    update: CatalogUpdate, _part: CatalogPart, times: CatalogTimes
) -> float:
    return min(_REAL_AGE_S(update, part, times) for part in SERVED_PARTS)


@contextmanager
def apply_whatever_a_machine_tells() -> Iterator[None]:
    """A front takes any configuration that differs, in an update or by its own watch."""

    def apply_document(front: ServiceNode, document: ServiceDocument) -> bool:
        front.forwarder.index = RouteIndex(document)
        front.on_document(document)
        return True

    def apply_update(intake: UpdateIntake, update: CatalogUpdate) -> None:
        if update.document:
            intake._sink.apply_document(_document_of(update))

    with (
        mock.patch.object(ServiceNode, "apply_document", apply_document),
        mock.patch.object(UpdateIntake, "_apply_document", apply_update),
    ):
        yield


def _document_of(update: CatalogUpdate) -> ServiceDocument:
    return decode_document(update.document)


DEFECTS: dict[str, Callable[[], AbstractContextManager[object]]] = {
    "the watch of the runners stands for all": runners_stand_for_all,
    "an entry that cannot be read fails its watch": lambda: mock.patch.object(
        ObjectReader, "runner", _read_or_raise
    ),
    "a part that is fresh stands for all": lambda: mock.patch.object(
        CatalogFollower, "is_part_fresh", _is_any_part_fresh
    ),
    "the age of one part stands for all": lambda: mock.patch.object(
        CatalogUpdate, "age_s", _age_of_the_newest_part
    ),
    "a newer configuration is not sent to the machine that is followed": lambda: mock.patch.object(
        node, "send_document", mock.Mock()
    ),
    "a front takes any configuration that differs": apply_whatever_a_machine_tells,
}
