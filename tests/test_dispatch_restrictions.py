"""Each path of a request to a runner respects closed zones and allowed regions."""

import ast
import asyncio
import random
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from unittest import mock

from prometheus_client import CollectorRegistry

from bendshed.catalog.registry_outage import MAX_LAST_RESORT_S
from bendshed.catalog.state import Catalog, KnownRunner
from bendshed.errors import ErrorKind, WasRun
from bendshed.model.address import Address
from bendshed.model.places import Places
from bendshed.model.route_index import RouteIndex
from bendshed.model.runner import RunnerState, ServiceRunner
from bendshed.model.service_document import (
    Route,
    RouteKind,
    ServiceDocument,
    Tenant,
    WeightedService,
)
from bendshed.placement.cold_runners import ColdRateLimit
from bendshed.placement.zones import ClosedZones, RunnerFilter
from bendshed.ports.http_messages import (
    BreakCause,
    ClientRequest,
    ConnectFailed,
    ResponseBroken,
    ResponseHead,
)
from bendshed.ports.runner import ServiceRequest, TurnDetails
from bendshed.ports.runner_connections import RunnerConnection, RunnerConnections
from bendshed.rehearsal.site.runner import event_bytes
from bendshed.rehearsal.site.sim_runners import NOT_RUN, WANTED, SimRunnerProtocol
from bendshed.services.attempts import RunnerPorts
from bendshed.services.forwarder import Forwarder
from bendshed.services.metrics import ServiceMetrics
from bendshed.services.runners import RunnerTable
from bendshed.services.turn_record import TurnPorts
from bendshed.turns.client import TranscriptCache
from bendshed.turns.cold_admission import ColdAdmission
from bendshed.turns.metrics import TurnLogMetrics
from bendshed.turns.turn_placement import TurnPlacement
from bendshed.wire import turns_pb2 as wire
from tests.test_runner_answers import RecordingCaller

SOURCES = Path(__file__).resolve().parent.parent / "src" / "bendshed"
PLACES = Places({"a": "west", "b": "east"})
OPEN_RUNNERS, CLOSED_RUNNERS = ("open-1", "open-2"), ("shut-1", "shut-2")
ZONE_B_CLOSED = RunnerFilter(ClosedZones(5, frozenset("b")), PLACES)
NO_ZONE_CLOSED = RunnerFilter(places=PLACES)
ALLOWED_REGIONS = ("west",)
ROUTE = Route(
    name="r",
    host="h",
    path_prefix="/",
    kind=RouteKind.IDEMPOTENT,
    timeout_ms=5000,
    target_ms=5000,
    priority=0,
    targets=(WeightedService("s", 1),),
    max_attempts=4,
)
STREAM = replace(ROUTE, kind=RouteKind.STREAM, max_attempts=1)
TURN = TurnDetails("", None, 9)
NUM_REQUESTS = 12
"""Requests per path: enough that, without restrictions, some reach restricted runners."""


def address(runner_id: str) -> Address:
    return Address(runner_id, 80)


def listed(runner_id: str) -> ServiceRunner:
    zone = "a" if runner_id in OPEN_RUNNERS else "b"
    return ServiceRunner(
        runner_id, "s", address(runner_id), zone, 6, RunnerState.READY, software_version="v1"
    )


class FakeConnection(RunnerConnection):
    """Responds with its runner's configured behaviour."""

    def __init__(self, runners: "FakeRunnerConnections", runner_id: str) -> None:
        self._runners = runners
        self._runner_id = runner_id

    async def send(self, request: ClientRequest) -> ResponseHead:
        assert dict(request.headers)[WANTED].decode() == self._runner_id
        self._runners.sent.append(self._runner_id)
        behaviour = self._runners.behaviour.get(self._runner_id, "")
        if behaviour == "loses":
            raise ResponseBroken("reset")
        if behaviour == "malformed":
            raise ResponseBroken("no HTTP answer", BreakCause.MALFORMED)
        self._runners.before_answer()
        if behaviour == "sheds":
            return ResponseHead(503, [(NOT_RUN, b"1")], True)
        return ResponseHead(200, [], True)

    async def body(self) -> AsyncIterator[bytes]:
        yield event_bytes("x", 0)

    def watch_close(self, on_closed: Callable[[], None]) -> None:
        self._runners.watched.append(on_closed)

    def finish(self) -> None:
        pass

    def abort(self) -> None:
        pass


