"""Ways around a cut: through other nodes, and only while the direct way is silent."""

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
    """One node, one target and three others that may pass requests on."""

    def setUp(self) -> None:
        self.loop = VirtualTimeLoop()
        asyncio.set_event_loop(self.loop)
        self.addCleanup(self.loop.close)
        self.network = Network(self.loop, random.Random(1))
        names = ("node", "target", "relay-1", "relay-2", "relay-3")
        self.at = {name: Address(name, 7000) for name in names}
        self.transports = {name: self.transport(name) for name in names}
        self.transports["target"].handlers[METHOD] = self.answer
        relays = [self.at[name] for name in names[2:]]
        self.ways = {
            name: RelayedRequests(transport, random.Random(2), lambda: relays, frozenset({METHOD}))
            for name, transport in self.transports.items()
            if name != "target"
        }
        self.num_answers = 0

    def transport(self, name: str) -> SimTransport:
        transport = SimTransport(self.network, SimProcess(name), self.at[name])
        self.loop.run_until_complete(transport.start())
        return transport

    async def answer(self, payload: bytes) -> bytes:
        self.num_answers += 1
        return b"heard " + payload

    def cut(self, *pairs: tuple[str, str]) -> None:
        for pair in pairs:
            self.network.cuts.update((pair, pair[::-1]))

    def ask(self, method: str = METHOD, target: str = "target") -> tuple[bytes | None, float]:
        """The answer, and how long it took."""
        began_s = self.loop.time()
        asking = self.ways["node"].request(self.at[target], method, b"x", TIMEOUT_S)
        try:
            answer: bytes | None = self.loop.run_until_complete(asking)
        except PeerUnreachable:
            answer = None
        return answer, self.loop.time() - began_s

    def is_isolated(self) -> bool:
        async def look() -> bool:
            return self.ways["node"].is_isolated

        return self.loop.run_until_complete(look())

    def wait_until(self, condition: Callable[[], bool]) -> None:
        for _ in range(100):
            if condition():
                return
            self.loop.run_until_complete(asyncio.sleep(0.05))
        self.fail("never")

    def test_a_target_that_answers_is_asked_once_and_directly(self) -> None:
        self.assertEqual(self.ask()[0], b"heard x")
        self.assertEqual((self.num_answers, self.ways["node"].num_relayed), (1, 0))

    def test_a_cut_is_found_at_the_first_request_and_costs_the_next_ones_nothing(self) -> None:
        self.cut(("node", "target"))
        answer, took_s = self.ask()
        self.assertEqual(answer, b"heard x")
        self.assertLess(took_s, MIN_DIRECT_TIMEOUT_S + 0.03)
        answer, took_s = self.ask()
        self.assertEqual(answer, b"heard x")
        self.assertLess(took_s, 0.03)

    def test_another_target_behind_the_same_cut_costs_no_patience(self) -> None:
        self.at["second"] = Address("second", 7000)
        self.transports["second"] = self.transport("second")
        self.transports["second"].handlers[METHOD] = self.answer
        self.cut(("node", "target"), ("node", "second"), ("relay-1", "second"))
        self.wait_until(lambda: self.ask()[0] is not None)
        found = self.ways["node"]._paths.get(self.at["target"]).last_relay
        self.assertTrue(self.ways["node"].is_relay_only(self.at["target"]))
        self.assertFalse(self.ways["node"].is_relay_only(self.at["second"]))
        answer, took_s = self.ask(target="second")
        self.assertEqual(answer, b"heard x")
        self.assertLess(took_s, MIN_DIRECT_TIMEOUT_S)
        self.assertTrue(self.ways["node"].is_relay_only(self.at["second"]))
        if found != self.at["relay-1"]:
            self.assertEqual(self.ways["node"]._paths.get(self.at["second"]).last_relay, found)

    def test_a_relay_that_knows_its_own_cut_says_so_at_once_and_proves_nothing(self) -> None:
        cut_off = [f"relay-{number}" for number in (1, 2)]
        self.cut(("node", "target"), *((name, "target") for name in cut_off))
        for name in cut_off:
            asking = self.ways[name].request(self.at["target"], METHOD, b"y", TIMEOUT_S)
            self.loop.run_until_complete(asking)
            self.assertTrue(self.ways[name].is_relay_only(self.at["target"]))
        answer, took_s = self.ask()
        self.assertEqual(answer, b"heard x")
        self.assertLess(took_s, MIN_DIRECT_TIMEOUT_S + 0.03)

    def test_a_target_that_relays_do_not_reach_is_not_called_silent_behind_a_cut(self) -> None:
        self.at["second"] = Address("second", 7000)
        self.transports["second"] = self.transport("second")
        self.cut(("node", "target"), *((name, "second") for name in self.at if name != "second"))
        self.ask()
        asking = self.ways["node"].request(self.at["second"], METHOD, b"x", TIMEOUT_S)
        with self.assertRaises(PeerUnreachable) as caught:
            self.loop.run_until_complete(asking)
        self.assertFalse(caught.exception.is_silent)

    def test_the_direct_way_is_taken_again_once_it_answers(self) -> None:
        self.cut(("node", "target"))
        self.ask()
        self.network.cuts.clear()
        self.loop.run_until_complete(asyncio.sleep(DIRECT_PROBE_S))
        self.ask()
        relayed = self.ways["node"].num_relayed
        self.ask()
        self.assertLessEqual(self.ways["node"].num_relayed, relayed + 1)

    def test_a_relay_that_is_cut_off_too_is_passed_over_for_the_next(self) -> None:
        self.cut(("node", "target"), ("relay-1", "target"), ("relay-2", "target"))
        self.wait_until(lambda: self.ask()[0] is not None)
        for _ in range(5):
            answer, took_s = self.ask()
            self.assertEqual(answer, b"heard x")
            self.assertLess(took_s, 0.03)

    def test_when_the_relay_in_use_falls_dark_another_is_found_within_one_request(self) -> None:
        self.cut(("node", "target"))
        self.ask()
        relay = self.ways["node"]._paths.get(self.at["target"]).last_relay
        assert relay is not None
        self.cut(("node", relay.host))
        answer, took_s = self.ask()
        self.assertEqual(answer, b"heard x")
        self.assertLess(took_s, RELAY_TARGET_SLACK_S + RELAY_MARGIN_S + 0.03)

    def test_nobody_is_asked_for_a_method_that_must_not_be_repeated(self) -> None:
        self.transports["target"].handlers[OTHER_METHOD] = self.answer
        self.cut(("node", "target"))
        self.assertIsNone(self.ask(OTHER_METHOD)[0])

    def test_a_relay_never_asks_another_relay(self) -> None:
        self.cut(("node", "target"), *((f"relay-{n}", "target") for n in (1, 2, 3)))
        asked: list[bytes] = []
        for name in ("relay-1", "relay-2", "relay-3"):
            handler = self.transports[name].handlers[RELAY_METHOD]

            async def note(payload: bytes, handler: object = handler) -> bytes:
                asked.append(payload)
                return await handler(payload)  # type: ignore[operator,no-any-return]

            self.transports[name].handlers[RELAY_METHOD] = note
        self.assertIsNone(self.ask()[0])
        self.assertLessEqual(len(asked), 3)

    def test_a_node_that_nobody_answers_knows_it_soon(self) -> None:
        self.assertFalse(self.is_isolated())
        self.cut(*(("node", name) for name in self.at if name != "node"))
        self.ask()
        self.loop.run_until_complete(asyncio.sleep(MIN_ISOLATION_TIMEOUT_S))
        self.assertTrue(self.is_isolated())
        self.network.cuts.clear()
        self.ask()
        self.assertFalse(self.is_isolated())

    def test_a_node_whose_peers_do_not_reach_the_target_either_is_not_isolated(self) -> None:
        self.cut(*((name, "target") for name in self.at if name != "target"))
        for _ in range(4):
            self.ask()
        self.assertFalse(self.is_isolated())
