"""A front that lost the turn log is not ready, so clients go elsewhere, until it recovers."""

import unittest

from bendshed.rehearsal.site.documents import NARROW
from bendshed.rehearsal.site.layout import SiteLayout
from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.records import Kind, SiteRequest
from bendshed.rehearsal.site.sim_world import SimMachine, SiteWorld

IMMEDIATE_S = 0.05
ZONES = ("zone-a", "zone-b", "zone-c")
NINE_FRONTS = SiteLayout(front_zones=ZONES * 3, store_zones=ZONES, num_voters=3)
"""Enough fronts that one store reads the registry for all and holds their catalog requests open."""


class ReadinessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = SiteWorld.started(1)
        self.addCleanup(self.world.close)
        self.front = self.world.fronts["front-1"]

    def is_ready(self, machine: SimMachine) -> bool:
        async def ask() -> bool:
            assert machine.front is not None
            return machine.front.is_ready

        return bool(
            self.world.loop.run_until_complete(machine.process.spawn(self.world.loop, ask()))
        )

    def disconnect_from(self, others: list[SimMachine]) -> None:
        for other in others:
            self.world.network.cuts.add((self.front.host, other.host))

    def test_front_without_stores_serves_through_other_fronts(self) -> None:
        self.disconnect_from(list(self.world.stores.values()))
        for _ in range(6):
            self.world.start_program(ProgramPlan(turns=3, tools=0))
        self.world.run_for(4.0)
        self.assertTrue(all(program.finished for program in self.world.programs))
        self.assertEqual({r.status for r in self.world.seen.requests}, {200})
        self.assertTrue(self.is_ready(self.front))

    def test_isolated_front_is_not_ready_until_it_is_reconnected(self) -> None:
        self.assertTrue(self.is_ready(self.front))
        fronts = [front for front in self.world.fronts.values() if front is not self.front]
        self.disconnect_from([*self.world.stores.values(), *fronts])
        for _ in range(6):
            self.world.start_program(ProgramPlan(turns=1, tools=0))
        self.world.run_for(4.0)
        self.assertFalse(self.is_ready(self.front))
        self.assertTrue(self.is_ready(self.world.fronts["front-2"]))
        self.world.network.cuts.clear()
        self.world.run_for(1.5)
        self.assertTrue(self.is_ready(self.front))

    def test_isolated_front_refuses_turns_immediately(self) -> None:
        fronts = [front for front in self.world.fronts.values() if front is not self.front]
        self.disconnect_from([*self.world.stores.values(), *fronts])
        for _ in range(6):
            self.world.start_program(ProgramPlan(turns=1, tools=0))
        self.world.run_for(4.0)
        before = len(self.world.seen.requests)
        for _ in range(6):
            self.world.start_program(ProgramPlan(turns=1, tools=0))
        self.world.run_for(1.0)
        here = [r for r in self.world.seen.requests[before:] if r.node == self.front.name]
        self.assertTrue(here)
        for request in here:
            self.assertEqual(request.status, 503)
            self.assertLess(request.ended_s - request.sent_s, IMMEDIATE_S)

    def test_fronts_stay_ready_during_a_leader_change(self) -> None:
        leader = self.world.leader()
        assert leader is not None
        self.world.kill(leader)
        self.world.start_program(ProgramPlan(turns=1, tools=0))
        self.world.run_for(1.2)
        self.assertTrue(all(self.is_ready(front) for front in self.world.fronts.values()))


class CancelledRequestTest(unittest.TestCase):
    """The client of an isolated front's only request cancels it before the request has failed.

    From the first failed path on, the front counts as isolated and rejects turns immediately. Only
    a request that had failed on all paths started the probes that end this state, and catalog
    requests held open at a store are not counted, so the front did not recover. The cancellation
    times cover a whole attempt.

    Observed: 12 s after power returned, a site served nothing; no log was kept. The test shows the
    fault at one front, which alone does not explain a whole site.
    """

    FIRST_CANCEL_S, CANCEL_STEP_S, NUM_CANCEL_TIMES = 0.1, 0.002, 75
    RECOVERY_S = 2.5

    def setUp(self) -> None:
        self.world = SiteWorld.started(1, NINE_FRONTS)
        self.addCleanup(self.world.close)
        self.front = self.world.fronts["front-1"]

    def is_ready(self) -> bool:
        async def ask() -> bool:
            assert self.front.front is not None
            return self.front.front.is_ready

        return bool(
            self.world.loop.run_until_complete(self.front.process.spawn(self.world.loop, ask()))
        )

    def isolate(self) -> None:
        others = [*self.world.fronts.values(), *self.world.stores.values()]
        for other in others:
            if other is not self.front:
                self.world.network.cuts.add((self.front.host, other.host))

    def cancel_after(self, number: int, cancelled_after_s: float) -> None:
        request = SiteRequest(
            request_id=f"call-{number}",
            kind=Kind.REPEATABLE,
            program_id="",
            sent_s=self.world.loop.time(),
            node=self.front.name,
            tenant=NARROW,
        )
        self.world.clients.spawn(self.world.loop, self.world.send(request))
        self.world.run_for(cancelled_after_s)
        self.world.leave(request)

    def test_front_is_ready_again_whenever_the_client_cancelled(self) -> None:
        for number in range(self.NUM_CANCEL_TIMES):
            cancelled_after_s = self.FIRST_CANCEL_S + number * self.CANCEL_STEP_S
            self.isolate()
            self.cancel_after(number, cancelled_after_s)
            self.world.run_for(IMMEDIATE_S)
            self.world.network.cuts.clear()
            self.world.run_for(self.RECOVERY_S)
            self.assertTrue(self.is_ready(), cancelled_after_s)


