"""The platform's protocol towards runners."""

import orjson

from bendshed.model.runner import ServiceRunner, birth_ms
from bendshed.platform import names
from bendshed.ports.http_messages import ClientRequest, ResponseHead
from bendshed.ports.runner import ResponseClass, RunnerDispatch, RunnerProtocol, ServiceRequest


class PlatformRunnerProtocol(RunnerProtocol):
    """Builds requests to runners and classifies their responses."""

    def build_request(
        self, request: ServiceRequest, body: bytes, dispatch: RunnerDispatch
    ) -> ClientRequest:
        """Forward the caller's headers with tenant, remaining time and intended runner."""
        headers = list(request.headers)
        headers.append((names.DEADLINE_MS, str(dispatch.remaining_ms).encode()))
        headers.append((names.EXPECT_RUNNER, dispatch.runner.runner_id.encode()))
        if dispatch.tenant:
            headers.append((names.TENANT, dispatch.tenant.encode()))
        if dispatch.forwards_authorization:
            headers.extend(request.authorization)
        if dispatch.route.is_sticky:
            urgency = min(max(dispatch.urgency, names.MOST_URGENT), names.LEAST_URGENT)
            headers.append((names.URGENCY, str(urgency).encode()))
        expected = request.request_id.encode()
        return ClientRequest(
            request.method, request.target, headers, body, lambda head: _matches(head, expected)
        )

    def build_report_request(self, runner: ServiceRunner) -> ClientRequest:
        """Build a request for the runner's report on itself, which takes no slot."""
        return ClientRequest.get(runner.address, names.REPORT_PATH)

    def read_birth_ms(self, report: bytes) -> int:
        """Unix time, in ms, of the start that a report names; 0: it names none."""
        try:
            return birth_ms(orjson.loads(report)["born"])
        except (orjson.JSONDecodeError, LookupError, TypeError):
            return 0

    def classify(self, head: ResponseHead) -> ResponseClass:
        """Classify the response by status and headers that prove the request was not run."""
        if head.status == names.OTHER_RUNNER_STATUS:
            return ResponseClass.OTHER_RUNNER
        if head.get(names.NOT_RUN) is not None:
            return ResponseClass.NOT_RUN
        return ResponseClass.ANSWERED


def _matches(head: ResponseHead, expected: bytes) -> bool:
    """Return whether a response belongs to a request; one that proves "not run" may lack the id."""
    found = head.get(names.REQUEST_ID)
    if found is None:
        return head.get(names.NOT_RUN) is not None or head.status == names.OTHER_RUNNER_STATUS
    return found == expected
