"""The HTTP application of one node (blacksheep)."""

import asyncio
import time
from collections.abc import AsyncIterator
from dataclasses import asdict
from functools import partial

import orjson
from blacksheep import Application, Content, Request, Response, StreamedContent
from eliot import start_action

from bendshed.adapters.http import Handler, add_route
from bendshed.consensus.group_client import GroupUnavailable
from bendshed.dispatch import events as answer_events
from bendshed.dispatch.calls import Answered, LiveAnswer
from bendshed.errors import BendshedError, ErrorKind, Refusal
from bendshed.gateway import chat
from bendshed.gateway.metrics import Metrics
from bendshed.identifiers import credential_digest
from bendshed.logs import PartLog
from bendshed.node import Node
from bendshed.operators.answers import OperatorService
from bendshed.wire import programs_pb2 as wire

JSON = b"application/json"
EVENTS = b"text/event-stream"
END_PROGRAM_TIMEOUT_S = 15.0
READY_TIMEOUT_S = 25.0
READY_POLL_INTERVAL_S = 0.05

log = PartLog("gateway")


class Gateway:
    """Routes and request handlers of one node.

    Attributes:
        metrics: metrics of the node.

    """

    def __init__(self, node: Node, operators: OperatorService) -> None:
        self.metrics = Metrics()
        self._node = node
        self._operators = operators
        self.application = self._build()

    def _build(self) -> Application:
        application = Application(show_error_details=False)
        add_route(
            application, "POST", "/v1/chat/completions", self._with_error_responses(self._chat)
        )
        add_route(
            application,
            "GET",
            "/v1/programs/{program_id}",
            self._with_error_responses(self._show_program),
        )
        add_route(
            application,
            "DELETE",
            "/v1/programs/{program_id}",
            self._with_error_responses(self._end_program),
        )
        add_route(application, "POST", "/operators/ask", self._with_error_responses(self._ask))
        add_route(application, "GET", "/metrics", self._with_error_responses(self._metrics))
        add_route(application, "GET", "/health", self._with_error_responses(self._health))
        add_route(application, "GET", "/ready", self._with_error_responses(self._ready))
        return application

    def _with_error_responses(self, handler: Handler) -> Handler:
        """Convert refusals that a handler raises into error responses."""

        async def handle(request: Request) -> Response:
            try:
                return await handler(request)
            except BendshedError as error:
                self.metrics.calls.labels(error.refusal.kind).inc()
                return refusal_response(error.refusal)

        return handle

    # --- callers -------------------------------------------------------------------------

    def _tenant(self, request: Request) -> str:
        if self._node.configuration.snapshot.revision == 0:
            detail = "this node has no configuration yet; ask again or ask another node"
            raise BendshedError(Refusal(ErrorKind.NOT_READY, detail))
        token = _bearer_token(request)
        tenant = self._node.configuration.document.tenant_of_token(token) if token else None
        if tenant is None:
            raise BendshedError(
                Refusal(ErrorKind.UNAUTHORIZED, "no known bearer token; ask your operators for one")
            )
        return tenant

    async def _chat(self, request: Request) -> Response:
        arrived_s = time.monotonic()
        tenant = self._tenant(request)
        parsed = chat.parse_call(
            await request.read() or b"",
            chat.call_headers(_headers(request)),
            tenant,
            self._node.configuration.document,
            self._node.settings.programs,
            self._node.ports.clock.wall_ms(),
            f"{self._node.ports.rng.getrandbits(96):024x}",
        )
        if isinstance(parsed, Refusal):
            raise BendshedError(parsed)
        call = parsed.call
        with start_action(
            action_type="bendshed:call",
            program=call.program_id,
            call=call.call_number,
            request=call.request_id,
            tenant=tenant,
        ):
            live_answer = self._node.submit(call)
        if isinstance(live_answer, Refusal):
            raise BendshedError(live_answer)
        if not parsed.stream:
            return await self._respond_unstreamed(live_answer, parsed, arrived_s)
        await live_answer.wait_for_start()
        self.metrics.first_event_s.observe(time.monotonic() - arrived_s)
        if not live_answer.chunks and isinstance(live_answer.outcome, Refusal):
            raise BendshedError(live_answer.outcome)
        events = partial(self._stream_events, live_answer, parsed, arrived_s)
        return Response(200, None, StreamedContent(EVENTS, events))

    async def _respond_unstreamed(
        self, live_answer: LiveAnswer, parsed: chat.ParsedCall, arrived_s: float
    ) -> Response:
        outcome = await live_answer.wait()
        if isinstance(outcome, Refusal):
            raise BendshedError(outcome)
        await self._finish_call(parsed, outcome, arrived_s)
        body = answer_events.answer_body(live_answer.request, outcome.result, int(time.time()))
        return Response(200, None, Content(JSON, orjson.dumps(body)))

    async def _stream_events(
        self, live_answer: LiveAnswer, parsed: chat.ParsedCall, arrived_s: float
    ) -> AsyncIterator[bytes]:
        """Stream the engine's events on arrival and the closing ones only after the commit."""
        async for chunk in live_answer.read():
            self.metrics.streamed_bytes.inc(len(chunk))
            yield chunk
        outcome = live_answer.outcome
        if isinstance(outcome, Answered):
            await self._finish_call(parsed, outcome, arrived_s)
            now_s = int(time.time())
            yield answer_events.closing_events(live_answer.request, outcome.result, now_s)
        elif isinstance(outcome, Refusal):
            self.metrics.calls.labels(outcome.kind).inc()
            yield answer_events.event(outcome.body())

    async def _finish_call(
        self, parsed: chat.ParsedCall, outcome: Answered, arrived_s: float
    ) -> None:
        self.metrics.calls.labels("answered").inc()
        self.metrics.call_s.observe(time.monotonic() - arrived_s)
        if parsed.end_program:
            await self._submit_end_program(parsed.call.program_id, "by its caller")

    async def _submit_end_program(self, program_id: str, reason: str) -> wire.CallResult:
        end = wire.EndProgram(program_id=program_id, reason=reason)
        try:
            return await self._node.client.command(
                program_id, wire.ProgramCommand(end=end), END_PROGRAM_TIMEOUT_S
            )
        except GroupUnavailable as error:
            raise BendshedError(Refusal(ErrorKind.GROUP_UNAVAILABLE, str(error))) from error

    async def _end_program(self, request: Request) -> Response:
        tenant = self._tenant(request)
        program_id = _route_value(request, "program_id")
        await self._operators.require_tenant(program_id, tenant)
        result = await self._submit_end_program(program_id, "by its caller")
        if result.refused_kind:
            raise BendshedError(Refusal(ErrorKind(result.refused_kind), result.refused_detail))
        return Response(204)

    async def _show_program(self, request: Request) -> Response:
        tenant = self._tenant(request)
        row = await self._operators.require_tenant(_route_value(request, "program_id"), tenant)
        return Response(200, None, Content(JSON, orjson.dumps(row)))

    # --- operators, metrics --------------------------------------------------------------

    async def _ask(self, request: Request) -> Response:
        expected = self._node.settings.operators.token_sha256
        actual = credential_digest(_bearer_token(request))
        if expected is None or actual != expected:
            raise BendshedError(Refusal(ErrorKind.UNAUTHORIZED, "the operators' token is needed"))
        content = orjson.loads(await request.read() or b"{}")
        author = str(content.get("author", "operator"))
        answer = await self._operators.ask(str(content.get("statement", "")), author)
        if isinstance(answer, Refusal):
            raise BendshedError(answer)
        return Response(200, None, Content(JSON, orjson.dumps(asdict(answer))))

    async def _metrics(self, _request: Request) -> Response:
        node, metrics = self._node, self.metrics
        metrics.members.set(len(node.membership.view.live()))
        metrics.led_groups.set(len(node.host.led_groups()) if node.host is not None else 0)
        metrics.revision.set(node.configuration.snapshot.revision)
        metrics.waiting.set(len(node.scheduler.waiting))
        return Response(200, None, Content(b"text/plain; version=0.0.4", metrics.exposition()))

    def _status(self) -> dict[str, object]:
        node = self._node
        return {
            "node": node.node_id,
            "draining": node.draining,
            "members": len(node.membership.view.live()),
            "revision": node.configuration.snapshot.revision,
            "groups": len(node.client.leaders),
            "runners": len(node.table.runners),
        }

    async def _health(self, _request: Request) -> Response:
        return Response(200, None, Content(JSON, orjson.dumps(self._status())))

    async def _ready(self, request: Request) -> Response:
        """Wait until the status reaches the minimums in the query, such as ``?members=3``."""
        minimums = {
            name: int(values[0])
            for name, values in request.query.items()
            if name in ("members", "revision", "groups", "runners")
        }
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while any(int(str(self._status()[name])) < minimum for name, minimum in minimums.items()):
            if time.monotonic() > deadline_s:
                return Response(503, None, Content(JSON, orjson.dumps(self._status())))
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        return await self._health(request)


def refusal_response(refusal: Refusal) -> Response:
    """Build the HTTP response of a refusal from the table of error kinds."""
    answer = refusal.answer
    headers = []
    if answer.retry_after_s is not None:
        headers.append((b"Retry-After", str(answer.retry_after_s).encode()))
    return Response(answer.status, headers, Content(JSON, orjson.dumps(refusal.body())))


def _headers(request: Request) -> dict[str, str]:
    return {name.decode().lower(): value.decode() for name, value in request.headers}


def _bearer_token(request: Request) -> str:
    value = request.get_first_header(b"Authorization") or b""
    scheme, _, token = value.decode().partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def _route_value(request: Request, name: str) -> str:
    values = request.route_values or {}
    return str(values.get(name, ""))
