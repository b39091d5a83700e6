"""Clients that return at the end of the time for which a turn must be found, or after it."""

import logging
import unittest
from dataclasses import replace

from bendshed.model.service_document import Route
from bendshed.ports.runner import ServiceRequest, TurnDetails
from bendshed.rehearsal.search import STEPS_PER_WORLD
from bendshed.rehearsal.site.fuzz import RETURNS, RETURNS_IN_TWO_REGIONS
from bendshed.services.turn_codec import TurnCodec, TurnEnd
from bendshed.services.turn_output import TurnOutput
from bendshed.turns.retention import COMMIT_MARGIN_MS
from bendshed.turns.state import MIN_PROGRAM_RETENTION_MS, TurnLogState
from bendshed.wire import turns_pb2 as wire
from tests.test_dispatch_restrictions import STREAM

WORLDS = ((RETURNS, (1,)), (RETURNS_IN_TWO_REGIONS, (1, 4)))
"""Seed 4 of two regions failed where the time counted from the commit of the end."""
RETENTION_MS, TIMEOUT_MS = 60_000, 4_000


class LateReturnsTest(unittest.TestCase):
    # Guards against a false 404 to clients that return late beside random failures.
    def test_seeded_worlds_with_late_returns(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        for game, seeds in WORLDS:
            for seed in seeds:
                world, violations = game.run(seed, game.random_steps(seed, STEPS_PER_WORLD))
                world.close()
                self.assertEqual(violations, [], seed)

    # Guards against a time that ends while the answer, or the turn that continues it, is under way,
    # and against callers that size the store by the wait which they state.
    def test_stored_time_covers_both_turns_as_long_as_their_route_allows(self) -> None:
        route = replace(STREAM, keeps_turns=True, retention_ms=RETENTION_MS, timeout_ms=TIMEOUT_MS)
        expected_ms = RETENTION_MS + 2 * TIMEOUT_MS + COMMIT_MARGIN_MS
        for wait_ms in (None, TIMEOUT_MS // 2, 100 * TIMEOUT_MS):
            self.assertEqual(self.retention_of(route, wait_ms), expected_ms)

    def test_turns_that_are_not_stored_ask_for_no_longer_time(self) -> None:
        route = replace(STREAM, retention_ms=RETENTION_MS, timeout_ms=TIMEOUT_MS)
        self.assertEqual(self.retention_of(route, None), RETENTION_MS)

    # Guards against a budget that is forgotten, and granted again, while one of its turns runs.
    def test_budget_is_stored_as_long_as_a_turn_may_run(self) -> None:
        timeout_ms = 10 * MIN_PROGRAM_RETENTION_MS
        route = replace(STREAM, keeps_turns=True, retention_ms=RETENTION_MS, timeout_ms=timeout_ms)
        state = TurnLogState()
        begin = TurnCodec(_request(timeout_ms), route, "").encode_begin(num_groups=1)
        begin.has_budget, begin.budget_tokens, begin.most_tokens = True, 100, 60
        state.apply(wire.TurnCommand(begin=begin).SerializeToString())
        begin.turn_id = "other"
        later = wire.TurnCommand(begin=begin, elapsed_ms=timeout_ms)
        reply = state.apply(later.SerializeToString())
        self.assertEqual((reply.answer, reply.reserved_tokens), (wire.TURN_ANSWER_BUDGET_SPENT, 60))

    @staticmethod
    def retention_of(route: Route, wait_ms: int | None) -> int:
        codec = TurnCodec(_request(wait_ms), route, "")
        end = TurnEnd(is_complete=True, runner_id="", failed=[], may_have_run=True)
        command = codec.encode_finish(0, TurnOutput(None, route.keeps_turns), end)
        return command.finish.retention_ms


def _request(wait_ms: int | None) -> ServiceRequest:
    turn = TurnDetails("", None, 9)
    return ServiceRequest(
        "r", b"POST", b"/", "h", "/", [], b"", wait_ms, "p", "", "", turn, arrived_s=0.0
    )
