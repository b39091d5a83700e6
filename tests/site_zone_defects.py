"""Injected defects of closed zone handling, and scenarios that must detect them."""

import contextlib
from collections.abc import Collection
from unittest import mock

from bendshed.catalog import codec
from bendshed.placement.node_choice import Choice
from bendshed.placement.zones import RunnerFilter, ZoneChanges, ZoneRecord, ZoneUpdate
from bendshed.rehearsal.site.oracle import Rule, Violation
from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.sim_world import SiteWorld
from bendshed.rehearsal.site.sim_zones import ZONE_CLOSE_S
from bendshed.services.runner_placement import RunnerPlacement
from tests.site_defects import Defect, patch, world

CLOSED_ZONE = "zone-b"


def run_programs(site: SiteWorld, seconds: int) -> None:
    """Start two programs per second."""
    for _ in range(2 * seconds):
        site.start_program(ProgramPlan(turns=2, tools=2))
        site.run_for(0.5)


def runners_shed_load_while_a_zone_is_closed(seed: int) -> list[Violation]:
    with world(seed) as site:
        site.close_zone(CLOSED_ZONE)
        for runner in site.runners.values():
            runner.troubles.shed = 0.5
        run_programs(site, 8)
        return site.settle()


def all_restart_without_registry_while_a_zone_is_closed(seed: int) -> list[Violation]:
    with world(seed) as site:
        site.close_zone(CLOSED_ZONE)
        site.run_for(ZONE_CLOSE_S)
        site.zones.mark_stored(site.loop.time())
        site.registry.is_down = True
        site.seen.begin_blindness("", site.loop.time())
        machines = [*site.fronts.values(), *site.stores.values()]
        for machine in machines:
            site.kill(machine)
        site.run_for(0.5)
        for machine in machines:
            site.restart(machine)
        site.run_for(1.0)
        run_programs(site, 4)
        return site.settle()


def older_updates_arrive_after_a_closing(seed: int) -> list[Violation]:
    """While registry answers are lost, fronts sometimes receive older updates."""
    with world(seed) as site:
        for _ in range(2):
            site.close_zone(CLOSED_ZONE)
            site.run_for(1.0)
            site.registry.answer_loss = 0.5
            run_programs(site, 6)
            site.registry.answer_loss = 0.0
            site.open_zones()
            site.run_for(1.0)
        return site.settle()


def a_zone_is_closed_and_opened(seed: int) -> list[Violation]:
    with world(seed) as site:
        site.close_zone(CLOSED_ZONE)
        run_programs(site, 5)
        site.open_zones()
        run_programs(site, 2)
        site.close_zone("zone-a")
        run_programs(site, 5)
        return site.settle()


_REAL_CHOOSE = RunnerPlacement.choose


def _retry_in_any_zone(
    placement: RunnerPlacement, tried: Collection[str], now_s: float
) -> Choice | None:
    """Defect: a retry considers all runners, including those in closed zones."""
    if not tried:
        return _REAL_CHOOSE(placement, tried, now_s)
    with mock.patch.object(placement.ports.table, "filter", RunnerFilter()):
        return _REAL_CHOOSE(placement, tried, now_s)


def _retries_ignore_closed_zones() -> contextlib.AbstractContextManager[object]:
    return mock.patch.multiple(
        RunnerPlacement, choose=_retry_in_any_zone, may_dispatch_to=lambda *_args: True
    )


_REAL_APPLY = ZoneRecord.apply


def _apply_any_update(record: ZoneRecord, update: ZoneUpdate, now_s: float) -> ZoneChanges:
    """Defect: an older update is applied like a newer one."""
    changes = _REAL_APPLY(record, update, now_s)
    record.zones = update.zones
    return changes


def _apply_older_updates() -> contextlib.AbstractContextManager[object]:
    return mock.patch.object(ZoneRecord, "apply", _apply_any_update)


ZONE_DEFECTS: dict[str, Defect] = {
    "a retry is sent to a closed zone": Defect(
        Rule.CLOSED, runners_shed_load_while_a_zone_is_closed, _retries_ignore_closed_zones
    ),
    "closed zones are lost in a restart": Defect(
        Rule.CLOSED,
        all_restart_without_registry_while_a_zone_is_closed,
        patch(codec, "add_zones", lambda *_args, **_kwargs: None),
    ),
    "an older update of closed zones is applied": Defect(
        Rule.CLOSED, older_updates_arrive_after_a_closing, _apply_older_updates
    ),
    "closed zones are not checked": Defect(
        Rule.CLOSED,
        a_zone_is_closed_and_opened,
        patch(RunnerFilter, "allows", lambda *_args: True),
    ),
}
