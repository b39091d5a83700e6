"""Power losses of a whole site after which no request was served: one test per fault."""

import logging
import unittest

from bendshed.rehearsal.search import Step
from bendshed.rehearsal.site.closing_rules import Broken
from bendshed.rehearsal.site.closing_world import ClosingWorld
from bendshed.rehearsal.site.closings import CLOSINGS, MAX_TROUBLE_S, Trouble
from bendshed.rehearsal.site.sim_disruption import Disruption
from bendshed.rehearsal.site.sim_world import SimMachine

BEYOND_SCENARIO_S = 100.0
SETTLE_S = 5.0


class PowerLossCase(unittest.TestCase):
    seed = 1

    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.world = ClosingWorld.opened(self.seed)
        self.addCleanup(self.world.close)

    def check_serves_after_power_loss(self, victim: SimMachine | None) -> None:
        self.assertTrue(self.world.is_led())
        self.assertEqual(self.world.close_down(victim), [])


class SavedFrontsTest(PowerLossCase):
    """Stores must save the fronts that other stores report to them.

    All fronts follow one store, which loses its disk when all machines lose power while the
    platform's store is down. No request was served while the platform's store did not answer,
    although a leader was elected within half a second: the fronts waited for the hello of a store,
    but the other stores had received them from the lost store and had not saved them, since only
    catalog changes were saved. Their files named no front, although their memory had named all.
    """

    seed = 1213

    def test_store_sends_hello_to_fronts_of_another_store(self) -> None:
        self.world.run_for(SETTLE_S)
        followed = next(m for m in self.world.stores.values() if _fronts_of(m))
        self.world.disrupt(Disruption.DOWN, BEYOND_SCENARIO_S)
        self.check_serves_after_power_loss(followed)


class TwoVotersTest(PowerLossCase):
    """One of two voters must learn from the other machine that the other voter's disk is lost.

    One of three stores is retired; later all lose power, one of the remaining two also loses its
    disk, and the platform's store refuses requests of that one. There was no leader and no request
    was served until the platform's store answered: the wiped store knew no peers, so it could not
    tell the voter that sent to its former identity that this identity was lost, and the registry,
    which the voter reads itself, did not list the new identity. The survivor stayed a pre-candidate
    that knew of no lost identity.
    """

    def setUp(self) -> None:
        super().setUp()
        CLOSINGS.apply(self.world, Step(Trouble.RETIRE, 1, 1.0))
        self.assertTrue(self.world.may_lose())

    def test_survivor_learns_that_the_other_voter_lost_its_disk(self) -> None:
        victim = self.world.stores["store-3"]
        self.world.disrupt(Disruption.REFUSES_SOME, BEYOND_SCENARIO_S, [victim])
        self.check_serves_after_power_loss(victim)


class ReturningSuccessorTest(PowerLossCase):
    """An answer must end the backoff of a successor that was unreachable for a while.

    A store is replaced; its successor is cut off for some seconds and then reachable for long
    enough to catch up; then all lose power and another store loses its disk. There was no leader
    afterwards: a machine that had been added and did not answer was not added again for 3 s, 6 s
    and so on, even if it answered by then, so the removed store was still a voter. The voters at
    the power loss were the first three stores.
    """

    OUTAGE_S = 6.6

    def test_successor_that_returns_is_added_again(self) -> None:
        CLOSINGS.apply(self.world, Step(Trouble.REPLACE, 0, 0.0))
        successor = next(name for name in sorted(self.world.stores) if "next" in name)
        which = sorted(self.world.stores).index(successor)
        CLOSINGS.apply(self.world, Step(Trouble.CUT_FROM_ALL, which, self.OUTAGE_S / MAX_TROUBLE_S))
        self.assertTrue(self.world.may_lose())
        self.check_serves_after_power_loss(self.world.stores["store-2"])


class OlderAnnouncementTest(PowerLossCase):
    """Wiped identities must survive a restart, or a live store counts as lost.

    A store loses its disk and becomes a voter again under a new identity; later all lose power,
    another store loses its disk, and a survivor reads the first store's older announcement after
    its start. There was no leader and no request was served, even once the registry answered
    correctly again: the order of arrival decided which of a machine's two identities counted as
    lost, and earlier knowledge of this was not on the disk. The survivor held the live voter's
    identity among the lost ones, had no address for it, and had no quorum.
    """

    def test_wiped_identities_survive_a_restart(self) -> None:
        older = dict(self.world.registry.announced)
        CLOSINGS.apply(self.world, Step(Trouble.LOSE_DISK, 1, 0.1))
        self.assertTrue(self.world.may_lose())
        self.world.disrupt(Disruption.STALE, BEYOND_SCENARIO_S)
        self.world.disrupted.listed = older
        self.check_serves_after_power_loss(self.world.stores["store-3"])


