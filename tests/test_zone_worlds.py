"""Closed zones in a simulated site, with one failure per test."""

import unittest
from collections.abc import Callable
from unittest import mock

from prometheus_client import generate_latest

from bendshed.catalog import demand
from bendshed.catalog.server import CATALOG_METHOD
from bendshed.identifiers import rendezvous_rank
from bendshed.rehearsal.site.documents import WIDE
from bendshed.rehearsal.site.programs import AgentProgram, ProgramPlan
from bendshed.rehearsal.site.sim_world import PEER_PORT, TIMES, SimMachine, SiteWorld
from bendshed.rehearsal.site.sim_zones import RUNNER_ZONES, ZONE_CLOSE_S
from bendshed.turns.node import TurnLogNode
from bendshed.wire import catalog_pb2 as wire

ZONE, OTHER = RUNNER_ZONES[1], RUNNER_ZONES[0]
PROPAGATION_S = 0.5
"""A change that the registry reader receives reaches all fronts within this time."""


class ZoneWorldTestCase(unittest.TestCase):
    """Enough fronts request the catalog for one replica machine to read the registry for all."""

    def setUp(self) -> None:
        patch = mock.patch.object(demand, "MIN_SHARED_REQUESTERS", 1)
        patch.start()
        self.addCleanup(patch.stop)
        self.world = SiteWorld.started(5)
        self.addCleanup(self.world.close)
        self.world.run_for(3.0)
        self.front = self.world.fronts["front-1"]

    def closed_at(self, machine: SimMachine) -> set[str]:
        node = machine.front if machine.front is not None else None
        if node is None:
            assert machine.replica is not None
            return set(machine.replica.catalog.zones.record.zones.closed)
        return set(node.zones.record.zones.closed)

    def assert_closed_everywhere(self, *zones: str) -> None:
        for machine in [*self.world.fronts.values(), *self.world.stores.values()]:
            self.assertEqual(self.closed_at(machine), set(zones), machine.name)

    def is_fresh(self) -> bool:
        assert self.front.front is not None
        return self.front.front.catalog.is_fresh

    def ranked_stores(self) -> list[SimMachine]:
        names = rendezvous_rank(CATALOG_METHOD, self.world.stores)
        return [self.world.stores[name] for name in names]

    def cut(self, *pairs: tuple[SimMachine | str, SimMachine]) -> None:
        for one, other in pairs:
            host = one if isinstance(one, str) else one.host
            self.world.network.cuts.update({(host, other.host), (other.host, host)})

    def start_programs(self) -> list[AgentProgram]:
        plan = ProgramPlan(turns=2, tools=2)
        return [self.world.start_program(plan, tenant=WIDE) for _ in range(8)]

    def assert_no_run_starts(self, zone: str, since_s: float) -> None:
        late = [
            run.request_id
            for run in self.world.seen.runs
            if run.arrived_s > since_s and self.world.seen.zones_of[run.runner_id] == zone
        ]
        self.assertEqual(late, [])


