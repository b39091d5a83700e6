"""Reservations of refused turns leaked if their fronts lost power before they sent the turn ends.

A program whose attempts were all refused, none of which reached a runner, got 402 once its fronts
were back. Only the front knew that the begin was refused, and a front has no disk. The process that
proposed the begin also knows that it did not answer: it withdraws such begins, and the leader ends
a turn once every begin behind its reservation is withdrawn.
"""

import logging
import unittest

from bendshed.admission.program_budget import UNNUMBERED
from bendshed.turns.state import TurnLogState
from bendshed.turns.unanswered_begins import (
    FIRST_WITHDRAWAL_DELAY_S,
    WITHDRAWAL_RETRY_INTERVAL_S,
    ProposedBegins,
    UnansweredBegins,
    turn_key,
)
from bendshed.wire import turns_pb2 as wire
from tests.site_budget_defects import fronts_lose_power_during_an_outage

TERM = 7
TURN = ("", "p", "t")


def begin_of(proposal: int = 0) -> wire.BeginTurn:
    return wire.BeginTurn(
        program_id="p",
        turn_id="t",
        has_budget=True,
        budget_tokens=30,
        most_tokens=10,
        proposal=proposal,
    )


def apply(state: TurnLogState, begin: wire.BeginTurn) -> wire.TurnReply:
    return state.apply(wire.TurnCommand(begin=begin).SerializeToString())


def end(state: TurnLogState) -> None:
    finish = wire.FinishTurn(program_id="p", turn_id="t")
    state.apply(wire.TurnCommand(finish=finish).SerializeToString())


class WithdrawalTest(unittest.TestCase):
    """Withdrawals by the process that proposed the begins."""

    def setUp(self) -> None:
        self.state = TurnLogState()
        self.unanswered = UnansweredBegins()
        self.applied_index = 0

    def due(self, now_s: float) -> list[list[int]]:
        rows = self.unanswered.due_withdrawals(self.state, lambda i: i <= self.applied_index, now_s)
        return [list(row.proposals) for row in rows]

    def commit(self, proposal: int, index: int) -> None:
        apply(self.state, begin_of(proposal))
        self.applied_index = index

    def test_withdrawal_is_repeated_until_the_reservation_is_gone(
        self,
    ) -> None:
        self.unanswered.record(begin_of(1), 5)
        self.commit(1, 5)
        self.assertEqual(self.due(0.0), [])
        self.assertEqual(self.due(FIRST_WITHDRAWAL_DELAY_S), [[1]])
        self.assertEqual(self.due(FIRST_WITHDRAWAL_DELAY_S + WITHDRAWAL_RETRY_INTERVAL_S / 2), [])
        self.assertEqual(self.due(FIRST_WITHDRAWAL_DELAY_S + WITHDRAWAL_RETRY_INTERVAL_S), [[1]])

    def test_all_begins_of_a_turn_are_withdrawn_together(self) -> None:
        for proposal, index in ((1, 5), (2, 6)):
            self.unanswered.record(begin_of(proposal), index)
            self.commit(proposal, index)
        self.due(0.0)
        self.assertEqual(self.due(FIRST_WITHDRAWAL_DELAY_S), [[1, 2]])

    def test_withdrawal_waits_until_the_log_entry_is_settled(self) -> None:
        self.unanswered.record(begin_of(1), 5)
        self.assertEqual(self.due(0.0), [])
        self.assertEqual(len(self.unanswered), 1)
        self.commit(1, 5)
        self.due(100.0)
        self.assertEqual(self.due(100.0 + FIRST_WITHDRAWAL_DELAY_S), [[1]])

    def test_begin_whose_log_entry_was_replaced_is_forgotten(self) -> None:
        self.unanswered.record(begin_of(1), 5)
        self.applied_index = 5
        self.assertEqual(self.due(0.0), [])
        self.assertEqual(len(self.unanswered), 0)

    def test_begin_ended_by_its_front_is_forgotten(self) -> None:
        self.unanswered.record(begin_of(1), 5)
        self.commit(1, 5)
        end(self.state)
        self.assertEqual(self.due(FIRST_WITHDRAWAL_DELAY_S), [])
        self.assertEqual(len(self.unanswered), 0)


