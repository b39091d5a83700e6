"""Closed zones in a simulated site, with one failure each."""

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
TOLD_S = 0.5
"""By then a change that the reader hears has reached all fronts."""


class ZoneWorldTest(unittest.TestCase):
    """Enough fronts ask that one replica machine reads the registry for all."""

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

    def assert_all_know(self, *zones: str) -> None:
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

    def play(self) -> list[AgentProgram]:
        plan = ProgramPlan(turns=2, tools=2)
        return [self.world.start_program(plan, tenant=WIDE) for _ in range(8)]

    def assert_nothing_reaches(self, zone: str, since_s: float) -> None:
        late = [
            run.request_id
            for run in self.world.seen.runs
            if run.arrived_s > since_s and self.world.seen.zones_of[run.runner_id] == zone
        ]
        self.assertEqual(late, [])


class ClosingTest(ZoneWorldTest):
    def test_all_know_it_soon_and_nothing_reaches_it(self) -> None:
        self.world.close_zone(ZONE)
        self.world.run_for(TOLD_S)
        self.assert_all_know(ZONE)
        since_s = self.world.loop.time()
        programs = self.play()
        self.world.run_for(3.0)
        self.assertTrue(all(program.finished for program in programs))
        self.assert_nothing_reaches(ZONE, since_s)
        self.world.open_zones()
        self.world.run_for(TOLD_S)
        self.assert_all_know()

    def metric(self, machine: SimMachine, name: str) -> float:
        text = generate_latest(self.world.metrics[machine.process.name].registry).decode()
        row = next(row for row in text.splitlines() if row.startswith(f"{name} "))
        return float(row.rpartition(" ")[2])

    def test_metrics_tell_how_many_since_when_and_how_old_the_word_is(self) -> None:
        self.world.close_zone(ZONE)
        self.world.run_for(2.0)
        for machine in (self.front, self.ranked_stores()[0]):
            self.assertEqual(self.metric(machine, "bendshed_closed_zones"), 1)
            closed_s = self.metric(machine, "bendshed_closed_zones_seconds")
            self.assertAlmostEqual(closed_s, 2.0, delta=TOLD_S)
            age_s = self.metric(machine, "bendshed_closed_zones_age_seconds")
            assert TIMES.zones_lag_s is not None
            self.assertLess(age_s, TIMES.max_age_s + TIMES.zones_lag_s)

    def test_a_runner_that_starts_there_is_closed(self) -> None:
        self.world.close_zone(ZONE)
        self.world.run_for(TOLD_S)
        since_s = self.world.loop.time()
        self.world.replace_runner("engine-2")
        self.world.replace_runner("tool-2")
        self.world.run_for(TOLD_S)
        self.play()
        self.world.run_for(2.0)
        self.assert_nothing_reaches(ZONE, since_s)

    def test_work_under_way_there_ends_whole(self) -> None:
        for runner in self.world.runners.values():
            runner.troubles.slow = 6.0
        self.play()
        self.world.run_for(0.3)
        under_way = [
            run.request_id
            for run in self.world.seen.runs
            if run.ended_s is None and self.world.seen.zones_of[run.runner_id] == ZONE
        ]
        self.assertTrue(under_way)
        self.world.close_zone(ZONE)
        self.world.run_for(4.0)
        ended = {r.request_id: (r.status, r.is_whole) for r in self.world.seen.requests}
        self.assertEqual({ended[name] for name in under_way}, {(200, True)})

    def test_with_all_zones_closed_requests_are_refused_at_once(self) -> None:
        for zone in RUNNER_ZONES:
            self.world.zones.close(zone, self.world.loop.time())
        self.world.run_for(TOLD_S)
        since_s = self.world.loop.time()
        self.play()
        self.world.run_for(2.0)
        asked = [r for r in self.world.seen.requests if r.sent_s > since_s]
        self.assertEqual({request.status for request in asked}, {503})
        self.assertLess(max(r.ended_s - r.sent_s for r in asked), 0.1)

    def test_closed_while_the_reader_is_cut_from_the_registry(self) -> None:
        self.cut(("registry", self.ranked_stores()[0]))
        self.world.close_zone(ZONE)
        self.world.run_for(TOLD_S + 1.0)
        self.assert_all_know(ZONE)

    def test_closed_while_no_replica_machine_hears_the_registry(self) -> None:
        self.cut(*(("registry", store) for store in self.world.stores.values()))
        self.world.close_zone(ZONE)
        self.world.run_for(0.75 * ZONE_CLOSE_S)
        for front in self.world.fronts.values():
            self.assertEqual(self.closed_at(front), {ZONE})

    def test_closed_while_the_replica_machines_are_silent(self) -> None:
        self.cut(*((self.front, store) for store in self.world.stores.values()))
        self.cut(*((self.front, one) for one in self.world.fronts.values() if one != self.front))
        self.world.close_zone(ZONE)
        self.world.run_for(0.75 * ZONE_CLOSE_S)
        self.assertEqual(self.closed_at(self.front), {ZONE})

    def test_no_front_counts_as_informed_while_its_word_of_zones_is_old(self) -> None:
        """The registry answers on all else, and no replica machine hears of zones any more."""
        self.assertTrue(self.is_fresh())
        with mock.patch.object(TurnLogNode, "apply_zones", lambda _node, _word: None):
            self.world.close_zone(ZONE)
            assert TIMES.zones_lag_s is not None
            self.world.run_for(TIMES.max_age_s + TIMES.zones_lag_s + 0.2)
            self.assertFalse(self.is_fresh())
            self.assertEqual(self.closed_at(self.front), {ZONE})
        self.world.run_for(3.0)
        self.assertTrue(self.is_fresh())

    def test_a_front_that_starts_while_the_registry_is_away_is_told(self) -> None:
        self.world.close_zone(ZONE)
        self.world.run_for(TOLD_S)
        self.world.registry.is_down = True
        self.world.kill(self.front)
        self.world.run_for(0.5)
        self.world.restart(self.front)
        self.world.run_for(1.5)
        self.assertEqual(self.closed_at(self.front), {ZONE})


