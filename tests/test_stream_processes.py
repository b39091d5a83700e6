"""Real front and store processes: streams are resumed while runners of two versions serve."""

import asyncio
import random
import signal
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from bendshed.platform import names
from bendshed.rehearsal.site.demo import make_program
from bendshed.rehearsal.site.documents import STREAM_SERVICE
from bendshed.rehearsal.site.installation import ZONES, SiteInstallation
from bendshed.rehearsal.site.oracle import check_all
from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.records import RESUMABLE_KINDS
from bendshed.rehearsal.site.sim_streams import mixed_streams

STREAMS = ProgramPlan(turns=0, tools=0, streams=3)
NUM_PROGRAMS = 8
NUM_RELEASES = 3
MAX_BATCHES = 10
CUT_SHARE = 0.5
BUDGET_TOKENS = 5_000
BOUND_MESSAGE = "origins: stream bound to its version"


class StreamProcessesTest(unittest.IsolatedAsyncioTestCase):
    # Guards against mixed versions where a request passes through real headers, lists and logs.
    async def test_streams_stay_at_their_version_over_a_killed_front(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            site = SiteInstallation(Path(folder))
            try:
                await site.start()
                await self._add_second_version(site)
                await self._run_programs(site)
                self.assertEqual(check_all(site.seen), [])
                self._check_resumptions(site)
            finally:
                await site.stop()

    async def _add_second_version(self, site: SiteInstallation) -> None:
        for number in range(2):
            await site.add_runner(f"new-{number + 1}", STREAM_SERVICE, ZONES[number], "v2")
        for front in site.fronts.values():
            await site.wait_until(lambda log=front.log: log.read_text().count('"v2"') >= 2)
        for server in site.runners:
            server.runner.troubles.cut = CUT_SHARE

    async def _run_programs(self, site: SiteInstallation) -> None:
        """Kill a front under the first programs; then run more until both versions went on.

        Until the restarted front is told of the new runners, it begins no streams there.
        """
        running = self._start_programs(site, 0)
        await site.wait_until(lambda: any(request.resumes for request in site.seen.requests))
        await site.fronts["front-1"].end(signal.SIGKILL)
        await site.fronts["front-1"].start()
        await asyncio.gather(*running)
        for batch in range(1, MAX_BATCHES):
            if _resumed_versions(site) == {"v1", "v2"}:
                return
            await asyncio.gather(*self._start_programs(site, batch))

    def _start_programs(self, site: SiteInstallation, batch: int) -> "list[asyncio.Task[None]]":
        tasks = []
        for number in range(NUM_PROGRAMS):
            program = make_program(site, f"program-{batch}-{number}", STREAMS)
            program.budget_tokens = BUDGET_TOKENS
            tasks.append(asyncio.create_task(program.run()))
        return tasks

    def _check_resumptions(self, site: SiteInstallation) -> None:
        self.assertEqual(_resumed_versions(site), {"v1", "v2"})
        logs = "".join(front.log.read_text() for front in site.fronts.values())
        self.assertIn(BOUND_MESSAGE, logs)
        self.assertNotIn(names.AUTHORIZATION.decode(), logs)


class ReleaseProcessesTest(unittest.IsolatedAsyncioTestCase):
    # Guards against streams joined from two versions where all fronts are killed in a release.
    async def test_streams_are_not_joined_while_all_fronts_are_killed(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            site = SiteInstallation(Path(folder))
            try:
                await site.start()
                await play_releases(site, random.Random(1), NUM_RELEASES)
                self.assertEqual(list(mixed_streams(site.seen)), [])
                self.assertTrue(any(request.resumes for request in site.seen.requests))
            finally:
                await site.stop()


async def play_releases(site: SiteInstallation, rng: random.Random, count: int) -> None:
    """Replace the runners of streams, and kill all fronts just then, in every other one stores too.

    Half of the clients name no attempt, half of the streams are no turns.
    """
    for number in range(count):
        running = []
        for index in range(4 * NUM_PROGRAMS):
            plan = replace(
                STREAMS,
                stream_kind=RESUMABLE_KINDS[index % 2],
                names_streams=index % 4 < 2,
                stream_retry_s=rng.uniform(0.0, 0.8),
            )
            program = make_program(site, f"release-{number}-{index}", plan)
            program.budget_tokens = BUDGET_TOKENS
            running.append(asyncio.create_task(program.run()))
        await asyncio.sleep(rng.uniform(0.2, 1.0))
        await _release(site, number)
        stores = [*site.stores.values()] if number % 2 else []
        machines = [*stores, *site.fronts.values()]
        await asyncio.gather(*(machine.end(signal.SIGKILL) for machine in machines))
        await asyncio.sleep(rng.uniform(0.0, 0.5))
        for machine in machines:
            await machine.start()
        for front in site.fronts.values():
            await site.wait_ready(front)
        await asyncio.gather(*running)


async def _release(site: SiteInstallation, number: int) -> None:
    """Runners of a new version come; those of the version before leave without a word."""
    departed = {row.runner_id for row in site.seen.departures}
    for server in list(site.runners):
        runner = server.runner
        server.runner.troubles.cut = CUT_SHARE
        if runner.service == STREAM_SERVICE and runner.runner_id not in departed:
            site.unlist_runner(server)
    for index in range(2):
        name = f"release-{number}-{index}"
        await site.add_runner(name, STREAM_SERVICE, ZONES[index], f"v{2 + number}")


def _resumed_versions(site: SiteInstallation) -> set[str]:
    """Versions at which resumed streams went on."""
    resumed = {request.request_id for request in site.seen.requests if request.resumes}
    return {run.software_version for run in site.seen.runs if run.request_id in resumed}
