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
END_TIMEOUT_S = 0.5
"""How long a leader is looked for before the pause: time for one try and a second one elsewhere."""
FIRST_PAUSE_S = 0.1
PAUSE_GROWTH = 2.0
LAST_PAUSE_S = 1.0
"""Pauses while no leader answers, each longer by the factor; then one end goes at a time."""
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
            task = start_loop(self._commit_all(group), "turns")
            self._committing[group] = task
            task.add_done_callback(lambda _done: self._committing.pop(group, None))

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
        """Commit what waits for a group, oldest first; an end leaves the queue once committed."""
        waiting = self._waiting[group]
        pause_s = 0.0
        while waiting:
            num_tried = 1 if pause_s else ENDS_AT_ONCE
            tried = [waiting[number] for number in range(min(num_tried, len(waiting)))]
            are_committed = await asyncio.gather(*(self._commit(command) for command in tried))
            failed = [
                command for command, done in zip(tried, are_committed, strict=True) if not done
            ]
            for _ in tried:
                waiting.popleft()
            waiting.extendleft(reversed(failed))
            if not failed:
                pause_s = 0.0
                continue
            if not pause_s:
                log.say("turn ends wait: no leader answered", group=group, ends=len(waiting))
            pause_s = min(LAST_PAUSE_S, PAUSE_GROWTH * pause_s or FIRST_PAUSE_S)
            await asyncio.sleep(pause_s)

    async def _commit(self, command: wire.TurnCommand) -> bool:
        """Commit one end; ``False``: not known to be committed."""
        try:
            await self._client.command(command, END_TIMEOUT_S)
        except GroupUnavailable:
            return False  # logged once for all that wait
        return True
