"""Which replica joins or leaves next."""

import random
import unittest

from bendshed.consensus.membership_plan import PlanInputs, plan_membership
from bendshed.wire.consensus_pb2 import GroupMembership


def inputs(**changes: object) -> PlanInputs:
    values: dict[str, object] = {
        "me": "a",
        "wiped": (),
        "silent": (),
        "retiring": (),
        "caught_up": (),
        "candidates": (),
        "count": 3,
    }
    return PlanInputs(**{**values, **changes})  # type: ignore[arg-type]


def members(voters: str, learners: str = "") -> GroupMembership:
    return GroupMembership(voters=list(voters), learners=list(learners))


class PlanTest(unittest.TestCase):
    def plan(self, present: GroupMembership, **changes: object) -> tuple[str, str] | None:
        wanted = plan_membership(present, inputs(**changes))
        return ("".join(wanted.voters), "".join(wanted.learners)) if wanted is not None else None

    def test_nothing_to_do(self) -> None:
        self.assertIsNone(self.plan(members("abc"), candidates=["d"]))

    def test_a_wiped_voter_goes_at_once(self) -> None:
        self.assertEqual(self.plan(members("abc"), wiped=["b"]), ("ac", ""))

    def test_a_silent_voter_stays_until_a_successor_has_caught_up(self) -> None:
        self.assertEqual(self.plan(members("abc"), silent=["c"], candidates=["d"]), ("abc", "d"))
        self.assertIsNone(self.plan(members("abc", "d"), silent=["c"]))
        self.assertEqual(self.plan(members("abc", "d"), silent=["c"], caught_up=["d"]), ("ab", "d"))
        self.assertEqual(self.plan(members("ab", "d"), caught_up=["d"]), ("abd", ""))
        self.assertEqual(self.plan(members("abcd"), silent=["c"]), ("abd", ""))

    def test_of_two_voters_a_silent_one_goes_after_its_successor_votes(self) -> None:
        self.assertEqual(self.plan(members("ab", "d"), silent=["b"], caught_up=["d"]), ("abd", ""))

    def test_a_retiring_voter_stays_until_its_successor_votes(self) -> None:
        self.assertEqual(
            self.plan(members("abc", "d"), retiring=["c"], caught_up=["d"]), ("abcd", "")
        )

    def test_without_a_candidate_a_silent_voter_stays(self) -> None:
        self.assertIsNone(self.plan(members("abc"), silent=["c"]))

    def test_one_that_came_back_after_its_successor_joined_is_surplus(self) -> None:
        self.assertEqual(self.plan(members("abcd")), ("abc", ""))

    def test_a_live_voter_stays_while_another_is_unheard(self) -> None:
        self.assertIsNone(self.plan(members("abcd"), unheard=["b"]))
        self.assertEqual(self.plan(members("abcd"), unheard=["d"]), ("abc", ""))
        self.assertIsNone(self.plan(members("abc"), retiring=["c"], unheard=["b"]))
        self.assertEqual(self.plan(members("abcd"), silent=["c"], unheard=["b", "c"]), ("abd", ""))

    def test_a_useless_learner_is_dropped(self) -> None:
        self.assertEqual(self.plan(members("abc", "d"), wiped=["d"]), ("abc", ""))
        self.assertEqual(self.plan(members("abc", "d"), silent=["d"]), ("abc", ""))

    def test_a_retiring_voter_goes_also_without_a_successor(self) -> None:
        self.assertEqual(self.plan(members("abc"), retiring=["c"]), ("ab", ""))
        self.assertEqual(self.plan(members("abc"), retiring=["c"], candidates=["d"]), ("abc", "d"))

    def test_the_last_two_are_never_taken_apart(self) -> None:
        self.assertIsNone(self.plan(members("ab"), retiring=["b"]))

    def test_the_leader_never_removes_itself(self) -> None:
        self.assertIsNone(self.plan(members("abcd"), retiring=["a"]))
        self.assertEqual(self.plan(members("abc"), wiped=["a", "b"]), ("ac", ""))

    def test_every_plan_ends_with_the_wanted_voters(self) -> None:
        """From random beginnings, repeated steps reach three sound voters and stop."""
        rng = random.Random(7)
        for _ in range(300):
            nodes = list("abcdef")
            present = GroupMembership(voters=nodes[: rng.randint(2, 4)])
            sick = set(rng.sample("bcdef", rng.randint(0, 2)))
            wiped = {node for node in sick if rng.random() < 0.5}
            for _step in range(20):
                known = [*present.voters, *present.learners]
                free = [node for node in nodes if node not in known and node not in sick]
                wanted = plan_membership(
                    present,
                    inputs(wiped=wiped, silent=sick, caught_up=present.learners, candidates=free),
                )
                if wanted is None:
                    break
                changed = set(wanted.voters) ^ set(present.voters)
                self.assertLessEqual(len(changed), 1)
                present = wanted
            self.assertEqual(len(present.voters), 3, present)
            self.assertFalse(sick & set(present.voters))
