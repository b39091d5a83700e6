"""Injected defects of request handling in fronts and stores, and scenarios that detect them."""

import contextlib
from collections.abc import AsyncIterator, Callable, Iterator
from dataclasses import dataclass
from unittest import mock

from bendshed.admission.access import AccessIndex
from bendshed.admission.quota_allowance import LocalAllowances
from bendshed.admission.quota_ledger import QuotaLedger
from bendshed.admission.quota_usage import UsageWindows
from bendshed.admission.sliding_window import SlidingWindowCounter
from bendshed.consensus.raft import RaftReplica
from bendshed.errors import ErrorKind, Refusal
from bendshed.model.route_index import RouteIndex
from bendshed.model.service_document import ServiceDocument, Tenant
from bendshed.ports.http_messages import ResponseBroken
from bendshed.rehearsal.site.documents import GUEST, NARROW, WIDE, TurnRouteTimes
from bendshed.rehearsal.site.oracle import Rule, Violation
from bendshed.rehearsal.site.programs import ProgramPlan
from bendshed.rehearsal.site.sim_runners import SimConnection
from bendshed.rehearsal.site.sim_world import SiteWorld
from bendshed.retries import decisions
from bendshed.services import turn_codec
from bendshed.services.attempts import Attempts, OpenResponse
from bendshed.services.node import ServiceNode
from bendshed.services.runners import RunnerTable
from bendshed.services.turn_record import TurnRecord
from bendshed.turns import service
from bendshed.turns.client import TranscriptCache
from bendshed.turns.led_group import LedGroup
from bendshed.turns.state import TurnLogState
from bendshed.wire import turns_pb2 as wire
from tests.region_defects import REGION_DEFECTS

Scenario = Callable[[int], list[Violation]]
ONE_TURN = ProgramPlan(turns=1, tools=0)
JUST_BEFORE_S = 0.001


@contextlib.contextmanager
def world(seed: int) -> Iterator[SiteWorld]:
    started = SiteWorld.started(seed)
    try:
        yield started
    finally:
        started.close()


def start_programs(site: SiteWorld, count: int = 6) -> None:
    for number in range(count):
        site.start_program(ProgramPlan(turns=3, tools=2, sub_agents=number % 2 * 2))


def runners_lose_answers(seed: int) -> list[Violation]:
    with world(seed) as site:
        for runner in site.runners.values():
            runner.troubles.lose_answer = 0.4
        start_programs(site)
        site.run_for(6.0)
        return site.settle()


def clients_return_late(seed: int) -> list[Violation]:
    """Programs continue from turns just before the time since their answers is over."""
    with world(seed) as site:
        site.start_program(ONE_TURN)
        site.run_for(3.0)
        turn = site.seen.requests[-1]
        return_s = turn.ended_s + site.seen.retention_s - JUST_BEFORE_S
        site.run_for(return_s - site.loop.time())
        site.start_program(ONE_TURN, continues=turn.request_id)
        return site.settle()


def timeout_rises_before_clients_return(seed: int) -> list[Violation]:
    """Turns end at a route with a short time-out; later turns are long and have more time."""
    with world(seed) as site:
        site.change_turn_route(TurnRouteTimes(timeout_ms=1_200))
        site.run_for(2.0)
        site.start_program(ONE_TURN)
        site.run_for(3.0)
        turn = site.seen.requests[-1]
        site.change_turn_route(TurnRouteTimes(timeout_ms=30_000))
        return_s = turn.ended_s + site.seen.retention_s - JUST_BEFORE_S
        site.run_for(return_s - site.loop.time())
        for runner in site.runners.values():
            runner.troubles.slow = 80.0
        site.start_program(ONE_TURN, continues=turn.request_id)
        site.run_for(15.0)
        return site.settle()


def runners_truncate_answers(seed: int) -> list[Violation]:
    with world(seed) as site:
        for runner in site.runners.values():
            runner.troubles.cut = 0.5
        start_programs(site)
        site.run_for(6.0)
        return site.settle()


def no_faults(seed: int) -> list[Violation]:
    with world(seed) as site:
        start_programs(site)
        site.run_for(4.0)
        return site.settle()


def programs_loop(seed: int) -> list[Violation]:
    with world(seed) as site:
        for _ in range(3):
            site.start_program(ProgramPlan(sub_agents=5, loops=True), budget_tokens=400)
        site.run_for(6.0)
        return site.settle()


