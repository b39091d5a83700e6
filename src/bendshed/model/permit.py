"""Validity period of a permit or an allowance."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TimedPermit:
    """Expiry of a permit or allowance on its holder's monotonic clock.

    The issuer counts it as in use for longer than the holder may use it.

    Attributes:
        until_s: monotonic time at which it expires, in seconds.

    """

    until_s: float = float("-inf")

    def is_valid(self, now_s: float) -> bool:
        """Return whether it may still be used."""
        return now_s < self.until_s


NO_PERMIT = TimedPermit()
