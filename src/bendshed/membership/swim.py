"""Membership as a pure state machine: SWIM (Das 2002) with suspicion and incarnations, and
local-health awareness (Lifeguard, Dadgar 2018).

Besides members, it spreads notices of leaving runners and hints about group leaders, since these
must reach every node within seconds too.
"""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from bendshed.model.address import Address
from bendshed.wire import peer_pb2 as wire

PROBE_INTERVAL_S = 1.0
ACK_TIMEOUT_S = 0.4
INDIRECT_PROBES = 3
SUSPICION_FACTOR = 3.0
MAX_LOCAL_HEALTH = 4
SPREAD_INTERVAL_S = 0.25
SPREAD_FANOUT = 3
RETRANSMIT_FACTOR = 3
MAX_UPDATES_PER_MESSAGE = 10
DEAD_PROBE_INTERVAL_S = 5.0
"""How often one dead member is probed, so that the end of a network partition is detected."""
DEAD_MEMBER_RETENTION_S = 3600.0

ALIVE = wire.MEMBER_STATUS_ALIVE
SUSPECT = wire.MEMBER_STATUS_SUSPECT
LEAVING = wire.MEMBER_STATUS_LEAVING
DEAD = wire.MEMBER_STATUS_DEAD

_STATUS_RANK = {ALIVE: 0, SUSPECT: 1, LEAVING: 2, DEAD: 3}


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send this datagram to this peer."""

    peer: Address
    gossip: wire.Gossip


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member joined, changed status or restarted."""

    member: wire.Member


@dataclass(frozen=True, slots=True)
class RunnerChanged:
    """A runner is leaving, or came back."""

    notice: wire.RunnerNotice


@dataclass(frozen=True, slots=True)
class LeaderChanged:
    """A group has a newer leader."""

    hint: wire.LeaderHint


@dataclass(frozen=True, slots=True)
class RevisionSeen:
    """A peer holds this configuration revision."""

    node_id: str
    revision: int


Effect = SendGossip | MemberChanged | RunnerChanged | LeaderChanged | RevisionSeen
Update = wire.Member | wire.RunnerNotice | wire.LeaderHint


@dataclass(slots=True)
class _Probe:
    """One probe in progress."""

    target: str
    sequence: int
    ack_deadline_s: float
    end_s: float
    indirect_sent: bool = False


@dataclass(slots=True)
class _QueuedUpdate:
    """An update that is still being spread."""

    update: Update
    transmissions: int = 0


@dataclass(slots=True)
class MembershipView:
    """Read-only view of the state for other components: all known members by node id."""

    members: dict[str, wire.Member] = field(default_factory=dict)

    def address(self, node_id: str) -> Address | None:
        """Return the peer address of a member that is not dead."""
        member = self.members.get(node_id)
        if member is None or member.status == DEAD:
            return None
        return Address(member.host, member.peer_port)

    def live(self) -> list[wire.Member]:
        """Return the members that accept work: alive or only suspected."""
        return [m for m in self.members.values() if m.status in (ALIVE, SUSPECT)]


