"""Metrics of the platform's processes: counters, gauges and the metrics endpoint."""

import asyncio
import contextlib
import io
import unittest

from prometheus_client import CollectorRegistry, generate_latest

from bendshed.adapters.http import HttpClient
from bendshed.adapters.metrics_page import MetricsPage
from bendshed.adapters.sockets import bind
from bendshed.platform.main import main
from bendshed.rehearsal.site.documents import WIDE
from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.sim_world import SiteWorld
from bendshed.services.metrics import ServiceMetrics

HOST = "127.0.0.1"


def free_port() -> int:
    listener = bind(HOST, 0)
    port: int = listener.getsockname()[1]
    listener.close()
    return port


class CountersTest(unittest.TestCase):
    """The processes of a simulated site under load count requests, attempts and turns."""

    @classmethod
    def setUpClass(cls) -> None:
        world = SiteWorld.started(3)
        cls.addClassCleanup(world.close)
        world.runners["tool-1"].troubles.shed = 1.0
        for _ in range(6):
            world.start_program(ProgramPlan(turns=2, tools=2), tenant=WIDE)
        world.run_for(8.0)
        cls.requests = len(world.seen.requests)
        cls.runs = len(world.seen.runs)
        registries = [m.registry for m in world.metrics.values()]
        cls.text = b"".join(generate_latest(registry) for registry in registries).decode()

    def total(self, name: str, label: str = "") -> float:
        rows = [row for row in self.text.splitlines() if row.startswith(name) and label in row]
        return sum(float(row.rpartition(" ")[2]) for row in rows)

    def test_requests_by_outcome(self) -> None:
        self.assertEqual(self.total("bendshed_requests_total"), self.requests)
        answered = self.total("bendshed_requests_total", 'outcome="answered"')
        self.assertEqual(answered, self.runs)

    def test_attempts_by_end(self) -> None:
        self.assertGreater(self.total("bendshed_attempts_total", 'end="not_run"'), 0)
        self.assertEqual(self.total("bendshed_attempts_total", 'end="answered"'), self.runs)

    def test_turns_and_commits(self) -> None:
        turns = self.total("bendshed_turn_first_event_seconds_count")
        self.assertEqual(turns, 12)
        self.assertEqual(self.total("bendshed_turn_commands_total", 'end="committed"'), 2 * turns)
        self.assertEqual(self.total("bendshed_turn_log_leader{", 'group="0"'), 1)

    def test_gauges_show_the_current_state(self) -> None:
        self.assertEqual(self.total("bendshed_open_requests "), 0)
        self.assertGreater(self.total("bendshed_runners", 'state="ready"'), 0)


class PageTest(unittest.IsolatedAsyncioTestCase):
    async def test_page_is_served_on_request(self) -> None:
        registry = CollectorRegistry()
        ServiceMetrics(registry).requests.labels("stream", "answered").inc()
        port = free_port()
        MetricsPage(registry, "/metrics").listen(HOST, port)
        client = HttpClient()
        self.addAsyncCleanup(client.close)
        answer = await client.send("GET", f"http://{HOST}:{port}/metrics")
        self.assertEqual(answer.status, 200)
        self.assertIn(b'outcome="answered"', answer.body)
        other = await client.send("GET", f"http://{HOST}:{port}/other")
        self.assertEqual(other.status, 404)

    async def test_address_in_use_only_disables_the_metrics(self) -> None:
        listener = bind(HOST, 0)
        self.addCleanup(listener.close)
        MetricsPage(CollectorRegistry(), "/metrics").listen(HOST, listener.getsockname()[1])
        await asyncio.sleep(0)


class CommandTest(unittest.TestCase):
    def test_invalid_arguments_exit_with_2(self) -> None:
        for arguments in ([], ["leader"], ["node", "x"], ["node", "1", "2"]):
            with self.subTest(arguments=arguments):
                stderr = io.StringIO()
                with contextlib.redirect_stderr(stderr):
                    self.assertEqual(main(arguments), 2)
                self.assertIn("give one role", stderr.getvalue())
