"""Which origin a stream has whose client names no attempt, by the state of the turn log."""

import unittest

from bendshed.turns.state import TurnLogState
from bendshed.wire import turns_pb2 as wire

ROUTE, OTHER_ROUTE = "site/chat/", "site/batch/"
TTL_MS = 4_000


class CommonOriginsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = TurnLogState()
        self.num_streams = 0

    def record(self, service: str, version: str, route: str = ROUTE, now_ms: int = 0) -> None:
        self.num_streams += 1
        origin = wire.StreamOrigin(
            service=service, software_version=version, ttl_ms=TTL_MS, route=route
        )
        record = wire.RecordOrigin(request_id=f"r{self.num_streams}", origin=origin)
        self.apply(wire.TurnCommand(record_origin=record, elapsed_ms=now_ms))

    def apply(self, command: wire.TurnCommand) -> wire.TurnReply:
        return self.state.apply(command.SerializeToString())

    def find(
        self, service: str, route: str = ROUTE, now_ms: int = 0, wait_ms: int = 0
    ) -> tuple[str, str] | None:
        find = wire.FindOrigin(service=service, route=route, wait_ms=wait_ms)
        reply = self.apply(wire.TurnCommand(find_origin=find, elapsed_ms=now_ms))
        if not reply.HasField("origin"):
            return None
        return reply.origin.service, reply.origin.software_version

    def test_streams_of_a_route_that_share_an_origin_have_it(self) -> None:
        self.record("a", "v1")
        self.record("a", "v1")
        self.assertEqual(self.find("a"), ("a", "v1"))
        self.record("a", "v2")
        self.assertEqual(self.find("a"), ("a", ""))

    # Guards against a stream of a split route that goes on in the service that was drawn again.
    def test_streams_of_a_split_route_share_no_origin(self) -> None:
        self.record("a", "v1")
        self.record("b", "v1")
        self.assertEqual(self.find("a")[1:], ("",))  # type: ignore[index]
        self.assertEqual(self.find("b")[1:], ("",))  # type: ignore[index]

    # Guards against a stream that goes on where its route leads now, not where it began.
    def test_streams_of_a_moved_route_keep_the_service_that_began_them(self) -> None:
        self.record("b", "v2", OTHER_ROUTE)
        self.record("a", "v1")
        self.assertEqual(self.find("b"), ("a", "v1"))

    def test_streams_of_other_routes_do_not_count(self) -> None:
        self.record("a", "v2", OTHER_ROUTE)
        self.assertIsNone(self.find("a"))
        self.record("a", "v1")
        self.assertEqual(self.find("a"), ("a", "v1"))

    def test_streams_of_fronts_that_name_no_route_count_by_their_service(self) -> None:
        self.record("a", "v1", route="")
        self.assertEqual(self.find("a"), ("a", "v1"))
        self.assertIsNone(self.find("b"))
        self.record("a", "v2")
        self.assertEqual(self.find("a"), ("a", ""))
        self.assertEqual(self.find("a", route=""), ("a", ""))

    def test_expired_streams_do_not_count(self) -> None:
        self.record("a", "v1")
        self.record("a", "v2", now_ms=TTL_MS * 5)
        self.assertEqual(self.find("a"), ("a", "v2"))

    # Guards against a stream that goes on at another version once its origin has expired, although
    # its client has come back meanwhile and said that it still waits.
    def test_origins_count_for_as_long_as_a_client_that_came_back_waits(self) -> None:
        self.record("a", "v1")
        self.assertEqual(self.find("a", now_ms=3_000, wait_ms=TTL_MS), ("a", "v1"))
        self.record("a", "v2", now_ms=4_500)
        for now_ms in (6_000, 9_000, 12_500):
            self.assertEqual(self.find("a", now_ms=now_ms, wait_ms=TTL_MS), ("a", ""))
            before = self.state.snapshot()
            self.state = TurnLogState()
            self.state.restore(before)
        self.record("a", "v2", now_ms=30_000)
        self.assertEqual(self.find("a", now_ms=30_000, wait_ms=TTL_MS), ("a", "v2"))

    def test_origins_outlive_a_snapshot(self) -> None:
        self.record("a", "v1")
        self.record("a", "v2", OTHER_ROUTE)
        self.record("a", "v1", route="")
        before = self.state.snapshot()
        self.state = TurnLogState()
        self.state.restore(before)
        self.assertEqual(self.find("a"), ("a", "v1"))
        self.assertEqual(self.find("a", OTHER_ROUTE), ("a", ""))
