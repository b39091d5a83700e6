"""Real front and store processes: streams are resumed while runners of two versions serve."""

import asyncio
import signal
import tempfile
import unittest
from pathlib import Path

from bendshed.platform import names
from bendshed.rehearsal.site.demo import make_program
from bendshed.rehearsal.site.documents import STREAM_SERVICE
from bendshed.rehearsal.site.installation import ZONES, SiteInstallation
from bendshed.rehearsal.site.oracle import check_all
from bendshed.rehearsal.site.programs import ProgramPlan

STREAMS = ProgramPlan(turns=0, tools=0, streams=3)
NUM_PROGRAMS = 8
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


def _resumed_versions(site: SiteInstallation) -> set[str]:
    """Versions at which resumed streams went on."""
    resumed = {request.request_id for request in site.seen.requests if request.resumes}
    return {run.software_version for run in site.seen.runs if run.request_id in resumed}
