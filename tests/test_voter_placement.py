"""Voters tolerate the loss of a zone: initially, during changes and after a rebalance."""

import random
import unittest
from collections import Counter
from collections.abc import Collection, Iterator, Mapping

from bendshed.consensus.membership_plan import PlanInputs, plan_membership
from bendshed.consensus.replica_choice import (
    DiskNode,
    VoterTopology,
    choose_replicas,
    rank_candidates,
)
from bendshed.wire.consensus_pb2 import GroupMembership

TEN_IN_THREE = {f"s{number}": "aaaabbbccc"[number] for number in range(10)}
NINE_IN_SIX = {f"s{number}": "aabbccxyz"[number] for number in range(9)}
HOME_ZONES, REMOTE_ZONES = frozenset("abc"), frozenset("xyz")
NUM_VOTERS = 5


def nodes(zone_of: Mapping[str, str]) -> list[DiskNode]:
    return [DiskNode(node, zone) for node, zone in zone_of.items()]


def voters_per_zone(zone_of: Mapping[str, str], voters: Collection[str]) -> list[int]:
    return sorted(Counter(zone_of[node] for node in voters).values(), reverse=True)


def tolerates_any_zone_loss(zone_of: Mapping[str, str], voters: Collection[str]) -> bool:
    """Whether a majority remains after the loss of any one zone."""
    return max(voters_per_zone(zone_of, voters)) <= len(voters) - (len(voters) // 2 + 1)


def plan_steps(
    zone_of: Mapping[str, str],
    voters: list[str],
    leader_id: str,
    home: Collection[str] | None = None,
    silent: Collection[str] = (),
    retiring: Collection[str] = (),
) -> Iterator[GroupMembership]:
    """Yield each membership until the plan is complete; learners catch up at once."""
    topology = VoterTopology(zone_of, home)
    current = GroupMembership(voters=voters)
    for _ in range(60):
        known = {*current.voters, *current.learners}
        to_replace = {*silent, *retiring}
        free = [node for node in zone_of if node not in known and node not in to_replace]
        inputs = PlanInputs(
            leader_id=leader_id,
            wiped=(),
            silent=silent,
            retiring=retiring,
            caught_up=current.learners,
            candidates=rank_candidates(0, topology, free, current.voters, to_replace),
            num_voters=NUM_VOTERS,
            topology=topology,
        )
        wanted = plan_membership(current, inputs)
        if wanted is None:
            return
        current = wanted
        yield current
    raise AssertionError("the plan does not terminate")


class InitialPlacementTest(unittest.TestCase):
    def test_five_voters_in_three_zones(self) -> None:
        for group in range(50):
            voters = choose_replicas(group, nodes(TEN_IN_THREE), NUM_VOTERS)
            self.assertEqual(voters_per_zone(TEN_IN_THREE, voters), [2, 2, 1])

    def test_region_with_enough_stores_holds_all_voters(self) -> None:
        for group in range(50):
            voters = choose_replicas(group, nodes(NINE_IN_SIX), NUM_VOTERS, HOME_ZONES)
            self.assertEqual(voters_per_zone(NINE_IN_SIX, voters), [2, 2, 1])
            self.assertLessEqual({NINE_IN_SIX[node] for node in voters}, HOME_ZONES)

    def test_a_region_with_three_stores_holds_three_of_five(self) -> None:
        for group in range(50):
            voters = choose_replicas(group, nodes(NINE_IN_SIX), NUM_VOTERS, REMOTE_ZONES)
            zones = [NINE_IN_SIX[node] for node in voters]
            self.assertEqual(len(REMOTE_ZONES & set(zones)), 3)
            self.assertEqual(len(set(zones)), 5)

    def test_a_region_of_one_zone_does_not_hold_a_majority(self) -> None:
        zone_of = {f"s{number}": "hhhhxyz"[number] for number in range(7)}
        voters = choose_replicas(0, nodes(zone_of), NUM_VOTERS, {"h"})
        self.assertTrue(tolerates_any_zone_loss(zone_of, voters))
        self.assertEqual(sum(zone_of[node] == "h" for node in voters), 2)

    def test_fewer_machines_than_wanted(self) -> None:
        self.assertEqual(len(choose_replicas(0, nodes({"a": "z", "b": "z"}), NUM_VOTERS)), 2)


class MembershipChangeTest(unittest.TestCase):
    def initial_voters(self, seed: int) -> list[str]:
        return choose_replicas(seed, nodes(TEN_IN_THREE), NUM_VOTERS)

    def test_zone_loss_is_tolerated_at_each_step_while_a_machine_is_emptied(self) -> None:
        for seed in range(50):
            voters = self.initial_voters(seed)
            for leaving in voters[1:]:
                current = GroupMembership(voters=voters)
                for current in plan_steps(TEN_IN_THREE, voters, voters[0], retiring=[leaving]):
                    self.assertTrue(tolerates_any_zone_loss(TEN_IN_THREE, current.voters), current)
                self.assertNotIn(leaving, current.voters)
                self.assertEqual(len(current.voters), NUM_VOTERS)

    def test_zone_loss_is_tolerated_while_a_lost_machine_of_it_is_replaced(self) -> None:
        for seed in range(50):
            voters = self.initial_voters(seed)
            for lost in voters[1:]:
                zone = TEN_IN_THREE[lost]
                current = GroupMembership(voters=voters)
                for current in plan_steps(TEN_IN_THREE, voters, voters[0], silent=[lost]):
                    left = [v for v in current.voters if TEN_IN_THREE[v] != zone]
                    self.assertGreater(len(left), len(current.voters) // 2, current)
                self.assertEqual(voters_per_zone(TEN_IN_THREE, current.voters), [2, 2, 1])

    def test_voters_move_out_of_a_zone_that_holds_a_majority(self) -> None:
        voters = ["s0", "s1", "s2", "s4", "s7"]
        for leader_id in voters:
            *_, last = plan_steps(TEN_IN_THREE, voters, leader_id)
            self.assertEqual(voters_per_zone(TEN_IN_THREE, last.voters), [2, 2, 1], leader_id)

    def test_well_placed_voters_are_not_moved(self) -> None:
        self.assertEqual(
            list(plan_steps(TEN_IN_THREE, self.initial_voters(1), self.initial_voters(1)[0])), []
        )

    def test_exchange_never_leaves_fewer_voters_than_wanted(self) -> None:
        rng = random.Random(3)
        for _ in range(200):
            voters = rng.sample(sorted(TEN_IN_THREE), NUM_VOTERS)
            for current in plan_steps(TEN_IN_THREE, voters, voters[0]):
                self.assertGreaterEqual(len(current.voters), NUM_VOTERS)

    def test_voters_return_to_a_lost_zone_that_is_back(self) -> None:
        voters = self.initial_voters(2)
        lost = [node for node, zone in TEN_IN_THREE.items() if zone == "a"]
        leader_id = next(node for node in voters if node not in lost)
        *_, without = plan_steps(TEN_IN_THREE, voters, leader_id, silent=lost)
        *_, after = plan_steps(TEN_IN_THREE, list(without.voters), leader_id)
        self.assertEqual(voters_per_zone(TEN_IN_THREE, after.voters), [2, 2, 1])

    def test_voters_move_to_home_region_when_a_machine_there_is_available(self) -> None:
        voters = ["s0", "s2", "s4", "s6", "s7"]
        *_, last = plan_steps(NINE_IN_SIX, voters, "s0", home=HOME_ZONES)
        self.assertLessEqual({NINE_IN_SIX[node] for node in last.voters}, HOME_ZONES)

    def test_unneeded_learner_is_removed(self) -> None:
        voters = self.initial_voters(1)
        free = next(node for node in TEN_IN_THREE if node not in voters)
        inputs = PlanInputs(voters[0], (), (), (), (), (), NUM_VOTERS, VoterTopology(TEN_IN_THREE))
        wanted = plan_membership(GroupMembership(voters=voters, learners=[free]), inputs)
        assert wanted is not None
        self.assertEqual((list(wanted.voters), list(wanted.learners)), (voters, []))


if __name__ == "__main__":
    unittest.main()
