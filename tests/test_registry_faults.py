"""Troubles of the platform's store that strike some kinds of objects or some machines."""

import logging
import unittest

from bendshed.catalog.call_schedule import RETRY_MIN_S
from bendshed.catalog.server import CATALOG_METHOD
from bendshed.identifiers import rendezvous_rank
from bendshed.platform import names
from bendshed.rehearsal.site.layout import SMALL, SiteLayout
from bendshed.rehearsal.site.registry_fault_world import ALL_KINDS, KINDS
from bendshed.rehearsal.site.registry_faults import FaultMode, RegistryFault
from bendshed.rehearsal.site.silence_world import LARGE, Part, SilenceWorld, known_level
from bendshed.rehearsal.site.sim_world import APPLY_S, CONTACT_S, SimMachine
from bendshed.rehearsal.site.sim_zones import RUNNER_ZONES, ZONE_CLOSE_S

KIND_PARTS = {kind: part for part, kind in KINDS.items()}
LONG_S = 15.0
"""Longer than any delay between two calls that fail."""
HEARTBEAT_S = 1.2
ODD_SPECS: tuple[object, ...] = (
    {},
    {"service": "engines"},
    ["engines"],
    None,
    {"service": "engines", "addr": "10.0.3.9:80", "slots": "many"},
)


def machines_of(world: SilenceWorld) -> list[SimMachine]:
    return [*world.fronts.values(), *world.stores.values()]


def stale_machines(world: SilenceWorld, part: Part) -> list[str]:
    level = world.newest_level(part)
    return [row.name for row in machines_of(world) if known_level(row, part) < level]


def change(world: SilenceWorld, part: Part) -> None:
    match part:
        case Part.CONFIGURATION:
            world.publish()
        case Part.RUNNERS:
            world.drain_runner("engine-1")
        case Part.ZONES:
            world.close_zone(RUNNER_ZONES[0])


