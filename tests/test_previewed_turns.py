"""A turn that was dispatched on a granted preview and whose begin is then rejected."""

import asyncio
import unittest
from dataclasses import replace
from typing import cast
from unittest.mock import MagicMock

from bendshed.errors import ErrorKind, Refusal
from bendshed.policy import ALL_ENABLED
from bendshed.services.stream_exchange import StreamExchange
from bendshed.services.turn_record import TurnPorts, TurnRecord
from bendshed.turns.client import TurnClient
from bendshed.wire import turns_pb2 as wire


class FakeTurnClient:
    """Grants the preview, and answers the begin once the turn was dispatched."""

    is_isolated = False

    def __init__(self, answer: "wire.TurnAnswer.ValueType") -> None:
        self.answer = answer
        self.finishes: list[wire.FinishTurn] = []
        self.has_dispatched = asyncio.Event()

    async def preview(self, _asked: wire.TurnPreview) -> wire.TurnReply:
        return wire.TurnReply(answer=wire.TURN_ANSWER_GRANTED)

    async def command(
        self, command: wire.TurnCommand, _timeout_s: float, _before_try: object = None
    ) -> wire.TurnReply:
        if command.HasField("finish"):
            self.finishes.append(command.finish)
            return wire.TurnReply()
        await self.has_dispatched.wait()
        return wire.TurnReply(answer=self.answer)


class PreviewedTurnTest(unittest.IsolatedAsyncioTestCase):
    async def run_turn(self, client: FakeTurnClient, tenant: str) -> Refusal:
        policy = replace(ALL_ENABLED, shared_load=False)
        ports = TurnPorts(cast(TurnClient, client), MagicMock(), MagicMock(), MagicMock(), policy)
        attempts = MagicMock(may_have_run=False, answered_by="r")
        attempts.history.failed = []
        attempts.placement.has_preferred_runner = False
        attempts.principal.name = tenant
        attempts.principal.is_limited = False

        async def open_answer(_body: bytes) -> MagicMock:
            attempts.may_have_run = True
            client.has_dispatched.set()
            return MagicMock()

        attempts.open = open_answer
        request = MagicMock(request_id="q", program_id="p", body=b"")
        request.turn = MagicMock(previous_turn="", budget_tokens=9, max_answer_tokens=3)
        route = MagicMock(keeps_turns=False, retention_ms=0, timeout_ms=0)
        deadline_s = asyncio.get_running_loop().time() + 60
        record = TurnRecord(ports, request, route, attempts, None, deadline_s)
        outcome = await StreamExchange(request, attempts, MagicMock(), record).run()
        await ports.finish_background_work()
        assert isinstance(outcome, Refusal)
        return outcome

    async def test_finish_charges_a_dispatched_turn_whose_begin_is_refused(self) -> None:
        for answer in (wire.TURN_ANSWER_QUOTA_EXCEEDED, wire.TURN_ANSWER_BUDGET_SPENT):
            with self.subTest(answer=answer):
                client = FakeTurnClient(answer)
                refusal = await self.run_turn(client, "a tenant")
                self.assertEqual(refusal.kind, ErrorKind.ENGINE_LOST)
                (finish,) = client.finishes
                self.assertTrue(finish.was_sent)
                self.assertEqual(finish.outcome, wire.TURN_OUTCOME_NOTHING_HANDED_ON)

    async def test_no_finish_where_no_tenant_is_charged(self) -> None:
        client = FakeTurnClient(wire.TURN_ANSWER_BUDGET_SPENT)
        await self.run_turn(client, "")
        self.assertEqual(client.finishes, [])
