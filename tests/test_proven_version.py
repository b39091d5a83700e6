"""Which software version the process behind a connection is proven to run."""

import unittest
from dataclasses import replace

from bendshed.model.address import Address
from bendshed.model.runner import (
    NO_REPORT,
    ReportedBirth,
    RunnerProcess,
    RunnerState,
    ServiceRunner,
    birth_ms,
)
from bendshed.placement.proven_version import (
    NOT_PROVEN,
    DispatchedVersion,
    proven_version,
    version_of_process,
)
from bendshed.placement.runner_record import DOUBT_S, RunnerRecord
from bendshed.platform.runner_protocol import PlatformRunnerProtocol
from bendshed.services.runners import RunnerTable

BORN_MS, LATER_MS = 1_000, 2_000
ENTRY = ServiceRunner(
    "i", "s", Address("10.0.0.1", 80), "z", 6, RunnerState.READY, 0, "v1", born_ms=BORN_MS
)
OWN, OTHER, NAMELESS = ReportedBirth(BORN_MS), ReportedBirth(LATER_MS), ReportedBirth(0)


class ProvenVersionTest(unittest.TestCase):
    # Guards against an entry of the process before that counts for the one behind the connection.
    def test_version_is_proven_by_the_process_that_wrote_the_entry(self) -> None:
        self.assertEqual(proven_version(ENTRY, OWN, True), "v1")
        for reported in (OTHER, NAMELESS, NO_REPORT):
            self.assertEqual(proven_version(ENTRY, reported, True), NOT_PROVEN)

    def test_entry_without_birth_proves_only_where_no_entry_names_one(self) -> None:
        entry = replace(ENTRY, born_ms=0)
        self.assertEqual(proven_version(entry, NO_REPORT, False), "v1")
        for reported in (OWN, NAMELESS, NO_REPORT):
            self.assertEqual(proven_version(entry, reported, True), NOT_PROVEN)

    # Guards against entries that lost the birth on their way through a machine of an earlier build.
    def test_entry_of_an_earlier_build_proves_only_for_runners_that_name_no_birth(self) -> None:
        entry = replace(ENTRY, born_ms=None)
        self.assertEqual(proven_version(entry, NAMELESS, False), "v1")
        for reported in (OWN, NO_REPORT):
            self.assertEqual(proven_version(entry, reported, False), NOT_PROVEN)

    def test_answer_is_of_the_version_proven_at_its_dispatch(self) -> None:
        dispatched = DispatchedVersion("v1", OWN)
        later = replace(ENTRY, born_ms=LATER_MS, software_version="v2")
        self.assertEqual(dispatched.confirm(ENTRY, True), "v1")
        self.assertEqual(dispatched.confirm(later, True), "v1")
        contradiction = replace(ENTRY, software_version="v2")
        self.assertEqual(dispatched.confirm(contradiction, True), NOT_PROVEN)

    def test_entry_that_comes_after_the_dispatch_proves_the_version(self) -> None:
        dispatched = DispatchedVersion(NOT_PROVEN, OTHER)
        later = replace(ENTRY, born_ms=LATER_MS, software_version="v2")
        self.assertEqual(dispatched.confirm(ENTRY, True), NOT_PROVEN)
        self.assertEqual(dispatched.confirm(later, True), "v2")

    def test_version_without_births_holds_while_the_entry_names_it(self) -> None:
        entry = replace(ENTRY, born_ms=0)
        dispatched = DispatchedVersion("v1")
        self.assertEqual(dispatched.confirm(entry, False), "v1")
        changed = replace(entry, software_version="v2")
        self.assertEqual(dispatched.confirm(changed, False), NOT_PROVEN)

    def test_process_is_looked_up_in_the_entry_that_it_wrote(self) -> None:
        process = RunnerProcess("i", BORN_MS)
        self.assertEqual(version_of_process(process, ENTRY), "v1")
        earlier = replace(ENTRY, born_ms=BORN_MS - 1)
        self.assertEqual(version_of_process(process, earlier), NOT_PROVEN)
        for entry in (None, replace(ENTRY, born_ms=LATER_MS), replace(ENTRY, born_ms=None)):
            self.assertIsNone(version_of_process(process, entry))

    def test_birth_of_another_type_counts_as_none(self) -> None:
        self.assertEqual(birth_ms(BORN_MS), BORN_MS)
        for odd in (None, "1000", 1000.0, True, -1, 0, 2**64, [BORN_MS]):
            self.assertEqual(birth_ms(odd), 0)
        protocol = PlatformRunnerProtocol()
        self.assertEqual(protocol.read_birth_ms(b'{"born": 1000}'), BORN_MS)
        for report in (b"{}", b"[]", b"null", b'"born"', b"", b"no JSON", b'{"born": "1000"}'):
            self.assertEqual(protocol.read_birth_ms(report), 0)


class DoubtedRunnersTest(unittest.TestCase):
    # Guards against a runner that is avoided for good, since its reports never name its start.
    def test_doubt_ends_with_the_next_entry_or_in_time(self) -> None:
        record = RunnerRecord(ENTRY)
        self.assertFalse(record.is_doubted(1.0))
        record.doubt_entry(1.0)
        record.doubt_entry(1.0 + DOUBT_S / 2)
        self.assertTrue(record.is_doubted(1.0 + DOUBT_S / 2))
        self.assertFalse(record.is_doubted(1.0 + DOUBT_S))
        table = RunnerTable()
        table.put(ENTRY)
        table.by_id["i"].doubt_entry(1.0)
        table.put(replace(ENTRY, born_ms=LATER_MS))
        self.assertFalse(table.by_id["i"].is_doubted(1.0))

    def test_births_are_counted_over_changes_of_the_list(self) -> None:
        table = RunnerTable()
        table.put(replace(ENTRY, born_ms=0))
        self.assertFalse(table.are_births_listed)
        table.put(ENTRY)
        table.put(replace(ENTRY, born_ms=LATER_MS))
        self.assertTrue(table.are_births_listed)
        table.remove("i", 0.0, last_resort_s=0.0)
        self.assertFalse(table.are_births_listed)