class FakeRunnerConnections(RunnerConnections):
    """Connections to all runners; records the runner of each request."""

    def __init__(self) -> None:
        self.sent: list[str] = []
        self.watched: list[Callable[[], None]] = []
        self.behaviour: dict[str, str] = {}
        self.before_connecting: Callable[[str], None] = lambda _runner_id: None
        self.before_answer: Callable[[], None] = lambda: None

    async def acquire(self, address: Address) -> RunnerConnection:
        await asyncio.sleep(0)
        self.before_connecting(address.host)
        if self.behaviour.get(address.host) == "refuses":
            raise ConnectFailed("refused")
        return FakeConnection(self, address.host)

    def has_idle(self, address: Address) -> bool:
        return False

    def release(self, address: Address, connection: RunnerConnection) -> None:
        pass

    def close_idle(self, address: Address) -> None:
        pass

    def close(self) -> None:
        pass


class FrontFixture:
    """A forwarder with runners in an open and in a closed zone.

    Attributes:
        preferred_runner: runner that the leader of the turn log places turns at.
        before_preview, before_quota: called while a request waits for the turn log.

    """

    def __init__(
        self, runner_filter: RunnerFilter, allowed_regions: tuple[str, ...], has_turns: bool
    ) -> None:
        self.table = RunnerTable(filter=runner_filter)
        for runner_id in (*OPEN_RUNNERS, *CLOSED_RUNNERS):
            self.table.put(listed(runner_id))
        self.runners = FakeRunnerConnections()
        self.allowed_regions = allowed_regions
        self.preferred_runner = ""
        self.demands: list[wire.TurnDemand] = []
        self.before_preview: Callable[[], None] = lambda: None
        self.before_quota: Callable[[], None] = lambda: None
        metrics = ServiceMetrics(CollectorRegistry())
        ports = RunnerPorts(
            self.table, self.runners, SimRunnerProtocol(), "b", "n", random.Random(1), metrics
        )
        client = mock.Mock(is_isolated=False, unreachable_since_s=None)
        client.preview = self._preview
        client.command = mock.AsyncMock(
            return_value=wire.TurnReply(
                answer=wire.TURN_ANSWER_GRANTED,
                origin=wire.StreamOrigin(service="s", software_version="v1"),
            )
        )
        quotas = mock.Mock()
        quotas.admit_call = self._admit_call
        turns = TurnPorts(client, TranscriptCache(1000), metrics, quotas)
        self.forwarder = Forwarder(ports, turns if has_turns else None)
        self.put(ROUTE)

    def put(self, route: Route) -> None:
        document = ServiceDocument(1, (replace(route, allowed_regions=self.allowed_regions),))
        self.forwarder.index = RouteIndex(document)

    def behave(self, behaviour: str) -> None:
        self.runners.behaviour = dict.fromkeys(OPEN_RUNNERS, behaviour)

    async def _preview(self, preview: wire.TurnPreview) -> wire.TurnReply | None:
        await asyncio.sleep(0)
        self.demands.append(preview.demand)
        self.before_preview()
        return wire.TurnReply(answer=wire.TURN_ANSWER_GRANTED, runner_id=self.preferred_runner)

    async def _admit_call(self, *_arguments: object) -> None:
        await asyncio.sleep(0)
        self.before_quota()

    async def send(
        self,
        number: int = 0,
        turn: TurnDetails | None = None,
        resumes: str = "",
        credential: str = "",
        is_named: bool = True,
    ) -> RecordingCaller:
        """Send one request with its own session."""
        request = ServiceRequest(
            f"r{number}",
            b"POST",
            b"/x",
            "h",
            "/x",
            [],
            b"body",
            None,
            f"p{number}",
            f"s{number}",
            resumes,
            turn,
            asyncio.get_running_loop().time(),
            credential,
            resumes="r-first" if resumes and is_named else "",
        )
        caller = RecordingCaller()
        await self.forwarder.serve(request, caller)
        return caller


