"""When a rejected request may come back. Pure.

Each rejected chain is told a time at which there is room for it behind the chains rejected before
it. Callers that are all told the same time meet there, and all but one have come in vain.

Rejections without such a schedule (no leader answers, a node drains) carry the fixed time of their
error kind, ``errors.ANSWERS``. Source: docs/design/0007, docs/design/0010.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

ChainKey = tuple[str, str]
"""A program and one of its chains: sub-agents of one program come back each by themselves."""

MIN_RETRY_AFTER_MS = 100
"""Shortest time that a caller is told. A round trip takes some ms; callers that come back sooner
use up their tries: three of a call, six of a turn."""
RETURN_GRACE_MS = 500
"""A chain that has not come back this long after its time is no longer expected, and its place
goes to others."""


def quota_retry_after_ms(
    time_until_freed_ms: Callable[[float], int], excess: float, num_ahead: int
) -> int:
    """When a tenant's window has room for a rejected request, in ms from now.

    Args:
        time_until_freed_ms: time until this many counted requests have left the window.
        excess: requests that must leave it for this request alone.
        num_ahead: chains that were rejected earlier and take the first places.

    """
    return max(MIN_RETRY_AFTER_MS, time_until_freed_ms(excess + num_ahead))


def cold_retry_after_ms(
    time_until_room_ms: int, num_ahead: int, permits_per_window: int, window_ms: int
) -> int:
    """When a cold runner has room for a rejected request, in ms from now.

    Args:
        time_until_room_ms: time until the first eligible runner may get one dispatch more.
        num_ahead: chains that were rejected earlier and take the first permits.
        permits_per_window: dispatches that all eligible runners together may get in a window.
        window_ms: length of that window.

    """
    behind_others_ms = window_ms * num_ahead // max(1, permits_per_window)
    return max(MIN_RETRY_AFTER_MS, time_until_room_ms + behind_others_ms)


def retry_after_s(retry_after_ms: int) -> float:
    """The leader's time in the seconds of a ``Refusal``."""
    return retry_after_ms / 1000


@dataclass(slots=True)
class RetrySchedule:
    """Rejected chains that are expected back."""

    _expected_until_ms: dict[ChainKey, int] = field(default_factory=dict)

    def note(self, chain: ChainKey, returns_ms: int) -> None:
        """A chain was told to come back at this time."""
        self._expected_until_ms[chain] = returns_ms + RETURN_GRACE_MS

    def forget(self, chain: ChainKey) -> None:
        """A chain was admitted."""
        self._expected_until_ms.pop(chain, None)

    def num_expected_others(self, chain: ChainKey, now_ms: int) -> int:
        """Other chains that are still expected back."""
        expected = self._expected_until_ms
        for late in [name for name, until_ms in expected.items() if until_ms < now_ms]:
            del expected[late]
        return len(expected) - (chain in expected)
