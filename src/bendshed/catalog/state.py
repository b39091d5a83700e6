"""Configuration and runners that a replica machine knows, by revision. Pure.

Revisions come from the registry, which has one counter for all its changes. Hence updates of two
machines can be compared, and a node that sends the revision it knows gets only later changes.
"""

from collections import OrderedDict
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field, replace

from bendshed.catalog.cold_runner_tracker import ColdRunnerTracker
from bendshed.catalog.known_runners import EntryGaps, KnownRunner
from bendshed.model.runner import RunnerState, ServiceRunner
from bendshed.model.service_document import ServiceDocument
from bendshed.placement.eligibility import may_continue_stream
from bendshed.placement.zones import RunnerFilter

__all__ = ["Catalog", "KnownRunner", "Removal", "RunnerChanges"]

MAX_REMOVED = 1_000
"""Number of removals kept; a node that knows an older revision gets the whole list."""


@dataclass(frozen=True, slots=True)
class Removal:
    """A runner that is no longer listed.

    Attributes:
        last_resort_s: for how long from now it is used if no other runner is listed, in seconds; 0:
            it has left; ``None``: it may have left, as a machine of an earlier build says.

    """

    runner_id: str
    revision: int
    last_resort_s: float | None = 0.0


@dataclass(frozen=True, slots=True)
class _RecordedRemoval:
    """A removal with the time, by the catalog's clock, until which the runner is a last resort."""

    revision: int
    last_resort_until_s: float


@dataclass(frozen=True, slots=True)
class RunnerChanges:
    """What changed between two revisions.

    Attributes:
        since: the requesting node's revision; 0: ``runners`` is the whole list.

    """

    since: int
    revision: int
    runners: tuple[KnownRunner, ...]
    removed: tuple[Removal, ...]


