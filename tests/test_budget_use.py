"""Guards against answering 402 because of reservations of turns that never ran.

Tokens reserved in another group used to count as used at once, and in the turn's own group after
three seconds. After a partition between two regions, a program therefore got 402 with 149 tokens of
its budget left: a paused front still held reservations in the other region's group, or the ends of
rejected turns had not arrived there yet.

A reservation does not prove that tokens were delivered. Only tokens charged for ended turns are
spent; while reservations exist, the turn is told to retry.
"""

import unittest

from bendshed.admission.budget_use import BudgetStatus, BudgetUse
from bendshed.turns.shares import GatheredShares
from bendshed.wire import turns_pb2 as wire

MAX_TOKENS = 10
BUDGET = 30


class BudgetUseTest(unittest.TestCase):
    def status(self, spent: int, reserved: int) -> BudgetStatus:
        return BudgetUse(spent, reserved).status_for_turn(MAX_TOKENS, BUDGET)

    def test_only_charged_tokens_make_a_budget_spent(self) -> None:
        self.assertEqual(self.status(spent=21, reserved=0), BudgetStatus.SPENT)
        self.assertEqual(self.status(spent=20, reserved=0), BudgetStatus.SUFFICIENT)
        self.assertEqual(self.status(spent=20, reserved=1), BudgetStatus.RESERVED)
        self.assertEqual(self.status(spent=0, reserved=30), BudgetStatus.RESERVED)

    def test_a_budget_below_one_turn_is_spent(self) -> None:
        self.assertEqual(
            BudgetUse().status_for_turn(MAX_TOKENS, MAX_TOKENS - 1), BudgetStatus.SPENT
        )


class GatheredSharesTest(unittest.TestCase):
    """Status of a turn that does not fit into one group's share, given the use in all groups."""

    def status(
        self, here: BudgetUse, use_elsewhere: BudgetUse, is_complete: bool = True
    ) -> BudgetStatus:
        begin = wire.BeginTurn(most_tokens=MAX_TOKENS, budget_tokens=BUDGET)
        reply = wire.TurnReply(spent_tokens=here.spent_tokens, reserved_tokens=here.reserved_tokens)
        return GatheredShares(is_complete, use_elsewhere).classify_shortage(begin, reply)

    def test_tokens_spent_in_all_groups_count(self) -> None:
        self.assertEqual(self.status(BudgetUse(11, 0), BudgetUse(10, 0)), BudgetStatus.SPENT)

    def test_tokens_reserved_in_any_group_do_not_count_as_spent(self) -> None:
        self.assertEqual(self.status(BudgetUse(10, 0), BudgetUse(0, 11)), BudgetStatus.RESERVED)
        self.assertEqual(self.status(BudgetUse(0, 11), BudgetUse(10, 0)), BudgetStatus.RESERVED)

    def test_tokens_in_transit_between_groups_do_not_count(self) -> None:
        self.assertEqual(self.status(BudgetUse(10, 0), BudgetUse(10, 0)), BudgetStatus.SUFFICIENT)

    def test_no_status_is_given_while_a_group_is_silent(self) -> None:
        silent = self.status(BudgetUse(11, 0), BudgetUse(), is_complete=False)
        self.assertEqual(silent, BudgetStatus.SUFFICIENT)
