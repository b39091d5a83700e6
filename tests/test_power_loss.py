"""Losses of power of a whole site, after which nothing was served: one test a fault."""

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
    """Fronts wait for a store to greet them, and no store that kept its disk knows them.

    Seen: no request is served for as long as the platform's store is silent, though a leader stands
    within half a second. How: all fronts follow one store; it loses its disk as all lose power,
    while the platform's store is down. Cause: the other stores knew the fronts by that store's word
    and had not saved them, since only a change of the catalog was saved. Proof: their files name no
    front, their memory named all.
    """

    seed = 1213

    def test_store_sends_hello_to_fronts_of_another_store(self) -> None:
        self.world.run_for(SETTLE_S)
        followed = next(m for m in self.world.stores.values() if _fronts_of(m))
        self.world.disrupt(Disruption.DOWN, BEYOND_SCENARIO_S)
        self.check_serves_after_power_loss(followed)


class TwoVotersTest(PowerLossCase):
    """One of two voters waits for an identity that is gone, and is not told.

    Seen: no leader and no request served until the platform's store answers. How: one of three
    stores is retired; later all lose power, one of the two its disk too, and the platform's store
    refuses that one. Cause: the emptied store knows nobody, so it cannot tell the voter that writes
    to its former identity that this is lost; the voter reads the registry itself, which does not
    name the new identity. Proof: the survivor is a pre-candidate that knows of no lost identity.
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
    """A successor that was away for a while is left alone long after it is back.

    Seen: no leader after a loss of power of all in which one disk was lost. How: a store is
    replaced; its successor is cut off for some seconds and in reach again for the time to catch up;
    then another loses its disk as all lose power. Cause: a machine that was taken in and stayed
    silent is left alone for 3 s, 6 s and so on, whether it answers meanwhile or not, so the removed
    store is still a voter. Proof: the voters at the loss of power are the first three.
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
    """A store that is alive is taken for one whose disk is lost.

    Seen: no leader and no request served, also once the registry answers rightly. How: a store
    loses its disk and becomes a voter again under its new identity; later all lose power, another
    its disk, and a survivor reads the first one's older announcement after its start. Cause: which
    of two identities of a machine is the lost one was told by the order in which they came, and
    what had been known of that was not on the disk. Proof: the survivor holds the live voter's
    identity among the lost ones, has no address for it, and has no quorum.
    """

    def test_wiped_identities_survive_a_restart(self) -> None:
        older = dict(self.world.registry.announced)
        CLOSINGS.apply(self.world, Step(Trouble.LOSE_DISK, 1, 0.1))
        self.assertTrue(self.world.may_lose())
        self.world.disrupt(Disruption.STALE, BEYOND_SCENARIO_S)
        self.world.disrupted.listed = older
        self.check_serves_after_power_loss(self.world.stores["store-3"])


class UnknownFormerIdentityTest(PowerLossCase):
    """A store that is alive is taken for lost by one that came later.

    Seen: as above. How: as above, and the survivor joined after the first disk was lost, so it
    never knew the older identity and could not remember that it is the lost one. Cause: nothing
    that a machine itself says sets the order right, since an identity that counts as lost never
    came back. Proof: the survivor's list names the older identity, though the machine answers under
    the newer one.
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
    """A successor waits behind machines that were removed earlier.

    Seen: no leader, and no request served, although one store after the other was replaced, each
    once the successor of the last had its time to catch up. Cause: announcements of removed
    machines stay in the registry, and a leader that knows of no failure takes one in after the
    other, for a second each, before the only one that is there. Proof: voters are machines that
    were removed.
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
    """A live voter leaves for a better placed machine while another voter is already gone.

    Seen: no leader after a loss of power of all, though only the newest store lost its disk. How:
    two voters stand in one zone; the one in another is replaced by a machine of a third. Cause: for
    a second the removed voter counts as sound, and the newcomer's zone is the better one, so one of
    the two is removed, which lives. Proof: the voters are one that lives, one that was removed, and
    the newcomer; the store that left holds the log and has no vote.
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
    """A successor loses its disk in the moment in which it and the removed voter both vote.

    Seen: no leader after a loss of power of all in which the newest store alone lost its disk, at
    some moments after its start. How: a store is replaced, and the successor loses its disk as all
    lose power. Cause: it was made a voter beside the removed one, and three of four are a majority,
    of which two are left. Proof: the voters are the first three and the successor.
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
    """Stores that came later have higher ones; those of the start are numbered below them."""
    return int(machine.name.rpartition("-")[2])


def _fronts_of(machine: SimMachine) -> int:
    """Fronts that follow a store."""
    return len(machine.replica.demand.fronts_at_s) if machine.replica is not None else 0