class UnknownFormerIdentityTest(PowerLossCase):
    """A machine's direct reply must correct which of its identities counts as lost.

    As in ``OlderAnnouncementTest``, but the survivor joined after the first disk was lost, so it
    never knew the older identity and could not have stored that it is the lost one. The result was
    the same: nothing that a machine replied corrected the order of its identities, since one that
    counted as lost was never reinstated. The survivor's directory listed the older identity,
    although the machine answered under the newer one.
    """

    def test_direct_reply_decides_which_identity_is_current(self) -> None:
        older = dict(self.world.registry.announced)
        CLOSINGS.apply(self.world, Step(Trouble.LOSE_DISK, 1, 0.1))
        CLOSINGS.apply(self.world, Step(Trouble.REPLACE, 0, 0.1))
        self.assertTrue(self.world.may_lose())
        self.world.disrupt(Disruption.STALE, BEYOND_SCENARIO_S)
        self.world.disrupted.listed = older
        self.check_serves_after_power_loss(self.world.stores["store-3"])


class RemovedMachinesTest(PowerLossCase):
    """A live successor must be added before machines that were removed earlier.

    One store after another is replaced, each once the previous successor has had time to catch up.
    There was no leader and no request was served: announcements of removed machines stay in the
    registry, and a leader that knew of no failure added them one after another, for a second each,
    before the only live one. The voters were machines that had been removed.
    """

    NUM_REPLACED = 7

    def test_machine_that_answers_is_added_first(self) -> None:
        for number in range(self.NUM_REPLACED):
            oldest = min(self.world.stores.values(), key=_number)
            which = sorted(self.world.stores).index(oldest.name)
            CLOSINGS.apply(self.world, Step(Trouble.REPLACE, which, 0.0))
            self.assertTrue(self.world.may_lose())
            self.assertTrue(self.world.is_led(), number)
        self.check_serves_after_power_loss(min(self.world.stores.values(), key=_number))


class RebalanceDuringLossTest(PowerLossCase):
    """No live voter may be exchanged for a better placed machine while another has failed.

    Two voters are in one zone; the voter in another zone is replaced by a machine of a third zone.
    There was no leader after all lost power, although only the newest store lost its disk: for a
    second the removed voter counted as healthy and the new machine's zone was better, so one of the
    two live voters was removed. The voters were one live store, the removed one and the new one,
    while the store that had left held the log without a vote.
    """

    LOSS_DELAY_S = 0.6

    def test_no_voter_is_removed_while_another_is_unresponsive(self) -> None:
        for which in (4, 2):
            CLOSINGS.apply(self.world, Step(Trouble.REPLACE, which, 0.0))
            self.world.run_for(SETTLE_S)
        self.assertTrue(self.world.may_lose())
        CLOSINGS.apply(self.world, Step(Trouble.REPLACE, 1, 0.0))
        self.world.run_for(self.LOSS_DELAY_S)
        newest = max(self.world.stores.values(), key=_number)
        self.check_serves_after_power_loss(newest)


class NewVoterLosesDiskTest(unittest.TestCase):
    """A successor must not vote together with the removed voter that it replaces.

    A store is replaced, and the successor loses its disk when all lose power. There was no leader
    afterwards for some delays between its start and the power loss: the successor had become a
    voter beside the removed one, so a majority was three of four, of which only two were left. The
    voters were the first three stores and the successor.
    """

    seed = 1
    DELAYS_S = (1.05, 1.1, 1.15, 1.2, 1.25)

    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_site_serves_after_each_delay(self) -> None:
        violations = {delay_s: self.violations_after(delay_s) for delay_s in self.DELAYS_S}
        self.assertEqual(violations, {delay_s: [] for delay_s in self.DELAYS_S})

    def violations_after(self, delay_s: float) -> list[Broken]:
        world = ClosingWorld.opened(self.seed)
        try:
            CLOSINGS.apply(world, Step(Trouble.REPLACE, 1, 0.0))
            world.run_for(delay_s)
            return world.close_down(max(world.stores.values(), key=_number))
        finally:
            world.close()


def _number(machine: SimMachine) -> int:
    """Number of a store; later stores have higher numbers than the initial ones."""
    return int(machine.name.rpartition("-")[2])


def _fronts_of(machine: SimMachine) -> int:
    """Number of fronts that follow a store."""
    return len(machine.replica.demand.front_requested_at_s) if machine.replica is not None else 0
