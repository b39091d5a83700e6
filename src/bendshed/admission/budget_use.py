"""How much of its budget a program has used, and why the budget rejects a turn. Pure."""

from dataclasses import dataclass
from enum import StrEnum


class BudgetStatus(StrEnum):
    """State of a program's budget with regard to a rejected turn."""

    SPENT = "spent"
    """Ended turns have spent so much that the turn does not fit; the program ends."""
    RESERVED = "reserved"
    """Reservations hold the rest and may be released unused; the turn may be retried."""
    SUFFICIENT = "held"
    """The budget suffices for the turn; the rejection has another cause."""


@dataclass(frozen=True, slots=True)
class BudgetUse:
    """Tokens that one program has used.

    Attributes:
        spent_tokens: tokens charged for ended turns.
        reserved_tokens: maximum that the running turns may still be charged.

    """

    spent_tokens: int = 0
    reserved_tokens: int = 0

    def __add__(self, other: "BudgetUse") -> "BudgetUse":
        """Return the combined use in two groups."""
        return BudgetUse(
            self.spent_tokens + other.spent_tokens, self.reserved_tokens + other.reserved_tokens
        )

    def status_for_turn(self, most_tokens: int, budget_tokens: int) -> BudgetStatus:
        """Return why a budget does not suffice for a turn of up to ``most_tokens`` tokens.

        A reservation never counts as spent, however long it lasts: the turn may not have run, and
        its front may be paused or partitioned.
        """
        left_tokens = budget_tokens - self.spent_tokens
        if left_tokens < most_tokens:
            return BudgetStatus.SPENT
        if left_tokens - self.reserved_tokens < most_tokens:
            return BudgetStatus.RESERVED
        return BudgetStatus.SUFFICIENT
