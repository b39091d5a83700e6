"""Requests are relayed by other nodes around a cut, only while the direct path does not answer."""

import asyncio
import random
import unittest
from collections.abc import Callable

from bendshed.model.address import Address
from bendshed.paths.adaptive_timeout import (
    MIN_DIRECT_TIMEOUT_S,
    RELAY_MARGIN_S,
    RELAY_TARGET_SLACK_S,
)
from bendshed.paths.path_state import DIRECT_PROBE_S, MIN_ISOLATION_TIMEOUT_S
from bendshed.paths.relay_search import RELAY_METHOD
from bendshed.paths.relayed import RelayedRequests
from bendshed.ports.transport import PeerUnreachable
from bendshed.rehearsal.simulator.loop import SimProcess, VirtualTimeLoop
from bendshed.rehearsal.simulator.network import Network, SimTransport

METHOD = "say"
OTHER_METHOD = "unknown to relays"
TIMEOUT_S = 0.3


class RelaysTest(unittest.TestCase):
    """One node, one target and three other nodes that may relay requests."""

    def setUp(self) -> None:
        self.loop = VirtualTimeLoop()
        asyncio.set_event_loop(self.loop)
        self.addCleanup(self.loop.close)
        self.network = Network(self.loop, random.Random(1))
        names = ("node", "target", "relay-1", "relay-2", "relay-3")
        self.addresses = {name: Address(name, 7000) for name in names}
        self.transports = {name: self.transport(name) for name in names}
        self.transports["target"].handlers[METHOD] = self.answer
        relays = [self.addresses[name] for name in names[2:]]
        self.requesters = {
            name: RelayedRequests(transport, random.Random(2), lambda: relays, frozenset({METHOD}))
            for name, transport in self.transports.items()
            if name != "target"
        }
        self.num_answers = 0

    def transport(self, name: str) -> SimTransport:
        transport = SimTransport(self.network, SimProcess(name), self.addresses[name])
        self.loop.run_until_complete(transport.start())
        return transport

    async def answer(self, payload: bytes) -> bytes:
        self.num_answers += 1
        return b"echo " + payload

    def cut(self, *pairs: tuple[str, str]) -> None:
        for pair in pairs:
            self.network.cuts.update((pair, pair[::-1]))

    def send_request(
        self, method: str = METHOD, target: str = "target"
    ) -> tuple[bytes | None, float]:
        """Return the answer, and how long it took."""
        started_s = self.loop.time()
        pending = self.requesters["node"].request(self.addresses[target], method, b"x", TIMEOUT_S)
        try:
            answer: bytes | None = self.loop.run_until_complete(pending)
        except PeerUnreachable:
            answer = None
        return answer, self.loop.time() - started_s

    def is_isolated(self) -> bool:
        async def check() -> bool:
            return self.requesters["node"].is_isolated

        return self.loop.run_until_complete(check())

    def wait_until(self, condition: Callable[[], bool]) -> None:
        for _ in range(100):
            if condition():
                return
            self.loop.run_until_complete(asyncio.sleep(0.05))
        self.fail("the condition was never true")

    def test_reachable_target_gets_one_direct_request(self) -> None:
        self.assertEqual(self.send_request()[0], b"echo x")
        self.assertEqual((self.num_answers, self.requesters["node"].num_relayed), (1, 0))

    def test_cut_is_detected_by_the_first_request_and_does_not_delay_later_ones(self) -> None:
        self.cut(("node", "target"))
        answer, took_s = self.send_request()
        self.assertEqual(answer, b"echo x")
        self.assertLess(took_s, MIN_DIRECT_TIMEOUT_S + 0.03)
        answer, took_s = self.send_request()
        self.assertEqual(answer, b"echo x")
        self.assertLess(took_s, 0.03)

    def test_another_target_behind_the_same_cut_is_relayed_without_a_timeout(self) -> None:
        self.addresses["second"] = Address("second", 7000)
        self.transports["second"] = self.transport("second")
        self.transports["second"].handlers[METHOD] = self.answer
        self.cut(("node", "target"), ("node", "second"), ("relay-1", "second"))
        self.wait_until(lambda: self.send_request()[0] is not None)
        found = self.requesters["node"]._paths.get(self.addresses["target"]).last_relay
        self.assertTrue(self.requesters["node"].is_relay_only(self.addresses["target"]))
        self.assertFalse(self.requesters["node"].is_relay_only(self.addresses["second"]))
        answer, took_s = self.send_request(target="second")
        self.assertEqual(answer, b"echo x")
        self.assertLess(took_s, MIN_DIRECT_TIMEOUT_S)
        self.assertTrue(self.requesters["node"].is_relay_only(self.addresses["second"]))
        if found != self.addresses["relay-1"]:
            self.assertEqual(
                self.requesters["node"]._paths.get(self.addresses["second"]).last_relay, found
            )

    def test_relay_that_is_cut_off_itself_replies_at_once_and_is_not_counted(self) -> None:
        cut_off = [f"relay-{number}" for number in (1, 2)]
        self.cut(("node", "target"), *((name, "target") for name in cut_off))
        for name in cut_off:
            pending = self.requesters[name].request(
                self.addresses["target"], METHOD, b"y", TIMEOUT_S
            )
            self.loop.run_until_complete(pending)
            self.assertTrue(self.requesters[name].is_relay_only(self.addresses["target"]))
        answer, took_s = self.send_request()
        self.assertEqual(answer, b"echo x")
        self.assertLess(took_s, MIN_DIRECT_TIMEOUT_S + 0.03)

    def test_target_that_relays_do_not_reach_is_not_silent_behind_a_cut(self) -> None:
        self.addresses["second"] = Address("second", 7000)
        self.transports["second"] = self.transport("second")
        self.cut(
            ("node", "target"), *((name, "second") for name in self.addresses if name != "second")
        )
        self.send_request()
        pending = self.requesters["node"].request(self.addresses["second"], METHOD, b"x", TIMEOUT_S)
        with self.assertRaises(PeerUnreachable) as caught:
            self.loop.run_until_complete(pending)
        self.assertFalse(caught.exception.is_silent)

    def test_direct_path_is_used_again_once_it_answers(self) -> None:
        self.cut(("node", "target"))
        self.send_request()
        self.network.cuts.clear()
        self.loop.run_until_complete(asyncio.sleep(DIRECT_PROBE_S))
        self.send_request()
        relayed = self.requesters["node"].num_relayed
        self.send_request()
        self.assertLessEqual(self.requesters["node"].num_relayed, relayed + 1)

    def test_relay_that_is_cut_off_too_is_skipped(self) -> None:
        self.cut(("node", "target"), ("relay-1", "target"), ("relay-2", "target"))
        self.wait_until(lambda: self.send_request()[0] is not None)
        for _ in range(5):
            answer, took_s = self.send_request()
            self.assertEqual(answer, b"echo x")
            self.assertLess(took_s, 0.03)

    def test_lost_relay_is_replaced_within_one_request(self) -> None:
        self.cut(("node", "target"))
        self.send_request()
        relay = self.requesters["node"]._paths.get(self.addresses["target"]).last_relay
        assert relay is not None
        self.cut(("node", relay.host))
        answer, took_s = self.send_request()
        self.assertEqual(answer, b"echo x")
        self.assertLess(took_s, RELAY_TARGET_SLACK_S + RELAY_MARGIN_S + 0.03)

    def test_non_idempotent_method_is_not_relayed(self) -> None:
        self.transports["target"].handlers[OTHER_METHOD] = self.answer
        self.cut(("node", "target"))
        self.assertIsNone(self.send_request(OTHER_METHOD)[0])

    def test_relay_never_uses_another_relay(self) -> None:
        self.cut(("node", "target"), *((f"relay-{n}", "target") for n in (1, 2, 3)))
        relay_payloads: list[bytes] = []
        for name in ("relay-1", "relay-2", "relay-3"):
            handler = self.transports[name].handlers[RELAY_METHOD]

            async def note(payload: bytes, handler: object = handler) -> bytes:
                relay_payloads.append(payload)
                return await handler(payload)  # type: ignore[operator,no-any-return]

            self.transports[name].handlers[RELAY_METHOD] = note
        self.assertIsNone(self.send_request()[0])
        self.assertLessEqual(len(relay_payloads), 3)

    def test_node_without_any_answer_becomes_isolated(self) -> None:
        self.assertFalse(self.is_isolated())
        self.cut(*(("node", name) for name in self.addresses if name != "node"))
        self.send_request()
        self.loop.run_until_complete(asyncio.sleep(MIN_ISOLATION_TIMEOUT_S))
        self.assertTrue(self.is_isolated())
        self.network.cuts.clear()
        self.send_request()
        self.assertFalse(self.is_isolated())

    def test_node_is_not_isolated_when_relays_answer(self) -> None:
        self.cut(*((name, "target") for name in self.addresses if name != "target"))
        for _ in range(4):
            self.send_request()
        self.assertFalse(self.is_isolated())