class RegistryFaultTestCase(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def open_world(self, layout: SiteLayout) -> SilenceWorld:
        world = SilenceWorld.started(1, layout)
        self.addCleanup(world.close)
        world.run_for(2 * CONTACT_S)
        return world

    def strike(self, world: SilenceWorld, fault: RegistryFault) -> None:
        """Begin a fault; one of a list's later pages shows once everything is listed again."""
        world.model.faults.append(fault)
        if fault.mode is FaultMode.LATER_PAGES:
            world.model.page = 1
            world.model.forget_history()


class StruckKindTest(RegistryFaultTestCase):
    """The platform's store answers some kinds of objects and not others."""

    # Guards against a configuration that is not read while the list of runners cannot be read.
    def test_configuration_is_applied_while_any_other_kind_fails(self) -> None:
        others = frozenset(ALL_KINDS) - {names.CONFIGURATION_KIND}
        stale: dict[str, list[str]] = {}
        for layout in (SMALL, LARGE):
            for mode in FaultMode:
                world = self.open_world(layout)
                self.strike(world, RegistryFault(mode, others))
                world.run_for(LONG_S)
                world.publish()
                world.run_for(APPLY_S)
                case = f"{mode}, {len(layout.front_zones)} fronts"
                stale[case] = stale_machines(world, Part.CONFIGURATION)
        self.assertEqual({case: row for case, row in stale.items() if row}, {})


class UnreadableEntryTest(RegistryFaultTestCase):
    """Another writer puts entries into the list of runners that cannot be read."""

    # Guards against a configuration that is not read while the list of runners holds an odd entry.
    def test_configuration_is_applied_beside_unreadable_entries(self) -> None:
        stale: list[str] = []
        for layout in (SMALL, LARGE):
            world = self.open_world(layout)
            for _ in range(int(LONG_S / HEARTBEAT_S)):
                for number, spec in enumerate(ODD_SPECS):
                    world.put_odd_entry(f"odd-{number}", spec)
                    world.run_for(HEARTBEAT_S / len(ODD_SPECS))
            world.publish()
            world.run_for(APPLY_S)
            stale += stale_machines(world, Part.CONFIGURATION)
        self.assertEqual(stale, [])


class AwayRegistryTest(RegistryFaultTestCase):
    """The platform's store answers nothing for a long time."""

    # Guards against calls for every kind, by every node, to a store that is away.
    def test_store_that_is_away_gets_no_more_calls_than_by_one_kind_each_node(self) -> None:
        for layout in (SMALL, LARGE):
            with self.subTest(fronts=len(layout.front_zones)):
                world = self.open_world(layout)
                world.model.faults.append(RegistryFault(FaultMode.REFUSED))
                world.run_for(LONG_S)
                before = world.model.num_calls.total()
                world.run_for(LONG_S)
                calls = world.model.num_calls.total() - before
                self.assertLessEqual(calls, len(machines_of(world)) * (LONG_S / RETRY_MIN_S + 1))

    # Guards against a store whose return is noticed only by calls for one kind.
    def test_return_of_any_kind_is_noticed(self) -> None:
        for kind, part in KIND_PARTS.items():
            with self.subTest(kind=kind):
                world = self.open_world(SMALL)
                world.model.faults.append(RegistryFault(FaultMode.REFUSED))
                world.run_for(LONG_S)
                others = frozenset(ALL_KINDS) - {kind}
                world.model.faults[:] = [RegistryFault(FaultMode.REFUSED, others)]
                world.run_for(LONG_S)
                change(world, part)
                world.run_for(ZONE_CLOSE_S if part is Part.ZONES else APPLY_S)
                self.assertEqual(stale_machines(world, part), [])


class StruckMachinesTest(RegistryFaultTestCase):
    """The platform's store turns some machines away and answers the others."""

    # Guards against a part that one store cannot read and that nobody reads then.
    def test_each_part_is_known_while_the_reader_cannot_read_it(self) -> None:
        for layout in (SMALL, LARGE):
            for kind, part in KIND_PARTS.items():
                with self.subTest(fronts=len(layout.front_zones), kind=kind):
                    world = self.open_world(layout)
                    reader = rendezvous_rank(CATALOG_METHOD, world.stores)[0]
                    fault = RegistryFault(FaultMode.REFUSED, frozenset({kind}), frozenset({reader}))
                    world.model.faults.append(fault)
                    world.run_for(LONG_S)
                    change(world, part)
                    world.run_for(ZONE_CLOSE_S if part is Part.ZONES else APPLY_S)
                    self.assertEqual(stale_machines(world, part), [])

    # Guards against a version that stays unknown at fronts which are turned away with all stores.
    def test_configuration_reaches_machines_that_are_turned_away(self) -> None:
        for layout in (SMALL, LARGE):
            for kinds in (frozenset[str](), frozenset({names.CONFIGURATION_KIND})):
                with self.subTest(fronts=len(layout.front_zones), kinds=kinds):
                    world = self.open_world(layout)
                    served = sorted(world.fronts)[-1]
                    others = {row.name for row in machines_of(world)} - {served}
                    fault = RegistryFault(FaultMode.REFUSED, kinds, frozenset(others))
                    world.model.faults.append(fault)
                    for _ in range(3):
                        world.run_for(LONG_S)
                        world.publish()
                        world.run_for(APPLY_S)
                        self.assertEqual(stale_machines(world, Part.CONFIGURATION), [])

    # Guards against fronts that wait for stores to tell them of the registry's return.
    def test_fronts_find_the_return_of_the_registry_without_stores(self) -> None:
        for layout in (SMALL, LARGE):
            for part in Part:
                with self.subTest(fronts=len(layout.front_zones), part=part):
                    world = self.open_world(layout)
                    world.model.faults.append(RegistryFault(FaultMode.REFUSED))
                    world.run_for(2 * LONG_S)
                    change(world, part)
                    stores = frozenset(world.stores)
                    world.model.faults[:] = [RegistryFault(FaultMode.REFUSED, machines=stores)]
                    world.run_for(CONTACT_S)
                    self.assertEqual(set(stale_machines(world, part)) - stores, set())

    # Guards against a retirement that no store knows, since the reader cannot read retirements.
    def test_retirement_is_known_while_the_reader_cannot_read_retirements(self) -> None:
        world = self.open_world(LARGE)
        reader = rendezvous_rank(CATALOG_METHOD, world.stores)[0]
        kinds = frozenset({names.RETIREMENT_KIND})
        world.model.faults.append(RegistryFault(FaultMode.REFUSED, kinds, frozenset({reader})))
        world.run_for(LONG_S)
        world.model.put(names.RETIREMENT_KIND, "store-9", {})
        world.run_for(CONTACT_S)
        for name, store in world.stores.items():
            assert store.replica is not None
            if name != reader:
                self.assertEqual(store.replica.directory.retiring, {"store-9"}, name)
