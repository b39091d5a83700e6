"""Turns that continue a turn which ended while their route had other times."""

import logging
import unittest
from collections.abc import Callable
from functools import partial

from bendshed.rehearsal.search import STEPS_PER_WORLD
from bendshed.rehearsal.site.documents import TurnRouteTimes
from bendshed.rehearsal.site.fuzz import CHANGED_ROUTES, CHANGED_ROUTES_IN_TWO_REGIONS
from bendshed.rehearsal.site.layout import TWO_REGIONS, TWO_REGIONS_WITH_TENANTS
from bendshed.rehearsal.site.programs import AgentProgram, ProgramPlan
from bendshed.rehearsal.site.records import SiteRequest
from bendshed.rehearsal.site.sim_world import SiteWorld

ONE_TURN = ProgramPlan(turns=1, tools=0)
SHORT = TurnRouteTimes(timeout_ms=1_200)
LONG = TurnRouteTimes(timeout_ms=30_000)
LONGEST = TurnRouteTimes(timeout_ms=200_000)
LONG_AND_FORGETFUL = TurnRouteTimes(timeout_ms=30_000, retention_ms=2_000)
APPLIED_S = 2.0
SEED = 1
BEFORE_THE_END_S = 0.02
"""How long before its retention is over a turn is continued."""
SLOWNESS = 40.0
"""A turn then outlasts its chain's storage as it was when the turn began."""

Change = Callable[[SiteWorld], None]


def change(*times: TurnRouteTimes) -> Change:
    """Operators change the route, once or more."""

    def apply(site: SiteWorld) -> None:
        for each in times:
            site.change_turn_route(each)
            site.run_for(APPLIED_S)

    return apply


def raise_and_lose_the_leader(site: SiteWorld) -> None:
    """A time-out is raised; the leader is killed and starts again."""
    change(LONG)(site)
    leader = site.leader()
    assert leader is not None
    site.kill(leader)
    site.run_for(2.0)
    site.restart(leader)
    site.run_for(2.0)


def raise_and_lose_power(site: SiteWorld) -> None:
    """A time-out is raised; all machines lose power and start again."""
    change(LONG)(site)
    machines = [*site.fronts.values(), *site.stores.values()]
    for machine in machines:
        site.kill(machine)
    for machine in machines:
        site.restart(machine)
    site.wait_for(site.is_led, 20.0)


CHANGES: dict[str, Change] = {
    "raised": change(LONG),
    "raised far": change(LONGEST),
    "raised twice": change(TurnRouteTimes(timeout_ms=9_000), LONG),
    "raised, with a shorter retention": change(LONG_AND_FORGETFUL),
    "raised, and the leader lost": raise_and_lose_the_leader,
    "raised, and all power lost": raise_and_lose_power,
}


class ChangedRouteTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    # Guards against a stored turn that is answered 404 within its retention, since its route got a
    # longer time-out after it had ended.
    def test_turn_is_found_after_its_route_got_a_longer_timeout(self) -> None:
        for name, apply in CHANGES.items():
            with self.subTest(name):
                self.continue_turns(SiteWorld.started(1), apply, BEFORE_THE_END_S)

    def test_turn_is_found_at_any_time_before_its_retention_is_over(self) -> None:
        for early_s in (0.7, 3.0):
            with self.subTest(early_s=early_s):
                self.continue_turns(SiteWorld.started(1), change(LONG), early_s)

    # The same where another group, or another region's front, is requested first.
    def test_turn_is_found_by_every_group(self) -> None:
        for layout in (TWO_REGIONS, TWO_REGIONS_WITH_TENANTS):
            with self.subTest(layout=layout):
                self.continue_turns(SiteWorld.started(2, layout), change(LONG), BEFORE_THE_END_S)

    # Guards against a chain that expires while a turn continues it for longer than the chain's
    # turns were stored for: later turns would be refused.
    def test_chain_outlasts_a_turn_that_runs_longer_than_it_was_stored(self) -> None:
        site = self.site(SiteWorld.started(3))
        first = self.first_turn(site)
        change(LONG)(site)
        self.run_until(site, first.ended_s + site.seen.retention_s - BEFORE_THE_END_S)
        for runner in site.runners.values():
            runner.troubles.slow = SLOWNESS
        began_s = site.loop.time()
        second = self.continue_at(site, "front-1", first.request_id)
        took_s = next(r for r in site.seen.requests if r.previous == first.request_id).ended_s
        self.assertGreater(took_s - began_s, 2 * SHORT.timeout_ms / 1000 + 5.0)
        for runner in site.runners.values():
            runner.troubles.slow = 1.0
        for front in sorted(site.fronts):
            third = self.continue_at(site, front, second.last_turn)
            self.assertEqual(third.statuses, [200], front)

    # Guards against the same beside random failures.
    def test_seeded_worlds_with_changed_routes(self) -> None:
        for game in (CHANGED_ROUTES, CHANGED_ROUTES_IN_TWO_REGIONS):
            world, violations = game.run(SEED, game.random_steps(SEED, STEPS_PER_WORLD))
            world.close()
            self.assertEqual(violations, [])

    def continue_turns(self, world: SiteWorld, apply: Change, early_s: float) -> None:
        """Continue a turn twice after a change, then the newer ones at each front."""
        site = self.site(world)
        first = self.first_turn(site)
        apply(site)
        self.run_until(site, first.ended_s + site.seen.retention_s - early_s)
        forks = [self.continue_at(site, front, first.request_id) for front in sorted(site.fronts)]
        self.assertEqual([fork.statuses for fork in forks], [[200]] * len(forks))
        for front, fork in zip(sorted(site.fronts, reverse=True), forks, strict=True):
            self.assertEqual(self.continue_at(site, front, fork.last_turn).statuses, [200], front)
        self.assertEqual(site.settle(), [])

    def site(self, world: SiteWorld) -> SiteWorld:
        """A site whose turns have a short time-out."""
        self.addCleanup(world.close)
        world.change_turn_route(SHORT)
        world.run_for(APPLIED_S)
        return world

    def first_turn(self, site: SiteWorld) -> SiteRequest:
        program = site.start_program(ONE_TURN)
        site.run_for(3.0)
        return next(r for r in site.seen.requests if r.request_id == program.last_turn)

    def continue_at(self, site: SiteWorld, front: str, turn: str) -> AgentProgram:
        program = site.start_program(ONE_TURN, continues=turn)
        program.pick_node = partial(str, front)
        site.wait_for(lambda: program.finished or 404 in program.statuses, 60.0)
        return program

    def run_until(self, site: SiteWorld, at_s: float) -> None:
        site.run_for(at_s - site.loop.time())
