"""Every rule of the site's oracle: a planted defect is caught, the product passes the scenario."""

import logging
import unittest

from bendshed.rehearsal.site.oracle import Rule, Violation
from tests.site_cold_defects import COLD_DEFECTS
from tests.site_defects import DEFECTS, Defect
from tests.site_zone_defects import ZONE_DEFECTS

ALL_DEFECTS = {**DEFECTS, **ZONE_DEFECTS}

ALL_DEFECTS = {**DEFECTS, **COLD_DEFECTS}


def play(defect: Defect) -> list[Violation]:
    return defect.scenario(defect.seed)


class SiteRulesTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        logging.disable(logging.CRITICAL)  # planted defects make the loop report errors
        cls.addClassCleanup(logging.disable, logging.NOTSET)

    def test_every_rule_has_a_defect(self) -> None:
        self.assertEqual({defect.rule for defect in ALL_DEFECTS.values()}, set(Rule))

    def test_defects_are_caught(self) -> None:
        for name, defect in ALL_DEFECTS.items():
            with self.subTest(defect=name):
                with defect.plant():
                    try:
                        broken = {violation.rule for violation in play(defect)}
                    except AssertionError:  # the site does not even serve any more
                        broken = set()
                self.assertIn(defect.rule, broken)

    def test_the_product_passes_the_same_scenarios(self) -> None:
        for scenario, seed in sorted({(d.scenario, d.seed) for d in ALL_DEFECTS.values()}, key=str):
            with self.subTest(scenario=scenario.__name__):
                self.assertEqual(scenario(seed), [])
