"""Real front and store processes while operators close a zone; waits for their log lines."""

import itertools
import signal
import tempfile
import unittest
from pathlib import Path

from bendshed.catalog.codec import decode_stored
from bendshed.catalog.file import FileCatalogStorage
from bendshed.platform import names
from bendshed.rehearsal.site.demo import make_program
from bendshed.rehearsal.site.installation import ZONES, SiteInstallation, SiteProcess
from bendshed.rehearsal.site.programs import ProgramPlan

CLOSED = ZONES[1]
ZONE_CLOSE_MS = 3_000
PLAN = ProgramPlan(turns=3, tools=2)


class ZoneProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def test_closed_zone_survives_a_restart_while_the_registry_is_down(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            site = SiteInstallation(Path(folder), ZONE_CLOSE_MS)
            try:
                await site.start(num_fronts=2)
                await self.close(site)
                await self.assert_served_elsewhere(site, "closed")
                await self.restart_without_registry(site)
                await self.assert_served_elsewhere(site, "dark")
                await self.open(site)
                await self.assert_served_in_reopened_zone(site)
            finally:
                await site.stop()

    def processes(self, site: SiteInstallation) -> list[SiteProcess]:
        return [*site.fronts.values(), *site.stores.values()]

    async def close(self, site: SiteInstallation) -> None:
        site.metadata.put(names.CLOSED_ZONE_KIND, CLOSED, {})
        for process in self.processes(site):
            await site.wait_for_line(process, "zones: zone closed")

    async def restart_without_registry(self, site: SiteInstallation) -> None:
        await site.wait_until(lambda: all(self.is_stored(site, name) for name in site.stores))
        site.metadata.is_down = True
        for process in self.processes(site):
            await process.end(signal.SIGKILL)
        for process in self.processes(site):
            await process.start()
        for front in site.fronts.values():
            await site.wait_ready(front)

    def is_stored(self, site: SiteInstallation, store: str) -> bool:
        stored = decode_stored(FileCatalogStorage(site.folder / store).load())
        return stored.zones.zones.closed == {CLOSED}

    async def open(self, site: SiteInstallation) -> None:
        site.metadata.is_down = False
        site.metadata.delete(names.CLOSED_ZONE_KIND, CLOSED)
        for process in self.processes(site):
            await site.wait_for_line(process, "zones: zone open again")

    async def run_until_a_program_finishes(self, site: SiteInstallation) -> None:
        """Runners of a reopened zone are cold at first, so some programs are refused."""
        for number in itertools.count():
            program = make_program(site, f"cold-{number}", PLAN)
            await program.run()
            if program.finished:
                return

    async def zones_of_program(self, site: SiteInstallation, name: str) -> set[str]:
        """Run a program and return the zones of the runners that served its requests."""
        program = make_program(site, name, PLAN)
        await program.run()
        self.assertTrue(program.finished, program.statuses)
        runs = [run for run in site.seen.runs if run.program_id == name]
        self.assertGreaterEqual(len(runs), PLAN.turns)
        return {site.seen.zones_of[run.runner_id] for run in runs}

    async def assert_served_elsewhere(self, site: SiteInstallation, name: str) -> None:
        for number in range(3):
            self.assertEqual(await self.zones_of_program(site, f"{name}-{number}"), {ZONES[0]})

    async def assert_served_in_reopened_zone(self, site: SiteInstallation) -> None:
        site.metadata.put(names.CLOSED_ZONE_KIND, ZONES[0], {})
        for process in self.processes(site):
            await site.wait_for_line(process, "zones: zone closed", times=3)
        await self.run_until_a_program_finishes(site)
        self.assertEqual(await self.zones_of_program(site, "open"), {CLOSED})


if __name__ == "__main__":
    unittest.main()
