"""The product's protocol on declared routes, towards callers and runners.

A runner is any HTTP service of the machine list. One that says ``X-Bendshed-Not-Run`` proves that
it did not run the request; ``X-Bendshed-Request`` in an answer tells a surplus answer from the
expected one.
"""

import random
from collections.abc import Callable

from bendshed.configuration.document import ConfigurationDocument
from bendshed.errors import ErrorKind, Refusal
from bendshed.ports.caller_protocol import CallerProtocol, ReceivedRequest, RefusalAnswer
from bendshed.ports.http_messages import ClientRequest, Headers, ResponseHead, end_to_end
from bendshed.ports.runner import ResponseClass, RunnerDispatch, RunnerProtocol, ServiceRequest

REQUEST = b"x-bendshed-request"
PROGRAM = b"x-bendshed-program"
DEADLINE_MS = b"x-bendshed-deadline-ms"
RUNNER = b"x-bendshed-runner"
NOT_RUN = b"x-bendshed-not-run"
LAST_EVENT = b"last-event-id"
AUTHORIZATION = b"authorization"
BEARER = "bearer"
MISDIRECTED = 421
"""Another machine has the address now (RFC 9110, 15.5.20)."""

_REPLACED = frozenset({REQUEST, DEADLINE_MS, RUNNER, AUTHORIZATION, b"content-length", b"expect"})
"""Headers of callers that are not passed on; the token is for this system only."""


class ServiceCallerProtocol(CallerProtocol):
    """Callers of declared routes."""

    def __init__(
        self, configuration: Callable[[], ConfigurationDocument], rng: random.Random
    ) -> None:
        self._configuration = configuration
        self._rng = rng

    def read(self, received: ReceivedRequest) -> ServiceRequest | Refusal:
        """Read the headers; refuse an unknown tenant or a number that is none."""
        fields = dict(reversed(received.headers))  # the first of a name counts
        if self._configuration().tenant_of_token(_bearer_token(fields)) is None:
            detail = "no known bearer token; ask your operators for one"
            return Refusal(ErrorKind.UNAUTHORIZED, detail)
        wait_text = _text(fields, DEADLINE_MS)
        if wait_text and not wait_text.isdigit():
            detail = f"X-Bendshed-Deadline-Ms: {wait_text!r}: write a whole number"
            return Refusal(ErrorKind.BAD_REQUEST, detail)
        program_id = _text(fields, PROGRAM)
        return ServiceRequest(
            request_id=_text(fields, REQUEST) or f"{self._rng.getrandbits(96):024x}",
            method=received.method,
            target=received.target,
            host=_text(fields, b"host"),
            path=received.raw_path.decode("latin-1"),
            headers=_passed_on(received.headers),
            body=received.body,
            wait_ms=int(wait_text) if wait_text else None,
            program_id=program_id,
            session=program_id,
            last_event_id=_text(fields, LAST_EVENT),
            turn=None,
            arrived_s=received.arrived_s,
        )

    def answer_of(self, refusal: Refusal) -> RefusalAnswer:
        """Read the table of error kinds."""
        answer = refusal.answer
        retry_after = str(answer.retry_after_s) if answer.retry_after_s is not None else ""
        return RefusalAnswer(answer.status, retry_after)


class ServiceRunnerProtocol(RunnerProtocol):
    """Runners of declared services."""

    def build_request(
        self, request: ServiceRequest, body: bytes, dispatch: RunnerDispatch
    ) -> ClientRequest:
        """Pass the caller's headers on, with our id, the time left and the runner meant."""
        wanted = request.request_id.encode()
        headers = [
            *request.headers,
            (REQUEST, wanted),
            (DEADLINE_MS, str(dispatch.remaining_ms).encode()),
            (RUNNER, dispatch.runner.runner_id.encode()),
        ]
        return ClientRequest(
            request.method,
            request.target,
            headers,
            body,
            lambda head: head.get(REQUEST) in (None, wanted),
        )

    def classify(self, head: ResponseHead) -> ResponseClass:
        """Read the proofs that a request was not run."""
        if head.status == MISDIRECTED:
            return ResponseClass.OTHER_RUNNER
        if head.get(NOT_RUN) is not None:
            return ResponseClass.NOT_RUN
        return ResponseClass.ANSWERED


def _text(fields: dict[bytes, bytes], name: bytes) -> str:
    return fields.get(name, b"").decode("latin-1")


def _bearer_token(fields: dict[bytes, bytes]) -> str:
    scheme, _, token = _text(fields, AUTHORIZATION).partition(" ")
    return token.strip() if scheme.lower() == BEARER else ""


def _passed_on(received: Headers) -> Headers:
    return [(name, value) for name, value in end_to_end(received) if name not in _REPLACED]
