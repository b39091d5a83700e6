"""Random releases beside random failures, while clients resume their streams."""

from dataclasses import replace
from functools import partial

from bendshed.model.runner import RunnerState, ServiceRunner
from bendshed.rehearsal.search import Game, Step
from bendshed.rehearsal.site.actions import (
    CALM,
    OF_RESTARTS,
    OF_STREAMS,
    OF_UNNAMED,
    WITHIN_A_REGION,
    Action,
)
from bendshed.rehearsal.site.documents import STREAM_SERVICE, WIDE
from bendshed.rehearsal.site.fuzz import MAX_PROGRAMS, SITE, SiteFuzzer, start_in_two_regions
from bendshed.rehearsal.site.oracle import Violation
from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.records import RESUMABLE_KINDS
from bendshed.rehearsal.site.sim_world import BOTH_BIRTHS, SiteWorld, ToldBirths

STREAMS_PER_PROGRAM = 4
MAX_RUNNERS = 12
"""Releases stop once as many runners have been started."""
CUT_SHARE = 0.6
MAX_ENTRY_DELAY_S = 1.2
"""A runner's entry names its new process up to a heartbeat after its start."""
TOLD_BIRTHS = (
    BOTH_BIRTHS,
    BOTH_BIRTHS,
    BOTH_BIRTHS,
    ToldBirths(in_entry=False),
    ToldBirths(in_report=False),
    ToldBirths(in_report=False, instead="soon"),
)
"""By the step: most runners tell their births as they should."""


def apply_step(world: SiteWorld, step: Step[Action]) -> None:
    """Carry one step out and let a little time pass."""
    for program in world.programs:
        program.pick_node = partial(_pick_front, world)
    match step.action:
        case Action.START_STREAMS:
            _start_streams(world)
        case Action.START_UNNAMED_STREAMS:
            _start_unnamed_streams(world, step)
        case Action.POWER_OFF_FRONTS:
            _power_off_fronts(world, step)
        case Action.RELEASE:
            _release(world, step)
        case Action.CUT_STREAMS:
            _cut_streams(world, step)
        case Action.RESTART_RUNNER:
            _restart(world, step, _serving(world)[step.which % 2 :: 2])
        case Action.RESTART_RUNNERS:
            _restart(world, step, _serving(world))
        case _:
            SiteFuzzer(world).apply(step)
            return
    world.run_for(0.05 + step.amount * 0.4)


def _pick_front(world: SiteWorld) -> str:
    """Any front but those that drain, which get no new clients.

    Clients that never rest would otherwise keep a draining front busy until it is killed.
    """
    names = [
        name
        for name, machine in sorted(world.fronts.items())
        if machine.front is None or not machine.front.is_draining
    ]
    return world.rng.choice(names or sorted(world.fronts))


def _start_streams(world: SiteWorld) -> None:
    if len(world.programs) < MAX_PROGRAMS:
        plan = ProgramPlan(turns=0, tools=0, streams=STREAMS_PER_PROGRAM)
        for _ in range(2):
            program = world.start_program(plan)
            program.pick_node = partial(_pick_front, world)


def _start_unnamed_streams(world: SiteWorld, step: Step[Action]) -> None:
    """Start programs whose streams are turns, or are none; their clients name no attempt."""
    if len(world.programs) < MAX_PROGRAMS:
        kind = RESUMABLE_KINDS[step.which % len(RESUMABLE_KINDS)]
        plan = ProgramPlan(
            turns=0,
            tools=0,
            streams=STREAMS_PER_PROGRAM,
            stream_kind=kind,
            names_streams=False,
            stream_retry_s=step.amount,
        )
        for _ in range(2):
            program = world.start_program(plan, tenant=WIDE)
            program.pick_node = partial(_pick_front, world)


def _power_off_fronts(world: SiteWorld, step: Step[Action]) -> None:
    world.count("all fronts lose power")
    for front in world.fronts.values():
        world.kill(front)
    world.run_for(2 * step.amount)
    for front in world.fronts.values():
        world.restart(front)


def _release(world: SiteWorld, step: Step[Action]) -> None:
    """Start a runner of a new or an old version; the oldest one that serves leaves."""
    serving = _serving(world)
    if len(world.runners) >= MAX_RUNNERS or world.registry.is_down or len(serving) < 2:
        return
    world.count("release")
    oldest = serving[0]
    version = f"v{1 + step.which % 3}"
    name = f"{STREAM_SERVICE}-{len(world.runners) + 1}"
    world.add_runner(name, STREAM_SERVICE, oldest.slots, oldest.zone, software_version=version)
    world.drain_runner(oldest.runner_id)


def _serving(world: SiteWorld) -> list[ServiceRunner]:
    return [
        row
        for row in world.listed.values()
        if row.service == STREAM_SERVICE and row.state is RunnerState.READY
    ]


def _restart(world: SiteWorld, step: Step[Action], rows: list[ServiceRunner]) -> None:
    """Start runners again under their ids, each with one of three versions."""
    for number, row in enumerate(rows):
        if not world.runners[row.runner_id].is_dead:
            version = f"v{1 + (step.which + number) % 3}"
            births = TOLD_BIRTHS[(step.which + number) % len(TOLD_BIRTHS)]
            delay_s = MAX_ENTRY_DELAY_S * step.amount
            world.restart_runner(row.runner_id, version, delay_s, births)


def _cut_streams(world: SiteWorld, step: Step[Action]) -> None:
    world.count("all runners cut streams")
    for runner in world.runners.values():
        runner.troubles.cut = CUT_SHARE * step.amount


STREAMS: Game[Action, SiteWorld, Violation] = replace(
    SITE, apply=apply_step, actions=(*WITHIN_A_REGION, *CALM * 2, *OF_STREAMS * 8)
)
UNNAMED_STREAMS = replace(STREAMS, actions=(*STREAMS.actions, *OF_UNNAMED * 10))
STREAMS_WITH_RESTARTS = replace(STREAMS, actions=(*STREAMS.actions, *OF_RESTARTS * 6))
STREAMS_OF_TWO_REGIONS = replace(
    STREAMS,
    start=start_in_two_regions,
    actions=(*STREAMS.actions, Action.SPLIT_REGIONS, Action.KILL_REGION_LEADER),
)
RESTARTS_IN_TWO_REGIONS = replace(
    STREAMS_OF_TWO_REGIONS, actions=(*STREAMS_OF_TWO_REGIONS.actions, *OF_RESTARTS * 6)
)
