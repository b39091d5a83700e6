"""Retry budget and back-off: retries never multiply an overload."""

import random

BACKOFF_BASE_S = 0.05
BACKOFF_MAX_S = 1.0
BUDGET_RATIO = 0.2
"""Retries allowed per first attempt."""
BUDGET_MAX = 50.0
"""Retries that may be saved up."""


class RetryBudget:
    """Token bucket: each first attempt adds a fraction of a retry (Finagle's scheme)."""

    def __init__(self) -> None:
        self._tokens = BUDGET_MAX / 2

    def record_first_attempt(self) -> None:
        """A call was attempted for the first time."""
        self._tokens = min(BUDGET_MAX, self._tokens + BUDGET_RATIO)

    def take(self) -> bool:
        """Take one retry; ``False``: the budget is used up."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Full jitter (Brooker 2015): uniform between 0 and an exponential cap, in seconds."""
    return rng.uniform(0, min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2.0**attempt))
