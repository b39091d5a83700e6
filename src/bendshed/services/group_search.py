"""Finds the group of the turn log that commits a turn's begin if the first group does not."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from bendshed.logs import PartLog
from bendshed.turns.codec import apply_budget_status
from bendshed.turns.group_locator import GroupLocator
from bendshed.turns.shares import ShareGatherer
from bendshed.wire import turns_pb2 as wire

Reply = wire.TurnReply | None
"""``None``: the group did not answer, so its state is unknown."""

log = PartLog("turns")


@dataclass(slots=True)
class GroupSearch:
    """One begin and the groups that it is sent to.

    Invariant: the begin is sent to another group only after the previous one answered that it
    reserved nothing, so at most one group holds a reservation.

    Attributes:
        begin: the command to commit.
        group: id of the group that the begin was sent to last; the turn's end is committed there.
        commit: commits the begin in a group.

    """

    group_locator: GroupLocator
    shares: ShareGatherer
    begin: wire.BeginTurn
    group: int
    commit: Callable[[int], Awaitable[Reply]]

    async def resolve(self, reply: Reply) -> Reply:
        """Turn the first group's reply into the final one, asking other groups if necessary."""
        reply = await self._find_previous_turn(reply)
        if _is_share_too_small(reply) and reply is not None and reply.owner_group != self.group:
            self.begin.is_sent_on = True
            reply = await self._commit(reply.owner_group)
        if _is_share_too_small(reply):
            gathered = await self.shares.gather(self.group, self.begin)
            reply = await self._commit(self.group)
            if reply is not None and _is_share_too_small(reply):
                apply_budget_status(reply, gathered.classify_shortage(self.begin, reply))
        return reply

    async def _find_previous_turn(self, reply: Reply) -> Reply:
        """Look for the previous turn; it is unknown only if every group answers so."""
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


def _is_share_too_small(reply: Reply) -> bool:
    """Whether a group's share of the budget was too small and other groups may hold more."""
    return reply is not None and reply.answer == wire.TURN_ANSWER_OTHER_GROUP
