"""One replica of one group as a deterministic state machine (Raft, Ongaro 2014).

Events arrive through the public methods; each returns a list of effects. Nothing here waits,
reads a clock or accesses a disk. Follows the thesis: pre-vote (9.6), leader stickiness (4.2.3),
leadership transfer (3.10), single-server membership changes (4.1), and parallel writes to the
leader's own disk (10.2.1).
"""

import random
from collections.abc import Collection

from bendshed.consensus.election_timer import (
    ELECTION_TICKS_MIN,
    SINGLE_REGION_ORDER,
    ElectionOrder,
    ElectionTimer,
)
from bendshed.consensus.followers import FollowerTable, Progress
from bendshed.consensus.quorum import quorum_size
from bendshed.consensus.raft_types import (
    Apply,
    Effect,
    Persist,
    ReplicaLog,
    Restore,
    Role,
    RoleChanged,
    SendMessage,
)
from bendshed.ports.log_storage import GroupWrite, StoredGroup
from bendshed.wire import consensus_pb2 as wire

HEARTBEAT_TICKS = 3
MAX_APPEND_ENTRIES = 128
"""Maximum number of entries in one append message."""
MAX_IN_FLIGHT_ENTRIES = 1024
"""Maximum number of entries sent to a follower and not yet acknowledged."""


