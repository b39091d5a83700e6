"""Replicated state of the turn log: chains, budgets and retention, duplicate and late commands."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bendshed.turns.retention import EXTENSION_MARGIN_MS, make_extension
from bendshed.turns.state import TurnLogState
from bendshed.wire import turns_pb2 as wire

RETENTION_MS = 60_000


class TurnLog:
    """A turn log state with a clock and helpers to apply commands."""

    def __init__(self) -> None:
        self.state = TurnLogState()
        self.now_ms = 0

    def apply(self, **command: object) -> wire.TurnReply:
        content = wire.TurnCommand(elapsed_ms=self.now_ms, **command)  # type: ignore[arg-type]
        return self.state.apply(content.SerializeToString())

    def begin(
        self, turn: str, previous: str = "", budget: int = 1000, most: int = 100, held: str = ""
    ) -> wire.TurnReply:
        return self.apply(
            begin=wire.BeginTurn(
                program_id="p",
                turn_id=turn,
                previous_turn=previous,
                has_budget=True,
                budget_tokens=budget,
                most_tokens=most,
                retention_ms=RETENTION_MS,
                held_turn=held,
            )
        )

    def finish(
        self,
        turn: str,
        previous: str = "",
        tokens: int = 50,
        outcome: "wire.TurnOutcome.ValueType" = wire.TURN_OUTCOME_WHOLE,
    ) -> wire.TurnReply:
        return self.apply(
            finish=wire.FinishTurn(
                program_id="p",
                turn_id=turn,
                previous_turn=previous,
                outcome=outcome,
                tokens=tokens,
                keep=True,
                input=f"[{turn}".encode(),
                output=b"]",
                retention_ms=RETENTION_MS,
            )
        )


class ChainTest(unittest.TestCase):
    def test_chain_is_returned_oldest_first(self) -> None:
        log = TurnLog()
        for turn, previous in (("a", ""), ("b", "a"), ("c", "b")):
            log.begin(turn, previous)
            log.finish(turn, previous)
        reply = log.begin("d", "c")
        self.assertEqual([piece.transcript for piece in reply.chain], [b"[a]", b"[b]", b"[c]"])

    def test_cached_transcript_is_not_sent_again(self) -> None:
        log = TurnLog()
        log.begin("a")
        log.finish("a")
        reply = log.begin("b", "a", held="a")
        self.assertEqual((reply.held_turn, list(reply.chain)), ("a", []))
        self.assertEqual(len(log.begin("c", "a", held="z").chain), 1)

    def test_unknown_previous_turn_reserves_nothing(self) -> None:
        log = TurnLog()
        self.assertEqual(log.begin("b", "a").answer, wire.TURN_ANSWER_UNKNOWN_TURN)
        self.assertEqual(log.begin("c", budget=100).answer, wire.TURN_ANSWER_GRANTED)

    def test_broken_turn_is_not_stored(self) -> None:
        log = TurnLog()
        log.begin("a")
        log.finish("a", outcome=wire.TURN_OUTCOME_BROKEN)
        self.assertEqual(log.begin("b", "a").answer, wire.TURN_ANSWER_UNKNOWN_TURN)

    def test_another_program_may_continue_turn(self) -> None:
        log = TurnLog()
        log.begin("a")
        log.finish("a")
        other = wire.BeginTurn(program_id="q", turn_id="b", previous_turn="a", most_tokens=1)
        self.assertEqual(log.apply(begin=other).answer, wire.TURN_ANSWER_GRANTED)

    def test_chain_is_stored_as_long_as_its_newest_turn(self) -> None:
        log = TurnLog()
        log.begin("a")
        log.finish("a")
        log.now_ms = RETENTION_MS - 1000
        log.begin("b", "a")
        log.finish("b", "a")
        log.now_ms = 2 * RETENTION_MS - 2000
        self.assertEqual(len(log.begin("c", "b").chain), 2)
        log.now_ms = 4 * RETENTION_MS
        self.assertEqual(log.begin("d", "b").answer, wire.TURN_ANSWER_UNKNOWN_TURN)

    # Guards against an extension that charges a program or changes what its chain contains.
    def test_extension_stores_the_chain_longer_and_changes_nothing_else(self) -> None:
        log = TurnLog()
        for turn, previous in (("a", ""), ("b", "a")):
            log.begin(turn, previous)
            log.finish(turn, previous)
        before = log.begin("c", "b")
        left_ms = 10 * RETENTION_MS
        begin = wire.BeginTurn(program_id="p", turn_id="c", previous_turn="b")
        extended = log.apply(finish=make_extension(begin, left_ms))
        self.assertEqual(extended.spent_tokens, before.spent_tokens)
        self.assertEqual(extended.reserved_tokens, before.reserved_tokens)
        log.now_ms = left_ms
        self.assertEqual(log.begin("c", "b").chain, before.chain)
        log.finish("c", "b")
        log.now_ms += 2 * EXTENSION_MARGIN_MS
        log.begin("other")  # sweeps what has expired
        self.assertEqual([turn for _, turn in log.state.turns], ["a", "b", "c"])

    def test_extension_of_a_chain_that_is_gone_makes_nothing_known(self) -> None:
        log = TurnLog()
        begin = wire.BeginTurn(program_id="p", turn_id="b", previous_turn="a")
        log.apply(finish=make_extension(begin, 1_000))
        self.assertEqual(log.begin("b", "a").answer, wire.TURN_ANSWER_UNKNOWN_TURN)

    def test_clock_never_runs_backwards(self) -> None:
        log = TurnLog()
        log.now_ms = 5000
        log.begin("a")
        log.now_ms = 1000
        log.begin("b")
        self.assertEqual(log.state.clock_ms, 5000)


class TenantTest(unittest.TestCase):
    def begin(self, log: TurnLog, tenant: str, turn: str, previous: str = "") -> wire.TurnReply:
        return log.apply(
            begin=wire.BeginTurn(
                tenant=tenant,
                program_id="p",
                turn_id=turn,
                previous_turn=previous,
                has_budget=True,
                budget_tokens=150,
                most_tokens=100,
                retention_ms=RETENTION_MS,
            )
        )

    def finish(self, log: TurnLog, tenant: str, turn: str) -> None:
        finish = wire.FinishTurn(
            tenant=tenant,
            program_id="p",
            turn_id=turn,
            tokens=10,
            keep=True,
            input=tenant.encode(),
            retention_ms=RETENTION_MS,
        )
        log.apply(finish=finish)

    def test_turn_of_another_tenant_is_unknown(self) -> None:
        log = TurnLog()
        self.begin(log, "one", "a")
        self.finish(log, "one", "a")
        self.assertEqual(self.begin(log, "two", "b", "a").answer, wire.TURN_ANSWER_UNKNOWN_TURN)
        self.assertEqual(self.begin(log, "", "b", "a").answer, wire.TURN_ANSWER_UNKNOWN_TURN)
        begin = wire.BeginTurn(tenant="two", program_id="p", turn_id="b", previous_turn="a")
        self.assertEqual(log.state.preview(begin).answer, wire.TURN_ANSWER_UNKNOWN_TURN)
        self.assertEqual(self.begin(log, "one", "b", "a").answer, wire.TURN_ANSWER_GRANTED)

    def test_same_program_id_of_two_tenants_is_two_programs(self) -> None:
        log = TurnLog()
        self.assertEqual(self.begin(log, "one", "a").answer, wire.TURN_ANSWER_GRANTED)
        self.assertEqual(self.begin(log, "two", "b").answer, wire.TURN_ANSWER_GRANTED)
        self.assertEqual(self.begin(log, "one", "c").answer, wire.TURN_ANSWER_BUDGET_SPENT)

    def test_same_turn_id_of_two_tenants_is_two_turns(self) -> None:
        log = TurnLog()
        for tenant in ("one", "two"):
            self.begin(log, tenant, "a")
            self.finish(log, tenant, "a")
        pieces = self.begin(log, "one", "b", "a").chain
        self.assertEqual([piece.transcript for piece in pieces], [b"one"])

    def test_dispatched_turn_without_begin_is_counted_at_its_end(self) -> None:
        for was_sent, counted in ((True, 1), (False, 0)):
            with self.subTest(was_sent=was_sent):
                log = TurnLog()
                finish = wire.FinishTurn(tenant="a", program_id="p", turn_id="t", was_sent=was_sent)
                log.apply(finish=finish)
                log.apply(finish=finish)
                self.assertEqual(log.state.usage.in_window("a", 0, 5_000), counted)

    def test_reserved_turn_is_not_counted_again_at_its_end(self) -> None:
        log = TurnLog()
        self.begin(log, "a", "t")
        log.apply(finish=wire.FinishTurn(tenant="a", program_id="p", turn_id="t", was_sent=True))
        self.assertEqual(log.state.usage.in_window("a", 0, 5_000), 1)

    def test_usage_counts_turn_once_and_survives_snapshot(self) -> None:
        log, copy = TurnLog(), TurnLog()
        for _ in range(2):
            self.begin(log, "one", "a")
        report = wire.SpentReport(node="n", spent=[wire.TenantSpent(tenant="one", total=3)])
        for _ in range(2):
            log.apply(spent=report)
        copy.state.restore(log.state.snapshot())
        for state in (log.state, copy.state):
            self.assertEqual(state.usage.in_window("one", 0, 5000), 4)
            self.assertEqual(state.usage.reported_total("n", "one"), 3)


class BudgetTest(unittest.TestCase):
    def test_running_turns_reserve_their_maximum(self) -> None:
        log = TurnLog()
        self.assertEqual(log.begin("a", budget=250).answer, wire.TURN_ANSWER_GRANTED)
        self.assertEqual(log.begin("b", budget=250).answer, wire.TURN_ANSWER_GRANTED)
        self.assertEqual(log.begin("c", budget=250).answer, wire.TURN_ANSWER_BUDGET_SPENT)
        log.finish("a", tokens=10)
        self.assertEqual(log.begin("d", budget=250).answer, wire.TURN_ANSWER_GRANTED)

    def test_duplicate_begin_reserves_once(self) -> None:
        log = TurnLog()
        log.begin("a")
        self.assertEqual(log.begin("a").reserved_tokens, 100)

    def test_duplicate_finish_charges_once(self) -> None:
        log = TurnLog()
        log.begin("a")
        log.finish("a")
        self.assertEqual(log.finish("a").spent_tokens, 50)

    def test_begin_after_its_finish_is_refused(self) -> None:
        log = TurnLog()
        log.finish("a", tokens=0, outcome=wire.TURN_OUTCOME_NOTHING_HANDED_ON)
        self.assertEqual(log.begin("a").answer, wire.TURN_ANSWER_CLOSED)
        self.assertEqual(log.begin("b").reserved_tokens, 100)

    @settings(max_examples=200)
    @given(st.lists(st.tuples(st.booleans(), st.integers(0, 7), st.integers(1, 60))))
    def test_granted_tokens_never_exceed_budget(self, steps: list[tuple[bool, int, int]]) -> None:
        """For commands in any order, duplicate or late, the tokens handed out fit the budget."""
        log = TurnLog()
        most: dict[str, int] = {}
        handed_out: dict[str, int] = {}
        for is_begin, number, tokens in steps:
            turn = str(number)
            if is_begin:
                reply = log.begin(turn, budget=120, most=most.get(turn, tokens))
                if reply.answer == wire.TURN_ANSWER_GRANTED:
                    most.setdefault(turn, tokens)
            elif turn in most and turn not in handed_out:
                handed_out[turn] = min(tokens, most[turn])
                log.finish(turn, tokens=handed_out[turn])
            worst = sum(handed_out.get(name, size) for name, size in most.items())
            self.assertLessEqual(worst, 120)


class SnapshotTest(unittest.TestCase):
    def test_latest_runner_survives_snapshot(self) -> None:
        log, copy = TurnLog(), TurnLog()
        for turn, runner in (("t1", "a"), ("t2", "b"), ("t3", "")):
            finish = wire.FinishTurn(program_id="p", turn_id=turn, runner_id=runner)
            log.apply(finish=finish)
        copy.state.restore(log.state.snapshot())
        self.assertEqual(
            (copy.state.latest_runner_id("", "p"), copy.state.latest_runner_id("", "q")), ("b", "")
        )

    def test_snapshot_of_earlier_version_without_tenants_is_restored(self) -> None:
        """Snapshots of an earlier version contain neither tenants nor usage."""
        stored = wire.KeptTurn(turn_id="a", transcript=b"[a]", expires_ms=RETENTION_MS)
        budget = wire.ProgramBudget(program_id="p", spent_tokens=60, expires_ms=RETENTION_MS)
        earlier = wire.TurnLogSnapshot(clock_ms=5, turns=[stored], programs=[budget])
        log = TurnLog()
        log.state.restore(earlier.SerializeToString())
        reply = log.begin("b", "a", budget=200)
        self.assertEqual([piece.transcript for piece in reply.chain], [b"[a]"])
        self.assertEqual(reply.spent_tokens, 60)

    def test_restored_state_expires_entries_with_the_others(self) -> None:
        """A replica restored between two expiry sweeps must not start a budget anew on its own."""
        log, copy = TurnLog(), TurnLog()
        log.begin("a", budget=100, most=60)
        log.finish("a", tokens=60)
        expires_ms = log.state.programs["", "p"].expires_ms
        for now_ms in (expires_ms - 700, expires_ms + 500):
            log.now_ms = copy.now_ms = now_ms
            copy.state.restore(log.state.snapshot())
            replies = [each.begin("b", budget=100, most=60) for each in (log, copy)]
            self.assertEqual(replies[0], replies[1])
            self.assertEqual(log.state.snapshot(), copy.state.snapshot())

    def test_restored_state_answers_identically(self) -> None:
        log, copy = TurnLog(), TurnLog()
        log.now_ms = 1234
        log.begin("a")
        log.finish("a")
        log.begin("b", "a")
        copy.state.restore(log.state.snapshot())
        copy.now_ms = log.now_ms
        self.assertEqual(copy.state.snapshot(), log.state.snapshot())
        self.assertEqual(copy.begin("c", "a"), log.begin("c", "a"))
        self.assertEqual(copy.begin("a").answer, wire.TURN_ANSWER_CLOSED)
