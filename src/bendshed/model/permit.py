"""How long a permit or an allowance may be used: a frozen value."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TimedPermit:
    """Expiry of a permit or allowance on its holder's steady clock.

    Who gave it counts it for longer than its holder may use it.

    Attributes:
        until_s: steady time at which it expires.

    """

    until_s: float = float("-inf")

    def is_valid(self, now_s: float) -> bool:
        """Whether it may still be used."""
        return now_s < self.until_s


NO_PERMIT = TimedPermit()
