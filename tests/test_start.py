"""Startup time of one process or of all processes, as seen by waiting clients."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from prometheus_client import CollectorRegistry

from bendshed.model.address import Address
from bendshed.model.route_index import RouteIndex
from bendshed.platform import main as platform_main
from bendshed.platform import roles
from bendshed.platform.encode import write_settings
from bendshed.platform.listeners import Listeners
from bendshed.platform.names import SETTINGS_VARIABLE
from bendshed.platform.settings import SiteSettings
from bendshed.rehearsal.site.documents import make_document
from bendshed.rehearsal.site.installation import HOST, free_ports
from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.sim_world import SimMachine, SiteWorld
from bendshed.services.attempts import RunnerPorts
from bendshed.services.forwarder import FIRST_DOCUMENT_WAIT_S, Forwarder
from bendshed.services.metrics import ServiceMetrics
from bendshed.services.runners import RunnerTable

LEADER_ELECTED_LIMIT_S = 0.25
REQUESTS_SERVED_LIMIT_S = 0.15
NUM_TURNS = 6
SLOW_IMPORTS = ("uvicorn", "prometheus_client", "eliot", "google.protobuf", "yaml", "asyncio")


class ListenBeforeImportTest(unittest.TestCase):
    def test_front_accepts_connections_before_role_is_imported(self) -> None:
        ports = free_ports()
        seen_listeners: list[Listeners] = []

        def run_role(
            _role: str, _port: int | None, _settings: SiteSettings, listeners: Listeners
        ) -> None:
            for port in ports[1:]:
                socket.create_connection((HOST, port)).close()
            seen_listeners.append(listeners)

        previous_handler = signal.getsignal(signal.SIGHUP)
        self.addCleanup(signal.signal, signal.SIGHUP, previous_handler)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.yaml"
            path.write_text(write_settings("f", "a", ports, Address(HOST, 1), HOST, None))
            with (
                mock.patch.dict(os.environ, {SETTINGS_VARIABLE: str(path)}),
                mock.patch.object(roles, "run_role", run_role),
            ):
                self.assertEqual(platform_main.main(["node"]), 0)
        self.assertEqual(seen_listeners[0].front_port, ports[1])
        for listener in seen_listeners[0].sockets:
            listener.close()

    def test_no_slow_import_before_listening(self) -> None:
        code = (
            "import sys, bendshed.platform.main; "
            f"print([n for n in {SLOW_IMPORTS} if n in sys.modules])"
        )
        process = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
        self.assertEqual(process.stdout.decode().strip(), "[]")


class FirstDocumentTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        metrics = ServiceMetrics(CollectorRegistry())
        ports = RunnerPorts(
            RunnerTable(), mock.Mock(), mock.Mock(), "a", "a:1", mock.Mock(), metrics
        )
        self.forwarder = Forwarder(ports)
        self.request = mock.Mock(host="nowhere", path="/x/", arrived_s=0.0)
        self.refused: list[str] = []
        self.caller = mock.Mock()
        self.caller.refuse = mock.AsyncMock(
            side_effect=lambda refusal: self.refused.append(refusal.kind.value)
        )

    async def test_request_waits_for_first_document(self) -> None:
        serving = asyncio.create_task(self.forwarder.serve(self.request, self.caller))
        await asyncio.sleep(0)
        self.assertEqual(self.refused, [])
        self.forwarder.index = RouteIndex(make_document(1))
        await serving
        self.assertEqual(self.refused, ["not_found"])

    async def test_request_is_refused_at_once_after_an_earlier_wait(self) -> None:
        loop = asyncio.get_running_loop()
        with mock.patch.object(loop, "time", return_value=loop.time()) as clock:
            first = asyncio.create_task(self.forwarder.serve(self.request, self.caller))
            await asyncio.sleep(0)
            clock.return_value += FIRST_DOCUMENT_WAIT_S + 0.1
            await first
            before_s = clock.return_value
            await self.forwarder.serve(self.request, self.caller)
            self.assertEqual(clock.return_value, before_s)
        self.assertEqual(self.refused, ["not_ready", "not_ready"])


class RestartOfAllStoresTest(unittest.TestCase):
    def test_leader_is_elected_within_limit(self) -> None:
        for seed in range(1, 9):
            with self.subTest(seed=seed):
                world = SiteWorld.started(seed)
                self.addCleanup(world.close)
                for store in world.stores.values():
                    world.kill(store)
                world.run_for(1.0)
                for store in world.stores.values():
                    world.restart(store)
                restarted_s = world.loop.time()
                while not world.is_led():
                    world.run_for(0.01)
                self.assertLess(world.loop.time() - restarted_s, LEADER_ELECTED_LIMIT_S)

    def test_fronts_started_before_voters_serve_within_limit(self) -> None:
        for seed in range(1, 5):
            with self.subTest(seed=seed):
                world = SiteWorld.started(seed)
                self.addCleanup(world.close)
                voters = self.find_voters(world)
                machines = [*world.fronts.values(), *world.stores.values()]
                for machine in machines:
                    world.kill(machine)
                world.run_for(1.0)
                for machine in machines:
                    if machine not in voters:
                        world.restart(machine)
                for _ in range(NUM_TURNS):
                    world.start_program(ProgramPlan(turns=1, tools=0))
                world.run_for(0.4)
                for voter in voters:
                    world.restart(voter)
                world.wait_for(world.is_led, 2.0)
                world.run_for(REQUESTS_SERVED_LIMIT_S)
                ran = {run.request_id for run in world.seen.runs}
                self.assertEqual(len(ran), NUM_TURNS)
                world.run_for(3.0)  # all turns end

    @staticmethod
    def find_voters(world: SiteWorld) -> list[SimMachine]:
        leader = world.leader()
        assert leader is not None
        assert leader.replica is not None
        ids = leader.replica.host.groups[0].replica.membership.voters
        by_id = {m.replica.host.node_id: m for m in world.stores.values() if m.replica is not None}
        return [by_id[node_id] for node_id in ids]
