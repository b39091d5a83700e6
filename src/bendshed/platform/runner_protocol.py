"""The platform's protocol towards runners."""

from bendshed.platform import names
from bendshed.ports.http_messages import ClientRequest, ResponseHead
from bendshed.ports.runner import RunnerDispatch, RunnerProtocol, ServiceRequest, Verdict


class PlatformRunnerProtocol(RunnerProtocol):
    """Builds requests to runners and classifies their responses."""

    def request(
        self, request: ServiceRequest, body: bytes, sending: RunnerDispatch
    ) -> ClientRequest:
        """Forward the caller's headers with tenant, remaining time and intended runner."""
        headers = list(request.headers)
        headers.append((names.DEADLINE_MS, str(sending.left_ms).encode()))
        headers.append((names.EXPECT_RUNNER, sending.runner.runner_id.encode()))
        if sending.tenant:
            headers.append((names.TENANT, sending.tenant.encode()))
        if sending.passes_authorization:
            headers.extend(request.authorization)
        if sending.route.is_sticky:
            urgency = min(max(sending.urgency, names.MOST_URGENT), names.LEAST_URGENT)
            headers.append((names.URGENCY, str(urgency).encode()))
        expected = request.request_id.encode()
        return ClientRequest(
            request.method, request.target, headers, body, lambda head: _matches(head, expected)
        )

    def verdict(self, head: ResponseHead) -> Verdict:
        """Classify the response by status and headers that prove the request was not run."""
        if head.status == names.OTHER_RUNNER_STATUS:
            return Verdict.OTHER_RUNNER
        if head.get(names.NOT_RUN) is not None:
            return Verdict.NOT_RUN
        return Verdict.ANSWERED


def _matches(head: ResponseHead, expected: bytes) -> bool:
    """Return whether a response belongs to a request; one that proves "not run" may lack the id."""
    found = head.get(names.REQUEST_ID)
    if found is None:
        return head.get(names.NOT_RUN) is not None or head.status == names.OTHER_RUNNER_STATUS
    return found == expected
