"""The product's own HTTP protocol on declared routes, for callers and for runners.

A runner is any HTTP service in the machine list. Its ``X-Bendshed-Not-Run`` response header proves
that it did not run the request; ``X-Bendshed-Request`` in a response distinguishes the response to
this request from a stray response to another one.
"""

import random
from collections.abc import Callable

from bendshed.configuration.document import ConfigurationDocument
from bendshed.errors import ErrorKind, Refusal
from bendshed.ports.caller_protocol import CallerProtocol, ReceivedRequest, RefusalAnswer
from bendshed.ports.http_messages import ClientRequest, Headers, ResponseHead, end_to_end_headers
from bendshed.ports.runner import ResponseClass, RunnerDispatch, RunnerProtocol, ServiceRequest

REQUEST_ID = b"x-bendshed-request"
PROGRAM = b"x-bendshed-program"
DEADLINE_MS = b"x-bendshed-deadline-ms"
RUNNER_ID = b"x-bendshed-runner"
NOT_RUN = b"x-bendshed-not-run"
LAST_EVENT = b"last-event-id"
AUTHORIZATION = b"authorization"
BEARER = "bearer"
MISDIRECTED_REQUEST_STATUS = 421
"""Status of a machine that is not the intended runner: the address was reassigned
(RFC 9110, 15.5.20)."""

_REPLACED_HEADERS = frozenset(
    {REQUEST_ID, DEADLINE_MS, RUNNER_ID, AUTHORIZATION, b"content-length", b"expect"}
)
"""Callers' headers that are not forwarded; the bearer token is meant for this system only."""


class ServiceCallerProtocol(CallerProtocol):
    """Protocol of callers on declared routes."""

    def __init__(
        self, configuration: Callable[[], ConfigurationDocument], rng: random.Random
    ) -> None:
        self._configuration = configuration
        self._rng = rng

    def read(self, received: ReceivedRequest) -> ServiceRequest | Refusal:
        """Parse the headers; refuse an unknown bearer token or a deadline that is no number."""
        fields = dict(reversed(received.headers))  # the first of repeated headers wins
        if self._configuration().tenant_of_token(_bearer_token(fields)) is None:
            detail = "no known bearer token; ask your operators for one"
            return Refusal(ErrorKind.UNAUTHORIZED, detail)
        wait_text = _header_text(fields, DEADLINE_MS)
        if wait_text and not wait_text.isdigit():
            detail = f"X-Bendshed-Deadline-Ms: {wait_text!r}: write a whole number"
            return Refusal(ErrorKind.BAD_REQUEST, detail)
        program_id = _header_text(fields, PROGRAM)
        return ServiceRequest(
            request_id=_header_text(fields, REQUEST_ID) or f"{self._rng.getrandbits(96):024x}",
            method=received.method,
            target=received.target,
            host=_header_text(fields, b"host"),
            path=received.raw_path.decode("latin-1"),
            headers=_forwarded_headers(received.headers),
            body=received.body,
            wait_ms=int(wait_text) if wait_text else None,
            program_id=program_id,
            session=program_id,
            last_event_id=_header_text(fields, LAST_EVENT),
            turn=None,
            arrived_s=received.arrived_s,
        )

    def response_for(self, refusal: Refusal) -> RefusalAnswer:
        """Look up status and Retry-After in the table of error kinds."""
        answer = refusal.answer
        retry_after = str(answer.retry_after_s) if answer.retry_after_s is not None else ""
        return RefusalAnswer(answer.status, retry_after)


class ServiceRunnerProtocol(RunnerProtocol):
    """Protocol of runners of declared services."""

    def build_request(
        self, request: ServiceRequest, body: bytes, dispatch: RunnerDispatch
    ) -> ClientRequest:
        """Forward the caller's headers with request id, remaining time and intended runner."""
        request_id = request.request_id.encode()
        headers = [
            *request.headers,
            (REQUEST_ID, request_id),
            (DEADLINE_MS, str(dispatch.remaining_ms).encode()),
            (RUNNER_ID, dispatch.runner.runner_id.encode()),
        ]
        return ClientRequest(
            request.method,
            request.target,
            headers,
            body,
            lambda head: head.get(REQUEST_ID) in (None, request_id),
        )

    def classify(self, head: ResponseHead) -> ResponseClass:
        """Classify the response by status and headers that prove the request was not run."""
        if head.status == MISDIRECTED_REQUEST_STATUS:
            return ResponseClass.OTHER_RUNNER
        if head.get(NOT_RUN) is not None:
            return ResponseClass.NOT_RUN
        return ResponseClass.ANSWERED


def _header_text(fields: dict[bytes, bytes], name: bytes) -> str:
    return fields.get(name, b"").decode("latin-1")


def _bearer_token(fields: dict[bytes, bytes]) -> str:
    scheme, _, token = _header_text(fields, AUTHORIZATION).partition(" ")
    return token.strip() if scheme.lower() == BEARER else ""


def _forwarded_headers(received: Headers) -> Headers:
    return [
        (name, value)
        for name, value in end_to_end_headers(received)
        if name not in _REPLACED_HEADERS
    ]
