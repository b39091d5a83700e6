"""The path between simulated clients and fronts."""

import asyncio
from collections.abc import Callable

from bendshed.errors import ErrorKind, Refusal, WasRun
from bendshed.identifiers import credential_digest
from bendshed.ports.http_messages import ResponseHead
from bendshed.ports.runner import Caller, ServiceRequest, TurnDetails
from bendshed.rehearsal.simulator.loop import SimProcess
from bendshed.rehearsal.site.documents import key_of
from bendshed.rehearsal.site.programs import tokens_of
from bendshed.rehearsal.site.records import Kind, SiteRequest
from bendshed.rehearsal.site.sim_runners import (
    AFTER_EVENT,
    EVENTS,
    HARMLESS,
    PROGRAM,
    REQUEST_ID,
)

CALLER_LATENCY_S = 0.003
CALLER_TIMEOUT_S = 4.0
STATUS = {
    ErrorKind.BUDGET_EXHAUSTED: 402,
    ErrorKind.NOT_FOUND: 404,
    ErrorKind.BAD_REQUEST: 400,
    ErrorKind.UNAUTHORIZED: 401,
    ErrorKind.QUOTA_EXCEEDED: 429,
}


class SimCaller(Caller):
    """The path back to a simulated client: ordered, with latency, broken when the process dies."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clients: SimProcess,
        request: SiteRequest,
        end: Callable[[SiteRequest, bool], None],
    ) -> None:
        self._loop = loop
        self._clients = clients
        self._request = request
        self._end = end
        self._has_begun = False
        self._is_broken = False
        self._last_s = 0.0

    def _deliver(self, act: Callable[[], None]) -> None:
        self._last_s = max(self._loop.time() + CALLER_LATENCY_S, self._last_s + 1e-6)
        self._loop.call_at(self._last_s, act, context=self._clients.context.copy())

    async def refuse(self, refusal: Refusal) -> None:
        """Answer with an error."""
        if self._has_begun:
            self.abort()
            return
        status = STATUS.get(refusal.kind, 503 if refusal.answer.ran is WasRun.NO else 502)
        await self.begin(ResponseHead(status))
        await self.end()

    async def begin(self, head: ResponseHead) -> None:
        """Status."""
        self._has_begun = True
        self._deliver(lambda: setattr(self._request, "status", head.status))

    async def send(self, chunk: bytes) -> None:
        """A piece."""
        if not self._is_broken:
            self._deliver(lambda: self._append(chunk))

    def _append(self, chunk: bytes) -> None:
        if not self._request.is_over:
            self._request.answer += chunk

    async def end(self) -> None:
        """The whole answer."""
        if not self._is_broken:
            self._deliver(lambda: self._end(self._request, True))

    def abort(self) -> None:
        """A visible cut."""
        self._is_broken = True
        self._deliver(lambda: self._end(self._request, False))


def to_service_request(request: SiteRequest, now_s: float, wait_s: float) -> ServiceRequest:
    """What a front reads of the request of a client that waits for ``wait_s``."""
    turn = None
    if request.kind in (Kind.TURN, Kind.RESUMABLE_TURN):
        most = tokens_of(request.most_events)
        turn = TurnDetails(request.previous, request.budget_tokens, most)
    path = f"/{request.kind.value}/x"
    headers = [
        (REQUEST_ID, request.request_id.encode()),
        (PROGRAM, request.program_id.encode()),
        (EVENTS, str(request.most_events).encode()),
        (AFTER_EVENT, str(request.after_event).encode()),
    ]
    if request.is_harmless:
        headers.append((HARMLESS, b"1"))
    return ServiceRequest(
        request_id=request.request_id,
        method=b"POST",
        target=path.encode(),
        host="site",
        path=path,
        headers=headers,
        body=request.body,
        wait_ms=int(wait_s * 1000),
        program_id=request.program_id,
        session=request.program_id,
        last_event_id=str(request.after_event or ""),
        resumes=request.resumes if request.names_stream else "",
        turn=turn,
        arrived_s=now_s,
        credential=credential_digest(key_of(request.tenant)),
    )
