"""Deterministic stateful fuzzing of a complete simulated installation."""

import logging
import unittest
from typing import ClassVar

from bendshed.rehearsal.search import STEPS_PER_WORLD, Step
from bendshed.rehearsal.simulator.fuzz import INSTALLATION, Action
from tests.search_machine import build_state_machine, stateful_settings

EXAMPLES = 25
STEPS = 30
LOAD = (Action.START_PROGRAM, Action.START_BRANCHES, Action.SUBMIT_TWICE)
REPAIR = (Action.ADVANCE, Action.RESTART_NODE, Action.RESUME_NODE, Action.HEAL, Action.STORE_UP)
LOST_MAJORITY_SEEDS = (5123, 5137)
FAULTS = tuple(action for action in Action if action not in (*LOAD, *REPAIR))

InstallationMachine = build_state_machine(
    INSTALLATION, {"load": LOAD, "fault": FAULTS, "repair": REPAIR}
)


class FuzzTest(InstallationMachine.TestCase):  # type: ignore[misc, name-defined]
    settings: ClassVar = stateful_settings(EXAMPLES, STEPS)


class RegressionSeedsTest(unittest.TestCase):
    """Guards against a group that loses its majority permanently: a stopping voter that still
    replied was removed before a dead one.
    """

    def test_lost_disk_is_removed_before_a_stopping_node(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        for seed in LOST_MAJORITY_SEEDS:
            with self.subTest(seed=seed):
                steps = INSTALLATION.random_steps(seed, STEPS_PER_WORLD)
                world, violations = INSTALLATION.run(seed, steps)
                world.close()
                self.assertEqual(violations, [])


class TraceTest(unittest.TestCase):
    def test_written_trace_can_be_read(self) -> None:
        steps = [Step(Action.KILL_NODE, 3, 0.25), Step(Action.ADVANCE, 0, 1.0)]
        trace = INSTALLATION.write_trace(7, steps)
        self.assertEqual(INSTALLATION.read_trace(trace), (7, steps))