class LateFrontsTest(unittest.TestCase):
    """All machines lose power, and fronts start later than stores while the registry is down.

    Fronts save nothing and cannot read the registry. Stores greeted the fronts that they had saved
    only during the first ten seconds after their own start, so a front that started later knew no
    store until the registry was back. Here all fronts start 12 s after the stores.

    Observed: 12 s after power returned, a site served nothing; no log was kept. It is not proven
    that its fronts started so late.
    """

    SAVE_S, FRONT_DELAY_S, DISCOVERY_S, LONG_OUTAGE_S = 4.0, 12.0, 4.0, 40.0

    def setUp(self) -> None:
        self.world = SiteWorld.started(1, NINE_FRONTS)
        self.addCleanup(self.world.close)
        self.world.run_for(self.SAVE_S)
        self.world.registry.is_down = True

    def do_all_fronts_serve(self) -> bool:
        programs = []
        for name in self.world.fronts:
            program = self.world.start_program(ProgramPlan(turns=1, tools=0))
            program.pick_node = lambda front=name: front
            programs.append(program)
        self.world.run_for(self.DISCOVERY_S)
        return all(program.finished for program in programs)

    def test_after_a_power_loss_of_all_machines(self) -> None:
        fronts, stores = list(self.world.fronts.values()), list(self.world.stores.values())
        for machine in [*fronts, *stores]:
            self.world.kill(machine)
        for store in stores:
            self.world.restart(store)
        self.world.run_for(self.FRONT_DELAY_S)
        for front in fronts:
            self.world.restart(front)
        self.world.run_for(self.DISCOVERY_S)
        self.assertTrue(self.do_all_fronts_serve())

    def test_after_a_long_power_loss_of_the_fronts(self) -> None:
        fronts = list(self.world.fronts.values())
        for front in fronts:
            self.world.kill(front)
        self.world.run_for(self.LONG_OUTAGE_S)
        for front in fronts:
            self.world.restart(front)
        self.world.run_for(self.DISCOVERY_S)
        self.assertTrue(self.do_all_fronts_serve())

    def test_after_a_power_loss_of_the_fronts_and_one_store(self) -> None:
        """The other stores keep running; they know the fronts from the store that lost power."""
        fronts = list(self.world.fronts.values())
        for store in list(self.world.stores.values()):
            for machine in [*fronts, store]:
                self.world.kill(machine)
            for front in fronts:
                self.world.restart(front)
            self.world.run_for(self.DISCOVERY_S)
            self.assertTrue(self.do_all_fronts_serve(), store.name)
            self.world.restart(store)
            self.world.run_for(self.DISCOVERY_S)


class LostReaderDiskTest(unittest.TestCase):
    """All machines lose power, one store also its disk, and the registry is down from then on.

    Fronts save nothing, and only the store that reads the registry for all had saved the fronts: a
    store did not save those that another one reported to it unless something else changed in the
    same seconds. If the reader's disk was lost, there was a leader and all fronts ran, but none
    knew a store.

    Observed: 12 s after power returned, a site served nothing, once and not in a replay; no log was
    kept. It is not proven that its registry was down for so long and that the lost disk was the
    reader's.
    """

    SEEDS = (1, 2, 3)
    SETTLE_S, POWER_OFF_S, DISCOVERY_S = 8.0, 1.0, 4.0

    def test_all_fronts_serve_whichever_disk_is_lost(self) -> None:
        for seed in self.SEEDS:
            for lost in ("store-1", "store-2", "store-3"):
                self.assertEqual(self.num_served_after_losing(lost, seed), 9, (seed, lost))

    def num_served_after_losing(self, lost: str, seed: int) -> int:
        """Return the number of fronts that finish a program."""
        world = SiteWorld.started(seed, NINE_FRONTS)
        try:
            world.run_for(self.SETTLE_S)
            world.registry.is_down = True
            machines = [*world.fronts.values(), *world.stores.values()]
            for machine in machines:
                world.kill(machine)
            world.stores[lost].lose_disk()
            world.run_for(self.POWER_OFF_S)
            for machine in machines:
                world.restart(machine)
            world.run_for(self.DISCOVERY_S)
            programs = []
            for name in world.fronts:
                program = world.start_program(ProgramPlan(turns=1, tools=0))
                program.pick_node = lambda front=name: front
                programs.append(program)
            world.run_for(self.DISCOVERY_S)
            return sum(program.finished for program in programs)
        finally:
            world.close()
