"""Programs were answered 402 for reservations of turns that never ran.

Seen: after a cut between two regions a program got 402 with 149 tokens of its budget left. A front
that stood still held reservations in the other region's group; in another world the ends of refused
turns there had not come yet.

Cause: what another group had reserved counted as used at once, and in the turn's own group what
had stood for three seconds. A reservation is no proof that tokens were handed out. Only what ended
turns were charged is spent; reservations tell the turn to come back until they are released.
"""

import unittest

from bendshed.admission.budget_use import BudgetUse, Verdict
from bendshed.turns.shares import GatheredShares
from bendshed.wire import turns_pb2 as wire

MOST = 10
BUDGET = 30


class BudgetUseTest(unittest.TestCase):
    def judge(self, spent: int, reserved: int) -> Verdict:
        return BudgetUse(spent, reserved).judge(MOST, BUDGET)

    def test_only_spent_tokens_make_a_budget_spent(self) -> None:
        self.assertEqual(self.judge(spent=21, reserved=0), Verdict.SPENT)
        self.assertEqual(self.judge(spent=20, reserved=0), Verdict.HELD)
        self.assertEqual(self.judge(spent=20, reserved=1), Verdict.RESERVED)
        self.assertEqual(self.judge(spent=0, reserved=30), Verdict.RESERVED)

    def test_a_budget_below_one_turn_is_spent(self) -> None:
        self.assertEqual(BudgetUse().judge(MOST, MOST - 1), Verdict.SPENT)


class GatheredSharesTest(unittest.TestCase):
    """A turn that one group's share does not hold, by what all groups use."""

    def judge(self, here: BudgetUse, elsewhere: BudgetUse, has_all: bool = True) -> Verdict:
        begin = wire.BeginTurn(most_tokens=MOST, budget_tokens=BUDGET)
        reply = wire.TurnReply(spent_tokens=here.spent_tokens, reserved_tokens=here.reserved_tokens)
        return GatheredShares(has_all, elsewhere).classify_shortage(begin, reply)

    def test_what_is_spent_in_all_groups_counts(self) -> None:
        self.assertEqual(self.judge(BudgetUse(11, 0), BudgetUse(10, 0)), Verdict.SPENT)

    def test_what_is_reserved_in_any_group_does_not(self) -> None:
        self.assertEqual(self.judge(BudgetUse(10, 0), BudgetUse(0, 11)), Verdict.RESERVED)
        self.assertEqual(self.judge(BudgetUse(0, 11), BudgetUse(10, 0)), Verdict.RESERVED)

    def test_tokens_on_their_way_between_groups_count_for_none(self) -> None:
        self.assertEqual(self.judge(BudgetUse(10, 0), BudgetUse(10, 0)), Verdict.HELD)

    def test_nothing_is_said_while_a_group_is_silent(self) -> None:
        silent = self.judge(BudgetUse(11, 0), BudgetUse(), has_all=False)
        self.assertEqual(silent, Verdict.HELD)
