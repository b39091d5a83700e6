"""The closed list of error kinds and the table that maps each kind to its response.

Every refusal or failure that a node reports has one of these kinds. ``ran`` states what the caller
may conclude about the call itself: ``NO`` is returned only after the program's group has committed
that no attempt was granted (docs/design/0001).
"""

from dataclasses import dataclass
from enum import StrEnum


class ErrorKind(StrEnum):
    """All kinds of errors that bendshed returns."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHORIZED = "unauthorized"
    QUOTA_EXCEEDED = "quota_exceeded"
    PROGRAM_NOT_DECLARED = "program_not_declared"
    MODEL_NOT_ALLOWED = "model_not_allowed"
    CONFLICT = "conflict"
    OUT_OF_ORDER = "out_of_order"
    PROGRAM_ENDED = "program_ended"
    PROGRAM_LIMIT = "program_limit"
    BUDGET_EXHAUSTED = "budget_exhausted"
    BUDGET_RESERVED = "budget_reserved"
    OVERLOADED = "overloaded"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    NO_RUNNER = "no_runner"
    NO_ROOM = "no_room"
    STREAM_UNKNOWN = "stream_unknown"
    VERSION_GONE = "version_gone"
    VERSION_UNPROVEN = "version_unproven"
    QUARANTINED = "quarantined"
    GROUP_UNAVAILABLE = "group_unavailable"
    TURN_LOG_UNAVAILABLE = "turn_log_unavailable"
    ENGINE_LOST = "engine_lost"
    ENGINE_FAILED = "engine_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    SUPERSEDED = "superseded"
    TOOL_TIMEOUT = "tool_timeout"
    NOT_SUPPORTED = "not_supported"
    STORE_UNAVAILABLE = "store_unavailable"
    NOT_FOUND = "not_found"
    INTERNAL = "internal"


class WasRun(StrEnum):
    """Whether the request may have been run by an engine."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """The response to one kind of error.

    Attributes:
        status: HTTP status code.
        retryable: whether the same request may be sent again, with the same idempotency key.
        ran: whether an engine may have run it.
        retry_after_s: value of ``Retry-After`` in seconds; ``None`` for no header.

    """

    status: int
    retryable: bool
    ran: WasRun
    retry_after_s: int | None = None


_NO, _YES, _UNKNOWN = WasRun.NO, WasRun.YES, WasRun.UNKNOWN

ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.BAD_REQUEST: ErrorAnswer(400, False, _NO),
    ErrorKind.BODY_TOO_LARGE: ErrorAnswer(413, False, _NO),
    ErrorKind.UNAUTHORIZED: ErrorAnswer(401, False, _NO),
    ErrorKind.QUOTA_EXCEEDED: ErrorAnswer(429, True, _NO, 1),
    ErrorKind.PROGRAM_NOT_DECLARED: ErrorAnswer(403, False, _NO),
    ErrorKind.MODEL_NOT_ALLOWED: ErrorAnswer(403, False, _NO),
    ErrorKind.CONFLICT: ErrorAnswer(409, False, _NO),
    ErrorKind.OUT_OF_ORDER: ErrorAnswer(409, True, _NO, 1),
    ErrorKind.PROGRAM_ENDED: ErrorAnswer(410, False, _NO),
    ErrorKind.PROGRAM_LIMIT: ErrorAnswer(403, False, _NO),
    ErrorKind.BUDGET_EXHAUSTED: ErrorAnswer(429, False, _NO),
    ErrorKind.BUDGET_RESERVED: ErrorAnswer(503, True, _NO, 1),
    ErrorKind.OVERLOADED: ErrorAnswer(503, True, _NO, 2),
    ErrorKind.DEADLINE_EXCEEDED: ErrorAnswer(504, False, _NO),
    ErrorKind.DRAINING: ErrorAnswer(503, True, _NO, 1),
    ErrorKind.NOT_READY: ErrorAnswer(503, True, _NO, 1),
    ErrorKind.NO_RUNNER: ErrorAnswer(503, True, _NO, 2),
    ErrorKind.NO_ROOM: ErrorAnswer(503, True, _NO, 1),
    ErrorKind.STREAM_UNKNOWN: ErrorAnswer(503, False, _NO),
    ErrorKind.VERSION_GONE: ErrorAnswer(503, False, _NO),
    ErrorKind.VERSION_UNPROVEN: ErrorAnswer(503, True, _NO, 1),
    ErrorKind.QUARANTINED: ErrorAnswer(503, False, _NO),
    ErrorKind.GROUP_UNAVAILABLE: ErrorAnswer(503, True, _UNKNOWN, 2),
    ErrorKind.TURN_LOG_UNAVAILABLE: ErrorAnswer(503, True, _NO, 1),
    ErrorKind.ENGINE_LOST: ErrorAnswer(502, True, _YES, 1),
    ErrorKind.ENGINE_FAILED: ErrorAnswer(502, False, _YES),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(504, False, _UNKNOWN),
    ErrorKind.SUPERSEDED: ErrorAnswer(409, True, _YES, 1),
    ErrorKind.TOOL_TIMEOUT: ErrorAnswer(504, True, _UNKNOWN, 2),
    ErrorKind.NOT_SUPPORTED: ErrorAnswer(501, False, _NO),
    ErrorKind.STORE_UNAVAILABLE: ErrorAnswer(503, True, _UNKNOWN, 5),
    ErrorKind.NOT_FOUND: ErrorAnswer(404, False, _NO),
    ErrorKind.INTERNAL: ErrorAnswer(500, True, _UNKNOWN, 2),
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """An error with which a request ends.

    Attributes:
        retry_after_s: retry delay in seconds, if it is known more precisely than in the table.

    """

    kind: ErrorKind
    detail: str
    retry_after_s: float | None = None

    @property
    def answer(self) -> ErrorAnswer:
        """The table entry for this kind."""
        return ANSWERS[self.kind]

    def body(self) -> dict[str, object]:
        """Return an error body in the format of the OpenAI API, plus ``kind`` and ``ran``."""
        return {
            "error": {
                "message": self.detail,
                "type": self.kind.value,
                "code": self.kind.value,
                "kind": self.kind.value,
                "retryable": self.answer.retryable,
                "ran": self.answer.ran.value,
            }
        }


class BendshedError(Exception):
    """Carries a refusal through code that cannot return it, such as library callbacks."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


def parse_kind(text: str) -> ErrorKind:
    """Parse a kind from the wire; an unknown one, as from a later version, becomes ``INTERNAL``."""
    try:
        return ErrorKind(text)
    except ValueError:
        return ErrorKind.INTERNAL
