"""A late duplicate of a begin reserved tokens of a program although its turn had been refused.

An idle program was refused repeatedly because of a reservation for a turn that never ran. A begin
that got no answer on its direct path was also sent through a relay. The relayed copy was refused;
the direct one arrived when the budget was free again and was granted, and its turn was never ended.
"""

import unittest

from bendshed.turns.refused_begins import MAX_REFUSALS, REFUSAL_TTL_S, RefusedBegins
from bendshed.wire import turns_pb2 as wire

GROUP, OTHER_GROUP = 0, 1


def begin_of(turn: str = "t", has_left: bool = False) -> wire.BeginTurn:
    return wire.BeginTurn(program_id="p", turn_id=turn, has_left=has_left)


class RefusedBeginsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.refused = RefusedBegins(GROUP)

    def note(self, answer: "wire.TurnAnswer.ValueType", owner_group: int = GROUP) -> None:
        reply = wire.TurnReply(answer=answer, owner_group=owner_group, retry_after_ms=300)
        self.refused.record(begin_of(), reply, 0.0)

    def is_refused(self, at_s: float = 1.0, has_left: bool = False) -> bool:
        return self.refused.find(begin_of(has_left=has_left), at_s) is not None

    def test_duplicate_begin_gets_the_same_refusal(self) -> None:
        self.note(wire.TURN_ANSWER_BUDGET_RESERVED)
        reply = self.refused.find(begin_of(), 1.0)
        assert reply is not None
        self.assertEqual(reply.answer, wire.TURN_ANSWER_BUDGET_RESERVED)
        self.assertEqual(reply.retry_after_ms, 300)
        self.assertIsNone(self.refused.find(begin_of("other"), 1.0))

    def test_refusal_expires(self) -> None:
        self.note(wire.TURN_ANSWER_BUDGET_SPENT)
        self.assertTrue(self.is_refused(REFUSAL_TTL_S - 0.1))
        self.assertFalse(self.is_refused(REFUSAL_TTL_S))

    def test_granted_begin_is_not_remembered(self) -> None:
        self.note(wire.TURN_ANSWER_GRANTED)
        self.assertFalse(self.is_refused())

    def test_only_referral_to_another_group_is_remembered(self) -> None:
        self.note(wire.TURN_ANSWER_OTHER_GROUP, owner_group=GROUP)
        self.assertFalse(self.is_refused())
        self.note(wire.TURN_ANSWER_OTHER_GROUP, owner_group=OTHER_GROUP)
        self.assertTrue(self.is_refused())

    def test_refusal_is_not_repeated_for_a_dispatched_turn(self) -> None:
        self.note(wire.TURN_ANSWER_QUOTA_EXCEEDED)
        self.assertFalse(self.is_refused(has_left=True))

    def test_number_of_refusals_is_bounded(self) -> None:
        self.note(wire.TURN_ANSWER_BUDGET_SPENT)
        spent = wire.TurnReply(answer=wire.TURN_ANSWER_BUDGET_SPENT)
        for number in range(MAX_REFUSALS):
            self.refused.record(begin_of(f"t{number}"), spent, 0.0)
        self.assertFalse(self.is_refused())