class ClosingTest(ZoneWorldTestCase):
    def test_closing_reaches_all_machines_and_no_run_starts_there(self) -> None:
        self.world.close_zone(ZONE)
        self.world.run_for(PROPAGATION_S)
        self.assert_closed_everywhere(ZONE)
        since_s = self.world.loop.time()
        programs = self.start_programs()
        self.world.run_for(3.0)
        self.assertTrue(all(program.finished for program in programs))
        self.assert_no_run_starts(ZONE, since_s)
        self.world.open_zones()
        self.world.run_for(PROPAGATION_S)
        self.assert_closed_everywhere()

    def metric(self, machine: SimMachine, name: str) -> float:
        text = generate_latest(self.world.metrics[machine.process.name].registry).decode()
        row = next(row for row in text.splitlines() if row.startswith(f"{name} "))
        return float(row.rpartition(" ")[2])

    def test_metrics_report_number_duration_and_age(self) -> None:
        self.world.close_zone(ZONE)
        self.world.run_for(2.0)
        for machine in (self.front, self.ranked_stores()[0]):
            self.assertEqual(self.metric(machine, "bendshed_closed_zones"), 1)
            closed_s = self.metric(machine, "bendshed_closed_zones_seconds")
            self.assertAlmostEqual(closed_s, 2.0, delta=PROPAGATION_S)
            age_s = self.metric(machine, "bendshed_closed_zones_age_seconds")
            assert TIMES.zones_lag_s is not None
            self.assertLess(age_s, TIMES.max_age_s + TIMES.zones_lag_s)

    def test_a_runner_that_starts_there_gets_no_run(self) -> None:
        self.world.close_zone(ZONE)
        self.world.run_for(PROPAGATION_S)
        since_s = self.world.loop.time()
        self.world.replace_runner("engine-2")
        self.world.replace_runner("tool-2")
        self.world.run_for(PROPAGATION_S)
        self.start_programs()
        self.world.run_for(2.0)
        self.assert_no_run_starts(ZONE, since_s)

    def test_running_work_there_completes(self) -> None:
        for runner in self.world.runners.values():
            runner.troubles.slow = 6.0
        self.start_programs()
        self.world.run_for(0.3)
        running = [
            run.request_id
            for run in self.world.seen.runs
            if run.ended_s is None and self.world.seen.zones_of[run.runner_id] == ZONE
        ]
        self.assertTrue(running)
        self.world.close_zone(ZONE)
        self.world.run_for(4.0)
        ended = {r.request_id: (r.status, r.is_whole) for r in self.world.seen.requests}
        self.assertEqual({ended[name] for name in running}, {(200, True)})

    def test_with_all_zones_closed_requests_are_refused_immediately(self) -> None:
        for zone in RUNNER_ZONES:
            self.world.zones.close(zone, self.world.loop.time())
        self.world.run_for(PROPAGATION_S)
        since_s = self.world.loop.time()
        self.start_programs()
        self.world.run_for(2.0)
        sent = [r for r in self.world.seen.requests if r.sent_s > since_s]
        self.assertEqual({request.status for request in sent}, {503})
        self.assertLess(max(r.ended_s - r.sent_s for r in sent), 0.1)

    def test_closed_while_the_reader_cannot_reach_the_registry(self) -> None:
        self.cut(("registry", self.ranked_stores()[0]))
        self.world.close_zone(ZONE)
        self.world.run_for(PROPAGATION_S + 1.0)
        self.assert_closed_everywhere(ZONE)

    def test_closed_while_no_replica_machine_reaches_the_registry(self) -> None:
        self.cut(*(("registry", store) for store in self.world.stores.values()))
        self.world.close_zone(ZONE)
        self.world.run_for(0.75 * ZONE_CLOSE_S)
        for front in self.world.fronts.values():
            self.assertEqual(self.closed_at(front), {ZONE})

    def test_closed_while_a_front_reaches_no_other_machine(self) -> None:
        self.cut(*((self.front, store) for store in self.world.stores.values()))
        self.cut(*((self.front, one) for one in self.world.fronts.values() if one != self.front))
        self.world.close_zone(ZONE)
        self.world.run_for(0.75 * ZONE_CLOSE_S)
        self.assertEqual(self.closed_at(self.front), {ZONE})

    def test_no_front_is_fresh_while_its_zones_are_outdated(self) -> None:
        """The registry answers all other reads, but replica machines take in no zones any more."""
        self.assertTrue(self.is_fresh())
        with mock.patch.object(TurnLogNode, "apply_zones", lambda _node, _update: None):
            self.world.close_zone(ZONE)
            assert TIMES.zones_lag_s is not None
            self.world.run_for(TIMES.max_age_s + TIMES.zones_lag_s + 0.2)
            self.assertFalse(self.is_fresh())
            self.assertEqual(self.closed_at(self.front), {ZONE})
        self.world.run_for(3.0)
        self.assertTrue(self.is_fresh())

    def test_a_front_that_starts_while_the_registry_is_down_receives_the_closing(self) -> None:
        self.world.close_zone(ZONE)
        self.world.run_for(PROPAGATION_S)
        self.world.registry.is_down = True
        self.world.kill(self.front)
        self.world.run_for(0.5)
        self.world.restart(self.front)
        self.world.run_for(1.5)
        self.assertEqual(self.closed_at(self.front), {ZONE})


class AnswerTest(ZoneWorldTestCase):
    def answer(self, zones_at: int) -> tuple[wire.CatalogReply, float]:
        """Reader's reply to a request that is current but for zones, and the time taken in s."""
        reader = self.ranked_stores()[0].replica
        assert reader is not None
        request = wire.CatalogRequest(
            runners_at=reader.catalog.catalog.runners_at,
            document_version=reader.catalog.catalog.version,
            directory_digest=reader.directory.digest(),
            wait_ms=5000,
            asker=wire.PeerAddress(host=self.front.host, port=PEER_PORT),
            zones_at=zones_at,
        )
        began_s = self.world.loop.time()
        answering = reader._catalog_parts.server.handle(request.SerializeToString())
        content = self.world.loop.run_until_complete(answering)
        return wire.CatalogReply.FromString(content), self.world.loop.time() - began_s

    def test_a_requester_without_the_closing_is_answered_immediately_and_others_wait(self) -> None:
        self.world.close_zone(ZONE)
        self.world.run_for(PROPAGATION_S)
        reply, took_s = self.answer(zones_at=1)
        self.assertEqual((list(reply.closed_zones), took_s), ([ZONE], 0.0))
        _, took_s = self.answer(reply.zones_at)
        self.assertGreater(took_s, 1.0)


