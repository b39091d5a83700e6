"""Software versions of runners in the catalog, and origins of streams in the turn log."""

import unittest
from unittest import mock

from bendshed.catalog.codec import StoredCatalog, decode_stored, encode_stored, make_reply
from bendshed.catalog.messages import ReadRequest, decode_request, decode_update, encode_request
from bendshed.catalog.server import CatalogServer
from bendshed.catalog.state import Catalog, KnownRunner
from bendshed.catalog.times import CatalogTimes
from bendshed.catalog.update_intake import UpdateIntake
from bendshed.model.address import Address
from bendshed.model.runner import RunnerState, ServiceRunner
from bendshed.turns.state import TurnLogState
from bendshed.wire import catalog_pb2
from bendshed.wire import turns_pb2 as wire

RUNNERS_AT = 6
TIMES = CatalogTimes.within(3.0, 20.0)


def known(name: str, revision: int, version: str = "v1") -> KnownRunner:
    address = Address("10.0.3.1", 80)
    runner = ServiceRunner(
        name, "engines", address, "zone-a", 8, RunnerState.READY, software_version=version
    )
    return KnownRunner(runner, revision)


def catalog_of(*runners: KnownRunner) -> Catalog:
    catalog = Catalog()
    catalog.replace_runners(runners, RUNNERS_AT, last_resort_s=0.0)
    return catalog


def without_versions(reply: catalog_pb2.CatalogReply) -> catalog_pb2.CatalogReply:
    """The reply as a machine of the earlier build sends it."""
    for row in reply.runners:
        row.ClearField("software_version")
    return reply


class EarlierBuildTest(unittest.TestCase):
    def setUp(self) -> None:
        self.catalog = catalog_of(known("a", 3), known("b", 5))

    def earlier_catalog(self) -> Catalog:
        content = encode_stored(StoredCatalog(self.catalog))
        reply = without_versions(catalog_pb2.CatalogReply.FromString(content))
        return decode_stored(reply.SerializeToString()).catalog

    def test_versions_are_stored(self) -> None:
        restored = decode_stored(encode_stored(StoredCatalog(self.catalog))).catalog
        self.assertEqual(restored.software_version_of("a"), "v1")
        self.assertFalse(restored.lacks_software_versions)

    # Guards against runners whose version stays unknown after an upgrade, since no entry changes.
    def test_list_adds_versions_to_what_an_earlier_build_stored(self) -> None:
        catalog = self.earlier_catalog()
        self.assertTrue(catalog.lacks_software_versions)
        catalog.replace_runners([known("a", 3), known("b", 5)], RUNNERS_AT, last_resort_s=0.0)
        self.assertEqual(catalog.software_version_of("b"), "v1")
        self.assertFalse(catalog.lacks_software_versions)

    # Guards against the same at a node that followed a machine of an earlier build.
    def test_node_gets_the_versions_that_an_earlier_build_left_out(self) -> None:
        sink = mock.Mock()
        intake = UpdateIntake(sink, TIMES)
        earlier = without_versions(make_reply(self.catalog, since=0, known_version=0))
        intake.apply(decode_update(earlier.SerializeToString()))
        self.assertEqual(intake.without_version, {"a", "b"})
        request = ReadRequest(
            Address("10.0.2.1", 7000), "", RUNNERS_AT, 0, 0, 0.0, 0, False, False, 0, True
        )
        self.assertTrue(decode_request(encode_request(request)).lacks_software_versions)
        reply = self.reply_of(self.catalog, request)
        intake.apply(decode_update(reply.SerializeToString()))
        self.assertEqual(intake.without_version, set())
        runners = sink.replace_runners.call_args.args[0]
        self.assertEqual([row.runner.software_version for row in runners], ["v1", "v1"])

    def test_machine_without_versions_does_not_repeat_its_list(self) -> None:
        request = ReadRequest(
            Address("10.0.2.1", 7000), "", RUNNERS_AT, 0, 0, 0.0, 0, False, False, 0, True
        )
        reply = self.reply_of(self.earlier_catalog(), request)
        self.assertEqual((reply.since, len(reply.runners)), (RUNNERS_AT, 0))

    @staticmethod
    def reply_of(catalog: Catalog, request: ReadRequest) -> catalog_pb2.CatalogReply:
        server = CatalogServer(*(mock.MagicMock() for _ in range(6)))
        server._catalog.catalog = catalog
        adds_versions = server._adds_versions(request)
        return make_reply(catalog, 0 if adds_versions else request.runners_at, 0)


