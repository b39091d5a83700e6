"""Cold runners across processes: dispatches, permits, catalog replies and stored files."""

import asyncio
import heapq
import random
import unittest
from collections.abc import Callable
from dataclasses import replace

from prometheus_client import CollectorRegistry

from bendshed.catalog.codec import (
    StoredCatalog,
    decode_stored,
    encode_stored,
    make_reply,
    runner_from_wire,
)
from bendshed.catalog.cold_runner_tracker import ColdRunnerTracker
from bendshed.catalog.registry_outage import MAX_LAST_RESORT_S
from bendshed.catalog.state import Catalog, KnownRunner
from bendshed.errors import ErrorKind, Refusal, WasRun
from bendshed.model.address import Address
from bendshed.model.permit import NO_PERMIT, TimedPermit
from bendshed.model.principal import Principal
from bendshed.model.runner import RunnerState, ServiceRunner
from bendshed.model.service_document import Route, RouteKind, Service, ServiceDocument
from bendshed.placement.cold_runners import ColdRateLimit
from bendshed.ports.http_messages import ClientRequest, ConnectFailed, ResponseHead
from bendshed.ports.runner import ResponseClass, RunnerDispatch, RunnerProtocol, ServiceRequest
from bendshed.ports.runner_connections import RunnerConnection, RunnerConnections
from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.records import Kind
from bendshed.rehearsal.site.sim_world import SiteWorld
from bendshed.retries.history import AttemptHistory
from bendshed.services.attempts import Attempts, OpenResponse, RunnerPorts
from bendshed.services.metrics import ServiceMetrics
from bendshed.services.permit_client import PermitClient, RunnerPermit
from bendshed.services.runner_placement import RunnerPlacement
from bendshed.services.runners import RunnerTable
from bendshed.turns.client import TurnClient
from bendshed.turns.cold_admission import ColdAdmission, PermitRequest
from bendshed.turns.metrics import TurnLogMetrics
from bendshed.turns.state import TurnLogState
from bendshed.turns.turn_placement import TurnPlacement
from bendshed.wire import turns_pb2 as wire
from tests.site_cold_defects import LONG_COLD_S, cool_all_runners, flood
from tests.site_defects import world

START_MS = 8_000
DOCUMENT = ServiceDocument(
    1, (), {"s": Service("s", cold_per_s=25.0, cold_start_ms=START_MS), "free": Service("free")}
)
TERMS = ColdRateLimit(factor=1.5, slack=5.0)
ESTABLISHED, ESTABLISHED_NEW = 21, 16
ROUTE = Route("r", "h", "/", RouteKind.NON_IDEMPOTENT, 5_000, 200, 1, (), max_attempts=2)


def runner(name: str, left_ms: int = 0, service: str = "s") -> ServiceRunner:
    address = Address(name, 80)
    return ServiceRunner(name, service, address, "z", 6, RunnerState.READY, left_ms)


class Clock:
    def __init__(self, now_s: float) -> None:
        self.now_s = now_s

    def __call__(self) -> float:
        return self.now_s


class CatalogColdStateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock(100.0)
        self.catalog = Catalog()
        self.catalog.begin_incarnation(self.clock)
        self.catalog.apply_document(DOCUMENT)

    def reported_cold_ms(self, catalog: Catalog) -> dict[str, int]:
        rows = make_reply(catalog, since=0, known_version=0).runners
        return {row.runner_id: runner_from_wire(row).runner.cold_left_ms for row in rows}

    def test_reply_subtracts_the_elapsed_time(self) -> None:
        runners = [KnownRunner(runner("a", 5_000), 1), KnownRunner(runner("b"), 2)]
        self.catalog.replace_runners(runners, 2, last_resort_s=0.0)
        self.clock.now_s += 3.0
        self.assertEqual(self.reported_cold_ms(self.catalog), {"a": 2_000, "b": 0})
        self.clock.now_s += 3.0
        self.assertEqual(self.reported_cold_ms(self.catalog), {"a": 0, "b": 0})

    def test_receiver_counts_from_the_receipt(self) -> None:
        self.catalog.replace_runners([KnownRunner(runner("a", 5_000), 1)], 1, last_resort_s=0.0)
        self.clock.now_s += 3.0
        rows = make_reply(self.catalog, since=0, known_version=0).runners
        other_clock = Clock(7.0)
        receiver = Catalog()
        receiver.begin_incarnation(other_clock)
        receiver.apply_document(DOCUMENT)
        receiver.replace_runners([runner_from_wire(row) for row in rows], 1, last_resort_s=0.0)
        other_clock.now_s += 1.9
        self.assertTrue(receiver.cold.is_cold("a"))
        other_clock.now_s += 0.2
        self.assertFalse(receiver.cold.is_cold("a"))

    def test_repeated_entry_does_not_restart_the_countdown(self) -> None:
        known = [KnownRunner(runner("a", 5_000), 1)]
        self.catalog.replace_runners(known, 1, last_resort_s=0.0)
        self.clock.now_s += 3.0
        self.catalog.replace_runners(known, 2, last_resort_s=0.0)
        self.assertEqual(self.reported_cold_ms(self.catalog), {"a": 2_000})

    def test_entry_that_reappears_counts_as_just_started(self) -> None:
        self.catalog.replace_runners([KnownRunner(runner("a"), 1)], 1, last_resort_s=0.0)
        self.catalog.remove_runner("a", 2, last_resort_s=MAX_LAST_RESORT_S)
        self.clock.now_s += 1.0
        self.catalog.put_runner(KnownRunner(runner("a"), 3))
        self.assertEqual(self.reported_cold_ms(self.catalog), {"a": START_MS})

    def test_stored_cold_time_counts_in_full_until_it_is_updated(self) -> None:
        runners = [KnownRunner(runner("a", 5_000), 1), KnownRunner(runner("b"), 2)]
        self.catalog.replace_runners(runners, 2, last_resort_s=0.0)
        self.clock.now_s += 1.0
        content = encode_stored(StoredCatalog(self.catalog))
        restored = decode_stored(content).catalog
        restored.begin_incarnation(Clock(3_600.0))
        self.assertEqual(self.reported_cold_ms(restored), {"a": 4_000, "b": 0})
        restored.replace_runners([KnownRunner(runner("a"), 1)], 2, last_resort_s=0.0)
        self.assertEqual(self.reported_cold_ms(restored), {"a": 0})


