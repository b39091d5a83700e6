"""Connections to the platform's store that become silent, while new ones work."""

import logging
import unittest
from collections.abc import Callable
from contextlib import AbstractContextManager

from bendshed.catalog.server import CATALOG_METHOD
from bendshed.identifiers import rendezvous_rank
from bendshed.platform import names
from bendshed.rehearsal.site.layout import SMALL
from bendshed.rehearsal.site.silence_world import LARGE, Part, SilenceWorld, known_level
from bendshed.rehearsal.site.silences import SILENCES, STEPS_PER_SILENCE
from bendshed.rehearsal.site.sim_objects import ONE_WAY_S
from bendshed.rehearsal.site.sim_world import APPLY_S, CONTACT_S, SimMachine
from bendshed.rehearsal.site.sim_zones import RUNNER_ZONES, ZONE_CLOSE_S
from tests.site_silence_defects import DEFECTS

NUM_SEEDS = 6
MAX_DEFECT_SEEDS = 12
KINDS = {
    Part.CONFIGURATION: names.CONFIGURATION_KIND,
    Part.RUNNERS: names.RUNNER_KIND,
    Part.ZONES: names.CLOSED_ZONE_KIND,
}
CHANGE_TIMES_S = (0.0, 0.5, 1.0, 2.0, CONTACT_S)
"""From the silence to the change: before, when and after the machines are in touch again."""
START_S = 0.3
"""A front that starts has an update of a store by then, and has not read for itself."""


def is_watching(world: SilenceWorld, name: str, kind: str) -> bool:
    return any(row.watched_kind == kind for row in world.sources[name].connections)


def wait_for_watches(world: SilenceWorld, machines: list[SimMachine], kind: str) -> None:
    """Wait until each machine has a watch of a kind under way."""
    while not all(is_watching(world, machine.name, kind) for machine in machines):
        world.run_for(ONE_WAY_S)


class SilentLogsTestCase(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)


class SilentWatchTest(SilentLogsTestCase):
    """A front and the store that it follows both wait on connections that became silent."""

    def open_world(self, seed: int) -> SilenceWorld:
        world = SilenceWorld.started(seed, SMALL)
        self.addCleanup(world.close)
        world.run_for(2 * CONTACT_S)
        return world

    def silence_front_and_its_store(self, world: SilenceWorld, kind: str) -> list[SimMachine]:
        first = rendezvous_rank(CATALOG_METHOD, world.stores)[0]
        machines = [world.fronts["front-1"], world.stores[first]]
        wait_for_watches(world, machines, kind)
        for machine in machines:
            world.silence_watch(machine, kind)
        return machines

    # Guards against a configuration that is applied 9 to 11 s late behind a silent connection.
    def test_configuration_behind_a_silent_watch_is_applied_in_time(self) -> None:
        world = self.open_world(1)
        machines = self.silence_front_and_its_store(world, names.CONFIGURATION_KIND)
        world.run_for(CONTACT_S)
        world.publish()
        world.run_for(APPLY_S)
        versions = {known_level(machine, Part.CONFIGURATION) for machine in machines}
        self.assertEqual(versions, {world.document.version})

    # Guards against any kind of change that is known late, whenever its watch became silent.
    def test_each_part_is_known_once_the_machines_are_in_touch(self) -> None:
        for part, kind in KINDS.items():
            for change_s in CHANGE_TIMES_S:
                with self.subTest(part=part, change_s=change_s):
                    world = self.open_world(2)
                    machines = self.silence_front_and_its_store(world, kind)
                    world.run_for(change_s)
                    bound_s = self.change(world, part)
                    world.run_for(max(bound_s, CONTACT_S - change_s))
                    for machine in machines:
                        level = world.newest_level(part)
                        self.assertGreaterEqual(known_level(machine, part), level)

    def change(self, world: SilenceWorld, part: Part) -> float:
        """Make a change; return the time within which it must be known, in seconds."""
        match part:
            case Part.CONFIGURATION:
                world.publish()
            case Part.RUNNERS:
                world.drain_runner("engine-1")
            case Part.ZONES:
                world.close_zone(RUNNER_ZONES[0])
                return ZONE_CLOSE_S
        return APPLY_S

    # Guards against a retirement that a store learns of after its machine was removed.
    def test_retirement_behind_a_silent_watch_is_known_in_time(self) -> None:
        world = self.open_world(3)
        machine = world.stores[rendezvous_rank(CATALOG_METHOD, world.stores)[0]]
        for is_waiting in (True, False):
            while is_watching(world, machine.name, names.RETIREMENT_KIND) is is_waiting:
                world.run_for(ONE_WAY_S)
        world.silence_watch(machine, names.RETIREMENT_KIND)
        world.model.put(names.RETIREMENT_KIND, "store-9", {})
        world.run_for(CONTACT_S)
        assert machine.replica is not None
        self.assertEqual(machine.replica.directory.retiring, {"store-9"})

    # Guards against a node that resumes its watches on pooled connections that became silent.
    def test_watches_resumed_after_a_silence_use_new_connections(self) -> None:
        world = SilenceWorld.started(4, LARGE)
        self.addCleanup(world.close)
        world.run_for(2 * CONTACT_S)
        front = world.fronts["front-1"]
        assert front.front is not None
        self.assertTrue(front.front.catalog.is_fresh)
        world.silence(front, 1.0)
        world.run_for(CONTACT_S)
        for store in world.stores.values():
            world.network.cuts |= {(front.host, store.host), (store.host, front.host)}
        world.publish()
        world.run_for(APPLY_S)
        self.assertEqual(known_level(front, Part.CONFIGURATION), world.document.version)


