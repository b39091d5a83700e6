"""A front counts the runners that end under its requests, and sends no quarantined request."""

import asyncio
import unittest
from collections.abc import AsyncIterator
from dataclasses import replace
from unittest import mock

from bendshed.errors import ErrorKind
from bendshed.model.runner import ReportedBirth, RunnerProcess, RunnerState
from bendshed.platform.caller_protocol import PlatformCallerProtocol
from bendshed.ports.http_messages import (
    BreakCause,
    ClientRequest,
    Headers,
    ResponseBroken,
    ResponseHead,
)
from bendshed.rehearsal.site.runner import event_bytes
from bendshed.retries.quarantine import LAPSE_S, MAX_ENDED_RUNNERS, QUARANTINE_S, RunnerEnd
from bendshed.services.dispatched_run import ERROR_WATCH_S, SILENCE_S
from bendshed.services.forwarder import MAX_BUFFERED_BODY_BYTES
from bendshed.services.request_quarantine import MAX_ABANDONED
from tests.test_dispatch_restrictions import (
    CLOSED_RUNNERS,
    OPEN_RUNNERS,
    ROUTE,
    STREAM,
    TURN,
    FakeConnection,
    FrontFixture,
    listed,
)
from tests.test_dispatch_restrictions import NO_ZONE_CLOSED as ALL_OPEN
from tests.test_runner_answers import RecordingCaller

RUNNERS = (*OPEN_RUNNERS, *CLOSED_RUNNERS)
ONE_RUNNER_A_TRY = replace(ROUTE, max_attempts=1)
RESUMABLE = replace(STREAM, is_resumable=True)


class RequestQuarantineTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.front = FrontFixture(ALL_OPEN, (), has_turns=True)
        self.front.put(ONE_RUNNER_A_TRY)
        self.quarantine = self.front.table.quarantine

    def behave(self, behaviour: str) -> None:
        self.front.runners.behaviour = dict.fromkeys(RUNNERS, behaviour)

    async def end_runners(self, count: int, behaviour: str = "loses") -> None:
        """Let tries of one request fail one after the other, each at another runner."""
        self.behave(behaviour)
        for _ in range(count):
            caller = await self.front.send()
            assert caller.refusal is not None
            self.assertIs(caller.refusal.kind, ErrorKind.ENGINE_LOST)
            self.avoid_last_runner()

    def avoid_last_runner(self) -> None:
        record = self.front.table.by_id[self.front.runners.sent[-1]]
        record.avoid(asyncio.get_running_loop().time(), "broken")

    def avoid_none(self) -> None:
        for record in self.front.table.by_id.values():
            record.avoid_until_s = 0.0

    # Guards against a request that ends one runner after the other over the tries of its caller.
    async def test_a_try_after_three_ended_runners_is_not_sent(self) -> None:
        await self.end_runners(MAX_ENDED_RUNNERS)
        self.assertEqual(len(self.front.runners.sent), MAX_ENDED_RUNNERS)
        self.behave("")
        self.front.before_quota = mock.Mock()
        caller = await self.front.send()
        self.assertEqual(len(self.front.runners.sent), MAX_ENDED_RUNNERS)
        self.front.before_quota.assert_not_called()
        assert caller.refusal is not None
        self.assertIs(caller.refusal.kind, ErrorKind.QUARANTINED)
        self.assertEqual(self.answer_to(caller), (503, str(int(LAPSE_S))))
        for runner_id in RUNNERS:
            self.front.table.remove(runner_id, 0.0, last_resort_s=0.0)
        self.assertEqual(self.answer_to(await self.front.send()), (503, str(int(QUARANTINE_S))))

    def answer_to(self, caller: RecordingCaller) -> tuple[int, str | None]:
        """Status and Retry-After that a refused caller gets."""
        assert caller.refusal is not None
        answer = PlatformCallerProtocol().response_for(caller.refusal)
        return answer.status, answer.retry_after

    # Guards against requests that are rejected for 10 minutes, since answers of runners that live
    # were lost, where the front sends them nothing else.
    async def test_runners_that_stay_listed_have_not_ended(self) -> None:
        loop = asyncio.get_running_loop()
        await self.end_runners(MAX_ENDED_RUNNERS)
        self.behave("")
        self.front.table.confirm_list(0.0)
        began_s = loop.time()
        for after_s in (2.0, 4.0, 6.0, 8.0, LAPSE_S):
            with mock.patch.object(loop, "time", lambda after_s=after_s: began_s + after_s):
                self.front.table.confirm_list(0.0)
                caller = await self.front.send()
                self.assertEqual(caller.refusal is None, after_s == LAPSE_S, after_s)

    async def end_runners_midway(self) -> None:
        """Let tries of one request fail behind the head, each at another runner."""
        for _ in range(MAX_ENDED_RUNNERS):
            self.assertTrue((await self.front.send()).is_broken)
            self.avoid_last_runner()

    # Guards against a caller that returns to another node before that one knows what it ended.
    async def test_a_try_fails_once_other_nodes_know_the_ends(self) -> None:
        told: list[str] = []
        reporter = mock.Mock()
        reporter.report = lambda ends: told.extend(
            "cleared" if end.is_cleared else "end" for end in ends
        )
        reporter.wait_informed = mock.AsyncMock()
        reporter.wait_reported = mock.AsyncMock(side_effect=lambda: told.append("shared"))
        self.quarantine.reporter = reporter
        self.front.put(replace(ROUTE, max_attempts=2))
        self.behave("loses")
        caller = await self.front.send()
        assert caller.refusal is not None
        counted_before_the_second_run = "end"
        self.assertEqual(told, ["end", counted_before_the_second_run, "end", "cleared", "shared"])
        told.clear()
        self.front.put(RESUMABLE)
        with mock.patch.object(FakeConnection, "body", broken_body(event_bytes("x", 0))):
            self.behave("")
            self.assertTrue((await self.front.send(1)).is_broken)
        self.assertEqual(told, ["end", "shared"])

    async def test_a_try_that_is_answered_does_not_wait(self) -> None:
        reporter = mock.Mock()
        reporter.wait_informed = mock.AsyncMock()
        reporter.wait_reported = mock.AsyncMock()
        self.quarantine.reporter = reporter
        self.front.put(replace(ROUTE, max_attempts=len(RUNNERS)))
        self.front.runners.behaviour = dict.fromkeys(CLOSED_RUNNERS, "loses")
        for number in range(8):
            self.avoid_none()
            self.assertIsNone((await self.front.send(number)).refusal)
        reporter.report.assert_called()  # runners of the front's own zone come first
        reporter.wait_reported.assert_not_awaited()

    async def test_other_requests_are_sent(self) -> None:
        await self.end_runners(MAX_ENDED_RUNNERS)
        self.behave("")
        caller = await self.front.send(1)
        self.assertIsNone(caller.refusal)

    async def test_one_try_stops_at_the_third_end(self) -> None:
        self.front.put(replace(ROUTE, max_attempts=len(RUNNERS)))
        self.behave("loses")
        caller = await self.front.send()
        self.assertEqual(len(self.front.runners.sent), MAX_ENDED_RUNNERS)
        assert caller.refusal is not None
        self.assertIs(caller.refusal.kind, ErrorKind.ENGINE_LOST)

    async def test_a_turn_is_rejected_before_it_reserves_anything(self) -> None:
        self.front.put(RESUMABLE)
        self.behave("loses")
        for _ in range(MAX_ENDED_RUNNERS):
            await self.front.send(turn=TURN)
            self.avoid_last_runner()
        num_begun = len(self.front.demands)
        caller = await self.front.send(turn=TURN, resumes="3")
        self.assertEqual(len(self.front.demands), num_begun)
        assert caller.refusal is not None
        self.assertIs(caller.refusal.kind, ErrorKind.QUARANTINED)

    # Guards against streams that end runners after their heads were passed on.
    async def test_a_stream_that_breaks_off_midway_counts(self) -> None:
        self.front.put(RESUMABLE)
        with mock.patch.object(FakeConnection, "body", broken_body(event_bytes("x", 0))):
            await self.end_runners_midway()
        caller = await self.front.send()
        assert caller.refusal is not None
        self.assertIs(caller.refusal.kind, ErrorKind.QUARANTINED)

    # Guards against the same where the end of its connection ends a stream.
    async def test_a_stream_without_a_length_that_ends_within_an_event_counts(self) -> None:
        self.front.put(RESUMABLE)

        async def partial(_connection: FakeConnection) -> AsyncIterator[bytes]:
            yield event_bytes("x", 0)[:5]

        head = mock.AsyncMock(side_effect=lambda _request: ResponseHead(200, [], False))
        with (
            mock.patch.object(FakeConnection, "send", head),
            mock.patch.object(FakeConnection, "body", partial),
        ):
            self.assertTrue((await self.front.send()).is_broken)
        self.assertEqual(len(self.quarantine.all_ends()), 1)

    async def test_a_large_answer_that_breaks_off_midway_counts(self) -> None:
        large = b"x" * (MAX_BUFFERED_BODY_BYTES + 1)
        with mock.patch.object(FakeConnection, "body", broken_body(large)):
            await self.end_runners_midway()
        caller = await self.front.send()
        assert caller.refusal is not None
        self.assertIs(caller.refusal.kind, ErrorKind.QUARANTINED)

    # Guards against runners that send wrong bytes before they end, and do not count as ended.
    async def test_wrong_responses_count_as_ends(self) -> None:
        await self.end_runners(MAX_ENDED_RUNNERS, "malformed")
        caller = await self.front.send()
        assert caller.refusal is not None
        self.assertIs(caller.refusal.kind, ErrorKind.QUARANTINED)

    # Guards against runners that send wrong bytes, live, and count as ended.
    async def test_a_wrong_response_of_a_runner_that_lives_is_no_end(self) -> None:
        for _ in range(MAX_ENDED_RUNNERS + 1):
            await self.end_runners(1, "malformed")
            self.behave("")
            self.avoid_none()
            for number in range(1, 20):
                await self.front.send(number)
        self.assertIsNone((await self.front.send()).refusal)

    async def test_a_request_that_was_not_sent_ends_no_runner(self) -> None:
        closed = ResponseBroken("closed", BreakCause.NOT_SENT)
        with mock.patch.object(FakeConnection, "send", mock.AsyncMock(side_effect=closed)):
            await self.front.send()
        self.assertEqual(self.quarantine.all_ends(), [])

    async def test_events_out_of_order_count_as_an_end(self) -> None:
        self.front.put(RESUMABLE)

        async def disordered(_connection: FakeConnection) -> AsyncIterator[bytes]:
            yield event_bytes("x", 1) + event_bytes("x", 0)

        with mock.patch.object(FakeConnection, "body", disordered):
            self.assertTrue((await self.front.send()).is_broken)
        self.assertEqual(len(self.quarantine.all_ends()), 1)

    # Guards against rejections after answers that were lost on a bad network.
    async def test_a_runner_that_answers_later_has_not_ended(self) -> None:
        await self.end_runners(MAX_ENDED_RUNNERS)
        self.behave("")
        self.avoid_none()
        for number in range(1, 20):
            await self.front.send(number)
        caller = await self.front.send()
        self.assertIsNone(caller.refusal)

    async def test_a_process_that_started_again_does_not_answer_for_the_former_one(self) -> None:
        for name in RUNNERS:
            self.front.table.put(replace(listed(name), born_ms=1))
        await self.end_runners(MAX_ENDED_RUNNERS)
        for name in RUNNERS:
            self.front.table.put(replace(listed(name), born_ms=2))
        self.behave("")
        self.avoid_none()
        with mock.patch.object(FakeConnection, "reported", ReportedBirth(2)):
            for number in range(1, 20):
                await self.front.send(number)
        caller = await self.front.send()
        assert caller.refusal is not None
        self.assertIs(caller.refusal.kind, ErrorKind.QUARANTINED)

    async def answer_with_error(self, headers: Headers, is_framed: bool) -> None:
        """Let one try be answered with a whole 500."""
        head = ResponseHead(500, headers, is_framed)
        with mock.patch.object(FakeConnection, "send", mock.AsyncMock(return_value=head)):
            self.assertIsNone((await self.front.send()).refusal)

    # Guards against a process that answers with an error and ends, and does not count as ended.
    async def test_a_connection_that_ends_with_an_error_answer_counts(self) -> None:
        await self.answer_with_error([], is_framed=False)
        self.assertEqual(len(self.quarantine.all_ends()), 1)

    async def test_a_connection_that_ends_behind_an_error_answer_counts(self) -> None:
        loop = asyncio.get_running_loop()
        with mock.patch.object(FakeConnection, "is_reusable", True):
            for after_s, num_ends in ((ERROR_WATCH_S + 0.1, 0), (0.0, 1)):
                await self.answer_with_error([], is_framed=True)
                self.assertEqual(self.quarantine.all_ends(), [])
                closed_s = loop.time() + after_s
                with mock.patch.object(loop, "time", lambda closed_s=closed_s: closed_s):
                    self.front.runners.watched.pop()()
                self.assertEqual(len(self.quarantine.all_ends()), num_ends)

    # Guards against one process that counts as two, since its run was remembered and counted.
    async def test_a_run_that_counts_does_not_count_again_when_its_runner_leaves(self) -> None:
        with mock.patch.object(FakeConnection, "is_reusable", True):
            await self.answer_with_error([], is_framed=True)
        self.front.runners.watched.pop()()
        for runner_id in RUNNERS:
            self.front.table.remove(runner_id, 0.0, last_resort_s=0.0)
        self.assertEqual(len(self.quarantine.all_ends()), 1)

    async def test_an_error_answer_behind_an_end_counts(self) -> None:
        await self.end_runners(1)
        await self.answer_with_error([], is_framed=True)
        ends = [end for end in self.quarantine.all_ends() if not end.is_cleared]
        self.assertEqual(len(ends), 2)

    # Guards against ends that nobody knows, since the front ended with the runner.
    async def test_from_the_second_run_on_others_know_a_run_before_it_is_sent(self) -> None:
        await self.end_runners(1)
        reported: list[RunnerEnd] = []
        self.quarantine.reporter = mock.Mock(report=reported.extend, wait_reported=mock.AsyncMock())
        known: list[list[RunnerEnd]] = []
        self.front.runners.before_answer = lambda: known.append([*reported])
        self.behave("")
        self.assertIsNone((await self.front.send()).refusal)
        (ahead,) = known[0]
        self.assertEqual(ahead.process.runner_id, self.front.runners.sent[-1])
        self.assertTrue(reported[-1].is_cleared)
        self.assertEqual(reported[-1].end_id, ahead.end_id)

    async def test_a_run_that_its_runner_rejected_is_no_end(self) -> None:
        await self.end_runners(1)
        self.behave("sheds")
        await self.front.send()
        ends = [end for end in self.quarantine.all_ends() if not end.is_cleared]
        self.assertEqual(len(ends), 1)

    # Guards against ends that are forgotten, since an equal request was answered.
    async def test_a_complete_answer_clears_no_ends_of_other_tries(self) -> None:
        await self.end_runners(MAX_ENDED_RUNNERS - 1)
        self.behave("")
        self.assertIsNone((await self.front.send()).refusal)
        await self.end_runners(1)
        caller = await self.front.send()
        assert caller.refusal is not None
        self.assertIs(caller.refusal.kind, ErrorKind.QUARANTINED)

    # Guards against ends that are held against a request whose try was answered in the end.
    async def test_a_complete_answer_clears_the_ends_of_its_try(self) -> None:
        self.front.put(replace(ROUTE, max_attempts=len(RUNNERS)))
        self.front.runners.behaviour = dict.fromkeys(CLOSED_RUNNERS, "loses")
        self.assertIsNone((await self.front.send()).refusal)
        ends = self.quarantine.all_ends()
        self.assertEqual([end.is_cleared for end in ends], [True] * len(ends))
        self.assertGreater(len(ends), 0)

    async def test_nothing_is_counted_while_the_rule_is_switched_off(self) -> None:
        ports = self.front.forwarder._runner_ports
        switched_off = replace(ports, policy=replace(ports.policy, request_quarantine=False))
        self.front.forwarder._runner_ports = switched_off
        await self.end_runners(MAX_ENDED_RUNNERS + 1)
        self.assertEqual(self.quarantine.all_ends(), [])

    async def test_requests_without_a_session_are_not_counted(self) -> None:
        self.behave("loses")
        self.quarantine.note_end(b"", RunnerProcess("i", 0), "r", "closed")
        self.assertEqual(self.quarantine.all_ends(), [])

    # Guards against a request that is sent although another node's report came while it connected.
    async def test_a_request_that_is_quarantined_while_connecting_is_withdrawn(self) -> None:
        await self.end_runners(1)
        (seen,) = self.quarantine.all_ends()
        reported = [
            replace(seen, end_id=number, process=RunnerProcess(f"i-{number}", 0))
            for number in (1, 2)
        ]
        self.front.runners.before_connecting = lambda _runner: self.quarantine.apply_ends(reported)
        self.behave("")
        caller = await self.front.send()
        self.assertEqual(len(self.front.runners.sent), 1)
        assert caller.refusal is not None
        self.assertIs(caller.refusal.kind, ErrorKind.QUARANTINED)


