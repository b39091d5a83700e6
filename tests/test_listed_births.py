"""When runners started, on the way through machines of this build and the one before."""

import unittest
from dataclasses import replace
from unittest import mock

from bendshed.catalog.codec import StoredCatalog, decode_stored, encode_stored, make_reply
from bendshed.catalog.messages import ReadRequest, decode_request, decode_update, encode_request
from bendshed.catalog.server import CatalogServer
from bendshed.catalog.state import Catalog, KnownRunner
from bendshed.catalog.update_intake import UpdateIntake
from bendshed.model.address import Address
from bendshed.turns.state import TurnLogState
from bendshed.wire import catalog_pb2
from bendshed.wire import turns_pb2 as wire
from tests.test_software_versions import RUNNERS_AT, TIMES, catalog_of, known

BORN_MS = 1_000


def born(name: str, revision: int) -> KnownRunner:
    listed = known(name, revision)
    return KnownRunner(replace(listed.runner, born_ms=BORN_MS), revision)


def without_births(reply: catalog_pb2.CatalogReply) -> catalog_pb2.CatalogReply:
    """The reply as a machine of the earlier build sends it."""
    for row in reply.runners:
        row.ClearField("born_ms")
    return reply


def births_of(catalog: Catalog) -> set[int | None]:
    return {row.runner.born_ms for row in catalog.changes_since(0).runners}


class OriginProcessTest(unittest.TestCase):
    # Guards against streams that are lost with their front, since only it knew who began them.
    def test_process_of_an_unproven_version_outlives_a_snapshot(self) -> None:
        state = TurnLogState()
        origin = wire.StreamOrigin(service="s", ttl_ms=4_000, runner_id="i", born_ms=BORN_MS)
        record = wire.RecordOrigin(request_id="t", origin=origin)
        state.apply(wire.TurnCommand(record_origin=record).SerializeToString())
        restored = TurnLogState()
        restored.restore(state.snapshot())
        self.assertEqual(restored.snapshot(), state.snapshot())
        find = wire.TurnCommand(find_origin=wire.FindOrigin(request_id="t"))
        found = restored.apply(find.SerializeToString()).origin
        self.assertEqual((found.runner_id, found.born_ms), ("i", BORN_MS))
        self.assertEqual(found.software_version, "")


class EarlierBuildTest(unittest.TestCase):
    def setUp(self) -> None:
        self.catalog = catalog_of(born("a", 3), born("b", 5))

    def earlier_catalog(self) -> Catalog:
        content = encode_stored(StoredCatalog(self.catalog))
        reply = without_births(catalog_pb2.CatalogReply.FromString(content))
        return decode_stored(reply.SerializeToString()).catalog

    def test_births_are_stored(self) -> None:
        restored = decode_stored(encode_stored(StoredCatalog(self.catalog))).catalog
        self.assertEqual(births_of(restored), {BORN_MS})
        self.assertFalse(restored.lacks_births)

    # Guards against births that stay unknown after an upgrade, since no entry changes.
    def test_list_adds_births_to_what_an_earlier_build_stored(self) -> None:
        catalog = self.earlier_catalog()
        self.assertEqual((births_of(catalog), catalog.lacks_births), ({None}, True))
        self.assertFalse(catalog.lacks_software_versions)
        catalog.replace_runners([born("a", 3), born("b", 5)], RUNNERS_AT, last_resort_s=0.0)
        self.assertEqual((births_of(catalog), catalog.lacks_births), ({BORN_MS}, False))

    def test_entry_of_an_earlier_build_does_not_replace_a_whole_one(self) -> None:
        earlier = decode_update(
            without_births(make_reply(self.catalog, 0, 0)).SerializeToString()
        ).runners
        assert earlier is not None
        self.assertFalse(any(self.catalog.put_runner(row) for row in earlier.runners))

    # Guards against a whole list at each request while the machine that replies is the earlier one.
    def test_node_gets_births_only_of_a_machine_that_has_them(self) -> None:
        intake = UpdateIntake(mock.Mock(), TIMES)
        intake.apply(
            decode_update(without_births(make_reply(self.catalog, 0, 0)).SerializeToString())
        )
        self.assertEqual(intake.gaps.without_birth, {"a", "b"})
        request = ReadRequest(
            Address("10.0.2.1", 7000), "", RUNNERS_AT, 0, 0, 0.0, 0, False, False, 0, False, True
        )
        self.assertTrue(decode_request(encode_request(request)).lacks_births)
        server = CatalogServer(*(mock.MagicMock() for _ in range(6)))
        server._catalog.catalog = self.earlier_catalog()
        self.assertFalse(server._adds_versions(request))
        server._catalog.catalog = self.catalog
        self.assertTrue(server._adds_versions(request))
        intake.apply(decode_update(make_reply(self.catalog, 0, 0).SerializeToString()))
        self.assertEqual(intake.gaps.without_birth, set())
