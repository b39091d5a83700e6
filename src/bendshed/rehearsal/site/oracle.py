"""The oracle of a site: what callers and runners must never see."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from itertools import pairwise

from bendshed.rehearsal.site.cold import overfull_seconds
from bendshed.rehearsal.site.documents import NARROW, QUOTA_TERMS, narrow_most
from bendshed.rehearsal.site.endings import runs_behind_endings
from bendshed.rehearsal.site.records import RESUMABLE_KINDS, Kind, SiteRecords, SiteRequest
from bendshed.rehearsal.site.runner import EVENT_TOKENS, event_bytes, plain_answer, stream_output
from bendshed.rehearsal.site.sim_streams import mixed_streams, neglected_resumptions
from bendshed.rehearsal.site.sim_zones import runs_in_closed_zones

PROMISES = (402, 404, 408, 421, 429, 503)
"""Statuses that promise that the request was not run and never will be."""
DRAIN_S = 2.0
APPLY_S = 2.0
LEAVE_S = 0.5
"""Work for a client that left ends within this time."""
SETTLE_S = 1.0
"""A turn that ended this long before a decision is decided on by what it used."""
FINAL_STATUSES = (503, *range(400, 500))
"""Answers after which a turn counts nothing, whether it ran or not."""


class Rule(StrEnum):
    """What must always hold."""

    ONCE = "an unrepeatable request runs at most once"
    REFUSAL = "a request refused as not run was not run"
    WHOLE = "an answer is whole, in order and the request's own"
    CHAIN = "a turn reaches a runner behind its own chain"
    BUDGET = "a program gets at most its budget and one turn more"
    SPENT = "a turn is refused as spent only where its budget does not hold one more"
    RELEASED = "a program at rest gets what is left of its budget"
    FOUND = "a turn answered whole is found"
    DRAIN = "a leaving runner gets nothing new"
    LEAVE = "work ends soon after its client left"
    STOP = "a planned stop cuts nothing"
    CONFIGURATION = "a configuration comes into force and never goes back"
    TENANT = "a request runs on behalf of its own tenant, behind that tenant's turns"
    ACCESS = "a removed credential stops working"
    ZONE = "the turn log is led again soon after a zone is lost"
    QUOTA = "no window holds more of a tenant's requests than it may have"
    CLOSED = "a closed zone gets nothing new"
    COLD = "a cold runner gets no more in a second than it bears"
    VERSION = "a stream goes on only at the software version that began it"
    RESUMED = "streams go on while two runners of their version serve"
    ENDED = "a request under which three runners ended is not sent again"


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that did not hold."""

    rule: Rule
    detail: str


def check_once(seen: SiteRecords) -> Iterable[Violation]:
    """Turns and unrepeatable calls run at most once per id."""
    kinds = {request.request_id: request.kind for request in seen.requests}
    for request_id, runs in Counter(run.request_id for run in seen.runs).items():
        if runs > 1 and kinds[request_id] is not Kind.REPEATABLE:
            yield Violation(Rule.ONCE, f"{request_id} ran {runs} times")


def check_refusals(seen: SiteRecords) -> Iterable[Violation]:
    """A promise holds, before and after."""
    ran = {run.request_id for run in seen.runs}
    for request in seen.requests:
        repeatable = request.kind is Kind.REPEATABLE
        if request.status in PROMISES and request.request_id in ran and not repeatable:
            yield Violation(Rule.REFUSAL, f"{request.request_id} got {request.status} and ran")


def check_whole(seen: SiteRecords) -> Iterable[Violation]:
    """Successes are what a runner made; what was cut is a beginning of it."""
    for request in seen.requests:
        if request.status != 200:
            continue
        expected = _expected_answer(request)
        if request.is_whole and request.answer != expected:
            yield Violation(Rule.WHOLE, f"{request.request_id} got another or a cut answer")
        elif not expected.startswith(request.answer):
            yield Violation(Rule.WHOLE, f"{request.request_id} got bytes that are not its own")


def _expected_answer(request: SiteRequest) -> bytes:
    if request.kind not in (Kind.TURN, *RESUMABLE_KINDS):
        return plain_answer(request.request_id)
    numbers = range(request.after_event, request.most_events)
    events = (event_bytes(request.request_id, number) for number in numbers)
    return b"".join(events)


def check_chains(seen: SiteRecords) -> Iterable[Violation]:
    """What runners received is the chain's inputs and outputs, then the new input."""
    turns = {request.request_id: request for request in seen.requests}
    for run in seen.runs:
        request = turns[run.request_id]
        if request.kind is Kind.TURN and run.body != chain_of(turns, request.previous) + (
            request.body
        ):
            yield Violation(Rule.CHAIN, f"{run.request_id} ran behind another chain")


