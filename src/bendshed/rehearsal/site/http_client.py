"""A client of the site over real connections: one request of an agent program."""

import asyncio

from bendshed.adapters.http_connection import open_connection
from bendshed.model.address import Address
from bendshed.platform import names
from bendshed.ports.http_messages import (
    ClientRequest,
    ConnectFailed,
    Headers,
    ResponseBroken,
)
from bendshed.rehearsal.site.documents import key_of
from bendshed.rehearsal.site.http_runner import EVENTS_HEADER, HARMLESS_HEADER
from bendshed.rehearsal.site.programs import tokens_of
from bendshed.rehearsal.site.records import Kind, SiteRequest

CONNECT_TIMEOUT_S = 1.0
WAIT_MS = 4_000


async def send_request(request: SiteRequest, node: Address, host: str) -> None:
    """Send a request on a new connection and note what comes back."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(WAIT_MS / 1000):
            await _exchange(request, node, host)
        request.is_whole = True
    except (ConnectFailed, ResponseBroken, TimeoutError):
        request.is_whole = False
    request.is_over = True
    request.ended_s = loop.time()


async def _exchange(request: SiteRequest, node: Address, host: str) -> None:
    connection = await open_connection(node, CONNECT_TIMEOUT_S)
    try:
        head = await connection.send(to_client_request(request, host))
        request.status = head.status
        async for chunk in connection.body():
            if head.get(names.SERVER_STAMP) is not None:
                request.answer += chunk
    finally:
        connection.abort()


def to_client_request(request: SiteRequest, host: str) -> ClientRequest:
    """Write a request as the site's clients do."""
    headers: Headers = [
        (b"host", host.encode()),
        (names.REQUEST_ID, request.request_id.encode()),
        (names.DEADLINE_MS, str(WAIT_MS).encode()),
        (names.PROGRAM_ID, request.program_id.encode()),
        (names.SESSION_ID, request.program_id.encode()),
        (EVENTS_HEADER, str(request.most_events).encode()),
        (names.AUTHORIZATION, f"{names.CREDENTIAL_SCHEME} {key_of(request.tenant)}".encode()),
    ]
    if request.is_harmless:
        headers.append((HARMLESS_HEADER, b"1"))
    if request.after_event:
        headers.append((names.LAST_EVENT_ID, str(request.after_event).encode()))
        if request.names_stream:
            headers.append((names.RESUMES, request.resumes.encode()))
    if request.kind in (Kind.TURN, Kind.RESUMABLE_TURN):
        counts = f"{len(request.body)},{tokens_of(request.most_events)}"
        headers.append((names.TOKEN_COUNTS, counts.encode()))
        headers.append((names.TOKEN_BUDGET, str(request.budget_tokens).encode()))
        if request.previous:
            headers.append((names.PREVIOUS_TURN, request.previous.encode()))
    target = f"/{request.kind.value}/x".encode()
    return ClientRequest(b"POST", target, headers, request.body, lambda _head: True)