class LeaderPermitTest(unittest.TestCase):
    """An established leader with a pool of two cold runners."""

    def setUp(self) -> None:
        self.clock = Clock(0.0)
        catalog = Catalog()
        catalog.begin_incarnation(self.clock)
        catalog.apply_document(DOCUMENT)
        runners = [KnownRunner(runner(name, 60_000), 1) for name in ("a", "b")]
        catalog.replace_runners(runners, 1, last_resort_s=0.0)
        self.catalog = catalog
        self.metrics = TurnLogMetrics(CollectorRegistry())
        cold = ColdAdmission(catalog.cold, TERMS, self.metrics)
        self.placement = TurnPlacement(catalog, cold, random.Random(1))
        self.num_turns = 0
        self.pass_time(4.0)

    def pass_time(self, seconds: float) -> None:
        until_s = self.clock.now_s + seconds
        while self.clock.now_s < until_s:
            self.clock.now_s += 0.05
            self.placement.cold.permit_counts.leadership.update(1, True, self.clock.now_s)

    def preview(self, is_new: bool) -> wire.TurnReply:
        self.num_turns += 1
        message = wire.TurnPreview()
        message.begin.turn_id = f"t{self.num_turns}"
        message.begin.program_id = f"p{self.num_turns}"
        message.demand.service = "s"
        message.demand.left_ms = 2_000
        placed = self.placement.place_turn(message, "", is_new, self.clock.now_s)
        return wire.TurnReply(
            runner_id=placed.runner_id,
            permit_ms=placed.permit_ms,
            retry_after_ms=placed.retry_after_ms,
        )

    def place(self, tried: tuple[str, ...] = (), is_new: bool = False) -> wire.TurnReply:
        self.num_turns += 1
        message = wire.RunnerAsk(request_id=f"r{self.num_turns}", is_new_program=is_new)
        message.demand.service = "s"
        message.demand.tried.extend(tried)
        placed = self.placement.permit_dispatch(message, self.clock.now_s)
        return wire.TurnReply(
            runner_id=placed.runner_id,
            permit_ms=placed.permit_ms,
            retry_after_ms=placed.retry_after_ms,
        )

    def test_new_programs_are_rejected_before_running_ones(self) -> None:
        granted = 0
        while not self.preview(is_new=True).retry_after_ms:
            granted += 1
        self.assertEqual(granted, 2 * ESTABLISHED_NEW)
        running = [self.preview(is_new=False) for _ in range(2 * ESTABLISHED + 5)]
        served = [reply for reply in running if reply.permit_ms]
        self.assertEqual(len(served), 2 * (ESTABLISHED - ESTABLISHED_NEW))

    def test_plain_requests_and_turns_share_the_bound(self) -> None:
        turns = sum(1 for _ in range(20) if self.preview(is_new=False).permit_ms)
        calls = sum(1 for _ in range(100) if self.place().permit_ms)
        self.assertEqual(turns + calls, 2 * ESTABLISHED)

    def test_retry_times_are_staggered(self) -> None:
        while not self.preview(is_new=False).retry_after_ms:
            pass
        waits_ms = [self.preview(is_new=False).retry_after_ms for _ in range(60)]
        self.assertEqual(waits_ms, sorted(waits_ms))
        self.assertGreater(waits_ms[-1], waits_ms[0] + 1_000)
        self.pass_time(waits_ms[0] / 1000)
        self.assertTrue(self.preview(is_new=False).permit_ms)

    def test_warm_runner_is_preferred_and_needs_no_permit(self) -> None:
        self.catalog.put_runner(KnownRunner(runner("a"), 2))
        replies = [self.preview(is_new=True) for _ in range(6)]
        self.assertEqual({reply.runner_id for reply in replies}, {"a"})
        self.assertEqual({reply.permit_ms for reply in replies}, {0})
        loaded = [self.preview(is_new=True) for _ in range(20)]
        self.assertEqual({reply.runner_id for reply in loaded}, {"a", "b"})

    def test_no_request_is_rejected_while_a_warm_runner_is_left(self) -> None:
        self.catalog.put_runner(KnownRunner(runner("a"), 2))
        replies = [self.preview(is_new=True) for _ in range(200)]
        self.assertFalse(any(reply.retry_after_ms for reply in replies))
        at_b = sum(1 for reply in replies if reply.runner_id == "b")
        self.assertLessEqual(at_b, ESTABLISHED)

    def test_second_attempt_goes_to_an_untried_runner(self) -> None:
        self.assertEqual(self.place(tried=("a",)).runner_id, "b")
        self.assertEqual(self.place(tried=("a", "b")).runner_id, "")

    def test_bound_applies_if_only_the_requesting_node_sees_the_runner_as_cold(self) -> None:
        for name in ("a", "b"):
            self.catalog.put_runner(KnownRunner(runner(name), 2))
        granted = sum(1 for _ in range(100) if self.place().permit_ms)
        self.assertEqual(granted, 2 * ESTABLISHED)

    def test_rejected_preview_rejects_its_begin_for_a_short_time(self) -> None:
        while not self.preview(is_new=False).retry_after_ms:
            pass
        refused = f"t{self.num_turns}"
        cold = self.placement.cold
        self.assertGreater(cold.rejection_retry_ms(refused, self.clock.now_s), 0)
        self.assertEqual(cold.rejection_retry_ms("t1", self.clock.now_s), 0)
        self.pass_time(3.0)
        self.assertEqual(cold.rejection_retry_ms(refused, self.clock.now_s), 0)

    def test_repeated_turn_is_decided_again(self) -> None:
        while not self.preview(is_new=False).retry_after_ms:
            pass
        self.num_turns -= 1
        self.catalog.put_runner(KnownRunner(runner("a"), 2))
        self.assertEqual(self.preview(is_new=False).runner_id, "a")
        refused = self.placement.cold.rejection_retry_ms(f"t{self.num_turns}", self.clock.now_s)
        self.assertEqual(refused, 0)

    def test_leader_without_a_majority_permits_nothing(self) -> None:
        self.placement.cold.permit_counts.leadership.update(1, False, self.clock.now_s)
        self.assertFalse(self.preview(is_new=False).permit_ms)
        self.assertGreater(self.place().retry_after_ms, 0)


