"""Retry rule of the product's own interface: a retry budget and randomised backoff.

It differs from ``decisions``, the rule for forwarded requests, since its calls differ. A call of
the own interface is committed to its program's group, which grants each attempt by number. An
attempt therefore cannot run unnoticed, and the executor may wait and try again: retries need a
limit over all calls of the node, and a backoff. The caller of a forwarded request is sensitive to
milliseconds of latency: the request goes to another runner at once, is limited by its own deadline
and attempt counts, and never waits here.

``dispatch/executor.py`` applies this rule, with its own limit on the attempts of one call.
"""

import random

from bendshed.retries.backoff import exponential_backoff

BACKOFF_BASE_S = 0.05
"""The backoff before the first retry is at most twice this, in seconds; the limit doubles at each
further one."""
BACKOFF_MAX_S = 1.0
"""Longest backoff, in seconds."""
RETRIES_PER_CALL = 0.2
"""Retries added to the budget per first attempt: while every call fails, retries add a fifth to the
load (the default of Finagle's retry budget)."""
MAX_SAVED_RETRIES = 50.0
"""Most retries that the budget saves for a burst of failures; a node starts with half of them."""


class RetryBudget:
    """Token bucket over all calls of a node: each first attempt adds a fraction of a retry.

    Modelled on the retry budgets of Finagle.
    """

    def __init__(self) -> None:
        self._tokens = MAX_SAVED_RETRIES / 2

    def record_first_attempt(self) -> None:
        """Record the first attempt of a call."""
        self._tokens = min(MAX_SAVED_RETRIES, self._tokens + RETRIES_PER_CALL)

    def take(self) -> bool:
        """Take one retry; ``False``: the budget is exhausted."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Full jitter (Brooker 2015): uniform between 0 and an exponential cap, in seconds."""
    return rng.uniform(0, exponential_backoff(BACKOFF_BASE_S, attempt, BACKOFF_MAX_S))
