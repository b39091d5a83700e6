"""A call that never left its node was charged, and its outcome called unknown.

Seen: a caller got group_unavailable, and asked again with the same key at another node. A call that
must not be repeated was answered outcome_unknown; one that may be was charged twice.

Cause: the group's answer with the grant was lost. The node told its caller so and forgot the call,
and whoever asked it then took the grant for one of a process that is gone. The node itself knows
that it sent nothing: it hands the grant back, and says that it executes the call until then.
"""

import logging
import unittest

from bendshed.dispatch.calls import Answered
from bendshed.dispatch.executor import GRANT_RETURN_TIMEOUT_S
from bendshed.errors import ErrorKind, Refusal
from bendshed.rehearsal.simulator.callers import PlannedCall, ProgramDriver, RequestRecord
from bendshed.rehearsal.simulator.world import World

REFUSED_S = 17.0
"""A node waits 15 s for the answer of a group."""
HANDED_BACK_S = 12.0
ANSWERED_S = 5.0


class HandBackTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.world = World.started(1)
        self.addCleanup(self.world.close)
        self.program = self.world.start_program([])

    def lose_answers(self) -> None:
        """Everything that node-4 sends arrives, and nothing comes back."""
        here = self.world.nodes["node-4"].host
        others = [node.host for node in self.world.nodes.values() if node.host != here]
        self.world.network.cuts.update((other, here) for other in others)

    def ask(self, call: PlannedCall, node: str, wait_s: float) -> RequestRecord:
        clock = self.world.nodes[node].clock
        asked = self.world.send(self.program.request(call, clock.wall_ms()), node)
        self.world.run_for(wait_s)
        return asked.result()

    def spent_tokens(self, program: ProgramDriver) -> int:
        """What the program's group has charged, as its most advanced replica knows."""
        groups = [
            group
            for holder in self.world.up_nodes()
            if holder.node is not None and holder.node.host is not None
            for group in holder.node.host.groups.values()
        ]
        records = [group.state.programs.get(program.program_id) for group in groups]  # type: ignore[attr-defined]
        return max(record.spent_tokens for record in records if record is not None)

    def test_a_call_that_was_not_sent_runs_when_it_is_asked_again(self) -> None:
        for number, unrepeatable in enumerate((True, False), 1):
            with self.subTest(unrepeatable=unrepeatable):
                self.program = self.world.start_program([])
                self.program.calls.append(call := PlannedCall(1, unrepeatable=unrepeatable))
                self.lose_answers()
                outcome = self.ask(call, "node-4", REFUSED_S).outcome
                assert isinstance(outcome, Refusal), number
                self.assertEqual(outcome.kind, ErrorKind.GROUP_UNAVAILABLE)
                self.world.heal_network()
                self.world.run_for(HANDED_BACK_S)
                answered = self.ask(call, "node-5", ANSWERED_S).outcome
                assert isinstance(answered, Answered), answered
                used = answered.result.prompt_tokens + answered.result.answer_tokens
                self.assertEqual(self.spent_tokens(self.program), used)

    def test_a_node_that_stops_does_not_wait_for_ever(self) -> None:
        self.program.calls.append(call := PlannedCall(1))
        self.lose_answers()
        self.ask(call, "node-4", REFUSED_S)
        self.world.drain_node("node-4")
        self.world.run_for(2 * GRANT_RETURN_TIMEOUT_S)
        self.assertFalse(self.world.nodes["node-4"].is_up)
