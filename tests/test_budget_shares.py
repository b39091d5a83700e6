"""Group shares of a program's budget add up to it despite lost, late or duplicate commands."""

import random
import unittest
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from bendshed.admission.program_budget import initial_share
from bendshed.consensus.raft import RaftReplica
from bendshed.ports.log_storage import StoredGroup
from bendshed.turns.state import MIN_PROGRAM_RETENTION_MS, RELEASED_RETENTION_FACTOR, TurnLogState
from bendshed.wire import consensus_pb2
from bendshed.wire import turns_pb2 as wire

RETENTION_MS = 60_000
BUDGET = 601

# Written by commit 4cc33f5: a group's snapshot with its membership, and the two entries after it.
OLD_FORMAT_SNAPSHOT = (
    "080710031a0c0a0273310a0273320a02733322930108a40d120c0a01611a035b615d2090de0312110a01741a035b"
    "745d2084e2032a036f6e651a1d0a017010461a050a0162106420d4b3072a01613208656e67696e652d311a1b0a01"
    "71104620e4b6072a01743208656e67696e652d313a036f6e6522130a036f6e65120508dc0b1001120508a40d1003"
    "2a0d0a016e12036f6e65180320a40d320d0a016e12036f6e65180520a40d"
)
OLD_FORMAT_ENTRIES = (
    "08081003222708ec0e1a220a017012016220462a016130013a025b6242015d48e0d4035208656e67696e652d31",
    "08091003221908d00f12140a01701201631a016220d8042801306438e0d403",
)


@dataclass
class TwoGroups:
    """States of two groups and helpers to apply commands to them."""

    states: list[TurnLogState] = field(
        default_factory=lambda: [TurnLogState(number) for number in range(2)]
    )
    now_ms: int = 0

    def apply(self, group: int, **command: object) -> wire.TurnReply:
        written = wire.TurnCommand(elapsed_ms=self.now_ms, group=group, **command)  # type: ignore[arg-type]
        return self.states[group].apply(written.SerializeToString())

    def begin_of(self, turn: str, most: int = 100, **changes: object) -> wire.BeginTurn:
        begin = wire.BeginTurn(
            program_id="p",
            turn_id=turn,
            has_budget=True,
            budget_tokens=BUDGET,
            most_tokens=most,
            retention_ms=RETENTION_MS,
            num_groups=2,
        )
        begin.MergeFrom(wire.BeginTurn(**changes))  # type: ignore[arg-type]
        return begin

    def begin(self, group: int, turn: str, most: int = 100, **changes: object) -> wire.TurnReply:
        return self.apply(group, begin=self.begin_of(turn, most, **changes))

    def finish(self, group: int, turn: str, tokens: int = 50) -> None:
        finish = wire.FinishTurn(
            program_id="p", turn_id=turn, tokens=tokens, retention_ms=RETENTION_MS, keep=True
        )
        self.apply(group, finish=finish)

    def release(self, releasing_group: int) -> wire.TurnReply:
        request = wire.ReleaseShare(
            program_id="p",
            to_group=1 - releasing_group,
            budget_tokens=BUDGET,
            num_groups=2,
            retention_ms=RETENTION_MS,
        )
        return self.apply(releasing_group, release=request)

    def take(self, taking_group: int, released: int) -> None:
        share = wire.TakeShare(
            program_id="p",
            from_group=1 - taking_group,
            released_tokens=released,
            retention_ms=RETENTION_MS,
        )
        self.apply(taking_group, take=share)

    def transfer(self, releasing_group: int) -> None:
        self.take(1 - releasing_group, self.release(releasing_group).released_tokens)


