"""Takes over what other groups hold of a program's budget. Source: docs/design/0012.

It happens in the background once this group's share runs low, so that no turn waits for a distant
group. A turn waits for it only where the share does not hold the turn.
"""

import asyncio
from collections.abc import Awaitable, Callable

from bendshed.logs import PartLog
from bendshed.placement.groups import TurnGroups
from bendshed.wire import turns_pb2 as wire

Program = tuple[int, str, str]
"""Group that takes, tenant, program."""

Send = Callable[[int, wire.TurnCommand], Awaitable[wire.TurnReply | None]]
"""Commits a command in a group wherever it is led; ``None``: not known to be committed."""

log = PartLog("turns")


class ShareGatherer:
    """Requests the shares of the other groups; for each program one gathering at a time.

    Attributes:
        num_taken: releases of other groups that were counted here.

    """

    def __init__(self, groups: TurnGroups, send: Send) -> None:
        self.num_taken = 0
        self._groups = groups
        self._send = send
        self._under_way: dict[Program, asyncio.Task[bool]] = {}

    def gather_later(self, group_id: int, begin: wire.BeginTurn) -> None:
        """Gather in the background."""
        self._gathering(group_id, begin)

    async def gather(self, group_id: int, begin: wire.BeginTurn) -> bool:
        """Wait until what the others released counts here; ``False``: a group did not answer."""
        return await asyncio.shield(self._gathering(group_id, begin))

    def _gathering(self, group_id: int, begin: wire.BeginTurn) -> "asyncio.Task[bool]":
        program = (group_id, begin.tenant, begin.program_id)
        task = self._under_way.get(program)
        if task is None:
            work = self._gather(group_id, begin)
            task = asyncio.get_running_loop().create_task(work, name="shares")
            self._under_way[program] = task
            task.add_done_callback(lambda _done: self._under_way.pop(program, None))
        return task

    async def _gather(self, group_id: int, begin: wire.BeginTurn) -> bool:
        others = self._groups.others(group_id)
        taken = await asyncio.gather(*(self._take(group_id, other, begin) for other in others))
        log.say(
            "budget shares of other groups taken over",
            request=begin.turn_id,
            program=begin.program_id,
            group=group_id,
            tokens=sum(tokens for tokens in taken if tokens is not None),
            silent=[other for other, tokens in zip(others, taken, strict=True) if tokens is None],
        )
        return None not in taken

    async def _take(self, group_id: int, other: int, begin: wire.BeginTurn) -> int | None:
        """Tokens that another group has released so far and that count here now."""
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
        return reply.released_tokens
