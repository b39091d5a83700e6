"""Transfers other groups' shares of a program's budget to this group. Source: docs/design/0012.

The transfer runs in the background once this group's share runs low, so that turns do not wait for
a distant group. A turn waits for it only if the share does not cover the turn.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from bendshed.admission.budget_use import BudgetStatus, BudgetUse
from bendshed.logs import PartLog
from bendshed.placement.groups import TurnGroups
from bendshed.turns.codec import budget_use_of
from bendshed.wire import turns_pb2 as wire

GatherKey = tuple[int, str, str]
"""Receiving group, tenant, program id."""

SendCommand = Callable[[int, wire.TurnCommand], Awaitable[wire.TurnReply | None]]
"""Commits a command at a group's leader; ``None``: not known to be committed."""

log = PartLog("turns")


@dataclass(frozen=True, slots=True)
class GatheredShares:
    """Replies of the other groups when their shares of a program's budget were requested.

    Attributes:
        is_complete: every group answered.
        use_elsewhere: budget use in the groups that answered.

    """

    is_complete: bool
    use_elsewhere: BudgetUse

    def classify_shortage(self, begin: wire.BeginTurn, reply: wire.TurnReply) -> BudgetStatus:
        """Return why this group's share does not cover a turn, given the use in all groups.

        ``SUFFICIENT``: neither spent nor reserved tokens explain it. While groups take shares from
        each other at the same time, tokens in transit belong to no group until they arrive; a group
        that did not answer may hold them too.
        """
        if not self.is_complete:
            return BudgetStatus.SUFFICIENT
        used = budget_use_of(reply) + self.use_elsewhere
        return used.status_for_turn(begin.most_tokens, begin.budget_tokens)


class ShareGatherer:
    """Requests the other groups' shares, with one request per program in flight at a time.

    Attributes:
        num_taken: number of shares released by other groups and added here.

    """

    def __init__(self, groups: TurnGroups, send: SendCommand) -> None:
        self.num_taken = 0
        self._groups = groups
        self._send = send
        self._gather_tasks: dict[GatherKey, asyncio.Task[GatheredShares]] = {}

    def gather_later(self, group_id: int, begin: wire.BeginTurn) -> None:
        """Start gathering in the background."""
        self._gather_task(group_id, begin)

    async def gather(self, group_id: int, begin: wire.BeginTurn) -> GatheredShares:
        """Gather, and wait until the released tokens are added to this group's share."""
        return await asyncio.shield(self._gather_task(group_id, begin))

    def _gather_task(self, group_id: int, begin: wire.BeginTurn) -> "asyncio.Task[GatheredShares]":
        program = (group_id, begin.tenant, begin.program_id)
        task = self._gather_tasks.get(program)
        if task is None:
            work = self._gather(group_id, begin)
            task = asyncio.get_running_loop().create_task(work, name="shares")
            self._gather_tasks[program] = task
            task.add_done_callback(lambda _done: self._gather_tasks.pop(program, None))
        return task

    async def _gather(self, group_id: int, begin: wire.BeginTurn) -> GatheredShares:
        others = self._groups.other_ids(group_id)
        replies = await asyncio.gather(
            *(self._transfer_share(group_id, other, begin) for other in others)
        )
        answered = [reply for reply in replies if reply is not None]
        log.say(
            "budget shares of other groups taken over",
            request=begin.turn_id,
            program=begin.program_id,
            group=group_id,
            tokens=sum(reply.released_tokens for reply in answered),
            silent=[other for other, reply in zip(others, replies, strict=True) if reply is None],
        )
        use_elsewhere = sum((budget_use_of(reply) for reply in answered), BudgetUse())
        return GatheredShares(len(answered) == len(replies), use_elsewhere)

    async def _transfer_share(
        self, group_id: int, other: int, begin: wire.BeginTurn
    ) -> wire.TurnReply | None:
        """Transfer another group's share; return its reply once the tokens are added here."""
        release = wire.ReleaseShare(
            tenant=begin.tenant,
            program_id=begin.program_id,
            to_group=group_id,
            budget_tokens=begin.budget_tokens,
            num_groups=begin.num_groups,
            retention_ms=begin.retention_ms,
        )
        reply = await self._send(other, wire.TurnCommand(release=release, group=other))
        if reply is None:
            return None
        take = wire.TakeShare(
            tenant=begin.tenant,
            program_id=begin.program_id,
            from_group=other,
            released_tokens=reply.released_tokens,
            retention_ms=begin.retention_ms,
        )
        if await self._send(group_id, wire.TurnCommand(take=take, group=group_id)) is None:
            return None
        self.num_taken += 1
        return reply
