"""A simulated site that loses power as a whole, and clients that then go on."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from bendshed.rehearsal.simulator.timed_world import CHECK_S
from bendshed.rehearsal.site.closing_rules import RECOVERY_S, Broken, PowerLoss, is_served, judge
from bendshed.rehearsal.site.layout import SMALL, SMALL_WITH_SPARE
from bendshed.rehearsal.site.programs import RETRY_MAX_S, RETRY_MIN_S, AgentProgram, ProgramPlan
from bendshed.rehearsal.site.records import Kind, SiteRequest
from bendshed.rehearsal.site.sim_disruption import DisruptedRegistry, Disruption
from bendshed.rehearsal.site.sim_world import SimMachine, SiteWorld
from bendshed.rehearsal.site.tolerance import Tolerance

DISK_COMMIT_S = 0.005
BUDGET_TOKENS = 100_000
"""So much that no program is refused for its budget: that is judged elsewhere."""
LOAD_INTERVAL_S = 0.6
"""A program is started this often, before and after the loss of power."""
MAX_STORED = 6
"""Stored turns that clients continue after the loss of power."""
WATCHED_S = 3.0
"""Requests are sent for this long after the site must serve again."""
MAX_BACK_S = 1.5
"""Machines have power again within this time."""
START_MIN_S, START_MAX_S = 0.4, 0.8
"""Time that a process takes to start."""
MAX_WAIT_S = 30.0
"""Longest disruption, and the time to catch up after it."""
SAME_VICTIM_SHARE = 0.5
VICTIM_SHARE = 0.85


@dataclass(slots=True)
class ClosingWorld(SiteWorld):
    """A site, what counts as lost there, and the loss of power at its end.

    Attributes:
        draw: decides what ``Step`` leaves open, and the closing.
        loss: the loss of power, once it was played.
        added: stores that were added and replace none.

    """

    tolerance: Tolerance = field(default_factory=Tolerance)
    draw: random.Random = field(init=False)
    disrupted: DisruptedRegistry = field(init=False)
    loss: PowerLoss | None = None
    added: set[str] = field(default_factory=set)
    _updated_s: dict[str, float] = field(default_factory=dict)
    _disruption_ends: asyncio.TimerHandle | None = None

    def __post_init__(self) -> None:
        SiteWorld.__post_init__(self)
        self.draw = random.Random(f"closing/{self.seed}")
        self.registry = self.disrupted = DisruptedRegistry(random.Random(self.seed + 2))

    @classmethod
    def opened(cls, seed: int) -> "ClosingWorld":
        """A site of three or four stores, with programs."""
        layout = SMALL_WITH_SPARE if seed % 3 == 0 else SMALL
        world = cls.started(seed, layout)
        world.clients.spawn(world.loop, world._load())
        world.run_for(1.0)
        return world

    def add_machine(self, name: str, host: str, number: int, has_disk: bool) -> None:
        """Add a machine and start its process."""
        SiteWorld.add_machine(self, name, host, number, has_disk)
        if has_disk:
            self._use_disk(self.stores[name])

    def _use_disk(self, machine: SimMachine) -> None:
        assert machine.disk is not None
        machine.disk.commit_s = DISK_COMMIT_S

    async def _load(self) -> None:
        while True:
            self.start_program(ProgramPlan(turns=2, tools=1), BUDGET_TOKENS)
            await asyncio.sleep(LOAD_INTERVAL_S)

    # --- the platform's store ------------------------------------------------------------

    def _is_slow(self, machine: SimMachine) -> bool:
        """Whether a slow store has not answered this process yet."""
        now_s, last_s = self.loop.time(), self._updated_s.get(machine.process.name)
        if last_s is None:
            last_s = self._updated_s[machine.process.name] = now_s
        if now_s < last_s + self.disrupted.slow_s:
            return True
        self._updated_s[machine.process.name] = now_s
        return False

    def _update_front(self, machine: SimMachine) -> None:
        if not self._is_slow(machine):
            self._with_listed(lambda: SiteWorld._update_front(self, machine))

    def _update_store(self, machine: SimMachine) -> None:
        if not self._is_slow(machine):
            self._with_listed(lambda: SiteWorld._update_store(self, machine))

    def _with_listed(self, update: Callable[[], None]) -> None:
        """Give a process what the registry lists at the moment."""
        announced = self.registry.announced
        listed = self.disrupted.listed
        self.registry.announced = announced if listed is None else listed
        try:
            update()
        finally:
            self.registry.announced = announced

    def disrupt(
        self, disruption: Disruption, for_s: float, refused: Sequence[SimMachine] = ()
    ) -> None:
        """Disrupt the platform's store for a while; one disruption ends another.

        Args:
            disruption: how.
            for_s: how long.
            refused: machines that it refuses, if it refuses some; none: some are drawn.

        """
        self._end_disruption()
        if disruption is Disruption.NONE:
            return
        self.count(f"platform's store: {disruption}")
        machines = [*self.fronts.values(), *self.stores.values()]
        drawn = self.draw.sample(machines, self.draw.randint(1, len(machines) - 1))
        some = refused or drawn
        self.disrupted.begin(disruption, frozenset(machine.name for machine in some))
        if disruption is Disruption.REFUSES_SOME:
            self.network.cuts |= {("registry", machine.host) for machine in some}
        self.tolerance.begin_disruption(self.loop.time())
        self.seen.begin_blindness("", self.loop.time())
        self._disruption_ends = self.loop.call_later(for_s, self._end_disruption)

    def _end_disruption(self) -> None:
        if self._disruption_ends is not None:
            self._disruption_ends.cancel()
        self._disruption_ends = None
        self.disrupted.begin(Disruption.NONE)
        self.network.cuts = {pair for pair in self.network.cuts if pair[0] != "registry"}
        self.tolerance.end_disruption(self.loop.time())
        self.seen.end_blindness("", self.loop.time())

    # --- the loss of power ---------------------------------------------------------------

    def may_lose(self, *names: str) -> bool:
        """Wait until no store but these counts as lost; ``False``: another one stays lost."""
        for _ in range(int(MAX_WAIT_S / CHECK_S)):
            if not self.tolerance.lost(self.loop.time()) - {*names}:
                return True
            self.run_for(CHECK_S)
        return False

    def lose_disk(self, machine: SimMachine) -> None:
        """Its next incarnation starts with an empty one."""
        machine.lose_disk()
        self._use_disk(machine)

    def settle(self) -> list[Broken]:  # type: ignore[override]
        """Take power from all machines, perhaps a disk from one; start them, ask, and judge."""
        victim = self._draw_victim()
        disruption = self.draw.choice([*Disruption, Disruption.DOWN])
        self.disrupt(disruption, self.draw.uniform(0.5, 22.0))
        self.run_for(self.draw.choice((0.0, self.draw.uniform(0, 4.0))))
        return self.close_down(victim)

    def close_down(self, victim: SimMachine | None) -> list[Broken]:
        """All lose power, one its disk too; what the platform's store does is left as it is."""
        self._heal_machines()
        lost_s = self.loop.time()
        machines = [*self.fronts.values(), *self.stores.values()]
        for machine in machines:
            self.kill(machine)
        if victim is not None:
            self.count("a disk is lost as all lose power")
            self.lose_disk(victim)
        self.count("all lose power")
        back_s = self._start_all(machines)
        stored = self._continue_stored()
        self.loss = PowerLoss(lost_s, back_s, stored)
        self.run_for(back_s + RECOVERY_S + WATCHED_S - self.loop.time())
        return judge(self.seen, self.loss)

    def _draw_victim(self) -> SimMachine | None:
        """A store whose disk may be lost, perhaps the one that counts as lost; or none.

        Stores that were added do not count in the loss of power of all.
        """
        counting = self.tolerance.lost(self.loop.time()) - self.added
        name = self.draw.choice(sorted(self.stores))
        if counting and self.draw.random() < SAME_VICTIM_SHARE:
            name = min(counting)
        if not self.may_lose(name, *self.added):
            return None
        return self.stores[name] if self.draw.random() < VICTIM_SHARE else None

    def _heal_machines(self) -> None:
        """A loss of power ends what else troubles a machine."""
        self.network.cuts = {pair for pair in self.network.cuts if pair[0] == "registry"}
        self.network.resend_share = 0.0
        for machine in self.stores.values():
            assert machine.disk is not None
            machine.disk.is_full = False

    def _start_all(self, machines: list[SimMachine]) -> float:
        """Start each machine at a time of its own; return when the last one had power."""
        dark_s = self.loop.time() + self.draw.uniform(0.1, 2.0)
        spread_s = self.draw.choice((0.0, MAX_BACK_S))
        power_s = {m.name: dark_s + self.draw.uniform(0, spread_s) for m in machines}
        start_s = {
            name: at_s + self.draw.uniform(START_MIN_S, START_MAX_S)
            for name, at_s in power_s.items()
        }
        for machine in sorted(machines, key=lambda machine: start_s[machine.name]):
            self.run_for(max(0.0, start_s[machine.name] - self.loop.time()))
            self.restart(machine)
        return max(power_s.values())

    def _continue_stored(self) -> dict[str, str]:
        """Clients go on from stored turns, again and again; program by turn."""
        turns = [row for row in self.seen.requests if row.kind is Kind.TURN and is_served(row)]
        continued: dict[str, str] = {}
        for row in turns[-MAX_STORED:]:
            program = self.start_program(
                ProgramPlan(turns=0), BUDGET_TOKENS, continues=row.request_id
            )
            continued[row.request_id] = program.program_id
            self.clients.spawn(self.loop, self._ask_until_served(program, row.request_id))
        return continued

    async def _ask_until_served(self, program: AgentProgram, turn: str) -> None:
        while True:
            request = SiteRequest(
                request_id=program.next_id(),
                kind=Kind.TURN,
                program_id=program.program_id,
                sent_s=self.loop.time(),
                node=self.draw.choice(sorted(self.fronts)),
                body=f"[{program.program_id}]".encode(),
                previous=turn,
                budget_tokens=BUDGET_TOKENS,
                most_events=4,
            )
            await self.send(request)
            if is_served(request):
                return
            await asyncio.sleep(self.draw.uniform(RETRY_MIN_S, RETRY_MAX_S))
