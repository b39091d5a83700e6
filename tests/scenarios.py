"""Scenarios that a planted defect fails and the product passes."""

import contextlib
from collections.abc import Iterator
from unittest import mock

from bendshed.rehearsal.simulator import world as world_module
from bendshed.rehearsal.simulator.callers import PlannedCall, ProgramDriver
from bendshed.rehearsal.simulator.fuzz import INSTALLATION
from bendshed.rehearsal.simulator.oracle import Violation
from bendshed.rehearsal.simulator.world import World

RANDOM_STEPS = 40


@contextlib.contextmanager
def _world(seed: int) -> Iterator[World]:
    """Close it also where a planted defect stops the scenario before its end."""
    world = World.started(seed)
    try:
        yield world
    finally:
        world.close()


def random_world(seed: int) -> list[Violation]:
    """Random failures of one seed."""
    world, violations = INSTALLATION.run(seed, INSTALLATION.random_steps(seed, RANDOM_STEPS))
    world.close()
    return violations


def calls_arrive_out_of_order(seed: int) -> list[Violation]:
    """The second call reaches one node well before the first reaches another."""
    with _world(seed) as world:
        driver = world.start_program([])
        for call, node in ((PlannedCall(2), "node-4"), (PlannedCall(1), "node-5")):
            driver.calls.append(call)
            world.send(driver.request(call, world.nodes[node].clock.wall_ms()), node)
            world.run_for(2.0)
        world.run_for(10.0)
        return world.settle()


def programs_reach_their_budgets(seed: int) -> list[Violation]:
    """Programs whose tokens last for some of their calls, with two branches at once."""
    with _world(seed) as world:
        for tokens in (120, 250, 400):
            driver = world.start_program([PlannedCall(1)], tokens=tokens)
            world.run_for(2.0)
            driver.finished = False
            world.spawn_calls(driver, [PlannedCall(2, "sub"), PlannedCall(4, "sub")])
            world.spawn_calls(driver, [PlannedCall(3), PlannedCall(5), PlannedCall(6)])
        world.run_for(10.0)
        return world.settle()


def connection_breaks_mid_stream(seed: int) -> list[Violation]:
    """The way from the engine breaks for a moment while an answer is streamed."""
    with _world(seed) as world:
        driver = world.start_program([PlannedCall(1), PlannedCall(2)])
        _cut_way_from_engine_mid_stream(world)
        world.run_for(0.12)
        world.heal_network()
        world.wait_for(lambda: driver.finished, 60.0)
        return world.settle()


def connection_breaks_for_long(seed: int) -> list[Violation]:
    """The way from the engine of an unrepeatable call stays cut longer than any resume waits."""
    with _world(seed) as world:
        world.start_program([PlannedCall(1, unrepeatable=True)])
        _cut_way_from_engine_mid_stream(world)
        world.run_for(20.0)
        return world.settle()


def engine_leaves_under_load(seed: int) -> list[Violation]:
    """An engine leaves; programs go on to come after the grace."""
    with _world(seed) as world:
        world.leave_runner("runner-1")
        world.run_for(6.0)
        for _ in range(6):
            world.start_program([PlannedCall(1), PlannedCall(2)])
        world.run_for(10.0)
        return world.settle()


def planned_stop_mid_stream(seed: int) -> list[Violation]:
    """A node is stopped in order while it streams an answer."""
    with _world(seed) as world:
        driver = _call_running_at_node_4(world, PlannedCall(1))
        world.drain_node("node-4")
        world.run_for(10.0)
        driver.finished = True
        return world.settle()


def executor_cut_off_after_grant(seed: int) -> list[Violation]:
    """A call runs at its engine, and its executor can reach no group any more."""
    with mock.patch.object(world_module, "CALLER_TIMEOUT_S", 200.0), _world(seed) as world:
        _call_running_at_node_4(world, PlannedCall(1, unrepeatable=True))
        host = world.nodes["node-4"].host
        for other in world.nodes.values():
            if other.host != host:
                world.cut(host, other.host, both_ways=True)
        world.run_for(100.0)
        return world.settle()


def _call_running_at_node_4(world: World, call: PlannedCall) -> ProgramDriver:
    """Send one call to a node without disk and wait until an engine has started it."""
    driver = world.start_program([])
    driver.calls.append(call)
    world.send(driver.request(call, world.nodes["node-4"].clock.wall_ms()), "node-4")
    _wait_for_start(world)
    return driver


def _wait_for_start(world: World) -> None:
    world.wait_for(lambda: any(r.starts for r in world.runners.values()), 10.0)


def _cut_way_from_engine_mid_stream(world: World) -> None:
    """Once an engine streams, cut its way to every node."""
    _wait_for_start(world)
    world.run_for(0.4)
    runner = next(name for name, r in world.runners.items() if r.starts)
    for holder in world.nodes.values():
        world.cut(runner, holder.host, both_ways=False)


def executor_dies_and_program_ends(seed: int) -> list[Violation]:
    """The executor of a call dies, nobody asks again, and the program is ended."""
    with _world(seed) as world:
        driver = _call_running_at_node_4(world, PlannedCall(1, unrepeatable=True))
        world.kill_node("node-4")
        driver.finished = True
        return world.settle()
