"""Takes over what other groups hold of a program's budget. Source: docs/design/0012.

It happens in the background once this group's share runs low, so that no turn waits for a distant
group. A turn waits for it only where the share does not hold the turn.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from bendshed.admission.budget_use import BudgetUse, Verdict
from bendshed.logs import PartLog
from bendshed.placement.groups import TurnGroups
from bendshed.turns.codec import budget_use_of
from bendshed.wire import turns_pb2 as wire

GatherKey = tuple[int, str, str]
"""Group that takes, tenant, program."""

SendCommand = Callable[[int, wire.TurnCommand], Awaitable[wire.TurnReply | None]]
"""Commits a command in a group wherever it is led; ``None``: not known to be committed."""

log = PartLog("turns")


@dataclass(frozen=True, slots=True)
class GatheredShares:
    """What the other groups said of a program's budget when their shares were taken over.

    Attributes:
        is_complete: each of them answered.
        use_elsewhere: what is used in those that answered.

    """

    is_complete: bool
    use_elsewhere: BudgetUse

    def classify_shortage(self, begin: wire.BeginTurn, reply: wire.TurnReply) -> Verdict:
        """Why this group's share is short of a turn, by what all groups together use.

        ``HELD``: by none of them. Tokens that groups take from each other at once are on their way,
        and for a moment no group holds them; a group that is silent may hold them too.
        """
        if not self.is_complete:
            return Verdict.HELD
        used = budget_use_of(reply) + self.use_elsewhere
        return used.judge(begin.most_tokens, begin.budget_tokens)


class ShareGatherer:
    """Requests the shares of the other groups; for each program one gathering at a time.

    Attributes:
        num_taken: releases of other groups that were counted here.

    """

    def __init__(self, groups: TurnGroups, send: SendCommand) -> None:
        self.num_taken = 0
        self._groups = groups
        self._send = send
        self._gather_tasks: dict[GatherKey, asyncio.Task[GatheredShares]] = {}

    def gather_later(self, group_id: int, begin: wire.BeginTurn) -> None:
        """Gather in the background."""
        self._gather_task(group_id, begin)

    async def gather(self, group_id: int, begin: wire.BeginTurn) -> GatheredShares:
        """Wait until what the others released counts here."""
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
        others = self._groups.others(group_id)
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
        """Take over what another group has released; return its reply once that counts here."""
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
