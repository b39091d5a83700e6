"""Commits the ends of turns that no caller waits for.

Owns: the ends that are not committed yet, by group of the turn log. Relies on ``TurnClient``.
"""

import asyncio
from collections import deque

from bendshed.consensus.group_client import GroupUnavailable
from bendshed.logs import PartLog
from bendshed.tasks import start_loop
from bendshed.turns.client import TurnClient
from bendshed.wire import turns_pb2 as wire

ENDS_AT_ONCE = 4
"""Ends of one group that are committed side by side: after an outage all nodes have some, while
callers come back to the same leader."""
FIRST_TIMEOUT_S = 0.5
"""How long an end is tried before the pause: time for one try and a second one elsewhere."""
LAST_TIMEOUT_S = 2.0
"""The same once commits have failed before: a leader that is slow takes up to a second for one."""
FIRST_PAUSE_S = 0.1
LAST_PAUSE_S = 1.0
"""Pauses while no leader answers; then one end goes at a time."""
GROWTH = 2.0
"""Each pause and time-out is longer than the last by this factor."""
MAX_PENDING = 10_000
"""Ends of one node that wait, some 300 bytes each. One that finds no place is dropped: its
reservation stays until its program is forgotten."""

log = PartLog("turns")


class PendingEnds:
    """Ends that wait for their commit.

    Invariant: an end that was added is tried until it is committed, as long as this process runs.
    """

    def __init__(self, client: TurnClient) -> None:
        self._client = client
        self._waiting: dict[int, deque[wire.TurnCommand]] = {}
        self._committing: dict[int, asyncio.Task[None]] = {}

    @property
    def num_pending(self) -> int:
        """Ends that are not known to be committed."""
        return sum(len(waiting) for waiting in self._waiting.values())

    def add(self, command: wire.TurnCommand) -> None:
        """Commit the end of a turn; no caller waits for it."""
        if self.num_pending >= MAX_PENDING:
            log.say(
                "reservation not released: too many turn ends wait",
                request=command.finish.turn_id,
                program=command.finish.program_id,
            )
            return
        group = command.group
        self._waiting.setdefault(group, deque()).append(command)
        if group not in self._committing:
            self._committing[group] = start_loop(self._commit_all(group), "turns")

    async def finish(self) -> None:
        """Wait until all are committed."""
        while self._committing:
            await asyncio.wait(self._committing.values())

    def log_left(self) -> None:
        """The process ends: name the ends that it leaves behind."""
        if self.num_pending:
            log.say(
                "reservations not released: process stops before turn ends are committed",
                ends=self.num_pending,
            )

    async def _commit_all(self, group: int) -> None:
        """Commit what waits for a group; an end leaves the queue once it is committed."""
        waiting = self._waiting[group]
        pause_s, timeout_s = 0.0, FIRST_TIMEOUT_S
        while waiting:
            failed = await self._commit_some(waiting, 1 if pause_s else ENDS_AT_ONCE, timeout_s)
            if not failed:
                pause_s, timeout_s = 0.0, FIRST_TIMEOUT_S
                continue
            if not pause_s:
                log.say("turn ends wait: no leader answered", group=group, ends=len(waiting))
            pause_s = min(LAST_PAUSE_S, GROWTH * pause_s or FIRST_PAUSE_S)
            timeout_s = min(LAST_TIMEOUT_S, GROWTH * timeout_s)
            await asyncio.sleep(pause_s)
        # Not in a callback of the task: an end that is added before it runs would start nothing.
        del self._committing[group]

    async def _commit_some(
        self, waiting: deque[wire.TurnCommand], most: int, timeout_s: float
    ) -> bool:
        """Try the oldest ends; those that fail go behind the others. Return whether any failed."""
        tried = [waiting[number] for number in range(min(most, len(waiting)))]
        done = await asyncio.gather(*(self._commit(command, timeout_s) for command in tried))
        for command, is_committed in zip(tried, done, strict=True):
            waiting.popleft()
            if not is_committed:
                waiting.append(command)
        return not all(done)

    async def _commit(self, command: wire.TurnCommand, timeout_s: float) -> bool:
        """Commit one end; ``False``: not known to be committed."""
        try:
            await self._client.command(command, timeout_s)
        except GroupUnavailable:
            return False  # logged once for all that wait
        return True
