"""Cold runners between processes: what fronts send, leaders grant, catalogs tell and disks keep."""

import asyncio
import heapq
import random
import unittest
from dataclasses import replace

from prometheus_client import CollectorRegistry

from bendshed.catalog.codec import (
    StoredCatalog,
    decode_stored,
    encode_stored,
    read_runner,
    write_reply,
)
from bendshed.catalog.cold_runner_tracker import ColdRunnerTracker
from bendshed.catalog.state import Catalog, KnownRunner
from bendshed.errors import ErrorKind, Refusal, WasRun
from bendshed.model.address import Address
from bendshed.model.permit import NO_PERMIT, TimedPermit
from bendshed.model.principal import Principal
from bendshed.model.runner import RunnerState, ServiceRunner
from bendshed.model.service_document import Route, RouteKind, Service, ServiceDocument
from bendshed.placement.cold_runners import ColdRateLimit
from bendshed.ports.http_messages import ClientRequest, ConnectFailed, ResponseHead
from bendshed.ports.runner import RunnerDispatch, RunnerProtocol, ServiceRequest, Verdict
from bendshed.ports.runner_connections import RunnerConnection, RunnerConnections
from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.records import Kind
from bendshed.rehearsal.site.sim_world import SiteWorld
from bendshed.retries.history import AttemptHistory
from bendshed.services.attempts import Attempts, OpenAnswer, RunnerPorts
from bendshed.services.metrics import ServiceMetrics
from bendshed.services.permit_client import Permit, PermitClient
from bendshed.services.runner_placement import RunnerPlacement
from bendshed.services.runners import RunnerTable
from bendshed.turns.client import TurnClient
from bendshed.turns.cold_admission import ColdAdmission, PermitRequest
from bendshed.turns.metrics import TurnLogMetrics
from bendshed.turns.state import TurnLogState
from bendshed.turns.turn_placement import TurnPlacement
from bendshed.wire import turns_pb2 as wire
from tests.site_cold_defects import LONG_S, cool_all, flood
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


class CatalogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock(100.0)
        self.catalog = Catalog()
        self.catalog.begin_incarnation(self.clock)
        self.catalog.take_document(DOCUMENT)

    def told(self, catalog: Catalog) -> dict[str, int]:
        rows = write_reply(catalog, since=0, known_version=0).runners
        return {row.runner_id: read_runner(row).runner.cold_left_ms for row in rows}

    def test_what_is_told_late_has_aged(self) -> None:
        runners = [KnownRunner(runner("a", 5_000), 1), KnownRunner(runner("b"), 2)]
        self.catalog.list_runners(runners, 2, is_trusted=True)
        self.clock.now_s += 3.0
        self.assertEqual(self.told(self.catalog), {"a": 2_000, "b": 0})
        self.clock.now_s += 3.0
        self.assertEqual(self.told(self.catalog), {"a": 0, "b": 0})

    def test_an_asker_ages_it_from_the_moment_at_which_it_hears(self) -> None:
        self.catalog.list_runners([KnownRunner(runner("a", 5_000), 1)], 1, is_trusted=True)
        self.clock.now_s += 3.0
        rows = write_reply(self.catalog, since=0, known_version=0).runners
        other_clock = Clock(7.0)
        asker = Catalog()
        asker.begin_incarnation(other_clock)
        asker.take_document(DOCUMENT)
        asker.list_runners([read_runner(row) for row in rows], 1, is_trusted=True)
        other_clock.now_s += 1.9
        self.assertTrue(asker.cold.is_cold("a"))
        other_clock.now_s += 0.2
        self.assertFalse(asker.cold.is_cold("a"))

    def test_the_same_word_again_does_not_count_anew(self) -> None:
        known = [KnownRunner(runner("a", 5_000), 1)]
        self.catalog.list_runners(known, 1, is_trusted=True)
        self.clock.now_s += 3.0
        self.catalog.list_runners(known, 2, is_trusted=True)
        self.assertEqual(self.told(self.catalog), {"a": 2_000})

    def test_an_entry_that_vanished_and_came_back_is_told_as_just_started(self) -> None:
        self.catalog.list_runners([KnownRunner(runner("a"), 1)], 1, is_trusted=True)
        self.catalog.remove_runner("a", 2, is_trusted=False)
        self.clock.now_s += 1.0
        self.catalog.put_runner(KnownRunner(runner("a"), 3))
        self.assertEqual(self.told(self.catalog), {"a": START_MS})

    def test_a_word_on_the_disk_counts_in_full_however_old_until_it_is_told_anew(self) -> None:
        runners = [KnownRunner(runner("a", 5_000), 1), KnownRunner(runner("b"), 2)]
        self.catalog.list_runners(runners, 2, is_trusted=True)
        self.clock.now_s += 1.0
        content = encode_stored(StoredCatalog(self.catalog))
        kept = decode_stored(content).catalog
        kept.begin_incarnation(Clock(3_600.0))
        self.assertEqual(self.told(kept), {"a": 4_000, "b": 0})
        kept.list_runners([KnownRunner(runner("a"), 1)], 2, is_trusted=True)
        self.assertEqual(self.told(kept), {"a": 0})