class RaftReplica:
    """A replica of one group.

    Invariants: at most one leader per term; a committed entry is in the log of every later
    leader; ``applied_index <= commit_index <= last_index``; a vote or an acknowledgement is
    sent only after the state that it refers to is durable.

    Attributes:
        term, voted_for: hard state.
        role, leader_id: current role; the leader of this term, empty if unknown.
        membership: the latest membership in the log, committed or not.
        persisted_index: last entry of this replica known to be durable.
        followers: the leader's replication state of the other replicas.
        log: entries since the last snapshot.
        lost_nodes: identities whose disks are proven to be permanently lost.

    """

    def __init__(
        self,
        node_id: str,
        stored: StoredGroup,
        rng: random.Random,
        campaigns_at_start: bool = True,
        election_order: ElectionOrder = SINGLE_REGION_ORDER,
    ) -> None:
        self.node_id = node_id
        self.group_id = stored.group_id
        self.term = stored.term
        self.voted_for = stored.voted_for
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self.log = ReplicaLog(stored.snapshot, list(stored.entries))
        self.commit_index = stored.snapshot.index
        self.applied_index = stored.snapshot.index
        self.persisted_index = self.log.last_index
        self.followers = FollowerTable(node_id)
        self.lost_nodes: frozenset[str] = frozenset()
        self._votes: set[str] = set()
        self._timer = ElectionTimer(rng, election_order)
        self._ticks_since_heartbeat = 0
        self._transfer_target = ""
        self.membership = self.log.membership_at(self.log.last_index)
        if campaigns_at_start:
            self._timer.start(node_id, self.membership.voters)
        self._effects: list[Effect] = []

    # --- state for the host --------------------------------------------------------------

    @property
    def last_index(self) -> int:
        """Index of the last entry in the log."""
        return self.log.last_index

    @property
    def snapshot_index(self) -> int:
        """Last index that the snapshot covers."""
        return self.log.snapshot.index

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this leader has committed an entry of its term."""
        return self.log.term_at(self.commit_index) == self.term

    @property
    def is_ready_leader(self) -> bool:
        """Whether this leader has committed in its term, and with that all earlier entries."""
        return self.role is Role.LEADER and self.has_committed_in_term

    @property
    def has_majority(self) -> bool:
        """Whether this is a leader to which an election quorum has replied recently."""
        return self.role is Role.LEADER and self._has_majority()

    @property
    def is_voter(self) -> bool:
        """Whether this node votes in the group."""
        return self.node_id in self.membership.voters

    @property
    def is_membership_committed(self) -> bool:
        """Whether the log contains no uncommitted membership change."""
        pending = self.log.entries_between(self.commit_index + 1, self.last_index)
        return not any(entry.kind == wire.ENTRY_KIND_MEMBERSHIP for entry in pending)

    @property
    def is_transferring_leadership(self) -> bool:
        """Whether this leader is waiting for another voter to take over."""
        return bool(self._transfer_target)

    # --- events --------------------------------------------------------------------------

    def tick(self) -> list[Effect]:
        """Advance the time by one tick."""
        if self.role is Role.LEADER:
            self._tick_leader()
        else:
            self._timer.tick()
            if self._timer.is_due and self.is_voter:
                self._start_pre_vote()
        return self._take_effects()

    def propose(self, data: bytes) -> tuple[int, list[Effect]]:
        """Append a command and return its index; 0 if this replica accepts no proposals now."""
        if self.role is not Role.LEADER or self._transfer_target:
            return 0, []
        index = self._append_entry(wire.ENTRY_KIND_COMMAND, data)
        self._replicate_all()
        return index, self._take_effects()

    def propose_membership(self, membership: wire.GroupMembership) -> tuple[int, list[Effect]]:
        """Append a membership that differs from the current one by at most one voter."""
        if not self.is_ready_leader or not self.is_membership_committed:
            return 0, []
        changed = set(membership.voters) ^ set(self.membership.voters)
        if len(changed) > 1:
            raise ValueError("a membership change may add or remove one voter")
        index = self._append_entry(wire.ENTRY_KIND_MEMBERSHIP, membership.SerializeToString())
        self._use_membership(membership)
        self._replicate_all()
        return index, self._take_effects()

    def persisted(self, last_index: int, entry_term: int) -> list[Effect]:
        """Handle that the log is durable up to the entry ``last_index`` of ``entry_term``."""
        if self.log.term_at(last_index) == entry_term:
            self.persisted_index = max(self.persisted_index, last_index)
        if self.role is Role.LEADER:
            self._advance_commit()
        return self._take_effects()

    def transfer_leadership(self, among: Collection[str]) -> list[Effect]:
        """Ask the most advanced of the given voters to take over; no effect if none replies."""
        if self.role is not Role.LEADER:
            return []
        voters = [node for node in self.membership.voters if node in among]
        target = self.followers.most_advanced(voters, ELECTION_TICKS_MIN)
        if target is None:
            return []
        self._transfer_target = target
        self._maybe_send_timeout_now(target)
        return self._take_effects()

    def compact(self, index: int, state: bytes) -> list[Effect]:
        """Replace the log up to ``index``, which must be applied, by a snapshot of the state."""
        term = self.log.term_at(index)
        if term is None or index <= self.snapshot_index or index > self.applied_index:
            return []
        snapshot = wire.Snapshot(
            index=index, term=term, membership=self.log.membership_at(index), state=state
        )
        self.log.compact(snapshot)
        self._persist(GroupWrite(self.group_id, snapshot=snapshot))
        return self._take_effects()

    def receive(self, message: wire.ConsensusMessage) -> list[Effect]:
        """Handle a message from a peer."""
        if self._is_disruptive(message):
            return []
        if message.term > self.term and not message.pre_vote:
            leader = message.sender if message.kind == wire.CONSENSUS_KIND_APPEND_REQUEST else ""
            self._become_follower(message.term, leader)
        match message.kind:
            case wire.CONSENSUS_KIND_VOTE_REQUEST:
                self._on_vote_request(message)
            case wire.CONSENSUS_KIND_VOTE_REPLY:
                self._on_vote_reply(message)
            case wire.CONSENSUS_KIND_APPEND_REQUEST:
                self._on_append_request(message)
            case wire.CONSENSUS_KIND_APPEND_REPLY:
                self._on_append_reply(message)
            case wire.CONSENSUS_KIND_SNAPSHOT:
                self._on_snapshot(message)
            case wire.CONSENSUS_KIND_TIMEOUT_NOW:
                if message.term == self.term and self.is_voter:
                    self._start_election(transfer=True)
        return self._take_effects()

    # --- elections -----------------------------------------------------------------------

    def _is_disruptive(self, message: wire.ConsensusMessage) -> bool:
        """Whether a vote request, e.g. of a removed replica, comes while a leader is active."""
        if message.kind != wire.CONSENSUS_KIND_VOTE_REQUEST or message.transfer:
            return False
        if self.role is Role.LEADER:
            return not message.pre_vote and message.term > self.term and self._has_majority()
        return bool(self.leader_id) and self._timer.has_recent_heartbeat

    def _has_majority(self) -> bool:
        return (
            len(self.followers.recently_replied(self._survivors, ELECTION_TICKS_MIN))
            >= self._quorum
        )

    @property
    def _quorum(self) -> int:
        return quorum_size(len(self.membership.voters), len(self._survivors))

    @property
    def _survivors(self) -> list[str]:
        return [node for node in self.membership.voters if node not in self.lost_nodes]

    def _start_pre_vote(self) -> None:
        self._timer.reset()
        self.role = Role.PRE_CANDIDATE
        self.leader_id = ""
        self._votes = {self.node_id}
        if len(self._votes) >= self._quorum:
            self._start_election(transfer=False)
        else:
            self._request_votes(term=self.term + 1, pre_vote=True, transfer=False)

    def _start_election(self, transfer: bool) -> None:
        self.term += 1
        self.voted_for = self.node_id
        self.role = Role.CANDIDATE
        self.leader_id = ""
        self._votes = {self.node_id}
        self._timer.reset()
        self._persist_hard_state()
        if len(self._votes) >= self._quorum:
            self._become_leader()
        else:
            self._request_votes(term=self.term, pre_vote=False, transfer=transfer)

    def _request_votes(self, term: int, pre_vote: bool, transfer: bool) -> None:
        for node in self.membership.voters:
            if node == self.node_id:
                continue
            message = self._new_message(wire.CONSENSUS_KIND_VOTE_REQUEST, node)
            message.term = term
            message.pre_vote = pre_vote
            message.transfer = transfer
            message.previous_index = self.log.last_index
            message.previous_term = self.log.last_term
            self._send(message)

    def _on_vote_request(self, message: wire.ConsensusMessage) -> None:
        own_position = (self.log.last_term, self.log.last_index)
        up_to_date = (message.previous_term, message.previous_index) >= own_position
        if message.pre_vote:
            granted = message.term > self.term and up_to_date and self.role is not Role.LEADER
        else:
            can_vote = self.voted_for in ("", message.sender)
            granted = message.term == self.term and can_vote and up_to_date
        if granted and not message.pre_vote:
            self.voted_for = message.sender
            self._timer.reset()
            self._persist_hard_state()
        reply = self._new_message(wire.CONSENSUS_KIND_VOTE_REPLY, message.sender)
        reply.term = message.term if granted else self.term
        reply.pre_vote = message.pre_vote
        reply.granted = granted
        self._send(reply)

    def _on_vote_reply(self, message: wire.ConsensusMessage) -> None:
        if message.pre_vote:
            if not message.granted and message.term > self.term:
                self._become_follower(message.term, "")
                return
            is_expected = self.role is Role.PRE_CANDIDATE and message.term == self.term + 1
        else:
            is_expected = self.role is Role.CANDIDATE and message.term == self.term
        if not is_expected or not message.granted or message.sender not in self.membership.voters:
            return
        self._votes.add(message.sender)
        if len(self._votes) < self._quorum:
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_election(transfer=False)
        else:
            self._become_leader()

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader_id = self.node_id
        self._transfer_target = ""
        self.followers.reset(self._peers(), self.log.last_index + 1)
        self._append_entry(wire.ENTRY_KIND_EMPTY, b"")
        self._effects.append(RoleChanged(self.role, self.term, self.leader_id))
        self._replicate_all()

    def _become_follower(self, term: int, leader_id: str) -> None:
        changed = self.role is not Role.FOLLOWER or self.leader_id != leader_id
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self._persist_hard_state()
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        self._transfer_target = ""
        self.followers.clear()
        if changed:
            self._timer.follow(self.leader_id, self.node_id, self.membership.voters)
            self._effects.append(RoleChanged(self.role, self.term, self.leader_id))

    # --- replication ---------------------------------------------------------------------

    def _tick_leader(self) -> None:
        self.followers.tick()
        self._timer.tick()
        if self._timer.is_quorum_check_due():
            self._transfer_target = ""
            if not self._has_majority():
                self._become_follower(self.term, "")
                return
        self._ticks_since_heartbeat += 1
        if self._ticks_since_heartbeat >= HEARTBEAT_TICKS:
            self._ticks_since_heartbeat = 0
            for node in self._peers():
                self._replicate(node, heartbeat=True)

    def _append_entry(self, kind: "wire.EntryKind.ValueType", data: bytes) -> int:
        entry = wire.LogEntry(index=self.log.last_index + 1, term=self.term, kind=kind, data=data)
        self.log.extend([entry])
        self._persist(GroupWrite(self.group_id, entries=[entry]))
        return entry.index

    def _replicate_all(self) -> None:
        for node in self._peers():
            self._replicate(node, heartbeat=False)

    def _replicate(self, node: str, heartbeat: bool) -> None:
        progress = self.followers[node]
        previous = progress.next_index - 1
        previous_term = self.log.term_at(previous)
        if previous_term is None:
            self._send_snapshot(node, progress, heartbeat)
            return
        in_flight = previous - progress.match_index
        last = min(self.log.last_index, previous + MAX_APPEND_ENTRIES)
        entries = (
            []
            if in_flight > MAX_IN_FLIGHT_ENTRIES
            else self.log.entries_between(previous + 1, last)
        )
        if not entries and not heartbeat:
            return
        message = self._new_message(wire.CONSENSUS_KIND_APPEND_REQUEST, node)
        message.previous_index = previous
        message.previous_term = previous_term
        message.commit_index = self.commit_index
        message.entries.extend(entries)
        if entries:
            progress.next_index = entries[-1].index + 1
        self._send_now(message)

    def _send_snapshot(self, node: str, progress: Progress, heartbeat: bool) -> None:
        is_already_sent = progress.pending_snapshot_index == self.snapshot_index
        if is_already_sent and (not heartbeat or progress.ticks_since_reply % 10):
            return
        progress.pending_snapshot_index = self.snapshot_index
        message = self._new_message(wire.CONSENSUS_KIND_SNAPSHOT, node)
        message.snapshot.CopyFrom(self.log.snapshot)
        self._send_now(message)

    def _on_append_request(self, message: wire.ConsensusMessage) -> None:
        reply = self._new_message(wire.CONSENSUS_KIND_APPEND_REPLY, message.sender)
        if message.term < self.term:
            reply.previous_index = self.log.last_index
            self._send(reply)
            return
        self._record_leader_contact(message.sender)
        if message.previous_index < self.snapshot_index:
            reply.granted = True
            reply.previous_index = self.snapshot_index
            self._send(reply)
            return
        if self.log.term_at(message.previous_index) != message.previous_term:
            previous = message.previous_index
            reply.previous_index = self.log.conflict_hint(previous, self.commit_index)
            self._send(reply)
            return
        self._store_entries(list(message.entries))
        matched = message.previous_index + len(message.entries)
        self._commit_to(min(message.commit_index, matched))
        reply.granted = True
        reply.previous_index = matched
        self._send(reply)

    def _store_entries(self, entries: list[wire.LogEntry]) -> None:
        first_new = self.log.first_difference(entries)
        if first_new is None:
            return
        write = GroupWrite(self.group_id, entries=[e for e in entries if e.index >= first_new])
        if first_new <= self.log.last_index:
            if first_new <= self.commit_index:
                raise AssertionError("a committed entry would be overwritten")
            write.truncate_from = first_new
            self.log.truncate_from(first_new)
            self.persisted_index = min(self.persisted_index, first_new - 1)
        self.log.extend(list(write.entries))
        if write.truncate_from or any(e.kind == wire.ENTRY_KIND_MEMBERSHIP for e in write.entries):
            self.membership = self.log.membership_at(self.log.last_index)
        self._persist(write)

    def _on_append_reply(self, message: wire.ConsensusMessage) -> None:
        progress = self.followers.get(message.sender)
        if self.role is not Role.LEADER or message.term != self.term or progress is None:
            return
        progress.ticks_since_reply = 0
        if not message.granted:
            first_missing = max(progress.match_index, message.previous_index) + 1
            if not progress.is_resend_in_flight(first_missing):
                progress.record_resend(first_missing)
                progress.next_index = first_missing
                self._replicate(message.sender, heartbeat=True)
            return
        progress.pending_snapshot_index = 0
        progress.match_index = max(progress.match_index, message.previous_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        if progress.resend_index:
            is_behind = progress.match_index < self.log.last_index
            progress.record_resend(progress.match_index + 1 if is_behind else 0)
        self._advance_commit()
        if self.role is Role.LEADER:
            self._maybe_send_timeout_now(message.sender)
            self._replicate(message.sender, heartbeat=False)

    def _maybe_send_timeout_now(self, node: str) -> None:
        if node == self._transfer_target and (
            self.followers[node].match_index == self.log.last_index
        ):
            self._send_now(self._new_message(wire.CONSENSUS_KIND_TIMEOUT_NOW, node))

    def _advance_commit(self) -> None:
        candidate = self.followers.quorum_index(self._survivors, self.persisted_index, self._quorum)
        if candidate > self.commit_index and self.log.term_at(candidate) == self.term:
            self._commit_to(candidate)
            if not self.is_voter and self.is_membership_committed:
                self._become_follower(self.term, "")

    def _commit_to(self, index: int) -> None:
        if index <= self.commit_index:
            return
        self.commit_index = index
        entries = self.log.entries_between(self.applied_index + 1, index)
        self.applied_index = index
        self._effects.append(Apply(entries))

    def _on_snapshot(self, message: wire.ConsensusMessage) -> None:
        if message.term < self.term:
            return
        self._record_leader_contact(message.sender)
        snapshot = message.snapshot
        if snapshot.index > self.commit_index:
            self.log = ReplicaLog(snapshot)
            self.commit_index = snapshot.index
            self.applied_index = snapshot.index
            self.persisted_index = snapshot.index
            self.membership = snapshot.membership
            self._persist(GroupWrite(self.group_id, truncate_from=1, snapshot=snapshot))
            self._effects.append(Restore(snapshot))
        reply = self._new_message(wire.CONSENSUS_KIND_APPEND_REPLY, message.sender)
        reply.granted = True
        reply.previous_index = self.commit_index
        self._send(reply)

    # --- helpers -------------------------------------------------------------------------

    def _record_leader_contact(self, leader_id: str) -> None:
        self._timer.record_heartbeat()
        if self.role is not Role.FOLLOWER or self.leader_id != leader_id:
            self._become_follower(self.term, leader_id)

    def _use_membership(self, membership: wire.GroupMembership) -> None:
        self.membership = membership
        if self.role is Role.LEADER:
            self.followers.update_members(self._peers(), self.log.last_index)

    def _peers(self) -> list[str]:
        members = (*self.membership.voters, *self.membership.learners)
        return [node for node in members if node != self.node_id]

    def _new_message(
        self, kind: "wire.ConsensusKind.ValueType", receiver: str
    ) -> wire.ConsensusMessage:
        return wire.ConsensusMessage(
            group_id=self.group_id,
            kind=kind,
            term=self.term,
            sender=self.node_id,
            receiver=receiver,
        )

    def _send(self, message: wire.ConsensusMessage) -> None:
        self._effects.append(SendMessage(message, after_persist=True))

    def _send_now(self, message: wire.ConsensusMessage) -> None:
        self._effects.append(SendMessage(message, after_persist=False))

    def _persist(self, write: GroupWrite) -> None:
        self._effects.append(Persist(write))

    def _persist_hard_state(self) -> None:
        self._persist(GroupWrite(self.group_id, term=self.term, voted_for=self.voted_for))

    def _take_effects(self) -> list[Effect]:
        effects, self._effects = self._effects, []
        return effects
