"""Forwarding to a runner behind a real socket that corrupts its responses on the wire."""

import asyncio
import random
import unittest
from dataclasses import replace

from prometheus_client import CollectorRegistry

from bendshed.adapters.connection_pool import ConnectionPool
from bendshed.errors import Refusal
from bendshed.model.route_index import RouteIndex
from bendshed.model.runner import RunnerState, ServiceRunner
from bendshed.model.service_document import Route, RouteKind, ServiceDocument, WeightedService
from bendshed.platform.runner_protocol import PlatformRunnerProtocol
from bendshed.ports.http_messages import ResponseHead
from bendshed.ports.runner import Caller, ServiceRequest
from bendshed.rehearsal.site.http_runner import (
    EARLY_BODY_BYTES,
    EVENTS_HEADER,
    SURPLUS_ID,
    RunnerServer,
    Spoil,
)
from bendshed.rehearsal.site.runner import RunRecord, SiteRunner, event_bytes, plain_answer
from bendshed.services.attempts import RunnerPorts
from bendshed.services.forwarder import Forwarder
from bendshed.services.metrics import ServiceMetrics
from bendshed.services.runners import RunnerTable

HOST = "127.0.0.1"
ROUTE = Route(
    name="r",
    host="h",
    path_prefix="/",
    kind=RouteKind.IDEMPOTENT,
    timeout_ms=5000,
    target_ms=5000,
    priority=0,
    targets=(WeightedService("s", 1),),
    max_attempts=2,
)


class RecordingCaller(Caller):
    """Records what the forwarder sends."""

    def __init__(self) -> None:
        self.refusal: Refusal | None = None
        self.head: ResponseHead | None = None
        self.body = b""
        self.is_complete = False
        self.is_broken = False

    async def refuse(self, refusal: Refusal) -> None:
        self.refusal = refusal

    async def begin(self, head: ResponseHead) -> None:
        self.head = head

    async def send(self, chunk: bytes) -> None:
        self.body += chunk

    async def end(self) -> None:
        self.is_complete = True

    def abort(self) -> None:
        self.is_broken = True


class CorruptedResponsesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.runs: list[RunRecord] = []
        self.table = RunnerTable()
        self.servers = [await self.add(name) for name in ("one", "two")]
        self.pool = ConnectionPool(1.0)
        rng = random.Random(1)
        metrics = ServiceMetrics(CollectorRegistry())
        ports = RunnerPorts(self.table, self.pool, PlatformRunnerProtocol(), "z", "n", rng, metrics)
        self.forwarder = Forwarder(ports)
        self.put_route(ROUTE)

    async def asyncTearDown(self) -> None:
        self.pool.close()
        for server in self.servers:
            await server.stop()

    async def add(self, name: str) -> RunnerServer:
        runner = SiteRunner(name, "s", "z", 8, random.Random(name), self.runs)
        server = await RunnerServer.start(runner, HOST)
        self.table.put(ServiceRunner(name, "s", server.address, "z", 8, RunnerState.READY))
        return server

    def put_route(self, route: Route) -> None:
        self.forwarder.index = RouteIndex(ServiceDocument(1, (route,)))

    def set_fault(self, fault: Spoil) -> None:
        for server in self.servers:
            server.spoil = fault

    async def send(
        self, request_id: str, body: bytes = b"", num_events: int = 0
    ) -> RecordingCaller:
        headers = [(b"host", b"h"), (b"x-request-id", request_id.encode())]
        if num_events:
            headers.append((EVENTS_HEADER, str(num_events).encode()))
        now_s = asyncio.get_running_loop().time()
        request = ServiceRequest(
            request_id, b"POST", b"/x", "h", "/x", headers, body, None, "", "", "", None, now_s
        )
        caller = RecordingCaller()
        await self.forwarder.serve(request, caller)
        return caller

    async def test_surplus_response_is_discarded(self) -> None:
        self.set_fault(Spoil.SURPLUS)
        for number in range(6):
            caller = await self.send(f"r{number}")
            self.assertTrue(caller.is_complete)
            self.assertEqual(caller.body, plain_answer(f"r{number}"))
            assert caller.head is not None
            self.assertNotEqual(caller.head.get(b"x-request-id"), SURPLUS_ID)
        self.assertEqual(len(self.runs), 6)

    async def test_unframed_response_is_complete_after_a_clean_close(self) -> None:
        self.set_fault(Spoil.UNFRAMED)
        for number in range(3):
            caller = await self.send(f"r{number}")
            self.assertEqual(caller.body, plain_answer(f"r{number}"))
            self.assertTrue(caller.is_complete)

    async def test_unframed_response_is_incomplete_after_a_reset(self) -> None:
        self.set_fault(Spoil.UNFRAMED)
        self.put_route(replace(ROUTE, kind=RouteKind.NON_IDEMPOTENT, max_attempts=1))
        for server in self.servers:
            server.runner.troubles.cut = 1.0
        caller = await self.send("r")
        self.assertFalse(caller.is_complete)
        assert caller.refusal is not None
        self.assertEqual(caller.refusal.answer.ran.value, "yes")
        self.assertEqual(len(self.runs), 1)

    async def test_early_response_leaves_no_stray_bytes(self) -> None:
        """The rest of a long body is not read as the next request, nor a response as another's."""
        self.set_fault(Spoil.EARLY)
        body = b"x" * (EARLY_BODY_BYTES * 512)
        caller = await self.send("long", body)
        assert caller.refusal is not None
        self.assertEqual(caller.refusal.answer.ran.value, "no")
        self.assertEqual(self.runs, [])
        for number in range(4):
            caller = await self.send(f"short{number}")
            self.assertEqual(caller.body, plain_answer(f"short{number}"))
        self.assertEqual(sum(server.strays for server in self.servers), 0)

    async def test_stream_is_complete_despite_corrupted_responses(self) -> None:
        self.put_route(replace(ROUTE, kind=RouteKind.STREAM, max_attempts=1))
        for fault in (Spoil.SURPLUS, Spoil.UNFRAMED, Spoil.NONE):
            self.set_fault(fault)
            caller = await self.send(fault.value, num_events=3)
            self.assertTrue(caller.is_complete)
            events = [event_bytes(fault.value, number) for number in range(3)]
            self.assertEqual(caller.body, b"".join(events))