class LeaderTest(unittest.TestCase):
    """An established leader of a pool of two runners that are cold."""

    def setUp(self) -> None:
        self.clock = Clock(0.0)
        catalog = Catalog()
        catalog.begin_incarnation(self.clock)
        catalog.take_document(DOCUMENT)
        runners = [KnownRunner(runner(name, 60_000), 1) for name in ("a", "b")]
        catalog.list_runners(runners, 1, is_trusted=True)
        self.catalog = catalog
        self.metrics = TurnLogMetrics(CollectorRegistry())
        cold = ColdAdmission(catalog.cold, TERMS, self.metrics)
        self.advice = TurnPlacement(catalog, cold, random.Random(1))
        self.num_turns = 0
        self.pass_time(4.0)

    def pass_time(self, seconds: float) -> None:
        until_s = self.clock.now_s + seconds
        while self.clock.now_s < until_s:
            self.clock.now_s += 0.05
            self.advice.cold.permit_counts.leadership.update(1, True, self.clock.now_s)

    def preview(self, is_new: bool) -> wire.TurnReply:
        self.num_turns += 1
        asked = wire.TurnPreview()
        asked.begin.turn_id = f"t{self.num_turns}"
        asked.begin.program_id = f"p{self.num_turns}"
        asked.demand.service = "s"
        asked.demand.left_ms = 2_000
        placed = self.advice.place_turn(asked, "", is_new, self.clock.now_s)
        return wire.TurnReply(
            runner_id=placed.runner_id,
            permit_ms=placed.permit_ms,
            retry_after_ms=placed.retry_after_ms,
        )

    def place(self, tried: tuple[str, ...] = (), is_new: bool = False) -> wire.TurnReply:
        self.num_turns += 1
        ask = wire.RunnerAsk(request_id=f"r{self.num_turns}", is_new_program=is_new)
        ask.demand.service = "s"
        ask.demand.tried.extend(tried)
        placed = self.advice.permit_dispatch(ask, self.clock.now_s)
        return wire.TurnReply(
            runner_id=placed.runner_id,
            permit_ms=placed.permit_ms,
            retry_after_ms=placed.retry_after_ms,
        )

    def test_new_programs_are_refused_while_those_under_way_have_room(self) -> None:
        granted = 0
        while not self.preview(is_new=True).retry_after_ms:
            granted += 1
        self.assertEqual(granted, 2 * ESTABLISHED_NEW)
        under_way = [self.preview(is_new=False) for _ in range(2 * ESTABLISHED + 5)]
        served = [reply for reply in under_way if reply.permit_ms]
        self.assertEqual(len(served), 2 * (ESTABLISHED - ESTABLISHED_NEW))

    def test_plain_requests_count_with_turns(self) -> None:
        turns = sum(1 for _ in range(20) if self.preview(is_new=False).permit_ms)
        calls = sum(1 for _ in range(100) if self.place().permit_ms)
        self.assertEqual(turns + calls, 2 * ESTABLISHED)

    def test_who_is_refused_comes_back_to_room_one_behind_the_other(self) -> None:
        while not self.preview(is_new=False).retry_after_ms:
            pass
        waits_ms = [self.preview(is_new=False).retry_after_ms for _ in range(60)]
        self.assertEqual(waits_ms, sorted(waits_ms))
        self.assertGreater(waits_ms[-1], waits_ms[0] + 1_000)
        self.pass_time(waits_ms[0] / 1000)
        self.assertTrue(self.preview(is_new=False).permit_ms)

    def test_a_warm_runner_comes_first_and_needs_no_leave(self) -> None:
        self.catalog.put_runner(KnownRunner(runner("a"), 2))
        replies = [self.preview(is_new=True) for _ in range(6)]
        self.assertEqual({reply.runner_id for reply in replies}, {"a"})
        self.assertEqual({reply.permit_ms for reply in replies}, {0})
        loaded = [self.preview(is_new=True) for _ in range(20)]
        self.assertEqual({reply.runner_id for reply in loaded}, {"a", "b"})

    def test_with_a_warm_runner_left_nobody_is_refused(self) -> None:
        self.catalog.put_runner(KnownRunner(runner("a"), 2))
        replies = [self.preview(is_new=True) for _ in range(200)]
        self.assertFalse(any(reply.retry_after_ms for reply in replies))
        at_b = sum(1 for reply in replies if reply.runner_id == "b")
        self.assertLessEqual(at_b, ESTABLISHED)

    def test_a_second_try_goes_to_a_runner_that_was_not_tried(self) -> None:
        self.assertEqual(self.place(tried=("a",)).runner_id, "b")
        self.assertEqual(self.place(tried=("a", "b")).runner_id, "")

    def test_a_runner_that_only_the_asker_thinks_cold_is_held_to_the_bound_too(self) -> None:
        for name in ("a", "b"):
            self.catalog.put_runner(KnownRunner(runner(name), 2))
        granted = sum(1 for _ in range(100) if self.place().permit_ms)
        self.assertEqual(granted, 2 * ESTABLISHED)

    def test_the_refusal_of_a_preview_holds_for_its_begin_for_a_moment(self) -> None:
        while not self.preview(is_new=False).retry_after_ms:
            pass
        refused = f"t{self.num_turns}"
        cold = self.advice.cold
        self.assertGreater(cold.rejection_retry_ms(refused, self.clock.now_s), 0)
        self.assertEqual(cold.rejection_retry_ms("t1", self.clock.now_s), 0)
        self.pass_time(3.0)
        self.assertEqual(cold.rejection_retry_ms(refused, self.clock.now_s), 0)

    def test_a_turn_that_comes_again_is_judged_anew(self) -> None:
        while not self.preview(is_new=False).retry_after_ms:
            pass
        self.num_turns -= 1
        self.catalog.put_runner(KnownRunner(runner("a"), 2))
        self.assertEqual(self.preview(is_new=False).runner_id, "a")
        refused = self.advice.cold.rejection_retry_ms(f"t{self.num_turns}", self.clock.now_s)
        self.assertEqual(refused, 0)

    def test_a_leader_that_hears_no_majority_permits_nothing(self) -> None:
        self.advice.cold.permit_counts.leadership.update(1, False, self.clock.now_s)
        self.assertFalse(self.preview(is_new=False).permit_ms)
        self.assertGreater(self.place().retry_after_ms, 0)


