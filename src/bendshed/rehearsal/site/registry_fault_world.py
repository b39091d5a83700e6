"""A simulated site whose registry fails for some kinds of objects or some machines."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from bendshed.platform import names
from bendshed.rehearsal.site.oracle import check_configuration
from bendshed.rehearsal.site.registry_faults import FaultMode, RegistryFault, mode_of
from bendshed.rehearsal.site.silence_world import (
    BOUNDS_S,
    LateChange,
    Part,
    SilenceWorld,
    known_level,
)
from bendshed.rehearsal.site.sim_world import CONTACT_S, START_LIMIT_S, SimMachine

ALL_KINDS = (
    names.RUNNER_KIND,
    names.CONFIGURATION_KIND,
    names.CLOSED_ZONE_KIND,
    names.REPLICA_KIND,
    names.RETIREMENT_KIND,
)
KINDS = {
    Part.CONFIGURATION: names.CONFIGURATION_KIND,
    Part.RUNNERS: names.RUNNER_KIND,
    Part.ZONES: names.CLOSED_ZONE_KIND,
}
SMALL_PAGE = 2


@dataclass(slots=True)
class RegistryFaultWorld(SilenceWorld):
    """Judged by when each node knows each change that some node can read, and by what it forgets.

    Attributes:
        struck_s: by kind, when a fault that strikes it last began or ended.
        went_back: machines that knew less of a part than earlier in the same life.

    """

    struck_s: dict[str, float] = field(default_factory=dict)
    went_back: list[str] = field(default_factory=list)
    _levels: dict[tuple[str, Part], int] = field(default_factory=dict)

    @classmethod
    def opened(cls, seed: int) -> "RegistryFaultWorld":
        """A site whose nodes each read for themselves, or one where one store reads for all."""
        world = SilenceWorld.opened.__func__(cls, seed)  # type: ignore[attr-defined]
        assert isinstance(world, RegistryFaultWorld)
        world.model.page = SMALL_PAGE
        return world

    # --- faults --------------------------------------------------------------------------

    def begin_fault(self, fault: RegistryFault) -> None:
        """The registry begins to fail."""
        self.count(f"registry: {fault.mode}")
        self.model.faults.append(fault)
        self._note_fault(fault)

    def end_faults(self) -> None:
        """The registry answers all calls again."""
        for fault in self.model.faults:
            self._note_fault(fault)
        self.model.faults.clear()

    def _note_fault(self, fault: RegistryFault) -> None:
        for kind in fault.kinds or ALL_KINDS:
            self.struck_s[kind] = self.loop.time()

    def forget_history(self) -> None:
        """The registry forgets its history: every watch lists again."""
        self.count("forgotten history")
        self.model.forget_history()
        if any(fault.mode is FaultMode.LATER_PAGES for fault in self.model.faults):
            for fault in self.model.faults:
                self._note_fault(fault)

    def kill_all(self, machines: Sequence[SimMachine], down_s: float) -> None:
        """Many machines lose power at once, and come back."""
        self.count("many machines lose power")
        for machine in machines:
            self.kill(machine)
        self.run_for(down_s)
        for machine in machines:
            self.restart(machine)
        self.wait_for(self.is_led, START_LIMIT_S)

    # --- what must hold ------------------------------------------------------------------

    def _judge_machine(self, machine: SimMachine) -> None:
        now_s = self.loop.time()
        in_touch_s = CONTACT_S + max(
            self.disturbed_s[machine.name], self.silenced_s, self.core_disturbed_s + CONTACT_S
        )
        for part, kind in KINDS.items():
            known = known_level(machine, part)
            self._judge_return(machine, part, known)
            if self._is_unreadable(machine, part):
                continue
            from_s = max(in_touch_s, self.struck_s.get(kind, 0.0) + CONTACT_S)
            due = [
                change
                for change in self._changes[part]
                if max(change.acknowledged_s, from_s - CONTACT_S) + BOUNDS_S[part] < now_s
                and from_s < now_s
            ]
            if due and known < due[-1].level:
                row = LateChange(machine.name, due[-1], known, now_s)
                if not any(
                    late.machine == row.machine and late.change == row.change for late in self.late
                ):
                    self.late.append(row)

    def _judge_return(self, machine: SimMachine, part: Part, known: int) -> None:
        life = (machine.process.name, part)
        if known < self._levels.get(life, 0):
            self.went_back.append(f"{life[0]} knows {part} {known} after {self._levels[life]}")
        self._levels[life] = known

    def _is_unreadable(self, machine: SimMachine, part: Part) -> bool:
        """Whether neither the machine nor any that informs it can read a part.

        A configuration reaches a store from any front; other parts only from stores.
        """
        informing = [machine, *self.stores.values()]
        if part is Part.CONFIGURATION:
            informing += self.fronts.values()
        kind = KINDS[part]
        return all(
            row.is_down or mode_of(self.model.faults, row.name, kind) is not None
            for row in informing
        )

    def settle(self) -> list[str]:  # type: ignore[override]
        """Heal everything; return what was late, and what went back."""
        self.end_faults()
        self.odd_entries.clear()
        late = [f"known in time: {row}" for row in SilenceWorld.settle(self)]
        back = [str(row) for row in check_configuration(self.seen)]
        return [*late, *self.went_back, *back]
