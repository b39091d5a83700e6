"""Retry rule of the product's own interface: an allowance of retries and randomised pauses.

It differs from ``decisions``, the rule for forwarded requests, since its calls differ. A call of
the own interface is committed to its program's group, which grants each attempt by number, so an
attempt cannot run unnoticed and the executor may wait and try again: retries need a bound over all
calls of the node, and a pause. A forwarded request is held by a caller who counts milliseconds; it
goes to another runner at once, is bounded by its own deadline and counts, and never waits here.

``dispatch/executor.py`` applies it, with its own bound on attempts of one call.
"""

import random

BACKOFF_BASE_S = 0.05
"""Cap of the pause before the first retry is twice this; doubled at each further one."""
BACKOFF_MAX_S = 1.0
"""No pause is longer. Chosen, not measured, as is the base."""
RETRIES_PER_CALL = 0.2
"""Retries added to the allowance per first attempt: while every call fails, retries add a fifth to
the load (the value of Finagle's default budget)."""
MAX_SAVED_RETRIES = 50.0
"""Retries that may be saved up for a burst of failures; a node starts with half. Chosen, not
measured."""


class RetryBudget:
    """Token bucket over all calls of a node: each first attempt adds a fraction of a retry.

    Source: the retry budgets of Finagle.
    """

    def __init__(self) -> None:
        self._tokens = MAX_SAVED_RETRIES / 2

    def record_first_attempt(self) -> None:
        """A call was attempted for the first time."""
        self._tokens = min(MAX_SAVED_RETRIES, self._tokens + RETRIES_PER_CALL)

    def take(self) -> bool:
        """Take one retry; ``False``: the budget is used up."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Full jitter (Brooker 2015): uniform between 0 and an exponential cap, in seconds."""
    return rng.uniform(0, min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2.0**attempt))