class BurstTest(unittest.TestCase):
    """A pool of 22 runners that are all cold, in a burst of three times its calm load."""

    NUM_RUNNERS = 22
    PROGRAMS_PER_S, TURNS = 26.0, 5
    TURN_S = 0.45
    BURST, BURST_FROM_S, BURST_TO_S, END_S = 3.0, 2.0, 6.0, 8.0

    def setUp(self) -> None:
        self.clock = Clock(0.0)
        tracker = ColdRunnerTracker(clock=self.clock)
        tracker.take_document(DOCUMENT)
        self.pool = [runner(f"r{number}", 60_000) for number in range(self.NUM_RUNNERS)]
        for one in self.pool:
            tracker.put(one)
        self.cold = ColdAdmission(tracker, TERMS, TurnLogMetrics(CollectorRegistry()))
        self.cold.permit_counts.leadership.update(1, True, -10.0)
        self.rng = random.Random(1)

    def arrivals(self) -> list[tuple[float, int, int]]:
        """Time, program and turns that are left, of each first turn."""
        at_s, found = 0.0, []
        while at_s < self.END_S:
            is_burst = self.BURST_FROM_S < at_s < self.BURST_TO_S
            rate = self.PROGRAMS_PER_S * (self.BURST if is_burst else 1.0)
            at_s += self.rng.expovariate(rate)
            found.append((at_s, len(found), self.TURNS))
        return found

    def ask(self, program: int, left: int, now_s: float) -> bool:
        """Whether a turn may go."""
        while self.cold.permit_counts.leadership._updated_s < now_s:
            looked_s = self.cold.permit_counts.leadership._updated_s
            self.cold.permit_counts.leadership.update(1, True, min(now_s, looked_s + 0.1))
        is_new = left == self.TURNS
        ask = PermitRequest(f"t{program}.{left}", f"p{program}", is_new)
        openings = self.cold.permitted_runners(self.pool, ask, now_s)
        if not openings.runners:
            self.cold.reject(self.pool, ask, now_s)
            return False
        chosen = self.cold.least_loaded(openings.runners, ask.request_id, "z", (), now_s)
        self.cold.grant(chosen, ask, now_s)
        return True

    def test_new_programs_are_refused_and_no_turn_of_those_under_way(self) -> None:
        events = self.arrivals()
        heapq.heapify(events)
        refused = {True: 0, False: 0}
        num_ended = 0
        while events:
            now_s, program, left = heapq.heappop(events)
            if now_s > self.END_S:
                break
            self.clock.now_s = now_s
            if not self.ask(program, left, now_s):
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
    def request(
        self, request: ServiceRequest, body: bytes, sending: RunnerDispatch
    ) -> ClientRequest:
        return ClientRequest(b"POST", b"/", [], body, lambda _head: True)

    def verdict(self, head: ResponseHead) -> Verdict:
        return Verdict.ANSWERED