class BurstTest(unittest.TestCase):
    """A pool of 22 cold runners under a burst of three times its normal load."""

    NUM_RUNNERS = 22
    PROGRAMS_PER_S, TURNS = 26.0, 5
    TURN_S = 0.45
    BURST, BURST_FROM_S, BURST_TO_S, END_S = 3.0, 2.0, 6.0, 8.0

    def setUp(self) -> None:
        self.clock = Clock(0.0)
        tracker = ColdRunnerTracker(clock=self.clock)
        tracker.apply_document(DOCUMENT)
        self.pool = [runner(f"r{number}", 60_000) for number in range(self.NUM_RUNNERS)]
        for listed_runner in self.pool:
            tracker.note_listed(listed_runner)
        self.cold = ColdAdmission(tracker, TERMS, TurnLogMetrics(CollectorRegistry()))
        self.cold.permit_counts.leadership.update(1, True, -10.0)
        self.rng = random.Random(1)

    def arrivals(self) -> list[tuple[float, int, int]]:
        """Arrival time, program number and remaining turns of each first turn."""
        at_s, found = 0.0, []
        while at_s < self.END_S:
            is_burst = self.BURST_FROM_S < at_s < self.BURST_TO_S
            rate = self.PROGRAMS_PER_S * (self.BURST if is_burst else 1.0)
            at_s += self.rng.expovariate(rate)
            found.append((at_s, len(found), self.TURNS))
        return found

    def is_permitted(self, program: int, left: int, now_s: float) -> bool:
        """Whether a turn may be dispatched."""
        while self.cold.permit_counts.leadership._updated_s < now_s:
            updated_s = self.cold.permit_counts.leadership._updated_s
            self.cold.permit_counts.leadership.update(1, True, min(now_s, updated_s + 0.1))
        is_new = left == self.TURNS
        message = PermitRequest(f"t{program}.{left}", f"p{program}", is_new)
        permitted = self.cold.permitted_runners(self.pool, message, now_s)
        if not permitted.runners:
            self.cold.reject(self.pool, message, now_s)
            return False
        chosen = self.cold.least_loaded(permitted.runners, message.request_id, "z", (), now_s)
        self.cold.grant(chosen, message, now_s)
        return True

    def test_burst_rejects_new_programs_but_no_running_ones(self) -> None:
        events = self.arrivals()
        heapq.heapify(events)
        refused = {True: 0, False: 0}
        num_ended = 0
        while events:
            now_s, program, left = heapq.heappop(events)
            if now_s > self.END_S:
                break
            self.clock.now_s = now_s
            if not self.is_permitted(program, left, now_s):
                refused[left == self.TURNS] += 1
            elif left > 1:
                next_s = now_s + self.TURN_S * self.rng.uniform(0.7, 1.4)
                heapq.heappush(events, (next_s, program, left - 1))
            else:
                num_ended += 1
        self.assertEqual(refused[False], 0)
        self.assertGreater(refused[True], 50)
        self.assertGreater(num_ended, 250)


class FakeProtocol(RunnerProtocol):
    def build_request(
        self, request: ServiceRequest, body: bytes, dispatch: RunnerDispatch
    ) -> ClientRequest:
        return ClientRequest(b"POST", b"/", [], body, lambda _head: True)

    def classify(self, head: ResponseHead) -> ResponseClass:
        return ResponseClass.ANSWERED


class FakeConnection(RunnerConnection):
    async def send(self, request: ClientRequest) -> ResponseHead:
        return ResponseHead(200, [], True)

    def body(self) -> object:  # type: ignore[override]
        raise NotImplementedError

    def watch_close(self, on_closed: Callable[[], None]) -> None:
        """Do nothing: the fake keeps no connections."""

    def finish(self) -> None:
        """Do nothing: the fake keeps no connections."""

    def abort(self) -> None:
        """Do nothing: the fake keeps no connections."""


