"""Troubles of the platform's store that strike some kinds of objects, or some machines."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum


class FaultMode(StrEnum):
    """What becomes of a call that is struck; a written trace holds these texts."""

    REFUSED = "refused"
    THROTTLED = "throttled"
    RESET = "reset"
    SILENT = "silent"
    SLOW = "slow"
    ODD = "answered with something else"
    LATER_PAGES = "refused from the second page of a list on"


SLOW_S = 1.4
"""Longer than the client waits for a list; a watch is answered or given up, by its wait."""


@dataclass(frozen=True, slots=True)
class RegistryFault:
    """One trouble.

    Attributes:
        kinds: those that are struck; empty: all.
        machines: those whose calls are struck; empty: all.

    """

    mode: FaultMode
    kinds: frozenset[str] = frozenset()
    machines: frozenset[str] = frozenset()

    def strikes(self, machine: str, kind: str) -> bool:
        """Whether a machine's call for a kind is struck."""
        is_machine_struck = not self.machines or machine in self.machines
        return is_machine_struck and (not self.kinds or kind in self.kinds)


def mode_of(faults: Iterable[RegistryFault], machine: str, kind: str) -> FaultMode | None:
    """What becomes of a machine's call for a kind; ``None``: it is answered."""
    return next((fault.mode for fault in faults if fault.strikes(machine, kind)), None)