class SwimMembership:
    """Membership as seen by one node.

    Invariant: a member's (incarnation, status rank) never decreases; only the member itself raises
    its incarnation.

    Attributes:
        local_member: this node's record.
        view: all known members, this node included.
        runners: latest notice by runner.
        leaders: latest hint by group.
        configuration_revision: revision that this node holds, sent to every peer.
        local_health: 0 is healthy; each missed probe or refuted suspicion raises it.

    """

    def __init__(self, local_member: wire.Member, rng: random.Random) -> None:
        self.local_member = local_member
        self.view = MembershipView({local_member.node_id: local_member})
        self.runners: dict[str, wire.RunnerNotice] = {}
        self.leaders: dict[int, wire.LeaderHint] = {}
        self.configuration_revision = 0
        self.local_health = 0
        self._rng = rng
        self._queue: dict[str, _QueuedUpdate] = {}
        self._probe_order: list[str] = []
        self._probe: _Probe | None = None
        self._relays: dict[int, tuple[Address, int]] = {}
        self._sequence = 0
        self._next_probe_s = 0.0
        self._next_spread_s = 0.0
        self._next_dead_probe_s = 0.0
        self._suspected_at_s: dict[str, float] = {}
        self._died_at_s: dict[str, float] = {}
        self._effects: list[Effect] = []
        self._enqueue(local_member)

    # --- events --------------------------------------------------------------------------

    def tick(self, now_s: float) -> list[Effect]:
        """Advance timers; call several times a second."""
        self._advance_probe(now_s)
        if now_s >= self._next_probe_s:
            self._next_probe_s = now_s + PROBE_INTERVAL_S * (1 + self.local_health)
            self._start_probe(now_s)
        self._expire_suspects(now_s)
        if now_s >= self._next_dead_probe_s:
            self._next_dead_probe_s = now_s + DEAD_PROBE_INTERVAL_S
            self._probe_dead_member(now_s)
        if now_s >= self._next_spread_s and self._queue:
            self._next_spread_s = now_s + SPREAD_INTERVAL_S
            self._spread()
        return self._drain_effects()

    def receive(self, gossip: wire.Gossip, now_s: float) -> list[Effect]:
        """Handle one datagram."""
        self._merge(gossip.members, gossip.runners, gossip.leaders, now_s)
        self._observe_revision(gossip.sender, gossip.configuration_revision)
        match gossip.kind:
            case wire.GOSSIP_KIND_PING:
                self._on_ping(gossip)
            case wire.GOSSIP_KIND_PING_REQUEST:
                self._on_ping_request(gossip)
            case wire.GOSSIP_KIND_ACK:
                self._on_ack(gossip)
        return self._drain_effects()

    def sync(self, state: wire.MembershipSync, sender: str, now_s: float) -> list[Effect]:
        """Merge a peer's whole state."""
        self._merge(state.members, state.runners, state.leaders, now_s)
        self._observe_revision(sender, state.configuration_revision)
        return self._drain_effects()

    def leave(self) -> list[Effect]:
        """Announce to all members that this node accepts no new work."""
        self._set_own_status(LEAVING)
        self._spread()
        return self._drain_effects()

    def broadcast_runner_notice(self, notice: wire.RunnerNotice) -> list[Effect]:
        """Spread that a runner is leaving or came back."""
        self._merge_runner(notice)
        self._spread()
        return self._drain_effects()

    def broadcast_leader_hint(self, hint: wire.LeaderHint) -> list[Effect]:
        """Spread which node leads a group."""
        self._merge_leader(hint)
        self._spread()
        return self._drain_effects()

    def broadcast_revision(self, revision: int) -> list[Effect]:
        """Announce immediately to peers that this node holds a newer configuration."""
        self.configuration_revision = revision
        self._spread()
        return self._drain_effects()

    def state(self) -> wire.MembershipSync:
        """Return the whole state, for a peer's ``sync``."""
        return wire.MembershipSync(
            digest=self.digest(),
            sender=self.local_member.node_id,
            members=self.view.members.values(),
            runners=self.runners.values(),
            leaders=self.leaders.values(),
            configuration_revision=self.configuration_revision,
        )

    def digest(self) -> int:
        """Return the digest of members, runners and leaders; equal digests need no sync."""
        members = sorted((m.node_id, m.incarnation, m.status) for m in self.view.members.values())
        runners = sorted((r.runner_id, r.incarnation, r.leaving) for r in self.runners.values())
        leaders = sorted((h.group_id, h.term, h.node_id) for h in self.leaders.values())
        return xxhash.xxh3_64_intdigest(repr((members, runners, leaders)).encode())

    # --- probes --------------------------------------------------------------------------

    def _start_probe(self, now_s: float) -> None:
        target = self._next_target()
        if target is None:
            return
        scale = 1 + self.local_health
        self._sequence += 1
        self._probe = _Probe(
            target, self._sequence, now_s + ACK_TIMEOUT_S * scale, now_s + PROBE_INTERVAL_S * scale
        )
        self._send(target, wire.GOSSIP_KIND_PING, self._sequence, target)

    def _next_target(self) -> str | None:
        """Shuffled round robin, so that every member is probed in bounded time."""
        while True:
            if not self._probe_order:
                self._probe_order = self._peers_not_dead()
                self._rng.shuffle(self._probe_order)
                if not self._probe_order:
                    return None
            target = self._probe_order.pop()
            if self._status(target) != DEAD:
                return target

    def _advance_probe(self, now_s: float) -> None:
        probe = self._probe
        if probe is None:
            return
        if not probe.indirect_sent and now_s >= probe.ack_deadline_s:
            probe.indirect_sent = True
            others = [node for node in self._peers_not_dead() if node != probe.target]
            for relay in self._rng.sample(others, min(INDIRECT_PROBES, len(others))):
                self._send(relay, wire.GOSSIP_KIND_PING_REQUEST, probe.sequence, probe.target)
        if now_s >= probe.end_s:
            self._probe = None
            self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)
            self._suspect(probe.target, now_s)

    def _on_ping(self, gossip: wire.Gossip) -> None:
        if gossip.target == self.local_member.node_id:
            self._send(
                gossip.sender, wire.GOSSIP_KIND_ACK, gossip.sequence, self.local_member.node_id
            )

    def _on_ping_request(self, gossip: wire.Gossip) -> None:
        requester = self.view.address(gossip.sender)
        if requester is None:
            return
        self._sequence += 1
        self._relays[self._sequence] = (requester, gossip.sequence)
        if len(self._relays) > 256:
            self._relays.pop(next(iter(self._relays)))
        self._send(gossip.target, wire.GOSSIP_KIND_PING, self._sequence, gossip.target)

    def _on_ack(self, gossip: wire.Gossip) -> None:
        relay = self._relays.pop(gossip.sequence, None)
        if relay is not None:
            address, sequence = relay
            ack = self._gossip(wire.GOSSIP_KIND_ACK, sequence, gossip.target)
            self._effects.append(SendGossip(address, ack))
        elif self._probe is not None and self._probe.sequence == gossip.sequence:
            self._probe = None
            self.local_health = max(0, self.local_health - 1)

    def _probe_dead_member(self, now_s: float) -> None:
        dead = [node for node, member in self.view.members.items() if member.status == DEAD]
        for node in dead:
            if now_s - self._died_at_s.get(node, now_s) > DEAD_MEMBER_RETENTION_S:
                del self.view.members[node]
                self._died_at_s.pop(node, None)
        dead = [node for node in dead if node in self.view.members]
        if dead:
            member = self.view.members[self._rng.choice(dead)]
            gossip = self._gossip(wire.GOSSIP_KIND_SPREAD, 0, member.node_id)
            gossip.members.extend((member, self.local_member))  # lets it refute and rejoin
            self._effects.append(SendGossip(Address(member.host, member.peer_port), gossip))

    # --- suspicion -----------------------------------------------------------------------

    def _suspect(self, node_id: str, now_s: float) -> None:
        member = self.view.members.get(node_id)
        if member is None or member.status not in (ALIVE, LEAVING):
            return
        suspected = wire.Member()
        suspected.CopyFrom(member)
        suspected.status = SUSPECT if member.status == ALIVE else DEAD
        self._merge_member(suspected, now_s)

    def _expire_suspects(self, now_s: float) -> None:
        count = max(2, len(self.view.members))
        timeout_s = SUSPICION_FACTOR * max(1.0, math.log10(count)) * PROBE_INTERVAL_S
        for node_id, since_s in list(self._suspected_at_s.items()):
            if now_s - since_s < timeout_s:
                continue
            member = wire.Member()
            member.CopyFrom(self.view.members[node_id])
            member.status = DEAD
            self._merge_member(member, now_s)

    # --- merging -------------------------------------------------------------------------

    def _merge(
        self,
        members: Iterable[wire.Member],
        runners: Iterable[wire.RunnerNotice],
        leaders: Iterable[wire.LeaderHint],
        now_s: float,
    ) -> None:
        for member in members:
            self._merge_member(member, now_s)
        for notice in runners:
            self._merge_runner(notice)
        for hint in leaders:
            self._merge_leader(hint)

    def _merge_member(self, member: wire.Member, now_s: float) -> None:
        if member.node_id == self.local_member.node_id:
            self._refute(member)
            return
        known = self.view.members.get(member.node_id)
        if known is not None and _rank(member) <= _rank(known):
            return
        changed = known is None or (known.status, known.boot) != (member.status, member.boot)
        stored = wire.Member()
        stored.CopyFrom(member)
        self.view.members[member.node_id] = stored
        self._suspected_at_s.pop(member.node_id, None)
        if member.status == SUSPECT:
            self._suspected_at_s[member.node_id] = now_s
        if member.status == DEAD:
            self._died_at_s[member.node_id] = now_s
        self._enqueue(stored)
        if changed:
            self._effects.append(MemberChanged(stored))

    def _refute(self, claim: wire.Member) -> None:
        is_same = (
            claim.incarnation == self.local_member.incarnation
            and claim.status == self.local_member.status
        )
        if claim.incarnation < self.local_member.incarnation or is_same:
            return
        self.local_member.incarnation = claim.incarnation
        self._set_own_status(self.local_member.status)
        if claim.status == SUSPECT:
            self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)

    def _set_own_status(self, status: "wire.MemberStatus.ValueType") -> None:
        self.local_member.status = status
        self.local_member.incarnation += 1
        self._enqueue(self.local_member)

    def _merge_runner(self, notice: wire.RunnerNotice) -> None:
        known = self.runners.get(notice.runner_id)
        rank = (notice.incarnation, notice.leaving)
        if known is not None and rank <= (known.incarnation, known.leaving):
            return
        self.runners[notice.runner_id] = notice
        self._enqueue(notice)
        self._effects.append(RunnerChanged(notice))

    def _merge_leader(self, hint: wire.LeaderHint) -> None:
        known = self.leaders.get(hint.group_id)
        if known is not None and hint.term <= known.term:
            return
        self.leaders[hint.group_id] = hint
        self._enqueue(hint)
        self._effects.append(LeaderChanged(hint))

    def _observe_revision(self, sender: str, revision: int) -> None:
        if revision > self.configuration_revision and sender in self.view.members:
            self._effects.append(RevisionSeen(sender, revision))

    # --- spreading -----------------------------------------------------------------------

    def _enqueue(self, update: Update) -> None:
        self._queue[_update_key(update)] = _QueuedUpdate(update)

    def _spread(self) -> None:
        others = self._peers_not_dead()
        for node in self._rng.sample(others, min(SPREAD_FANOUT, len(others))):
            self._send(node, wire.GOSSIP_KIND_SPREAD, 0, node)

    def _send(
        self, node_id: str, kind: "wire.GossipKind.ValueType", sequence: int, target: str
    ) -> None:
        member = self.view.members.get(node_id)
        if member is None:
            return
        gossip = self._gossip(kind, sequence, target)
        if member.status == DEAD:
            gossip.members.extend((member, self.local_member))  # lets a live member refute
        self._effects.append(SendGossip(Address(member.host, member.peer_port), gossip))

    def _gossip(self, kind: "wire.GossipKind.ValueType", sequence: int, target: str) -> wire.Gossip:
        gossip = wire.Gossip(
            kind=kind,
            sequence=sequence,
            sender=self.local_member.node_id,
            target=target,
            configuration_revision=self.configuration_revision,
        )
        if kind == wire.GOSSIP_KIND_PING:
            gossip.members.append(self.local_member)
        self._add_updates(gossip)
        return gossip

    def _add_updates(self, gossip: wire.Gossip) -> None:
        """Piggyback the updates that were sent least often."""
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.view.members) + 1))
        by_transmissions = sorted(self._queue.items(), key=lambda item: item[1].transmissions)
        for key, queued in by_transmissions[:MAX_UPDATES_PER_MESSAGE]:
            match queued.update:
                case wire.Member():
                    gossip.members.append(queued.update)
                case wire.RunnerNotice():
                    gossip.runners.append(queued.update)
                case wire.LeaderHint():
                    gossip.leaders.append(queued.update)
            queued.transmissions += 1
            if queued.transmissions >= limit:
                del self._queue[key]

    # --- helpers -------------------------------------------------------------------------

    def _peers_not_dead(self) -> list[str]:
        return [
            node
            for node, member in self.view.members.items()
            if node != self.local_member.node_id and member.status != DEAD
        ]

    def _status(self, node_id: str) -> int:
        member = self.view.members.get(node_id)
        return DEAD if member is None else member.status

    def _drain_effects(self) -> list[Effect]:
        effects = self._effects
        self._effects = []
        return effects


def _rank(member: wire.Member) -> tuple[int, int]:
    return (member.incarnation, _STATUS_RANK[member.status])


def _update_key(update: Update) -> str:
    match update:
        case wire.Member():
            return f"member/{update.node_id}"
        case wire.RunnerNotice():
            return f"runner/{update.runner_id}"
        case wire.LeaderHint():
            return f"leader/{update.group_id}"