class StreamOriginsTest(unittest.TestCase):
    TTL_MS = 4_000

    def setUp(self) -> None:
        self.state = TurnLogState()
        self.now_ms = 0

    def apply(self, **command: object) -> wire.TurnReply:
        content = wire.TurnCommand(elapsed_ms=self.now_ms, **command)  # type: ignore[arg-type]
        return self.state.apply(content.SerializeToString())

    def origin(self, version: str) -> wire.StreamOrigin:
        return wire.StreamOrigin(service="s", software_version=version, ttl_ms=self.TTL_MS)

    def begin(self, version: str) -> wire.TurnReply:
        begin = wire.BeginTurn(program_id="p", turn_id="t", most_tokens=9)
        begin.origin.CopyFrom(self.origin(version))
        return self.apply(begin=begin)

    def record(self, version: str) -> wire.TurnReply:
        record = wire.RecordOrigin(request_id="t", origin=self.origin(version))
        return self.apply(record_origin=record)

    def find(self, request_id: str = "t", tenant: str = "") -> str | None:
        reply = self.apply(
            find_origin=wire.FindOrigin(request_id=request_id, tenant=tenant, service="s")
        )
        return reply.origin.software_version if reply.HasField("origin") else None

    def test_begin_records_the_expected_origin(self) -> None:
        self.assertEqual(self.begin("v1").origin.software_version, "v1")
        self.assertEqual(self.find(), "v1")
        self.assertIsNone(self.find("other"))
        self.assertIsNone(self.find(tenant="other"))

    # Guards against a late copy of a begin, stamped by another leader, that changes the version.
    def test_later_begin_does_not_replace_an_origin(self) -> None:
        self.begin("v1")
        self.assertEqual(self.begin("v2").origin.software_version, "v1")
        self.record("v3")
        self.begin("v2")
        self.assertEqual(self.find(), "v3")

    def test_turn_that_is_not_granted_records_nothing(self) -> None:
        begin = wire.BeginTurn(
            program_id="p", turn_id="t", most_tokens=9, has_budget=True, budget_tokens=1
        )
        begin.origin.CopyFrom(self.origin("v1"))
        self.apply(begin=begin)
        self.assertIsNone(self.find())

    # Guards against a version that is guessed for a stream which its caller does not name.
    def test_streams_of_a_service_share_an_origin_only_if_it_is_one(self) -> None:
        self.assertIsNone(self.find(""))
        self.begin("v1")
        self.assertEqual(self.find(""), "v1")
        self.apply(record_origin=wire.RecordOrigin(request_id="u", origin=self.origin("v2")))
        self.assertEqual(self.find(""), "")
        self.record("v2")
        self.assertEqual(self.find(""), "v2")
        self.apply(record_origin=wire.RecordOrigin(request_id="u", origin=self.origin("")))
        self.assertEqual(self.find(""), "")
        restored = TurnLogState()
        restored.restore(self.state.snapshot())
        self.state = restored
        self.assertEqual(self.find(""), "")

    def test_origin_is_forgotten_after_its_time(self) -> None:
        self.begin("v1")
        self.now_ms = self.TTL_MS
        self.assertEqual(self.find(), "v1")
        self.now_ms += 1
        self.assertIsNone(self.find())
        self.now_ms += 2_000
        self.apply()
        self.assertEqual(len(self.state.origins), 0)

    def test_origins_outlive_a_snapshot(self) -> None:
        self.begin("v1")
        self.record("v2")
        restored = TurnLogState()
        restored.restore(self.state.snapshot())
        self.assertEqual(restored.snapshot(), self.state.snapshot())
        self.state = restored
        self.assertEqual(self.find(), "v2")
