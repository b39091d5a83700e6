"""Connections between nodes that become silent without being closed, while new connections work.

Observed: a site served nothing twelve seconds after power was restored; no log was kept. Possible
cause: the connections of all nodes were silent, which is not proven. A request's timeout did not
affect its connection, so each further request used the same dead connection; one-way messages have
no answer, so consensus kept sending heartbeats and votes that were lost. The tests use a proxy that
keeps reading but forwards nothing; new connections through it work.
"""

import asyncio
import unittest

from bendshed.adapters.silence import MIN_ANSWER_TIMEOUT_S, PROBE_AFTER_S, SilenceDetector
from bendshed.adapters.tcp_transport import TcpTransport
from bendshed.model.address import Address
from bendshed.ports.transport import ECHO_METHOD, PeerUnreachable
from tests.stalling_proxy import LOCAL, StalledDirection, StallingProxy

METHOD, SLOW_METHOD, ONE_WAY_METHOD = "say", "wait", "tell"
ATTEMPT_TIMEOUT_S = 0.3
NUM_ATTEMPTS = 10
"""Consecutive attempts of a request: 3 s in total, within which a node must restore contact."""
TEST_TIMEOUT_S = 30.0
"""Ends a request that hangs; it is long because answers may be slow on a busy machine."""
HEARTBEAT_S = 0.025
NUM_HEARTBEATS = 120
"""One-way messages at the interval of consensus heartbeats, also for 3 s."""


class NodeBehindProxy(unittest.IsolatedAsyncioTestCase):
    """A node whose connections to a peer pass through a proxy."""

    async def asyncSetUp(self) -> None:
        self.node, self.peer = TcpTransport(LOCAL, 0), TcpTransport(LOCAL, 0)
        await self.node.start()
        self.proxy = StallingProxy(await self.peer.start())
        self.address: Address = await self.proxy.start()
        self.peer.handlers[METHOD] = self.answer
        self.peer.handlers[SLOW_METHOD] = self.answer_late
        self.peer.one_way_handlers[ONE_WAY_METHOD] = self.receive
        self.received = asyncio.Event()
        self.arrived, self.may_answer = asyncio.Event(), asyncio.Event()

    async def asyncTearDown(self) -> None:
        await self.node.close()
        await self.peer.close()
        await self.proxy.stop()

    async def answer(self, payload: bytes) -> bytes:
        return payload

    async def answer_late(self, payload: bytes) -> bytes:
        self.arrived.set()
        await self.may_answer.wait()
        return payload

    def receive(self, _payload: bytes) -> None:
        self.received.set()

    async def request(self) -> bytes:
        """Send one request with the timeout of one attempt to begin a turn."""
        return await self.node.request(self.address, METHOD, b"x", ATTEMPT_TIMEOUT_S)

    async def one_way_message_arrives(self) -> bool:
        """Return whether one of ``NUM_HEARTBEATS`` one-way messages arrives."""
        self.received.clear()
        for _ in range(NUM_HEARTBEATS):
            self.node.send(self.address, ONE_WAY_METHOD, b"x")
            try:
                async with asyncio.timeout(HEARTBEAT_S):
                    await self.received.wait()
            except TimeoutError:
                continue
            return True
        return False


class SilentConnectionTest(NodeBehindProxy):
    async def is_answered_again(self) -> bool:
        for _ in range(NUM_ATTEMPTS):
            try:
                await self.request()
            except PeerUnreachable:
                continue
            return True
        return False

    async def test_requests_are_answered_again_for_each_stalled_direction(self) -> None:
        for direction in StalledDirection:
            await self.request()
            self.proxy.stall(direction)
            self.assertTrue(await self.is_answered_again(), direction)

    async def test_one_way_messages_arrive_again_after_a_stall(self) -> None:
        for direction in (StalledDirection.BOTH, StalledDirection.TO_TARGET):
            self.assertTrue(await self.one_way_message_arrives())
            self.proxy.stall(direction)
            self.assertTrue(await self.one_way_message_arrives(), direction)

    async def test_silence_is_detected_by_requests_cancelled_early(self) -> None:
        """A relay's answer cancels the direct request before its own timeout."""
        await self.request()
        self.proxy.stall()
        self.assertTrue(await self.is_answered_by_cancelled_attempts())

    async def is_answered_by_cancelled_attempts(self) -> bool:
        for _ in range(NUM_ATTEMPTS):
            try:
                async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                    await self.node.request(self.address, METHOD, b"x", 2 * ATTEMPT_TIMEOUT_S)
            except (TimeoutError, PeerUnreachable):
                continue
            return True
        return False


class LiveConnectionTest(NodeBehindProxy):
    """Without silence no further connection is opened and no answer is lost."""

    async def test_slow_request_is_not_counted_as_silence(self) -> None:
        loop = asyncio.get_running_loop()
        real_time, ahead_s = loop.time, 0.0
        loop.time = lambda: real_time() + ahead_s  # type: ignore[method-assign]
        waiting = loop.create_task(self.node.request(self.address, SLOW_METHOD, b"late", 10_000.0))
        await self.arrived.wait()
        ahead_s = 500.0
        await self.request()
        self.may_answer.set()
        self.assertEqual(await waiting, b"late")
        self.assertEqual(self.proxy.num_opened, 1)

    async def test_delivered_one_way_messages_open_no_further_connection(self) -> None:
        for _ in range(NUM_HEARTBEATS):
            self.assertTrue(await self.one_way_message_arrives())
        self.assertEqual(self.proxy.num_opened, 1)

    async def test_peer_without_the_echo_method_still_replies(self) -> None:
        """Nodes of different versions run together; any reply shows that the connection works."""
        del self.peer.handlers[ECHO_METHOD]
        with self.assertRaises(PeerUnreachable) as caught:
            await self.node.request(self.address, ECHO_METHOD, b"", TEST_TIMEOUT_S)
        self.assertFalse(caught.exception.is_silent)


class SilenceDetectorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.detector = SilenceDetector()
        self.detector.record_receipt(10.0)

    def test_not_silent_without_requests(self) -> None:
        self.assertFalse(self.detector.is_silent(1e9))

    def test_earliest_due_answer_counts(self) -> None:
        for number in range(5):
            self.detector.record_request(0.06, 10.0 + number)
        self.assertFalse(self.detector.is_silent(10.0 + MIN_ANSWER_TIMEOUT_S))
        self.assertTrue(self.detector.is_silent(10.1 + MIN_ANSWER_TIMEOUT_S))

    def test_longer_request_timeout_is_respected(self) -> None:
        self.detector.record_request(8.0, 10.0)
        self.assertFalse(self.detector.is_silent(18.0))
        self.assertTrue(self.detector.is_silent(18.1))

    def test_any_received_byte_resets_the_detector(self) -> None:
        self.detector.record_request(0.06, 10.0)
        self.detector.record_receipt(10.5)
        self.assertFalse(self.detector.is_silent(1e9))

    def test_one_way_messages_probe_once_until_the_answer_is_due(self) -> None:
        self.assertFalse(self.detector.should_probe(10.0 + PROBE_AFTER_S))
        self.assertTrue(self.detector.should_probe(10.1 + PROBE_AFTER_S))
        self.detector.record_request(0.0, 10.1 + PROBE_AFTER_S)
        self.assertFalse(self.detector.should_probe(10.2 + PROBE_AFTER_S))

    def test_long_request_does_not_replace_the_probe(self) -> None:
        self.detector.record_request(100.0, 10.0)
        self.assertTrue(self.detector.should_probe(10.1 + PROBE_AFTER_S))