class ShareTest(unittest.TestCase):
    def test_first_shares_add_up_to_the_budget(self) -> None:
        for num_groups in range(1, 6):
            shares = [initial_share(BUDGET, group, num_groups) for group in range(num_groups)]
            self.assertEqual(sum(shares), BUDGET)

    def test_each_group_spends_its_share_independently(self) -> None:
        groups = TwoGroups()
        for group in range(2):
            answers = [groups.begin(group, f"t{n}").answer for n in range(4)]
            granted = wire.TURN_ANSWER_GRANTED
            self.assertEqual(answers, [granted] * 3 + [wire.TURN_ANSWER_OTHER_GROUP])

    def test_released_tokens_move_to_the_other_group(self) -> None:
        groups = TwoGroups()
        groups.begin(0, "a")
        groups.transfer(1)
        reply = groups.begin(1, "b")
        self.assertEqual((reply.answer, reply.owner_group), (wire.TURN_ANSWER_OTHER_GROUP, 0))
        for number in range(5):
            reply = groups.begin(0, f"t{number}")
            self.assertEqual(reply.answer, wire.TURN_ANSWER_GRANTED)
        self.assertEqual(groups.begin(0, "z").answer, wire.TURN_ANSWER_BUDGET_SPENT)

    def test_duplicate_or_late_release_counts_once(self) -> None:
        groups = TwoGroups()
        first = groups.release(1).released_tokens
        self.assertEqual(groups.release(1).released_tokens, first)
        for released_tokens in (first, first, 10):
            groups.take(0, released_tokens)
        self.assertEqual(groups.states[0].programs["", "p"].taken, {1: first})

    def test_lost_release_is_repeated(self) -> None:
        groups = TwoGroups()
        groups.release(1)
        self.assertEqual(groups.release(1).released_tokens, BUDGET // 2)

    def test_running_turns_keep_their_tokens(self) -> None:
        groups = TwoGroups()
        groups.begin(1, "a")
        self.assertEqual(groups.release(1).released_tokens, BUDGET // 2 - 100)
        groups.finish(1, "a", tokens=30)
        self.assertEqual(groups.release(1).released_tokens, BUDGET // 2 - 30)

    def test_share_returns_to_the_group_that_stores_the_chain(self) -> None:
        groups = TwoGroups()
        groups.begin(1, "a")
        groups.finish(1, "a")
        groups.transfer(1)
        reply = groups.begin(1, "b", previous_turn="a")
        self.assertEqual((reply.answer, reply.owner_group), (wire.TURN_ANSWER_OTHER_GROUP, 1))
        groups.transfer(0)
        reply = groups.begin(1, "b", previous_turn="a")
        self.assertEqual(reply.answer, wire.TURN_ANSWER_GRANTED)

    def test_redirected_turn_is_not_redirected_back(self) -> None:
        groups = TwoGroups()
        groups.transfer(1)
        self.assertEqual(groups.begin(1, "a", is_sent_on=True).owner_group, 1)

    def test_tenant_budget_is_not_shared_between_groups(self) -> None:
        groups = TwoGroups()
        answers = [groups.begin(1, f"t{n}", tenant="one", num_groups=1).answer for n in range(7)]
        self.assertEqual(answers[5:], [wire.TURN_ANSWER_GRANTED, wire.TURN_ANSWER_BUDGET_SPENT])

    def test_other_shares_are_requested_when_low_and_periodically(self) -> None:
        groups = TwoGroups()
        begin = groups.begin_of("a", most=10)
        groups.begin(0, "a", most=10)
        self.assertFalse(groups.states[0].needs_other_shares(begin))
        groups.begin(0, "b", most=260)
        self.assertTrue(groups.states[0].needs_other_shares(begin))
        groups.transfer(1)
        self.assertFalse(groups.states[0].needs_other_shares(begin))
        for turn in ("c", "d"):
            groups.now_ms += 2 * MIN_PROGRAM_RETENTION_MS // 3
            groups.begin(0, turn, most=10)
        self.assertTrue(groups.states[0].needs_other_shares(begin))

    def test_release_is_remembered_longer_than_the_pause_between_requests(self) -> None:
        groups = TwoGroups()
        groups.begin(0, "a")
        groups.transfer(1)
        groups.now_ms += (RELEASED_RETENTION_FACTOR - 1) * MIN_PROGRAM_RETENTION_MS
        self.assertEqual(groups.begin(1, "b").answer, wire.TURN_ANSWER_OTHER_GROUP)

    def test_first_turn_is_previewed_if_the_share_holds_it(self) -> None:
        groups = TwoGroups()
        state = groups.states[1]
        granted, spent = wire.TURN_ANSWER_GRANTED, wire.TURN_ANSWER_BUDGET_SPENT
        self.assertEqual(state.preview(groups.begin_of("a", most=150)).answer, granted)
        self.assertEqual(state.preview(groups.begin_of("a", most=151)).answer, spent)
        self.assertEqual(state.preview(groups.begin_of("a", most=300, num_groups=1)).answer, spent)
        groups.begin(1, "a", most=150)
        groups.take(1, 0)
        self.assertEqual(state.preview(groups.begin_of("b", most=150)).answer, spent)

    def test_shares_survive_snapshot(self) -> None:
        groups = TwoGroups()
        groups.begin(1, "a")
        groups.transfer(1)
        for group in range(2):
            copy = TurnLogState(group)
            copy.restore(groups.states[group].snapshot())
            self.assertEqual(copy.programs, groups.states[group].programs)

    @settings(max_examples=300)
    @given(
        st.lists(st.tuples(st.integers(0, 5), st.integers(0, 1), st.integers(0, 9)), max_size=40)
    )
    def test_granted_tokens_never_exceed_budget(self, steps: list[tuple[int, int, int]]) -> None:
        """Holds for begins, ends, releases and takes in any order, lost, late or duplicate."""
        groups = TwoGroups()
        granted: dict[tuple[int, str], int] = {}
        releases: list[tuple[int, int]] = []
        for kind, group, number in steps:
            turn, most = f"t{number}", 40 + 20 * number
            if kind in (0, 1):
                if groups.begin(group, turn, most).answer == wire.TURN_ANSWER_GRANTED:
                    granted.setdefault((group, turn), most)
            elif kind == 2 and (group, turn) in granted:
                granted[group, turn] = min(granted[group, turn], 10 * number)
                groups.finish(group, turn, granted[group, turn])
            elif kind == 3:
                releases.append((1 - group, groups.release(group).released_tokens))
            elif kind in (4, 5) and releases:
                groups.take(*releases[number % len(releases)])
            self.assertLessEqual(sum(granted.values()), BUDGET)


class OldFormatTest(unittest.TestCase):
    """Data written by commit 4cc33f5 is read as the first group."""

    def test_snapshot_and_following_entries_are_read(self) -> None:
        snapshot = consensus_pb2.Snapshot.FromString(bytes.fromhex(OLD_FORMAT_SNAPSHOT))
        entries = [
            consensus_pb2.LogEntry.FromString(bytes.fromhex(text)) for text in OLD_FORMAT_ENTRIES
        ]
        stored = StoredGroup(0, 3, "", snapshot, entries)
        replica = RaftReplica("s1", stored, random.Random(1))
        self.assertEqual(list(replica.membership.voters), ["s1", "s2", "s3"])
        self.assertEqual(replica.last_index, 9)
        state = TurnLogState(0)
        state.restore(snapshot.state)
        self.assertEqual(state.usage.in_window("one", state.clock_ms, 5000), 4)
        for entry in entries:
            reply = state.apply(entry.data)
            self.assertEqual(reply.answer, wire.TURN_ANSWER_GRANTED)
        self.assertEqual([piece.transcript for piece in reply.chain], [b"[a]", b"[b]"])
        self.assertEqual((reply.spent_tokens, reply.reserved_tokens), (140, 100))

    def test_single_group_snapshot_format_is_unchanged(self) -> None:
        snapshot = consensus_pb2.Snapshot.FromString(bytes.fromhex(OLD_FORMAT_SNAPSHOT))
        state = TurnLogState(0)
        state.restore(snapshot.state)
        self.assertEqual(state.snapshot(), snapshot.state)


if __name__ == "__main__":
    unittest.main()