DispatchPath = Callable[[FrontFixture, int], Awaitable[RecordingCaller]]


async def plain_request(front: FrontFixture, number: int) -> RecordingCaller:
    return await front.send(number)


async def session_request(front: FrontFixture, number: int) -> RecordingCaller:
    front.put(replace(ROUTE, is_sticky=True))
    return await front.send(number)


async def send_with_fault(front: FrontFixture, number: int, behaviour: str) -> RecordingCaller:
    front.behave(behaviour)
    return await front.send(number)


async def retry_after_not_run(front: FrontFixture, number: int) -> RecordingCaller:
    return await send_with_fault(front, number, "sheds")


async def retry_after_lost_response(front: FrontFixture, number: int) -> RecordingCaller:
    return await send_with_fault(front, number, "loses")


async def retry_after_refused_connection(front: FrontFixture, number: int) -> RecordingCaller:
    return await send_with_fault(front, number, "refuses")


async def stream(front: FrontFixture, number: int) -> RecordingCaller:
    front.put(STREAM)
    return await front.send(number)


async def resumed_stream(front: FrontFixture, number: int) -> RecordingCaller:
    front.put(replace(STREAM, is_resumable=True, max_attempts=4))
    front.behave("loses")
    return await front.send(number, resumes="3")


async def placed_turn(front: FrontFixture, number: int) -> RecordingCaller:
    front.put(STREAM)
    front.preferred_runner = CLOSED_RUNNERS[number % 2]
    return await front.send(number, TURN)


async def turn_without_placement(front: FrontFixture, number: int) -> RecordingCaller:
    front.put(STREAM)
    return await front.send(number, TURN)


async def turn_retried_after_not_run(front: FrontFixture, number: int) -> RecordingCaller:
    front.put(STREAM)
    front.behave("sheds")
    return await front.send(number, TURN)


async def unlisted_runners(front: FrontFixture, number: int) -> RecordingCaller:
    """All runners disappeared from a list of an unhealthy registry."""
    now_s = asyncio.get_running_loop().time()
    for runner_id in (*OPEN_RUNNERS, *CLOSED_RUNNERS):
        front.table.remove(runner_id, now_s, last_resort_s=MAX_LAST_RESORT_S)
    return await front.send(number)


DISPATCH_PATHS: tuple[DispatchPath, ...] = (
    plain_request,
    session_request,
    retry_after_not_run,
    retry_after_lost_response,
    retry_after_refused_connection,
    stream,
    resumed_stream,
    placed_turn,
    turn_without_placement,
    turn_retried_after_not_run,
    unlisted_runners,
)


