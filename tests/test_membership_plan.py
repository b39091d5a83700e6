"""The planned membership change: which replica joins or leaves next."""

import random
import unittest

from bendshed.consensus.membership_plan import PlanInputs, plan_membership
from bendshed.wire.consensus_pb2 import GroupMembership


def inputs(**changes: object) -> PlanInputs:
    values: dict[str, object] = {
        "leader_id": "a",
        "wiped": (),
        "silent": (),
        "retiring": (),
        "caught_up": (),
        "candidates": (),
        "num_voters": 3,
    }
    return PlanInputs(**{**values, **changes})  # type: ignore[arg-type]


def members(voters: str, learners: str = "") -> GroupMembership:
    return GroupMembership(voters=list(voters), learners=list(learners))


class PlanTest(unittest.TestCase):
    def plan(self, current: GroupMembership, **changes: object) -> tuple[str, str] | None:
        wanted = plan_membership(current, inputs(**changes))
        return ("".join(wanted.voters), "".join(wanted.learners)) if wanted is not None else None

    def test_nothing_to_do(self) -> None:
        self.assertIsNone(self.plan(members("abc"), candidates=["d"]))

    def test_wiped_voter_is_removed_at_once(self) -> None:
        self.assertEqual(self.plan(members("abc"), wiped=["b"]), ("ac", ""))

    def test_a_silent_voter_stays_until_a_successor_has_caught_up(self) -> None:
        self.assertEqual(self.plan(members("abc"), silent=["c"], candidates=["d"]), ("abc", "d"))
        self.assertIsNone(self.plan(members("abc", "d"), silent=["c"]))
        self.assertEqual(self.plan(members("abc", "d"), silent=["c"], caught_up=["d"]), ("ab", "d"))
        self.assertEqual(self.plan(members("ab", "d"), caught_up=["d"]), ("abd", ""))
        self.assertEqual(self.plan(members("abcd"), silent=["c"]), ("abd", ""))

    def test_silent_voter_of_two_is_removed_after_its_successor_votes(self) -> None:
        self.assertEqual(self.plan(members("ab", "d"), silent=["b"], caught_up=["d"]), ("abd", ""))

    def test_a_retiring_voter_stays_until_its_successor_votes(self) -> None:
        self.assertEqual(
            self.plan(members("abc", "d"), retiring=["c"], caught_up=["d"]), ("abcd", "")
        )

    def test_silent_voter_stays_without_a_candidate(self) -> None:
        self.assertIsNone(self.plan(members("abc"), silent=["c"]))

    def test_voter_that_returns_after_its_successor_joined_is_surplus(self) -> None:
        self.assertEqual(self.plan(members("abcd")), ("abc", ""))

    def test_live_voter_stays_while_another_is_unresponsive(self) -> None:
        self.assertIsNone(self.plan(members("abcd"), unresponsive=["b"]))
        self.assertEqual(self.plan(members("abcd"), unresponsive=["d"]), ("abc", ""))
        self.assertIsNone(self.plan(members("abc"), retiring=["c"], unresponsive=["b"]))
        self.assertEqual(
            self.plan(members("abcd"), silent=["c"], unresponsive=["b", "c"]), ("abd", "")
        )

    def test_obsolete_learner_is_removed(self) -> None:
        self.assertEqual(self.plan(members("abc", "d"), wiped=["d"]), ("abc", ""))
        self.assertEqual(self.plan(members("abc", "d"), silent=["d"]), ("abc", ""))

    def test_retiring_voter_is_removed_without_a_successor(self) -> None:
        self.assertEqual(self.plan(members("abc"), retiring=["c"]), ("ab", ""))
        self.assertEqual(self.plan(members("abc"), retiring=["c"], candidates=["d"]), ("abc", "d"))

    def test_last_two_voters_both_stay(self) -> None:
        self.assertIsNone(self.plan(members("ab"), retiring=["b"]))

    def test_the_leader_never_removes_itself(self) -> None:
        self.assertIsNone(self.plan(members("abcd"), retiring=["a"]))
        self.assertEqual(self.plan(members("abc"), wiped=["a", "b"]), ("ac", ""))

    def test_repeated_steps_reach_the_wanted_voters(self) -> None:
        """From random memberships, repeated steps reach three healthy voters and then stop."""
        rng = random.Random(7)
        for _ in range(300):
            nodes = list("abcdef")
            current = GroupMembership(voters=nodes[: rng.randint(2, 4)])
            silent = set(rng.sample("bcdef", rng.randint(0, 2)))
            wiped = {node for node in silent if rng.random() < 0.5}
            for _step in range(20):
                known = [*current.voters, *current.learners]
                free = [node for node in nodes if node not in known and node not in silent]
                wanted = plan_membership(
                    current,
                    inputs(wiped=wiped, silent=silent, caught_up=current.learners, candidates=free),
                )
                if wanted is None:
                    break
                changed = set(wanted.voters) ^ set(current.voters)
                self.assertLessEqual(len(changed), 1)
                current = wanted
            self.assertEqual(len(current.voters), 3, current)
            self.assertFalse(silent & set(current.voters))
