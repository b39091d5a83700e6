"""Elections and commits when voters are known to be permanently lost."""

import itertools
import unittest

from bendshed.consensus.directory import ReplicaDirectory
from bendshed.consensus.quorum import quorum_size
from bendshed.model.address import Address
from bendshed.ports.registry import ReplicaNode
from bendshed.rehearsal.site.sim_world import SimMachine, SiteWorld
from tests.site_defects import start_programs


class QuorumTest(unittest.TestCase):
    def test_a_quorum_of_survivors_meets_every_majority_and_every_other_quorum(self) -> None:
        """Otherwise a committed entry could be missed, or one term could have two leaders."""
        for num_voters in range(1, 8):
            voters = range(num_voters)
            majorities = list(itertools.combinations(voters, num_voters // 2 + 1))
            for num_lost in range(num_voters):
                survivors = voters[num_lost:]
                size = quorum_size(num_voters, len(survivors))
                quorums = list(itertools.combinations(survivors, size))
                for quorum in quorums:
                    self.assertTrue(all(set(quorum) & set(majority) for majority in majorities))
                    self.assertTrue(all(set(quorum) & set(other) for other in quorums))

    def test_losses_that_a_group_survives(self) -> None:
        self.assertEqual(quorum_size(3, 3), 2)
        self.assertEqual(quorum_size(2, 1), 1)
        self.assertEqual(quorum_size(4, 2), 2)
        self.assertGreater(quorum_size(3, 1), 1)
        self.assertGreater(quorum_size(5, 2), 2)


class OwnIdentityTest(unittest.TestCase):
    def test_an_old_announcement_does_not_supersede_this_process(self) -> None:
        local_node = ReplicaNode("store-1", "new", Address("10.0.0.1", 7000), "a")
        old = ReplicaNode("store-1", "old", Address("10.0.0.1", 7000), "a")
        directory = ReplicaDirectory(own_node=local_node)
        directory.put(local_node)
        directory.put(old)
        self.assertEqual(directory.by_name["store-1"], local_node)
        self.assertEqual(directory.wiped, {"old"})


class LastVoterTest(unittest.TestCase):
    """Three stores: one is emptied without a successor, then others lose their disks."""

    def setUp(self) -> None:
        self.world = SiteWorld.started(1)
        self.addCleanup(self.world.close)
        standby = next(
            machine
            for machine in self.world.stores.values()
            if machine.replica is not None and not machine.replica.host.groups
        )
        self.remove(standby)

    def remove(self, machine: SimMachine) -> None:
        self.world.kill(machine)
        del self.world.stores[machine.name]
        del self.world.registry.announced[machine.name]

    def wipe(self, machine: SimMachine) -> None:
        self.world.kill(machine)
        machine.lose_disk()
        self.world.run_for(0.4)
        self.world.restart(machine)

    def wait_for_new_leader(self, leader: SimMachine) -> None:
        self.world.wait_for(lambda: self.world.leader() not in (None, leader), 5.0)

    def test_last_voter_continues_alone_and_readmits_wiped_machines(self) -> None:
        start_programs(self.world)
        self.world.run_for(3.0)
        leaving = next(m for m in self.world.stores.values() if m is not self.world.leader())
        self.world.registry.retirements[leaving.name] = False
        self.world.wait_for(lambda: self.world.registry.retirements[leaving.name], 10.0)
        self.remove(leaving)
        for _ in range(3):
            leader = self.world.leader()
            assert leader is not None
            self.wipe(leader)
            self.wait_for_new_leader(leader)
            start_programs(self.world, 3)
            self.world.run_for(5.0)
        self.assertEqual(self.world.settle(), [])
