"""Runs the membership state machine: UDP datagrams, timers, joining and anti-entropy."""

import asyncio
import random
from collections.abc import Callable

from bendshed.identifiers import rendezvous_rank
from bendshed.logs import PartLog
from bendshed.membership import swim
from bendshed.model.address import Address
from bendshed.ports.transport import PeerUnreachable, Transport
from bendshed.tasks import start_loop
from bendshed.wire import peer_pb2 as wire

SYNC_METHOD = "membership.sync"
TICK_S = 0.2
SYNC_INTERVAL_S = 30.0
SYNC_TIMEOUT_S = 2.0
JOIN_RETRY_S = 0.5
READER_RANK_KEY = "configuration-reader"
SEED_SYNC_PROBABILITY = 0.25
"""Probability of syncing with a seed, so that separated partitions find each other again."""
SILENCE_TIMEOUT_S = 2.0
"""After this long without a message from any peer, updates may have been missed."""

log = PartLog("membership")


class MembershipService:
    """Maintains this node's membership and notifies subscribers of changes.

    Attributes:
        last_message_s: loop time of the last message from a peer.

    After a silence (a process pause, a network partition, a start) updates that peers spread in
    the meantime may have been missed; the view counts as current again only after a sync of the
    whole state with a peer.
    """

    def __init__(
        self,
        local_member: wire.Member,
        transport: Transport,
        rng: random.Random,
        seeds: list[Address],
    ) -> None:
        self.swim = swim.SwimMembership(local_member, rng)
        self.on_member: list[Callable[[wire.Member], None]] = []
        self.on_runner: list[Callable[[wire.RunnerNotice], None]] = []
        self.on_leader: list[Callable[[wire.LeaderHint], None]] = []
        self.on_revision: list[Callable[[str, int], None]] = []
        self.last_message_s = float("-inf")
        self._may_have_missed_updates = True
        self._transport = transport
        self._rng = rng
        self._seeds = seeds
        self._tasks: list[asyncio.Task[None]] = []
        transport.datagram_handler = self._on_datagram
        transport.handlers[SYNC_METHOD] = self._on_sync

    @property
    def view(self) -> swim.MembershipView:
        """Members as currently known."""
        return self.swim.view

    def start(self) -> None:
        """Start probing, and joining through the seeds."""
        self._tasks = [
            start_loop(self._tick_forever(), "membership"),
            start_loop(self._sync_forever(), "membership"),
        ]

    async def stop(self) -> None:
        """Stop probing and syncing."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def leave(self) -> None:
        """Announce that this node accepts no new work."""
        self._perform(self.swim.leave())

    def broadcast_runner_notice(self, notice: wire.RunnerNotice) -> None:
        """Spread a notice about a runner to all members."""
        self._perform(self.swim.broadcast_runner_notice(notice))

    def broadcast_leader_hint(self, hint: wire.LeaderHint) -> None:
        """Spread a group's leader to all members."""
        self._perform(self.swim.broadcast_leader_hint(hint))

    def broadcast_revision(self, revision: int) -> None:
        """Announce to peers which configuration revision this node holds."""
        self._perform(self.swim.broadcast_revision(revision))

    def zone_readers(self) -> list[str]:
        """Return the live nodes of this node's zone by rank; the first ones read the store."""
        zone = self.swim.local_member.zone
        nodes = [member.node_id for member in self.view.live() if member.zone == zone]
        return rendezvous_rank(READER_RANK_KEY, nodes)

    # --- input ---------------------------------------------------------------------------

    def _on_datagram(self, payload: bytes) -> None:
        gossip = wire.Gossip.FromString(payload)
        self._record_message()
        self._perform(self.swim.receive(gossip, self.last_message_s))

    def _record_message(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s - self.last_message_s > SILENCE_TIMEOUT_S:
            self._may_have_missed_updates = True
        self.last_message_s = now_s

    @property
    def is_current(self) -> bool:
        """Whether an update that all peers hold would have reached this node."""
        silent_s = asyncio.get_running_loop().time() - self.last_message_s
        return silent_s <= SILENCE_TIMEOUT_S and not self._may_have_missed_updates

    async def _on_sync(self, payload: bytes) -> bytes:
        state = wire.MembershipSync.FromString(payload)
        self._merge(state)
        if state.digest == self.swim.digest():
            return self._summary().SerializeToString()
        return self.swim.state().SerializeToString()

    def _summary(self) -> wire.MembershipSync:
        """Return a sync message with the state's digest but without the state."""
        return wire.MembershipSync(
            digest=self.swim.digest(),
            sender=self.swim.local_member.node_id,
            configuration_revision=self.swim.configuration_revision,
        )

    def _merge(self, state: wire.MembershipSync) -> None:
        now_s = asyncio.get_running_loop().time()
        self._perform(self.swim.sync(state, state.sender, now_s))

    async def _tick_forever(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._perform(self.swim.tick(loop.time()))
            await asyncio.sleep(TICK_S)

    async def _sync_forever(self) -> None:
        """Join through the seeds, then periodically sync the whole state with a random peer."""
        while True:
            joined = await self._sync_once()
            pause_s = SYNC_INTERVAL_S * self._rng.uniform(0.5, 1.5) if joined else JOIN_RETRY_S
            until_s = asyncio.get_running_loop().time() + pause_s
            while asyncio.get_running_loop().time() < until_s:
                await asyncio.sleep(JOIN_RETRY_S)
                if joined and self._may_have_missed_updates:
                    break

    async def _sync_once(self) -> bool:
        peer = self._pick_peer()
        if peer is None:
            return False
        try:
            reply = await self._exchange(peer, self._summary())
            if reply.digest != self.swim.digest():
                await self._exchange(peer, self.swim.state())
        except PeerUnreachable:
            return False
        self._may_have_missed_updates = False
        return True

    async def _exchange(self, peer: Address, mine: wire.MembershipSync) -> wire.MembershipSync:
        """Send a digest or the whole state, and merge the reply."""
        payload = await self._transport.request(
            peer, SYNC_METHOD, mine.SerializeToString(), SYNC_TIMEOUT_S
        )
        self._record_message()
        reply = wire.MembershipSync.FromString(payload)
        self._merge(reply)
        return reply

    def _pick_peer(self) -> Address | None:
        local = self.swim.local_member
        others = [m for m in self.view.live() if m.node_id != local.node_id]
        if others and self._rng.random() >= SEED_SYNC_PROBABILITY:
            member = self._rng.choice(others)
            return Address(member.host, member.peer_port)
        seeds = [s for s in self._seeds if s != Address(local.host, local.peer_port)]
        addresses = seeds or [Address(m.host, m.peer_port) for m in others]
        return self._rng.choice(addresses) if addresses else None

    # --- effects -------------------------------------------------------------------------

    def _perform(self, effects: list[swim.Effect]) -> None:
        for effect in effects:
            match effect:
                case swim.SendGossip(peer, gossip):
                    self._transport.send_datagram(peer, gossip.SerializeToString())
                case swim.MemberChanged(member):
                    log.say("member changed", member=member.node_id, status=member.status)
                    for on_member in self.on_member:
                        on_member(member)
                case swim.RunnerChanged(notice):
                    for on_runner in self.on_runner:
                        on_runner(notice)
                case swim.LeaderChanged(hint):
                    for on_leader in self.on_leader:
                        on_leader(hint)
                case swim.RevisionSeen(node_id, revision):
                    for on_revision in self.on_revision:
                        on_revision(node_id, revision)
