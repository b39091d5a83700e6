"""Delays that grow with the number of failures. Pure."""

MAX_DOUBLINGS = 60
"""A float overflows after 1,023 doublings, which an outage of half an hour brings about."""


def exponential_backoff(initial_s: float, num_doublings: int, max_s: float) -> float:
    """Return ``initial_s`` doubled ``num_doublings`` times, at most ``max_s``."""
    doubled: float = initial_s * 2.0 ** min(num_doublings, MAX_DOUBLINGS)
    return min(max_s, doubled)
