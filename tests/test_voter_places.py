"""Voters bear the loss of a zone: at the founding, while they change, and after a rebalance."""

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
NEAR, FAR = frozenset("abc"), frozenset("xyz")
COUNT = 5


def nodes(zone_of: Mapping[str, str]) -> list[DiskNode]:
    return [DiskNode(node, zone) for node, zone in zone_of.items()]


def by_zone(zone_of: Mapping[str, str], voters: Collection[str]) -> list[int]:
    return sorted(Counter(zone_of[node] for node in voters).values(), reverse=True)


def bears_any_zone(zone_of: Mapping[str, str], voters: Collection[str]) -> bool:
    """Whether a majority is left whichever zone is lost."""
    return max(by_zone(zone_of, voters)) <= len(voters) - (len(voters) // 2 + 1)


def steps(
    zone_of: Mapping[str, str],
    voters: list[str],
    me: str,
    home: Collection[str] | None = None,
    silent: Collection[str] = (),
    retiring: Collection[str] = (),
) -> Iterator[GroupMembership]:
    """Memberships until the plan has nothing more to do; learners catch up at once."""
    topology = VoterTopology(zone_of, home)
    present = GroupMembership(voters=voters)
    for _ in range(60):
        known = {*present.voters, *present.learners}
        weak = {*silent, *retiring}
        free = [node for node in zone_of if node not in known and node not in weak]
        inputs = PlanInputs(
            me=me,
            wiped=(),
            silent=silent,
            retiring=retiring,
            caught_up=present.learners,
            candidates=rank_candidates(0, topology, free, present.voters, weak),
            count=COUNT,
            topology=topology,
        )
        wanted = plan_membership(present, inputs)
        if wanted is None:
            return
        present = wanted
        yield present
    raise AssertionError("the plan does not end")


class FoundingTest(unittest.TestCase):
    def test_five_voters_in_three_zones(self) -> None:
        for group in range(50):
            voters = choose_replicas(group, nodes(TEN_IN_THREE), COUNT)
            self.assertEqual(by_zone(TEN_IN_THREE, voters), [2, 2, 1])

    def test_a_region_with_enough_stores_holds_all_voters(self) -> None:
        for group in range(50):
            voters = choose_replicas(group, nodes(NINE_IN_SIX), COUNT, NEAR)
            self.assertEqual(by_zone(NINE_IN_SIX, voters), [2, 2, 1])
            self.assertLessEqual({NINE_IN_SIX[node] for node in voters}, NEAR)

    def test_a_region_with_three_stores_holds_three_of_five(self) -> None:
        for group in range(50):
            voters = choose_replicas(group, nodes(NINE_IN_SIX), COUNT, FAR)
            zones = [NINE_IN_SIX[node] for node in voters]
            self.assertEqual(len(FAR & set(zones)), 3)
            self.assertEqual(len(set(zones)), 5)

    def test_a_region_of_one_zone_does_not_hold_a_majority(self) -> None:
        zone_of = {f"s{number}": "hhhhxyz"[number] for number in range(7)}
        voters = choose_replicas(0, nodes(zone_of), COUNT, {"h"})
        self.assertTrue(bears_any_zone(zone_of, voters))
        self.assertEqual(sum(zone_of[node] == "h" for node in voters), 2)

    def test_fewer_machines_than_wanted(self) -> None:
        self.assertEqual(len(choose_replicas(0, nodes({"a": "z", "b": "z"}), COUNT)), 2)


class ChangeTest(unittest.TestCase):
    def founded(self, seed: int) -> list[str]:
        return choose_replicas(seed, nodes(TEN_IN_THREE), COUNT)

    def test_a_zone_may_be_lost_at_each_step_while_a_machine_is_emptied(self) -> None:
        for seed in range(50):
            voters = self.founded(seed)
            for leaving in voters[1:]:
                present = GroupMembership(voters=voters)
                for present in steps(TEN_IN_THREE, voters, voters[0], retiring=[leaving]):
                    self.assertTrue(bears_any_zone(TEN_IN_THREE, present.voters), present)
                self.assertNotIn(leaving, present.voters)
                self.assertEqual(len(present.voters), COUNT)

    def test_a_lost_machines_zone_may_be_lost_while_it_is_replaced(self) -> None:
        for seed in range(50):
            voters = self.founded(seed)
            for lost in voters[1:]:
                zone = TEN_IN_THREE[lost]
                present = GroupMembership(voters=voters)
                for present in steps(TEN_IN_THREE, voters, voters[0], silent=[lost]):
                    left = [v for v in present.voters if TEN_IN_THREE[v] != zone]
                    self.assertGreater(len(left), len(present.voters) // 2, present)
                self.assertEqual(by_zone(TEN_IN_THREE, present.voters), [2, 2, 1])

    def test_voters_move_out_of_a_zone_that_holds_a_majority(self) -> None:
        voters = ["s0", "s1", "s2", "s4", "s7"]
        for me in voters:
            *_, last = steps(TEN_IN_THREE, voters, me)
            self.assertEqual(by_zone(TEN_IN_THREE, last.voters), [2, 2, 1], me)

    def test_voters_that_stand_well_are_left_alone(self) -> None:
        self.assertEqual(list(steps(TEN_IN_THREE, self.founded(1), self.founded(1)[0])), [])

    def test_a_move_never_leaves_fewer_sound_voters_than_wanted(self) -> None:
        rng = random.Random(3)
        for _ in range(200):
            voters = rng.sample(sorted(TEN_IN_THREE), COUNT)
            for present in steps(TEN_IN_THREE, voters, voters[0]):
                self.assertGreaterEqual(len(present.voters), COUNT)

    def test_after_a_lost_zone_is_back_voters_return_to_it(self) -> None:
        voters = self.founded(2)
        lost = [node for node, zone in TEN_IN_THREE.items() if zone == "a"]
        me = next(node for node in voters if node not in lost)
        *_, without = steps(TEN_IN_THREE, voters, me, silent=lost)
        *_, after = steps(TEN_IN_THREE, list(without.voters), me)
        self.assertEqual(by_zone(TEN_IN_THREE, after.voters), [2, 2, 1])

    def test_voters_go_home_when_a_machine_there_is_free(self) -> None:
        voters = ["s0", "s2", "s4", "s6", "s7"]
        *_, last = steps(NINE_IN_SIX, voters, "s0", home=NEAR)
        self.assertLessEqual({NINE_IN_SIX[node] for node in last.voters}, NEAR)

    def test_a_learner_that_nobody_needs_any_more_goes(self) -> None:
        voters = self.founded(1)
        free = next(node for node in TEN_IN_THREE if node not in voters)
        inputs = PlanInputs(voters[0], (), (), (), (), (), COUNT, VoterTopology(TEN_IN_THREE))
        wanted = plan_membership(GroupMembership(voters=voters, learners=[free]), inputs)
        assert wanted is not None
        self.assertEqual((list(wanted.voters), list(wanted.learners)), (voters, []))


if __name__ == "__main__":
    unittest.main()
