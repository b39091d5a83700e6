"""Soak of real processes: clients return late and runners leave, beside signals and changes."""

import asyncio
import random
import signal
import tempfile
import unittest
from dataclasses import dataclass, field
from pathlib import Path

from bendshed.rehearsal.site.demo import make_program
from bendshed.rehearsal.site.departures import Disturbances
from bendshed.rehearsal.site.documents import TurnRouteTimes
from bendshed.rehearsal.site.installation import ZONES, SiteInstallation, SiteProcess
from bendshed.rehearsal.site.oracle import (
    Violation,
    check_chains,
    check_found,
    check_once,
    check_whole,
)
from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.records import Kind, SiteRequest
from bendshed.rehearsal.site.sim_world import CONTACT_S

SEEDS = (1,)
NUM_STEPS = 6
RETENTION_S = 6.0
TIMEOUTS_MS = (1_200, 4_000, 12_000, 30_000)
MAX_EARLY_S = 1.5
"""A client that returns late comes up to this long before the retention is over."""
MAX_OUTAGE_S = 4.5
MAX_PAUSE_S = 3.0
REQUEST_INTERVAL_S = 0.1
HTTP_OK = 200


@dataclass
class Soak:
    """One site under a seeded series of steps."""

    site: SiteInstallation
    rng: random.Random
    disturbances: Disturbances = field(default_factory=Disturbances)
    num_programs: int = 0
    version: int = 1
    running: "list[asyncio.Task[None]]" = field(default_factory=list)

    async def run(self) -> None:
        await self.site.start()
        self.site.seen.retention_s = RETENTION_S
        self.change_timeout(TIMEOUTS_MS[0])
        await self.pause(CONTACT_S)
        calls = asyncio.create_task(self.send_calls())
        self.running.append(calls)
        for _ in range(NUM_STEPS):
            self.start_program()
            await self.disturb()
            self.return_late()
            await self.pause(self.rng.uniform(0.0, MAX_PAUSE_S))
        await self.pause(RETENTION_S)
        calls.cancel()
        await asyncio.gather(*self.running, return_exceptions=True)

    async def pause(self, for_s: float) -> None:
        """Let a time pass."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + for_s
        await self.site.wait_until(lambda: loop.time() >= until_s)

    async def send_calls(self) -> None:
        """Send unrepeatable calls to all fronts in turn."""
        program = make_program(self.site, "calls", ProgramPlan(turns=0, tools=0))
        while True:
            request = program.make_request(Kind.UNREPEATABLE, body=b"x")
            self.running.append(asyncio.create_task(self.site.send(request)))
            await self.pause(REQUEST_INTERVAL_S)

    def start_program(self, continues: str = "") -> None:
        self.num_programs += 1
        plan = ProgramPlan(turns=2, tools=1)
        program = make_program(self.site, f"p{self.num_programs}", plan)
        self.running.append(asyncio.create_task(program.run(continues)))

    def return_late(self) -> None:
        """Continue an answered turn just before its retention is over."""
        turns = [row for row in self.site.seen.requests if is_answered_turn(row)]
        if turns:
            turn = self.rng.choice(turns[-4:])
            return_s = turn.ended_s + RETENTION_S - self.rng.uniform(0.02, MAX_EARLY_S)
            loop = asyncio.get_running_loop()
            loop.call_at(return_s, self.start_program, turn.request_id)

    async def disturb(self) -> None:
        front = self.rng.choice(list(self.site.fronts.values()))
        store = self.rng.choice(list(self.site.stores.values()))
        match self.rng.randrange(7):
            case 0:
                await self.restart(front, signal.SIGKILL)
            case 1:
                await self.restart(front, signal.SIGTERM)
            case 2:
                await self.restart(store, signal.SIGKILL)
            case 3:
                await self.hold_outage(self.rng.uniform(1.0, MAX_OUTAGE_S))
            case 4 | 5:
                self.change_timeout(self.rng.choice(TIMEOUTS_MS))
            case _:
                await self.replace_tools()

    async def restart(self, process: SiteProcess, number: signal.Signals) -> None:
        loop = asyncio.get_running_loop()
        is_store = process.name in self.site.stores
        for act in (process.end(number), process.start()):
            await act
            if is_store:
                self.disturbances.core_s.append(loop.time())
            self.disturbances.front_starts_s.append((process.name, loop.time()))
        if not is_store:
            await self.site.wait_ready(process)

    async def hold_outage(self, for_s: float) -> None:
        """The platform's store refuses all calls."""
        loop = asyncio.get_running_loop()
        for is_down in (True, False):
            self.site.metadata.is_down = is_down
            self.disturbances.core_s.append(loop.time())
            if is_down:
                await self.pause(for_s)

    def change_timeout(self, timeout_ms: int) -> None:
        self.version += 1
        times = TurnRouteTimes(timeout_ms, int(RETENTION_S * 1000))
        self.site.publish(self.version, times)

    async def replace_tools(self) -> None:
        """All runners of a service leave without a word; others come a little later."""
        departed = {row.runner_id for row in self.site.seen.departures}
        for server in self.site.runners:
            runner = server.runner
            if runner.service == "tools" and runner.runner_id not in departed:
                self.site.unlist_runner(server)
        await self.pause(self.rng.uniform(0.0, MAX_PAUSE_S))
        for number in range(2):
            name = f"tool-{len(self.site.runners) + 1}"
            await self.site.add_runner(name, "tools", ZONES[number])

    def violations(self) -> list[Violation]:
        """What broke that does not depend on the machine's speed; late runs are judged by hand."""
        checks = (check_found, check_chains, check_once, check_whole)
        return [violation for check in checks for violation in check(self.site.seen)]

    def late_runs(self) -> list[Violation]:
        """Requests that reached a runner too late after it had left."""
        return list(self.disturbances.late_runs(self.site.seen))


def is_answered_turn(request: SiteRequest) -> bool:
    """Whether a request is a turn that was answered whole."""
    return request.kind is Kind.TURN and request.status == HTTP_OK and request.is_whole


async def play(seed: int) -> tuple[Soak, list[Violation]]:
    """Play one seed; by hand with others than ``SEEDS``."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(SiteInstallation(Path(folder)), random.Random(seed))
        try:
            await soak.run()
            return soak, soak.violations()
        finally:
            for task in soak.running:
                task.cancel()
            await asyncio.gather(*soak.running, return_exceptions=True)
            await soak.site.stop()


class ReturnSoakTest(unittest.IsolatedAsyncioTestCase):
    # Guards against stored turns that are not found while processes restart, time-outs change, and
    # runners leave.
    async def test_turns_are_found_in_spite_of_restarts_and_changes(self) -> None:
        for seed in SEEDS:
            soak, found = await play(seed)
            self.assertEqual(found, [], seed)
            returned = [row for row in soak.site.seen.requests if row.previous]
            self.assertTrue(any(is_answered_turn(row) for row in returned), seed)
