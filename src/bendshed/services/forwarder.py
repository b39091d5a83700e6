"""Takes callers' requests: finds the route, and serves plain ones and turns."""

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
from bendshed.retries.history import AttemptHistory
from bendshed.services.attempts import Attempts, OpenAnswer, RunnerPorts
from bendshed.services.metrics import CALLER_LEFT, NO_ROUTE, Served
from bendshed.services.runner_placement import RunnerPlacement
from bendshed.services.stream_exchange import StreamExchange
from bendshed.services.turn_ports import TurnPorts
from bendshed.services.turn_record import TurnRecord

MAX_HELD_BODY_BYTES = 64 * 1024
"""A plain answer up to this size is buffered until it is whole, so that the request can be repeated
if the answer breaks; a larger one is passed on as it comes. Bounds memory per open request."""
FIRST_DOCUMENT_WAIT_S = 0.5
"""How long requests wait for routes and runners at a node that has just started. Bounds the wait
where no configuration comes: then the request is refused as ``not_ready``."""

log = PartLog("forward")


class Forwarder:
    """Serves requests by the newest document.

    Without ``turns`` no turn is recorded in the turn log: a stream is only relayed.

    Attributes:
        is_current: whether this node's document is surely the newest; only then is what it does not
            name refused for good.

    """

    def __init__(self, runners: RunnerPorts, turns: TurnPorts | None = None) -> None:
        self.is_current: Callable[[], bool] = lambda: True
        self._index: RouteIndex | None = None
        self._access = AccessIndex(ServiceDocument())
        self._has_index = asyncio.Event()
        self._refuse_unknown_from_s: float | None = None
        self._runners = runners
        self._metrics = runners.metrics
        self._turns = turns
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

    async def _index_or_wait(self) -> RouteIndex | None:
        """Routes; a node that has just started waits for them and for runners, bounded."""
        if self._index is None or not self._runners.table.has_any.is_set():
            now_s = asyncio.get_running_loop().time()
            if self._refuse_unknown_from_s is None:
                self._refuse_unknown_from_s = now_s + FIRST_DOCUMENT_WAIT_S
            with contextlib.suppress(TimeoutError):  # then the request is refused, which is logged
                async with asyncio.timeout_at(self._refuse_unknown_from_s):
                    await self._has_index.wait()
                    await self._runners.table.has_any.wait()
        return self._index

    async def serve(self, request: ServiceRequest, caller: Caller) -> None:
        """Answer one request; cancelled when its caller disconnects."""
        self.num_open += 1
        loop = asyncio.get_running_loop()
        route_kind = NO_ROUTE
        outcome = CALLER_LEFT
        try:
            index = await self._index_or_wait()
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
        """Serve or refuse; return the outcome for the metrics."""
        outcome: Refusal | Served
        principal = self._access.principal(route, request.credential) if route is not None else None
        if index is None:
            outcome = Refusal(ErrorKind.NOT_READY, "this node knows no configuration yet")
        elif route is None:
            outcome = self._refuse_unknown(ErrorKind.NOT_FOUND, "no route takes this host and path")
        elif principal is None:
            outcome = self._refuse_unknown(ErrorKind.UNAUTHORIZED, "no tenant has this credential")
        else:
            outcome = await self._serve_route(request, caller, route, index, principal)
        if isinstance(outcome, Served):
            return outcome.value
        version = index.document.version if index is not None else 0
        await self._refuse(request, caller, outcome, version, principal.name if principal else "")
        return outcome.kind.value

    def _refuse_unknown(self, kind: ErrorKind, detail: str) -> Refusal:
        """Refuse what the document does not name; for now, where a newer one may name it."""
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
    ) -> Refusal | Served:
        wait_ms = route.timeout_ms
        if request.wait_ms is not None:
            wait_ms = min(wait_ms, request.wait_ms)
        deadline_s = request.arrived_s + wait_ms / 1000
        sticky_key = self._sticky_key(request, route)
        service = choose_target(route, sticky_key or request.request_id)
        admit = partial(self._admit_call, request, principal, deadline_s)
        regions = allowed_regions(route, principal)
        placement = RunnerPlacement(self._runners, request, service, sticky_key, regions)
        history = AttemptHistory(deadline_s)
        attempts = Attempts(request, route, principal, placement, history, admit)
        refusal = attempts.reject_if_no_eligible_runner()
        if refusal is not None:
            return refusal
        try:
            async with asyncio.timeout_at(deadline_s + LATE_ANSWER_MARGIN_S):
                return await self._serve_attempts(request, caller, attempts, index, admit)
        except TimeoutError:
            timed_out = GiveUp(GiveUpReason.TIMED_OUT, "no answer came in time")
            return refusal_of(timed_out, history)

    async def _serve_attempts(
        self,
        request: ServiceRequest,
        caller: Caller,
        attempts: Attempts,
        index: RouteIndex,
        admit: Callable[[], Awaitable[Refusal | None]],
    ) -> Refusal | Served:
        """Serve a turn, which its reservation admits, or admit and serve another request."""
        is_stream = attempts.route.kind is RouteKind.STREAM
        if is_stream:
            known = index.document.services.get(attempts.placement.service)
            engine = known.engine if known is not None else None
            record = self._record_of(request, attempts, engine)
            if record is not None:
                return await StreamExchange(request, attempts, caller, record).run()
        refusal = await admit()
        if refusal is not None:
            return refusal
        if is_stream:
            return await StreamExchange(request, attempts, caller, None).run()
        return await self._serve_plain(attempts, caller)

    def _record_of(
        self,
        request: ServiceRequest,
        attempts: Attempts,
        engine: EngineFeatures | None,
    ) -> TurnRecord | None:
        if request.turn is None or self._turns is None:
            return None
        deadline_s = attempts.history.deadline_s
        return TurnRecord(self._turns, request, attempts.route, attempts, engine, deadline_s)

    def _sticky_key(self, request: ServiceRequest, route: Route) -> str:
        """What requests share that run faster at the same runner; empty: nothing."""
        if not route.is_sticky:
            return ""
        return request.affinity_key or request.session

    async def _admit_call(
        self, request: ServiceRequest, principal: Principal, deadline_s: float
    ) -> Refusal | None:
        """Count a request that is no turn against its tenant's quota."""
        if self._turns is None:
            return None
        return await self._turns.quotas.admit_call(principal, request, deadline_s)

    async def _serve_plain(self, attempts: Attempts, caller: Caller) -> Refusal | Served:
        while True:
            opened = await attempts.open(attempts.request.body)
            if isinstance(opened, Refusal):
                return opened
            whole = False
            try:
                whole = await _pass_on(opened, caller)
            except ResponseBroken as error:
                history, route = attempts.history, attempts.route
                decision = decide_after_broken_answer(history, route, str(error))
                if isinstance(decision, GiveUp):
                    return refusal_of(decision, history)
                continue
            finally:
                opened.close(whole)
            if whole:
                attempts.note_work_time(opened)
            log.say(
                "request answered" if whole else "answer broken off: runner's answer broke",
                request=attempts.request.request_id,
                route=attempts.route.name,
                runner=opened.record.listed.runner_id,
                status=opened.head.status,
                attempts=attempts.history.num_possible_runs,
            )
            return Served.WHOLE if whole else Served.CUT

    async def _refuse(
        self,
        request: ServiceRequest,
        caller: Caller,
        refusal: Refusal,
        version: int,
        tenant: str,
    ) -> None:
        log.say(
            "request refused",
            request=request.request_id,
            tenant=tenant,
            kind=refusal.kind.value,
            detail=refusal.detail,
            ran=refusal.answer.ran.value,
            version=version,
            held_ms=int((asyncio.get_running_loop().time() - request.arrived_s) * 1000),
        )
        await caller.refuse(refusal)


async def _pass_on(opened: OpenAnswer, caller: Caller) -> bool:
    """Pass an answer on, a small one only when it is whole; raise ``ResponseBroken``.

    Once part of a large one was passed on, a break ends the caller's connection visibly.
    """
    held: list[bytes] = []
    num_held = 0
    begun = False
    try:
        async for chunk in opened.body():
            if begun:
                await caller.send(chunk)
                continue
            held.append(chunk)
            num_held += len(chunk)
            if num_held > MAX_HELD_BODY_BYTES:
                begun = True
                await caller.begin(opened.head)
                await caller.send(b"".join(held))
    except ResponseBroken:
        if begun:
            caller.break_off()
            return False
        raise
    if not begun:
        await caller.begin(opened.head)
        await caller.send(b"".join(held))
    await caller.end()
    return True
