"""End-to-end test with real processes; waits for events instead of fixed times."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from bendshed.adapters.http import CONNECTION_ERRORS, HttpAnswer
from bendshed.rehearsal.caller import Call, send_call
from bendshed.rehearsal.installation import CALLER_TOKEN, Installation


class SmokeTest(unittest.IsolatedAsyncioTestCase):
    async def test_program_survives_killed_and_stopped_nodes(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            installation = await Installation.start(Path(folder))
            try:
                await self._run_scenario(installation)
            finally:
                await installation.stop()

    async def _run_scenario(self, installation: Installation) -> None:
        client = installation.client

        async def turn(node: str, call: Call, token: str = CALLER_TOKEN):
            return await send_call(client, installation.nodes[node].url, token, call)

        refused = await turn("node-1", Call("p", 1, "hi"), token="nobody")
        self.assertEqual((refused.status, refused.error_kind), (401, "unauthorized"))
        first = await turn("node-1", Call("p", 1, "hi"))
        self.assertTrue(first.whole, first)
        again = await turn("node-4", Call("p", 1, "hi"))
        self.assertEqual((again.whole, again.text), (True, first.text))
        other_body = await turn("node-2", Call("p", 1, "something else"))
        self.assertEqual(other_body.error_kind, "conflict")
        await self._check_declared_route(installation)
        await installation.kill_node("node-1")
        second = await turn("node-4", Call("p", 2, "go on", unrepeatable=True))
        self.assertTrue(second.whole, second)
        stream = asyncio.create_task(turn("node-4", Call("p", 3, "long", max_tokens=64)))
        code = await installation.stop_node("node-2")
        self.assertEqual(code, 0)
        streamed = await stream
        self.assertTrue(streamed.whole, streamed)

    async def _check_declared_route(self, installation: Installation) -> None:
        """Any node forwards a request on a declared route to a machine of its service."""
        await installation.list_service("tool-1", "lookup")
        await installation.order("PUT SERVICE lookup SLOTS 4")
        route = "PUT ROUTE tools HOST '127.0.0.1' PREFIX '/tools/' TO lookup KIND idempotent"
        await installation.order(f"{route} TIMEOUT 3000 MS ATTEMPTS 2")
        headers = {"Authorization": f"Bearer {CALLER_TOKEN}"}

        async def send(node: str, fields: dict[str, str]) -> HttpAnswer:
            url = f"{installation.nodes[node].url}/tools/search"
            return await installation.client.send("POST", url, b'{"seconds": 0}', fields)

        self.assertEqual((await send("node-2", {})).status, 401)
        for node in ("node-2", "node-4"):
            answer = await send(node, headers)
            while answer.status == 503:  # the machine list has not reached the node yet
                answer = await send(node, headers)
            self.assertEqual((answer.status, answer.body), (200, b'{"result":"search done"}'))
        with self.assertRaisesRegex(RuntimeError, "leads to service"):
            await installation.order("DROP SERVICE lookup")
        await installation.order("DROP ROUTE tools")
        self.assertEqual((await send("node-4", headers)).status, 404)


class RollingRestartTest(unittest.IsolatedAsyncioTestCase):
    """Restarts every node in turn under load; no stream may break and no call may be lost."""

    NUM_PROGRAMS = 4

    async def test_streams_complete_during_rolling_restart(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            installation = await Installation.start(Path(folder))
            try:
                await self._restart_all(installation)
            finally:
                await installation.stop()

    async def _restart_all(self, installation: Installation) -> None:
        stopping = asyncio.Event()
        programs = [
            asyncio.create_task(self._run_program(installation, f"rolling-{number}", stopping))
            for number in range(self.NUM_PROGRAMS)
        ]
        for name in list(installation.nodes):
            self.assertEqual(await installation.stop_node(name), 0)
            await installation.start_node(installation.plans[name])
            await installation.wait_ready(members=4, groups=4, runners=2)
        stopping.set()
        turns = await asyncio.gather(*programs)
        self.assertGreater(min(turns), 0)

    async def _run_program(
        self, installation: Installation, program: str, stopping: asyncio.Event
    ) -> int:
        """Issue turns until ``stopping`` is set; return how many were answered completely."""
        turns = 0
        while not stopping.is_set():
            call = Call(program, turns + 1, f"turn {turns + 1} of {program}")
            await self._run_turn(installation, call, turns)
            turns += 1
        return turns

    async def _run_turn(self, installation: Installation, call: Call, first: int) -> None:
        """Try node after node; a stream that has started must complete."""
        for number in range(first, first + 200):
            nodes = list(installation.nodes.values())
            node = nodes[number % len(nodes)]
            try:
                report = await send_call(installation.client, node.url, CALLER_TOKEN, call)
            except CONNECTION_ERRORS:
                continue  # the node stopped before the connection was made
            if report.status == 200:
                self.assertTrue(report.whole, (node.name, report))
                return
            self.assertIn(report.error_kind, ("draining", "not_ready"), report)
        self.fail(f"call {call.number} of {call.program} found no node")