class AbandonedRunsTest(unittest.IsolatedAsyncioTestCase):
    """Runners that end without a word: requests hang there until they are given up."""

    def setUp(self) -> None:
        self.front = FrontFixture(ALL_OPEN, (), has_turns=True)
        self.front.put(ONE_RUNNER_A_TRY)
        self.quarantine = self.front.table.quarantine

    async def abandon(self) -> str:
        """Send a request, and give it up at its runner."""
        self.front.runners.sent.clear()
        hanging = mock.AsyncMock(side_effect=asyncio.CancelledError)
        with (
            mock.patch.object(FakeConnection, "send", hanging),
            self.assertRaises(asyncio.CancelledError),
        ):
            await self.front.send()
        (run,) = self.quarantine._abandoned
        return run.process.runner_id

    async def remove(self, runner_id: str) -> list[RunnerEnd]:
        now_s = asyncio.get_running_loop().time()
        self.front.table.remove(runner_id, now_s, last_resort_s=0.0)
        return self.quarantine.all_ends()

    # Guards against requests that end runners which fall silent instead of closing connections.
    async def test_a_runner_that_leaves_the_list_without_notice_has_ended(self) -> None:
        runner_id = await self.abandon()
        (end,) = await self.remove(runner_id)
        self.assertEqual(end.process.runner_id, runner_id)

    # Guards against a try that is forgotten, since another one was given up at the same front.
    async def test_each_run_that_was_given_up_is_remembered(self) -> None:
        first = await self.abandon()
        self.quarantine._abandoned[0].request_id = "first"
        for other in RUNNERS:
            self.quarantine.note_abandoned(
                self.quarantine._abandoned[0].fingerprint, RunnerProcess(other, 0), "other"
            )
        self.assertEqual(len(await self.remove(first)), 2)

    # Guards against runners that hang under a request and end, after its caller has returned.
    async def test_a_run_that_is_given_up_in_silence_counts(self) -> None:
        await self.abandon_after(SILENCE_S - 0.2)
        self.assertEqual(self.quarantine.all_ends(), [])
        await self.abandon_after(SILENCE_S + 0.1)
        self.assertEqual(len(self.quarantine.all_ends()), 1)

    async def abandon_after(self, silent_s: float) -> None:
        """Send a request, and give it up after its runner has been silent for a while."""
        loop = asyncio.get_running_loop()
        now_s = loop.time() + silent_s

        async def hang(_connection: FakeConnection, _request: ClientRequest) -> ResponseHead:
            loop.time = lambda: now_s  # type: ignore[method-assign]
            raise asyncio.CancelledError

        with (
            mock.patch.object(loop, "time", loop.time),
            mock.patch.object(FakeConnection, "send", hang),
            self.assertRaises(asyncio.CancelledError),
        ):
            await self.front.send()

    # Guards against a silent runner that counts only once its entry has lapsed, seconds later.
    async def test_one_that_refuses_connections_has_ended(self) -> None:
        runner_id = await self.abandon()
        self.assertEqual(self.quarantine.all_ends(), [])
        self.front.runners.behaviour = {runner_id: "refuses"}
        for other in {*RUNNERS} - {runner_id}:
            await self.remove(other)
        await self.front.send(1)
        (end,) = self.quarantine.all_ends()
        self.assertEqual(end.process.runner_id, runner_id)

    async def test_one_that_starts_again_has_ended(self) -> None:
        for name in RUNNERS:
            self.front.table.put(replace(listed(name), born_ms=1))
        runner_id = await self.abandon()
        self.front.table.put(replace(listed(runner_id), born_ms=2))
        (end,) = self.quarantine.all_ends()
        self.assertEqual(end.process, RunnerProcess(runner_id, 1))

    # Guards against runners that count as ended, since their starts became known.
    async def test_one_whose_start_becomes_known_has_not(self) -> None:
        runner_id = await self.abandon()
        self.front.table.put(replace(listed(runner_id), born_ms=2))
        self.assertEqual(self.quarantine.all_ends(), [])

    async def test_one_whose_address_another_runner_uses_has_ended(self) -> None:
        runner_id = await self.abandon()
        for other in {*RUNNERS} - {runner_id}:
            await self.remove(other)
        other_runner = mock.AsyncMock(side_effect=lambda _request: ResponseHead(421, [], True))
        with mock.patch.object(FakeConnection, "send", other_runner):
            await self.front.send(1)
        self.assertEqual(len(self.quarantine.all_ends()), 1)

    async def test_one_that_drained_has_not(self) -> None:
        runner_id = await self.abandon()
        self.front.table.put(replace(listed(runner_id), state=RunnerState.DRAINING))
        self.assertEqual(await self.remove(runner_id), [])

    async def test_one_that_answered_since_has_not(self) -> None:
        runner_id = await self.abandon()
        for other in {*RUNNERS} - {runner_id}:
            await self.remove(other)
        await self.front.send(1)
        self.assertEqual(await self.remove(runner_id), [])

    async def test_abandoned_runs_are_forgotten(self) -> None:
        runner_id = await self.abandon()
        loop = asyncio.get_running_loop()
        later_s = loop.time() + LAPSE_S + 1.0
        with mock.patch.object(loop, "time", lambda: later_s):
            for number in range(MAX_ABANDONED + 5):
                process = RunnerProcess("other", 0)
                self.quarantine.note_abandoned(number.to_bytes(16, "big"), process, "r")
        self.assertEqual(len(self.quarantine._abandoned), MAX_ABANDONED)
        self.assertEqual(await self.remove(runner_id), [])

    async def test_one_that_leaves_much_later_has_not(self) -> None:
        runner_id = await self.abandon()
        loop = asyncio.get_running_loop()
        later_s = loop.time() + LAPSE_S + 1.0
        with mock.patch.object(loop, "time", lambda: later_s):
            self.assertEqual(await self.remove(runner_id), [])


def broken_body(first: bytes) -> object:
    async def body(_connection: FakeConnection) -> AsyncIterator[bytes]:
        yield first
        raise ResponseBroken("reset")

    return body
