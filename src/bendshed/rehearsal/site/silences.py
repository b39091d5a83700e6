"""Silences: connections to the platform's store become silent while operators make changes."""

from dataclasses import dataclass
from enum import StrEnum

from bendshed.platform import names
from bendshed.rehearsal.search import Game, Step
from bendshed.rehearsal.site.silence_world import LateChange, SilenceWorld
from bendshed.rehearsal.site.sim_world import SimMachine
from bendshed.rehearsal.site.sim_zones import RUNNER_ZONES

STEPS_PER_SILENCE = 16
MAX_PAUSE_S = 6.0
MAX_OUTAGE_S = 8.0
MAX_SERIES_GAP_S = 5.0
WATCHED_KINDS = (names.RUNNER_KIND, names.CONFIGURATION_KIND, names.CLOSED_ZONE_KIND)


class Action(StrEnum):
    """What happens; a written trace holds these texts."""

    REST = "rest"
    SILENCE_WATCH = "one watch of a machine becomes silent"
    SILENCE_WATCH_OF_ALL = "one watch of all machines becomes silent"
    SILENCE_SHARE = "a share of all connections becomes silent"
    SILENCE_ALL = "all connections become silent"
    SILENCE_SERIES = "connections become silent again and again"
    CONFIGURATION = "a configuration is written"
    DRAIN_RUNNER = "a runner leaves"
    REPLACE_RUNNER = "a runner is replaced"
    CLOSE_ZONE = "a zone is closed"
    OPEN_ZONES = "zones are opened"
    KILL_FRONT = "a front is killed"
    KILL_STORE = "a store is killed"
    REGISTRY_DOWN = "the platform's store is down"


@dataclass(slots=True)
class Silencer:
    """Carries steps out."""

    world: SilenceWorld

    def apply(self, step: Step[Action]) -> None:
        """Carry one step out and let some time pass."""
        world = self.world
        kind = WATCHED_KINDS[step.which % len(WATCHED_KINDS)]
        match step.action:
            case Action.SILENCE_WATCH:
                world.silence_watch(world.draw.choice(self._machines()), kind)
            case Action.SILENCE_WATCH_OF_ALL:
                for machine in self._machines():
                    world.silence_watch(machine, kind)
            case Action.SILENCE_SHARE:
                self._silence(step.amount)
            case Action.SILENCE_ALL:
                self._silence(1.0)
            case Action.SILENCE_SERIES:
                for _ in range(2 + step.which):
                    self._silence(step.amount)
                    world.run_for(world.draw.uniform(0.0, MAX_SERIES_GAP_S))
            case Action.CONFIGURATION:
                world.publish()
            case Action.DRAIN_RUNNER:
                world.drain_unless_last(world.numbered_runner(step.which))
            case Action.REPLACE_RUNNER:
                world.replace_runner(world.numbered_runner(step.which))
            case Action.CLOSE_ZONE:
                world.close_zone(RUNNER_ZONES[step.which % len(RUNNER_ZONES)])
            case Action.OPEN_ZONES:
                world.open_zones()
            case Action.KILL_FRONT | Action.KILL_STORE:
                self._kill(step)
            case Action.REGISTRY_DOWN:
                world.set_registry_down(True)
                world.run_for(step.amount * MAX_OUTAGE_S)
                world.set_registry_down(False)
        world.run_for(MAX_PAUSE_S * world.draw.random() ** 2)

    def _machines(self) -> list[SimMachine]:
        return [*self.world.fronts.values(), *self.world.stores.values()]

    def _silence(self, share: float) -> None:
        for machine in self._machines():
            self.world.silence(machine, share)

    def _kill(self, step: Step[Action]) -> None:
        world = self.world
        machines = world.fronts if step.action is Action.KILL_FRONT else world.stores
        machine = machines[sorted(machines)[step.which % len(machines)]]
        world.kill(machine)
        world.run_for(2 * step.amount)
        world.restart(machine)


class SilenceGame(Game[Action, SilenceWorld, LateChange]):
    """Fewer steps a world, since each lets seconds pass."""

    def random_steps(self, seed: int, count: int) -> list[Step[Action]]:
        """Steps of one world."""
        return Game.random_steps(self, seed, min(count, STEPS_PER_SILENCE))


SILENCES = SilenceGame(
    start=SilenceWorld.opened,
    apply=lambda world, step: Silencer(world).apply(step),
    actions=(
        *Action,
        Action.SILENCE_WATCH,
        *(Action.SILENCE_WATCH_OF_ALL,) * 2,
        Action.SILENCE_SHARE,
        *(Action.CONFIGURATION,) * 4,
    ),
    read_action=Action,
    describe=lambda late: f"known in time: {late}",
)
