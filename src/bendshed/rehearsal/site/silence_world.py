"""A simulated site whose nodes watch the platform's store over connections that become silent."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from bendshed.model.runner import RunnerState, ServiceRunner
from bendshed.platform import names
from bendshed.platform.encode import write_document, write_runner
from bendshed.platform.translate import REGISTRY_FORMAT, write_replica
from bendshed.ports.registry import ReplicaNode
from bendshed.rehearsal.site.documents import all_keys
from bendshed.rehearsal.site.layout import SMALL, SiteLayout
from bendshed.rehearsal.site.metadata import MetadataModel
from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.records import Departure
from bendshed.rehearsal.site.sim_objects import SimObjectSource, SimStoreConnection
from bendshed.rehearsal.site.sim_registry import SimRegistry
from bendshed.rehearsal.site.sim_world import APPLY_S, CONTACT_S, TIMES, SimMachine, SiteWorld
from bendshed.rehearsal.site.sim_zones import ZONE_CLOSE_S
from bendshed.services.registry_watches import FrontWatches
from bendshed.turns.registry_watches import ReplicaWatches

MIRROR_INTERVAL_S = 0.02
CHECK_INTERVAL_S = 0.05
SERVED_WITHIN_S = 5.0
LARGE = SiteLayout(front_zones=SMALL.front_zones * 3, store_zones=SMALL.store_zones, num_voters=3)
"""Enough fronts that one store reads the registry for all."""


class Part(StrEnum):
    """What a node must know in time."""

    CONFIGURATION = "configuration"
    RUNNERS = "runners"
    ZONES = "closed zones"


BOUNDS_S = {Part.CONFIGURATION: APPLY_S, Part.RUNNERS: APPLY_S, Part.ZONES: ZONE_CLOSE_S}
"""Time until a change that the store acknowledged is known at each machine that is in touch."""


@dataclass(frozen=True, slots=True)
class Change:
    """A change that the platform's store acknowledged.

    Attributes:
        level: version of the configuration, or the store's revision.

    """

    part: Part
    level: int
    acknowledged_s: float


@dataclass(frozen=True, slots=True)
class LateChange:
    """A machine in touch that did not know a change in time."""

    machine: str
    change: Change
    known_level: int
    due_s: float

    def __str__(self) -> str:
        change = self.change
        return (
            f"{self.machine} knows {change.part} {self.known_level} at {self.due_s:.2f} s, not"
            f" {change.level}, acknowledged at {change.acknowledged_s:.2f} s"
        )


class MirroredRegistry(SimRegistry):
    """Replica machines' announcements, which nodes also read as objects of the store."""

    def __init__(self, rng: random.Random, model: MetadataModel) -> None:
        SimRegistry.__init__(self, rng)
        self._model = model

    async def announce(self, node: ReplicaNode) -> None:
        """Store an announcement."""
        await SimRegistry.announce(self, node)
        self._model.put(names.REPLICA_KIND, node.name, write_replica(node))


