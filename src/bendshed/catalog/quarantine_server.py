"""Collects the ends of runners that nodes report, and pushes them to all other nodes.

A front reports to one replica machine, which forwards to the others and pushes to all fronts of its
region; the others push to the fronts that follow their catalogs. Most fronts follow one machine,
and while that one is down for a moment they follow none. A machine that has just started knows few
fronts, and says so as it forwards. Ends that arrive close together go out in one message.
"""

import asyncio
import random
from collections.abc import Callable, Collection, Sequence

from bendshed.catalog.demand import Demand
from bendshed.catalog.quarantine_messages import (
    ENDS_METHOD,
    FORWARD_METHOD,
    PUSH_METHOD,
    EndsPush,
    EndsReply,
    EndsRequest,
)
from bendshed.consensus.directory import ReplicaDirectory
from bendshed.logs import PartLog
from bendshed.model.address import Address
from bendshed.ports.transport import Transport
from bendshed.retries.quarantine import Quarantine, RunnerEnd

PUSH_INTERVAL_S = 0.02
"""Shortest time between two pushes. A rack that fails ends runners under hundreds of requests, seen
by as many fronts: each of those would otherwise cause a message to every front."""
MIN_FRONTS_SHARE = 0.5
"""A machine pushes what another one of its region forwards to all fronts that it knows, if that one
reaches a smaller share of them. They know fronts by samples, so that the numbers may differ."""

log = PartLog("quarantine")


class QuarantineServer:
    """The ends that a replica machine knows, and the nodes that it notifies.

    Args:
        all_fronts: fronts that are known here, whichever machine they follow.
        is_far: whether a host is known to be located in another region.

    """

    def __init__(
        self,
        transport: Transport,
        directory: ReplicaDirectory,
        demand: Demand,
        own_address: Address,
        all_fronts: Callable[[], Collection[Address]] = tuple,
        is_far: Callable[[str], bool] = lambda _host: False,
    ) -> None:
        self._transport = transport
        self._directory = directory
        self._demand = demand
        self._own_address = own_address
        self._all_fronts = all_fronts
        self._is_far = is_far
        self._ledger = Quarantine()
        # Differs over restarts, also of machines whose generators are seeded alike.
        self._first_version = random.SystemRandom().getrandbits(31) << 32
        self._num_changes = 0
        self._to_fronts: list[RunnerEnd] = []
        self._to_other_fronts: list[RunnerEnd] = []
        self._to_replicas: list[RunnerEnd] = []
        self._pushed_version = 0
        self._pushed_s = 0.0
        self._pushing: asyncio.Task[None] | None = None

    @property
    def version(self) -> int:
        """Changes with each end that is new here, and over a restart; 0: no ends are known."""
        return self._first_version + self._num_changes if self._ledger else 0

    def start(self) -> None:
        """Begin to receive reports."""
        self._transport.handlers[ENDS_METHOD] = self.handle
        self._transport.one_way_handlers[FORWARD_METHOD] = self._receive_forwarded

    async def handle(self, payload: bytes) -> bytes:
        """Merge a report; reply once it has been pushed to the other nodes."""
        request = EndsRequest.decode(payload)
        new = self._merge(request.ends)
        self._to_replicas += new
        self._to_other_fronts += new
        pushing = self._schedule_push()
        if pushing is not None:
            await asyncio.shield(pushing)
        wanted = None if request.wants_all else {end.fingerprint for end in request.ends}
        now_s = asyncio.get_running_loop().time()
        ends = tuple(self._ledger.ends(now_s, wanted))
        return EndsReply(ends, self.version).encode()

    def apply_ends(self, ends: Sequence[RunnerEnd]) -> None:
        """Apply ends of another replica machine, which notifies the other ones itself."""
        self._merge(ends)
        self._schedule_push()

    def all_ends(self) -> list[RunnerEnd]:
        """All ends that this machine knows."""
        return self._ledger.ends(asyncio.get_running_loop().time())

    def _receive_forwarded(self, payload: bytes) -> None:
        push = EndsPush.decode(payload)
        new = self._merge(push.ends)
        if self._reaches_few_fronts(push):
            self._to_other_fronts += new
        self._schedule_push()

    def _reaches_few_fronts(self, push: EndsPush) -> bool:
        """Whether a machine of the region pushes to much fewer fronts than are known here."""
        if push.num_fronts is None or self._is_far(push.sender.host):
            return False
        num_known = len(self._demand.front_requested_at_s) + len(self._other_fronts())
        return push.num_fronts < MIN_FRONTS_SHARE * num_known

    def _merge(self, ends: Sequence[RunnerEnd]) -> list[RunnerEnd]:
        new = self._ledger.merge(ends, asyncio.get_running_loop().time())
        self._num_changes += len(new)
        self._to_fronts += new
        return new

    def _schedule_push(self) -> "asyncio.Task[None] | None":
        """Push what is new, now or when the interval is over; ``None``: nothing is new."""
        if not self._to_fronts:
            return None
        if self._pushing is None or self._pushing.done():
            self._pushing = asyncio.get_running_loop().create_task(self._push())
        return self._pushing

    async def _push(self) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, self._pushed_s + PUSH_INTERVAL_S - loop.time()))
        self._pushed_s = loop.time()
        to_fronts, self._to_fronts = self._to_fronts, []
        to_other_fronts, self._to_other_fronts = self._to_other_fronts, []
        to_replicas, self._to_replicas = self._to_replicas, []
        before, self._pushed_version = self._pushed_version, self.version
        followers = list(self._demand.front_requested_at_s)
        others = self._other_fronts() if to_other_fronts else []
        log.say("ends pushed", ends=len(to_fronts), fronts=len(followers), others=len(others))
        if to_replicas:
            replicas = [node.address for node in self._directory.by_name.values()]
            to_other_replicas = [address for address in replicas if address != self._own_address]
            self._send(
                to_other_replicas,
                FORWARD_METHOD,
                EndsPush(
                    tuple(to_replicas),
                    self._own_address,
                    before,
                    self.version,
                    len(followers) + len(others),
                ),
            )
        # No version that the others know precedes this one: it says nothing of earlier ends.
        self._send(others, PUSH_METHOD, self._push_of(to_other_fronts, self.version))
        self._send(followers, PUSH_METHOD, self._push_of(to_fronts, before))

    def _other_fronts(self) -> list[Address]:
        """Fronts of the region that do not follow this machine."""
        followers = self._demand.front_requested_at_s
        others = [front for front in self._all_fronts() if front not in followers]
        return [front for front in others if not self._is_far(front.host)]

    def _send(self, nodes: Collection[Address], method: str, push: EndsPush) -> None:
        message = push.encode()
        for node in nodes:
            self._transport.send(node, method, message)

    def _push_of(self, ends: list[RunnerEnd], before: int) -> EndsPush:
        return EndsPush(tuple(ends), self._own_address, before, self.version)
