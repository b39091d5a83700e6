"""Decides how long a turn is stored, and extends the storage of a chain under a new turn. Pure.

Callers count the retention from the end of an answer, as they receive it, to when they ask again.
The turn log counts from the commit of a turn's end to the commit of the begin that continues it.
What lies between the two is bounded by time-outs that are known when the turn ends. How long the
next turn may take is known only when it begins: its route may differ from that of the turn before,
or have another time-out by then.
"""

from bendshed.wire import turns_pb2 as wire

COMMIT_MARGIN_MS = 5_000
"""Covers the time-outs that the route's does not: connecting to a front (1 s) and the commit of the
later turn's begin (1.5 s)."""
EXTENSION_MARGIN_MS = 1_000
"""One extension covers all copies of a begin, which reach leaders after different delays."""
EXTENSION_SUFFIX = "\n(extension)"
"""Ends the ids of extensions. No caller can name one, since no header contains a line feed."""
PREVIEW_MARGIN_MS = 500
"""A begin is applied at most this long after the preview that was sent beside it was answered."""


def stored_ms(retention_ms: int, timeout_ms: int) -> int:
    """Return how long a turn is stored from the commit of its end, so that it is found in time.

    A front may hand out the end, and hold a turn that continues it before it begins, as long as its
    route allows. What callers say of their waits does not count, since it would size the store.
    """
    return retention_ms + 2 * timeout_ms + COMMIT_MARGIN_MS


def budget_retention_ms(retention_ms: int, timeout_ms: int) -> int:
    """Return the retention that a begin names, by which its program's budget is stored.

    The budget is stored for a multiple of it after the begin. It outlasts the turn, since its end
    would otherwise be charged to a budget that is granted whole again.
    """
    return max(retention_ms, timeout_ms)


def make_extension(begin: wire.BeginTurn, turn_left_ms: int) -> wire.FinishTurn:
    """Return a command that stores the chain which a begin continues until its turn has ended.

    It stores a turn without content behind the chain. A chain is stored for as long as its newest
    turn, so replicas of every build apply the extension identically.

    Args:
        begin: the begin.
        turn_left_ms: time until the turn's end is committed at the latest.

    """
    return wire.FinishTurn(
        tenant=begin.tenant,
        program_id=begin.program_id,
        turn_id=begin.turn_id + EXTENSION_SUFFIX,
        previous_turn=begin.previous_turn,
        outcome=wire.TURN_OUTCOME_WHOLE,
        keep=True,
        retention_ms=turn_left_ms + EXTENSION_MARGIN_MS,
    )
