"""Finds the group of the turn log that commits a turn's begin, if the first one does not."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from bendshed.logs import PartLog
from bendshed.turns.codec import apply_budget_status
from bendshed.turns.group_locator import GroupLocator
from bendshed.turns.shares import ShareGatherer
from bendshed.wire import turns_pb2 as wire

Reply = wire.TurnReply | None
"""``None``: the group did not answer, so nothing is known of it."""

log = PartLog("turns")


@dataclass(slots=True)
class GroupSearch:
    """One begin and the groups that it is sent to.

    Invariant: the begin goes on to another group only when one has answered that it reserved
    nothing, so at most one group holds a reservation.

    Attributes:
        begin: what is to be committed.
        group: that the begin was sent to last; the turn's end is committed there.
        commit: commits the begin in a group.

    """

    group_locator: GroupLocator
    shares: ShareGatherer
    begin: wire.BeginTurn
    group: int
    commit: Callable[[int], Awaitable[Reply]]

    async def settle(self, reply: Reply) -> Reply:
        """Go from the first group's reply to the final one, over further groups if need be."""
        reply = await self._find_chain(reply)
        if _is_short(reply) and reply is not None and reply.owner_group != self.group:
            self.begin.is_sent_on = True
            reply = await self._commit(reply.owner_group)
        if _is_short(reply):
            gathered = await self.shares.gather(self.group, self.begin)
            reply = await self._commit(self.group)
            if reply is not None and _is_short(reply):
                apply_budget_status(reply, gathered.classify_shortage(self.begin, reply))
        return reply

    async def _find_chain(self, reply: Reply) -> Reply:
        """Look for the previous turn; "no such turn" holds once each group has answered so."""
        for other in self.group_locator.others(self.begin.tenant, self.group):
            if reply is None or reply.answer != wire.TURN_ANSWER_UNKNOWN_TURN:
                return reply
            reply = await self._commit(other)
        return reply

    async def _commit(self, group: int) -> Reply:
        if group != self.group:
            log.say(
                "turn begin goes to another group",
                request=self.begin.turn_id,
                program=self.begin.program_id,
                group=group,
                asked_before=self.group,
            )
        self.group = group
        return await self.commit(group)


def _is_short(reply: Reply) -> bool:
    """Whether a group's share of the budget was too small, and others may hold more."""
    return reply is not None and reply.answer == wire.TURN_ANSWER_OTHER_GROUP