class PauseTest(SilentLogsTestCase):
    """Nothing is silent; a change comes just after a watch has returned."""

    # Guards against a store that rests between two watches for as long as a change may take.
    def test_change_during_the_pause_between_two_watches_is_known_in_time(self) -> None:
        world = SilenceWorld.started(6, SMALL)
        self.addCleanup(world.close)
        world.run_for(2 * CONTACT_S)
        first = rendezvous_rank(CATALOG_METHOD, world.stores)[0]
        for name in (first, "front-1"):
            with self.subTest(machine=name):
                for is_waiting in (False, True):
                    while is_watching(world, name, names.CONFIGURATION_KIND) is is_waiting:
                        world.run_for(ONE_WAY_S / 2)
                world.publish()
                world.run_for(APPLY_S)
                machine = world.stores.get(name) or world.fronts[name]
                version = known_level(machine, Part.CONFIGURATION)
                self.assertEqual(version, world.document.version)


class UnconfirmedConfigurationTest(SilentLogsTestCase):
    """The store answers a front's watch of the runners, and refuses that of the configuration."""

    def setUp(self) -> None:
        super().setUp()
        self.world = SilenceWorld.started(5, SMALL)
        self.addCleanup(self.world.close)
        self.world.run_for(2 * CONTACT_S)

    def refuse(self, kind: str) -> None:
        for source in self.world.sources.values():
            source.refused_kinds = frozenset({kind})

    def is_current(self) -> bool:
        front = self.world.fronts["front-1"].front
        assert front is not None
        return front.forwarder.is_current()

    # Guards against a 404 by a configuration that the store has not confirmed for long.
    def test_unknown_route_is_refused_for_good_only_by_a_confirmed_configuration(self) -> None:
        self.assertTrue(self.is_current())
        self.refuse(names.CONFIGURATION_KIND)
        self.world.run_for(2 * CONTACT_S)
        self.assertFalse(self.is_current())
        self.refuse("")
        self.world.run_for(2 * CONTACT_S)
        self.assertTrue(self.is_current())

    # Guards against 503 for unknown routes from a front that knows them from a store.
    def test_configuration_of_a_store_counts_with_its_age(self) -> None:
        front = self.world.fronts["front-1"]
        self.world.kill(front)
        self.world.restart(front)
        self.world.run_for(START_S)
        assert front.front is not None
        self.assertEqual(known_level(front, Part.CONFIGURATION), 1)
        self.assertTrue(self.is_current())

    def test_other_kinds_do_not_matter_to_the_configuration(self) -> None:
        self.refuse(names.REPLICA_KIND)
        self.world.run_for(2 * CONTACT_S)
        self.assertTrue(self.is_current())


class SeededSilencesTest(SilentLogsTestCase):
    def test_seeded_silences(self) -> None:
        for seed in range(NUM_SEEDS):
            with self.subTest(seed=seed):
                steps = SILENCES.random_steps(seed, STEPS_PER_SILENCE)
                world, late = SILENCES.run(seed, steps)
                world.close()
                self.assertEqual(late, [])

    def test_planted_defects_are_found(self) -> None:
        for name, plant in DEFECTS.items():
            with self.subTest(defect=name):
                self.assertTrue(any(self.is_found(plant, seed) for seed in range(MAX_DEFECT_SEEDS)))

    def is_found(self, plant: Callable[[], AbstractContextManager[object]], seed: int) -> bool:
        with plant():
            world, late = SILENCES.run(seed, SILENCES.random_steps(seed, STEPS_PER_SILENCE))
            world.close()
        return bool(late)
