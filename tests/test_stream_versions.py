"""Streams that clients take up again while runners of two software versions serve."""

import contextlib
import logging
import unittest
from collections.abc import Iterator

from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.sim_streams import mixed_streams
from bendshed.rehearsal.site.sim_world import SiteWorld

SEEDS = range(1, 4)
STREAMS = ProgramPlan(turns=0, tools=0, streams=3)


@contextlib.contextmanager
def half_released_site(seed: int) -> Iterator[SiteWorld]:
    """Two runners of each version serve side by side; each breaks off some of its streams."""
    site = SiteWorld.started(seed)
    try:
        for name in ("engine-1", "engine-2", "engine-3"):
            site.drain_runner(name)
        for number, version in enumerate(("v1", "v1", "v2", "v2")):
            site.add_runner(f"released-{number + 1}", "engines", 8, software_version=version)
        site.run_for(3.0)
        for runner in site.runners.values():
            runner.troubles.cut = 0.4
        yield site
    finally:
        site.close()


class StreamVersionsTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    # Guards against answers that are joined from events of two software versions of a service.
    def test_resumed_streams_stay_at_the_version_that_began_them(self) -> None:
        mixed: list[str] = []
        for seed in SEEDS:
            with half_released_site(seed) as site:
                for _ in range(12):
                    site.start_program(STREAMS)
                site.run_for(3.0)
                for front in list(site.fronts.values())[:2]:
                    site.kill(front)
                    site.run_for(0.3)
                    site.restart(front)
                site.run_for(12.0)
                mixed += [f"seed {seed}: {detail}" for detail in mixed_streams(site.seen)]
                self.assertEqual(site.settle(), [])
        self.assertEqual(mixed, [])
