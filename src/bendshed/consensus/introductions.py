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
INTERVAL_S = 0.3
ANSWER_TIMEOUT_S = 0.5
DISK_S = 0.3
"""A machine whose disk takes longer could not hold a replica now, and does not say who it is."""


class Introductions:
    """Asks machines whose word is missed who they are, again and again, and answers others.

    Args:
        missed: identities that should speak and do not.
        on_answer: called with the identity of a machine that answered and whose disk takes writes.

    """

    def __init__(
        self,
        transport: Transport,
        directory: ReplicaDirectory,
        host: GroupHost,
        me: ReplicaNode,
        missed: Callable[[], Collection[str]],
        on_answer: Callable[[str], None],
    ) -> None:
        self._transport = transport
        self._directory = directory
        self._host = host
        self._hello = to_wire(me).SerializeToString()
        self._missed = missed
        self._on_answer = on_answer
        self._asking: dict[str, asyncio.Task[None]] = {}

    def start(self) -> None:
        """Answer from now on."""
        self._transport.handlers[INTRODUCE_METHOD] = self._answer

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            missed = self._missed()
            for node in list(self._directory.by_name.values()):
                if node.node_id in missed and node != self._directory.own_node:
                    self._begin_to_ask(node)

    def _begin_to_ask(self, node: ReplicaNode) -> None:
        """Ask one machine, unless it is being asked: a silent one holds no other up."""
        if node.name not in self._asking:
            asking = asyncio.get_running_loop().create_task(self._ask(node))
            self._asking[node.name] = asking
            asking.add_done_callback(lambda _done: self._asking.pop(node.name, None))

    def stop(self) -> None:
        """Give up what is being asked."""
        for asking in self._asking.values():
            asking.cancel()

    async def _ask(self, node: ReplicaNode) -> None:
        try:
            reply = await self._transport.request(
                node.address, INTRODUCE_METHOD, self._hello, ANSWER_TIMEOUT_S
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
            async with asyncio.timeout(DISK_S):
                await self._host.flush()
        except TimeoutError:
            return b""
        return self._hello
