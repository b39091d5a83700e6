"""Turns that go on from a stored one were refused as spent, for good, after a loss of power.

Seen: a program whose first turn had ended whole asked again and again once power was back, with a
new id each time. No try reached a runner, and the last ones were answered 402.

How it came about: a leader took begins of these tries and could not commit them in time, so the
callers got 503. The entries were committed later. A budget that holds few turns is not previewed as
granted, so these tries waited for their commit alone and went to no runner.

Cause: a begin that was refused to its caller, or whose caller left, got no end, and its worst case
stayed reserved until the program was forgotten. A few such tries held the whole budget.

Proof: with the end left out, the simulated site refuses the next turn with nothing spent; random
worlds show the ids of refused turns among a resting program's reservations.
"""

import asyncio
import logging
import unittest
from dataclasses import replace
from typing import cast
from unittest.mock import MagicMock

from bendshed.consensus.group_client import GroupUnavailable
from bendshed.errors import ErrorKind, Refusal
from bendshed.policy import EVERYTHING
from bendshed.rehearsal.site.oracle import Rule, check_spent
from bendshed.rehearsal.site.records import Kind, SiteRequest
from bendshed.rehearsal.site.runner import EVENT_TOKENS
from bendshed.rehearsal.site.sim_world import SiteWorld
from bendshed.services.stream_exchange import StreamExchange
from bendshed.services.turn_record import TurnPorts, TurnRecord
from bendshed.turns.client import TurnClient
from bendshed.wire import turns_pb2 as wire
from tests.site_budget_defects import (
    begins_are_committed_too_late,
    caller_retries_before_the_ends_arrive,
    fronts_stop_before_their_ends,
    no_begin_is_committed_for_half_a_minute,
)

EVENTS = 3


class SilentLog:
    """Takes begins and answers none; answers ends."""

    is_isolated = False

    def __init__(self) -> None:
        self.ended: list[str] = []
        self.has_begun = asyncio.Event()
        self.gives_up = asyncio.Event()

    async def preview(self, _asked: wire.TurnPreview) -> None:
        return None

    async def command(
        self, command: wire.TurnCommand, _timeout_s: float, *_watch: object
    ) -> wire.TurnReply:
        if command.HasField("finish"):
            self.ended.append(command.finish.turn_id)
            return wire.TurnReply()
        self.has_begun.set()
        await self.gives_up.wait()
        raise GroupUnavailable("no leader answered")


class RefusedBeginTest(unittest.IsolatedAsyncioTestCase):
    """A begin whose outcome is unknown, at its front."""

    def exchange(self) -> StreamExchange:
        policy = replace(EVERYTHING, shared_load=False)
        client = cast(TurnClient, self.log)
        self.ports = TurnPorts(client, MagicMock(), MagicMock(), MagicMock(), policy)
        attempts = MagicMock(may_have_run=False, answered_by="")
        attempts.history.failed = []
        attempts.placement.has_preferred_runner = False
        attempts.principal.name = ""
        attempts.principal.is_limited = False
        request = MagicMock(request_id="q", program_id="p", body=b"")
        request.turn = MagicMock(previous_turn="", budget_tokens=9, most_tokens=3)
        route = MagicMock(keeps_turns=False, retention_ms=0)
        deadline_s = asyncio.get_running_loop().time() + 60
        record = TurnRecord(self.ports, request, route, attempts, None, deadline_s)
        return StreamExchange(request, attempts, MagicMock(), record)

    async def all_ended(self) -> list[str]:
        await self.ports.finish_late()
        return self.log.ended

    async def refuse(self) -> None:
        """The log stays silent until the turn may wait no longer."""
        self.log.gives_up.set()
        outcome = await self.exchange().run()
        assert isinstance(outcome, Refusal)
        self.assertEqual(outcome.kind, ErrorKind.TURN_LOG_UNAVAILABLE)

    async def leave(self) -> None:
        """The caller closes its connection while the log is silent."""
        running = asyncio.create_task(self.exchange().run())
        await self.log.has_begun.wait()
        running.cancel()
        self.log.gives_up.set()
        await asyncio.gather(running, return_exceptions=True)

    async def test_it_is_ended_however_the_caller_goes(self) -> None:
        for go in (self.refuse, self.leave):
            self.log = SilentLog()
            await go()
            self.assertEqual(await self.all_ended(), ["q"], go.__name__)


class SpentBudgetTest(unittest.TestCase):
    """The same in a simulated site: begins reach the voters' logs and are committed too late."""

    def test_turns_that_never_ran_do_not_spend_it(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.assertEqual([begins_are_committed_too_late(seed) for seed in (1, 2, 3)], [[], [], []])

    def test_nor_while_the_turn_log_is_away_for_long(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.assertEqual(
            [no_begin_is_committed_for_half_a_minute(seed) for seed in (1, 2)], [[], []]
        )

    def test_nor_when_the_next_try_meets_the_new_leader(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        played = [caller_retries_before_the_ends_arrive(1, after_s) for after_s in (0.0, 0.2, 0.5)]
        self.assertEqual(played, [[], [], []])

    def test_nor_where_all_fronts_lost_power_before_their_ends(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.assertEqual(fronts_stop_before_their_ends(1), [])


class SpentRuleTest(unittest.TestCase):
    """The rule that judges 402s can fail, and allows what it must."""

    def setUp(self) -> None:
        self.world = SiteWorld.started(1)
        self.addCleanup(self.world.close)

    def refused(self, budget_tokens: int) -> SiteRequest:
        request = SiteRequest(
            "refused",
            Kind.TURN,
            "program",
            sent_s=9.0,
            node="front-1",
            budget_tokens=budget_tokens,
            most_events=EVENTS,
            status=402,
            is_over=True,
            ended_s=9.1,
        )
        self.world.seen.requests.append(request)
        return request

    def test_a_program_that_used_nothing_is_not_spent(self) -> None:
        self.refused(EVENTS * EVENT_TOKENS)
        (violation,) = check_spent(self.world.seen)
        self.assertIs(violation.rule, Rule.SPENT)

    def test_a_budget_below_one_turn_is_spent(self) -> None:
        self.refused(EVENTS * EVENT_TOKENS - 1)
        self.assertEqual(list(check_spent(self.world.seen)), [])
