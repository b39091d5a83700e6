"""Replica machines that exchange their identities."""

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

LOOP_ITERATIONS = 6
LOCAL_NODE = ReplicaNode("me", "me-1", Address("10.0.0.1", 1), "zone-a")
FORMER_NODE = ReplicaNode("peer", "peer-1", Address("10.0.0.2", 1), "zone-b")
CURRENT_NODE = ReplicaNode("peer", "peer-2", Address("10.0.0.2", 1), "zone-b")


class IntroductionsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.directory = ReplicaDirectory(own_node=LOCAL_NODE)
        self.directory.put(LOCAL_NODE)
        self.transport = mock.Mock(handlers={}, request=mock.AsyncMock())
        self.host = mock.Mock(flush=mock.AsyncMock())
        self.answered: list[str] = []
        self.introductions = Introductions(
            self.transport,
            self.directory,
            self.host,
            LOCAL_NODE,
            lambda: [LOCAL_NODE.node_id, FORMER_NODE.node_id, CURRENT_NODE.node_id],
            self.answered.append,
        )

    async def ask_once(self) -> None:
        """Run one round of requests and handle the replies."""
        with mock.patch.object(introductions, "REQUEST_INTERVAL_S", 0.0):
            running = asyncio.create_task(self.introductions.run())
            for _ in range(LOOP_ITERATIONS):
                await asyncio.sleep(0)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    async def test_reply_marks_the_former_identity_as_wiped(self) -> None:
        self.directory.put(FORMER_NODE)
        self.transport.request.return_value = to_wire(CURRENT_NODE).SerializeToString()
        await self.ask_once()
        self.assertEqual(self.directory.wiped, {FORMER_NODE.node_id})
        self.assertEqual(set(self.answered), {CURRENT_NODE.node_id})

    async def test_identity_that_answers_is_not_wiped(self) -> None:
        self.directory.put(CURRENT_NODE)
        self.directory.put(FORMER_NODE)
        self.assertEqual(self.directory.wiped, {CURRENT_NODE.node_id})
        self.transport.request.return_value = to_wire(CURRENT_NODE).SerializeToString()
        await self.ask_once()
        self.assertEqual(self.directory.wiped, {FORMER_NODE.node_id})
        self.assertEqual(self.directory.resolve(CURRENT_NODE.node_id), CURRENT_NODE.address)

    async def test_announcement_received_meanwhile_is_kept(self) -> None:
        self.directory.put(FORMER_NODE)

        async def answer(*_request: object) -> bytes:
            node = CURRENT_NODE if FORMER_NODE.node_id in self.directory.wiped else FORMER_NODE
            self.directory.put(CURRENT_NODE)
            return to_wire(node).SerializeToString()

        self.transport.request.side_effect = answer
        await self.ask_once()
        self.assertEqual(self.directory.wiped, {FORMER_NODE.node_id})
        self.assertNotIn(FORMER_NODE.node_id, self.answered)

    async def test_timeout_or_unknown_method_changes_nothing(self) -> None:
        self.directory.put(FORMER_NODE)
        for error in (PeerUnreachable("silent"), PeerUnreachable("no method", is_silent=False)):
            self.transport.request.side_effect = error
            await self.ask_once()
        self.assertEqual((self.directory.wiped, self.answered), (set(), []))

    async def test_requester_is_recorded_and_answered(self) -> None:
        self.introductions.start()
        hello = to_wire(FORMER_NODE).SerializeToString()
        reply = await self.transport.handlers[INTRODUCE_METHOD](hello)
        self.assertEqual(from_wire(wire.ReplicaHello.FromString(reply)), LOCAL_NODE)
        self.assertEqual(self.directory.resolve(FORMER_NODE.node_id), FORMER_NODE.address)

    async def test_machine_with_a_stalled_disk_replies_empty(self) -> None:
        self.introductions.start()
        self.host.flush.side_effect = TimeoutError
        hello = to_wire(FORMER_NODE).SerializeToString()
        self.assertEqual(await self.transport.handlers[INTRODUCE_METHOD](hello), b"")
        self.assertEqual(self.directory.resolve(FORMER_NODE.node_id), FORMER_NODE.address)
