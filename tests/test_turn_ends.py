"""Ends of turns that no caller waits for: all are committed, with backoff without a leader."""

import asyncio
import sys
import unittest
from typing import cast
from unittest import mock

from bendshed.consensus.group_client import GroupUnavailable
from bendshed.rehearsal.simulator.loop import VirtualTimeLoop
from bendshed.services import turn_ends
from bendshed.services.turn_ends import MAX_BACKOFF_S, MAX_CONCURRENT_COMMITS, PendingTurnEnds
from bendshed.turns.client import TurnClient
from bendshed.wire import turns_pb2 as wire

COMMIT_S = 0.01
SLOW_COMMIT_S = 0.8
OUTAGE_S = 60.0
MAX_LOOP_PASSES = 10
"""Upper bound of loop passes from a reply to the end of the task that waits for it."""


class FakeTurnClient:
    """Commits ends in available groups after ``COMMIT_S``; other groups time out."""

    def __init__(self) -> None:
        self.unavailable_groups: set[int] = set()
        self.committed: list[str] = []
        self.num_tries = 0
        self.num_in_flight = self.max_concurrent = 0
        self.has_answered = asyncio.Event()

    async def command(self, command: wire.TurnCommand, timeout_s: float) -> wire.TurnReply:
        self.num_tries += 1
        self.num_in_flight += 1
        self.max_concurrent = max(self.max_concurrent, self.num_in_flight)
        try:
            if command.group in self.unavailable_groups:
                await asyncio.sleep(timeout_s)
                raise GroupUnavailable("unavailable")
            if timeout_s < COMMIT_S:
                await asyncio.sleep(timeout_s)
                raise GroupUnavailable("slow")
            await asyncio.sleep(COMMIT_S)
        finally:
            self.num_in_flight -= 1
        self.committed.append(command.finish.turn_id)
        self.has_answered.set()
        return wire.TurnReply()


def end_command(number: int, group: int = 0) -> wire.TurnCommand:
    finish = wire.FinishTurn(turn_id=f"turn-{number}", program_id="p")
    return wire.TurnCommand(finish=finish, group=group)


class PendingTurnEndsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = VirtualTimeLoop()
        self.addCleanup(self.loop.close)
        self.client = FakeTurnClient()
        self.ends = PendingTurnEnds(cast(TurnClient, self.client))
        patch = mock.patch.object(turn_ends, "log")
        self.log = patch.start()
        self.addCleanup(patch.stop)

    def add(self, *commands: wire.TurnCommand) -> None:
        async def add() -> None:
            for command in commands:
                self.ends.add(command)

        self.loop.run_until_complete(add())

    def run_for(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def finish(self) -> None:
        self.loop.run_until_complete(self.ends.wait_until_committed())

    def test_commits_all_ends_with_bounded_concurrency(self) -> None:
        self.add(*(end_command(number) for number in range(10)))
        self.assertEqual(self.ends.num_pending, 10)
        self.finish()
        self.assertCountEqual(self.client.committed, [f"turn-{number}" for number in range(10)])
        self.assertEqual(self.client.max_concurrent, MAX_CONCURRENT_COMMITS)
        self.assertEqual(self.ends.num_pending, 0)

    def test_retries_until_a_long_outage_ends(self) -> None:
        self.client.unavailable_groups = {0}
        self.add(*(end_command(number) for number in range(10)))
        self.run_for(OUTAGE_S)
        self.assertEqual(self.ends.num_pending, 10)
        self.assertLess(self.client.num_tries, OUTAGE_S / MAX_BACKOFF_S + 10)
        self.assertEqual(self.log.say.call_count, 1)
        self.client.unavailable_groups = set()
        self.run_for(2 * MAX_BACKOFF_S)
        self.assertEqual(len(self.client.committed), 10)

    def test_an_unavailable_group_does_not_delay_other_groups(self) -> None:
        self.client.unavailable_groups = {1}
        self.add(end_command(0, group=1), end_command(1, group=0))
        self.run_for(10 * COMMIT_S)
        self.assertEqual(self.client.committed, ["turn-1"])

    def test_commits_an_end_added_while_the_queue_empties(self) -> None:
        async def add_both() -> None:
            self.ends.add(end_command(0))
            (commit_task,) = self.ends._tasks.values()
            await self.client.has_answered.wait()
            for _ in range(MAX_LOOP_PASSES):
                if commit_task.done():
                    break
                await asyncio.sleep(0)
            self.ends.add(end_command(1))

        self.loop.run_until_complete(add_both())
        self.run_for(10 * COMMIT_S)
        self.assertEqual(self.client.committed, ["turn-0", "turn-1"])
        self.assertEqual(self.ends.num_pending, 0)

    def test_slow_commits_do_not_block_the_queue(self) -> None:
        """Each commit takes ``SLOW_COMMIT_S``; a shorter timeout never sees it committed."""
        with mock.patch.object(sys.modules[__name__], "COMMIT_S", SLOW_COMMIT_S):
            self.add(*(end_command(number) for number in range(10)))
            self.run_for(OUTAGE_S)
        self.assertEqual(self.ends.num_pending, 0)

    def test_logs_an_end_that_exceeds_the_queue_limit(self) -> None:
        with mock.patch.object(turn_ends, "MAX_PENDING", 2):
            self.add(*(end_command(number) for number in range(3)))
        self.finish()
        self.assertEqual(len(self.client.committed), 2)
        self.log.say.assert_called_once_with(
            "reservation not released: too many turn ends wait", request="turn-2", program="p"
        )

    def test_logs_uncommitted_ends_at_shutdown(self) -> None:
        self.client.unavailable_groups = {0}
        self.add(end_command(0))
        self.log.say.reset_mock()
        self.ends.log_uncommitted()
        self.log.say.assert_called_once()
        self.client.unavailable_groups = set()
        self.finish()
