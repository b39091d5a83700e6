"""How the platform's runners are spoken to."""

from bendshed.platform import names
from bendshed.ports.http_messages import ClientRequest, ResponseHead
from bendshed.ports.runner import RunnerDispatch, RunnerProtocol, ServiceRequest, Verdict


class PlatformRunnerProtocol(RunnerProtocol):
    """Headers towards runners, and what their answers say."""

    def request(
        self, request: ServiceRequest, body: bytes, sending: RunnerDispatch
    ) -> ClientRequest:
        """Pass the caller's headers on, with the tenant, the time left and the runner meant."""
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
        """Read the proofs that a request was not run."""
        if head.status == names.OTHER_RUNNER_STATUS:
            return Verdict.OTHER_RUNNER
        if head.get(names.NOT_RUN) is not None:
            return Verdict.NOT_RUN
        return Verdict.ANSWERED


def _matches(head: ResponseHead, expected: bytes) -> bool:
    """An answer carries the request's id; one that says "not run" may lack it."""
    found = head.get(names.REQUEST_ID)
    if found is None:
        return head.get(names.NOT_RUN) is not None or head.status == names.OTHER_RUNNER_STATUS
    return found == expected
