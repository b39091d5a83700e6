"""Every rule of the site's oracle: a planted defect is caught, the product passes the scenario."""

import logging
import unittest
from collections.abc import Mapping
from typing import ClassVar

from bendshed.rehearsal.site.oracle import Rule, Violation
from tests.site_budget_defects import BUDGET_DEFECTS
from tests.site_cold_defects import COLD_DEFECTS
from tests.site_defects import DEFECTS, Defect
from tests.site_zone_defects import ZONE_DEFECTS

GROUPS_OF_DEFECTS = (DEFECTS, BUDGET_DEFECTS, ZONE_DEFECTS, COLD_DEFECTS)
ALL_DEFECTS = {name: defect for group in GROUPS_OF_DEFECTS for name, defect in group.items()}


def play(defect: Defect) -> list[Violation]:
    return defect.scenario(defect.seed)


class RulesTest(unittest.TestCase):
    def test_every_rule_has_a_defect(self) -> None:
        self.assertEqual({defect.rule for defect in ALL_DEFECTS.values()}, set(Rule))

    def test_no_name_is_given_twice(self) -> None:
        self.assertEqual(len(ALL_DEFECTS), sum(len(group) for group in GROUPS_OF_DEFECTS))


class Quiet(unittest.TestCase):
    """Planted defects make the loop report errors."""

    defects: ClassVar[Mapping[str, Defect]] = {}

    @classmethod
    def setUpClass(cls) -> None:
        logging.disable(logging.CRITICAL)
        cls.addClassCleanup(logging.disable, logging.NOTSET)

    def check_caught(self) -> None:
        self.assertTrue(self.defects)
        for name, defect in self.defects.items():
            with self.subTest(defect=name):
                with defect.inject():
                    try:
                        broken = {violation.rule for violation in play(defect)}
                    except AssertionError:  # the site does not even serve any more
                        broken = set()
                self.assertIn(defect.rule, broken)

    def check_passed(self) -> None:
        self.assertTrue(self.defects)
        defects = self.defects.values()
        scenarios = {(defect.scenario, seed) for defect in defects for seed in (1, defect.seed)}
        for scenario, seed in sorted(scenarios, key=str):
            with self.subTest(scenario=scenario.__name__):
                self.assertEqual(scenario(seed), [])


class CaughtTest(Quiet):
    defects = DEFECTS

    def test_defects_are_caught(self) -> None:
        self.check_caught()


class PassedTest(Quiet):
    defects = DEFECTS

    def test_the_product_passes_the_same_scenarios(self) -> None:
        self.check_passed()


class ZonesCaughtTest(Quiet):
    defects = ZONE_DEFECTS

    def test_defects_are_caught(self) -> None:
        self.check_caught()


class ZonesPassedTest(Quiet):
    defects = ZONE_DEFECTS

    def test_the_product_passes_the_same_scenarios(self) -> None:
        self.check_passed()


class ColdCaughtTest(Quiet):
    defects = COLD_DEFECTS

    def test_defects_are_caught(self) -> None:
        self.check_caught()


class ColdPassedTest(Quiet):
    defects = COLD_DEFECTS

    def test_the_product_passes_the_same_scenarios(self) -> None:
        self.check_passed()


class BudgetsCaughtTest(Quiet):
    defects = BUDGET_DEFECTS

    def test_defects_are_caught(self) -> None:
        self.check_caught()


class BudgetsPassedTest(Quiet):
    defects = BUDGET_DEFECTS

    def test_the_product_passes_the_same_scenarios(self) -> None:
        self.check_passed()
