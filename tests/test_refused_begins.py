"""A late copy of a begin reserved tokens of a program although its turn had been refused.

Seen: a program at rest was refused again and again by a reservation of a turn that never ran.

Cause: a begin that was silent on its direct path went through a relay too. The relayed copy was
refused; the direct one arrived once the budget was free again, was granted, and nobody ended it.
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

    def test_a_copy_gets_the_same_answer(self) -> None:
        self.note(wire.TURN_ANSWER_BUDGET_RESERVED)
        reply = self.refused.find(begin_of(), 1.0)
        assert reply is not None
        self.assertEqual(reply.answer, wire.TURN_ANSWER_BUDGET_RESERVED)
        self.assertEqual(reply.retry_after_ms, 300)
        self.assertIsNone(self.refused.find(begin_of("other"), 1.0))

    def test_for_a_time(self) -> None:
        self.note(wire.TURN_ANSWER_BUDGET_SPENT)
        self.assertTrue(self.is_refused(REFUSAL_TTL_S - 0.1))
        self.assertFalse(self.is_refused(REFUSAL_TTL_S))

    def test_a_granted_begin_is_not(self) -> None:
        self.note(wire.TURN_ANSWER_GRANTED)
        self.assertFalse(self.is_refused())

    def test_nor_one_that_this_group_is_to_decide_on_again(self) -> None:
        self.note(wire.TURN_ANSWER_OTHER_GROUP, owner_group=GROUP)
        self.assertFalse(self.is_refused())
        self.note(wire.TURN_ANSWER_OTHER_GROUP, owner_group=OTHER_GROUP)
        self.assertTrue(self.is_refused())

    def test_nor_one_that_went_to_a_runner_meanwhile(self) -> None:
        self.note(wire.TURN_ANSWER_QUOTA_EXCEEDED)
        self.assertFalse(self.is_refused(has_left=True))

    def test_they_are_bounded(self) -> None:
        self.note(wire.TURN_ANSWER_BUDGET_SPENT)
        spent = wire.TurnReply(answer=wire.TURN_ANSWER_BUDGET_SPENT)
        for number in range(MAX_REFUSALS):
            self.refused.record(begin_of(f"t{number}"), spent, 0.0)
        self.assertFalse(self.is_refused())
