"""Remembers begins that the leader has refused, so that duplicates get the same answer; no I/O.

A node resends a begin that was not answered, and also sends it through a relay while the direct
path is silent. A duplicate that is granted after the refusal was sent to the caller would reserve
tokens that no end ever releases. Owns the recent refusals of one group, kept only in the leader's
memory.
"""

from collections import OrderedDict

from bendshed.turns.unanswered_begins import TurnKey, turn_key
from bendshed.wire import turns_pb2 as wire

REFUSAL_TTL_S = 10.0
"""A relay or a stalled connection may delay a duplicate for several seconds."""
MAX_REFUSALS = 10_000
"""Maximum number of refusals remembered, about 300 bytes each; the oldest is dropped first."""
FINAL_REFUSALS = (
    wire.TURN_ANSWER_UNKNOWN_TURN,
    wire.TURN_ANSWER_BUDGET_SPENT,
    wire.TURN_ANSWER_BUDGET_RESERVED,
    wire.TURN_ANSWER_QUOTA_EXCEEDED,
    wire.TURN_ANSWER_NO_ROOM,
)
"""Refusals after which the requesting node does not begin the turn in this group again."""


class RefusedBegins:
    """Refusals answered within the last ``REFUSAL_TTL_S`` seconds."""

    def __init__(self, group_id: int) -> None:
        self._group_id = group_id
        self._refusals: OrderedDict[TurnKey, tuple[float, wire.TurnReply]] = OrderedDict()

    def record(self, begin: wire.BeginTurn, reply: wire.TurnReply, now_s: float) -> None:
        """Record a reply if it is a final refusal of a begin."""
        if not self._is_final(reply):
            return
        self._refusals[turn_key(begin)] = (now_s, reply)
        self._refusals.move_to_end(turn_key(begin))
        if len(self._refusals) > MAX_REFUSALS:
            self._refusals.popitem(last=False)

    def find(self, begin: wire.BeginTurn, now_s: float) -> wire.TurnReply | None:
        """Return the refusal of the same begin; ``None``: it was not refused recently.

        A turn that was dispatched to a runner in the meantime is decided again, so that it is
        counted.
        """
        refused_s, reply = self._refusals.get(turn_key(begin), (-REFUSAL_TTL_S, None))
        is_recent = now_s - refused_s < REFUSAL_TTL_S
        return reply if is_recent and not begin.has_left else None

    def _is_final(self, reply: wire.TurnReply) -> bool:
        """Whether the requesting node does not begin the turn in this group again."""
        is_other_group = reply.answer == wire.TURN_ANSWER_OTHER_GROUP
        return reply.answer in FINAL_REFUSALS or (
            is_other_group and reply.owner_group != self._group_id
        )
