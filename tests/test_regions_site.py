"""A site of two regions, 60 ms round trip apart, without faults and with isolated fronts.

A third of the fronts reaches no replica machine for 12 s while programs run. The figures are those
of a deployment whose regions are 30 ms apart one way: there such a cut reduced what was served by
0.3 to 0.5, and the same cut within one region by 0.02 to 0.15.
"""

import unittest
from unittest import mock

from bendshed.catalog import demand
from bendshed.model.places import Distance, Places
from bendshed.paths import echo
from bendshed.paths.echo import ECHO_INTERVAL_S, ECHO_TIMEOUT_S, UNREACHABLE_ROUNDS
from bendshed.rehearsal.simulator.network import LATENCY_S
from bendshed.rehearsal.site.cold import COLD_START_S
from bendshed.rehearsal.site.documents import WIDE
from bendshed.rehearsal.site.layout import BETWEEN_REGIONS_S, two_zones_a_region
from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.records import Kind, SiteRequest
from bendshed.rehearsal.site.sim_world import SimMachine, SiteWorld

PLACES = Places({"zone-a": "east", "zone-b": "east", "zone-c": "west", "zone-d": "west"})
NUM_FRONTS, NUM_PROGRAMS = 12, 60
PROGRAM_INTERVAL_S = 0.2
BUDGET_TOKENS = 6_000
DISCOVERY_S = 2.0
"""Within this time each isolated front has found a relayed path."""
MAX_TURN_S, MAX_DISCOVERY_TURN_S = 0.6, 1.0
"""A turn takes 0.2 to 0.43 s without faults; one that discovers the cut takes longer."""


class RegionsTest(unittest.TestCase):
    def start(self, seed: int) -> SiteWorld:
        patch = mock.patch.object(demand, "MIN_SHARED_REQUESTERS", 1)
        patch.start()
        self.addCleanup(patch.stop)
        world = SiteWorld.started(seed, two_zones_a_region(NUM_FRONTS))
        self.addCleanup(world.close)
        world.run_for(3.0)
        world.network.num_sent.clear()
        return world

    def run_programs(self, world: SiteWorld) -> None:
        for _ in range(NUM_PROGRAMS):
            plan = ProgramPlan(turns=3, tools=1)
            world.start_program(plan, BUDGET_TOKENS, tenant=WIDE)
            world.run_for(PROGRAM_INTERVAL_S)
        world.run_for(5.0)
        self.assertTrue(all(program.finished for program in world.programs))

    @staticmethod
    def isolate_a_third(world: SiteWorld) -> list[SimMachine]:
        """Cut every third front off from all replica machines."""
        isolated = list(world.fronts.values())[::3]
        for front in isolated:
            for store in world.stores.values():
                pairs = ((store.host, front.host), (front.host, store.host))
                world.network.cuts.update(pairs)
        return isolated

    @staticmethod
    def turns(world: SiteWorld) -> list[SiteRequest]:
        return [request for request in world.seen.requests if request.kind is Kind.TURN]

    def test_without_faults_no_request_is_sent_twice(self) -> None:
        world = self.start(1)
        self.run_programs(world)
        methods = {method for _, _, method in world.network.num_sent}
        self.assertNotIn("paths.relay", methods)
        for turn in self.turns(world):
            self.assertLess(turn.ended_s - turn.sent_s, MAX_TURN_S)

    def test_fronts_isolated_from_the_stores_serve_almost_as_fast(self) -> None:
        for seed in (1, 2):
            with self.subTest(seed=seed):
                world = self.start(seed)
                began_s = world.loop.time()
                isolated = {machine.name for machine in self.isolate_a_third(world)}
                self.run_programs(world)
                served = [turn for turn in self.turns(world) if turn.node in isolated]
                self.assertGreater(len(served), NUM_PROGRAMS // 2)
                for turn in served:
                    self.assertTrue(turn.is_whole and turn.status == 200)
                    is_discovering = turn.sent_s - began_s < DISCOVERY_S
                    max_s = MAX_DISCOVERY_TURN_S if is_discovering else MAX_TURN_S
                    self.assertLess(turn.ended_s - turn.sent_s, max_s, turn.request_id)

    def test_replica_machines_measure_round_trips_and_report_an_unreachable_region(self) -> None:
        world = self.start(1)
        world.run_for(2 * ECHO_INTERVAL_S)
        stores = [store.replica for store in world.stores.values() if store.replica is not None]
        for replica in stores:
            measured_ms = replica._distance.measured_round_trip_ms
            link_ms = 2000 * (BETWEEN_REGIONS_S + LATENCY_S)
            self.assertAlmostEqual(
                measured_ms[Distance.OTHER_REGION],
                link_ms,
                delta=2.0,
            )
            self.assertAlmostEqual(measured_ms[Distance.SAME_REGION], 2000 * LATENCY_S, delta=2.0)
        self.cut_region_link(world)
        with mock.patch.object(echo, "log") as log:
            world.run_for((UNREACHABLE_ROUNDS + 1) * (ECHO_INTERVAL_S + ECHO_TIMEOUT_S))
            self.assertEqual(
                [replica._echo.reachability.num_unreachable for replica in stores], [1] * 4
            )
            world.network.cuts.clear()
            world.run_for(2 * (ECHO_INTERVAL_S + ECHO_TIMEOUT_S))
        logged = [(call.args[0], call.kwargs["region"]) for call in log.say.call_args_list]
        lost, back = "region unreachable: no replica machine answered", "region reachable again"
        regions = ["east", "east", "west", "west"]
        expected = [(message, region) for message in (back, lost) for region in regions]
        self.assertEqual(sorted(logged), expected)

    def test_work_runs_in_another_region_only_while_its_own_has_no_runners(self) -> None:
        world = self.start(1)
        self.assertEqual(self.count_remote_runs(world), {"engines": 0, "tools": 0})
        west = [r for r in world.listed.values() if PLACES.region(r.zone) == "west"]
        for runner in west:
            del world.listed[runner.runner_id]
        world.run_for(1.0)
        remote = self.count_remote_runs(world)
        self.assertGreater(remote["engines"], 0)
        self.assertGreater(remote["tools"], 0)
        for runner in west:
            world.listed[runner.runner_id] = runner
        world.run_for(1.0 + COLD_START_S)  # a relisted runner counts as just started
        self.assertEqual(self.count_remote_runs(world), {"engines": 0, "tools": 0})

    def count_remote_runs(self, world: SiteWorld) -> dict[str, int]:
        """Run programs; count requests that ran outside their front's region, by service."""
        num_before = len(world.seen.requests)
        self.run_programs(world)
        nodes = {row.request_id: row.node for row in world.seen.requests[num_before:]}
        remote = {"engines": 0, "tools": 0}
        for run in world.seen.runs:
            node = nodes.get(run.request_id)
            if node is None:
                continue
            runner = world.runners[run.runner_id]
            if PLACES.distance(world.fronts[node].zone, runner.zone) is Distance.OTHER_REGION:
                remote[runner.service] += 1
        return remote

    @staticmethod
    def cut_region_link(world: SiteWorld) -> None:
        machines = [*world.fronts.values(), *world.stores.values()]
        for machine in machines:
            for other in machines:
                if PLACES.distance(machine.zone, other.zone) is Distance.OTHER_REGION:
                    world.network.cuts.add((machine.host, other.host))


if __name__ == "__main__":
    unittest.main()
