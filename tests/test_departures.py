"""Runners whose entries go: those that leave, and live ones whose entries lapse in an outage."""

import asyncio
import logging
import unittest
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from unittest import mock

from bendshed.catalog.times import CatalogTimes
from bendshed.rehearsal.site import oracle, silence_world, sim_world
from bendshed.rehearsal.site.departures import DEPARTURES, STEPS_PER_DEPARTURE
from bendshed.rehearsal.site.documents import WIDE
from bendshed.rehearsal.site.layout import SMALL
from bendshed.rehearsal.site.oracle import DRAIN_S, Violation, check_drains
from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.records import Kind, SiteRequest
from bendshed.rehearsal.site.silence_world import LARGE, SilenceWorld
from bendshed.rehearsal.site.sim_caller import CALLER_LATENCY_S
from bendshed.rehearsal.site.sim_world import APPLY_S, CONTACT_S, HISTORY_S
from bendshed.rehearsal.site.sim_zones import ZONE_CLOSE_S
from tests.site_departure_defects import DEFECTS

OUTAGE_S = 4.5
REENTRY_S = 1.8
"""Live runners whose entries lapsed write them again this long after the outage."""
REQUEST_INTERVAL_S = 0.05
SEEDS = (5, 12, 22)
SERVICES = {"tools": Kind.UNREPEATABLE, "engines": Kind.TURN}
SITES = ((SMALL, 1), (SMALL, 2), (LARGE, 3))
"""Sites whose nodes each read the registry, and one where a store reads it for all."""

SetOutage = Callable[[SilenceWorld, bool], None]
OUTAGES: dict[str, SetOutage] = {
    "silent": SilenceWorld.set_registry_down,
    "busy": SilenceWorld.set_registry_busy,
}


class DepartureTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    # Guards against requests that reach runners later than they may after their entries went,
    # although the registry had been well again for long enough.
    def test_runners_that_leave_soon_after_an_outage_get_no_late_requests(self) -> None:
        for after_s in (CONTACT_S, CONTACT_S + 0.4, 4.4):
            for name, world in self.outages():
                with self.subTest(name, after_s=after_s):
                    world.run_for(after_s)
                    self.leave(world, "tools")
                    self.check_drained(world)

    # The same where the installation's bounds are shorter or longer.
    def test_runners_that_leave_get_no_late_requests_within_other_bounds(self) -> None:
        for factor in (0.5, 2.0):
            with self.subTest(factor=factor), scaled_bounds(factor):
                world = self.open(SMALL, 6)
                self.send(world, "tools")
                world.set_registry_down(True)
                world.run_for(OUTAGE_S)
                world.set_registry_down(False)
                world.run_for(factor * CONTACT_S)
                self.leave(world, "tools")
                self.check_drained(world)

    # The same where a watch was cut, which is no outage.
    def test_runners_that_leave_beside_a_cut_watch_get_no_late_requests(self) -> None:
        for layout, seed in SITES:
            with self.subTest(seed=seed):
                world = self.open(layout, seed)
                self.send(world, "tools")
                world.run_for(1.0)
                world.cut_watches()
                world.run_for(0.1)
                self.leave(world, "tools")
                self.check_drained(world)

    # The same where a runner said that it leaves before the registry went away.
    def test_runners_that_said_they_leave_get_no_requests_after_an_outage(self) -> None:
        world = self.open(SMALL, 5)
        self.send(world, "tools")
        world.run_for(1.0)
        for runner in world.runners_of("tools"):
            world.drain_runner(runner)
        world.run_for(1.0)
        world.set_registry_down(True)
        for runner in world.runners_of("tools"):
            world.unlist(runner)
        world.run_for(OUTAGE_S)
        world.set_registry_down(False)
        self.check_drained(world)

    # Guards against live runners that are not used since their entries lapsed in an outage.
    def test_runners_whose_entries_lapsed_in_an_outage_are_used_meanwhile(self) -> None:
        for service in SERVICES:
            for name, world in self.outages(lapsing=service):
                with self.subTest(name, service=service):
                    returned_s = world.loop.time()
                    world.run_for(REENTRY_S + 1.0)
                    sent_s = [r.sent_s for r in world.seen.requests if not is_served(r)]
                    # From then on they count as just started, and get fewer requests for a while.
                    # A request that is sent as the entry is written arrives behind it.
                    relisted_s = returned_s + REENTRY_S - CALLER_LATENCY_S
                    meanwhile = [at for at in sent_s if at < relisted_s]
                    self.assertEqual(meanwhile, [])

    def test_seeded_worlds_with_departures(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(self.play(seed), [])

    def test_planted_defects_are_found(self) -> None:
        for name, plant in DEFECTS.items():
            with self.subTest(defect=name), plant():
                self.assertTrue(any(self.play(seed) for seed in SEEDS))

    def play(self, seed: int) -> list[Violation]:
        steps = DEPARTURES.random_steps(seed, STEPS_PER_DEPARTURE)
        world, violations = DEPARTURES.run(seed, steps)
        world.close()
        return violations

    def outages(self, lapsing: str = "") -> Iterator[tuple[str, SilenceWorld]]:
        """Worlds in which the registry has just returned.

        ``lapsing``: the entries of this service's runners lapse at the end of the outage, and are
        written again later; requests to it are sent from then on.
        """
        for layout, seed in SITES:
            for name, set_outage in OUTAGES.items():
                world = self.open(layout, seed)
                if not lapsing:
                    self.send(world, "tools")
                set_outage(world, True)
                world.run_for(OUTAGE_S)
                if lapsing:
                    entries = [world.unlist(runner) for runner in world.runners_of(lapsing)]
                    for entry in entries:
                        world.loop.call_later(REENTRY_S, partial(world.relist, entry))
                set_outage(world, False)
                if lapsing:
                    self.send(world, lapsing)
                yield f"{name}, seed {seed}", world

    def open(self, layout: object, seed: int) -> SilenceWorld:
        world = SilenceWorld.started(seed, layout)  # type: ignore[arg-type]
        self.addCleanup(world.close)
        world.run_for(2 * CONTACT_S)
        return world

    def send(self, world: SilenceWorld, service: str) -> None:
        """Send requests from now on, at every front in turn."""
        world.clients.spawn(world.loop, self._send(world, SERVICES[service]))

    async def _send(self, world: SilenceWorld, kind: Kind) -> None:
        plan = ProgramPlan(turns=0, tools=0)
        program = world.start_program(plan, budget_tokens=10**9, tenant=WIDE)
        fronts = sorted(world.fronts)
        number = 0
        while True:
            number += 1
            request = program.make_request(kind, body=b"x", events=2)
            request.node = fronts[number % len(fronts)]
            world.clients.spawn(world.loop, world.send(request))
            await asyncio.sleep(REQUEST_INTERVAL_S)

    def leave(self, world: SilenceWorld, service: str) -> None:
        for runner in world.runners_of(service):
            world.leave_without_notice(runner)

    def check_drained(self, world: SilenceWorld) -> None:
        num_before = len(world.seen.runs)
        world.run_for(oracle.DRAIN_S + 2.0)
        self.assertGreater(num_before, 10)
        self.assertEqual(list(check_drains(world.seen)), [])


@contextmanager
def scaled_bounds(factor: float) -> Iterator[None]:
    """Bounds of the installation that are longer by a factor."""
    zone_close_s, contact_s, drain_s = factor * ZONE_CLOSE_S, factor * CONTACT_S, factor * DRAIN_S
    times = CatalogTimes.within(factor * APPLY_S, HISTORY_S, zone_close_s, contact_s, drain_s)
    with (
        mock.patch.object(sim_world, "TIMES", times),
        mock.patch.object(silence_world, "TIMES", times),
        mock.patch.object(oracle, "DRAIN_S", drain_s),
    ):
        yield


def is_served(request: SiteRequest) -> bool:
    """Whether a request that is over was answered whole."""
    return not request.is_over or (request.status == 200 and request.is_whole)