@dataclass(slots=True)
class Catalog:
    """The newest known configuration and runners.

    Invariants: neither the document's version nor ``runners_at`` ever decreases.

    Attributes:
        document: ``None``: none is known.
        runners_at: revision up to which the runners are known; 0: no list was read.
        filter: which runners may get new work.
        cold: cold runners, from the time at which this process learned of each.

    """

    document: ServiceDocument | None = None
    runners_at: int = 0
    filter: RunnerFilter = field(default_factory=RunnerFilter)
    cold: ColdRunnerTracker = field(default_factory=ColdRunnerTracker)
    _runners: dict[str, KnownRunner] = field(default_factory=dict)
    _ready: dict[str, dict[str, ServiceRunner]] = field(default_factory=dict)
    _removed: "OrderedDict[str, _RecordedRemoval]" = field(default_factory=OrderedDict)
    _gaps: EntryGaps = field(default_factory=EntryGaps)
    _history_from: int = 0
    _encoded: bytes = b""
    _encoded_version: int = -1

    def encoded_document(self, encode: Callable[[ServiceDocument], bytes]) -> bytes:
        """The encoded document, encoded once per version instead of once per request."""
        assert self.document is not None
        if self._encoded_version != self.version:
            self._encoded = encode(self.document)
            self._encoded_version = self.version
        return self._encoded

    @property
    def version(self) -> int:
        """Version of the document; 0: none is known."""
        return self.document.version if self.document is not None else 0

    @property
    def runner_ids(self) -> Collection[str]:
        """Identities of all listed runners, ready or not."""
        return self._runners.keys()

    @property
    def lacks_software_versions(self) -> bool:
        """Whether runners are known only as machines of an earlier build sent them."""
        return bool(self._gaps.without_version)

    @property
    def lacks_births(self) -> bool:
        """The same for the times at which runners started."""
        return bool(self._gaps.without_birth)

    def software_version_of(self, runner_id: str) -> str:
        """Software version of a listed runner; empty: it is not listed, or names none."""
        known = self._runners.get(runner_id)
        return known.runner.software_version if known is not None else ""

    def ready_runners(
        self, service: str, regions: Collection[str] | None, software_version: str = ""
    ) -> list[ServiceRunner]:
        """Ready runners of a service.

        Args:
            service: name of the service.
            regions: where they may be located; ``None``: anywhere.
            software_version: of a stream that they are to continue; empty: a new request.

        """
        ready = self._ready.get(service, {}).values()
        if self.filter.allows_all(regions) and not software_version:
            return list(ready)
        return [
            runner
            for runner in ready
            if self.filter.allows(runner, regions) and may_continue_stream(runner, software_version)
        ]

    def apply_document(self, document: ServiceDocument) -> bool:
        """Apply a newer document; ``False``: it is not newer."""
        if document.version <= self.version:
            return False
        self.document = document
        self.cold.apply_document(document)
        return True

    def replace_runners(
        self, runners: Collection[KnownRunner], revision: int, last_resort_s: float = 0.0
    ) -> bool:
        """Replace the whole list as of a revision; ``False``: nothing changed.

        ``last_resort_s``: of the runners that are not listed any more.
        """
        if revision < self.runners_at:
            return False
        listed = {known.runner.runner_id: known for known in runners}
        changed = False
        for runner_id in [name for name in self._runners if name not in listed]:
            changed |= self.remove_runner(runner_id, revision, last_resort_s)
        for known in runners:
            changed |= self.put_runner(known)
        if self.runners_at == 0:
            self._history_from = revision
            changed = True
        self.advance(revision)
        return changed

    def put_runner(self, known: KnownRunner) -> bool:
        """Apply one runner's state; ``False``: it is not newer."""
        runner_id = known.runner.runner_id
        current = self._runners.get(runner_id)
        if current is not None and not known.is_newer_than(current):
            if current.revision == known.revision:
                self.cold.note_confirmed(known.runner)
            return False
        if current is not None:
            self._set_ready(current.runner, False)
        self._runners[runner_id] = known
        self._set_ready(known.runner, known.runner.state is RunnerState.READY)
        self._removed.pop(runner_id, None)
        self._gaps.note(known)
        self.cold.note_listed(known.runner)
        return True

    def _set_ready(self, runner: ServiceRunner, is_ready: bool) -> None:
        ready = self._ready.setdefault(runner.service, {})
        if is_ready:
            ready[runner.runner_id] = runner
        else:
            ready.pop(runner.runner_id, None)

    def remove_runner(self, runner_id: str, revision: int, last_resort_s: float = 0.0) -> bool:
        """Remove a runner that is no longer listed; ``False``: it was not known."""
        until_s = self.cold.clock() + last_resort_s
        current = self._runners.pop(runner_id, None)
        if current is None:
            self._extend_last_resort(runner_id, until_s)
            return False
        self._set_ready(current.runner, False)
        self._gaps.forget((runner_id,))
        self.cold.note_removed(runner_id)
        self._removed[runner_id] = _RecordedRemoval(revision, until_s)
        while len(self._removed) > MAX_REMOVED:
            _, dropped = self._removed.popitem(last=False)
            self._history_from = max(self._history_from, dropped.revision)
        return True

    def _extend_last_resort(self, runner_id: str, until_s: float) -> None:
        """Apply what another machine says of a removal that is known already."""
        known = self._removed.get(runner_id)
        if known is not None and until_s > known.last_resort_until_s:
            self._removed[runner_id] = replace(known, last_resort_until_s=until_s)

    def begin_incarnation(self, clock: Callable[[], float]) -> None:
        """Treat what is known so far as saved before a restart, and start the clock."""
        self.cold.clock = clock
        for known in self._runners.values():
            self.cold.note_persisted(known.runner)

    def advance(self, revision: int) -> None:
        """Record that all changes up to a revision have been applied."""
        self.runners_at = max(self.runners_at, revision)

    def changes_since(self, since: int) -> RunnerChanges:
        """Changes after revision ``since``, or everything if that is before the kept history.

        All runners that are a last resort are included: a node that has read the registry itself
        knows their removal, and may know less of the registry's outage.
        """
        removed = self._removals()
        if since < self._history_from or since > self.runners_at:
            last_resorts = tuple(removal for removal in removed if removal.last_resort_s)
            return RunnerChanges(0, self.runners_at, tuple(self._runners.values()), last_resorts)
        runners = tuple(known for known in self._runners.values() if known.revision > since)
        told = tuple(row for row in removed if row.revision > since or row.last_resort_s)
        return RunnerChanges(since, self.runners_at, runners, told)

    def has_changes_since(self, since: int) -> bool:
        """Whether ``changes_since`` contains anything that is newer than revision ``since``."""
        changes = self.changes_since(since)
        is_removed = any(removal.revision > since for removal in changes.removed)
        return bool(changes.runners) or is_removed

    def _removals(self) -> Iterator[Removal]:
        now_s = self.cold.clock()
        for runner_id, recorded in self._removed.items():
            left_s = max(0.0, recorded.last_resort_until_s - now_s)
            yield Removal(runner_id, recorded.revision, left_s)