class AnswerTest(ZoneWorldTest):
    def answer(self, zones_at: int) -> tuple[wire.CatalogReply, float]:
        """What the reader answers who knows all but closed zones, and after how long."""
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

    def test_who_lacks_a_closing_is_answered_at_once_and_others_wait(self) -> None:
        self.world.close_zone(ZONE)
        self.world.run_for(TOLD_S)
        reply, took_s = self.answer(zones_at=1)
        self.assertEqual((list(reply.closed_zones), took_s), ([ZONE], 0.0))
        _, took_s = self.answer(reply.zones_at)
        self.assertGreater(took_s, 1.0)


class OpeningTest(ZoneWorldTest):
    def slept_through(self) -> tuple[float, list[tuple[str, float]]]:
        """When a zone was opened, and what a front that slept meanwhile heard of it."""
        node = self.front.front
        assert node is not None
        heard: list[tuple[str, float]] = []
        node.zones.on_zone_opened.append(lambda zone, at_s: heard.append((zone, at_s)))
        self.front.process.paused = True
        self.world.close_zone(ZONE)
        self.world.run_for(2.0)
        self.world.open_zones()
        opened_s = self.world.loop.time()
        self.world.run_for(6.0)
        self.front.process.resume(self.world.loop)
        self.world.run_for(1.0)
        return opened_s, heard

    def test_a_front_that_slept_is_told_of_an_opening_without_its_closing(self) -> None:
        self.cut(("registry", self.front))
        opened_s, heard = self.slept_through()
        self.assertEqual([zone for zone, _ in heard], [ZONE])
        self.assertAlmostEqual(heard[0][1], opened_s, delta=TOLD_S)

    def test_a_front_that_slept_and_reads_for_itself_takes_the_opening_for_later(self) -> None:
        """The registry does not tell when it was; too late is too careful."""
        opened_s, heard = self.slept_through()
        self.assertEqual([zone for zone, _ in heard], [ZONE])
        self.assertGreaterEqual(heard[0][1], opened_s)

    def test_every_machine_tells_an_opening_once(self) -> None:
        heard: list[str] = []
        for store in self.world.stores.values():
            assert store.replica is not None
            store.replica.catalog.zones.on_zone_opened.append(lambda zone, _at: heard.append(zone))
        self.world.close_zone(ZONE)
        self.world.run_for(2.0)
        self.world.open_zones()
        self.world.run_for(2.0)
        self.world.publish()
        self.world.listed.pop("engine-3")
        self.world.run_for(6.0)
        self.assertEqual(heard, [ZONE] * len(self.world.stores))


class RestartTest(ZoneWorldTest):
    def restart_all_in_the_dark(self, before_start: Callable[[], None] = lambda: None) -> None:
        self.world.registry.is_down = True
        machines = [*self.world.fronts.values(), *self.world.stores.values()]
        for machine in machines:
            self.world.kill(machine)
        self.world.run_for(0.5)
        before_start()
        for machine in machines:
            self.world.restart(machine)

    def test_a_start_while_the_registry_is_away_opens_nothing(self) -> None:
        self.world.close_zone(ZONE)
        self.world.run_for(ZONE_CLOSE_S)
        self.restart_all_in_the_dark()
        since_s = self.world.loop.time()
        self.world.run_for(1.0)
        self.play()
        self.world.run_for(3.0)
        self.assert_all_know(ZONE)
        self.assertTrue([run for run in self.world.seen.runs if run.arrived_s > since_s])
        self.assert_nothing_reaches(ZONE, since_s)

    def test_an_old_kept_file_of_the_first_machine_opens_nothing_for_long(self) -> None:
        first = self.ranked_stores()[0]
        disk = first.disk
        assert disk is not None
        old = disk.catalog
        self.world.close_zone(ZONE)
        self.world.run_for(ZONE_CLOSE_S)
        self.restart_all_in_the_dark(lambda: setattr(disk, "catalog", old))
        self.assertEqual(self.closed_at(first), set())
        self.world.run_for(2.0)
        self.assert_all_know(ZONE)

    def test_an_old_kept_file_yields_to_the_registry(self) -> None:
        """Closed on the disk, opened while the machine was down."""
        store = self.ranked_stores()[0]
        self.world.close_zone(ZONE)
        self.world.run_for(ZONE_CLOSE_S)
        self.world.kill(store)
        self.world.open_zones()
        self.world.run_for(1.0)
        self.world.restart(store)
        self.world.run_for(1.0)
        self.assert_all_know()
        assert store.replica is not None
        self.assertIn(ZONE, store.replica.catalog.zones.record.opened_at_s)


if __name__ == "__main__":
    unittest.main()
