"""Real front and store processes with stand-ins for the platform; tests wait for events."""

import asyncio
import fcntl
import os
import signal
import struct
import tempfile
import termios
import unittest
from pathlib import Path

from bendshed.adapters.http import HttpClient
from bendshed.rehearsal.site.demo import make_program
from bendshed.rehearsal.site.installation import SiteInstallation, is_ready
from bendshed.rehearsal.site.oracle import check_all
from bendshed.rehearsal.site.programs import ProgramPlan


class SiteProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def test_programs_survive_a_store_crash_and_a_planned_stop(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            site = SiteInstallation(Path(folder))
            try:
                await site.start(num_fronts=2)
                await self._run_scenario(site)
                self.assertEqual(check_all(site.seen), [])
            finally:
                await site.stop()

    async def _run_scenario(self, site: SiteInstallation) -> None:
        first = make_program(site, "first", ProgramPlan(turns=2, tools=2, sub_agents=1))
        await first.run()
        self.assertTrue(first.finished, first.statuses)
        await self._kill_a_store(site, first.last_turn)
        await self._stop_a_front(site)
        looping = make_program(
            site, "loop", ProgramPlan(turns=9, tools=0, sub_agents=2, loops=True), ["front-2"]
        )
        looping.budget_tokens = 250
        await looping.run()
        self.assertIn(402, looping.statuses)

    async def _kill_a_store(self, site: SiteInstallation, turn: str) -> None:
        """Kill a store, leader or not: turns continue, and the earlier turns are found."""
        store = site.stores["store-1"]
        await store.end(signal.SIGKILL)
        second = make_program(site, "second", ProgramPlan(turns=2, tools=0))
        await second.run(turn)
        self.assertTrue(second.finished, second.statuses)
        await store.start()

    async def _stop_a_front(self, site: SiteInstallation) -> None:
        """Stop a front during a turn: the turn completes, and the process exits with 0."""
        third = make_program(site, "third", ProgramPlan(turns=1, tools=0), ["front-1"])
        running = asyncio.create_task(third.run())
        await self._wait_for_run(site, "third")
        self.assertEqual(await site.fronts["front-1"].end(signal.SIGTERM), 0)
        await running
        self.assertTrue(third.finished, third.statuses)
        self.assertFalse(await is_ready(site.fronts["front-1"].ready))

    async def _wait_for_run(self, site: SiteInstallation, program: str) -> None:
        while not any(run.program_id == program for run in site.seen.runs):  # noqa: ASYNC110
            await asyncio.sleep(0)


REQUESTS_PER_ROUND = 200
"""Requests, each of which logs a line, per check whether the pipe still grows.

Their lines have 76 kB in all, more than the pipe holds.
"""


class UnreadLogTest(unittest.IsolatedAsyncioTestCase):
    """A front whose log is not read continues to serve."""

    PIPE_BYTES = 64 * 1024

    async def test_a_front_serves_while_its_log_pipe_is_full(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            site = SiteInstallation(Path(folder))
            client = HttpClient()
            try:
                await site.start(num_fronts=1)
                reader = await self._restart_with_unread_log(site)
                await self._fill_pipe(site, client, reader)
                program = make_program(site, "p", ProgramPlan(turns=2, tools=1))
                await program.run()
                self.assertTrue(program.finished, program.statuses)
                os.close(reader)
            finally:
                await client.close()
                await site.stop()

    async def _restart_with_unread_log(self, site: SiteInstallation) -> int:
        front = site.fronts["front-1"]
        await front.end(signal.SIGKILL)
        front.log = front.log.with_suffix(".pipe")
        os.mkfifo(front.log)
        reader = os.open(front.log, os.O_RDONLY | os.O_NONBLOCK)
        await front.start()
        await site.wait_ready(front)
        return reader

    async def _fill_pipe(self, site: SiteInstallation, client: HttpClient, reader: int) -> None:
        """Send requests without a route, each of which logs a line, until the pipe is full.

        Its capacity depends on the lines: a write that does not fit into the current page starts a
        new one, so with lines of 380 bytes it is full at 60,800 bytes. It counts as full when it
        has stopped growing.
        """
        unread, unread_before = 0, -1
        while unread > unread_before or unread < self.PIPE_BYTES // 2:
            unread_before = unread
            await self._send_unrouted(site, client, REQUESTS_PER_ROUND)
            unread = self._unread_bytes(reader)

    async def _send_unrouted(self, site: SiteInstallation, client: HttpClient, count: int) -> None:
        url = f"http://{site.fronts['front-1'].front}/nowhere"
        for number in range(count):
            answer = await client.send("GET", url, headers={"X-Request-Id": f"r{number}"})
            self.assertEqual(answer.status, 404)

    @staticmethod
    def _unread_bytes(reader: int) -> int:
        return int(struct.unpack("i", fcntl.ioctl(reader, termios.FIONREAD, b"\0" * 4))[0])