class ReleaseTest(unittest.TestCase):
    """Conditions under which a leader releases a reservation."""

    def setUp(self) -> None:
        self.state = TurnLogState()
        self.begins = ProposedBegins()

    def propose(self) -> wire.BeginTurn:
        begin = begin_of()
        self.begins.assign_number(begin, TERM)
        return begin

    def commit(self) -> wire.BeginTurn:
        begin = self.propose()
        apply(self.state, begin)
        self.begins.settle(begin)
        return begin

    def withdraw(self, *begins: wire.BeginTurn, term: int = TERM) -> None:
        row = wire.WithdrawBegin(
            program_id="p", turn_id="t", proposals=[begin.proposal for begin in begins]
        )
        self.begins.withdraw(row, term)

    def can_release(self) -> bool:
        return self.begins.can_release(TURN, self.state)

    def test_reservation_is_released_once_all_its_begins_are_withdrawn(self) -> None:
        first, second = self.commit(), self.commit()
        self.assertEqual(turn_key(first), TURN)
        self.withdraw(first)
        self.assertFalse(self.can_release())
        self.withdraw(second)
        self.assertTrue(self.can_release())

    def test_no_release_while_a_begin_may_still_be_answered(self) -> None:
        first = self.commit()
        self.withdraw(first)
        in_flight = self.propose()
        self.assertFalse(self.can_release())
        self.begins.settle(in_flight)
        self.assertTrue(self.can_release())

    def test_no_release_without_reservation(self) -> None:
        self.assertFalse(self.can_release())

    def test_no_release_with_an_unnumbered_begin(self) -> None:
        first = self.commit()
        apply(self.state, begin_of(UNNUMBERED))
        self.withdraw(first)
        self.assertFalse(self.can_release())

    def test_withdrawals_of_an_earlier_term_do_not_count(self) -> None:
        first, second = self.commit(), self.commit()
        self.withdraw(first)
        self.withdraw(second, term=TERM + 1)
        self.assertFalse(self.can_release())

    def test_proposal_numbers_of_two_terms_differ(self) -> None:
        other = begin_of()
        ProposedBegins().assign_number(other, TERM + 1)
        self.assertNotEqual(self.propose().proposal, other.proposal)


class SnapshotTest(unittest.TestCase):
    """Proposal numbers survive a snapshot; begins of an earlier build stay unnumbered."""

    def restored(self, *proposals: int) -> set[int]:
        state, other = TurnLogState(), TurnLogState()
        for proposal in proposals:
            apply(state, begin_of(proposal))
        other.restore(state.snapshot())
        return other.programs["", "p"].granted["t"]

    def test_proposal_numbers_are_restored(self) -> None:
        self.assertEqual(self.restored(3, 4), {3, 4})

    def test_unnumbered_begins_stay_unnumbered(self) -> None:
        self.assertEqual(self.restored(UNNUMBERED), {UNNUMBERED})
        self.assertEqual(self.restored(3, UNNUMBERED), {UNNUMBERED})


class FrontsLosePowerTest(unittest.TestCase):
    """Fronts lose power at several moments of an outage, with several times until a leader is back.

    A front waits 0.3 s for one answer. A leader that commits within that time has answered; it
    cannot know whether the front was still up, so the turn stays reserved at its maximum.
    """

    def test_turns_that_never_ran_do_not_spend_the_budget(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        for after_s, leaderless_s in ((0.1, 0.4), (0.4, 0.0), (0.7, 3.0), (1.4, 0.3)):
            with self.subTest(after_s=after_s, leaderless_s=leaderless_s):
                self.assertEqual(fronts_lose_power_during_an_outage(1, after_s, leaderless_s), [])