class FakePool(RunnerConnections):
    """Calls ``on_acquire`` while connecting."""

    def __init__(self) -> None:
        self.on_acquire = lambda: None
        self.unreachable: set[Address] = set()

    async def acquire(self, address: Address) -> RunnerConnection:
        self.on_acquire()
        if address in self.unreachable:
            raise ConnectFailed("refused")
        return FakeConnection()

    def has_idle(self, address: Address) -> bool:
        return False

    def release(self, address: Address, connection: RunnerConnection) -> None:
        """Do nothing: the fake keeps no connections."""

    def close_idle(self, address: Address) -> None:
        """Do nothing: the fake keeps no connections."""

    def close(self) -> None:
        """Do nothing: the fake keeps no connections."""


class FakePermitClient(PermitClient):
    """Returns the given answers in order; records the runners reported as tried."""

    def __init__(self, *answers: RunnerPermit | Refusal) -> None:
        self.answers = list(answers)
        self.tried: list[list[str]] = []

    async def request_permit(
        self, request: ServiceRequest, demand: wire.TurnDemand
    ) -> RunnerPermit | Refusal:
        self.tried.append(sorted(demand.tried))
        return self.answers.pop(0)


VALID = TimedPermit(float("inf"))


class FakeTurnClient(TurnClient):
    """Records each permit request and returns the same reply."""

    def __init__(self, reply: wire.TurnReply | None) -> None:
        self.unreachable_since_s = None
        self.home_group = 0
        self.reply = reply
        self.permit_requests: list[wire.RunnerAsk] = []

    @property
    def is_isolated(self) -> bool:
        return False

    @property
    def expected_round_trip_home_s(self) -> float:
        return 0.0

    async def request_permit(
        self, message: wire.RunnerAsk, timeout_s: float
    ) -> wire.TurnReply | None:
        self.permit_requests.append(message)
        return self.reply


def call(program_id: str = "") -> ServiceRequest:
    return ServiceRequest("r1", b"POST", b"/", "h", "/", [], b"", None, program_id, "", "", None, 0)


class PermitClientTest(unittest.IsolatedAsyncioTestCase):
    async def request_permit(
        self, reply: wire.TurnReply | None, program_id: str = ""
    ) -> RunnerPermit | Refusal:
        self.client = FakeTurnClient(reply)
        permits = PermitClient(self.client, ServiceMetrics(CollectorRegistry()))
        return await permits.request_permit(
            call(program_id), wire.TurnDemand(service="s", left_ms=2_000)
        )

    async def test_permit_expiry_counts_from_the_request(self) -> None:
        requested_s = asyncio.get_running_loop().time()
        permit = await self.request_permit(wire.TurnReply(runner_id="a", permit_ms=250))
        assert isinstance(permit, RunnerPermit)
        self.assertEqual(permit.runner_id, "a")
        answered_s = asyncio.get_running_loop().time()
        self.assertTrue(requested_s + 0.25 <= permit.permit.until_s <= answered_s + 0.25)

    async def test_no_room_refusal_has_a_retry_time(self) -> None:
        no_room = wire.TurnReply(answer=wire.TURN_ANSWER_NO_ROOM, retry_after_ms=400)
        refusal = await self.request_permit(no_room)
        assert isinstance(refusal, Refusal)
        self.assertEqual((refusal.kind, refusal.retry_after_s), (ErrorKind.NO_ROOM, 0.4))
        self.assertEqual(refusal.answer.ran, WasRun.NO)

    async def test_refusal_without_an_answer(self) -> None:
        refusal = await self.request_permit(None)
        assert isinstance(refusal, Refusal)
        self.assertIs(refusal.kind, ErrorKind.TURN_LOG_UNAVAILABLE)

    async def test_refusal_if_the_leader_knows_no_runner(self) -> None:
        refusal = await self.request_permit(wire.TurnReply())
        assert isinstance(refusal, Refusal)
        self.assertIs(refusal.kind, ErrorKind.NO_RUNNER)

    async def test_only_requests_without_a_program_count_as_new(self) -> None:
        await self.request_permit(None)
        self.assertTrue(self.client.permit_requests[0].is_new_program)
        await self.request_permit(None, "p1")
        self.assertFalse(self.client.permit_requests[0].is_new_program)


class DispatchTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        loop = asyncio.get_running_loop()
        self.table = RunnerTable(cold=ColdRunnerTracker(clock=loop.time))
        self.table.cold.apply_document(DOCUMENT)
        self.pool = FakePool()
        for name in ("a", "b"):
            self.table.put(runner(name, 60_000))

    def attempts(self, *answers: RunnerPermit | Refusal) -> Attempts:
        self.permit_client = FakePermitClient(*answers)
        metrics = ServiceMetrics(CollectorRegistry())
        ports = RunnerPorts(
            self.table, self.pool, FakeProtocol(), "z", "n", random.Random(1), metrics
        )
        ports = replace(ports, permit_client=self.permit_client)
        now_s = asyncio.get_running_loop().time()
        request = ServiceRequest(
            "r1", b"POST", b"/", "h", "/", [], b"", None, "", "", "", None, now_s
        )
        placement = RunnerPlacement(ports, request, "s", "")
        history = AttemptHistory(now_s + 60)
        return Attempts(request, ROUTE, Principal(None, 0), placement, history)

    async def open(self, attempts: Attempts) -> str:
        """Return the runner that got the request, or the kind of the refusal."""
        outcome = await attempts.open(b"")
        if isinstance(outcome, OpenResponse):
            return outcome.record.listed.runner_id
        return outcome.kind.value

    async def test_warm_runner_needs_no_permit_request(self) -> None:
        self.table.put(runner("b"))
        self.assertEqual(await self.open(self.attempts()), "b")
        self.assertEqual(self.permit_client.tried, [])

    async def test_cold_runner_needs_a_permit(self) -> None:
        self.assertEqual(await self.open(self.attempts(RunnerPermit("a", VALID))), "a")
        refusal = Refusal(ErrorKind.NO_ROOM, "later", 0.3)
        outcome = await self.attempts(refusal).open(b"")
        self.assertEqual(outcome, refusal)

    async def test_preferred_cold_runner_needs_a_permit(self) -> None:
        self.table.put(runner("b"))
        attempts = self.attempts()
        attempts.placement.prefer("a", NO_PERMIT)
        self.assertEqual(await self.open(attempts), "b")
        attempts = self.attempts()
        attempts.placement.prefer("a", VALID)
        self.assertEqual(await self.open(attempts), "a")

    async def test_expired_permit_is_not_used(self) -> None:
        attempts = self.attempts(RunnerPermit("a", NO_PERMIT), RunnerPermit("a", VALID))
        self.assertEqual(await self.open(attempts), "a")
        self.assertEqual(self.permit_client.tried, [[], []])
        self.assertEqual(attempts.history.num_possible_runs, 1)

    async def test_runner_that_turns_cold_while_connecting_gets_nothing(
        self,
    ) -> None:
        self.table.put(runner("b"))
        self.pool.on_acquire = lambda: self.table.put(runner("b", 60_000))
        attempts = self.attempts(Refusal(ErrorKind.NO_ROOM, "later"))
        self.assertEqual(await self.open(attempts), "no_room")
        self.assertEqual(attempts.history.num_possible_runs, 0)

    async def test_each_attempt_needs_its_own_permit(self) -> None:
        self.pool.unreachable = {Address("a", 80)}
        attempts = self.attempts(RunnerPermit("a", VALID), RunnerPermit("b", VALID))
        self.assertEqual(await self.open(attempts), "b")
        self.assertEqual(self.permit_client.tried, [[], ["a"]])

    async def test_refusal_without_a_permit_client(self) -> None:
        attempts = self.attempts()
        attempts.placement.ports = replace(attempts.ports, permit_client=None)
        self.assertEqual(await self.open(attempts), "no_runner")

    async def test_number_of_permit_requests_is_bounded(self) -> None:
        attempts = self.attempts(*[RunnerPermit("a", NO_PERMIT)] * 9)
        self.assertEqual(await self.open(attempts), "overloaded")
        self.assertEqual(len(self.permit_client.tried), 4)