def leader_loses_its_disk(seed: int) -> list[Violation]:
    """The leader loses its disk right after answering turns, while cut off from other stores."""
    with world(seed) as site:
        start_programs(site)
        for _ in range(3):
            site.run_for(5.0)
            leader = site.leader()
            assert leader is not None
            others = [m for m in site.stores.values() if m is not leader]
            site.network.cuts.update((leader.host, other.host) for other in others)
            start_programs(site, 3)
            site.run_for(0.4)
            site.kill(leader)
            leader.lose_disk()
            site.network.cuts.clear()
            site.restart(leader)
        return site.settle()


def leader_loses_its_disk_in_three_worlds(seed: int) -> list[Violation]:
    """Run the scenario in three worlds, since one that serves nothing cannot lose a turn either."""
    violations: list[Violation] = []
    not_served: AssertionError | None = None
    for each in (seed, seed + 2, seed + 4):
        try:
            violations += leader_loses_its_disk(each)
        except AssertionError as error:
            not_served = error
    if not_served is not None and not violations:
        raise not_served
    return violations


def runners_are_drained(seed: int) -> list[Violation]:
    with world(seed) as site:
        start_programs(site)
        site.drain_runner("engine-1")
        site.drain_runner("tool-1")
        site.run_for(3.0)
        start_programs(site)
        site.run_for(4.0)
        return site.settle()


def clients_disconnect(seed: int) -> list[Violation]:
    with world(seed) as site:
        for runner in site.runners.values():
            runner.troubles.slow = 8.0
        start_programs(site)
        for _ in range(8):
            site.run_for(0.4)
            for request in site.waiting_requests()[:2]:
                site.leave(request)
        return site.settle()


def fronts_stop_gracefully(seed: int) -> list[Violation]:
    with world(seed) as site:
        start_programs(site, 8)
        site.run_for(0.1)
        for front in list(site.fronts.values()):
            site.planned_stop(front, grace_s=3.0)
        return site.settle()


def stale_configurations_arrive(seed: int) -> list[Violation]:
    with world(seed) as site:
        for _ in range(4):
            site.publish()
            site.registry.answer_loss = 0.5
            site.run_for(1.0)
        return site.settle()


def tenant_exceeds_its_limit(seed: int) -> list[Violation]:
    """A tenant sends far more than its limit for three windows."""
    with world(seed) as site:
        for _ in range(15):
            for _ in range(4):
                site.start_program(ProgramPlan(turns=2, tools=2), tenant=NARROW)
            site.run_for(1.0)
        return site.settle()


def tenant_exceeds_its_limit_in_bursts(seed: int) -> list[Violation]:
    """A tenant alternates between idle spans and bursts, each burst as large as its limit."""
    with world(seed) as site:
        for number in range(8):
            site.run_for(2.2 + 0.31 * number)
            for _ in range(14):
                site.start_program(ProgramPlan(turns=1, tools=0), tenant=NARROW)
        return site.settle()


def tenant_exceeds_its_limit_while_leaders_change(seed: int) -> list[Violation]:
    with world(seed) as site:
        for _ in range(6):
            for _ in range(8):
                site.start_program(ProgramPlan(turns=2, tools=2), tenant=NARROW)
            site.run_for(1.5)
            leader = site.leader()
            if leader is not None:
                site.kill(leader)
                site.run_for(0.8)
                site.restart(leader)
        return site.settle()


def tenant_exceeds_its_limit_through_isolated_fronts(seed: int) -> list[Violation]:
    """Turns end and calls are sent while two of three fronts are isolated from time to time."""
    with world(seed) as site:
        for second in range(12):
            for _ in range(4):
                site.start_program(ProgramPlan(turns=2, tools=3), tenant=NARROW)
            fronts = list(site.fronts.values())[:2]
            if second % 3 == 1:
                for front in fronts:
                    for store in site.stores.values():
                        site.network.cuts.add((front.host, store.host))
            if second % 3 == 2:
                site.network.cuts.clear()
            site.run_for(1.0)
        return site.settle()


def credential_is_removed(seed: int) -> list[Violation]:
    """The registry may return outdated answers, and clients keep sending."""
    with world(seed) as site:
        for _ in range(3):
            site.start_program(ProgramPlan(turns=20, tools=1), tenant=GUEST)
        site.run_for(1.0)
        site.remove_guest()
        site.registry.answer_loss = 0.5
        for _ in range(4):
            site.run_for(1.5)
            site.start_program(ProgramPlan(turns=2), tenant=GUEST)
        return site.settle()


