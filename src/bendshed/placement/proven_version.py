"""Decides which software version the process behind a connection is proven to run. Pure.

A runner may start again under its id, with another version, and its entry names that version only
after its next heartbeat and the list's way. A connection cannot outlive its process, so the version
is proven for one connection: the process behind it reports when it started, and the entry was
written by the process that started then. Source: docs/design/0013.
"""

from dataclasses import dataclass

from bendshed.model.runner import NO_REPORT, ReportedBirth, RunnerProcess, ServiceRunner

NOT_PROVEN = ""


def needs_report(entry: ServiceRunner) -> bool:
    """Whether only a report of the process can prove the version that an entry names."""
    return entry.born_ms != 0


def proven_version(entry: ServiceRunner, reported: ReportedBirth, are_births_listed: bool) -> str:
    """Return the version that a process is proven to run, or ``NOT_PROVEN``.

    Args:
        entry: the entry of the runner behind the connection.
        reported: what the process behind the connection reported.
        are_births_listed: some entry names when its runner started. Runners that never name it take
            a new id at each start, so that the id alone proves the version.

    """
    if entry.born_ms is None:
        is_proven = reported.born_ms == 0
    elif entry.born_ms == 0:
        is_proven = not are_births_listed
    else:
        is_proven = reported.born_ms == entry.born_ms
    return entry.software_version if is_proven else NOT_PROVEN


def version_of_process(process: RunnerProcess, entry: ServiceRunner | None) -> str | None:
    """Return the version that a process runs or ran, by the entry of its runner.

    ``NOT_PROVEN``: its entry is not written yet; ``None``: its entry is gone, so that nobody will
    know.
    """
    if entry is None or entry.born_ms is None or entry.born_ms > process.born_ms:
        return None
    return entry.software_version if entry.born_ms == process.born_ms else NOT_PROVEN


@dataclass(frozen=True, slots=True)
class DispatchedVersion:
    """The version of the process that a request was dispatched to, as proven at that time.

    Attributes:
        version: ``NOT_PROVEN``: not proven yet.
        reported: what the process reported.

    """

    version: str = NOT_PROVEN
    reported: ReportedBirth = NO_REPORT

    def confirm(self, entry: ServiceRunner, are_births_listed: bool) -> str:
        """Return the version of the process that answered, or ``NOT_PROVEN``.

        An entry that was written since the dispatch may prove it, contradict it, or be of a later
        process, which changes nothing.
        """
        proven_now = proven_version(entry, self.reported, are_births_listed)
        if not self.version:
            return proven_now
        is_of_later_process = bool(self.reported.born_ms) and entry.born_ms != self.reported.born_ms
        if is_of_later_process or entry.software_version == self.version:
            return self.version
        return NOT_PROVEN


UNPROVEN = DispatchedVersion()
