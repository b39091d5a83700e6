"""Relays requests of other nodes, over one hop only: the relay always tries the target directly."""

from collections.abc import Callable

from bendshed.model.address import Address
from bendshed.paths.relay_search import RELAY_METHOD
from bendshed.ports.transport import PeerUnreachable, Transport
from bendshed.wire import catalog_pb2 as wire

MAX_OPEN_RELAYS = 64
"""Requests that a node relays at the same time; bounds its load during a network partition."""


class RelayServer:
    """Answers relay requests; registers its handler on construction."""

    def __init__(
        self,
        transport: Transport,
        relayed_methods: frozenset[str],
        is_relay_only: Callable[[Address], bool],
    ) -> None:
        self._transport = transport
        self._relayed_methods = relayed_methods
        self._is_relay_only = is_relay_only
        self._num_open = 0
        transport.handlers[RELAY_METHOD] = self._relay

    async def _relay(self, payload: bytes) -> bytes:
        """Send a request of another node directly to its target."""
        request = wire.RelayRequest.FromString(payload)
        target = Address(request.target.host, request.target.port)
        if self._is_relay_only(target):
            return wire.RelayReply(is_cut_here=True).SerializeToString()
        is_known = request.method in self._relayed_methods
        if not is_known or self._num_open >= MAX_OPEN_RELAYS:
            return wire.RelayReply(is_reached=False).SerializeToString()
        self._num_open += 1
        try:
            answer = await self._transport.request(
                target, request.method, request.payload, request.timeout_ms / 1000
            )
        except PeerUnreachable:
            return wire.RelayReply(is_reached=False).SerializeToString()
        finally:
            self._num_open -= 1
        return wire.RelayReply(is_reached=True, payload=answer).SerializeToString()
