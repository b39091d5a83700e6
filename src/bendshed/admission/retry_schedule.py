"""Decides when a rejected request may be retried. Pure.

Each rejected chain gets a retry time at which there is room for it after the chains rejected before
it. If all callers got the same time, they would retry together and all but one would be rejected
again.

Rejections without such a schedule (no leader answers, a node drains) carry the fixed retry time of
their error kind, ``errors.ANSWERS``. Source: docs/design/0007, docs/design/0010.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

ChainKey = tuple[str, str]
"""A program and one of its chains; each sub-agent of a program retries independently."""

MIN_RETRY_AFTER_MS = 100
"""Minimum retry time. A round trip takes some ms, so callers that retry sooner would use up their
attempts: three for a call, six for a turn."""
RETURN_GRACE_MS = 500
"""A chain that has not retried within this time after its retry time is no longer expected, and its
place goes to others."""


def quota_retry_after_ms(
    time_until_freed_ms: Callable[[float], int], excess: float, num_ahead: int
) -> int:
    """Return the time in ms until a tenant's window has room for a rejected request.

    Args:
        time_until_freed_ms: returns the time until that many counted requests have left the window.
        excess: number of requests that must leave the window for this request alone.
        num_ahead: number of chains that were rejected earlier and take the first places.

    """
    return max(MIN_RETRY_AFTER_MS, time_until_freed_ms(excess + num_ahead))


def cold_retry_after_ms(
    time_until_room_ms: int, num_ahead: int, permits_per_window: int, window_ms: int
) -> int:
    """Return the time in ms until a cold runner has room for a rejected request.

    Args:
        time_until_room_ms: time until the first eligible runner may get one more dispatch.
        num_ahead: number of chains that were rejected earlier and take the first permits.
        permits_per_window: dispatches that all eligible runners together may get in a window.
        window_ms: length of that window.

    """
    behind_others_ms = window_ms * num_ahead // max(1, permits_per_window)
    return max(MIN_RETRY_AFTER_MS, time_until_room_ms + behind_others_ms)


def retry_after_s(retry_after_ms: int) -> float:
    """Convert the leader's retry time to seconds, as in a ``Refusal``."""
    return retry_after_ms / 1000


@dataclass(slots=True)
class RetrySchedule:
    """Rejected chains whose retry is expected."""

    _expected_until_ms: dict[ChainKey, int] = field(default_factory=dict)

    def note(self, chain: ChainKey, returns_ms: int) -> None:
        """Record the retry time in a chain's rejection."""
        self._expected_until_ms[chain] = returns_ms + RETURN_GRACE_MS

    def forget(self, chain: ChainKey) -> None:
        """Remove a chain that was admitted."""
        self._expected_until_ms.pop(chain, None)

    def num_expected_others(self, chain: ChainKey, now_ms: int) -> int:
        """Return the number of other chains whose retry is still expected."""
        expected = self._expected_until_ms
        for late in [name for name, until_ms in expected.items() if until_ms < now_ms]:
            del expected[late]
        return len(expected) - (chain in expected)
