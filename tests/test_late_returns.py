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
