"""Departures: runners leave, some without a word, around outages of the platform's store."""

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from functools import partial

from bendshed.rehearsal.search import Game, Step
from bendshed.rehearsal.site.documents import WIDE
from bendshed.rehearsal.site.layout import SMALL
from bendshed.rehearsal.site.oracle import DRAIN_S, Rule, Violation
from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.records import Departure, Kind, SiteRecords
from bendshed.rehearsal.site.runner import RunRecord
from bendshed.rehearsal.site.silence_world import LARGE, SilenceWorld
from bendshed.rehearsal.site.sim_world import CONTACT_S, SimMachine

STEPS_PER_DEPARTURE = 12
REQUEST_INTERVAL_S = 0.1
MAX_OUTAGE_S = 7.0
MAX_PAUSE_S = 5.0
MAX_PAUSE_AFTER_CUT_S = 0.5
REENTRY_S = 1.8
"""Live runners whose entries lapsed in an outage write them again this long after it."""
UNLIMITED_TOKENS = 10**9
KINDS = {"tools": Kind.UNREPEATABLE, "engines": Kind.TURN}
"""What is sent to each service."""


class Action(StrEnum):
    """What happens; a written trace holds these texts."""

    REST = "rest"
    OUTAGE = "the platform's store does not answer for a while"
    REFUSALS = "the platform's store refuses all calls for a while"
    LAPSE = "entries of live runners lapse in an outage"
    CUT_WATCHES = "the platform's store cuts all watches"
    SILENCE_WATCHES = "a share of all connections to the store becomes silent"
    SERVICE_LEAVES = "all runners of a service leave, some without a word"
    RUNNER_LEAVES = "a runner leaves without a word"
    SERVICE_COMES = "new runners of a service come"
    KILL_FRONT = "a front is killed"
    KILL_STORE = "a store is killed"


@dataclass(slots=True)
class Disturbances:
    """When what a removal depends on was in trouble.

    Attributes:
        core_s: the platform's store, the machines of stores, or connections of several machines.
        front_starts_s: names of fronts that started, and when.

    """

    core_s: list[float] = field(default_factory=list)
    front_starts_s: list[tuple[str, float]] = field(default_factory=list)

    def late_runs(self, seen: SiteRecords) -> Iterator[Violation]:
        """Requests that reached a runner too late after a departure that binds."""
        departures = {row.runner_id: row for row in reversed(seen.departures)}
        fronts = {request.request_id: request.node for request in seen.requests}
        for run in seen.runs:
            departure = departures.get(run.runner_id)
            if departure is None or run.started_s <= departure.acknowledged_s + DRAIN_S:
                continue
            if self._is_binding(departure, run, fronts[run.request_id]):
                late_s = run.started_s - departure.acknowledged_s
                detail = f"{run.request_id} at {run.runner_id} {late_s:.2f} s after it left"
                yield Violation(Rule.DRAIN, detail)

    def _is_binding(self, departure: Departure, run: RunRecord, front: str) -> bool:
        """Whether the store had settled when it acknowledged, and nothing was disturbed since."""
        from_s = departure.acknowledged_s - CONTACT_S
        starts_s = [at_s for name, at_s in self.front_starts_s if name == front]
        return not any(from_s < at_s <= run.started_s for at_s in [*self.core_s, *starts_s])


