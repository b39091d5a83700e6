"""Replica machines that ask each other who they are."""

import asyncio
import unittest
from unittest import mock

from bendshed.consensus import introductions
from bendshed.consensus.directory import ReplicaDirectory, from_wire, to_wire
from bendshed.consensus.introductions import INTRODUCE_METHOD, Introductions
from bendshed.model.address import Address
from bendshed.ports.registry import ReplicaNode
from bendshed.ports.transport import PeerUnreachable
from bendshed.wire import turns_pb2 as wire

TURNS_OF_THE_LOOP = 6
ME = ReplicaNode("me", "me-1", Address("10.0.0.1", 1), "zone-a")
OLD = ReplicaNode("peer", "peer-1", Address("10.0.0.2", 1), "zone-b")
NEW = ReplicaNode("peer", "peer-2", Address("10.0.0.2", 1), "zone-b")


class IntroductionsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.directory = ReplicaDirectory(own_node=ME)
        self.directory.put(ME)
        self.transport = mock.Mock(handlers={}, request=mock.AsyncMock())
        self.host = mock.Mock(flush=mock.AsyncMock())
        self.answered: list[str] = []
        self.introductions = Introductions(
            self.transport,
            self.directory,
            self.host,
            ME,
            lambda: [ME.node_id, OLD.node_id, NEW.node_id],
            self.answered.append,
        )

    async def ask_once(self) -> None:
        """Let it ask, and take the replies."""
        with mock.patch.object(introductions, "INTERVAL_S", 0.0):
            running = asyncio.create_task(self.introductions.run())
            for _ in range(TURNS_OF_THE_LOOP):
                await asyncio.sleep(0)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    async def test_a_machine_says_that_its_former_identity_is_lost(self) -> None:
        self.directory.put(OLD)
        self.transport.request.return_value = to_wire(NEW).SerializeToString()
        await self.ask_once()
        self.assertEqual(self.directory.wiped, {OLD.node_id})
        self.assertEqual(set(self.answered), {NEW.node_id})

    async def test_an_identity_that_answers_is_not_lost(self) -> None:
        self.directory.put(NEW)
        self.directory.put(OLD)
        self.assertEqual(self.directory.wiped, {NEW.node_id})
        self.transport.request.return_value = to_wire(NEW).SerializeToString()
        await self.ask_once()
        self.assertEqual(self.directory.wiped, {OLD.node_id})
        self.assertEqual(self.directory.resolve(NEW.node_id), NEW.address)

    async def test_a_word_that_came_meanwhile_stays(self) -> None:
        self.directory.put(OLD)

        async def answer(*_request: object) -> bytes:
            node = NEW if OLD.node_id in self.directory.wiped else OLD
            self.directory.put(NEW)
            return to_wire(node).SerializeToString()

        self.transport.request.side_effect = answer
        await self.ask_once()
        self.assertEqual(self.directory.wiped, {OLD.node_id})
        self.assertNotIn(OLD.node_id, self.answered)

    async def test_silence_and_a_version_without_the_method_change_nothing(self) -> None:
        self.directory.put(OLD)
        for error in (PeerUnreachable("silent"), PeerUnreachable("no method", is_silent=False)):
            self.transport.request.side_effect = error
            await self.ask_once()
        self.assertEqual((self.directory.wiped, self.answered), (set(), []))

    async def test_who_asks_is_taken_and_answered(self) -> None:
        self.introductions.start()
        hello = to_wire(OLD).SerializeToString()
        reply = await self.transport.handlers[INTRODUCE_METHOD](hello)
        self.assertEqual(from_wire(wire.ReplicaHello.FromString(reply)), ME)
        self.assertEqual(self.directory.resolve(OLD.node_id), OLD.address)

    async def test_a_machine_whose_disk_hangs_does_not_say_who_it_is(self) -> None:
        self.introductions.start()
        self.host.flush.side_effect = TimeoutError
        hello = to_wire(OLD).SerializeToString()
        self.assertEqual(await self.transport.handlers[INTRODUCE_METHOD](hello), b"")
        self.assertEqual(self.directory.resolve(OLD.node_id), OLD.address)
