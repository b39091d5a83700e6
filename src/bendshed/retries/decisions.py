"""Decides whether a forwarded request is retried, and which refusal its caller gets if not.

A request that may have run is sent again only on a route that allows repeats, at most
``Route.max_attempts`` times, with each run charged to the tenant's quota. One that certainly did
not run may go to another runner on any route. "Not run" is reported only where it is certain, since
clients then repeat even a request that must not run twice.
"""

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import assert_never

from bendshed.errors import ErrorKind, Refusal
from bendshed.model.service_document import Route
from bendshed.retries.history import AttemptHistory
from bendshed.retries.quarantine import QuarantinedRequest, num_ended_runners

MAX_NOT_RUN_ATTEMPTS = 4
"""Attempts that certainly did not run a request, before it is refused. Bounds the work that one
request causes while runners reject it or are unreachable, when load is high already. In a service
with fewer runners a request ends sooner, since no runner is tried twice."""
MIN_DISPATCH_TIME_LEFT_S = 0.02
"""A request with less time left, in seconds, is not dispatched: its answer would come too late, and
the runner's work would be lost. Corresponds to a few round trips within a region."""
LATE_ANSWER_MARGIN_S = 0.1
"""A request is given up this long after its deadline, in seconds. A runner receives the time left
and answers by itself at the deadline; that answer, which contains the outcome of the request, may
still be in transit."""


class GiveUpReason(StrEnum):
    """Why a request is not retried."""

    NO_TIME_LEFT = "no_time_left"
    """Too little time for another dispatch."""
    TIMED_OUT = "timed_out"
    """The deadline and the margin for late answers have passed."""
    NO_RUNNER = "no_runner"
    """No eligible runner is left that was not tried, or too many attempts were not run."""
    NO_PERMIT = "no_permit"
    """All remaining runners are cold, and no permit can be used here."""
    VERSION_UNPROVEN = "version_unproven"
    """No process that may continue the resumed stream is proven to run its version."""
    NOT_REPEATABLE = "not_repeatable"
    """The request may have run, and its route allows no further run."""
    ANSWER_BROKEN = "answer_broken"
    """An answer began and broke off, and the route allows no further run."""
    NO_QUOTA = "no_quota"
    """The request may have run, and the tenant's quota does not admit another run."""
    RESERVATION_FAILED = "reservation_failed"
    """The turn was dispatched while its reservation was committing, and that was refused."""
    ORIGIN_UNCONFIRMED = "origin_unconfirmed"
    """A runner answered, but its software version is not the recorded one or was not recorded."""


@dataclass(frozen=True, slots=True)
class TryRunner:
    """Choose a runner and send the request to it."""


@dataclass(frozen=True, slots=True)
class RequestQuota:
    """Request one more run from the tenant's quota; try a runner only if it is admitted."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """End the request.

    Attributes:
        detail: description for the caller and the log.

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
    """Whether one more runner may be chosen; if not, the request ends with ``NO_RUNNER``."""
    return history.num_not_run < MAX_NOT_RUN_ATTEMPTS


def decide_after_broken_answer(
    history: AttemptHistory, route: Route, error: str
) -> TryRunner | GiveUp:
    """Decide on an answer that broke off before any of it was passed on.

    Once part of an answer was passed on, no retry is possible and the caller's connection is
    aborted. That holds for every stream, since a stream's head is passed on at once.
    """
    if may_run_again(history, route):
        return TryRunner()
    return GiveUp(GiveUpReason.ANSWER_BROKEN, f"the answer was cut: {error}")


def refusal_of(give_up: GiveUp, history: AttemptHistory) -> Refusal:
    """The refusal for the caller.

    ``engine_lost`` says that the request ran, ``outcome_unknown`` that it may have run. Any other
    kind says that it did not run, and so requires that no attempt has an unknown outcome.
    """
    match give_up.reason:
        case GiveUpReason.NO_TIME_LEFT | GiveUpReason.TIMED_OUT:
            kind = ErrorKind.DEADLINE_EXCEEDED
        case GiveUpReason.NO_RUNNER:
            kind = ErrorKind.OVERLOADED if history.num_not_run else ErrorKind.NO_RUNNER
        case GiveUpReason.VERSION_UNPROVEN:
            kind = ErrorKind.VERSION_UNPROVEN
        case GiveUpReason.NO_PERMIT:
            kind = ErrorKind.NO_RUNNER
        case (
            GiveUpReason.NOT_REPEATABLE
            | GiveUpReason.ANSWER_BROKEN
            | GiveUpReason.NO_QUOTA
            | GiveUpReason.RESERVATION_FAILED
            | GiveUpReason.ORIGIN_UNCONFIRMED
        ):
            return Refusal(ErrorKind.ENGINE_LOST, give_up.detail)
        case _:
            assert_never(give_up.reason)
    return refusal_or_outcome_unknown(Refusal(kind, give_up.detail), history)


def refusal_of_quarantined(quarantined: QuarantinedRequest, history: AttemptHistory) -> Refusal:
    """The refusal of a request under which too many runners ended, over all tries of its caller.

    A try that was not dispatched was not run, whatever became of earlier ones; the caller learns
    when the request may be sent again.
    """
    num_ended = num_ended_runners(quarantined.ends)
    detail = f"{num_ended} runners ended while they worked on the request"
    if history.may_have_run:
        return Refusal(ErrorKind.ENGINE_LOST, detail)
    return Refusal(ErrorKind.QUARANTINED, detail, math.ceil(quarantined.retry_after_s))


def refusal_or_outcome_unknown(refusal: Refusal, history: AttemptHistory) -> Refusal:
    """The same refusal, or ``outcome_unknown`` if the request may have run."""
    if history.may_have_run:
        return Refusal(ErrorKind.OUTCOME_UNKNOWN, refusal.detail)
    return refusal
