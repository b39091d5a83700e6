"""Processes of runners report their start over real connections, once a connection."""

import asyncio
import random
import unittest
from dataclasses import replace
from unittest import mock

from prometheus_client import CollectorRegistry

from bendshed.adapters.connection_pool import ConnectionPool
from bendshed.errors import ErrorKind, Refusal
from bendshed.model.principal import Principal
from bendshed.model.runner import RunnerState, ServiceRunner
from bendshed.model.service_document import RouteKind
from bendshed.platform.runner_protocol import PlatformRunnerProtocol
from bendshed.ports.runner import ServiceRequest
from bendshed.rehearsal.site.http_runner import RunnerServer, Spoil
from bendshed.rehearsal.site.runner import FIRST_BIRTH_MS, SiteRunner
from bendshed.retries.history import AttemptHistory
from bendshed.services import runner_reports
from bendshed.services.attempts import Attempts, OpenResponse
from bendshed.services.metrics import ReportResult, ServiceMetrics
from bendshed.services.runner_placement import RunnerPlacement
from bendshed.services.runner_ports import RunnerPorts
from bendshed.services.runners import RunnerTable
from tests.test_runner_answers import HOST, ROUTE

RESUMABLE = replace(ROUTE, kind=RouteKind.STREAM, max_attempts=1, is_resumable=True)
LATER_MS = FIRST_BIRTH_MS + 1


class RunnerReportsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.table = RunnerTable()
        self.pool = ConnectionPool(1.0)
        self.metrics = ServiceMetrics(CollectorRegistry())
        self.ports = RunnerPorts(
            self.table,
            self.pool,
            PlatformRunnerProtocol(),
            "z",
            "n",
            random.Random(1),
            self.metrics,
        )
        self.servers = {name: await self.add(name) for name in ("one", "two")}

    async def asyncTearDown(self) -> None:
        self.pool.close()
        for server in self.servers.values():
            await server.stop()

    async def add(self, name: str) -> RunnerServer:
        runner = SiteRunner(name, "s", "z", 8, random.Random(name), [])
        server = await RunnerServer.start(runner, HOST)
        self.list(server, FIRST_BIRTH_MS)
        return server

    def list(self, server: RunnerServer, born_ms: int | None, version: str = "v1") -> None:
        name = server.runner.runner_id
        self.table.put(
            ServiceRunner(name, "s", server.address, "z", 8, RunnerState.READY, 0, version, born_ms)
        )

    def count(self, result: ReportResult) -> int:
        return int(self.metrics.reports.labels(result.value)._value.get())

    async def open(
        self, number: int, bound_version: str = "", preferred: str = ""
    ) -> OpenResponse | Refusal:
        request_id = f"r{number}"
        now_s = asyncio.get_running_loop().time()
        headers = [(b"host", b"h"), (b"x-request-id", request_id.encode())]
        request = ServiceRequest(
            request_id, b"POST", b"/x", "h", "/x", headers, b"", None, "", "", "", None, now_s
        )
        placement = RunnerPlacement(
            self.ports, request, "s", "", None, bound_version, proves_version=True
        )
        placement.prefer(preferred, mock.Mock(is_valid=lambda _now_s: False))
        principal = Principal(None, 0)
        attempts = Attempts(request, RESUMABLE, principal, placement, AttemptHistory(now_s + 5.0))
        return await attempts.open(b"")

    async def answer(self, number: int, bound_version: str = "", preferred: str = "") -> str:
        """Send one request; return the version that its response is proven to be of."""
        response = await self.open(number, bound_version, preferred)
        assert isinstance(response, OpenResponse)
        async for _chunk in response.body():
            pass
        response.close(True)
        self.answered_by = response.record.listed.runner_id
        return response.proven_version(self.table.are_births_listed)

    # Guards against a report for each request, which would cost each stream a round trip.
    async def test_one_report_serves_all_requests_of_a_connection(self) -> None:
        for number in range(5):
            self.assertEqual(await self.answer(number, preferred="one"), "v1")
        self.assertEqual((self.count(ReportResult.LISTED), self.pool.num_opened), (1, 1))

    # Guards against streams that begin at a runner whose entry is of its former process.
    async def test_runner_that_started_again_gets_no_stream_until_its_entry_is_written(
        self,
    ) -> None:
        self.servers["one"].runner.start_again("v2", LATER_MS, LATER_MS)
        self.assertEqual(await self.answer(1, preferred="one"), "v1")
        self.assertEqual(self.answered_by, "two")
        self.assertEqual(self.count(ReportResult.OTHER_PROCESS), 1)
        self.list(self.servers["one"], LATER_MS, "v2")
        self.assertEqual(await self.answer(2, preferred="one"), "v2")
        self.assertEqual(self.answered_by, "one")

    async def test_stream_begins_unproven_where_no_runner_is_proven(self) -> None:
        for server in self.servers.values():
            server.runner.start_again("v2", LATER_MS, LATER_MS)
        self.assertEqual(await self.answer(1), "")

    # Guards against resumed streams that a process of an unproven version continues.
    async def test_resumed_stream_is_refused_until_a_process_of_its_version_is_proven(
        self,
    ) -> None:
        for server in self.servers.values():
            server.runner.start_again("v2", LATER_MS, LATER_MS)
        refusal = await self.open(1, bound_version="v1")
        assert isinstance(refusal, Refusal)
        self.assertEqual(refusal.kind, ErrorKind.VERSION_UNPROVEN)
        self.assertEqual(refusal.answer.ran.value, "no")
        for server in self.servers.values():
            self.list(server, LATER_MS, "v2")
        self.assertEqual(await self.answer(2, bound_version="v2"), "v2")

    async def test_report_that_names_no_time_proves_nothing(self) -> None:
        for server in self.servers.values():
            server.runner.report_birth = "yesterday"
        self.assertEqual(await self.answer(1), "")
        self.assertEqual(self.count(ReportResult.WITHOUT_BIRTH), 2)

    # Guards against probes of runners that never name their start.
    async def test_runners_without_births_are_not_asked(self) -> None:
        for server in self.servers.values():
            self.list(server, 0)
        self.assertEqual(await self.answer(1), "v1")
        self.assertEqual(sum(self.count(result) for result in ReportResult), 0)

    async def test_entries_of_an_earlier_build_are_proven_by_reports_without_births(self) -> None:
        for server in self.servers.values():
            self.list(server, None)
            server.runner.report_birth = None
        self.assertEqual(await self.answer(1), "v1")

    # Guards against a runner without reports that delays each stream.
    async def test_runner_that_does_not_report_serves_and_is_not_asked_again(self) -> None:
        for server in self.servers.values():
            server.spoil = Spoil.NO_REPORT
        with mock.patch.object(runner_reports, "REPORT_TIMEOUT_S", 0.01):
            for number in range(3):
                self.assertEqual(await self.answer(number, preferred="one"), "")
        self.assertEqual(self.count(ReportResult.UNANSWERED), 1)
