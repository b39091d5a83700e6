"""Troubles of the platform's store that strike some kinds of objects or some machines."""

import logging
import unittest

from bendshed.platform import names
from bendshed.rehearsal.site.layout import SMALL, SiteLayout
from bendshed.rehearsal.site.registry_faults import FaultMode, RegistryFault
from bendshed.rehearsal.site.silence_world import LARGE, Part, SilenceWorld, known_level
from bendshed.rehearsal.site.sim_world import APPLY_S, CONTACT_S, SimMachine

ALL_KINDS = (
    names.RUNNER_KIND,
    names.CONFIGURATION_KIND,
    names.REPLICA_KIND,
    names.RETIREMENT_KIND,
    names.CLOSED_ZONE_KIND,
)
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
