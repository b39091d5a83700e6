"""Runners as a node knows them, and what machines of earlier builds left out of their entries."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from bendshed.model.runner import ServiceRunner


@dataclass(frozen=True, slots=True)
class KnownRunner:
    """A runner and the revision of its last change.

    Attributes:
        has_version: ``False``: the entry passed through a machine of an earlier build, which reads
            no software version.

    """

    runner: ServiceRunner
    revision: int
    has_version: bool = True

    @property
    def has_birth(self) -> bool:
        """Whether every machine that passed the entry on reads when its runner started."""
        return self.runner.born_ms is not None

    def is_newer_than(self, other: "KnownRunner") -> bool:
        """Whether this is of a later revision, or adds to the same one what was left out."""
        if self.revision != other.revision:
            return self.revision > other.revision
        has, had = (self.has_version, self.has_birth), (other.has_version, other.has_birth)
        return has != had and all(now >= before for now, before in zip(has, had, strict=True))


@dataclass(slots=True)
class EntryGaps:
    """Ids of runners whose entries lack a field.

    Attributes:
        without_version: runners whose software version was not passed on.
        without_birth: runners whose time of start was not passed on.

    """

    without_version: set[str] = field(default_factory=set)
    without_birth: set[str] = field(default_factory=set)

    def note(self, known: KnownRunner) -> None:
        """Record what an entry that is applied lacks."""
        runner_id = known.runner.runner_id
        self.forget((runner_id,))
        if not known.has_version:
            self.without_version.add(runner_id)
        if not known.has_birth:
            self.without_birth.add(runner_id)

    def forget(self, runner_ids: Iterable[str]) -> None:
        """Remove runners that are no longer listed."""
        for runner_id in runner_ids:
            self.without_version.discard(runner_id)
            self.without_birth.discard(runner_id)

    def clear(self) -> None:
        """Remove all runners, before a whole list is applied."""
        self.without_version.clear()
        self.without_birth.clear()
