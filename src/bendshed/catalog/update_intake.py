"""Passes on what is newer in an update: configuration, runners, closed zones."""

from typing import Protocol

from bendshed.catalog.codec import DocumentDecodeError, decode_document
from bendshed.catalog.messages import CatalogUpdate, RunnerUpdate
from bendshed.catalog.state import KnownRunner
from bendshed.catalog.times import CatalogTimes
from bendshed.logs import PartLog
from bendshed.model.service_document import ServiceDocument
from bendshed.placement.zones import ZoneUpdate

log = PartLog("catalog")


class CatalogSink(Protocol):
    """Where a node's configuration and runners are stored in memory."""

    def apply_document(self, document: ServiceDocument) -> bool:
        """Take a configuration; an older one changes nothing."""

    def put_runner(self, known: KnownRunner) -> None:
        """Take one runner's state."""

    def remove_runner(self, runner_id: str, at: int, is_trusted: bool) -> None:
        """A runner is not listed any more."""

    def replace_runners(self, runners: list[KnownRunner], at: int, is_trusted: bool) -> None:
        """Take the whole list."""

    def apply_zones(self, update: ZoneUpdate) -> None:
        """Take which zones are closed; an older update changes nothing."""

    def confirm_all(self, age_s: float, runners_at: int) -> None:
        """The registry confirmed all of this so long ago."""


class UpdateIntake:
    """What a node knows, by revision; what is older is passed over and does no harm.

    Attributes:
        version: of the configuration that the node knows.
        runners_at: revision up to which the node knows the runners.
        zones_at: revision up to which the node knows the closed zones.

    """

    def __init__(self, sink: CatalogSink, times: CatalogTimes) -> None:
        self.version = 0
        self.runners_at = 0
        self.zones_at = 0
        self._sink = sink
        self._times = times

    def apply(self, update: CatalogUpdate) -> bool:
        """Pass on what is newer; ``False``: the machine knows less than this node.

        Closed zones come before runners, so that none of a closed zone is usable in between.
        """
        self._apply_document(update)
        knows_zones = self._apply_zones(update)
        knows_runners = self._apply_runners(update)
        return knows_zones and knows_runners and update.document_version >= self.version

    def confirm(self, age_s: float) -> None:
        """The registry confirmed all that the node knows so long ago."""
        self._sink.confirm_all(age_s, self.runners_at)

    def _apply_document(self, update: CatalogUpdate) -> None:
        if not update.document or update.document_version <= self.version:
            return
        try:
            document = decode_document(update.document)
        except DocumentDecodeError as error:
            log.say("configuration ignored: unreadable", reason=str(error))
            return
        if self._sink.apply_document(document):
            log.say(
                "configuration received", version=document.version, age_ms=update.confirmed_age_ms
            )
        self.version = max(self.version, document.version)

    def _apply_zones(self, update: CatalogUpdate) -> bool:
        """Take closed zones that are newer; ``False``: the machine does not know them.

        A node that has a newer revision from elsewhere knows all that the machine does, so the
        machine's age holds for it too: an update holds all closed zones.
        """
        zones_at = update.zones.zones.revision
        if zones_at > self.zones_at:
            self._sink.apply_zones(update.zones)
            self.zones_at = zones_at
        return zones_at > 0 or not self._times.follows_zones

    def _apply_runners(self, update: CatalogUpdate) -> bool:
        """Take runners that are newer; ``False``: the machine knows less than this node."""
        changes = update.runners
        if changes is None or changes.at < self.runners_at:
            return False
        if changes.since == 0:
            self._replace_runners(changes, update)
        elif changes.since == self.runners_at:
            for known in changes.runners:
                self._sink.put_runner(known)
            for gone in changes.removed:
                self._sink.remove_runner(gone.runner_id, gone.revision, gone.is_trusted)
        else:
            return False
        self.runners_at = changes.at
        return True

    def _replace_runners(self, changes: RunnerUpdate, update: CatalogUpdate) -> None:
        is_first = self.runners_at == 0
        is_trusted = update.age_s < self._times.max_age_s
        self._sink.replace_runners(list(changes.runners), changes.at, is_trusted)
        if is_first:
            log.say("first runner list received", at=changes.at, age_ms=update.confirmed_age_ms)
