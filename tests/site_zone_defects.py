"""Planted defects around closed zones, and scenarios that must catch them."""

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

CLOSED = "zone-b"


def play(site: SiteWorld, seconds: int) -> None:
    """Programs that begin all the while."""
    for _ in range(2 * seconds):
        site.start_program(ProgramPlan(turns=2, tools=2))
        site.run_for(0.5)


def runners_shed_beside_a_closed_zone(seed: int) -> list[Violation]:
    with world(seed) as site:
        site.close_zone(CLOSED)
        for runner in site.runners.values():
            runner.troubles.shed = 0.5
        play(site, 8)
        return site.settle()


def all_start_in_the_dark_with_a_closed_zone(seed: int) -> list[Violation]:
    with world(seed) as site:
        site.close_zone(CLOSED)
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
        play(site, 4)
        return site.settle()


def older_words_come_after_a_closing(seed: int) -> list[Violation]:
    """While answers are lost, fronts hear older words now and then."""
    with world(seed) as site:
        for _ in range(2):
            site.close_zone(CLOSED)
            site.run_for(1.0)
            site.registry.answer_loss = 0.5
            play(site, 6)
            site.registry.answer_loss = 0.0
            site.open_zones()
            site.run_for(1.0)
        return site.settle()


def a_zone_is_closed_and_opened(seed: int) -> list[Violation]:
    with world(seed) as site:
        site.close_zone(CLOSED)
        play(site, 5)
        site.open_zones()
        play(site, 2)
        site.close_zone("zone-a")
        play(site, 5)
        return site.settle()


_REAL_CHOOSE = RunnerPlacement.choose


def _choose_anywhere_again(
    placement: RunnerPlacement, tried: Collection[str], now_s: float
) -> Choice | None:
    """A retry looks at all runners."""
    if not tried:
        return _REAL_CHOOSE(placement, tried, now_s)
    with mock.patch.object(placement.ports.table, "filter", RunnerFilter()):
        return _REAL_CHOOSE(placement, tried, now_s)


def _retries_go_anywhere() -> contextlib.AbstractContextManager[object]:
    return mock.patch.multiple(
        RunnerPlacement, choose=_choose_anywhere_again, may_dispatch_to=lambda *_args: True
    )


_REAL_TAKE = ZoneRecord.apply


def _take_any_word(record: ZoneRecord, word: ZoneUpdate, now_s: float) -> ZoneChanges:
    """An older word counts like a newer one."""
    changes = _REAL_TAKE(record, word, now_s)
    record.zones = word.zones
    return changes


def _listen_to_older_words() -> contextlib.AbstractContextManager[object]:
    return mock.patch.object(ZoneRecord, "apply", _take_any_word)


ZONE_DEFECTS: dict[str, Defect] = {
    "a retry goes into a closed zone": Defect(
        Rule.CLOSED, runners_shed_beside_a_closed_zone, _retries_go_anywhere
    ),
    "a restart forgets a closing": Defect(
        Rule.CLOSED,
        all_start_in_the_dark_with_a_closed_zone,
        patch(codec, "add_zones", lambda *_args, **_kwargs: None),
    ),
    "an older word of closed zones is taken": Defect(
        Rule.CLOSED, older_words_come_after_a_closing, _listen_to_older_words
    ),
    "nobody asks whether a zone is closed": Defect(
        Rule.CLOSED,
        a_zone_is_closed_and_opened,
        patch(RunnerFilter, "allows", lambda *_args: True),
    ),
}
