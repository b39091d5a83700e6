"""How our own errors are told to the platform's clients: status and when to come back."""

from bendshed.errors import ErrorKind, Refusal, WasRun

RETRY_AFTER_S = {
    ErrorKind.OVERLOADED: 0.15,
    ErrorKind.NO_RUNNER: 0.3,
    ErrorKind.TURN_LOG_UNAVAILABLE: 0.2,
    ErrorKind.NOT_READY: 0.5,
}
"""Seconds, fractions allowed."""

_STATUS = {
    ErrorKind.BAD_REQUEST: 400,
    ErrorKind.BUDGET_EXHAUSTED: 402,
    ErrorKind.NOT_FOUND: 404,
    ErrorKind.BODY_TOO_LARGE: 413,
    ErrorKind.OUTCOME_UNKNOWN: 504,
}


def status_of(refusal: Refusal) -> int:
    """Status of a refusal: a 503 promises that nothing was run, 502 and 504 promise nothing."""
    status = _STATUS.get(refusal.kind)
    if status is not None:
        return status
    return 503 if refusal.answer.ran is WasRun.NO else 502
