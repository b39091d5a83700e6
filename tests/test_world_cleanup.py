"""Closing a simulated world ends all its tasks, so none is left to the garbage collector.

A coroutine that is collected while it waits runs its ``finally`` at that moment: without a running
loop, and during an unrelated test.
"""

import asyncio
import inspect
import logging
import unittest
from typing import Any
from unittest import mock

from bendshed.rehearsal.search import STEPS_PER_WORLD, Game
from bendshed.rehearsal.simulator.fuzz import INSTALLATION
from bendshed.rehearsal.simulator.loop import SimProcess, VirtualTimeLoop
from bendshed.rehearsal.simulator.world import World
from bendshed.rehearsal.site.fuzz import SITE
from bendshed.rehearsal.site.sim_world import SiteWorld


def unfinished(tasks: set[asyncio.Task[Any]]) -> list[str]:
    """Names of the coroutines that have not finished."""
    return [
        str(coroutine)
        for task in tasks
        if inspect.iscoroutine(coroutine := task.get_coro())
        and inspect.getcoroutinestate(coroutine) != inspect.CORO_CLOSED
    ]


class LoopTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = VirtualTimeLoop()
        self.ran_in_loop: list[bool] = []

    async def wait(self) -> None:
        try:
            await self.loop.create_future()
        finally:
            self.ran_in_loop.append(asyncio.get_running_loop() is self.loop)

    def test_a_task_with_other_references_ends_while_the_loop_runs(self) -> None:
        process = SimProcess("killed")
        tasks = {self.loop.create_task(self.wait()), process.spawn(self.loop, self.wait())}
        self.loop.run_until_complete(asyncio.sleep(0))
        process.kill()
        self.loop.abandon()
        self.assertEqual((unfinished(tasks), self.ran_in_loop), ([], [True, True]))

    def test_a_task_started_by_an_ending_task_ends_too(self) -> None:
        tasks: set[asyncio.Task[None]] = set()

        async def start_another() -> None:
            try:
                await self.loop.create_future()
            finally:
                tasks.add(asyncio.create_task(self.wait()))

        tasks.add(self.loop.create_task(start_another()))
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.abandon()
        self.assertEqual((len(tasks), unfinished(tasks)), (2, []))


class WorldsTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def run_and_close(self, game: "Game[Any, Any, Any]") -> None:
        world, _ = game.run(1, game.random_steps(1, STEPS_PER_WORLD))
        tasks = asyncio.all_tasks(world.loop)
        world.close()
        self.assertGreater(len(tasks), 0)
        self.assertEqual(unfinished(tasks), [])

    def test_a_closed_site_has_no_waiting_task(self) -> None:
        self.run_and_close(SITE)

    def test_a_closed_installation_has_no_waiting_task(self) -> None:
        self.run_and_close(INSTALLATION)

    def test_a_world_that_fails_to_start_is_closed(self) -> None:
        loops: list[VirtualTimeLoop] = []

        def fail(world: SiteWorld | World, _condition: object, _limit_s: float) -> None:
            loops.append(world.loop)
            raise TimeoutError

        for kind in (SiteWorld, World):
            with mock.patch.object(kind, "wait_for", fail), self.assertRaises(TimeoutError):
                kind.started(1)
        self.assertEqual([loop.is_closed() for loop in loops], [True, True])
