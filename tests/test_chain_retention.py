"""Chains of stored turns that are continued while their oldest turns are about to expire."""

import logging
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bendshed.rehearsal.site.documents import TURN_TIMEOUT_MS
from bendshed.rehearsal.site.programs import AgentProgram, ProgramPlan
from bendshed.rehearsal.site.sim_world import SiteWorld
from bendshed.turns.retention import stored_ms
from bendshed.wire import turns_pb2 as wire
from tests.test_turn_state import RETENTION_MS, TurnLog

ONE_TURN = ProgramPlan(turns=1, tools=0)
JUST_BEFORE_S = 0.02
AROUND_THE_EXPIRY_S = (0.6, 0.51, 0.49, 0.2, 0.02, 0.004, 0.0, -0.02, -0.5, -1.1)
SLOWNESS = 6.0
"""A turn then outlasts a sweep of expired turns."""


class ChainRetentionTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.start_site()

    def start_site(self) -> None:
        """Start a site and store a turn there."""
        self.site = SiteWorld.started(1)
        self.addCleanup(self.site.close)
        first = self.site.start_program(ONE_TURN)
        self.site.run_for(3.0)
        (self.turn,) = [r for r in self.site.seen.requests if r.request_id == first.last_turn]

    @property
    def stored_s(self) -> float:
        """How long the turn is stored, in seconds from the commit of its end."""
        return stored_ms(int(self.site.seen.retention_s * 1000), TURN_TIMEOUT_MS) / 1000

    # Guards against a chain that loses its first turn while a later one runs, and is then refused
    # with 503 for good, by a command that fails at every replica.
    def test_chain_is_stored_as_long_as_its_newest_turn(self) -> None:
        self.run_until(self.turn.ended_s + self.site.seen.retention_s - JUST_BEFORE_S)
        self.slow_runners(SLOWNESS)
        second = self.continue_at("front-1", self.turn.request_id)
        self.assertEqual(second.statuses, [200])
        self.slow_runners(1.0)
        for front in sorted(self.site.fronts):
            self.assertEqual(self.continue_at(front, second.last_turn).statuses, [200], front)

    # Guards against a chain that is refused although it is stored, and against one that expires
    # under a turn that was granted just before.
    def test_chain_is_continued_until_it_expires_and_stored_under_its_turn(self) -> None:
        self.run_until(self.turn.ended_s + self.stored_s - JUST_BEFORE_S)
        self.slow_runners(SLOWNESS)
        late = self.continue_at("front-1", self.turn.request_id)
        self.assertEqual(late.statuses, [200])
        self.slow_runners(1.0)
        for front in sorted(self.site.fronts):
            self.assertEqual(self.continue_at(front, late.last_turn).statuses, [200], front)

    # Guards against a turn that runs and is refused then, since its chain expires meanwhile.
    def test_turn_around_the_expiry_of_its_chain_is_served_or_refused_before_it_runs(self) -> None:
        statuses = []
        for number, before_s in enumerate(AROUND_THE_EXPIRY_S):
            if number:
                self.start_site()
            self.run_until(self.turn.ended_s + self.stored_s - before_s)
            late = self.continue_at("front-1", self.turn.request_id)
            has_run = late.program_id in {run.program_id for run in self.site.seen.runs}
            self.assertIn((late.statuses, has_run), (([200], True), ([404], False)), before_s)
            statuses += late.statuses
        self.assertEqual(statuses, sorted(statuses))
        self.assertEqual({200, 404}, set(statuses))

    def run_until(self, at_s: float) -> None:
        self.site.run_for(at_s - self.site.loop.time())

    def slow_runners(self, factor: float) -> None:
        for runner in self.site.runners.values():
            runner.troubles.slow = factor

    def continue_at(self, front: str, turn: str) -> AgentProgram:
        program = self.site.start_program(ONE_TURN, continues=turn)
        program.pick_node = lambda: front
        self.site.run_for(4.0)
        return program


NUM_TURNS = 4
ACTIONS = st.sampled_from(("begin", "begin held", "finish", "finish", "wait"))
STEPS = st.lists(st.tuples(ACTIONS, st.integers(1, NUM_TURNS)), min_size=4, max_size=30)


class ChainStateTest(unittest.TestCase):
    # Guards against a committed command that fails, at every replica and at each replay of the log.
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(STEPS)
    def test_no_order_of_turns_and_expiries_makes_a_command_fail(
        self, steps: list[tuple[str, int]]
    ) -> None:
        log = TurnLog()
        for action, number in steps:
            turn, previous = f"t{number}", f"t{number - 1}" if number > 1 else ""
            match action:
                case "begin":
                    self.check_chain(log.begin(turn, previous), previous)
                case "begin held":
                    log.begin(turn, previous, held=previous)
                case "finish":
                    log.finish(turn, previous)
                case _:
                    log.now_ms += number * RETENTION_MS // NUM_TURNS + 1_000

    def check_chain(self, reply: wire.TurnReply, previous: str) -> None:
        """A granted turn gets its chain whole, from the first turn to the one that it continues."""
        if reply.answer == wire.TURN_ANSWER_GRANTED and previous:
            turns = [piece.turn_id for piece in reply.chain]
            self.assertEqual(turns, [f"t{number}" for number in range(1, len(turns) + 1)])
            self.assertEqual(turns[-1], previous)