def tenants_continue_each_others_turns(seed: int) -> list[Violation]:
    with world(seed) as site:
        start_programs(site, 4)
        site.run_for(3.0)
        for program in list(site.programs):
            other = WIDE if program.tenant == NARROW else NARROW
            site.start_program(
                ProgramPlan(turns=1, tools=0), continues=program.last_turn, tenant=other
            )
        site.run_for(2.0)
        return site.settle()


_TERM_START_MS: dict[tuple[int, int], int] = {}


def _num_counted_in_one_term(
    ledger: QuotaLedger, tenant: str, usage: UsageWindows, now_ms: int
) -> int:
    """Count only requests admitted since this leader took over."""
    term_start_ms = _TERM_START_MS.setdefault((id(ledger), ledger._term), now_ms)
    return usage.in_window(tenant, now_ms, min(ledger._counted_window_ms, now_ms - term_start_ms))


def _admit_always(allowances: LocalAllowances, tenant: str, now_s: float) -> bool:
    allowances.record_admitted(tenant, 0, now_s)
    return True


def _buckets_in_fixed_window(
    count: SlidingWindowCounter, now_ms: int, window_ms: int
) -> Iterator[object]:
    window_start_ms = now_ms - now_ms % window_ms
    return (bucket for bucket in count.buckets if bucket.at_ms >= window_start_ms)


_REAL_ACCESS_INDEX_INIT = AccessIndex.__init__
_ALL_CREDENTIALS: dict[str, Tenant] = {}


def _index_all_versions(index: AccessIndex, document: ServiceDocument) -> None:
    _REAL_ACCESS_INDEX_INIT(index, document)
    _ALL_CREDENTIALS.update(index._by_credential)
    index._by_credential = _ALL_CREDENTIALS


@dataclass(frozen=True)
class Defect:
    rule: Rule
    scenario: Scenario
    inject: Callable[[], contextlib.AbstractContextManager[object]]
    seed: int = 1


async def _open_claiming_not_run(attempts: Attempts, body: bytes) -> OpenResponse | Refusal:
    outcome = await _REAL_OPEN(attempts, body)
    if isinstance(outcome, Refusal):
        return Refusal(ErrorKind.OVERLOADED, outcome.detail)
    return outcome


_REAL_OPEN = Attempts.open
_REAL_BODY = OpenResponse.body


async def _body_ignoring_truncation(answer: OpenResponse) -> AsyncIterator[bytes]:
    with contextlib.suppress(ResponseBroken):
        async for chunk in _REAL_BODY(answer):
            yield chunk


def _latest_transcript(cache: TranscriptCache, turn_id: str) -> bytes | None:
    return next(reversed(cache._entries.values()), None)


def _all_runners_of_service(
    table: RunnerTable, service: str, now_s: float, regions: object = None, _version: str = ""
) -> list[object]:
    return list(table.by_service.get(service, {}).values())


@contextlib.contextmanager
def _ignore_drained_runners() -> Iterator[None]:
    """Neither when a runner is chosen nor when a request is sent to it."""
    with (
        mock.patch.object(RunnerTable, "eligible", _all_runners_of_service),
        mock.patch.object(RunnerTable, "is_leaving", lambda *_: False),
    ):
        yield


async def _finish_late(record: TurnRecord) -> bool:
    import asyncio  # noqa: PLC0415

    await asyncio.sleep(3.5)
    return True


def _apply_any_document(node: ServiceNode, document: object) -> bool:
    node.forwarder.index = RouteIndex(document)  # type: ignore[arg-type]
    node.on_document(document)  # type: ignore[arg-type]
    return True


async def _do_nothing(*_args: object) -> None:
    """Stand for a step that is left out."""


async def _refuse_turn_that_may_outlast_its_chain(
    group: LedGroup, begin: wire.BeginTurn, turn_left_ms: int
) -> None:
    expires_ms = group.leader_state()[0].previous_expiry_ms(begin)
    if expires_ms is not None and expires_ms < group.elapsed_ms() + turn_left_ms:
        begin.previous_turn = "a turn that is not stored"


