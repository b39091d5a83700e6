"""Requests under which runners end, beside random failures."""

from dataclasses import replace

from bendshed.rehearsal.search import Game, Step
from bendshed.rehearsal.site.actions import CALM, OF_FATAL, Action
from bendshed.rehearsal.site.fuzz import MAX_PROGRAMS, REGIONS, SITE, SiteFuzzer
from bendshed.rehearsal.site.oracle import Violation
from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.records import Kind
from bendshed.rehearsal.site.runner import FatalInput
from bendshed.rehearsal.site.sim_world import SiteWorld

FATAL_KINDS = (Kind.REPEATABLE, Kind.RESUMABLE_TURN, Kind.TURN)
MAX_EQUAL = 3
MAX_RUNNERS = 60
"""Programs with such requests are not started any more once this many runners were."""


def apply_step(world: SiteWorld, step: Step[Action]) -> None:
    """Carry one step out and let a little time pass."""
    match step.action:
        case Action.START_FATAL:
            _start_fatal(world, step)
        case Action.RESTART_ENDED:
            world.restarts_ended_runners = step.which % 3 == 0
            world.ended_runners_are_silent = step.which % 3 == 1
            world.ended_runners_stay_listed = step.which % 2 == 1
        case _:
            SiteFuzzer(world).apply(step)
            return
    world.run_for(0.05 + step.amount * 0.4)


def _start_fatal(world: SiteWorld, step: Step[Action]) -> None:
    if len(world.programs) >= MAX_PROGRAMS or len(world.runners) >= MAX_RUNNERS:
        return
    inputs = tuple(FatalInput)
    kind = FATAL_KINDS[step.which % len(FATAL_KINDS)]
    # An equal turn that is answered is stored, and other programs continue it.
    num_equal = 0 if kind is Kind.TURN else step.which // len(FATAL_KINDS) % MAX_EQUAL
    plan = ProgramPlan(
        turns=1,
        tools=1,
        fatal=inputs[int(step.amount * len(inputs)) % len(inputs)],
        fatal_kind=kind,
        num_equal=num_equal,
    )
    world.start_program(plan)


MORE_ACTIONS = (*CALM * 10, *OF_FATAL * 25)
"""Only tries that are sent while all machines are in touch are judged."""
FATAL: Game[Action, SiteWorld, Violation] = replace(
    SITE, apply=apply_step, actions=(*SITE.actions, *MORE_ACTIONS)
)
FATAL_IN_TWO_REGIONS = replace(REGIONS, apply=apply_step, actions=(*REGIONS.actions, *MORE_ACTIONS))
