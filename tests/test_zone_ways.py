"""Every way by which a request can reach a runner, against a closed zone and against homes."""

import ast
import asyncio
import random
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from unittest import mock

from prometheus_client import CollectorRegistry

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
OPEN, SHUT = ("open-1", "open-2"), ("shut-1", "shut-2")
CLOSED = RunnerFilter(ClosedZones(5, frozenset("b")), PLACES)
NO_BARRIER = RunnerFilter(places=PLACES)
HOMES = ("west",)
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
MANY = 12
"""Requests of each way; without a barrier some of them reach runners behind it."""


def address(runner_id: str) -> Address:
    return Address(runner_id, 80)


def listed(runner_id: str) -> ServiceRunner:
    zone = "a" if runner_id in OPEN else "b"
    return ServiceRunner(runner_id, "s", address(runner_id), zone, 6, RunnerState.READY)


class Connection(RunnerConnection):
    """Answers as its runner is told to."""

    def __init__(self, runners: "Runners", runner_id: str) -> None:
        self._runners = runners
        self._runner_id = runner_id

    async def send(self, request: ClientRequest) -> ResponseHead:
        assert dict(request.headers)[WANTED].decode() == self._runner_id
        self._runners.sent.append(self._runner_id)
        behaviour = self._runners.behaviour.get(self._runner_id, "")
        if behaviour == "loses":
            raise ResponseBroken("reset")
        if behaviour == "sheds":
            return ResponseHead(503, [(NOT_RUN, b"1")], True)
        return ResponseHead(200, [], True)

    async def body(self) -> AsyncIterator[bytes]:
        yield event_bytes("x", 0)

    def finish(self) -> None:
        pass

    def abort(self) -> None:
        pass


class Runners(RunnerConnections):
    """All runners; remembers what each was sent."""

    def __init__(self) -> None:
        self.sent: list[str] = []
        self.behaviour: dict[str, str] = {}
        self.before_connecting: Callable[[str], None] = lambda _runner_id: None

    async def acquire(self, address: Address) -> RunnerConnection:
        await asyncio.sleep(0)
        self.before_connecting(address.host)
        if self.behaviour.get(address.host) == "refuses":
            raise ConnectFailed("refused")
        return Connection(self, address.host)

    def has_idle(self, address: Address) -> bool:
        return False

    def release(self, address: Address, connection: RunnerConnection) -> None:
        pass

    def forget(self, address: Address) -> None:
        pass

    def close(self) -> None:
        pass


class Front:
    """A front before some open and some shut runners.

    Attributes:
        advised: runner that the leader of the turn log advises.
        before_preview, before_quota: called while a request waits for the turn log.

    """

    def __init__(self, barrier: RunnerFilter, homes: tuple[str, ...], has_turns: bool) -> None:
        self.table = RunnerTable(filter=barrier)
        for runner_id in (*OPEN, *SHUT):
            self.table.put(listed(runner_id))
        self.runners = Runners()
        self.homes = homes
        self.advised = ""
        self.asked: list[wire.TurnDemand] = []
        self.before_preview: Callable[[], None] = lambda: None
        self.before_quota: Callable[[], None] = lambda: None
        metrics = ServiceMetrics(CollectorRegistry())
        ports = RunnerPorts(
            self.table, self.runners, SimRunnerProtocol(), "b", "n", random.Random(1), metrics
        )
        client = mock.Mock(is_isolated=False)
        client.preview = self._preview
        client.command = mock.AsyncMock(
            return_value=wire.TurnReply(answer=wire.TURN_ANSWER_GRANTED)
        )
        quotas = mock.Mock()
        quotas.admit_call = self._admit_call
        turns = TurnPorts(client, TranscriptCache(1000), metrics, quotas)
        self.forwarder = Forwarder(ports, turns if has_turns else None)
        self.put(ROUTE)

    def put(self, route: Route) -> None:
        document = ServiceDocument(1, (replace(route, allowed_regions=self.homes),))
        self.forwarder.index = RouteIndex(document)

    def behave(self, behaviour: str) -> None:
        self.runners.behaviour = dict.fromkeys(OPEN, behaviour)

    async def _preview(self, preview: wire.TurnPreview) -> wire.TurnReply | None:
        await asyncio.sleep(0)
        self.asked.append(preview.demand)
        self.before_preview()
        return wire.TurnReply(answer=wire.TURN_ANSWER_GRANTED, runner_id=self.advised)

    async def _admit_call(self, *_arguments: object) -> None:
        await asyncio.sleep(0)
        self.before_quota()

    async def send(
        self,
        number: int = 0,
        turn: TurnDetails | None = None,
        resumes: str = "",
        credential: str = "",
    ) -> RecordingCaller:
        """One request; each has a session of its own."""
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
        )
        caller = RecordingCaller()
        await self.forwarder.serve(request, caller)
        return caller


