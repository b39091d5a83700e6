"""For every promise, the oracle catches a planted defect and the product passes the scenario."""

import logging
import unittest

from tests import scenarios
from tests.defects import DEFECTS

PROMISES = set(range(1, 11))


class PromisesTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        logging.disable(logging.CRITICAL)  # planted defects make the event loop log errors
        cls.addClassCleanup(logging.disable, logging.NOTSET)

    def test_every_promise_has_a_defect(self) -> None:
        self.assertEqual({defect.promise for defect in DEFECTS.values()}, PROMISES)

    def test_every_defect_is_caught(self) -> None:
        for name, defect in DEFECTS.items():
            with self.subTest(defect=name):
                with defect.plant():
                    violations = defect.scenario(defect.seed)
                self.assertIn(defect.promise, {v.promise for v in violations})

    def test_product_passes_the_same_scenarios(self) -> None:
        for scenario, seed in sorted({(d.scenario, d.seed) for d in DEFECTS.values()}, key=str):
            with self.subTest(scenario=scenario.__name__, seed=seed):
                self.assertEqual(scenario(seed), [])

    def test_orphan_of_ended_program_releases_cache(self) -> None:
        """Guards against the resume grace period holding the cache of a program that has ended."""
        self.assertEqual(scenarios.executor_dies_and_program_ends(1), [])
