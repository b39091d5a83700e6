"""When lines of turns that were told to come back will be there again. Pure.

Each is told the time at which there is room for it behind those told before: callers that are all
told the same time meet there, and all but one have come for nothing.
"""

from dataclasses import dataclass, field

Returner = tuple[str, str]
"""A program and one of its lines of turns: sub-agents come back each by themselves."""

LATE_MS = 500
"""A line that has not come back so long after its time is not waited for."""


@dataclass(slots=True)
class RetrySchedule:
    """Lines of one tenant that were refused in the midst of their program."""

    _until_ms: dict[Returner, int] = field(default_factory=dict)

    def note(self, returner: Returner, returns_ms: int) -> None:
        """A line was told when to come back."""
        self._until_ms[returner] = returns_ms + LATE_MS

    def forget(self, returner: Returner) -> None:
        """It goes on."""
        self._until_ms.pop(returner, None)

    def num_others(self, returner: Returner, now_ms: int) -> int:
        """Other lines that are still to come back."""
        for name in [n for n, until_ms in self._until_ms.items() if until_ms < now_ms]:
            del self._until_ms[name]
        return len(self._until_ms) - (returner in self._until_ms)