class FakeConnection(RunnerConnection):
    async def send(self, request: ClientRequest) -> ResponseHead:
        return ResponseHead(200, [], True)

    def body(self) -> object:  # type: ignore[override]
        raise NotImplementedError

    def finish(self) -> None:
        """Nothing is kept."""

    def abort(self) -> None:
        """Nothing is kept."""


class FakePool(RunnerConnections):
    """Runs ``on_acquire`` while a connection comes up."""

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
        """Nothing is kept."""

    def forget(self, address: Address) -> None:
        """Nothing is kept."""

    def close(self) -> None:
        """Nothing is kept."""


class FakeAsks(PermitClient):
    """Answers in order; remembers which runners were named as tried."""

    def __init__(self, *answers: Permit | Refusal) -> None:
        self.answers = list(answers)
        self.tried: list[list[str]] = []

    async def ask(self, request: ServiceRequest, demand: wire.TurnDemand) -> Permit | Refusal:
        self.tried.append(sorted(demand.tried))
        return self.answers.pop(0)


VALID = TimedPermit(float("inf"))


class FakeClient(TurnClient):
    """Answers each question alike, after it took note."""

    def __init__(self, reply: wire.TurnReply | None) -> None:
        self.unreachable_since_s = None
        self.home_group = 0
        self.reply = reply
        self.permits: list[wire.RunnerAsk] = []

    @property
    def is_isolated(self) -> bool:
        return False

    @property
    def expected_round_trip_home_s(self) -> float:
        return 0.0

    async def request_permit(self, ask: wire.RunnerAsk, timeout_s: float) -> wire.TurnReply | None:
        self.permits.append(ask)
        return self.reply


