"""Regression test: a leader must not resend the same entries for each rejection of a follower.

The process of a leading store ended with its memory over the limit of 320 MB, where leaders use
about 55 MB, when a follower resumed after a pause of 3.8 s. The connections had been replaced by
then, so the first of the messages queued for the follower were lost. It rejected each of the
hundreds that followed, and the leader answered each rejection with the same entries.
"""

import random
import unittest
from collections import deque

from bendshed.consensus.raft import RaftReplica
from bendshed.consensus.raft_types import Effect, Persist, Role, SendMessage
from bendshed.ports.log_storage import StoredGroup
from bendshed.wire import consensus_pb2 as wire

VOTERS = ("a", "b", "c")
NUM_ENTRIES = 300
NUM_LOST = 20
MAX_TICKS = 200


class Group:
    """Three replicas; messages to a paused replica are held back."""

    def __init__(self) -> None:
        membership = wire.GroupMembership(voters=VOTERS)
        self.replicas = {}
        for number, node in enumerate(VOTERS):
            snapshot = wire.Snapshot(index=1, term=1, membership=membership)
            stored = StoredGroup(0, 1, "", snapshot, [])
            self.replicas[node] = RaftReplica(node, stored, random.Random(number))
        self.held_messages: dict[str, list[wire.ConsensusMessage]] = {}
        self.num_entries_to: dict[str, int] = dict.fromkeys(VOTERS, 0)
        self._queue: deque[wire.ConsensusMessage] = deque()

    def perform(self, node: str, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Persist(write) if write.entries:
                    last = write.entries[-1]
                    self.perform(node, self.replicas[node].persisted(last.index, last.term))
                case SendMessage(message):
                    self.num_entries_to[message.receiver] += len(message.entries)
                    self._queue.append(message)

    def deliver(self) -> None:
        while self._queue:
            message = self._queue.popleft()
            if message.receiver in self.held_messages:
                self.held_messages[message.receiver].append(message)
            else:
                self.perform(message.receiver, self.replicas[message.receiver].receive(message))

    def tick(self) -> None:
        for node, replica in self.replicas.items():
            if node not in self.held_messages:
                self.perform(node, replica.tick())
        self.deliver()

    def resume(self, node: str, num_lost: int) -> None:
        """Deliver the messages held back for a replica, except for the first ones."""
        for message in self.held_messages.pop(node)[num_lost:]:
            self.perform(node, self.replicas[node].receive(message))
        self.deliver()


class ResendTest(unittest.TestCase):
    def setUp(self) -> None:
        self.group = Group()
        self.leader = self._elect()

    def _elect(self) -> RaftReplica:
        for _ in range(MAX_TICKS):
            self.group.tick()
            for replica in self.group.replicas.values():
                if replica.is_ready_leader:
                    return replica
        raise AssertionError("no replica became leader")

    def pause_follower(self) -> str:
        """Pause a follower while entries are committed."""
        follower = next(node for node in VOTERS if node != self.leader.node_id)
        self.group.held_messages[follower] = []
        for number in range(NUM_ENTRIES):
            _, effects = self.leader.propose(b"%d" % number)
            self.group.perform(self.leader.node_id, effects)
            self.group.deliver()
        self.assertEqual(self.leader.role, Role.LEADER)
        self.assertEqual(self.leader.commit_index, self.leader.last_index)
        return follower

    def has_whole_log(self, follower: str) -> bool:
        return self.group.replicas[follower].last_index == self.leader.last_index

    def test_many_rejections_resend_the_same_entries_once(self) -> None:
        follower = self.pause_follower()
        self.group.num_entries_to[follower] = 0
        self.group.resume(follower, NUM_LOST)
        self.assertLessEqual(self.group.num_entries_to[follower], 2 * NUM_ENTRIES)
        self.assertTrue(self.has_whole_log(follower))

    def test_entries_that_are_lost_again_are_sent_again(self) -> None:
        follower = self.pause_follower()
        self.group.resume(follower, len(self.group.held_messages[follower]))
        self.group.held_messages[follower] = []
        self.group.tick()
        self.group.resume(follower, len(self.group.held_messages[follower]))
        for _ in range(MAX_TICKS):
            self.group.tick()
        self.assertTrue(self.has_whole_log(follower))
