"""Guards against charging a call that was never sent, or reporting its outcome as unknown.

The group's answer with the grant was lost. The node returned group_unavailable to its caller and
dropped the call. When the caller retried with the same key at another node, that node took the
grant for one of a lost process: a call that must not be repeated failed with outcome_unknown, and a
repeatable one was charged twice.

The first node knows that it sent nothing, so it returns the grant, and until then it answers that
it is executing the call.
"""

import logging
import unittest

from bendshed.dispatch.calls import Answered
from bendshed.dispatch.executor import GRANT_RETURN_TIMEOUT_S
from bendshed.errors import ErrorKind, Refusal
from bendshed.rehearsal.simulator.callers import PlannedCall, ProgramDriver, RequestRecord
from bendshed.rehearsal.simulator.world import World

REFUSAL_TIMEOUT_S = 17.0
"""A node waits 15 s for the answer of a group."""
GRANT_RETURN_WAIT_S = 12.0
ANSWER_TIMEOUT_S = 5.0


class GrantReturnTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.world = World.started(1)
        self.addCleanup(self.world.close)
        self.program = self.world.start_program([])

    def lose_answers(self) -> None:
        """Deliver everything that node-4 sends, and drop everything sent to it."""
        here = self.world.nodes["node-4"].host
        others = [node.host for node in self.world.nodes.values() if node.host != here]
        self.world.network.cuts.update((other, here) for other in others)

    def send_call(self, call: PlannedCall, node: str, wait_s: float) -> RequestRecord:
        clock = self.world.nodes[node].clock
        pending = self.world.send(self.program.request(call, clock.wall_ms()), node)
        self.world.run_for(wait_s)
        return pending.result()

    def spent_tokens(self, program: ProgramDriver) -> int:
        """Return the tokens charged by the program's group, as its most advanced replica knows."""
        groups = [
            group
            for holder in self.world.up_nodes()
            if holder.node is not None and holder.node.host is not None
            for group in holder.node.host.groups.values()
        ]
        records = [group.state.programs.get(program.program_id) for group in groups]  # type: ignore[attr-defined]
        return max(record.spent_tokens for record in records if record is not None)

    def test_call_that_was_not_sent_runs_when_retried(self) -> None:
        for number, unrepeatable in enumerate((True, False), 1):
            with self.subTest(unrepeatable=unrepeatable):
                self.program = self.world.start_program([])
                self.program.calls.append(call := PlannedCall(1, unrepeatable=unrepeatable))
                self.lose_answers()
                outcome = self.send_call(call, "node-4", REFUSAL_TIMEOUT_S).outcome
                assert isinstance(outcome, Refusal), number
                self.assertEqual(outcome.kind, ErrorKind.GROUP_UNAVAILABLE)
                self.world.heal_network()
                self.world.run_for(GRANT_RETURN_WAIT_S)
                answered = self.send_call(call, "node-5", ANSWER_TIMEOUT_S).outcome
                assert isinstance(answered, Answered), answered
                used = answered.result.prompt_tokens + answered.result.answer_tokens
                self.assertEqual(self.spent_tokens(self.program), used)

    def test_stopping_node_does_not_wait_forever(self) -> None:
        self.program.calls.append(call := PlannedCall(1))
        self.lose_answers()
        self.send_call(call, "node-4", REFUSAL_TIMEOUT_S)
        self.world.drain_node("node-4")
        self.world.run_for(2 * GRANT_RETURN_TIMEOUT_S)
        self.assertFalse(self.world.nodes["node-4"].is_up)
