"""Losses of power of a whole site, after which nothing was served: one test a fault."""

import logging
import unittest

from bendshed.rehearsal.site.closing_world import ClosingWorld
from bendshed.rehearsal.site.sim_disruption import Disruption
from bendshed.rehearsal.site.sim_world import SimMachine

LONGER_THAN_THE_PLAY_S = 100.0
QUIET_S = 5.0


class PowerLossCase(unittest.TestCase):
    seed = 1

    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.world = ClosingWorld.opened(self.seed)
        self.addCleanup(self.world.close)

    def check_serves_after(self, victim: SimMachine | None) -> None:
        self.assertTrue(self.world.is_led())
        self.assertEqual(self.world.close_down(victim), [])


class FrontsOnDiskTest(PowerLossCase):
    """Fronts wait for a store to greet them, and no store that kept its disk knows them.

    Seen: no request is served for as long as the platform's store is silent, though a leader stands
    within half a second. How: all fronts follow one store; it loses its disk as all lose power,
    while the platform's store is down. Cause: the other stores knew the fronts by that store's word
    and had not saved them, since only a change of the catalog was saved. Proof: their files name no
    front, their memory named all.
    """

    seed = 1213

    def test_a_store_greets_fronts_that_followed_another(self) -> None:
        self.world.run_for(QUIET_S)
        followed = next(m for m in self.world.stores.values() if _fronts_of(m))
        self.world.disrupt(Disruption.DOWN, LONGER_THAN_THE_PLAY_S)
        self.check_serves_after(followed)


def _fronts_of(machine: SimMachine) -> int:
    """Fronts that follow a store."""
    return len(machine.replica.demand.fronts_at_s) if machine.replica is not None else 0
