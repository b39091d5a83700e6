"""Simulated network between nodes: latency, cuts, loss, duplicates."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from bendshed.model.address import Address
from bendshed.ports.transport import PeerUnreachable, Transport
from bendshed.rehearsal.simulator.loop import SimProcess

LATENCY_S = 0.0015
"""One way between zones, as in the brief's first user."""
JITTER_S = 0.001
RESEND_S = 0.2
"""A lost packet is sent again after this time (the usual shortest retransmission timeout)."""
MIN_GAP_S = 1e-6
"""Messages of one connection arrive this far apart, so the loop keeps their order."""


@dataclass(slots=True)
class Network:
    """All simulated transports by address.

    Attributes:
        cuts: directed pairs of hosts between which nothing passes.
        datagram_loss: share of datagrams that are lost.
        datagram_copies: share of datagrams that arrive twice.
        slow_s: extra latency.
        between_s: one-way latency by pair of hosts, either way; other pairs have ``LATENCY_S``.
        num_sent: requests and one-way messages by source, target and method.
        resend_share: share of messages on connections whose packet is lost and sent again.
        regions: region by host; a host without one is near to all.
        between_regions_s: extra latency one way between two regions.

    """

    loop: asyncio.AbstractEventLoop
    rng: random.Random
    transports: dict[Address, "SimTransport"] = field(default_factory=dict)
    cuts: set[tuple[str, str]] = field(default_factory=set)
    datagram_loss: float = 0.0
    datagram_copies: float = 0.0
    slow_s: float = 0.0
    between_s: dict[tuple[str, str], float] = field(default_factory=dict)
    num_sent: Counter[tuple[str, str, str]] = field(default_factory=Counter)
    resend_share: float = 0.0
    regions: dict[str, str] = field(default_factory=dict)
    between_regions_s: float = 0.0
    _last_delivery_s: dict[tuple[Address, Address], float] = field(default_factory=dict)

    def is_cut(self, source: str, target: str) -> bool:
        """Whether messages from one host to the other are lost."""
        return (source, target) in self.cuts

    def latency_s(self, source: str = "", target: str = "") -> float:
        """Draw a one-way latency between two hosts, or any two."""
        pair = (source, target) if (source, target) in self.between_s else (target, source)
        least_s = self.between_s.get(pair, LATENCY_S) + self.distance_s(source, target)
        return least_s + self.slow_s + self.rng.uniform(0, JITTER_S)

    def distance_s(self, source: str, target: str) -> float:
        """Extra latency one way between two hosts."""
        one, other = self.regions.get(source, ""), self.regions.get(target, "")
        return self.between_regions_s if one and other and one != other else 0.0

    def in_order_at(self, source: Address, target: Address) -> float:
        """Arrival time on a connection: never before an earlier message."""
        earliest = self._last_delivery_s.get((source, target), 0.0) + MIN_GAP_S
        latency_s = self.latency_s(source.host, target.host)
        if self.resend_share and self.rng.random() < self.resend_share:
            latency_s += RESEND_S
        arrival = max(self.loop.time() + latency_s, earliest)
        self._last_delivery_s[source, target] = arrival
        return arrival


@dataclass(frozen=True, slots=True)
class _Reply:
    """What came back, and how long the other side took for it."""

    payload: bytes
    served_s: float


class SimTransport(Transport):
    """A node's transport in the simulated network."""

    def __init__(self, network: Network, process: SimProcess, address: Address) -> None:
        super().__init__()
        self.address = address
        self.process = process
        self._network = network

    async def start(self) -> Address:
        """Listen; a restarted node takes its address over."""
        self._network.transports[self.address] = self
        return self.address

    async def close(self) -> None:
        """Stop listening."""
        if self._network.transports.get(self.address) is self:
            del self._network.transports[self.address]

    def round_trip_s(self, peer: Address) -> float | None:
        """Seconds to a peer and back, the least that was measured lately; ``None``: never."""
        return self.round_trips.min_s(peer, self._network.loop.time())

    async def request(self, peer: Address, method: str, payload: bytes, timeout_s: float) -> bytes:
        """Send a request; lost messages show as a timeout, a closed port at once."""
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[_Reply] = loop.create_future()
        sent_s = loop.time()
        self._network.num_sent[self.address.host, peer.host, method] += 1
        self._deliver(peer, lambda target: target.serve(self, method, payload, answer), answer)
        try:
            reply = await asyncio.wait_for(answer, timeout_s)
        except TimeoutError as error:
            raise PeerUnreachable(f"{peer} did not answer {method}") from error
        self.round_trips.record(peer, loop.time() - sent_s - reply.served_s, loop.time())
        return reply.payload

    def serve(
        self,
        requester: "SimTransport",
        method: str,
        payload: bytes,
        answer: "asyncio.Future[_Reply]",
    ) -> None:
        """Run a handler in this process and send its result back."""
        asyncio.get_running_loop().create_task(self._serve(requester, method, payload, answer))

    async def _serve(
        self,
        requester: "SimTransport",
        method: str,
        payload: bytes,
        answer: "asyncio.Future[_Reply]",
    ) -> None:
        began_s = self._network.loop.time()
        try:
            handler = self.handlers[method]
            reply = await handler(payload)
        except Exception as error:
            failure = PeerUnreachable(repr(error), is_silent=False)
            self._deliver(requester.address, lambda _t: _fail(answer, failure), None)
            return
        served = _Reply(reply, self._network.loop.time() - began_s)
        self._deliver(requester.address, lambda _target: _succeed(answer, served), None)

    def send(self, peer: Address, method: str, payload: bytes) -> None:
        """Send a one-way message."""
        self._network.num_sent[self.address.host, peer.host, method] += 1

        def arrive(target: "SimTransport") -> None:
            handler = target.one_way_handlers.get(method)
            if handler is not None:
                handler(payload)

        self._deliver(peer, arrive, None)

    def send_datagram(self, peer: Address, payload: bytes) -> None:
        """Send a datagram: may be lost, doubled or overtaken."""
        network = self._network
        if network.is_cut(self.address.host, peer.host):
            return
        copies = 1
        if network.rng.random() < network.datagram_loss:
            copies = 0
        elif network.rng.random() < network.datagram_copies:
            copies = 2
        for _ in range(copies):
            target = network.transports.get(peer)
            if target is not None and target.datagram_handler is not None:
                network.loop.call_later(
                    network.latency_s(self.address.host, peer.host),
                    target.datagram_handler,
                    payload,
                    context=target.process.context.copy(),
                )

    def _deliver(
        self, peer: Address, arrive: object, refused: "asyncio.Future[_Reply] | None"
    ) -> None:
        network = self._network
        if network.is_cut(self.address.host, peer.host):
            return
        arrival = network.in_order_at(self.address, peer)
        target = network.transports.get(peer)
        if target is None or target.process.dead:
            if refused is not None:
                failure = PeerUnreachable(f"{peer} refused the connection", is_silent=False)
                network.loop.call_at(arrival, _fail, refused, failure)
            return
        network.loop.call_at(arrival, arrive, target, context=target.process.context.copy())  # type: ignore[arg-type]


def _succeed(answer: "asyncio.Future[_Reply]", reply: "_Reply") -> None:
    if not answer.done():
        answer.set_result(reply)


def _fail(answer: "asyncio.Future[_Reply]", failure: Exception) -> None:
    if not answer.done():
        answer.set_exception(failure)
