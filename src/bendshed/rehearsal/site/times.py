"""Times without service after each kind of store fault, and until all is on all replicas again.

Virtual time: latencies as in the simulator's network, writes as fast as its disks.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from bendshed.rehearsal.simulator.platform import SimDisk
from bendshed.rehearsal.site.sim_world import SimMachine, SiteWorld

STEP_S = 0.01
LIMIT_S = 20.0
SETTLE_S = 6.0
PERCENTILES = (50, 95, 100)


class StoreFault(StrEnum):
    """What happens to the machine whose replica leads."""

    KILL = "killed"
    FREEZE = "frozen"
    WIPE = "restarted with an empty disk"
    STOP = "stopped in order"


@dataclass(frozen=True, slots=True)
class FaultTimes:
    """Times after one kind of fault, in milliseconds: p50, p95, most.

    Attributes:
        without_leader_ms: until another replica leads and may answer.
        until_whole_ms: until as many voters as wanted hold all that is committed.

    """

    fault: StoreFault
    samples: int
    without_leader_ms: tuple[int, ...]
    until_whole_ms: tuple[int, ...]


def measure(fault: StoreFault, seeds: range) -> FaultTimes:
    """Play one world a seed."""
    gaps: list[float] = []
    repairs: list[float] = []
    for seed in seeds:
        gap_s, repair_s = _play(fault, seed)
        gaps.append(gap_s)
        repairs.append(repair_s)
    return FaultTimes(fault, len(gaps), _percentiles_ms(gaps), _percentiles_ms(repairs))


def _play(fault: StoreFault, seed: int) -> tuple[float, float]:
    world = SiteWorld.started(seed)
    try:
        world.run_for(SETTLE_S + random.Random(seed).random())
        leader = world.leader()
        assert leader is not None
        began_s = world.loop.time()
        _strike(world, leader, fault)
        _wait(world, lambda: world.leader() not in (None, leader))
        gap_s = world.loop.time() - began_s
        _wait(world, lambda: _is_whole(world, leader))
        return gap_s, world.loop.time() - began_s
    finally:
        world.close()


def _strike(world: SiteWorld, leader: SimMachine, fault: StoreFault) -> None:
    match fault:
        case StoreFault.KILL:
            world.kill(leader)
        case StoreFault.FREEZE:
            leader.process.paused = True
        case StoreFault.WIPE:
            world.kill(leader)
            leader.disk = SimDisk(identity=f"{leader.name}-disk-2")
            world.restart(leader)
        case StoreFault.STOP:
            assert leader.replica is not None
            leader.process.spawn(world.loop, leader.replica.stop())


def _is_whole(world: SiteWorld, struck: SimMachine) -> bool:
    """As many voters as wanted, none of them the struck one, hold all that is committed."""
    leader = world.leader()
    if leader is None or leader is struck or leader.replica is None:
        return False
    return leader.replica.supervisor.num_sound_voters() >= world.layout.num_voters


def _wait(world: SiteWorld, condition: Callable[[], bool]) -> None:
    until_s = world.loop.time() + LIMIT_S
    while not condition():
        if world.loop.time() > until_s:
            raise TimeoutError(f"not reached in {LIMIT_S} virtual seconds")
        world.run_for(STEP_S)


def _percentiles_ms(values_s: list[float]) -> tuple[int, ...]:
    ordered = sorted(values_s)
    places = [min(len(ordered) - 1, len(ordered) * percent // 100) for percent in PERCENTILES]
    return tuple(round(ordered[place] * 1000) for place in places)