@contextlib.contextmanager
def _refuse_turns_that_may_outlast_their_chains() -> Iterator[None]:
    """Previews leave the decision to the begin, which is refused."""
    with (
        mock.patch.object(service, "PREVIEW_MARGIN_MS", 30_000),
        mock.patch.object(LedGroup, "extend_chain", _refuse_turn_that_may_outlast_its_chain),
    ):
        yield


def patch(target: object, name: str, value: object) -> Callable[[], object]:
    return lambda: mock.patch.object(target, name, value)


DEFECTS: dict[str, Defect] = {
    "a request that may have run is sent again": Defect(
        Rule.ONCE,
        runners_lose_answers,
        patch(decisions, "may_run_again", lambda history, _route: history.num_possible_runs < 3),
    ),
    "an unknown outcome is reported as not run": Defect(
        Rule.REFUSAL, runners_lose_answers, patch(Attempts, "open", _open_claiming_not_run)
    ),
    "a truncated stream ends like a complete one": Defect(
        Rule.WHOLE, runners_truncate_answers, patch(OpenResponse, "body", _body_ignoring_truncation)
    ),
    "a cached transcript is not checked against its turn": Defect(
        Rule.CHAIN, no_faults, patch(TranscriptCache, "get", _latest_transcript)
    ),
    "the worst case is not reserved": Defect(
        Rule.BUDGET,
        programs_loop,
        patch(TurnLogState, "_reserve", lambda _state, _program, _begin: True),
    ),
    "the end of a turn is not stored": Defect(
        Rule.FOUND, no_faults, patch(TurnLogState, "_store_turn", lambda self, finish: None)
    ),
    "a turn's time counts from the commit of its end": Defect(
        Rule.FOUND,
        clients_return_late,
        patch(turn_codec, "stored_ms", lambda retention_ms, _timeout_ms: retention_ms),
    ),
    "a turn is refused since it may outlast the chain that it continues": Defect(
        Rule.FOUND,
        timeout_rises_before_clients_return,
        _refuse_turns_that_may_outlast_their_chains,
    ),
    "a chain expires under a turn that continues it": Defect(
        Rule.FOUND,
        timeout_rises_before_clients_return,
        patch(LedGroup, "extend_chain", _do_nothing),
    ),
    "one replica is a majority": Defect(
        Rule.FOUND,
        leader_loses_its_disk_in_three_worlds,
        patch(RaftReplica, "_quorum", property(lambda _s: 1)),
    ),
    "draining of a runner is ignored": Defect(
        Rule.DRAIN, runners_are_drained, _ignore_drained_runners
    ),
    "a runner connection stays open after its client disconnected": Defect(
        Rule.LEAVE, clients_disconnect, patch(SimConnection, "abort", lambda self: None)
    ),
    "the end of an answer is delayed": Defect(
        Rule.STOP, fronts_stop_gracefully, patch(TurnRecord, "finish_complete", _finish_late)
    ),
    "a configuration of any version is applied": Defect(
        Rule.CONFIGURATION,
        stale_configurations_arrive,
        patch(ServiceNode, "apply_document", _apply_any_document),
    ),
    "admitted requests are not counted": Defect(
        Rule.QUOTA, tenant_exceeds_its_limit, patch(UsageWindows, "charge", lambda *_: None)
    ),
    "a new leader grants quota again that its predecessor granted": Defect(
        Rule.QUOTA,
        tenant_exceeds_its_limit_while_leaders_change,
        patch(QuotaLedger, "_num_counted", _num_counted_in_one_term),
    ),
    "an isolated front keeps admitting requests": Defect(
        Rule.QUOTA,
        tenant_exceeds_its_limit_through_isolated_fronts,
        patch(LocalAllowances, "try_admit", _admit_always),
    ),
    "quota windows are fixed instead of sliding": Defect(
        Rule.QUOTA,
        tenant_exceeds_its_limit_in_bursts,
        patch(SlidingWindowCounter, "_buckets_in_window", _buckets_in_fixed_window),
    ),
    "credentials of older configurations stay valid": Defect(
        Rule.ACCESS, credential_is_removed, patch(AccessIndex, "__init__", _index_all_versions)
    ),
    "turns are stored without their tenant": Defect(
        Rule.TENANT,
        tenants_continue_each_others_turns,
        patch(TurnRecord, "_tenant", property(lambda _record: "")),
    ),
}
DEFECTS.update(
    (name, Defect(rule, scenario, inject))  # type: ignore[arg-type]
    for name, (rule, scenario, inject) in REGION_DEFECTS.items()
)
