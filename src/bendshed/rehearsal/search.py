"""Plays simulated worlds through random steps, one seed a world, until a promise breaks.

A ``Step`` is a plain value, so a trace can be written, replayed and shortened. The Hypothesis state
machines in the tests draw the same steps.
"""

import json
import random
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import asdict, dataclass, field
from enum import StrEnum
from typing import Generic, Protocol, TypeVar

STEPS_PER_WORLD = 40
MAX_WHICH = 6
"""A step names its machine, runner or program by a number below this."""

ActionT = TypeVar("ActionT", bound=StrEnum)
ViolationT = TypeVar("ViolationT")


@dataclass(frozen=True, slots=True)
class Step(Generic[ActionT]):
    """One step: what, on which machine, runner or program (by number), and how much."""

    action: ActionT
    which: int = 0
    amount: float = 1.0


@dataclass(frozen=True, slots=True)
class Tally:
    """What one world saw."""

    programs: int
    requests: int
    runs: int
    simulated_s: float


class SearchedWorld(Protocol[ViolationT]):
    """A simulated world.

    Attributes:
        faults: injected faults by kind.

    """

    faults: dict[str, int]

    def settle(self) -> list[ViolationT]:
        """Heal everything, let it end, and judge."""

    def tally(self) -> Tally:
        """Count what was seen."""

    def close(self) -> None:
        """End everything that still runs."""


WorldT = TypeVar("WorldT", bound=SearchedWorld)  # type: ignore[type-arg]


@dataclass(slots=True)
class SearchReport:
    """Figures of a search.

    Attributes:
        faults: injected faults by kind.
        violations: what did not hold.
        failing_seed: seed of the world that showed it.
        trace: its steps, one line that replays.

    """

    worlds: int = 0
    steps: int = 0
    programs: int = 0
    requests: int = 0
    runs: int = 0
    simulated_s: float = 0.0
    real_s: float = 0.0
    faults: dict[str, int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    failing_seed: int | None = None
    trace: str = ""

    def add(self, world: SearchedWorld[ViolationT], num_steps: int) -> None:
        """Add one world's figures."""
        seen = world.tally()
        self.worlds += 1
        self.steps += num_steps
        self.programs += seen.programs
        self.requests += seen.requests
        self.runs += seen.runs
        self.simulated_s += seen.simulated_s
        for fault, count in world.faults.items():
            self.faults[fault] = self.faults.get(fault, 0) + count


@dataclass(frozen=True, slots=True)
class Game(Generic[ActionT, WorldT, ViolationT]):
    """A kind of world and what may be done to it.

    Attributes:
        start: makes the world of a seed.
        apply: carries one step out and lets a little time pass.
        actions: what steps are drawn from; repairs are listed more than once.
        read_action: reads an action as a trace holds it.
        describe: a violation in words.

    """

    start: Callable[[int], WorldT]
    apply: Callable[[WorldT, Step[ActionT]], None]
    actions: Sequence[ActionT]
    read_action: Callable[[str], ActionT]
    describe: Callable[[ViolationT], str]

    def random_steps(self, seed: int, count: int) -> list[Step[ActionT]]:
        """Steps of one world; a seed fixes its whole trace."""
        rng = random.Random(seed)
        return [
            Step(rng.choice(self.actions), rng.randrange(MAX_WHICH), round(rng.random(), 3))
            for _ in range(count)
        ]

    def run(self, seed: int, steps: list[Step[ActionT]]) -> tuple[WorldT, list[ViolationT]]:
        """Run one world through its steps, settle and judge it. The caller closes it."""
        world = self.start(seed)
        try:
            for step in steps:
                self.apply(world, step)
            return world, world.settle()
        except BaseException:
            world.close()
            raise

    def search(self, seed: int, max_steps: int, max_s: float) -> Iterator[SearchReport]:
        """Play worlds until a bound or the first violation; yield the growing report."""
        report = SearchReport()
        started_s = time.monotonic()
        while report.steps < max_steps and not report.violations and report.real_s < max_s:
            world_seed = seed + report.worlds
            steps = self.random_steps(world_seed, min(STEPS_PER_WORLD, max_steps - report.steps))
            world, violations = self.run(world_seed, steps)
            report.add(world, len(steps))
            report.real_s = time.monotonic() - started_s
            if violations:
                report.violations = [self.describe(violation) for violation in violations]
                report.failing_seed = world_seed
                report.trace = self.write_trace(world_seed, steps)
            world.close()
            yield report

    @staticmethod
    def write_trace(seed: int, steps: list[Step[ActionT]]) -> str:
        """One line of JSON that replays."""
        return json.dumps({"seed": seed, "steps": [list(asdict(step).values()) for step in steps]})

    def read_trace(self, text: str) -> tuple[int, list[Step[ActionT]]]:
        """Read what ``write_trace`` wrote."""
        content = json.loads(text)
        steps = [
            Step(self.read_action(action), which, amount)
            for action, which, amount in content["steps"]
        ]
        return content["seed"], steps
