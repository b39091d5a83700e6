"""Ends of turns that no caller waits for: all are committed, gently while no leader answers."""

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
AWAY_S = 60.0
MOST_PASSES = 10
"""Passes of the loop from an answer to the end of the task that waited for it."""


class Leaders:
    """Leaders of groups, some of which do not answer."""

    def __init__(self) -> None:
        self.away: set[int] = set()
        self.ended: list[str] = []
        self.num_tries = 0
        self.num_at_once = self.most_at_once = 0
        self.has_answered = asyncio.Event()

    async def command(self, command: wire.TurnCommand, timeout_s: float) -> wire.TurnReply:
        self.num_tries += 1
        self.num_at_once += 1
        self.most_at_once = max(self.most_at_once, self.num_at_once)
        try:
            if command.group in self.away:
                await asyncio.sleep(timeout_s)
                raise GroupUnavailable("away")
            if timeout_s < COMMIT_S:
                await asyncio.sleep(timeout_s)
                raise GroupUnavailable("slow")
            await asyncio.sleep(COMMIT_S)
        finally:
            self.num_at_once -= 1
        self.ended.append(command.finish.turn_id)
        self.has_answered.set()
        return wire.TurnReply()


def end_of(number: int, group: int = 0) -> wire.TurnCommand:
    finish = wire.FinishTurn(turn_id=f"turn-{number}", program_id="p")
    return wire.TurnCommand(finish=finish, group=group)


class PendingTurnEndsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = VirtualTimeLoop()
        self.addCleanup(self.loop.close)
        self.leaders = Leaders()
        self.ends = PendingTurnEnds(cast(TurnClient, self.leaders))
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

    def test_all_are_committed_a_few_at_once(self) -> None:
        self.add(*(end_of(number) for number in range(10)))
        self.assertEqual(self.ends.num_pending, 10)
        self.finish()
        self.assertCountEqual(self.leaders.ended, [f"turn-{number}" for number in range(10)])
        self.assertEqual(self.leaders.most_at_once, MAX_CONCURRENT_COMMITS)
        self.assertEqual(self.ends.num_pending, 0)

    def test_they_outlast_an_outage_of_any_length(self) -> None:
        self.leaders.away = {0}
        self.add(*(end_of(number) for number in range(10)))
        self.run_for(AWAY_S)
        self.assertEqual(self.ends.num_pending, 10)
        self.assertLess(self.leaders.num_tries, AWAY_S / MAX_BACKOFF_S + 10)
        self.assertEqual(self.log.say.call_count, 1)
        self.leaders.away = set()
        self.run_for(2 * MAX_BACKOFF_S)
        self.assertEqual(len(self.leaders.ended), 10)

    def test_a_group_that_is_away_holds_no_other_up(self) -> None:
        self.leaders.away = {1}
        self.add(end_of(0, group=1), end_of(1, group=0))
        self.run_for(10 * COMMIT_S)
        self.assertEqual(self.leaders.ended, ["turn-1"])

    def test_one_that_is_added_as_the_queue_runs_empty_is_committed(self) -> None:
        async def add_both() -> None:
            self.ends.add(end_of(0))
            (committing,) = self.ends._tasks.values()
            await self.leaders.has_answered.wait()
            for _ in range(MOST_PASSES):
                if committing.done():
                    break
                await asyncio.sleep(0)
            self.ends.add(end_of(1))

        self.loop.run_until_complete(add_both())
        self.run_for(10 * COMMIT_S)
        self.assertEqual(self.leaders.ended, ["turn-0", "turn-1"])
        self.assertEqual(self.ends.num_pending, 0)

    def test_slow_commits_do_not_hold_the_queue_up(self) -> None:
        """Each is committed late, and known to be only if it is waited for as long."""
        with mock.patch.object(sys.modules[__name__], "COMMIT_S", SLOW_COMMIT_S):
            self.add(*(end_of(number) for number in range(10)))
            self.run_for(AWAY_S)
        self.assertEqual(self.ends.num_pending, 0)

    def test_what_finds_no_place_is_named(self) -> None:
        with mock.patch.object(turn_ends, "MAX_PENDING", 2):
            self.add(*(end_of(number) for number in range(3)))
        self.finish()
        self.assertEqual(len(self.leaders.ended), 2)
        self.log.say.assert_called_once_with(
            "reservation not released: too many turn ends wait", request="turn-2", program="p"
        )

    def test_a_process_that_stops_says_what_it_leaves(self) -> None:
        self.leaders.away = {0}
        self.add(end_of(0))
        self.log.say.reset_mock()
        self.ends.log_uncommitted()
        self.log.say.assert_called_once()
        self.leaders.away = set()
        self.finish()
