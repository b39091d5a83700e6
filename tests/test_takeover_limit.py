"""A call whose executors are lost one after the other gets no more attempts than any other."""

import unittest
from unittest import mock

from bendshed.dispatch.attempt_sender import MAX_ATTEMPTS, AttemptSender
from bendshed.errors import ErrorKind
from bendshed.ports.engine import StreamUnknown
from bendshed.wire import programs_pb2 as wire


class TakeoverLimitTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.steps = mock.AsyncMock()
        self.steps.wait_for_runner.return_value = "engine-2"
        engine = mock.AsyncMock()
        engine.resume.side_effect = StreamUnknown("gone")
        self.sender = AttemptSender(
            self.steps,
            mock.Mock(),
            lambda _runner: engine,
            mock.AsyncMock(),
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
        )
        self.run_of_call = mock.Mock(failed_runners=set())
        self.run_of_call.live.num_bytes = 0

    async def take_over(self, attempt: int) -> None:
        orphan = wire.CallResult(attempt=attempt, runner="engine-1")
        await self.sender.take_over(self.run_of_call, orphan)

    async def test_an_orphan_gets_another_attempt(self) -> None:
        await self.take_over(MAX_ATTEMPTS - 1)
        self.steps.replace.assert_awaited_once()
        self.steps.finish.assert_not_awaited()

    # Guards against a call that ends engines and executors without an end, since only the executor
    # that saw an engine fail compared its attempts with their maximum.
    async def test_the_last_attempt_is_not_replaced(self) -> None:
        await self.take_over(MAX_ATTEMPTS)
        self.steps.replace.assert_not_awaited()
        (finished,) = self.steps.finish.await_args_list
        self.assertEqual(finished.args[2], wire.ATTEMPT_OUTCOME_BROKEN)
        self.assertIs(finished.args[4], ErrorKind.ENGINE_LOST)
        self.assertTrue(finished.kwargs["final"])
