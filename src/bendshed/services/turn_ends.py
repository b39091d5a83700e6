"""Commits, in the background, the ends of turns that no caller waits for.

Owns the ends that are not committed yet, by group of the turn log. Depends on ``TurnClient``.
"""

import asyncio
from collections import deque

from bendshed.consensus.group_client import GroupUnavailable
from bendshed.logs import PartLog
from bendshed.tasks import start_loop
from bendshed.turns.client import TurnClient
from bendshed.wire import turns_pb2 as wire

MAX_CONCURRENT_COMMITS = 4
"""Limit per group: after an outage all nodes have pending ends while callers return to the same
leader."""
INITIAL_TIMEOUT_S = 0.5
"""Timeout of the first commit: enough for one attempt and a second one at another replica."""
MAX_TIMEOUT_S = 2.0
"""Upper bound of the timeout after failures: a slow leader takes up to 1 s per commit."""
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
"""Bounds of the backoff while no leader answers; then one end is committed at a time."""
BACKOFF_FACTOR = 2.0
"""Growth factor of the backoff and of the timeout."""
MAX_PENDING = 10_000
"""Pending ends of one node, about 300 bytes each. Further ends are dropped; their reservations stay
until their programs are forgotten."""

log = PartLog("turns")


class PendingTurnEnds:
    """Queues of turn ends that are not committed yet.

    Invariant: a queued end is retried until it is committed, as long as this process runs.
    """

    def __init__(self, client: TurnClient) -> None:
        self._client = client
        self._queues: dict[int, deque[wire.TurnCommand]] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}

    @property
    def num_pending(self) -> int:
        """Number of ends that are not known to be committed."""
        return sum(len(queue) for queue in self._queues.values())

    def add(self, command: wire.TurnCommand) -> None:
        """Commit the end of a turn in the background."""
        if self.num_pending >= MAX_PENDING:
            log.say(
                "reservation not released: too many turn ends wait",
                request=command.finish.turn_id,
                program=command.finish.program_id,
            )
            return
        group = command.group
        self._queues.setdefault(group, deque()).append(command)
        if group not in self._tasks:
            self._tasks[group] = start_loop(self._commit_queue(group), "turns")

    async def wait_until_committed(self) -> None:
        """Wait until all ends are committed."""
        while self._tasks:
            await asyncio.wait(self._tasks.values())

    def log_uncommitted(self) -> None:
        """Log the number of ends that are uncommitted when the process stops."""
        if self.num_pending:
            log.say(
                "reservations not released: process stops before turn ends are committed",
                ends=self.num_pending,
            )

    async def _commit_queue(self, group: int) -> None:
        """Commit the queued ends of a group; an end leaves the queue once it is committed."""
        queue = self._queues[group]
        backoff_s, timeout_s = 0.0, INITIAL_TIMEOUT_S
        while queue:
            failed = await self._commit_batch(
                queue, 1 if backoff_s else MAX_CONCURRENT_COMMITS, timeout_s
            )
            if not failed:
                backoff_s, timeout_s = 0.0, INITIAL_TIMEOUT_S
                continue
            if not backoff_s:
                log.say("turn ends wait: no leader answered", group=group, ends=len(queue))
            backoff_s = min(MAX_BACKOFF_S, BACKOFF_FACTOR * backoff_s or INITIAL_BACKOFF_S)
            timeout_s = min(MAX_TIMEOUT_S, BACKOFF_FACTOR * timeout_s)
            await asyncio.sleep(backoff_s)
        # Not in a done callback: an end added before the callback runs would not start a task.
        del self._tasks[group]

    async def _commit_batch(
        self, queue: deque[wire.TurnCommand], max_count: int, timeout_s: float
    ) -> bool:
        """Try the oldest ends and requeue failed ones at the back; return whether any failed."""
        tried = [queue[number] for number in range(min(max_count, len(queue)))]
        results = await asyncio.gather(*(self._commit(command, timeout_s) for command in tried))
        for command, is_committed in zip(tried, results, strict=True):
            queue.popleft()
            if not is_committed:
                queue.append(command)
        return not all(results)

    async def _commit(self, command: wire.TurnCommand, timeout_s: float) -> bool:
        """Commit one end; ``False``: not known to be committed."""
        try:
            await self._client.command(command, timeout_s)
        except GroupUnavailable:
            return False  # logged once for the whole queue
        return True
