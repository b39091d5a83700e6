"""Objects of the platform's store that another writer put and that cannot be used."""

import logging
import math
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from bendshed.platform import names
from bendshed.platform.translate import REGISTRY_FORMAT
from bendshed.ports.objects import StoredObject
from bendshed.ports.registry_objects import UnreadableObject
from bendshed.rehearsal.site.layout import SMALL
from bendshed.rehearsal.site.silence_world import LARGE, Part, SilenceWorld, known_level
from bendshed.rehearsal.site.sim_world import APPLY_S, CONTACT_S, START_LIMIT_S

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["ready", "10.0.3.1:80", ":80", "10.0.3.1:0", "10.0.3.1:99999", "engines"])
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner),
    max_leaves=4,
)
FIELDS = ("service", "addr", "zone", "version", "slots", "state", "coldLeftMs", "born", "seq")
SPECS = VALUES | st.fixed_dictionaries({}, optional=dict.fromkeys(FIELDS, VALUES))
GOOD = {"service": "engines", "addr": "10.0.3.9:80", "zone": "z", "slots": 4, "state": "ready"}
ODD_FIELDS: dict[str, Any] = {
    "addr": 7,
    "slots": "many",
    "coldLeftMs": [1],
    "service": ["engines"],
    "zone": {},
}
ODD_FIGURES: dict[str, Any] = {"slots": -1, "coldLeftMs": -1.0, "addr": "10.0.3.9:70000"}


def item(spec: Any) -> StoredObject:
    return StoredObject("odd", 5, spec, None)


class DecodingTest(unittest.TestCase):
    @settings(max_examples=300)
    @given(SPECS)
    def test_no_content_raises(self, spec: Any) -> None:
        REGISTRY_FORMAT.read_document(item(spec))
        REGISTRY_FORMAT.read_replica(item(spec))
        runner = REGISTRY_FORMAT.read_runner(item(spec))
        if not isinstance(runner, UnreadableObject):
            self.assertTrue(runner.service and runner.address.host)
            self.assertTrue(0 < runner.slots < 2**31 and 0 <= runner.cold_left_ms < 2**31)

    def test_reason_names_the_field(self) -> None:
        self.assertNotIsInstance(REGISTRY_FORMAT.read_runner(item(GOOD)), UnreadableObject)
        for field, value in (ODD_FIELDS | ODD_FIGURES).items():
            with self.subTest(field=field, value=value):
                outcome = REGISTRY_FORMAT.read_runner(item({**GOOD, field: value}))
                assert isinstance(outcome, UnreadableObject)
                self.assertIn(field, outcome.reason)

    def test_configuration_of_another_form_is_unreadable(self) -> None:
        for spec in (None, [], {}, {"version": "x", "routes": [], "services": []}, {"routes": 3}):
            self.assertIsInstance(REGISTRY_FORMAT.read_document(item(spec)), UnreadableObject)


class UnreadableObjectsTestCase(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def open_world(self, is_large: bool = False) -> SilenceWorld:
        world = SilenceWorld.started(1, LARGE if is_large else SMALL)
        self.addCleanup(world.close)
        world.run_for(2 * CONTACT_S)
        return world

    def assert_known(self, world: SilenceWorld, part: Part) -> None:
        level = world.newest_level(part)
        for machine in [*world.fronts.values(), *world.stores.values()]:
            self.assertGreaterEqual(known_level(machine, part), level, machine.name)


class OddEntriesTest(UnreadableObjectsTestCase):
    # Guards against one odd entry that costs the other runners, or figures that no message holds.
    def test_good_entries_hold_beside_odd_ones(self) -> None:
        worlds = [self.open_world(is_large) for is_large in (False, True)]
        num_cases = 0

        @settings(max_examples=25)
        @given(SPECS)
        def play(spec: Any) -> None:
            nonlocal num_cases
            num_cases += 1
            for world in worlds:
                world.put_odd_entry(f"odd-{num_cases % 7}", _without_nan(spec))
                world.run_for(0.05)

        play()
        for world in worlds:
            world.drain_runner("engine-1")
            world.run_for(APPLY_S)
            self.assert_known(world, Part.RUNNERS)

    # Guards against a runner that is used on after its entry became unreadable.
    def test_runner_whose_entry_becomes_unreadable_is_not_used(self) -> None:
        world = self.open_world()
        entry = world.unlist("tool-1")
        world.relist(entry)
        world.run_for(APPLY_S)
        self.assertIn("tool-1", self.known_runners(world))
        world.listed.pop("tool-1")
        world.put_odd_entry("tool-1", {"service": "tools"})
        world.run_for(APPLY_S)
        self.assertNotIn("tool-1", self.known_runners(world))
        world.odd_entries.clear()
        world.relist(entry)
        world.run_for(APPLY_S)
        self.assertIn("tool-1", self.known_runners(world))

    def known_runners(self, world: SilenceWorld) -> set[str]:
        known = [row.replica.catalog.catalog for row in world.stores.values() if row.replica]
        return set.intersection(*(set(catalog.runner_ids) for catalog in known))

    # Guards against machines that start beside odd objects and then know no runner, or never read.
    def test_machines_start_beside_odd_objects(self) -> None:
        world = self.open_world()
        world.put_odd_entry("odd", {"service": "engines"})
        world.model.put(names.REPLICA_KIND, "odd", ["store-9"])
        machines = [*world.stores.values(), *world.fronts.values()]
        for machine in machines:
            world.kill(machine)
        for machine in machines:
            world.restart(machine)
        world.wait_for(world.is_led, START_LIMIT_S)
        world.run_for(CONTACT_S)
        world.publish()
        world.drain_runner("engine-1")
        world.run_for(APPLY_S)
        self.assert_known(world, Part.CONFIGURATION)
        self.assert_known(world, Part.RUNNERS)

    # Guards against a configuration that cannot be read and takes the place of the one in force.
    def test_unreadable_configuration_leaves_the_one_in_force(self) -> None:
        world = self.open_world()
        for spec in (None, {"version": 99}, {"version": 99, "services": [], "routes": [{}]}):
            world.model.put(names.CONFIGURATION_KIND, names.CONFIGURATION_NAME, spec)
            world.run_for(APPLY_S)
            self.assert_known(world, Part.CONFIGURATION)
        world.publish()
        world.run_for(APPLY_S)
        self.assert_known(world, Part.CONFIGURATION)


def _without_nan(value: Any) -> Any:
    """Numbers that JSON does not hold arrive as texts."""
    if isinstance(value, float) and not math.isfinite(value):
        return str(value)
    if isinstance(value, list):
        return [_without_nan(each) for each in value]
    if isinstance(value, dict):
        return {key: _without_nan(each) for key, each in value.items()}
    return value
