"""Registry faults: calls for some kinds, or of some machines, fail while operators make changes."""

from dataclasses import dataclass
from enum import StrEnum

from bendshed.rehearsal.search import Game, Step
from bendshed.rehearsal.site.registry_fault_world import ALL_KINDS, RegistryFaultWorld
from bendshed.rehearsal.site.registry_faults import FaultMode, RegistryFault
from bendshed.rehearsal.site.sim_world import CONTACT_S, SimMachine
from bendshed.rehearsal.site.sim_zones import RUNNER_ZONES

STEPS_PER_FAULT_WORLD = 14
MAX_PAUSE_S = 6.0
LONG_PAUSE_S = 70.0
MAX_DOWN_S = 3.0
NUM_STORM_CHANGES = 6
STORM_GAP_S = 0.33
MAX_CHANGES_IN_FAULT = 2
ODD_SPECS: tuple[object, ...] = ({}, [], None, "x", {"service": 1}, {"service": "engines"})
MODES = tuple(FaultMode)


class Action(StrEnum):
    """What happens; a written trace holds these texts."""

    REST = "rest"
    LONG_REST = "rest for more than a minute"
    FAULT_OF_A_KIND = "calls for one kind fail"
    FAULT_OF_OTHER_KINDS = "calls for all kinds but one fail"
    FAULT_OF_MACHINES = "calls of some machines fail"
    FAULT_OF_STORES = "calls of all stores and some fronts fail"
    END_FAULTS = "no call fails any more"
    FORGET_HISTORY = "the history of changes is forgotten"
    ODD_ENTRY = "another writer puts an odd entry"
    CONFIGURATION = "a configuration is written"
    STORM = "configurations are written in quick succession"
    DRAIN_RUNNER = "a runner leaves"
    REPLACE_RUNNER = "a runner is replaced"
    CLOSE_ZONE = "a zone is closed"
    OPEN_ZONES = "zones are opened"
    KILL_FRONT = "a front is killed"
    KILL_STORE = "a store is killed"
    KILL_FRONTS = "all fronts lose power at once"
    KILL_ALL = "all machines lose power at once"


@dataclass(slots=True)
class FaultPlayer:
    """Carries steps out."""

    world: RegistryFaultWorld

    def apply(self, step: Step[Action]) -> None:
        """Carry one step out and let some time pass."""
        world = self.world
        match step.action:
            case Action.LONG_REST:
                world.run_for(LONG_PAUSE_S)
            case Action.FAULT_OF_A_KIND:
                self._begin(kinds=frozenset({self._kind(step)}))
            case Action.FAULT_OF_OTHER_KINDS:
                self._begin(kinds=frozenset(ALL_KINDS) - {self._kind(step)})
            case Action.FAULT_OF_MACHINES | Action.FAULT_OF_STORES:
                self._begin(self._struck_kinds(step), self._struck_machines(step))
            case Action.END_FAULTS:
                world.end_faults()
            case Action.FORGET_HISTORY:
                world.forget_history()
            case Action.ODD_ENTRY:
                for number, spec in enumerate(ODD_SPECS[: 1 + step.which]):
                    world.put_odd_entry(f"odd-{number}", spec)
            case Action.CONFIGURATION:
                world.publish()
            case Action.STORM:
                for _ in range(NUM_STORM_CHANGES):
                    world.publish()
                    world.run_for(STORM_GAP_S)
            case Action.DRAIN_RUNNER:
                world.drain_unless_last(world.numbered_runner(step.which))
            case Action.REPLACE_RUNNER:
                world.replace_runner(world.numbered_runner(step.which))
            case Action.CLOSE_ZONE:
                world.close_zone(RUNNER_ZONES[step.which % len(RUNNER_ZONES)])
            case Action.OPEN_ZONES:
                world.open_zones()
            case Action.KILL_FRONT | Action.KILL_STORE | Action.KILL_FRONTS | Action.KILL_ALL:
                world.kill_all(self._killed(step), MAX_DOWN_S * step.amount)
        world.run_for(MAX_PAUSE_S * world.draw.random() ** 2)

    def _begin(
        self, kinds: frozenset[str] = frozenset(), machines: frozenset[str] = frozenset()
    ) -> None:
        """Begin a fault; mostly, changes follow while it lasts and no kill hides what is late."""
        world = self.world
        world.begin_fault(RegistryFault(world.draw.choice(MODES), kinds, machines))
        for _ in range(world.draw.randrange(MAX_CHANGES_IN_FAULT + 1)):
            world.run_for(world.draw.uniform(CONTACT_S, 2 * CONTACT_S))
            world.publish()
            world.close_zone(world.draw.choice(RUNNER_ZONES))

    def _kind(self, step: Step[Action]) -> str:
        return ALL_KINDS[step.which % len(ALL_KINDS)]

    def _struck_kinds(self, step: Step[Action]) -> frozenset[str]:
        """All kinds, or one."""
        return frozenset({self._kind(step)}) if step.which % 2 else frozenset()

    def _struck_machines(self, step: Step[Action]) -> frozenset[str]:
        """A share of the machines; of the stores, all if the step says so."""
        world = self.world
        fronts = [name for name in sorted(world.fronts) if world.draw.random() < step.amount]
        if step.action is Action.FAULT_OF_STORES:
            return frozenset([*fronts[1:], *world.stores])
        stores = [name for name in sorted(world.stores) if world.draw.random() < step.amount]
        return frozenset([*fronts, *stores]) or frozenset({sorted(world.fronts)[0]})

    def _killed(self, step: Step[Action]) -> list[SimMachine]:
        fronts, stores = list(self.world.fronts.values()), list(self.world.stores.values())
        match step.action:
            case Action.KILL_FRONT:
                return [fronts[step.which % len(fronts)]]
            case Action.KILL_STORE:
                return [stores[step.which % len(stores)]]
            case Action.KILL_FRONTS:
                return fronts
        return [*stores, *fronts]


class FaultGame(Game[Action, RegistryFaultWorld, str]):
    """Fewer steps a world, since each lets seconds pass."""

    def random_steps(self, seed: int, count: int) -> list[Step[Action]]:
        """Steps of one world."""
        return Game.random_steps(self, seed, min(count, STEPS_PER_FAULT_WORLD))


REGISTRY_FAULTS = FaultGame(
    start=RegistryFaultWorld.opened,
    apply=lambda world, step: FaultPlayer(world).apply(step),
    actions=(
        *Action,
        *(Action.FAULT_OF_A_KIND,) * 2,
        *(Action.FAULT_OF_OTHER_KINDS,) * 2,
        Action.FAULT_OF_STORES,
        *(Action.END_FAULTS,) * 2,
        *(Action.CONFIGURATION,) * 5,
    ),
    read_action=Action,
    describe=str,
)
