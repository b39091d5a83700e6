"""What a program has used of its budget, and why a turn is refused by it. Pure."""

from dataclasses import dataclass
from enum import StrEnum


class BudgetStatus(StrEnum):
    """What a refused turn's budget says."""

    SPENT = "spent"
    """Ended turns have spent so much that the turn does not fit: the program ends."""
    RESERVED = "reserved"
    """Reservations hold the rest, and may be released unused: the turn may come back."""
    SUFFICIENT = "held"
    """The budget holds the turn: the refusal rests on something else."""


@dataclass(frozen=True, slots=True)
class BudgetUse:
    """Tokens of one program.

    Attributes:
        spent_tokens: charged for ended turns.
        reserved_tokens: worst case of the turns under way.

    """

    spent_tokens: int = 0
    reserved_tokens: int = 0

    def __add__(self, other: "BudgetUse") -> "BudgetUse":
        """Use in two groups."""
        return BudgetUse(
            self.spent_tokens + other.spent_tokens, self.reserved_tokens + other.reserved_tokens
        )

    def status_for_turn(self, most_tokens: int, budget_tokens: int) -> BudgetStatus:
        """Say why a budget is short of a turn that generates up to ``most_tokens``.

        A reservation never makes a budget spent, however long it lasts: the turn may not have run,
        and its front may stand still or be cut off.
        """
        left_tokens = budget_tokens - self.spent_tokens
        if left_tokens < most_tokens:
            return BudgetStatus.SPENT
        if left_tokens - self.reserved_tokens < most_tokens:
            return BudgetStatus.RESERVED
        return BudgetStatus.SUFFICIENT
