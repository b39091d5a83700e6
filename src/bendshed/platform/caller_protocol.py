"""The platform's client protocol: parses request headers and maps refusals to responses."""

from bendshed.errors import ErrorKind, Refusal, WasRun
from bendshed.identifiers import credential_digest
from bendshed.model.prompt import PromptPart
from bendshed.platform import names
from bendshed.ports.caller_protocol import CallerProtocol, ReceivedRequest, RefusalAnswer
from bendshed.ports.http_messages import Headers, end_to_end_headers
from bendshed.ports.runner import ServiceRequest, TurnDetails

RETRY_AFTER_S = {
    ErrorKind.OVERLOADED: 0.15,
    ErrorKind.NO_RUNNER: 0.3,
    ErrorKind.TURN_LOG_UNAVAILABLE: 0.2,
    ErrorKind.NOT_READY: 0.5,
}
"""Retry-After by kind of refusal, in seconds; the platform's clients accept fractions."""

_STATUS = {
    ErrorKind.BAD_REQUEST: 400,
    ErrorKind.BUDGET_EXHAUSTED: 402,
    ErrorKind.NOT_FOUND: 404,
    ErrorKind.BODY_TOO_LARGE: 413,
    ErrorKind.UNAUTHORIZED: 401,
    ErrorKind.QUOTA_EXCEEDED: 429,
    ErrorKind.OUTCOME_UNKNOWN: 504,
}
_NOT_RUN_STATUS, _MAY_HAVE_RUN_STATUS = 503, 502
_EXCLUDED = names.SYSTEM_HEADERS | {
    names.DEADLINE_MS,
    names.AUTHORIZATION,
    b"content-length",
    b"expect",
}
"""Clients' headers that are dropped or replaced before a request is forwarded."""
MAX_CREDENTIAL_BYTES = 512
"""A longer credential counts as missing: the platform's keys are 20 bytes long."""


class PlatformCallerProtocol(CallerProtocol):
    """Protocol of the platform's clients."""

    def read(self, received: ReceivedRequest) -> ServiceRequest | Refusal:
        """Parse a client's request; refuse one with a missing request id or invalid headers."""
        fields = dict(reversed(received.headers))  # the first of repeated headers wins
        request_id = _header_text(fields, names.REQUEST_ID)
        if not request_id:
            detail = "X-Request-Id: (missing): send an id of the attempt"
            return Refusal(ErrorKind.BAD_REQUEST, detail)
        try:
            wait_ms = _read_int(fields, names.DEADLINE_MS)
            turn = _read_turn(fields)
        except ValueError as error:
            return Refusal(ErrorKind.BAD_REQUEST, str(error))
        program_id = _header_text(fields, names.PROGRAM_ID)
        return ServiceRequest(
            request_id=request_id,
            method=received.method,
            target=received.target,
            host=_header_text(fields, b"host"),
            path=received.raw_path.decode("latin-1"),
            headers=_forwarded_headers(received.headers),
            body=received.body,
            wait_ms=wait_ms,
            program_id=program_id,
            session=program_id or _header_text(fields, names.SESSION_ID),
            last_event_id=_header_text(fields, names.LAST_EVENT_ID),
            resumes=_header_text(fields, names.RESUMES),
            turn=turn if program_id else None,
            arrived_s=received.arrived_s,
            credential=_read_credential(received.headers),
            authorization=[row for row in received.headers if row[0] == names.AUTHORIZATION],
            affinity_key=_header_text(fields, names.AFFINITY),
        )

    def response_for(self, refusal: Refusal) -> RefusalAnswer:
        """Return status and Retry-After; 503 guarantees nothing was run, 502 and 504 do not."""
        retry_after_s = refusal.retry_after_s
        if retry_after_s is None:
            retry_after_s = RETRY_AFTER_S.get(refusal.kind)
        retry_after = str(retry_after_s) if retry_after_s is not None else ""
        return RefusalAnswer(status_of(refusal), retry_after)


def status_of(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal."""
    status = _STATUS.get(refusal.kind)
    if status is not None:
        return status
    return _NOT_RUN_STATUS if refusal.answer.ran is WasRun.NO else _MAY_HAVE_RUN_STATUS


def _header_text(fields: dict[bytes, bytes], name: bytes) -> str:
    return fields.get(name, b"").decode("latin-1")


def _read_credential(received: Headers) -> str:
    """Return the digest of the client's key; empty if it is missing, repeated or malformed."""
    values = [value for name, value in received if name == names.AUTHORIZATION]
    if len(values) != 1 or len(values[0]) > MAX_CREDENTIAL_BYTES:
        return ""
    scheme, _, key = values[0].decode("latin-1").partition(" ")
    if scheme.lower() != names.CREDENTIAL_SCHEME or not key:
        return ""
    return credential_digest(key)


def _forwarded_headers(received: Headers) -> Headers:
    """Return the client's end-to-end headers without those that are dropped or replaced."""
    return [(name, value) for name, value in end_to_end_headers(received) if name not in _EXCLUDED]


def _read_turn(fields: dict[bytes, bytes]) -> TurnDetails | None:
    counts = fields.get(names.TOKEN_COUNTS)
    if counts is None:
        return None
    prompt, _, max_output = counts.partition(b",")
    if not max_output.strip().isdigit():
        raise ValueError(f"X-Token-Counts: {counts!r}: write the prompt's tokens, the most out")
    chain_id = _header_text(fields, names.SESSION_ID)
    parts = _read_parts(_header_text(fields, names.PROMPT_PARTS))
    if not parts and prompt.strip().isdigit():
        parts = (PromptPart(chain_id, int(prompt)),)
    return TurnDetails(
        previous_turn=_header_text(fields, names.PREVIOUS_TURN),
        budget_tokens=_read_int(fields, names.TOKEN_BUDGET),
        max_answer_tokens=int(max_output),
        parts=parts,
        chain_id=chain_id,
    )


def _read_parts(text: str) -> tuple[PromptPart, ...]:
    """Parse comma-separated ID:TOKENS prompt parts; just a hint: stop at the first invalid one."""
    parts = []
    for part in text.split(","):
        part_id, _, tokens = part.strip().partition(":")
        if not part_id or not tokens.isdigit():
            break
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def _read_int(fields: dict[bytes, bytes], name: bytes) -> int | None:
    text = fields.get(name)
    if text is None:
        return None
    if not text.strip().isdigit():
        raise ValueError(f"{name.decode()}: {text!r}: write a whole number")
    return int(text)
