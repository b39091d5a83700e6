"""A front binds a resumed stream to the origin that the turn log names, or refuses it at once."""

import asyncio
import unittest
from dataclasses import replace
from unittest import mock

from bendshed.consensus.group_client import GroupUnavailable
from bendshed.errors import ErrorKind, Refusal
from bendshed.model.runner import RunnerState
from bendshed.model.service_document import WeightedService
from bendshed.placement.zones import RunnerFilter
from bendshed.wire import turns_pb2 as wire
from tests.test_dispatch_restrictions import STREAM, TURN, FrontFixture, listed
from tests.test_runner_answers import RecordingCaller

RESUMABLE = replace(STREAM, is_resumable=True)
NEW_VERSION = "v2"
NEW_RUNNER = "shut-2"
"""Runs ``NEW_VERSION``; the fixture's other runners run v1."""


def reply(version: str | None, service: str = "s") -> wire.TurnReply:
    """Reply of the turn log; ``None``: it knows no origin."""
    answer = wire.TurnReply(answer=wire.TURN_ANSWER_GRANTED)
    if version is not None:
        answer.origin.service, answer.origin.software_version = service, version
    return answer


class ResumedStreamsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.front = FrontFixture(RunnerFilter(), (), has_turns=True)
        self.front.table.put(replace(listed(NEW_RUNNER), software_version=NEW_VERSION))
        self.front.put(RESUMABLE)
        ports = self.front.forwarder._turn_ports
        assert ports is not None
        self.client = ports.client
        self.client.unreachable_since_s = None
        self.commands: list[wire.TurnCommand] = []
        self.answers: dict[str, wire.TurnReply | None] = {
            "find_origin": reply(NEW_VERSION),
            "record_origin": reply(None),
            "begin": reply("v1"),
            "finish": reply(None),
        }
        self.client.command = self.command  # type: ignore[method-assign]

    async def command(
        self, command: wire.TurnCommand, _timeout_s: float, *_before: object
    ) -> wire.TurnReply:
        await asyncio.sleep(0)
        sent = wire.TurnCommand()
        sent.CopyFrom(command)
        self.commands.append(sent)
        answer = self.answers[command.WhichOneof("command") or ""]
        if answer is None:
            raise GroupUnavailable("silent")
        return answer

    def sent_commands(self) -> list[str | None]:
        return [command.WhichOneof("command") for command in self.commands]

    async def resume(self) -> RecordingCaller:
        return await self.front.send(1, resumes="3")

    async def refusal(self) -> ErrorKind:
        caller = await self.resume()
        self.assertIsInstance(caller.refusal, Refusal)
        self.assertEqual(self.front.runners.sent, [])
        assert caller.refusal is not None
        self.assertIsNone(caller.refusal.retry_after_s)
        return caller.refusal.kind

    async def test_stream_goes_on_at_the_version_that_began_it(self) -> None:
        for number in range(12):
            await self.front.send(number, resumes="3")
        self.assertEqual(set(self.front.runners.sent), {NEW_RUNNER})

    # Guards against a front that guesses a version which it cannot know.
    async def test_stream_of_unknown_version_is_refused(self) -> None:
        self.answers["find_origin"] = reply(None)
        self.assertEqual(await self.refusal(), ErrorKind.STREAM_UNKNOWN)
        self.answers["find_origin"] = reply("")
        self.assertEqual(await self.refusal(), ErrorKind.STREAM_UNKNOWN)
        self.answers["find_origin"] = None
        self.assertEqual(await self.refusal(), ErrorKind.TURN_LOG_UNAVAILABLE)
        self.client.is_isolated = True  # type: ignore[misc]
        self.assertEqual(await self.refusal(), ErrorKind.TURN_LOG_UNAVAILABLE)

    # Guards against a stream that waits for a version which no runner serves any more.
    async def test_stream_without_a_runner_of_its_version_is_refused_at_once(self) -> None:
        self.front.table.put(
            replace(listed(NEW_RUNNER), state=RunnerState.DRAINING, software_version=NEW_VERSION)
        )
        self.assertEqual(await self.refusal(), ErrorKind.VERSION_GONE)

    # Guards against a split route that draws another service for a resumed stream.
    async def test_stream_stays_in_the_service_that_began_it(self) -> None:
        other = WeightedService("other", 1_000_000)
        self.front.put(replace(RESUMABLE, targets=(other, *RESUMABLE.targets)))
        await self.resume()
        self.assertEqual(self.front.runners.sent, [NEW_RUNNER])
        self.front.runners.sent.clear()
        self.front.put(replace(RESUMABLE, targets=(other,)))
        self.assertEqual(await self.refusal(), ErrorKind.VERSION_GONE)

    # Guards against clients that are refused since they name no attempt, where one version serves.
    async def test_stream_that_is_not_named_goes_on_where_all_streams_share_a_version(self) -> None:
        await self.front.send(1, resumes="3", is_named=False)
        self.assertEqual(self.front.runners.sent, [NEW_RUNNER])
        (find,) = [c.find_origin for c in self.commands if c.HasField("find_origin")]
        self.assertEqual((find.request_id, find.service), ("", "s"))

    async def test_event_id_is_ignored_where_streams_are_not_resumed(self) -> None:
        self.front.put(STREAM)
        await self.resume()
        self.assertEqual(len(self.front.runners.sent), 1)
        self.assertEqual(self.commands, [])

    async def test_leader_places_a_resumed_turn_among_runners_of_its_version(self) -> None:
        self.answers["begin"] = reply(NEW_VERSION)
        request = mock.patch.object(self.front, "preferred_runner", "open-1")
        with request:
            await self.front.send(1, TURN, resumes="3")
        self.assertEqual(self.front.demands[0].software_version, NEW_VERSION)
        self.assertEqual(self.front.runners.sent, [NEW_RUNNER])

    # Guards against a version that is learned only after the first event, or costs every stream.
    async def test_turn_records_its_version_only_if_another_one_answered(self) -> None:
        self.front.preferred_runner = "open-1"
        await self.front.send(1, TURN)
        self.assertNotIn("record_origin", self.sent_commands())
        self.front.preferred_runner = NEW_RUNNER
        await self.front.send(2, TURN)
        (record,) = [c.record_origin for c in self.commands if c.HasField("record_origin")]
        self.assertEqual((record.request_id, record.origin.software_version), ("r2", NEW_VERSION))
        self.assertEqual(record.origin.service, "s")

    # Guards against events of one version behind a record of another.
    async def test_turn_is_not_answered_while_a_wrong_version_is_recorded(self) -> None:
        self.front.preferred_runner = NEW_RUNNER
        self.answers["record_origin"] = None
        caller = await self.front.send(1, TURN)
        self.assertEqual((caller.body, caller.refusal is not None), (b"", True))
        self.answers["begin"] = reply("")
        caller = await self.front.send(2, TURN)
        self.assertIsNone(caller.refusal)

    # Guards against a runner whose entry changes between the dispatch and the first event.
    async def test_version_that_changed_since_the_dispatch_counts_as_unknown(self) -> None:
        self.front.preferred_runner = "open-1"
        self.front.runners.before_answer = lambda: self.front.table.put(
            replace(listed("open-1"), software_version="v3")
        )
        await self.front.send(1, TURN)
        (record,) = [c.record_origin for c in self.commands if c.HasField("record_origin")]
        self.assertEqual(record.origin.software_version, "")
        self.answers["find_origin"] = reply("v3")
        self.front.runners.before_answer = lambda: self.front.table.put(listed("open-1"))
        caller = await self.resume()
        self.assertEqual((caller.body, caller.refusal is not None), (b"", True))

    # Guards against a wrong version that a leader of the earlier build hands on unseen.
    async def test_turn_begun_at_an_earlier_build_records_what_the_begin_did_not_expect(
        self,
    ) -> None:
        self.answers["begin"] = reply(None)
        self.front.preferred_runner = NEW_RUNNER
        caller = await self.front.send(1, TURN)
        self.assertIsNone(caller.refusal)
        self.assertIn("record_origin", self.sent_commands())
        self.commands.clear()
        self.front.table.put(listed(NEW_RUNNER))
        await self.front.send(2, TURN)
        self.assertNotIn("record_origin", self.sent_commands())

    async def test_version_of_a_service_is_counted_over_changes_of_the_list(self) -> None:
        table = self.front.table
        self.assertEqual(table.sole_version("s"), "")
        table.put(replace(listed(NEW_RUNNER), state=RunnerState.DRAINING))
        self.assertEqual(table.sole_version("s"), "v1")
        table.put(replace(listed("other"), software_version="v3"))
        self.assertEqual(table.sole_version("s"), "")
        table.put(replace(listed("other"), service="t", software_version="v3"))
        self.assertEqual((table.sole_version("s"), table.sole_version("t")), ("v1", "v3"))
        table.remove("other", 0.0, last_resort_s=0.0)
        self.assertEqual((table.sole_version("s"), table.sole_version("t")), ("v1", ""))

    async def test_stream_that_is_no_turn_records_its_version(self) -> None:
        await self.front.send(1)
        self.assertEqual(self.sent_commands(), ["record_origin"])

    # Guards against events whose version nobody knows once their front is killed: a client that
    # names no attempt would be bound to the version of the streams that are recorded.
    async def test_stream_that_is_no_turn_is_not_answered_while_its_version_is_not_recorded(
        self,
    ) -> None:
        self.answers["record_origin"] = None
        caller = await self.front.send(1)
        self.assertEqual((caller.body, caller.refusal is not None), (b"", True))
        self.client.unreachable_since_s = 1.0
        self.front.runners.sent.clear()
        caller = await self.front.send(2)
        assert caller.refusal is not None
        self.assertEqual(caller.refusal.kind, ErrorKind.TURN_LOG_UNAVAILABLE)
        self.assertEqual(self.front.runners.sent, [])

    # Guards against a stream that goes on in another service, since its route was split or moved.
    async def test_stream_that_is_not_named_is_looked_up_by_its_route(self) -> None:
        await self.front.send(1, resumes="3", is_named=False)
        (find,) = [c.find_origin for c in self.commands if c.HasField("find_origin")]
        self.assertEqual(find.route, RESUMABLE.host + RESUMABLE.path_prefix)
        self.commands.clear()
        await self.front.send(2, TURN)
        (begin,) = [c.begin for c in self.commands if c.HasField("begin")]
        self.assertEqual(begin.origin.route, RESUMABLE.host + RESUMABLE.path_prefix)
        self.answers["find_origin"] = reply("v1", service="moved away")
        self.front.runners.sent.clear()
        caller = await self.front.send(3, resumes="3", is_named=False)
        assert caller.refusal is not None
        self.assertEqual(caller.refusal.kind, ErrorKind.VERSION_GONE)
        self.assertEqual(self.front.runners.sent, [])
