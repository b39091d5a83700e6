"""Injected defects of cold runner handling, and scenarios that must detect them."""

from bendshed.admission.cold_permits import LeadershipTracker
from bendshed.catalog.cold_runner_tracker import ColdRunnerTracker
from bendshed.model.permit import TimedPermit
from bendshed.model.runner import ServiceRunner
from bendshed.placement.cold_runners import ColdRunners
from bendshed.rehearsal.site.documents import WIDE
from bendshed.rehearsal.site.oracle import Rule, Violation
from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.sim_world import SiteWorld
from bendshed.services.permit_client import PermitClient, RunnerPermit
from tests.site_defects import Defect, patch, world

LONG_COLD_S = 60.0


def cool_all_runners(site: SiteWorld, for_s: float = LONG_COLD_S) -> None:
    for name in list(site.listed):
        site.cool_runner(name, for_s)


def flood(site: SiteWorld, count: int, tools: int = 0, turns: int = 2) -> None:
    for _ in range(count):
        site.start_program(ProgramPlan(turns=turns, tools=tools), tenant=WIDE)


def all_cold_while_leaders_change(seed: int) -> list[Violation]:
    """Each leader is killed during a flood; the next one serves within the same second."""
    with world(seed) as site:
        cool_all_runners(site)
        site.run_for(2.5)
        for _ in range(4):
            flood(site, 60)
            site.run_for(0.15)
            leader = site.leader()
            if leader is not None:
                site.kill(leader)
                site.run_for(1.0)
                site.restart(leader)
            site.run_for(2.0)
        return site.settle()


def all_cold_while_fronts_are_isolated(seed: int) -> list[Violation]:
    """Calls flood the cold tool runners through fronts that reach no replica machine."""
    with world(seed) as site:
        flood(site, 40, tools=8, turns=4)
        site.run_for(0.6)
        cool_all_runners(site)
        site.run_for(2.2)
        for front in site.fronts.values():
            site.network.cuts.update((front.host, store.host) for store in site.stores.values())
        site.run_for(3.0)
        site.network.cuts.clear()
        flood(site, 20, tools=8)
        site.run_for(4.0)
        return site.settle()


def all_cold_long_after_startup(seed: int) -> list[Violation]:
    """Runners turn cold again long after all processes started."""
    with world(seed) as site:
        site.run_for(10.0)
        cool_all_runners(site, for_s=9.0)
        site.run_for(2.2)
        flood(site, 80, tools=2)
        site.run_for(6.0)
        return site.settle()


def one_cold_runner_is_left(seed: int) -> list[Violation]:
    """The other engines are drained, so every turn needs the one that has just started."""
    with world(seed) as site:
        site.replace_runner("engine-1")
        site.drain_runner("engine-2")
        site.drain_runner("engine-3")
        flood(site, 40)
        site.run_for(3.0)
        return site.settle()


def _full_share(_tracker: LeadershipTracker, _now_s: float) -> float:
    return 1.0


async def _permit_without_request(
    permits: PermitClient, request: object, demand: object
) -> RunnerPermit:
    return RunnerPermit("tool-1", TimedPermit(float("inf")))


def _note_remaining_time_as_deadline(
    cold: ColdRunners, runner: ServiceRunner, left_s: float, now_s: float
) -> float:
    """Count the time left from zero of the sender's clock instead of from the time of receipt."""
    _REAL_NOTE(cold, runner, left_s, now_s)
    if left_s > 0:
        cold.cold_until_s[runner.runner_id] = left_s
    return left_s


_REAL_NOTE = ColdRunners._note


COLD_DEFECTS: dict[str, Defect] = {
    "each new leader grants the whole limit of the cold runners at once": Defect(
        Rule.COLD, all_cold_while_leaders_change, patch(LeadershipTracker, "share", _full_share)
    ),
    "a front sends to cold runners without requesting a permit": Defect(
        Rule.COLD,
        all_cold_while_fronts_are_isolated,
        patch(PermitClient, "request_permit", _permit_without_request),
    ),
    "the remaining cold time is counted from another clock": Defect(
        Rule.COLD,
        all_cold_long_after_startup,
        patch(ColdRunners, "_note", _note_remaining_time_as_deadline),
    ),
    "a runner that has just started counts as warm": Defect(
        Rule.COLD,
        one_cold_runner_is_left,
        patch(ColdRunnerTracker, "is_cold", lambda _s, _r: False),
    ),
}
