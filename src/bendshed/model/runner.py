"""A runner as the runner list describes it, without load measurements."""

from dataclasses import dataclass
from enum import StrEnum

from bendshed.model.address import Address


class RunnerState(StrEnum):
    """A runner's state as reported by the runner itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class ServiceRunner:
    """One incarnation of a runner, as listed.

    Attributes:
        software_version: version of the runner's software, not of its weights; empty: not known.
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