Way = Callable[[Front, int], Awaitable[RecordingCaller]]


async def plain(front: Front, number: int) -> RecordingCaller:
    return await front.send(number)


async def by_session(front: Front, number: int) -> RecordingCaller:
    front.put(replace(ROUTE, is_sticky=True))
    return await front.send(number)


async def second_try_after(front: Front, number: int, behaviour: str) -> RecordingCaller:
    front.behave(behaviour)
    return await front.send(number)


async def after_a_shed(front: Front, number: int) -> RecordingCaller:
    return await second_try_after(front, number, "sheds")


async def after_a_lost_answer(front: Front, number: int) -> RecordingCaller:
    return await second_try_after(front, number, "loses")


async def after_a_refused_connection(front: Front, number: int) -> RecordingCaller:
    return await second_try_after(front, number, "refuses")


async def a_stream(front: Front, number: int) -> RecordingCaller:
    front.put(STREAM)
    return await front.send(number)


async def a_resumed_stream(front: Front, number: int) -> RecordingCaller:
    front.put(replace(STREAM, is_resumable=True, max_attempts=4))
    front.behave("loses")
    return await front.send(number, resumes="3")


async def an_advised_turn(front: Front, number: int) -> RecordingCaller:
    front.put(STREAM)
    front.advised = SHUT[number % 2]
    return await front.send(number, TURN)


async def a_turn_without_advice(front: Front, number: int) -> RecordingCaller:
    front.put(STREAM)
    return await front.send(number, TURN)


async def a_turn_after_a_shed(front: Front, number: int) -> RecordingCaller:
    front.put(STREAM)
    front.behave("sheds")
    return await front.send(number, TURN)


async def last_resorts(front: Front, number: int) -> RecordingCaller:
    """All vanished from a list that cannot be trusted."""
    now_s = asyncio.get_running_loop().time()
    for runner_id in (*OPEN, *SHUT):
        front.table.remove(runner_id, now_s, trusted=False)
    return await front.send(number)


WAYS: tuple[Way, ...] = (
    plain,
    by_session,
    after_a_shed,
    after_a_lost_answer,
    after_a_refused_connection,
    a_stream,
    a_resumed_stream,
    an_advised_turn,
    a_turn_without_advice,
    a_turn_after_a_shed,
    last_resorts,
)


class EveryWayTest(unittest.IsolatedAsyncioTestCase):
    async def sent(self, way: Way, barrier: RunnerFilter, homes: tuple[str, ...]) -> set[str]:
        reached: set[str] = set()
        for number in range(MANY):
            front = Front(barrier, homes, has_turns=True)
            await way(front, number)
            reached.update(front.runners.sent)
        return reached

    async def test_no_way_leads_into_a_closed_zone(self) -> None:
        for way in WAYS:
            with self.subTest(way=way.__name__):
                self.assertLessEqual(await self.sent(way, CLOSED, ()), set(OPEN))

    async def test_no_way_leads_out_of_the_homes(self) -> None:
        for way in WAYS:
            with self.subTest(way=way.__name__):
                self.assertLessEqual(await self.sent(way, NO_BARRIER, HOMES), set(OPEN))

    async def test_each_way_leads_there_without_a_barrier(self) -> None:
        for way in WAYS:
            with self.subTest(way=way.__name__):
                self.assertTrue(await self.sent(way, NO_BARRIER, ()) & set(SHUT))

    def test_the_leaders_advice_leads_nowhere_else(self) -> None:
        for regions, filter_ in (([], CLOSED), (list(HOMES), NO_BARRIER)):
            catalog = Catalog(filter=filter_)
            runners = [KnownRunner(listed(name), 3) for name in (*SHUT, *OPEN)]
            catalog.list_runners(runners, 4, is_trusted=True)
            metrics = TurnLogMetrics(CollectorRegistry())
            cold = ColdAdmission(catalog.cold, ColdRateLimit(), metrics)
            advice = TurnPlacement(catalog, cold, random.Random(1))
            for number in range(MANY):
                demand = wire.TurnDemand(service="s", left_ms=4000, zone="b", regions=regions)
                begin = wire.BeginTurn(turn_id=f"t{number}", most_tokens=9)
                preview = wire.TurnPreview(begin=begin, demand=demand)
                placement = advice.place_turn(preview, SHUT[0], False, 1.0)
                self.assertIn(placement.runner_id, OPEN)

    async def test_the_leader_is_told_the_homes(self) -> None:
        front = Front(NO_BARRIER, HOMES, has_turns=True)
        await a_turn_without_advice(front, 1)
        self.assertEqual([list(demand.regions) for demand in front.asked], [list(HOMES)])

    def test_connections_to_runners_are_taken_at_one_place(self) -> None:
        """A second place would be a way that this test does not walk."""
        found = []
        for folder in ("services", "turns", "gateway", "platform", "catalog", "placement"):
            for path in (SOURCES / folder).rglob("*.py"):
                for node in ast.walk(ast.parse(path.read_text())):
                    if isinstance(node, ast.Attribute) and node.attr == "acquire":
                        found.append(path.name)
        self.assertEqual(sorted(found), ["attempts.py", "objects.py"])


