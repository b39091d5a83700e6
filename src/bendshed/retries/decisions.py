"""Decides whether a forwarded request is tried again, and what answer its caller gets if not.

The rule: a request that may have run goes out again only on a route that allows repeats, at most
``Route.max_attempts`` times, each run charged to the tenant's quota. One that certainly did not run
may go to another runner on any route. "Not run" is said only where it is certain, since clients
then repeat a request that must not run twice.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import assert_never

from bendshed.errors import ErrorKind, Refusal
from bendshed.model.service_document import Route
from bendshed.retries.history import AttemptHistory

MAX_NOT_RUN_ATTEMPTS = 4
"""Attempts at one request that certainly did not run it, before it is refused. Bounds the work that
one request causes while runners reject or are unreachable, when load is high already. Chosen, not
measured; a request of a service with fewer runners ends sooner, since no runner is tried twice."""
MIN_DISPATCH_TIME_LEFT_S = 0.02
"""A request with less time left is not dispatched: its answer would come too late, and the runner's
work would be lost. Chosen as a few round trips within a region, not measured."""
LATE_ANSWER_MARGIN_S = 0.1
"""A request is given up this long after its deadline. A runner is sent the time left and answers
for itself at the deadline; that answer, which says what became of the request, may still travel.
Chosen, not measured."""


class GiveUpReason(StrEnum):
    """Why a request is not tried again."""

    NO_TIME_LEFT = "no_time_left"
    """Too little time for another dispatch."""
    TIMED_OUT = "timed_out"
    """The deadline and the margin for late answers are over."""
    NO_RUNNER = "no_runner"
    """No eligible runner that was not tried yet, or too many attempts that were not run."""
    NO_PERMIT = "no_permit"
    """All that are left are cold, and no permit can be used here."""
    NOT_REPEATABLE = "not_repeatable"
    """It may have run, and its route allows no further run."""
    ANSWER_BROKEN = "answer_broken"
    """An answer began and broke, and the route allows no further run."""
    NO_QUOTA = "no_quota"
    """It may have run, and the tenant's quota does not hold a second run."""
    RESERVATION_FAILED = "reservation_failed"
    """The turn went to a runner while its reservation was committing, and that was refused."""


@dataclass(frozen=True, slots=True)
class TryRunner:
    """Choose a runner and send the request there."""


@dataclass(frozen=True, slots=True)
class RequestQuota:
    """Ask the tenant's quota for one more run; try a runner only if it holds it."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The request ends.

    Attributes:
        detail: what is said of it to the caller and in the log.

    """

    reason: GiveUpReason
    detail: str


NextAttempt = TryRunner | RequestQuota | GiveUp


def may_run_again(history: AttemptHistory, route: Route) -> bool:
    """Whether a request that may have run may be dispatched once more."""
    return route.may_repeat and history.num_possible_runs < route.max_attempts


def decide_next_attempt(history: AttemptHistory, route: Route, now_s: float) -> NextAttempt:
    """Decide before each attempt, at loop time ``now_s``."""
    if history.may_have_run and not may_run_again(history, route):
        return GiveUp(GiveUpReason.NOT_REPEATABLE, "the runner gave no whole answer")
    if history.deadline_s - now_s < MIN_DISPATCH_TIME_LEFT_S:
        return GiveUp(GiveUpReason.NO_TIME_LEFT, "no time is left")
    if history.num_possible_runs >= history.num_admitted_runs:
        return RequestQuota()
    return TryRunner()


def may_choose_runner(history: AttemptHistory) -> bool:
    """Whether one more runner is looked for; else ``NO_RUNNER`` ends the request."""
    return history.num_not_run < MAX_NOT_RUN_ATTEMPTS


def decide_after_broken_answer(
    history: AttemptHistory, route: Route, error: str
) -> TryRunner | GiveUp:
    """Decide on an answer that broke before any of it was passed on.

    Once part of an answer has gone to the caller, nothing is decided any more: its connection is
    broken off. That holds for every stream, since a stream's head goes on at once.
    """
    if may_run_again(history, route):
        return TryRunner()
    return GiveUp(GiveUpReason.ANSWER_BROKEN, f"the answer was cut: {error}")


def refusal_of(give_up: GiveUp, history: AttemptHistory) -> Refusal:
    """The answer to the caller.

    ``engine_lost`` says that it ran, ``outcome_unknown`` that it may have; any other kind says that
    it did not, so those are for requests without a doubtful attempt.
    """
    match give_up.reason:
        case GiveUpReason.NO_TIME_LEFT | GiveUpReason.TIMED_OUT:
            kind = ErrorKind.DEADLINE_EXCEEDED
        case GiveUpReason.NO_RUNNER:
            kind = ErrorKind.OVERLOADED if history.num_not_run else ErrorKind.NO_RUNNER
        case GiveUpReason.NO_PERMIT:
            kind = ErrorKind.NO_RUNNER
        case (
            GiveUpReason.NOT_REPEATABLE
            | GiveUpReason.ANSWER_BROKEN
            | GiveUpReason.NO_QUOTA
            | GiveUpReason.RESERVATION_FAILED
        ):
            return Refusal(ErrorKind.ENGINE_LOST, give_up.detail)
        case _:
            assert_never(give_up.reason)
    return refusal_or_outcome_unknown(Refusal(kind, give_up.detail), history)


def refusal_or_outcome_unknown(refusal: Refusal, history: AttemptHistory) -> Refusal:
    """The same refusal, or "outcome unknown" where it would deny a run that is not ruled out."""
    if history.may_have_run:
        return Refusal(ErrorKind.OUTCOME_UNKNOWN, refusal.detail)
    return refusal