class OpeningTest(ZoneWorldTestCase):
    def open_zone_during_pause(self) -> tuple[float, list[tuple[str, float]]]:
        """Time at which a zone was opened, and the openings that a paused front then received."""
        node = self.front.front
        assert node is not None
        received: list[tuple[str, float]] = []
        node.zones.on_zone_opened.append(lambda zone, at_s: received.append((zone, at_s)))
        self.front.process.paused = True
        self.world.close_zone(ZONE)
        self.world.run_for(2.0)
        self.world.open_zones()
        opened_s = self.world.loop.time()
        self.world.run_for(6.0)
        self.front.process.resume(self.world.loop)
        self.world.run_for(1.0)
        return opened_s, received

    def test_a_paused_front_receives_an_opening_without_its_closing(self) -> None:
        self.cut(("registry", self.front))
        opened_s, received = self.open_zone_during_pause()
        self.assertEqual([zone for zone, _ in received], [ZONE])
        self.assertAlmostEqual(received[0][1], opened_s, delta=PROPAGATION_S)

    def test_a_paused_front_that_reads_the_registry_dates_the_opening_late(self) -> None:
        """The registry does not report the time of the opening; one that is too late is safe."""
        opened_s, received = self.open_zone_during_pause()
        self.assertEqual([zone for zone, _ in received], [ZONE])
        self.assertGreaterEqual(received[0][1], opened_s)

    def test_every_machine_reports_an_opening_once(self) -> None:
        received: list[str] = []
        for store in self.world.stores.values():
            assert store.replica is not None
            store.replica.catalog.zones.on_zone_opened.append(
                lambda zone, _at: received.append(zone)
            )
        self.world.close_zone(ZONE)
        self.world.run_for(2.0)
        self.world.open_zones()
        self.world.run_for(2.0)
        self.world.publish()
        self.world.listed.pop("engine-3")
        self.world.run_for(6.0)
        self.assertEqual(received, [ZONE] * len(self.world.stores))


class RestartTest(ZoneWorldTestCase):
    def restart_all_without_registry(self, before_start: Callable[[], None] = lambda: None) -> None:
        self.world.registry.is_down = True
        machines = [*self.world.fronts.values(), *self.world.stores.values()]
        for machine in machines:
            self.world.kill(machine)
        self.world.run_for(0.5)
        before_start()
        for machine in machines:
            self.world.restart(machine)

    def test_a_restart_while_the_registry_is_down_opens_no_zone(self) -> None:
        self.world.close_zone(ZONE)
        self.world.run_for(ZONE_CLOSE_S)
        self.restart_all_without_registry()
        since_s = self.world.loop.time()
        self.world.run_for(1.0)
        self.start_programs()
        self.world.run_for(3.0)
        self.assert_closed_everywhere(ZONE)
        self.assertTrue([run for run in self.world.seen.runs if run.arrived_s > since_s])
        self.assert_no_run_starts(ZONE, since_s)

    def test_an_outdated_saved_file_of_the_first_machine_is_soon_corrected(self) -> None:
        first = self.ranked_stores()[0]
        disk = first.disk
        assert disk is not None
        old = disk.catalog
        self.world.close_zone(ZONE)
        self.world.run_for(ZONE_CLOSE_S)
        self.restart_all_without_registry(lambda: setattr(disk, "catalog", old))
        self.assertEqual(self.closed_at(first), set())
        self.world.run_for(2.0)
        self.assert_closed_everywhere(ZONE)

    def test_the_registry_overrides_an_outdated_saved_file(self) -> None:
        """The zone is closed in the saved file, and was opened while the machine was down."""
        store = self.ranked_stores()[0]
        self.world.close_zone(ZONE)
        self.world.run_for(ZONE_CLOSE_S)
        self.world.kill(store)
        self.world.open_zones()
        self.world.run_for(1.0)
        self.world.restart(store)
        self.world.run_for(1.0)
        self.assert_closed_everywhere()
        assert store.replica is not None
        self.assertIn(ZONE, store.replica.catalog.zones.record.opened_at_s)


if __name__ == "__main__":
    unittest.main()