class WaitingTest(unittest.IsolatedAsyncioTestCase):
    """The zone is closed while the request waits for something."""

    def front(self, route: Route) -> Front:
        front = Front(NO_BARRIER, (), has_turns=True)
        front.put(route)
        return front

    def close(self, front: Front) -> None:
        front.table.filter = CLOSED

    async def test_for_a_connection(self) -> None:
        for number in range(MANY):
            front = self.front(ROUTE)
            front.runners.before_connecting = lambda _runner, front=front: self.close(front)
            caller = await front.send(number)
            self.assertTrue(caller.is_whole)
            self.assertEqual(set(front.runners.sent) - set(OPEN), set())

    async def test_for_the_turn_log(self) -> None:
        for number in range(MANY):
            front = self.front(STREAM)
            front.advised = SHUT[0]
            front.before_preview = lambda front=front: self.close(front)
            caller = await front.send(number, TURN)
            self.assertTrue(caller.is_whole)
            self.assertEqual(set(front.runners.sent) - set(OPEN), set())

    async def test_for_the_quota(self) -> None:
        for number in range(MANY):
            front = self.front(ROUTE)
            front.before_quota = lambda front=front: self.close(front)
            caller = await front.send(number)
            self.assertTrue(caller.is_whole)
            self.assertEqual(set(front.runners.sent) - set(OPEN), set())

    async def test_nothing_is_left_open_meanwhile(self) -> None:
        everything = RunnerFilter(ClosedZones(5, frozenset("ab")), PLACES)
        front = self.front(ROUTE)

        def close(_runner: str) -> None:
            front.table.filter = everything

        front.runners.before_connecting = close
        caller = await front.send()
        assert caller.refusal is not None
        self.assertEqual(caller.refusal.kind, ErrorKind.NO_RUNNER)
        self.assertEqual(caller.refusal.answer.ran, WasRun.NO)
        self.assertEqual(front.runners.sent, [])


class NothingUsableTest(unittest.IsolatedAsyncioTestCase):
    """Refused before the turn log and the quota are asked, and truthfully."""

    async def refused(self, front: Front, turn: TurnDetails | None, credential: str = "") -> str:
        front.before_quota = front.before_preview = lambda: self.fail("it was asked")
        caller = await front.send(turn=turn, credential=credential)
        assert caller.refusal is not None
        self.assertEqual(caller.refusal.kind, ErrorKind.NO_RUNNER)
        self.assertEqual(caller.refusal.answer.ran, WasRun.NO)
        self.assertIsNotNone(caller.refusal.answer.retry_after_s)
        self.assertEqual(front.runners.sent, [])
        return caller.refusal.detail

    async def test_all_zones_are_closed(self) -> None:
        everything = RunnerFilter(ClosedZones(5, frozenset("ab")), PLACES)
        for route, turn in ((ROUTE, None), (STREAM, TURN)):
            front = Front(everything, (), has_turns=True)
            front.put(route)
            self.assertIn("closed zones: a, b", await self.refused(front, turn))

    async def test_no_runner_stands_in_the_homes(self) -> None:
        front = Front(NO_BARRIER, ("north",), has_turns=True)
        self.assertIn("allowed regions: north", await self.refused(front, None))

    async def test_the_homes_left_are_closed(self) -> None:
        front = Front(CLOSED, ("east",), has_turns=True)
        detail = await self.refused(front, None)
        self.assertIn("closed zones: b, allowed regions: east", detail)

    async def test_route_and_tenant_contradict_each_other(self) -> None:
        front = Front(NO_BARRIER, HOMES, has_turns=True)
        tenant = Tenant("t", ("credential",), allowed_regions=("east",))
        route = replace(STREAM, allowed_regions=HOMES)
        front.forwarder.index = RouteIndex(ServiceDocument(1, (route,), tenants=(tenant,)))
        detail = await self.refused(front, TURN, "credential")
        self.assertIn("the route allows west, the tenant east", detail)


if __name__ == "__main__":
    unittest.main()
