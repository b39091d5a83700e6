"""Serves callers' requests: matches the route, then forwards plain requests, streams and turns."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from functools import partial

from bendshed.admission.access import AccessIndex
from bendshed.errors import ErrorKind, Refusal
from bendshed.logs import PartLog
from bendshed.model.principal import Principal
from bendshed.model.route_index import RouteIndex, choose_target
from bendshed.model.service_document import EngineFeatures, Route, RouteKind, ServiceDocument
from bendshed.model.stream_origin import StreamOrigin
from bendshed.placement.allowed_regions import allowed_regions
from bendshed.ports.http_messages import ResponseBroken
from bendshed.ports.runner import Caller, ServiceRequest
from bendshed.retries.decisions import (
    LATE_ANSWER_MARGIN_S,
    GiveUp,
    GiveUpReason,
    decide_after_broken_answer,
    refusal_of,
)
from bendshed.retries.fingerprint import describe, fingerprint_of
from bendshed.retries.history import AttemptHistory
from bendshed.services.attempts import Attempts, OpenResponse, RunnerPorts
from bendshed.services.metrics import CALLER_LEFT, NO_ROUTE, ServedOutcome
from bendshed.services.runner_placement import RunnerPlacement
from bendshed.services.stream_exchange import StreamExchange
from bendshed.services.stream_origins import OriginRecorder, is_resumed, route_key, ttl_ms
from bendshed.services.turn_ports import TurnPorts
from bendshed.services.turn_record import TurnRecord
from bendshed.wire import turns_pb2 as wire

MAX_BUFFERED_BODY_BYTES = 64 * 1024
"""A plain response up to this size is buffered until it is complete, so that the request can be
retried if the response breaks; a larger one is relayed as it arrives. Bounds memory per open
request."""
FIRST_DOCUMENT_WAIT_S = 0.5
"""How long requests wait for routes and runners at a node that has just started. Without a
configuration by then, the request is refused as ``not_ready``."""

log = PartLog("forward")


class Forwarder:
    """Serves requests according to the newest configuration document.

    Without ``turns`` no turn is recorded in the turn log: streams are only relayed.

    Attributes:
        is_current: whether this node's document is certainly the newest; only then are unknown
            routes and credentials refused permanently.

    """

    def __init__(self, runners: RunnerPorts, turns: TurnPorts | None = None) -> None:
        self.is_current: Callable[[], bool] = lambda: True
        self._index: RouteIndex | None = None
        self._access = AccessIndex(ServiceDocument())
        self._has_index = asyncio.Event()
        self._has_started = False
        self._startup_wait_until_s: float | None = None
        self._runner_ports = runners
        self._metrics = runners.metrics
        self._turn_ports = turns
        self.num_open = 0

    @property
    def index(self) -> RouteIndex | None:
        """Routes of the newest document; ``None`` until a document is known."""
        return self._index

    @index.setter
    def index(self, index: RouteIndex) -> None:
        self._index = index
        self._access = AccessIndex(index.document)
        self._has_index.set()

    async def _wait_for_index(self) -> RouteIndex | None:
        """Return the routes; after a start, wait a limited time for what a request needs.

        That is routes, runners, and under which requests runners ended.
        """
        if not self._has_started:
            now_s = asyncio.get_running_loop().time()
            if self._startup_wait_until_s is None:
                self._startup_wait_until_s = now_s + FIRST_DOCUMENT_WAIT_S
            table = self._runner_ports.table
            with contextlib.suppress(TimeoutError):  # the request is refused then, and logged
                async with asyncio.timeout_at(self._startup_wait_until_s):
                    await self._has_index.wait()
                    await table.has_runners.wait()
                    await table.quarantine.reporter.wait_informed()
                    self._has_started = True
        return self._index

    async def serve(self, request: ServiceRequest, caller: Caller) -> None:
        """Serve one request; cancelled when its caller disconnects."""
        self.num_open += 1
        loop = asyncio.get_running_loop()
        route_kind = NO_ROUTE
        outcome = CALLER_LEFT
        try:
            index = await self._wait_for_index()
            route = index.match(request.host, request.path) if index is not None else None
            route_kind = route.kind.value if route is not None else NO_ROUTE
            outcome = await self._serve(request, caller, route, index)
        except asyncio.CancelledError:
            after_ms = int((loop.time() - request.arrived_s) * 1000)
            log.say(
                "request cancelled: caller disconnected",
                request=request.request_id,
                after_ms=after_ms,
            )
            raise
        finally:
            self.num_open -= 1
            took_s = loop.time() - request.arrived_s
            self._metrics.requests.labels(route_kind, outcome).inc()
            self._metrics.request_s.labels(route_kind).observe(took_s)

    async def _serve(
        self,
        request: ServiceRequest,
        caller: Caller,
        route: Route | None,
        index: RouteIndex | None,
    ) -> str:
        """Serve or refuse a request; return the outcome for the metrics."""
        outcome: Refusal | ServedOutcome
        principal = self._access.principal(route, request.credential) if route is not None else None
        if index is None:
            outcome = Refusal(ErrorKind.NOT_READY, "this node knows no configuration yet")
        elif route is None:
            outcome = self._refuse_unknown(ErrorKind.NOT_FOUND, "no route takes this host and path")
        elif principal is None:
            outcome = self._refuse_unknown(ErrorKind.UNAUTHORIZED, "no tenant has this credential")
        else:
            outcome = await self._serve_route(request, caller, route, index, principal)
        if isinstance(outcome, ServedOutcome):
            return outcome.value
        version = index.document.version if index is not None else 0
        await self._refuse(request, caller, outcome, version, principal)
        return outcome.kind.value

    def _refuse_unknown(self, kind: ErrorKind, detail: str) -> Refusal:
        """Refuse an unknown route or credential, temporarily if a newer document may name it."""
        if self.is_current():
            return Refusal(kind, detail)
        return Refusal(ErrorKind.NOT_READY, f"{detail}, but this node may not know the newest one")

    async def _serve_route(
        self,
        request: ServiceRequest,
        caller: Caller,
        route: Route,
        index: RouteIndex,
        principal: Principal,
    ) -> Refusal | ServedOutcome:
        wait_ms = route.timeout_ms
        if request.wait_ms is not None:
            wait_ms = min(wait_ms, request.wait_ms)
        deadline_s = request.arrived_s + wait_ms / 1000
        sticky_key = self._sticky_key(request, route)
        service = choose_target(route, sticky_key or request.request_id)
        origin = await self._find_origin(request, route, principal, service, deadline_s)
        if isinstance(origin, Refusal):
            return origin
        admit = partial(self._admit_call, request, principal, deadline_s)
        regions = allowed_regions(route, principal)
        placement = RunnerPlacement(
            self._runner_ports,
            request,
            origin.service,
            sticky_key,
            regions,
            origin.software_version,
            proves_version=self._turn_ports is not None and route.is_resumable,
        )
        history = AttemptHistory(deadline_s)
        attempts = Attempts(request, route, principal, placement, history, admit)
        refusal = attempts.reject_if_quarantined() or attempts.reject_if_no_eligible_runner()
        if refusal is not None:
            return refusal
        try:
            async with asyncio.timeout_at(deadline_s + LATE_ANSWER_MARGIN_S):
                return await self._serve_attempts(request, caller, attempts, index, admit)
        except TimeoutError:
            timed_out = GiveUp(GiveUpReason.TIMED_OUT, "no answer came in time")
            return refusal_of(timed_out, history)

    async def _find_origin(
        self,
        request: ServiceRequest,
        route: Route,
        principal: Principal,
        service: str,
        deadline_s: float,
    ) -> StreamOrigin | Refusal:
        """Return where a request may run: a resumed stream at its origin, others at any version.

        ``service`` is the one that the split of the route gives. Without a turn log, as on the own
        interface, runners have no versions to tell apart.
        """
        if self._turn_ports is None or not is_resumed(request, route):
            return StreamOrigin(service, "")
        left_s = deadline_s - asyncio.get_running_loop().time()
        origins = self._turn_ports.origins
        return await origins.find_on_route(
            request, route, principal.name, service, left_s, self._runner_ports.table.entry_of
        )

    async def _serve_attempts(
        self,
        request: ServiceRequest,
        caller: Caller,
        attempts: Attempts,
        index: RouteIndex,
        admit: Callable[[], Awaitable[Refusal | None]],
    ) -> Refusal | ServedOutcome:
        """Serve a turn, which its reservation admits; admit any other request, then serve it."""
        is_stream = attempts.route.kind is RouteKind.STREAM
        if is_stream:
            known = index.document.services.get(attempts.placement.service)
            engine = known.engine if known is not None else None
            record = self._build_turn_record(request, attempts, engine)
            if record is not None:
                return await StreamExchange(request, attempts, caller, record).run()
        refusal = await admit()
        if refusal is not None:
            return refusal
        if is_stream:
            origin = self._build_origin_recorder(request, attempts)
            not_recordable = origin.reject_if_not_recordable() if origin is not None else None
            if not_recordable is not None:
                return not_recordable
            return await StreamExchange(request, attempts, caller, None, origin).run()
        return await self._serve_plain(attempts, caller)

    def _build_turn_record(
        self,
        request: ServiceRequest,
        attempts: Attempts,
        engine: EngineFeatures | None,
    ) -> TurnRecord | None:
        if request.turn is None or self._turn_ports is None:
            return None
        return TurnRecord(
            self._turn_ports,
            request,
            attempts.route,
            attempts,
            engine,
            attempts.history.deadline_s,
            self._build_origin_recorder(request, attempts),
        )

    def _build_origin_recorder(
        self, request: ServiceRequest, attempts: Attempts
    ) -> OriginRecorder | None:
        """Build the recorder of a stream that may be resumed; ``None`` for any other."""
        if self._turn_ports is None or not attempts.route.is_resumable:
            return None
        placement = attempts.placement
        expected = wire.StreamOrigin(
            service=placement.service,
            software_version=placement.expected_version(),
            ttl_ms=ttl_ms(request, attempts.route),
            route=route_key(attempts.route),
        )
        return OriginRecorder(
            self._turn_ports.origins,
            request,
            attempts.principal.name,
            expected,
            placement.software_version,
        )

    def _sticky_key(self, request: ServiceRequest, route: Route) -> str:
        """Key of requests that run faster at the same runner; empty: none."""
        if not route.is_sticky:
            return ""
        return request.affinity_key or request.session

    async def _admit_call(
        self, request: ServiceRequest, principal: Principal, deadline_s: float
    ) -> Refusal | None:
        """Charge a request that is not a turn to its tenant's quota."""
        if self._turn_ports is None:
            return None
        return await self._turn_ports.quotas.admit_call(principal, request, deadline_s)

    async def _serve_plain(self, attempts: Attempts, caller: Caller) -> Refusal | ServedOutcome:
        while True:
            response = await attempts.open(attempts.request.body)
            if isinstance(response, Refusal):
                return response
            is_complete = False
            try:
                is_complete = await _relay_response(response, caller)
            except ResponseBroken as error:
                self._log_broken(attempts, response, error)
                history, route = attempts.history, attempts.route
                decision = decide_after_broken_answer(history, route, str(error))
                if isinstance(decision, GiveUp):
                    return refusal_of(decision, history)
                continue
            finally:
                response.close(is_complete)
            if is_complete:
                attempts.record_work_time(response)
            log.say(
                "request answered" if is_complete else "answer broken off: runner's answer broke",
                request=attempts.request.request_id,
                route=attempts.route.name,
                runner=response.record.listed.runner_id,
                status=response.head.status,
                attempts=attempts.history.num_possible_runs,
                fingerprint=describe(attempts.fingerprint),
            )
            return ServedOutcome.ANSWERED if is_complete else ServedOutcome.BROKEN_OFF

    def _log_broken(
        self, attempts: Attempts, response: OpenResponse, error: ResponseBroken
    ) -> None:
        log.say(
            "attempt failed: answer broke",
            request=attempts.request.request_id,
            runner=response.record.listed.runner_id,
            reason=str(error),
            fingerprint=describe(attempts.fingerprint),
        )

    async def _refuse(
        self,
        request: ServiceRequest,
        caller: Caller,
        refusal: Refusal,
        version: int,
        principal: Principal | None,
    ) -> None:
        tenant = principal.name if principal is not None else ""
        fingerprint = fingerprint_of(request, tenant) if principal is not None else b""
        log.say(
            "request refused",
            request=request.request_id,
            tenant=tenant,
            kind=refusal.kind.value,
            detail=refusal.detail,
            ran=refusal.answer.ran.value,
            fingerprint=describe(fingerprint),
            version=version,
            held_ms=int((asyncio.get_running_loop().time() - request.arrived_s) * 1000),
        )
        await caller.refuse(refusal)


async def _relay_response(response: OpenResponse, caller: Caller) -> bool:
    """Relay a response, a small one only once it is complete; raise ``ResponseBroken``.

    After part of a large response was relayed, a break aborts the caller's connection instead, so
    that the caller sees it.
    """
    buffered: list[bytes] = []
    num_buffered_bytes = 0
    has_begun = False
    try:
        async for chunk in response.body():
            if has_begun:
                await caller.send(chunk)
                continue
            buffered.append(chunk)
            num_buffered_bytes += len(chunk)
            if num_buffered_bytes > MAX_BUFFERED_BODY_BYTES:
                has_begun = True
                await caller.begin(response.head)
                await caller.send(b"".join(buffered))
    except ResponseBroken:
        if has_begun:
            caller.abort()
            return False
        raise
    if not has_begun:
        await caller.begin(response.head)
        await caller.send(b"".join(buffered))
    await caller.end()
    return True
