"""When programs that were told to come back will be there again. Pure.

Each is told the time at which there is room for it behind those told before: callers that are all
told the same time meet there, and all but one have come for nothing.
"""

from dataclasses import dataclass, field

LATE_MS = 500
"""A program that has not come back so long after its time is not waited for."""


@dataclass(slots=True)
class ReturnTimes:
    """Programs of one tenant that were refused in their midst."""

    _until_ms: dict[str, int] = field(default_factory=dict)

    def note(self, program_id: str, returns_ms: int) -> None:
        """A program was told when to come back."""
        self._until_ms[program_id] = returns_ms + LATE_MS

    def forget(self, program_id: str) -> None:
        """It goes on."""
        self._until_ms.pop(program_id, None)

    def num_others(self, program_id: str, now_ms: int) -> int:
        """Other programs that are still to come back."""
        for name in [n for n, until_ms in self._until_ms.items() if until_ms < now_ms]:
            del self._until_ms[name]
        return len(self._until_ms) - (program_id in self._until_ms)
