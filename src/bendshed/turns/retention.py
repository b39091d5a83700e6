"""Decides how long a turn is stored, and whether a turn that continues it may still begin. Pure.

Callers count the retention from the end of an answer, as they receive it, to when they ask again.
The turn log counts from the commit of the end to the commit of the end that continues it. What lies
between the two is bounded by the time-outs of the route and of commands.
"""

COMMIT_MARGIN_MS = 5_000
"""Covers the time-outs that the route's does not: connecting to a front (1 s), a command that is
under way (0.5 s), and the commit of the later turn's end (3.1 s after its deadline)."""
PREVIEW_MARGIN_MS = 500
"""A begin is applied at most this long after the preview that was sent beside it was answered."""


def stored_ms(retention_ms: int, timeout_ms: int) -> int:
    """Return how long a turn is stored from the commit of its end, so that it is found in time.

    A front may hand out the end, and hold the turn that continues it, as long as its route allows.
    What callers say of their waits does not count, since it would size the store.
    """
    return retention_ms + 2 * timeout_ms + COMMIT_MARGIN_MS


def expires_before(expires_ms: int | None, until_ms: int) -> bool:
    """Whether a chain expires before the end of a turn that continues it, which would extend it.

    Args:
        expires_ms: when the turn that is continued expires; ``None``: it is not stored, or the turn
            begins a chain.
        until_ms: when the end is committed at the latest. Both by the log's clock.

    """
    return expires_ms is not None and expires_ms < until_ms
