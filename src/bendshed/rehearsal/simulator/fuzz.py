"""Random failures against a simulated installation."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from bendshed.configuration.document import DrainRunner, SetBudget, SetPriority
from bendshed.rehearsal.search import Game, Step
from bendshed.rehearsal.simulator.callers import PlannedCall
from bendshed.rehearsal.simulator.oracle import Violation
from bendshed.rehearsal.simulator.world import TENANT, TENANT_TOKENS, World

CLOCK_STEP_MS = 90_000


class Action(StrEnum):
    """Kinds of steps."""

    ADVANCE = "advance"
    START_PROGRAM = "start program"
    START_BRANCHES = "start branches"
    SUBMIT_TWICE = "submit twice"
    KILL_NODE = "kill node"
    RESTART_NODE = "restart node"
    WIPE_DISK = "wipe disk"
    PAUSE_NODE = "pause node"
    RESUME_NODE = "resume node"
    ISOLATE_NODE = "isolate node"
    CUT_ONE_WAY = "cut one way"
    CUT_ENGINE = "cut engine"
    HEAL = "heal"
    LOSE_DATAGRAMS = "lose datagrams"
    SLOW_NETWORK = "slow network"
    STORE_DOWN = "store down"
    STORE_UP = "store up"
    STORE_FLAKY = "store flaky"
    KILL_ENGINE = "kill engine"
    ENGINE_LEAVES = "engine leaves"
    PLANNED_STOP = "planned stop"
    ORDERS_RACE = "orders race"
    CLOCK_STEP = "clock step"


@dataclass(slots=True)
class Fuzzer:
    """Carries steps out. A step that makes no sense now does nothing."""

    world: World

    def apply(self, step: Step[Action]) -> None:
        """Carry one step out and let a little time pass."""
        handlers: dict[Action, Callable[[Step[Action]], None]] = {
            Action.ADVANCE: lambda s: self.world.run_for(s.amount * 4),
            Action.START_PROGRAM: self._start_program,
            Action.START_BRANCHES: self._start_branches,
            Action.SUBMIT_TWICE: self._submit_twice,
            Action.KILL_NODE: self._kill_node,
            Action.RESTART_NODE: self._restart_node,
            Action.WIPE_DISK: self._wipe_disk,
            Action.PAUSE_NODE: self._pause_node,
            Action.RESUME_NODE: self._resume_node,
            Action.ISOLATE_NODE: lambda s: self.world.isolate(self._node(s)),
            Action.CUT_ONE_WAY: self._cut_one_way,
            Action.CUT_ENGINE: self._cut_engine,
            Action.HEAL: lambda _s: self.world.heal_network(),
            Action.LOSE_DATAGRAMS: self._lose_datagrams,
            Action.SLOW_NETWORK: self._slow_network,
            Action.STORE_DOWN: lambda _s: self._store(down=True),
            Action.STORE_UP: lambda _s: self._store(down=False),
            Action.STORE_FLAKY: self._store_flaky,
            Action.KILL_ENGINE: lambda s: self.world.kill_runner(self._runner(s)),
            Action.ENGINE_LEAVES: self._engine_leaves,
            Action.PLANNED_STOP: self._planned_stop,
            Action.ORDERS_RACE: self._orders_race,
            Action.CLOCK_STEP: self._clock_step,
        }
        handlers[step.action](step)
        self.world.run_for(0.05 + step.amount * 0.3)

    # --- load ----------------------------------------------------------------------------

    def _start_program(self, step: Step[Action]) -> None:
        count = 2 + step.which % 4
        calls = [
            PlannedCall(number, unrepeatable=(number + step.which) % 3 == 0)
            for number in range(1, count + 1)
        ]
        tokens = 400 if step.amount < 0.2 else 4_000
        self.world.start_program(calls, tokens)

    def _start_branches(self, step: Step[Action]) -> None:
        """A main chain, and a sub-agent that branches from it after the first call."""
        driver = self.world.start_program([PlannedCall(1)])
        self.world.run_for(2.0)
        main = [PlannedCall(3), PlannedCall(5)]
        side = [PlannedCall(2, "sub", step.which % 2 == 0), PlannedCall(4, "sub")]
        driver.finished = False
        self.world.spawn_calls(driver, side)
        self.world.spawn_calls(driver, main)

    def _submit_twice(self, step: Step[Action]) -> None:
        """One call at two nodes at once, as an impatient caller's proxy would."""
        driver = self.world.start_program([])
        call = PlannedCall(1, unrepeatable=step.which % 2 == 0)
        driver.calls.append(call)
        now_ms = int(self.world.loop.time() * 1000) + 1_700_000_000_000
        for number in (step.which, step.which + 1):
            request = driver.request(call, now_ms)
            self.world.send(request, self._node(Step(step.action, number)))

    # --- faults --------------------------------------------------------------------------

    def _node(self, step: Step[Action]) -> str:
        names = sorted(self.world.nodes)
        return names[step.which % len(names)]

    def _runner(self, step: Step[Action]) -> str:
        names = [n for n in sorted(self.world.runners) if n not in self.world.seen.left_at_s]
        return names[step.which % len(names)]

    def _kill_node(self, step: Step[Action]) -> None:
        if self.world.nodes[self._node(step)].is_up:
            self.world.kill_node(self._node(step))

    def _restart_node(self, step: Step[Action]) -> None:
        if not self.world.nodes[self._node(step)].is_up:
            self.world.start_node(self._node(step))

    def _wipe_disk(self, step: Step[Action]) -> None:
        """Kill a disk node and replace its disk, if no data would be lost by that alone."""
        name = f"node-{1 + step.which % 3}"
        if self.world.may_lose_disk(name):
            self.world.kill_node(name)
            self.world.wipe_disk(name)
            self.world.start_node(name)

    def _pause_node(self, step: Step[Action]) -> None:
        holder = self.world.nodes[self._node(step)]
        if holder.is_up and not holder.process.paused:
            self.world.pause_node(holder.name)

    def _resume_node(self, step: Step[Action]) -> None:
        paused = [h.name for h in self.world.nodes.values() if h.is_up and h.process.paused]
        if paused:
            self.world.resume_node(paused[step.which % len(paused)])

    def _cut_one_way(self, step: Step[Action]) -> None:
        hosts = [holder.host for holder in self.world.nodes.values()]
        one = step.which % len(hosts)
        other = (one + 1 + int(step.amount * 3)) % len(hosts)
        if one != other:
            self.world.cut(hosts[one], hosts[other], both_ways=False)

    def _cut_engine(self, step: Step[Action]) -> None:
        host = self.world.nodes[self._node(step)].host
        self.world.cut(host, self._runner(step), both_ways=step.amount > 0.5)

    def _lose_datagrams(self, step: Step[Action]) -> None:
        self.world.count("lose and double datagrams")
        self.world.network.datagram_loss = 0.3 * step.amount
        self.world.network.datagram_copies = 0.1

    def _slow_network(self, step: Step[Action]) -> None:
        self.world.count("slow network")
        self.world.network.slow_s = 0.2 * step.amount

    def _store(self, down: bool) -> None:
        if down and not self.world.store.down:
            self.world.count("store down")
        self.world.store.down = down

    def _store_flaky(self, step: Step[Action]) -> None:
        self.world.count("store loses answers, reads stale")
        self.world.store.answer_loss = 0.5 * step.amount
        self.world.store.stale_reads = 0.5 * step.amount

    def _engine_leaves(self, step: Step[Action]) -> None:
        """One engine leaves; a fresh one takes its place."""
        if len(self.world.seen.left_at_s) < 2:
            self.world.leave_runner(self._runner(step))
            self.world.add_runner(f"runner-{len(self.world.runners) + 1}")

    def _planned_stop(self, step: Step[Action]) -> None:
        holder = self.world.nodes[self._node(step)]
        if holder.is_up and not holder.process.paused and not self.world.is_draining(holder.name):
            self.world.drain_node(holder.name)

    def _orders_race(self, step: Step[Action]) -> None:
        """Two operators order at two nodes at the same time."""
        self.world.count("orders race")
        budget = TENANT_TOKENS + int(step.amount * 1000)
        first, second = self._node(step), self._node(Step(step.action, step.which + 1))
        self.world.order(SetBudget(tenant=TENANT, budget_tokens=budget), first, wait=False)
        priority = SetPriority(tenant=TENANT, priority=step.which % 10)
        self.world.order(priority, second, wait=False)
        if step.amount > 0.7:
            drain = DrainRunner(runner="runner-9", drain=True)
            self.world.order(drain, second, wait=False)

    def _clock_step(self, step: Step[Action]) -> None:
        self.world.step_clock(self._node(step), int((step.amount - 0.5) * CLOCK_STEP_MS))


# --- long runs ------------------------------------------------------------------------------


REPAIR = (
    Action.ADVANCE,
    Action.START_PROGRAM,
    Action.RESTART_NODE,
    Action.HEAL,
    Action.RESUME_NODE,
    Action.STORE_UP,
)

INSTALLATION: Game[Action, World, Violation] = Game(
    start=World.started,
    apply=lambda world, step: Fuzzer(world).apply(step),
    actions=(*Action, *REPAIR * 2),
    read_action=Action,
    describe=lambda violation: f"{violation.promise}: {violation.detail}",
)