@dataclass(slots=True)
class DepartureWorld(SilenceWorld):
    """A site with traffic to all its services."""

    disturbances: Disturbances = field(default_factory=Disturbances)

    @classmethod
    def opened(cls, seed: int) -> "DepartureWorld":
        """A site whose nodes each read for themselves, or one where one store reads for all."""
        world = cls.started(seed, LARGE if seed % 3 == 0 else SMALL)
        world.run_for(2 * CONTACT_S)
        for kind in KINDS.values():
            world.clients.spawn(world.loop, world.send_requests(kind))
        world.run_for(1.0)
        return world

    async def send_requests(self, kind: Kind) -> None:
        """Send requests of a kind to all fronts in turn, for good."""
        plan = ProgramPlan(turns=0, tools=0)
        program = self.start_program(plan, budget_tokens=UNLIMITED_TOKENS, tenant=WIDE)
        number = 0
        while True:
            fronts = sorted(self.fronts)
            request = program.make_request(kind, body=b"x", events=2)
            request.node = fronts[number % len(fronts)]
            self.clients.spawn(self.loop, self.send(request))
            number += 1
            await asyncio.sleep(REQUEST_INTERVAL_S)

    # --- disturbances ------------------------------------------------------------------------

    def note_core_disturbance(self) -> None:
        """Record trouble of the platform's store, or of what nodes know of it."""
        self.disturbances.core_s.append(self.loop.time())

    def start(self, machine: SimMachine) -> None:
        """Start a process of a machine."""
        self.disturbances.front_starts_s.append((machine.name, self.loop.time()))
        if machine.disk is not None:
            self.note_core_disturbance()
        SilenceWorld.start(self, machine)

    def kill(self, machine: SimMachine) -> None:
        """SIGKILL."""
        if machine.disk is not None:
            self.note_core_disturbance()
        SilenceWorld.kill(self, machine)

    def hold_outage(self, set_outage: Callable[[bool], None], for_s: float) -> None:
        """The platform's store is in trouble for a while."""
        self.count("outage of the platform's store")
        set_outage(True)
        self.note_core_disturbance()
        self.run_for(for_s)
        set_outage(False)
        self.note_core_disturbance()

    # --- runners -----------------------------------------------------------------------------

    def lapse(self, service: str, for_s: float) -> None:
        """Entries of live runners lapse in an outage, and are written again after it."""
        self.hold_outage(self.set_registry_down, for_s)
        entries = [self.unlist(name) for name in self.runners_of(service)]
        for entry in entries:
            self.loop.call_later(REENTRY_S, partial(self.relist, entry))

    def end_service_at(self, name: str, says_so: bool) -> None:
        """A runner leaves; some say so before their entries go."""
        if says_so:
            self.drain_runner(name)
        else:
            self.leave_without_notice(name)

    def bring_runners(self, service: str, count: int = 2) -> None:
        """New runners of a service start."""
        for _ in range(count):
            self.add_runner(f"{service}-{len(self.runners) + 1}", service, slots=8)

    # --- what must hold ----------------------------------------------------------------------

    def settle(self) -> list[Violation]:  # type: ignore[override]
        """Let the last departures be over, and return the requests that came too late."""
        self.run_for(2 * DRAIN_S)
        return list(self.disturbances.late_runs(self.seen))


@dataclass(slots=True)
class DepartureFuzzer:
    """Carries steps out."""

    world: DepartureWorld

    def apply(self, step: Step[Action]) -> None:
        """Carry one step out and let some time pass."""
        world = self.world
        service = sorted(KINDS)[step.which % len(KINDS)]
        for_s = step.amount * MAX_OUTAGE_S
        match step.action:
            case Action.OUTAGE:
                world.hold_outage(world.set_registry_down, for_s)
            case Action.REFUSALS:
                world.hold_outage(world.set_registry_busy, for_s)
            case Action.LAPSE:
                world.lapse(service, for_s)
            case Action.CUT_WATCHES:
                world.cut_watches()
                world.run_for(step.amount * MAX_PAUSE_AFTER_CUT_S)
                return
            case Action.SILENCE_WATCHES:
                self._silence(step.amount)
            case Action.SERVICE_LEAVES:
                for number, name in enumerate(world.runners_of(service)):
                    world.end_service_at(name, says_so=bool(number) and step.amount < 1 / 2)
            case Action.RUNNER_LEAVES:
                for name in world.runners_of(service)[:1]:
                    world.leave_without_notice(name)
            case Action.SERVICE_COMES:
                world.bring_runners(service)
            case Action.KILL_FRONT | Action.KILL_STORE:
                self._kill(step)
        world.run_for(MAX_PAUSE_S * world.draw.random())

    def _silence(self, share: float) -> None:
        self.world.note_core_disturbance()
        for machine in [*self.world.fronts.values(), *self.world.stores.values()]:
            self.world.silence(machine, share)

    def _kill(self, step: Step[Action]) -> None:
        world = self.world
        machines = world.fronts if step.action is Action.KILL_FRONT else world.stores
        machine = machines[sorted(machines)[step.which % len(machines)]]
        world.kill(machine)
        world.run_for(step.amount)
        world.restart(machine)


class DepartureGame(Game[Action, DepartureWorld, Violation]):
    """Fewer steps a world, since each lets seconds pass."""

    def random_steps(self, seed: int, count: int) -> list[Step[Action]]:
        """Steps of one world."""
        return Game.random_steps(self, seed, min(count, STEPS_PER_DEPARTURE))


DEPARTURES = DepartureGame(
    start=DepartureWorld.opened,
    apply=lambda world, step: DepartureFuzzer(world).apply(step),
    actions=(
        *Action,
        *(Action.SERVICE_LEAVES,) * 4,
        *(Action.SERVICE_COMES,) * 3,
        Action.OUTAGE,
        Action.REFUSALS,
        Action.CUT_WATCHES,
    ),
    read_action=Action,
    describe=lambda violation: f"{violation.rule}: {violation.detail}",
)
