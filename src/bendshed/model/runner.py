"""A runner as the runner list describes it, without load measurements."""

from dataclasses import dataclass
from enum import StrEnum

from bendshed.model.address import Address

MAX_TIME_MS = 2**63 - 1
"""Larger numbers are no times, and do not fit the messages between nodes."""


def birth_ms(told: object) -> int:
    """Return the time of a start that a runner tells, in Unix ms; 0: it is no such time."""
    if not isinstance(told, int) or isinstance(told, bool):
        return 0
    return told if 0 < told <= MAX_TIME_MS else 0


class RunnerState(StrEnum):
    """A runner's state as reported by the runner itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class ServiceRunner:
    """A runner as listed. It may start again under its id; ``born_ms`` tells its processes apart.

    Attributes:
        software_version: version of the runner's software, not of its weights; empty: not known.
        born_ms: Unix time, in ms, at which the process that wrote the entry started; 0: the entry
            names none; ``None``: not known, since a machine of an earlier build passed it on.
        cold_left_ms: remaining time for which the runner is cold, counted from the receipt of this
            entry; 0 if it is warm.

    """

    runner_id: str
    service: str
    address: Address
    zone: str
    slots: int
    state: RunnerState
    cold_left_ms: int = 0
    software_version: str = ""
    born_ms: int | None = 0


@dataclass(frozen=True, slots=True)
class RunnerProcess:
    """One process of a runner, from its start to its end.

    Attributes:
        born_ms: Unix time, in ms, of its start.

    """

    runner_id: str
    born_ms: int


@dataclass(frozen=True, slots=True)
class ReportedBirth:
    """What the process behind a connection reported of its start.

    Attributes:
        born_ms: Unix time, in ms; 0: its report names none; ``None``: it gave no report.

    """

    born_ms: int | None = None

    @property
    def is_given(self) -> bool:
        """Whether the process gave a report."""
        return self.born_ms is not None


NO_REPORT = ReportedBirth()
