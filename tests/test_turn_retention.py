"""How long a stored turn is found, counted from the end of its answer at the client."""

import logging
import unittest

from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.sim_world import SiteWorld

ONE_TURN = ProgramPlan(turns=1, tools=0)
JUST_BEFORE_S = 0.003


class TurnRetentionTest(unittest.TestCase):
    # Guards against a false 404 to a client that returns just before the time is over.
    def test_turn_is_found_until_the_time_since_its_answer_is_over(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        site = SiteWorld.started(1)
        self.addCleanup(site.close)
        first = site.start_program(ONE_TURN)
        site.run_for(3.0)
        (turn,) = [row for row in site.seen.requests if row.request_id == first.last_turn]
        return_s = turn.ended_s + site.seen.retention_s - JUST_BEFORE_S
        site.run_for(return_s - site.loop.time())
        second = site.start_program(ONE_TURN, continues=first.last_turn)
        site.run_for(2.0)
        self.assertEqual(second.statuses, [200])