def chain_of(turns: dict[str, SiteRequest], turn_id: str) -> bytes:
    """Transcript up to and with a turn."""
    parts: list[bytes] = []
    while turn_id:
        turn = turns[turn_id]
        parts.append(turn.body + stream_output(turn_id, turn.most_events))
        turn_id = turn.previous
    return b"".join(reversed(parts))


def check_budgets(seen: SiteRecords) -> Iterable[Violation]:
    """Tokens handed to clients, with answers that broke off."""
    handed: dict[str, int] = defaultdict(int)
    bounds: dict[str, int] = {}
    for request in seen.requests:
        if request.kind not in (Kind.TURN, Kind.RESUMABLE_TURN):
            continue
        handed[request.program_id] += request.num_events * EVENT_TOKENS
        bound = request.budget_tokens + request.most_events * EVENT_TOKENS
        bounds[request.program_id] = max(bounds.get(request.program_id, 0), bound)
    for program, tokens in handed.items():
        if tokens > bounds[program]:
            yield Violation(Rule.BUDGET, f"{program} got {tokens} tokens of {bounds[program]}")


def check_spent(seen: SiteRecords) -> Iterable[Violation]:
    """A 402 is only true where the budget, less what the program's turns count, is too small."""
    ran = {run.request_id for run in seen.runs}
    turns_of: dict[str, list[SiteRequest]] = defaultdict(list)
    for request in seen.requests:
        if request.kind in (Kind.TURN, Kind.RESUMABLE_TURN):
            turns_of[request.program_id].append(request)
    for request in seen.requests:
        if request.status != 402:
            continue
        others = [turn for turn in turns_of[request.program_id] if turn is not request]
        counted = sum(_counted_tokens(turn, request.ended_s, ran) for turn in others)
        left = request.budget_tokens - counted
        most = request.most_events * EVENT_TOKENS
        if left >= most:
            detail = f"{request.request_id} of {request.program_id} got 402"
            yield Violation(Rule.SPENT, f"{detail} with {left} tokens left for {most}")


def _counted_tokens(turn: SiteRequest, at_s: float, ran: set[str]) -> int:
    """What another turn may count at most in a decision: its use once it has ended, else its most.

    A turn that never reached a runner counts nothing.
    """
    if turn.sent_s >= at_s or turn.request_id not in ran:
        return 0
    is_settled = turn.is_over and turn.ended_s <= at_s - SETTLE_S
    if is_settled and turn.status in FINAL_STATUSES:
        return 0
    if is_settled and turn.status == 200 and turn.is_whole:
        return turn.answer.count(b"\n\n") * EVENT_TOKENS
    return turn.most_events * EVENT_TOKENS


def check_found(seen: SiteRecords) -> Iterable[Violation]:
    """A 404 is only true where the turn was never answered whole, or long ago."""
    turns = {request.request_id: request for request in seen.requests}
    for request in seen.requests:
        if request.status != 404 or not request.previous:
            continue
        previous = turns.get(request.previous)
        if previous is None or not previous.is_whole or previous.status != 200:
            continue
        if previous.tenant != request.tenant:
            continue
        if request.sent_s - previous.ended_s < seen.retention_s:
            yield Violation(Rule.FOUND, f"{request.request_id} did not find {request.previous}")


def check_drains(seen: SiteRecords) -> Iterable[Violation]:
    """No run starts at a runner later than the bound after it said that it leaves.

    Only fronts that could reach the metadata store all the time are judged.
    """
    left_s = {row.runner_id: row.acknowledged_s for row in seen.departures}
    fronts = {request.request_id: request.node for request in seen.requests}
    for run in seen.runs:
        since_s = left_s.get(run.runner_id)
        if since_s is None or run.started_s <= since_s + DRAIN_S:
            continue
        late_s = run.started_s - since_s
        if not seen.was_blind(fronts[run.request_id], since_s, run.started_s):
            yield Violation(Rule.DRAIN, f"{run.request_id} at {run.runner_id} {late_s:.1f} s late")


def check_leaving(seen: SiteRecords) -> Iterable[Violation]:
    """No run begins or goes on long after its client left, at fronts that could tell."""
    left = {r.request_id: r for r in seen.requests if r.left_s is not None}
    for run in seen.runs:
        request = left.get(run.request_id)
        if request is None or request.left_s is None:
            continue
        until_s = request.left_s + LEAVE_S
        late = run.started_s > until_s or run.ended_s is None or run.ended_s > until_s
        if late and not seen.was_blind(request.node, request.left_s, until_s):
            yield Violation(Rule.LEAVE, f"{run.runner_id} worked on {run.request_id}")


