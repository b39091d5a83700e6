"""Two replica machines tell each other who they are, without the registry.

A machine that lost its disk starts with an empty directory. While the registry is silent it knows
nobody: it cannot acknowledge what a leader sends, nor tell voters that its former identity is lost.
So whoever misses a peer's word asks at its address, and the question itself names who asks. A
reply to a request that was sent a moment ago also corrects what older announcements said.
"""

import asyncio
from collections.abc import Callable, Collection

from bendshed.consensus.directory import ReplicaDirectory, from_wire, to_wire
from bendshed.consensus.host import GroupHost
from bendshed.ports.registry import ReplicaNode
from bendshed.ports.transport import PeerUnreachable, Transport
from bendshed.wire import turns_pb2 as wire

INTRODUCE_METHOD = "replica.introduce"
"""Request of one replica machine to another: both name themselves."""
REQUEST_INTERVAL_S = 0.3
REQUEST_TIMEOUT_S = 0.5
FLUSH_TIMEOUT_S = 0.3
"""A machine whose disk takes longer could not hold a replica now, and does not say who it is."""


class Introductions:
    """Asks machines whose word is missed who they are, again and again, and answers others.

    Args:
        nodes_to_ask: identities that should speak and do not.
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
        """Answer from now on."""
        self._transport.handlers[INTRODUCE_METHOD] = self._answer

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await asyncio.sleep(REQUEST_INTERVAL_S)
            missed = self._nodes_to_ask()
            for node in list(self._directory.by_name.values()):
                if node.node_id in missed and node != self._directory.own_node:
                    self._start_request(node)

    def _start_request(self, node: ReplicaNode) -> None:
        """Ask one machine, unless it is being asked: a silent one holds no other up."""
        if node.name not in self._pending_requests:
            request = asyncio.get_running_loop().create_task(self._request_identity(node))
            self._pending_requests[node.name] = request
            request.add_done_callback(lambda _done: self._pending_requests.pop(node.name, None))

    def stop(self) -> None:
        """Give up what is being asked."""
        for request in self._pending_requests.values():
            request.cancel()

    async def _request_identity(self, node: ReplicaNode) -> None:
        try:
            reply = await self._transport.request(
                node.address, INTRODUCE_METHOD, self._hello, REQUEST_TIMEOUT_S
            )
        except PeerUnreachable:
            return  # silent, or of a version that does not know the method: asked again
        # Another word that came meanwhile may be newer than this one: the machine is asked again.
        if reply and self._directory.by_name.get(node.name) == node:
            found = from_wire(wire.ReplicaHello.FromString(reply))
            self._directory.put_direct_reply(found)
            self._on_answer(found.node_id)

    async def _answer(self, payload: bytes) -> bytes:
        """Take who asks, and reply who this is; empty while the disk takes no writes."""
        self._directory.put(from_wire(wire.ReplicaHello.FromString(payload)))
        try:
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                await self._host.flush()
        except TimeoutError:
            return b""
        return self._hello