class ColdRunnerSiteTest(unittest.TestCase):
    @staticmethod
    async def num_cold(site: SiteWorld) -> list[int]:
        """Number of cold runners at each front."""
        fronts = [machine.front for machine in site.fronts.values() if machine.front]
        return [front._table.cold.num_cold for front in fronts]

    def test_leader_is_paused_with_outstanding_permits_and_resumes(self) -> None:
        for seed in (1, 2):
            with self.subTest(seed=seed), world(seed) as site:
                cool_all_runners(site, LONG_COLD_S)
                site.run_for(2.5)
                flood(site, 50, tools=1)
                site.run_for(0.1)
                leader = site.leader()
                assert leader is not None
                leader.process.paused = True
                site.run_for(1.5)
                flood(site, 50, tools=1)
                site.run_for(0.2)
                leader.process.resume(site.loop)
                site.run_for(3.0)
                self.assertEqual(site.settle(), [])

    def test_leader_is_cut_off_from_replicas_but_not_from_fronts(self) -> None:
        with world(3) as site:
            cool_all_runners(site, LONG_COLD_S)
            site.run_for(2.5)
            leader = site.leader()
            assert leader is not None
            others = [store for store in site.stores.values() if store is not leader]
            for other in others:
                site.network.cuts.update({(leader.host, other.host), (other.host, leader.host)})
            for _ in range(6):
                flood(site, 20, tools=1)
                site.run_for(0.4)
            site.network.cuts.clear()
            site.run_for(2.0)
            self.assertEqual(site.settle(), [])

    @staticmethod
    def refused_share(site: SiteWorld, since_s: float) -> dict[bool, float]:
        """Share of refused turns, by whether a turn of their program was served before."""
        served: set[str] = set()
        counts = {True: [0, 0], False: [0, 0]}
        for request in sorted(site.seen.requests, key=lambda row: row.ended_s):
            if request.kind is Kind.TURN and request.is_over and request.sent_s >= since_s:
                count = counts[request.program_id in served]
                count[0] += request.status == 503
                count[1] += 1
            if request.kind is Kind.TURN and request.status == 200:
                served.add(request.program_id)
        return {is_served: refused / total for is_served, (refused, total) in counts.items()}

    def test_running_programs_have_priority(self) -> None:
        for seed in (4, 5):
            with self.subTest(seed=seed), world(seed) as site:
                site.run_for(3.0)
                cool_all_runners(site, LONG_COLD_S)
                site.run_for(0.5)
                for _ in range(12):
                    flood(site, 15, turns=4)
                    site.run_for(0.6)
                shares = self.refused_share(site, since_s=site.loop.time() - 5.2)
                self.assertGreater(shares[False], 0.9)
                self.assertLess(shares[True], shares[False] - 0.2)
                self.assertEqual(site.settle(), [])

    def test_rejected_program_stays_new(self) -> None:
        with world(4) as site:
            flood(site, 10)  # each front finds the leader
            site.run_for(6.0)
            cool_all_runners(site, LONG_COLD_S)
            site.run_for(0.5)
            flood(site, 60)
            site.run_for(1.0)
            leader = site.leader()
            assert leader is not None and leader.replica is not None
            state = leader.replica.host.groups[0].state
            assert isinstance(state, TurnLogState)
            begun = {program_id for _, program_id in state.programs}
            refused = {
                program.program_id
                for program in site.programs[10:]
                if program.statuses and set(program.statuses) == {503}
            }
            self.assertGreater(len(refused), 20)
            self.assertEqual(begun & refused, set())

    def test_all_runners_are_replaced_at_once(self) -> None:
        with world(5) as site:
            flood(site, 10, tools=2)
            site.run_for(3.0)
            for name in list(site.runners):
                site.replace_runner(name)
            site.run_for(0.3)
            flood(site, 3, tools=1)
            site.run_for(6.0)
            self.assertEqual(site.settle(), [])
            self.assertTrue(all(program.finished for program in site.programs[10:]))

    def test_all_machines_restart_from_stored_files_while_the_registry_is_down(self) -> None:
        with world(6) as site:
            cool_all_runners(site, LONG_COLD_S)
            site.run_for(2.0)
            site.registry.is_down = True
            machines = [*site.fronts.values(), *site.stores.values()]
            for machine in machines:
                site.kill(machine)
            site.run_for(1.0)
            for machine in machines:
                site.restart(machine)
            site.run_for(1.0)
            self.assertEqual(site.loop.run_until_complete(self.num_cold(site)), [5, 5, 5])
            program = site.start_program(ProgramPlan(turns=2, tools=1))
            site.run_for(3.0)
            self.assertTrue(program.finished)
