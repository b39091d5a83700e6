"""Streams that clients take up again while runners of two software versions serve."""

import logging
import unittest

from bendshed.rehearsal.search import STEPS_PER_WORLD
from bendshed.rehearsal.site.oracle import Violation
from bendshed.rehearsal.site.stream_steps import (
    RESTARTS_IN_TWO_REGIONS,
    STREAMS,
    STREAMS_OF_TWO_REGIONS,
    STREAMS_WITH_RESTARTS,
    UNNAMED_STREAMS,
)
from tests.site_stream_defects import (
    RESTARTS,
    fronts_are_killed,
    fronts_lose_power_behind_a_silent_turn_log,
    fronts_lose_power_in_a_release,
    leaders_are_killed,
    runners_restart_with_another_version,
)

SEEDS = range(1, 4)
UNNAMED_SEEDS = range(1, 7)
POWER_SEEDS = range(1, 7)
RESTART_SEEDS = range(1, 3)
RESTART_WORLD_SEEDS = range(1, 4)
POWER_SEEDS = range(1, 7)
WORLD_SEEDS = range(6)
REGION_SEEDS = (1, 2, 126)
"""With the world in which clients kept a draining front busy."""


class StreamVersionsTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    # Guards against answers that are joined from events of two software versions of a service.
    def test_resumed_streams_stay_at_the_version_that_began_them(self) -> None:
        found: list[Violation] = []
        for seed in SEEDS:
            found += fronts_are_killed(seed)
        self.assertEqual(found, [])

    # Guards against streams joined from two versions where all fronts are killed in a release.
    def test_streams_stay_at_their_version_while_all_fronts_lose_power(self) -> None:
        for seed in POWER_SEEDS:
            self.assertEqual(fronts_lose_power_in_a_release(seed), [], seed)

    # Guards against streams that nobody recorded, which go on at the version of those that are.
    def test_streams_begun_while_the_turn_log_was_silent_are_not_joined(self) -> None:
        for seed in POWER_SEEDS:
            self.assertEqual(fronts_lose_power_behind_a_silent_turn_log(seed), [], seed)

    # Guards against origins of streams that are lost, or read from a replaced leader.
    def test_versions_of_streams_outlive_the_leader(self) -> None:
        found: list[Violation] = []
        for seed in SEEDS:
            found += leaders_are_killed(seed)
        self.assertEqual(found, [])

    # Guards against streams of two versions where a runner keeps its id over a restart.
    def test_runners_that_keep_their_id_begin_streams_of_their_new_version(self) -> None:
        self.assertEqual(runners_restart_with_another_version(1), [])

    # Guards against the same where entries come soon, late, out of order, or name no start.
    def test_restarts_under_an_id_never_mix_versions(self) -> None:
        for scenario in RESTARTS:
            for seed in RESTART_SEEDS:
                self.assertEqual(scenario(seed), [], (scenario.__name__, seed))

    # Guards against mixed or neglected streams under random releases and failures.
    def test_seeded_worlds_with_releases(self) -> None:
        for game, seeds in ((STREAMS, WORLD_SEEDS), (STREAMS_OF_TWO_REGIONS, REGION_SEEDS)):
            for seed in seeds:
                world, violations = game.run(seed, game.random_steps(seed, STEPS_PER_WORLD))
                world.close()
                self.assertEqual(violations, [], seed)

    # Guards against the same where clients name no stream and all fronts lose power at once.
    def test_seeded_worlds_whose_clients_name_no_stream(self) -> None:
        for seed in UNNAMED_SEEDS:
            game = UNNAMED_STREAMS
            world, violations = game.run(seed, game.random_steps(seed, STEPS_PER_WORLD))
            world.close()
            self.assertEqual(violations, [], seed)

    # Guards against the same where runners also start again under their ids.
    def test_seeded_worlds_with_restarts_under_an_id(self) -> None:
        for game in (STREAMS_WITH_RESTARTS, RESTARTS_IN_TWO_REGIONS):
            for seed in RESTART_WORLD_SEEDS:
                world, violations = game.run(seed, game.random_steps(seed, STEPS_PER_WORLD))
                world.close()
                self.assertEqual(violations, [], seed)
