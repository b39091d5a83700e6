"""Replica machines exchange their identities directly, without the registry.

A machine that lost its disk starts with an empty directory. While the registry does not answer, it
knows no peers: it cannot acknowledge what a leader sends, nor tell voters that its former identity
is lost. So a machine that gets no messages from a peer sends a request to the peer's address, and
that request carries the sender's own identity. A reply to a request that has just been sent also
corrects what older announcements said.
"""

import asyncio
from collections.abc import Callable, Collection

from bendshed.consensus.directory import ReplicaDirectory, from_wire, to_wire
from bendshed.consensus.host import GroupHost
from bendshed.ports.registry import ReplicaNode
from bendshed.ports.transport import PeerUnreachable, Transport
from bendshed.wire import turns_pb2 as wire

INTRODUCE_METHOD = "replica.introduce"
"""Request in which both replica machines state their identities."""
REQUEST_INTERVAL_S = 0.3
REQUEST_TIMEOUT_S = 0.5
FLUSH_TIMEOUT_S = 0.3
"""A machine whose disk takes longer could not hold a replica now, so its reply is empty."""


class Introductions:
    """Periodically asks silent machines for their identities, and answers the requests of others.

    Args:
        nodes_to_ask: returns the identities from which messages are missing.
        on_answer: called with the identity of a machine that answered and whose disk takes writes.

    """

    def __init__(
        self,
        transport: Transport,
        directory: ReplicaDirectory,
        host: GroupHost,
        local_node: ReplicaNode,
        nodes_to_ask: Callable[[], Collection[str]],
        on_answer: Callable[[str], None],
    ) -> None:
        self._transport = transport
        self._directory = directory
        self._host = host
        self._hello = to_wire(local_node).SerializeToString()
        self._nodes_to_ask = nodes_to_ask
        self._on_answer = on_answer
        self._pending_requests: dict[str, asyncio.Task[None]] = {}

    def start(self) -> None:
        """Start answering requests."""
        self._transport.handlers[INTRODUCE_METHOD] = self._answer

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(REQUEST_INTERVAL_S)
            silent_nodes = self._nodes_to_ask()
            for node in list(self._directory.by_name.values()):
                if node.node_id in silent_nodes and node != self._directory.own_node:
                    self._start_request(node)

    def _start_request(self, node: ReplicaNode) -> None:
        """Ask one machine unless a request is pending; a silent one does not delay others."""
        if node.name not in self._pending_requests:
            request = asyncio.get_running_loop().create_task(self._request_identity(node))
            self._pending_requests[node.name] = request
            request.add_done_callback(lambda _done: self._pending_requests.pop(node.name, None))

    def stop(self) -> None:
        """Cancel all pending requests."""
        for request in self._pending_requests.values():
            request.cancel()

    async def _request_identity(self, node: ReplicaNode) -> None:
        try:
            reply = await self._transport.request(
                node.address, INTRODUCE_METHOD, self._hello, REQUEST_TIMEOUT_S
            )
        except PeerUnreachable:
            return  # no answer, or a version without this method: asked again at the next interval
        # An announcement that arrived during the request may be newer than this reply: ask again.
        if reply and self._directory.by_name.get(node.name) == node:
            found = from_wire(wire.ReplicaHello.FromString(reply))
            self._directory.put_direct_reply(found)
            self._on_answer(found.node_id)

    async def _answer(self, payload: bytes) -> bytes:
        """Record the requester and reply with this identity; empty while the disk is stalled."""
        self._directory.put(from_wire(wire.ReplicaHello.FromString(payload)))
        try:
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                await self._host.flush()
        except TimeoutError:
            return b""
        return self._hello
