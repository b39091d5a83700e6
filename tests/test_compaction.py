"""Turn log compaction: new replicas are filled by snapshots, and no entry is lost."""

import unittest
from unittest import mock

from bendshed.consensus.host import stagger_limit
from bendshed.consensus.raft_types import ReplicaLog
from bendshed.rehearsal.site.sim_world import SiteWorld
from bendshed.turns import node as turn_log_node
from bendshed.wire import consensus_pb2 as wire
from tests.site_defects import leader_loses_its_disk, start_programs


def entry(index: int, size: int) -> wire.LogEntry:
    return wire.LogEntry(index=index, term=1, data=b"x" * size)


class CompactionTest(unittest.TestCase):
    def setUp(self) -> None:
        patch = mock.patch.object(turn_log_node, "COMPACT_AFTER_ENTRIES", 12)
        patch.start()
        self.addCleanup(patch.stop)

    def test_empty_store_is_filled_by_a_snapshot(self) -> None:
        world = SiteWorld.started(1)
        self.addCleanup(world.close)
        for _ in range(3):
            start_programs(world, 6)
            world.run_for(4.0)
        leader = world.leader()
        assert leader is not None and leader.replica is not None
        self.assertGreater(leader.replica.host.groups[0].replica.snapshot_index, 12)
        self.assertEqual(world.settle(), [])

    def test_disks_are_lost_while_logs_are_compacted(self) -> None:
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                self.assertEqual(leader_loses_its_disk(seed), [])


class LogSizeTest(unittest.TestCase):
    def test_log_counts_the_bytes_that_it_holds(self) -> None:
        log = ReplicaLog(wire.Snapshot(index=0, term=0))
        log.extend([entry(index, 100) for index in range(1, 11)])
        self.assertEqual(log.num_bytes, 1000)
        log.truncate_from(9)
        self.assertEqual(log.num_bytes, 800)
        log.compact(wire.Snapshot(index=3, term=1))
        self.assertEqual((log.num_bytes, len(log.entries)), (500, 5))

    def test_nodes_compact_at_different_sizes(self) -> None:
        lengths = {stagger_limit(1000, f"node-{number}") for number in range(40)}
        self.assertGreater(len(lengths), 3)
        self.assertTrue(all(1000 <= length <= 1400 for length in lengths))
