"""Runs all replicas of one node: ticks, durable writes, messages and proposals.

Each iteration of the writer makes the pending writes of all groups durable in a single commit; the
messages that depend on them are sent afterwards. Messages to one peer are batched, so heartbeats
cost one message per pair of nodes instead of one per group.
"""

import asyncio
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Protocol

import xxhash

from bendshed.consensus import raft_types as raft
from bendshed.consensus.election_timer import SINGLE_REGION_ORDER, ElectionOrder
from bendshed.consensus.raft import RaftReplica
from bendshed.consensus.stall import StallDetector
from bendshed.logs import PartLog
from bendshed.model.address import Address
from bendshed.ports.log_storage import GroupWrite, LogStorage, StorageFailed, StoredGroup
from bendshed.ports.transport import Transport
from bendshed.tasks import start_loop
from bendshed.wire import consensus_pb2 as wire

CONSENSUS_METHOD = "consensus.batch"
COMPACT_AFTER_ENTRIES = 2_000
COMPACT_AFTER_BYTES = 32 * 1024 * 1024
COMPACT_STAGGER_STEPS = 5
"""Replicas compact at different log sizes, so that a majority never writes snapshots at once."""
COMMIT_RETRY_S = 0.2

log = PartLog("consensus")


class ReplicatedState(Protocol):
    """State machine that a group replicates. ``apply`` must be deterministic."""

    def apply(self, data: bytes) -> object:
        """Apply one committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, state: bytes) -> None:
        """Replace the state."""


class NotLeader(Exception):
    """This node does not lead the group; ``leader_id`` names the leader if it is known."""

    def __init__(self, leader_id: str) -> None:
        super().__init__(leader_id)
        self.leader_id = leader_id


class NotCommitted(Exception):
    """The command was definitely dropped and will never be applied."""


class CommitUnknown(Exception):
    """The command did not commit within the timeout; it may still do so.

    Attributes:
        index: index of its log entry; 0: it has no entry on this node.

    """

    def __init__(self, detail: str, index: int = 0) -> None:
        super().__init__(detail)
        self.index = index


@dataclass(slots=True)
class HostedGroup:
    """A replica, its state machine and the pending proposals of this node.

    Attributes:
        waiters: index -> (term, future of the command's result).
        changed: set and replaced whenever commands are applied, a snapshot is restored or the role
            changes.

    """

    replica: RaftReplica
    state: ReplicatedState
    waiters: dict[int, tuple[int, asyncio.Future[object]]] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class GroupHost:
    """Performs the I/O of the replicas of one node."""

    def __init__(
        self,
        storage: LogStorage,
        transport: Transport,
        rng: random.Random,
        tick_s: float,
        new_state: Callable[[int], ReplicatedState],
        resolve: Callable[[str], Address | None],
        compact_after_entries: int = COMPACT_AFTER_ENTRIES,
        compact_after_bytes: int = COMPACT_AFTER_BYTES,
        campaigns_at_start: bool = True,
        election_order_of: Callable[[int], ElectionOrder] = lambda _group: SINGLE_REGION_ORDER,
    ) -> None:
        self.node_id = storage.node_id()
        self.groups: dict[int, HostedGroup] = {}
        self.on_role_changed: Callable[[int, raft.RoleChanged], None] = lambda _group, _change: None
        self.on_misaddressed_message: Callable[[str], None] = lambda _sender: None
        self.stall_detector = StallDetector()
        self._storage = storage
        self._transport = transport
        self._rng = rng
        self._tick_s = tick_s
        self._new_state = new_state
        self._resolve = resolve
        self._compact_after_entries = stagger_limit(compact_after_entries, self.node_id)
        self._compact_after_bytes = stagger_limit(compact_after_bytes, self.node_id)
        self._campaigns_at_start = campaigns_at_start
        self._election_order_of = election_order_of
        self._writes: list[GroupWrite] = []
        self._messages_after_writes: list[wire.ConsensusMessage] = []
        self._is_committing = False
        self._writer_wakeup = asyncio.Event()
        self._commit_done = asyncio.Event()
        self._outbox: dict[str, list[wire.ConsensusMessage]] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Load the stored groups and start ticking and writing."""
        for stored in self._storage.load():
            self._add(stored)
        self._transport.one_way_handlers[CONSENSUS_METHOD] = self._receive_batch
        self._tasks = [
            start_loop(self._tick_forever(), "consensus"),
            start_loop(self._write_forever(), "consensus"),
        ]

    async def stop(self) -> None:
        """Stop ticking and writing."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def bootstrap(self, group_id: int, membership: wire.GroupMembership) -> None:
        """Create an initial replica of a new group; do nothing if it exists."""
        if group_id in self.groups:
            return
        snapshot = wire.Snapshot(index=1, term=1, membership=membership)
        self._writes.append(GroupWrite(group_id, term=1, voted_for="", snapshot=snapshot))
        self._writer_wakeup.set()
        self._add(StoredGroup(group_id, 1, "", snapshot, []))

    async def flush(self) -> None:
        """Wait until everything written so far is durable."""
        while self._writes or self._is_committing:
            await self._commit_done.wait()

    def _add(self, stored: StoredGroup) -> HostedGroup:
        state = self._new_state(stored.group_id)
        if stored.snapshot.state:
            state.restore(stored.snapshot.state)
        order = self._election_order_of(stored.group_id)
        replica = RaftReplica(self.node_id, stored, self._rng, self._campaigns_at_start, order)
        group = HostedGroup(replica, state)
        self.groups[stored.group_id] = group
        return group

    # --- proposals -----------------------------------------------------------------------

    def ready_group(self, group_id: int) -> HostedGroup:
        """Return a group led here that has a commit in this term; else raise ``NotLeader``."""
        group = self.groups.get(group_id)
        if group is None:
            raise NotLeader("")
        if not group.replica.is_ready_leader:
            leader = group.replica.leader_id
            raise NotLeader("" if leader == self.node_id else leader)
        return group

    async def propose(self, group_id: int, data: bytes, timeout_s: float) -> object:
        """Commit a command and return the result of applying it.

        Raises ``NotLeader``, ``NotCommitted`` (definitely without effect) or ``CommitUnknown``.
        """
        group = self.ready_group(group_id)
        term = group.replica.term
        index, effects = group.replica.propose(data)
        if index == 0:
            raise NotLeader("")
        future: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        group.waiters[index] = (term, future)
        self._perform(group, effects)
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError as error:
            raise CommitUnknown(f"group {group_id} entry {index}", index) from error
        finally:
            group.waiters.pop(index, None)

    def propose_membership(self, group_id: int, membership: wire.GroupMembership) -> bool:
        """Start a membership change; ``False`` if none is possible at present."""
        group = self.groups[group_id]
        index, effects = group.replica.propose_membership(membership)
        self._perform(group, effects)
        return index > 0

    def transfer_all_leadership(self) -> None:
        """Transfer the leadership of all led groups, preferably to voters in their home regions."""
        for group_id, group in self.groups.items():
            is_home = self._election_order_of(group_id).is_home
            home_voters = [node for node in group.replica.membership.voters if is_home(node)]
            if not self.transfer_leadership(group_id, home_voters):
                self.transfer_leadership(group_id, group.replica.membership.voters)

    def transfer_leadership(self, group_id: int, among: Collection[str]) -> bool:
        """Ask one of the given voters to lead a group; ``False`` if none of them replies."""
        group = self.groups[group_id]
        effects = group.replica.transfer_leadership(among)
        self._perform(group, effects)
        return group.replica.is_transferring_leadership

    def led_groups(self) -> list[int]:
        """Groups that this node leads."""
        return [n for n, g in self.groups.items() if g.replica.role is raft.Role.LEADER]

    # --- events --------------------------------------------------------------------------

    async def _tick_forever(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + self._tick_s
            await asyncio.sleep(self._tick_s)
            self.stall_detector.record_tick(loop.time() - due_s)
            for group in list(self.groups.values()):
                self._perform(group, group.replica.tick())
                self._compact_if_long(group)

    def _compact_if_long(self, group: HostedGroup) -> None:
        replica = group.replica
        num_entries = replica.applied_index - replica.snapshot_index
        is_long = num_entries >= self._compact_after_entries
        if is_long or (num_entries > 0 and replica.log.num_bytes >= self._compact_after_bytes):
            self._perform(group, replica.compact(replica.applied_index, group.state.snapshot()))

    def _receive_batch(self, payload: bytes) -> None:
        for message in wire.ConsensusBatch.FromString(payload).messages:
            if message.receiver != self.node_id:
                self.on_misaddressed_message(message.sender)
                continue
            group = self.groups.get(message.group_id)
            if group is None:
                group = self._join_as_learner(message)
            if group is not None:
                self._perform(group, group.replica.receive(message))

    def _join_as_learner(self, message: wire.ConsensusMessage) -> HostedGroup | None:
        """Start an empty replica if a leader replicates a group that this node lacks."""
        leader_writes = (wire.CONSENSUS_KIND_APPEND_REQUEST, wire.CONSENSUS_KIND_SNAPSHOT)
        if message.kind not in leader_writes:
            return None
        log.say("joining a group as learner", group=message.group_id)
        return self._add(StoredGroup(message.group_id, 0, "", wire.Snapshot(), []))

    # --- effects -------------------------------------------------------------------------

    def _perform(self, group: HostedGroup, effects: list[raft.Effect]) -> None:
        for effect in effects:
            match effect:
                case raft.SendMessage(message, after_persist):
                    self._send(message, after_persist)
                case raft.Persist(write):
                    self._writes.append(write)
                    self._writer_wakeup.set()
                case raft.Apply(entries):
                    self._apply(group, entries)
                case raft.Restore(snapshot):
                    group.state.restore(snapshot.state)
                    self._signal_change(group)
                case raft.RoleChanged(role, term, leader):
                    log.say(
                        "role changed",
                        group=group.replica.group_id,
                        role=role.value,
                        term=term,
                        leader=leader,
                    )
                    self.on_role_changed(group.replica.group_id, effect)
                    self._signal_change(group)

    def _send(self, message: wire.ConsensusMessage, after_persist: bool) -> None:
        if after_persist and (self._writes or self._is_committing):
            self._messages_after_writes.append(message)
            self._writer_wakeup.set()
            return
        if not self._outbox:
            asyncio.get_running_loop().call_soon(self._flush_outbox)
        self._outbox.setdefault(message.receiver, []).append(message)

    def _flush_outbox(self) -> None:
        outbox = self._outbox
        self._outbox = {}
        for receiver, messages in outbox.items():
            address = self._resolve(receiver)
            if address is not None:
                batch = wire.ConsensusBatch(messages=messages)
                self._transport.send(address, CONSENSUS_METHOD, batch.SerializeToString())

    def _apply(self, group: HostedGroup, entries: list[wire.LogEntry]) -> None:
        for entry in entries:
            result: object = None
            if entry.kind == wire.ENTRY_KIND_COMMAND:
                result = group.state.apply(entry.data)
            term_and_future = group.waiters.get(entry.index)
            if term_and_future is None or term_and_future[1].done():
                continue
            term, future = term_and_future
            if term == entry.term:
                future.set_result(result)
            else:
                future.set_exception(NotCommitted(f"entry {entry.index}"))
        self._signal_change(group)

    def _signal_change(self, group: HostedGroup) -> None:
        group.changed.set()
        group.changed = asyncio.Event()

    async def _write_forever(self) -> None:
        while True:
            await self._writer_wakeup.wait()
            self._writer_wakeup.clear()
            writes, self._writes = self._writes, []
            messages, self._messages_after_writes = self._messages_after_writes, []
            if writes:
                self._is_committing = True
                self.stall_detector.begin_sync(asyncio.get_running_loop().time())
                await self._commit_with_retries(writes)
                self.stall_detector.end_sync()
                self._is_committing = False
                self._commit_done.set()
                self._commit_done = asyncio.Event()
            for message in messages:
                self._send(message, after_persist=False)
            self._report_persisted(writes)

    async def _commit_with_retries(self, writes: list[GroupWrite]) -> None:
        """Commit, and retry while the disk is full or fails; until then nothing is acknowledged."""
        failures = 0
        while True:
            try:
                await self._storage.commit(writes)
            except StorageFailed as error:
                failures += 1
                if failures == 1:
                    log.say("disk commit failed: retrying", reason=str(error))
                await asyncio.sleep(COMMIT_RETRY_S)
                continue
            if failures:
                log.say("disk commits succeed again", failures=failures)
            return

    def _report_persisted(self, writes: list[GroupWrite]) -> None:
        for write in writes:
            group = self.groups.get(write.group_id)
            if group is not None and write.entries:
                last = write.entries[-1]
                self._perform(group, group.replica.persisted(last.index, last.term))


def stagger_limit(limit: int, node_id: str) -> int:
    """Raise a limit by 0 to 2/5 of it, depending on the node's identity."""
    step = xxhash.xxh3_64_intdigest(node_id.encode()) % COMPACT_STAGGER_STEPS
    return limit + limit * step // (2 * COMPACT_STAGGER_STEPS)
