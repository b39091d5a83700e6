"""Drives real processes, waiting for events."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from bendshed.rehearsal.caller import Call, send_call
from bendshed.rehearsal.installation import CALLER_TOKEN, Installation


class SmokeTest(unittest.IsolatedAsyncioTestCase):
    async def test_program_survives_a_kill_and_a_rolling_stop(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            installation = await Installation.start(Path(folder))
            try:
                await self._drive(installation)
            finally:
                await installation.stop()

    async def _drive(self, installation: Installation) -> None:
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
        await installation.kill_node("node-1")
        second = await turn("node-4", Call("p", 2, "go on", unrepeatable=True))
        self.assertTrue(second.whole, second)
        stream = asyncio.create_task(turn("node-4", Call("p", 3, "long", max_tokens=64)))
        code = await installation.stop_node("node-2")
        self.assertEqual(code, 0)
        self.assertTrue((await stream).whole)
