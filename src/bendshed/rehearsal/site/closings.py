"""Closings: some work and troubles within the tolerance, then all machines lose power."""

from dataclasses import dataclass
from enum import StrEnum

from bendshed.rehearsal.search import Game, Step
from bendshed.rehearsal.site.closing_rules import Broken
from bendshed.rehearsal.site.closing_world import ClosingWorld
from bendshed.rehearsal.site.sim_disruption import Disruption
from bendshed.rehearsal.site.sim_world import SimMachine

MIN_STORES = 2
STEPS_PER_CLOSING = 5
MAX_DISRUPTION_S = 14.0
MAX_TROUBLE_S = 8.0
PAUSES_S = (0.1, 1.0, 5.0)
"""After a step; each is drawn as often."""


class Trouble(StrEnum):
    """What happens before the loss of power; a written trace holds these texts."""

    REST = "rest"
    LOSE_DISK = "a store loses its disk"
    REPLACE = "a store is replaced by an empty one at another name and address"
    RETIRE = "a store is retired"
    ADD = "a store is added"
    FREEZE = "a store freezes"
    CUT = "a store is cut off from the others"
    CUT_FROM_ALL = "a store is cut off from all"
    CUT_ONE_WAY = "a store is cut off one way"
    FULL_DISK = "a store's disk is full"
    KILL_IN_SERIES = "a store is killed and started again in series"
    KILL_FRONT = "a front is killed"
    LOSSY = "links lose packets"
    DISRUPTION = "the platform's store is disrupted"


HARMLESS = (Trouble.REST, Trouble.ADD, Trouble.KILL_FRONT, Trouble.LOSSY)
"""No store counts as lost for them."""


@dataclass(slots=True)
class Day:
    """Carries the troubles before the loss of power out, within the tolerance."""

    world: ClosingWorld

    def apply(self, step: Step[Trouble]) -> None:
        """Carry one step out."""
        world = self.world
        names = sorted(world.stores)
        machine = world.stores[names[step.which % len(names)]]
        if step.action is Trouble.DISRUPTION:
            kinds = [kind for kind in Disruption if kind is not Disruption.NONE]
            world.disrupt(kinds[step.which % len(kinds)], 0.5 + step.amount * MAX_DISRUPTION_S)
        elif step.action in HARMLESS:
            self._play_harmless(step)
        elif step.action is Trouble.RETIRE:
            self._retire(machine)
        elif world.may_lose(machine.name) and machine.is_up:
            if step.action is Trouble.REPLACE:
                self._replace(machine, step)
            else:
                world.count(step.action.value)
                self._play(step, machine)
        world.run_for(world.draw.choice(PAUSES_S) * step.amount)

    def _play_harmless(self, step: Step[Trouble]) -> None:
        """What takes no store away."""
        world = self.world
        match step.action:
            case Trouble.ADD if len(world.stores) < world.layout.max_stores:
                world.count(step.action.value)
                world.added.add(self._add("store-new", step.which))
            case Trouble.KILL_FRONT:
                front = world.fronts[sorted(world.fronts)[step.which % len(world.fronts)]]
                world.kill(front)
                world.run_for(step.amount)
                world.restart(front)
            case Trouble.LOSSY:
                world.network.resend_share = 0.1 * step.amount
                world.run_for(3 * step.amount)
                world.network.resend_share = 0.0

    def _add(self, kind: str, number: int) -> str:
        world = self.world
        name = f"{kind}-{len(world.metrics)}"
        world.add_machine(name, f"10.0.8.{len(world.metrics)}", number, has_disk=True)
        world.tolerance.end_trouble(name, world.loop.time())
        return name

    def _play(self, step: Step[Trouble], machine: SimMachine) -> None:
        """What takes one store away for a while."""
        world = self.world
        for_s = MAX_TROUBLE_S * step.amount
        world.tolerance.begin_trouble(machine.name)
        match step.action:
            case Trouble.LOSE_DISK:
                world.kill(machine)
                world.run_for(for_s / 4)
                world.lose_disk(machine)
                world.restart(machine)
            case Trouble.FREEZE:
                machine.process.paused = True
                world.run_for(for_s)
                machine.process.resume(world.loop)
            case Trouble.CUT | Trouble.CUT_FROM_ALL | Trouble.CUT_ONE_WAY:
                self._cut_for(machine, step.action, for_s)
            case Trouble.FULL_DISK:
                assert machine.disk is not None
                machine.disk.is_full = True
                world.run_for(for_s)
                machine.disk.is_full = False
            case Trouble.KILL_IN_SERIES:
                for _ in range(2 + step.which % 3):
                    world.kill(machine)
                    world.run_for(0.4)
                    world.restart(machine)
                    world.run_for(step.amount)
        world.tolerance.end_trouble(machine.name, world.loop.time())

    def _replace(self, machine: SimMachine, step: Step[Trouble]) -> None:
        """With two stores the other cannot tell a removal from a cut, so none is replaced."""
        world = self.world
        if len(world.stores) <= MIN_STORES:
            return
        world.count(Trouble.REPLACE.value)
        world.tolerance.forget(machine.name)
        world.kill(machine)
        del world.stores[machine.name]
        self._add("store-next", step.which)

    def _retire(self, machine: SimMachine) -> None:
        """Once it is reported to be emptied, its machine and disk are removed.

        Planned work begins while no store counts as lost: one that took a lost one's place and is
        retired at once would leave none in that place.
        """
        world = self.world
        if len(world.stores) <= MIN_STORES or not world.may_lose():
            return
        world.count(Trouble.RETIRE.value)
        world.registry.retirements[machine.name] = False
        world.run_for(0.2)
        world.remove_once_emptied(machine)

    def _cut_for(self, machine: SimMachine, kind: Trouble, for_s: float) -> None:
        world = self.world
        others = [other for other in world.stores.values() if other is not machine]
        if kind is Trouble.CUT_FROM_ALL:
            others.extend(world.fronts.values())
        out = {(machine.host, other.host) for other in others}
        into = {(other.host, machine.host) for other in others}
        cuts = out if kind is Trouble.CUT_ONE_WAY else out | into
        if kind is Trouble.CUT_FROM_ALL:
            cuts.add(("registry", machine.host))
        world.network.cuts |= cuts
        world.run_for(for_s)
        world.network.cuts -= cuts


class ClosingGame(Game[Trouble, ClosingWorld, Broken]):
    """Few steps a world: its end is what is searched."""

    def random_steps(self, seed: int, count: int) -> list[Step[Trouble]]:
        """Steps of one world."""
        return Game.random_steps(self, seed, min(count, STEPS_PER_CLOSING))


CLOSINGS = ClosingGame(
    start=ClosingWorld.opened,
    apply=lambda world, step: Day(world).apply(step),
    actions=(*Trouble, *(Trouble.REST,) * 3, *(Trouble.DISRUPTION,) * 2, Trouble.REPLACE),
    read_action=Trouble,
    describe=lambda broken: f"{broken.rule}: {broken.detail}",
)