def check_stops(seen: SiteRecords) -> Iterable[Violation]:
    """Requests that were open when a process ended by a planned stop."""
    for request_id in seen.cut_by_stop:
        yield Violation(Rule.STOP, f"{request_id} was cut by a planned stop")


def check_configuration(seen: SiteRecords) -> Iterable[Violation]:
    """Versions in force rise within an incarnation; all have the newest after quiet."""
    for process, versions in seen.versions.items():
        if any(later <= earlier for earlier, later in pairwise(versions)):
            yield Violation(Rule.CONFIGURATION, f"{process} went back: {versions}")
    for front, version in seen.versions_after_quiet.items():
        if version != seen.newest_version:
            yield Violation(Rule.CONFIGURATION, f"{front} is at {version}")


def check_tenants(seen: SiteRecords) -> Iterable[Violation]:
    """Runners are told the tenant that sent the request; chains never cross tenants."""
    requests = {request.request_id: request for request in seen.requests}
    for run in seen.runs:
        request = requests[run.request_id]
        if run.tenant != request.tenant:
            yield Violation(Rule.TENANT, f"{run.request_id} ran for {run.tenant!r}")
        previous = requests.get(request.previous)
        if previous is not None and previous.tenant != request.tenant:
            yield Violation(Rule.TENANT, f"{run.request_id} ran behind another tenant's turn")


def check_access(seen: SiteRecords) -> Iterable[Violation]:
    """Nothing that was sent later than the bound after its key was removed runs.

    Only fronts that could reach the metadata store all the time are judged.
    """
    requests = {request.request_id: request for request in seen.requests}
    for run in seen.runs:
        request = requests[run.request_id]
        removed_s = seen.removed_s.get(request.tenant)
        if removed_s is None or request.sent_s <= removed_s + APPLY_S:
            continue
        if not seen.was_blind(request.node, removed_s, request.sent_s):
            yield Violation(Rule.ACCESS, f"{run.request_id} of {request.tenant} ran")


def check_quotas(seen: SiteRecords) -> Iterable[Violation]:
    """By arrival at runners, over all nodes, in every sliding window."""
    requests = {request.request_id: request for request in seen.requests}
    times = sorted(r.started_s for r in seen.runs if requests[r.request_id].tenant == NARROW)
    begin = 0
    for end, at_s in enumerate(times):
        while times[begin] <= at_s - QUOTA_TERMS.window_s:
            begin += 1
        if end - begin + 1 > narrow_most():
            yield Violation(Rule.QUOTA, f"{end - begin + 1} ran in the window up to {at_s:.2f} s")
            return


def check_closed_zones(seen: SiteRecords) -> Iterable[Violation]:
    """No request reaches a runner of a closed zone later than the bound."""
    for detail in runs_in_closed_zones(seen):
        yield Violation(Rule.CLOSED, detail)


def check_cold(seen: SiteRecords) -> Iterable[Violation]:
    """Over all fronts, in every sliding second that lies within a cold time."""
    for runner_id, begin_s, count in overfull_seconds(seen.cold_spells, seen.sendings):
        yield Violation(Rule.COLD, f"{runner_id} got {count} in the second from {begin_s:.2f} s")


def check_versions(seen: SiteRecords) -> Iterable[Violation]:
    """No client holds events of two software versions in one stream."""
    for detail in mixed_streams(seen):
        yield Violation(Rule.VERSION, detail)


def check_resumed(seen: SiteRecords) -> Iterable[Violation]:
    """Resumed streams go on at least half as often as new ones begin."""
    for detail in neglected_resumptions(seen):
        yield Violation(Rule.RESUMED, detail)


def check_endings(seen: SiteRecords) -> Iterable[Violation]:
    """No run begins after three runners ended under a request, over all tries of its client."""
    for detail in runs_behind_endings(seen):
        yield Violation(Rule.ENDED, detail)


CHECKS = (
    check_once,
    check_refusals,
    check_whole,
    check_chains,
    check_budgets,
    check_spent,
    check_found,
    check_drains,
    check_leaving,
    check_stops,
    check_configuration,
    check_tenants,
    check_access,
    check_quotas,
    check_closed_zones,
    check_cold,
    check_versions,
    check_resumed,
    check_endings,
)


def check_all(seen: SiteRecords) -> list[Violation]:
    """All violations."""
    return [violation for check in CHECKS for violation in check(seen)]
