"""Calls to the object API and the machine list over connections that become silent."""

import asyncio
import unittest
from contextlib import AbstractContextManager
from unittest import mock

from bendshed.adapters import http_store
from bendshed.adapters.http import HttpClient
from bendshed.adapters.http_store import HttpMachineList, HttpObjectStore
from bendshed.model.address import Address
from bendshed.ports.store import StoreSilent
from tests.stalling_proxy import LOCAL, StallingProxy

HANG_TIMEOUT_S = 20.0
"""Ends a call that hangs; it is long because answers may be slow on a busy machine."""
SHORT_TIMEOUT_S = 1.0
"""Timeout of calls that the test leaves unanswered."""
BODY = b'{"objects": [], "machines": []}'
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(BODY), BODY)


class SilentConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = await asyncio.start_server(self.answer, LOCAL, 0)
        target = Address(*self.server.sockets[0].getsockname()[:2])
        self.proxy = StallingProxy(target)
        address = await self.proxy.start()
        self.client = HttpClient()
        self.store = HttpObjectStore(self.client, f"http://{address}")
        self.machines = HttpMachineList(self.client, f"http://{address}")

    async def asyncTearDown(self) -> None:
        await self.client.close()
        await self.proxy.stop()
        self.server.close()

    async def answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(ANSWER)
        except asyncio.IncompleteReadError:
            writer.close()

    @staticmethod
    def short(timeout: str) -> AbstractContextManager[object]:
        return mock.patch.object(http_store, timeout, SHORT_TIMEOUT_S)

    # Guards against a change that a reader misses for as long as its silent connection is open.
    async def test_silent_watch_is_given_up_after_its_wait(self) -> None:
        await self.store.watch("changes/", "", 0.0)
        self.proxy.stall()
        async with asyncio.timeout(HANG_TIMEOUT_S):
            with self.short("WATCH_MARGIN_S"), self.assertRaises(StoreSilent):
                await self.store.watch("changes/", "", 0.0)
            self.assertEqual(await self.store.watch("changes/", "", 0.0), [])

    # Guards against an operator's change that hangs with its connection to the store.
    async def test_silent_call_is_given_up(self) -> None:
        await self.machines.read()
        self.proxy.stall()
        async with asyncio.timeout(HANG_TIMEOUT_S):
            with self.short("CALL_TIMEOUT_S"), self.assertRaises(StoreSilent):
                await self.machines.read()
            self.assertEqual(await self.machines.read(), [])