class DispatchPathsTest(unittest.IsolatedAsyncioTestCase):
    async def sent(
        self, path: DispatchPath, runner_filter: RunnerFilter, allowed_regions: tuple[str, ...]
    ) -> set[str]:
        reached: set[str] = set()
        for number in range(NUM_REQUESTS):
            front = FrontFixture(runner_filter, allowed_regions, has_turns=True)
            await path(front, number)
            reached.update(front.runners.sent)
        return reached

    async def test_no_dispatch_into_a_closed_zone(self) -> None:
        for path in DISPATCH_PATHS:
            with self.subTest(path=path.__name__):
                self.assertLessEqual(await self.sent(path, ZONE_B_CLOSED, ()), set(OPEN_RUNNERS))

    async def test_no_dispatch_outside_the_allowed_regions(self) -> None:
        for path in DISPATCH_PATHS:
            with self.subTest(path=path.__name__):
                self.assertLessEqual(
                    await self.sent(path, NO_ZONE_CLOSED, ALLOWED_REGIONS), set(OPEN_RUNNERS)
                )

    async def test_each_path_reaches_all_zones_without_restrictions(self) -> None:
        for path in DISPATCH_PATHS:
            with self.subTest(path=path.__name__):
                self.assertTrue(await self.sent(path, NO_ZONE_CLOSED, ()) & set(CLOSED_RUNNERS))

    def test_leader_placement_obeys_the_restrictions(self) -> None:
        for regions, filter_ in (([], ZONE_B_CLOSED), (list(ALLOWED_REGIONS), NO_ZONE_CLOSED)):
            catalog = Catalog(filter=filter_)
            runners = [KnownRunner(listed(name), 3) for name in (*CLOSED_RUNNERS, *OPEN_RUNNERS)]
            catalog.replace_runners(runners, 4, last_resort_s=0.0)
            metrics = TurnLogMetrics(CollectorRegistry())
            cold = ColdAdmission(catalog.cold, ColdRateLimit(), metrics)
            placement_service = TurnPlacement(catalog, cold, random.Random(1))
            for number in range(NUM_REQUESTS):
                demand = wire.TurnDemand(service="s", left_ms=4000, zone="b", regions=regions)
                begin = wire.BeginTurn(turn_id=f"t{number}", most_tokens=9)
                preview = wire.TurnPreview(begin=begin, demand=demand)
                placement = placement_service.place_turn(preview, CLOSED_RUNNERS[0], False, 1.0)
                self.assertIn(placement.runner_id, OPEN_RUNNERS)

    async def test_leader_receives_the_allowed_regions(self) -> None:
        front = FrontFixture(NO_ZONE_CLOSED, ALLOWED_REGIONS, has_turns=True)
        await turn_without_placement(front, 1)
        self.assertEqual(
            [list(demand.regions) for demand in front.demands], [list(ALLOWED_REGIONS)]
        )

    def test_only_known_modules_acquire_runner_connections(self) -> None:
        """Another module would add a path that this test does not cover."""
        found = []
        for folder in ("services", "turns", "gateway", "platform", "catalog", "placement"):
            for path in (SOURCES / folder).rglob("*.py"):
                for node in ast.walk(ast.parse(path.read_text())):
                    if isinstance(node, ast.Attribute) and node.attr == "acquire":
                        found.append(path.name)
        self.assertEqual(sorted(found), ["attempts.py", "objects.py"])


class ZoneClosedWhileWaitingTest(unittest.IsolatedAsyncioTestCase):
    """The zone is closed while the request waits for something."""

    def front(self, route: Route) -> FrontFixture:
        front = FrontFixture(NO_ZONE_CLOSED, (), has_turns=True)
        front.put(route)
        return front

    def close(self, front: FrontFixture) -> None:
        front.table.filter = ZONE_B_CLOSED

    async def test_for_a_connection(self) -> None:
        for number in range(NUM_REQUESTS):
            front = self.front(ROUTE)
            front.runners.before_connecting = lambda _runner, front=front: self.close(front)
            caller = await front.send(number)
            self.assertTrue(caller.is_complete)
            self.assertEqual(set(front.runners.sent) - set(OPEN_RUNNERS), set())

    async def test_for_the_turn_log(self) -> None:
        for number in range(NUM_REQUESTS):
            front = self.front(STREAM)
            front.preferred_runner = CLOSED_RUNNERS[0]
            front.before_preview = lambda front=front: self.close(front)
            caller = await front.send(number, TURN)
            self.assertTrue(caller.is_complete)
            self.assertEqual(set(front.runners.sent) - set(OPEN_RUNNERS), set())

    async def test_for_the_quota(self) -> None:
        for number in range(NUM_REQUESTS):
            front = self.front(ROUTE)
            front.before_quota = lambda front=front: self.close(front)
            caller = await front.send(number)
            self.assertTrue(caller.is_complete)
            self.assertEqual(set(front.runners.sent) - set(OPEN_RUNNERS), set())

    async def test_all_zones_closed_while_connecting(self) -> None:
        all_zones_closed = RunnerFilter(ClosedZones(5, frozenset("ab")), PLACES)
        front = self.front(ROUTE)

        def close(_runner: str) -> None:
            front.table.filter = all_zones_closed

        front.runners.before_connecting = close
        caller = await front.send()
        assert caller.refusal is not None
        self.assertEqual(caller.refusal.kind, ErrorKind.NO_RUNNER)
        self.assertEqual(caller.refusal.answer.ran, WasRun.NO)
        self.assertEqual(front.runners.sent, [])


