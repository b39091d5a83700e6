"""Begins that are refused or whose callers disconnect must release their reservations.

The failure: after a power loss, turns that continue a stored one were refused as spent (402) for
good, although no attempt had reached a runner. A leader appended the begins of retries, each with a
new id, and could not commit them in time, so the callers got 503; the entries were committed later.
A budget that holds few turns is not granted in a preview, so these retries only waited for their
commit. Such a begin got no end, so its maximum cost stayed reserved until the program was
forgotten, and a few retries used up the whole budget.

Without the end, the simulated site refuses the next turn with nothing spent, and random worlds show
ids of refused turns among an idle program's reservations.
"""

import asyncio
import logging
import unittest
from dataclasses import replace
from typing import cast
from unittest.mock import MagicMock

from bendshed.consensus.group_client import GroupUnavailable
from bendshed.errors import ErrorKind, Refusal
from bendshed.policy import ALL_ENABLED
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

MAX_EVENTS = 3


class SilentTurnClient:
    """Receives begins without answering them; answers ends."""

    is_isolated = False

    def __init__(self) -> None:
        self.finished: list[str] = []
        self.has_begun = asyncio.Event()
        self.may_fail = asyncio.Event()

    async def preview(self, _asked: wire.TurnPreview) -> None:
        return None

    async def command(
        self, command: wire.TurnCommand, _timeout_s: float, *_watch: object
    ) -> wire.TurnReply:
        if command.HasField("finish"):
            self.finished.append(command.finish.turn_id)
            return wire.TurnReply()
        self.has_begun.set()
        await self.may_fail.wait()
        raise GroupUnavailable("no leader answered")


class RefusedBeginTest(unittest.IsolatedAsyncioTestCase):
    """A begin whose outcome is unknown to its front."""

    def exchange(self) -> StreamExchange:
        policy = replace(ALL_ENABLED, shared_load=False)
        client = cast(TurnClient, self.client)
        self.ports = TurnPorts(client, MagicMock(), MagicMock(), MagicMock(), policy)
        attempts = MagicMock(may_have_run=False, answered_by="")
        attempts.history.failed = []
        attempts.placement.has_preferred_runner = False
        attempts.principal.name = ""
        attempts.principal.is_limited = False
        request = MagicMock(request_id="q", program_id="p", body=b"")
        request.turn = MagicMock(previous_turn="", budget_tokens=9, max_answer_tokens=3)
        route = MagicMock(keeps_turns=False, retention_ms=0, timeout_ms=0)
        deadline_s = asyncio.get_running_loop().time() + 60
        record = TurnRecord(self.ports, request, route, attempts, None, deadline_s)
        return StreamExchange(request, attempts, MagicMock(), record)

    async def finished_turns(self) -> list[str]:
        await self.ports.finish_background_work()
        return self.client.finished

    async def time_out_begin(self) -> None:
        """The turn log does not answer until the begin times out."""
        self.client.may_fail.set()
        outcome = await self.exchange().run()
        assert isinstance(outcome, Refusal)
        self.assertEqual(outcome.kind, ErrorKind.TURN_LOG_UNAVAILABLE)

    async def cancel_request(self) -> None:
        """The caller disconnects while the turn log does not answer."""
        running = asyncio.create_task(self.exchange().run())
        await self.client.has_begun.wait()
        running.cancel()
        self.client.may_fail.set()
        await asyncio.gather(running, return_exceptions=True)

    async def test_begin_is_finished_after_timeout_or_cancellation(self) -> None:
        for end_request in (self.time_out_begin, self.cancel_request):
            self.client = SilentTurnClient()
            await end_request()
            self.assertEqual(await self.finished_turns(), ["q"], end_request.__name__)


class SpentBudgetTest(unittest.TestCase):
    """The same in a simulated site: voters append begins and commit them too late."""

    def test_late_commits_do_not_spend_the_budget(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.assertEqual([begins_are_committed_too_late(seed) for seed in (1, 2, 3)], [[], [], []])

    def test_long_turn_log_outage_does_not_spend_the_budget(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.assertEqual(
            [no_begin_is_committed_for_half_a_minute(seed) for seed in (1, 2)], [[], []]
        )

    def test_retry_at_a_new_leader_does_not_spend_the_budget(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        played = [caller_retries_before_the_ends_arrive(1, after_s) for after_s in (0.0, 0.2, 0.5)]
        self.assertEqual(played, [[], [], []])

    def test_power_loss_before_the_finish_does_not_spend_the_budget(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.assertEqual(fronts_stop_before_their_ends(1), [])


class SpentRuleTest(unittest.TestCase):
    """The rule that checks 402 responses detects violations and accepts valid ones."""

    def setUp(self) -> None:
        self.world = SiteWorld.started(1)
        self.addCleanup(self.world.close)

    def add_refused_request(self, budget_tokens: int) -> SiteRequest:
        request = SiteRequest(
            "refused",
            Kind.TURN,
            "program",
            sent_s=9.0,
            node="front-1",
            budget_tokens=budget_tokens,
            most_events=MAX_EVENTS,
            status=402,
            is_over=True,
            ended_s=9.1,
        )
        self.world.seen.requests.append(request)
        return request

    def test_reports_a_refusal_as_spent_of_an_unused_budget(self) -> None:
        self.add_refused_request(MAX_EVENTS * EVENT_TOKENS)
        (violation,) = check_spent(self.world.seen)
        self.assertIs(violation.rule, Rule.SPENT)

    def test_accepts_a_refusal_as_spent_of_a_budget_below_one_turn(self) -> None:
        self.add_refused_request(MAX_EVENTS * EVENT_TOKENS - 1)
        self.assertEqual(list(check_spent(self.world.seen)), [])