@dataclass(slots=True)
class SilenceWorld(SiteWorld):
    """A site with the watches of its nodes, judged by when each node knows each change.

    Attributes:
        model: what the platform's store holds.
        draw: decides what ``Step`` leaves open.
        sources: each machine's connections to the store.
        late: changes that machines in touch did not know in time.
        disturbed_s: by machine, when it was last killed or started.
        silenced_s: when connections of any machine last became silent.
        core_disturbed_s: when the platform's store or a replica machine was last in trouble.
        is_registry_busy: the platform's store refuses every call at once.
        odd_entries: runners' entries that another writer put into the store.

    """

    model: MetadataModel = field(default_factory=MetadataModel)
    draw: random.Random = field(init=False)
    sources: dict[str, SimObjectSource] = field(default_factory=dict)
    late: list[LateChange] = field(default_factory=list)
    disturbed_s: dict[str, float] = field(default_factory=dict)
    silenced_s: float = float("-inf")
    core_disturbed_s: float = float("-inf")
    is_registry_busy: bool = False
    odd_entries: set[str] = field(default_factory=set)
    _changes: dict[Part, list[Change]] = field(default_factory=lambda: {part: [] for part in Part})
    _is_judging: bool = False

    def __post_init__(self) -> None:
        SiteWorld.__post_init__(self)
        self.draw = random.Random(f"silence/{self.seed}")
        self.registry = MirroredRegistry(random.Random(self.seed + 2), self.model)
        self._put_document()
        self.loop.create_task(self._mirror_runners())
        self.loop.create_task(self._judge())

    @classmethod
    def opened(cls, seed: int) -> "SilenceWorld":
        """A site whose nodes each read for themselves, or one where one store reads for all."""
        world = cls.started(seed, LARGE if seed % 3 == 0 else SMALL)
        world.run_for(2 * CONTACT_S)
        world._is_judging = True
        return world

    # --- nodes ---------------------------------------------------------------------------

    def start(self, machine: SimMachine) -> None:
        """Start a process of a machine."""
        self.disturbed_s[machine.name] = self.loop.time()
        SiteWorld.start(self, machine)

    def kill(self, machine: SimMachine) -> None:
        """SIGKILL."""
        if machine.disk is not None:
            self.core_disturbed_s = self.loop.time()
        SiteWorld.kill(self, machine)

    async def _follow(self, machine: SimMachine, update: Callable[[SimMachine], None]) -> None:
        """Run the watches of one process."""
        source = SimObjectSource(
            self.model,
            lambda: not self.registry.is_down,
            lambda: self.is_registry_busy,
            machine.name,
        )
        self.sources[machine.name] = source
        rng = random.Random(f"watches/{self.seed}/{machine.process.name}")
        watches: FrontWatches | ReplicaWatches
        if machine.front is not None:
            watches = FrontWatches(source, REGISTRY_FORMAT, machine.front, TIMES, rng)
        else:
            assert machine.replica is not None
            watches = ReplicaWatches(source, REGISTRY_FORMAT, machine.replica, TIMES, rng)
        watches.start()
        await asyncio.Event().wait()

    # --- the platform's store ------------------------------------------------------------

    async def _mirror_runners(self) -> None:
        """Write the list of runners into the store, as heartbeats of the runners do."""
        while True:
            self._put_runners()
            await asyncio.sleep(MIRROR_INTERVAL_S)

    def _put_runners(self) -> None:
        rows = self.model.kinds.get(names.RUNNER_KIND, {})
        for name, runner in self.listed.items():
            spec = write_runner(runner)
            if name not in rows or rows[name].spec != spec:
                self.model.put(names.RUNNER_KIND, name, spec)
                self._note(Part.RUNNERS, self.model.revision)
        for name in [name for name in rows if name not in {*self.listed, *self.odd_entries}]:
            self.model.delete(names.RUNNER_KIND, name)
            self._note(Part.RUNNERS, self.model.revision)

    def put_odd_entry(self, name: str, spec: object) -> None:
        """Another writer puts an entry that names no runner."""
        self.odd_entries.add(name)
        self.model.put(names.RUNNER_KIND, name, spec)

    def _put_document(self) -> None:
        spec = write_document(self.document, all_keys())
        self.model.put(names.CONFIGURATION_KIND, names.CONFIGURATION_NAME, spec)
        self._note(Part.CONFIGURATION, self.document.version)

    def publish(self) -> None:
        """The operator writes a configuration."""
        self.count("configuration")
        SiteWorld.publish(self)
        self._put_document()

    def drain_runner(self, name: str) -> None:
        """A runner says that it leaves."""
        SiteWorld.drain_runner(self, name)
        self._put_runners()

    def numbered_runner(self, number: int) -> str:
        """Name of a listed runner."""
        listed = sorted(self.listed)
        return listed[number % len(listed)]

    def drain_unless_last(self, name: str) -> None:
        """A runner says that it leaves, unless it is the last one of its service."""
        others = [
            runner
            for runner in self.listed.values()
            if runner.service == self.listed[name].service and runner.state is RunnerState.READY
        ]
        if len(others) > 1:
            self.drain_runner(name)

    def close_zone(self, zone: str) -> None:
        """The operator closes a zone, unless it is the last one."""
        SiteWorld.close_zone(self, zone)
        if zone in self.zones.closed:
            self.model.put(names.CLOSED_ZONE_KIND, zone, {})
            self._note(Part.ZONES, self.model.revision)

    def open_zones(self) -> None:
        """The operator opens all zones."""
        SiteWorld.open_zones(self)
        for zone in sorted(set(self.model.kinds.get(names.CLOSED_ZONE_KIND, {}))):
            if zone not in self.zones.closed:
                self.model.delete(names.CLOSED_ZONE_KIND, zone)
                self._note(Part.ZONES, self.model.revision)

    def set_registry_down(self, is_down: bool) -> None:
        """The platform's store stops to answer, or answers again."""
        self.registry.is_down = is_down
        self.core_disturbed_s = self.loop.time()

    def set_registry_busy(self, is_busy: bool) -> None:
        """The platform's store refuses all calls, or answers them again."""
        self.is_registry_busy = is_busy
        self.core_disturbed_s = self.loop.time()

    def cut_watches(self) -> None:
        """The platform's store breaks all connections on which machines wait for changes."""
        for source in self.sources.values():
            source.cut_watches()

    # --- runners that leave without a word ---------------------------------------------------

    def runners_of(self, service: str) -> list[str]:
        """Names of a service's listed runners."""
        return [name for name, entry in self.listed.items() if entry.service == service]

    def unlist(self, name: str) -> ServiceRunner:
        """The entry of a runner goes, while the runner serves on."""
        entry = self.listed.pop(name)
        self._put_runners()
        return entry

    def leave_without_notice(self, name: str) -> None:
        """A runner leaves, which only its missing entry shows."""
        self.count("a runner leaves without a word")
        self.unlist(name)
        self.seen.departures.append(Departure(name, self.loop.time()))

    def relist(self, entry: ServiceRunner) -> None:
        """A live runner writes its entry again."""
        self.listed[entry.runner_id] = entry
        self._put_runners()

    # --- silent connections --------------------------------------------------------------

    def silence(self, machine: SimMachine, share: float) -> None:
        """Each open connection of a machine to the store becomes silent with a probability."""
        source = self.sources.get(machine.name)
        for connection in source.connections if source is not None else ():
            if self.draw.random() < share:
                self._silence_connection(connection)

    def silence_watch(self, machine: SimMachine, kind: str) -> None:
        """The connection on which a machine waits for changes of a kind becomes silent."""
        source = self.sources.get(machine.name)
        for connection in source.connections if source is not None else ():
            if connection.watched_kind == kind:
                self._silence_connection(connection)

    def _silence_connection(self, connection: SimStoreConnection) -> None:
        self.count("silent connection")
        connection.is_silent = True
        self.silenced_s = self.loop.time()

    # --- what must hold ------------------------------------------------------------------

    def _note(self, part: Part, level: int) -> None:
        self._changes[part].append(Change(part, level, self.loop.time()))

    async def _judge(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._is_judging and not self.registry.is_down:
                for machine in [*self.fronts.values(), *self.stores.values()]:
                    if not machine.is_down:
                        self._judge_machine(machine)

    def _judge_machine(self, machine: SimMachine) -> None:
        in_touch_s = CONTACT_S + max(
            self.disturbed_s[machine.name], self.silenced_s, self.core_disturbed_s + CONTACT_S
        )
        for part in Part:
            due = [
                change
                for change in self._changes[part]
                if max(change.acknowledged_s + BOUNDS_S[part], in_touch_s) < self.loop.time()
            ]
            known = known_level(machine, part)
            if not due or known >= due[-1].level:
                continue
            if not any(row.machine == machine.name and row.change == due[-1] for row in self.late):
                self.late.append(LateChange(machine.name, due[-1], known, self.loop.time()))

    def newest_level(self, part: Part) -> int:
        """Version or revision of the newest change."""
        return self._changes[part][-1].level

    def settle(self) -> list[LateChange]:  # type: ignore[override]
        """Let all machines be in touch, see that the site serves, and return what was late."""
        if self.registry.is_down:
            self.set_registry_down(False)
        self.open_zones()
        for machine in [*self.fronts.values(), *self.stores.values()]:
            self.restart(machine)
        self.run_for(3 * CONTACT_S)
        program = self.start_program(ProgramPlan(turns=2, tools=1))
        self.run_for(SERVED_WITHIN_S)
        if not program.finished or 200 not in program.statuses:
            raise AssertionError(f"{program.program_id} is not served: {program.statuses}")
        return self.late


def known_level(machine: SimMachine, part: Part) -> int:
    """Version or revision up to which a machine knows a part."""
    front, replica = machine.front, machine.replica
    if front is not None:
        index = front.forwarder.index
        return {
            Part.CONFIGURATION: index.document.version if index is not None else 0,
            Part.RUNNERS: front.catalog.runners_at,
            Part.ZONES: front.zones.record.zones.revision,
        }[part]
    assert replica is not None
    return {
        Part.CONFIGURATION: replica.catalog.catalog.version,
        Part.RUNNERS: replica.catalog.catalog.runners_at,
        Part.ZONES: replica.catalog.zones.record.zones.revision,
    }[part]
