"""A runner as the list of runners describes it: a frozen value without measurements."""

from dataclasses import dataclass
from enum import StrEnum

from bendshed.model.address import Address


class RunnerState(StrEnum):
    """A runner's state, as it reports it."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class ServiceRunner:
    """One incarnation of a runner, as listed.

    Attributes:
        cold_left_ms: time for which it stays cold, from the receipt of this entry; 0: warm.

    """

    runner_id: str
    service: str
    address: Address
    zone: str
    slots: int
    state: RunnerState
    cold_left_ms: int = 0