class RunnerLeavesWhileConnectingTest(unittest.IsolatedAsyncioTestCase):
    """A runner leaves while a request waits for a connection to it."""

    # Guards against a request that reaches a runner later than it may, since it chose the runner
    # before that left and had to connect.
    async def test_request_goes_to_another_runner(self) -> None:
        for leave in (remove_runner, drain_runner, end_last_resort):
            for route, turn in ((ROUTE, None), (STREAM, TURN)):
                for number in range(NUM_REQUESTS):
                    with self.subTest(leave=leave.__name__, kind=route.kind):
                        await self.check(leave, route, turn, number)

    async def check(
        self,
        leave: Callable[[FrontFixture, str], None],
        route: Route,
        turn: TurnDetails | None,
        number: int,
    ) -> None:
        front = FrontFixture(NO_ZONE_CLOSED, (), has_turns=True)
        front.put(route)
        left: list[str] = []

        def leave_once(runner_id: str) -> None:
            if not left:
                left.append(runner_id)
                leave(front, runner_id)

        front.runners.before_connecting = leave_once
        caller = await front.send(number, turn) if turn is not None else await front.send(number)
        self.assertTrue(caller.is_complete)
        self.assertEqual(len(left), 1)
        self.assertNotIn(left[0], front.runners.sent)


def remove_runner(front: FrontFixture, runner_id: str) -> None:
    """The registry does not list a runner any more."""
    front.table.remove(runner_id, asyncio.get_running_loop().time(), last_resort_s=0.0)


def drain_runner(front: FrontFixture, runner_id: str) -> None:
    """A runner says that it leaves."""
    entry = front.table.by_id[runner_id].listed
    front.table.put(replace(entry, state=RunnerState.DRAINING))


def end_last_resort(front: FrontFixture, runner_id: str) -> None:
    """The time for which an unlisted runner was a last resort is over."""
    now_s = asyncio.get_running_loop().time()
    front.table.by_id[runner_id].last_resort_until_s = now_s


class NoEligibleRunnerTest(unittest.IsolatedAsyncioTestCase):
    """Refused with the right reason, before any request to the turn log or the quota."""

    async def refusal_detail(
        self, front: FrontFixture, turn: TurnDetails | None, credential: str = ""
    ) -> str:
        front.before_quota = front.before_preview = lambda: self.fail("unexpected request")
        caller = await front.send(turn=turn, credential=credential)
        assert caller.refusal is not None
        self.assertEqual(caller.refusal.kind, ErrorKind.NO_RUNNER)
        self.assertEqual(caller.refusal.answer.ran, WasRun.NO)
        self.assertIsNotNone(caller.refusal.answer.retry_after_s)
        self.assertEqual(front.runners.sent, [])
        return caller.refusal.detail

    async def test_all_zones_are_closed(self) -> None:
        all_zones_closed = RunnerFilter(ClosedZones(5, frozenset("ab")), PLACES)
        for route, turn in ((ROUTE, None), (STREAM, TURN)):
            front = FrontFixture(all_zones_closed, (), has_turns=True)
            front.put(route)
            self.assertIn("closed zones: a, b", await self.refusal_detail(front, turn))

    async def test_no_runner_in_the_allowed_regions(self) -> None:
        front = FrontFixture(NO_ZONE_CLOSED, ("north",), has_turns=True)
        self.assertIn("allowed regions: north", await self.refusal_detail(front, None))

    async def test_allowed_regions_are_closed(self) -> None:
        front = FrontFixture(ZONE_B_CLOSED, ("east",), has_turns=True)
        detail = await self.refusal_detail(front, None)
        self.assertIn("closed zones: b, allowed regions: east", detail)

    async def test_route_and_tenant_share_no_allowed_region(self) -> None:
        front = FrontFixture(NO_ZONE_CLOSED, ALLOWED_REGIONS, has_turns=True)
        tenant = Tenant("t", ("credential",), allowed_regions=("east",))
        route = replace(STREAM, allowed_regions=ALLOWED_REGIONS)
        front.forwarder.index = RouteIndex(ServiceDocument(1, (route,), tenants=(tenant,)))
        detail = await self.refusal_detail(front, TURN, "credential")
        self.assertIn("the route allows west, the tenant east", detail)


if __name__ == "__main__":
    unittest.main()
