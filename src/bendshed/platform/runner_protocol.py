"""How the platform's runners are spoken to."""

from bendshed.platform import names
from bendshed.ports.http_messages import ClientRequest, ResponseHead
from bendshed.ports.runner import ResponseClass, RunnerDispatch, RunnerProtocol, ServiceRequest


class PlatformRunnerProtocol(RunnerProtocol):
    """Headers towards runners, and what their answers say."""

    def build_request(
        self, request: ServiceRequest, body: bytes, dispatch: RunnerDispatch
    ) -> ClientRequest:
        """Pass the caller's headers on, with the tenant, the time left and the runner meant."""
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
        wanted = request.request_id.encode()
        return ClientRequest(
            request.method, request.target, headers, body, lambda head: _owns(head, wanted)
        )

    def classify(self, head: ResponseHead) -> ResponseClass:
        """Read the proofs that a request was not run."""
        if head.status == names.OTHER_RUNNER_STATUS:
            return ResponseClass.OTHER_RUNNER
        if head.get(names.NOT_RUN) is not None:
            return ResponseClass.NOT_RUN
        return ResponseClass.ANSWERED


def _owns(head: ResponseHead, wanted: bytes) -> bool:
    """An answer carries the request's id; one that says "not run" may lack it."""
    found = head.get(names.REQUEST_ID)
    if found is None:
        return head.get(names.NOT_RUN) is not None or head.status == names.OTHER_RUNNER_STATUS
    return found == wanted