def call(program_id: str = "") -> ServiceRequest:
    return ServiceRequest("r1", b"POST", b"/", "h", "/", [], b"", None, program_id, "", "", None, 0)


class AsksTest(unittest.IsolatedAsyncioTestCase):
    async def ask(self, reply: wire.TurnReply | None, program_id: str = "") -> Permit | Refusal:
        self.client = FakeClient(reply)
        permits = PermitClient(self.client, ServiceMetrics(CollectorRegistry()))
        return await permits.ask(call(program_id), wire.TurnDemand(service="s", left_ms=2_000))

    async def test_leave_runs_from_the_question(self) -> None:
        asked_s = asyncio.get_running_loop().time()
        permit = await self.ask(wire.TurnReply(runner_id="a", permit_ms=250))
        assert isinstance(permit, Permit)
        self.assertEqual(permit.runner_id, "a")
        answered_s = asyncio.get_running_loop().time()
        self.assertTrue(asked_s + 0.25 <= permit.permit.until_s <= answered_s + 0.25)

    async def test_no_room_tells_when_to_come_back(self) -> None:
        no_room = wire.TurnReply(answer=wire.TURN_ANSWER_NO_ROOM, retry_after_ms=400)
        refusal = await self.ask(no_room)
        assert isinstance(refusal, Refusal)
        self.assertEqual((refusal.kind, refusal.retry_after_s), (ErrorKind.NO_ROOM, 0.4))
        self.assertEqual(refusal.answer.ran, WasRun.NO)

    async def test_nobody_answers(self) -> None:
        refusal = await self.ask(None)
        assert isinstance(refusal, Refusal)
        self.assertIs(refusal.kind, ErrorKind.TURN_LOG_UNAVAILABLE)

    async def test_the_leader_knows_no_runner(self) -> None:
        refusal = await self.ask(wire.TurnReply())
        assert isinstance(refusal, Refusal)
        self.assertIs(refusal.kind, ErrorKind.NO_RUNNER)

    async def test_only_a_request_of_no_program_is_a_new_one(self) -> None:
        await self.ask(None)
        self.assertTrue(self.client.permits[0].is_new_program)
        await self.ask(None, "p1")
        self.assertFalse(self.client.permits[0].is_new_program)


class SendingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        loop = asyncio.get_running_loop()
        self.table = RunnerTable(cold=ColdRunnerTracker(clock=loop.time))
        self.table.cold.take_document(DOCUMENT)
        self.pool = FakePool()
        for name in ("a", "b"):
            self.table.put(runner(name, 60_000))

    def attempts(self, *answers: Permit | Refusal) -> Attempts:
        self.permits = FakeAsks(*answers)
        metrics = ServiceMetrics(CollectorRegistry())
        ports = RunnerPorts(
            self.table, self.pool, FakeProtocol(), "z", "n", random.Random(1), metrics
        )
        ports = replace(ports, permits=self.permits)
        now_s = asyncio.get_running_loop().time()
        request = ServiceRequest(
            "r1", b"POST", b"/", "h", "/", [], b"", None, "", "", "", None, now_s
        )
        placement = RunnerPlacement(ports, request, "s", "")
        history = AttemptHistory(now_s + 60)
        return Attempts(request, ROUTE, Principal(None, 0), placement, history)

    async def open(self, attempts: Attempts) -> str:
        """Runner that got it, or the kind of the refusal."""
        outcome = await attempts.open(b"")
        if isinstance(outcome, OpenAnswer):
            return outcome.record.listed.runner_id
        return outcome.kind.value

    async def test_a_warm_runner_is_sent_to_without_a_question(self) -> None:
        self.table.put(runner("b"))
        self.assertEqual(await self.open(self.attempts()), "b")
        self.assertEqual(self.permits.tried, [])

    async def test_a_cold_one_only_with_leave(self) -> None:
        self.assertEqual(await self.open(self.attempts(Permit("a", VALID))), "a")
        refusal = Refusal(ErrorKind.NO_ROOM, "later", 0.3)
        outcome = await self.attempts(refusal).open(b"")
        self.assertEqual(outcome, refusal)

    async def test_advice_without_leave_is_not_followed_to_a_cold_runner(self) -> None:
        self.table.put(runner("b"))
        attempts = self.attempts()
        attempts.placement.prefer("a", NO_PERMIT)
        self.assertEqual(await self.open(attempts), "b")
        attempts = self.attempts()
        attempts.placement.prefer("a", VALID)
        self.assertEqual(await self.open(attempts), "a")

    async def test_leave_that_ran_out_on_the_way_is_not_used(self) -> None:
        attempts = self.attempts(Permit("a", NO_PERMIT), Permit("a", VALID))
        self.assertEqual(await self.open(attempts), "a")
        self.assertEqual(self.permits.tried, [[], []])
        self.assertEqual(attempts.history.num_possible_runs, 1)

    async def test_a_runner_that_turns_cold_while_its_connection_comes_up_gets_nothing(
        self,
    ) -> None:
        self.table.put(runner("b"))
        self.pool.on_acquire = lambda: self.table.put(runner("b", 60_000))
        attempts = self.attempts(Refusal(ErrorKind.NO_ROOM, "later"))
        self.assertEqual(await self.open(attempts), "no_room")
        self.assertEqual(attempts.history.num_possible_runs, 0)

    async def test_each_try_needs_its_own_leave(self) -> None:
        self.pool.unreachable = {Address("a", 80)}
        attempts = self.attempts(Permit("a", VALID), Permit("b", VALID))
        self.assertEqual(await self.open(attempts), "b")
        self.assertEqual(self.permits.tried, [[], ["a"]])

    async def test_without_anybody_to_ask_it_is_refused(self) -> None:
        attempts = self.attempts()
        attempts.placement.ports = replace(attempts.ports, permits=None)
        self.assertEqual(await self.open(attempts), "no_runner")

    async def test_leave_is_asked_for_a_bounded_number_of_times(self) -> None:
        attempts = self.attempts(*[Permit("a", NO_PERMIT)] * 9)
        self.assertEqual(await self.open(attempts), "overloaded")
        self.assertEqual(len(self.permits.tried), 4)


class ColdSiteTest(unittest.TestCase):
    @staticmethod
    async def num_cold(site: SiteWorld) -> list[int]:
        """Runners that each front counts as cold."""
        fronts = [machine.front for machine in site.fronts.values() if machine.front]
        return [front._table.cold.num_cold for front in fronts]

    def test_a_leader_is_frozen_with_leave_out_and_wakes(self) -> None:
        for seed in (1, 2):
            with self.subTest(seed=seed), world(seed) as site:
                cool_all(site, LONG_S)
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

    def test_a_leader_is_cut_from_the_others_and_not_from_fronts(self) -> None:
        with world(3) as site:
            cool_all(site, LONG_S)
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
        """Share of turns that were refused, by whether a turn of their program had been served."""
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

    def test_programs_under_way_come_first(self) -> None:
        for seed in (4, 5):
            with self.subTest(seed=seed), world(seed) as site:
                site.run_for(3.0)
                cool_all(site, LONG_S)
                site.run_for(0.5)
                for _ in range(12):
                    flood(site, 15, turns=4)
                    site.run_for(0.6)
                shares = self.refused_share(site, since_s=site.loop.time() - 5.2)
                self.assertGreater(shares[False], 0.9)
                self.assertLess(shares[True], shares[False] - 0.2)
                self.assertEqual(site.settle(), [])

    def test_a_program_that_was_refused_stays_a_new_one(self) -> None:
        with world(4) as site:
            flood(site, 10)  # every front learns who leads
            site.run_for(6.0)
            cool_all(site, LONG_S)
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

    def test_all_machines_restart_with_kept_files_while_the_registry_is_away(self) -> None:
        with world(6) as site:
            cool_all(site, LONG_S)
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
