"""The oracle: the brief's ten promises, judged by what callers, engines and operators saw."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise

from bendshed.rehearsal.simulator.callers import ProgramDriver, RequestRecord, was_told_not_run
from bendshed.rehearsal.simulator.engines import Start

LEAVING_GRACE_S = 5.0


@dataclass(slots=True)
class Observations:
    """All that the oracle may look at.

    Attributes:
        tenant_budgets: lowest budget in force over the whole run, by tenant.
        left_at_s: when each runner began to leave.
        held_after_quiet: programs held by live engines after everything ended and healed.
        revisions: per process of a node, the revisions in force in order of time.
        accepted_revision: newest accepted revision.
        revisions_after_quiet: revision in force per live node at the end.

    """

    starts: list[Start] = field(default_factory=list)
    requests: list[RequestRecord] = field(default_factory=list)
    programs: dict[str, ProgramDriver] = field(default_factory=dict)
    tenant_budgets: dict[str, int] = field(default_factory=dict)
    left_at_s: dict[str, float] = field(default_factory=dict)
    held_after_quiet: dict[str, list[str]] = field(default_factory=dict)
    revisions: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    accepted_revision: int = 0
    revisions_after_quiet: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise (its number in docs/PROOF.md) that did not hold."""

    promise: int
    detail: str


def _branch_of(seen: Observations, start: Start) -> str:
    calls = seen.programs[start.program_id].calls
    return next(call.branch for call in calls if call.number == start.call_number)


def check_order(seen: Observations) -> Iterable[Violation]:
    """1: within a branch no call starts after a later one."""
    last: dict[tuple[str, str], int] = {}
    for start in sorted(seen.starts, key=lambda s: s.at_s):
        key = (start.program_id, _branch_of(seen, start))
        if start.call_number < last.get(key, 0):
            yield Violation(1, f"{start.attempt_id} started after call {last[key]} of {key}")
        last[key] = max(last.get(key, 0), start.call_number)


def check_history(seen: Observations) -> Iterable[Violation]:
    """2: each prompt is the acknowledged turns of its branch, then the new message."""
    for start in seen.starts:
        program = seen.programs[start.program_id]
        problem = _history_problem(program, start)
        if problem:
            yield Violation(2, f"{start.attempt_id}: {problem}: {start.prompt}")


def _history_problem(program: ProgramDriver, start: Start) -> str:
    by_content = {program.content(call): call for call in program.calls}
    *turns, last = start.prompt
    this = by_content.get(last[1])
    if this is None or this.number != start.call_number:
        return "the last message is not the call's own"
    numbers = []
    for (role, content), (answer_role, answer) in zip(turns[::2], turns[1::2], strict=True):
        call = by_content.get(content)
        if role != "user" or answer_role != "assistant" or call is None:
            return f"a turn of another program or order: {content}"
        if call.branch not in (this.branch, "main"):
            return f"a turn of another branch: {content}"
        acknowledged = program.answers.get(call.number)
        if acknowledged is not None and acknowledged != answer:
            return f"another answer than acknowledged in call {call.number}"
        numbers.append(call.number)
    if numbers != sorted(set(numbers)) or (numbers and numbers[-1] >= this.number):
        return f"turns out of order: {numbers}"
    expected = {
        call.number
        for call in program.calls
        if call.branch == this.branch and call.number < this.number
    } & set(program.answers)
    missing = expected - set(numbers)
    return f"turns are missing: {sorted(missing)}" if missing else ""


def check_budget(seen: Observations) -> Iterable[Violation]:
    """3: tokens that engines computed stay within the program's and the tenant's budget."""
    by_program: dict[str, int] = defaultdict(int)
    by_tenant: dict[str, int] = defaultdict(int)
    for start in seen.starts:
        tokens = start.stream.prompt_tokens + start.stream.produced
        by_program[start.program_id] += tokens
        by_tenant[seen.programs[start.program_id].tenant] += tokens
    for name, tokens in by_program.items():
        if tokens > seen.programs[name].limits.max_tokens:
            yield Violation(3, f"program {name} spent {tokens}")
    for tenant, tokens in by_tenant.items():
        if tokens > seen.tenant_budgets[tenant]:
            yield Violation(3, f"tenant {tenant} spent {tokens} of {seen.tenant_budgets[tenant]}")


def check_holds(seen: Observations) -> Iterable[Violation]:
    """4: after the end of all programs no engine holds memory for one."""
    for runner, held in seen.held_after_quiet.items():
        if held:
            yield Violation(4, f"{runner} still holds {held}")


def check_answers(seen: Observations) -> Iterable[Violation]:
    """5: an answer is the whole text of one attempt of this very call, always the same one."""
    texts: dict[tuple[str, int], set[str]] = defaultdict(set)
    for start in seen.starts:
        if start.stream.done and not start.stream.cancelled:
            texts[start.program_id, start.call_number].add("".join(start.stream.answer))
    told: dict[tuple[str, int], str] = {}
    for record in seen.requests:
        answer = record.answer
        if answer is None:
            continue
        key = record.request.key
        if answer not in texts[key]:
            yield Violation(5, f"{record.request.request_id}: not an answer of {key}: {answer!r}")
        if record.streamed_text and record.streamed_text != answer:
            yield Violation(5, f"{record.request.request_id}: streamed {record.streamed_text!r}")
        if told.setdefault(key, answer) != answer:
            yield Violation(5, f"{key} got two different answers")


def check_not_run(seen: Observations) -> Iterable[Violation]:
    """6: a request told "not run" was never started, before or after.

    If it was the call's only request so far, then no start of the call may lie between it and
    the next request.
    """
    by_call: dict[tuple[str, int], list[RequestRecord]] = defaultdict(list)
    for record in seen.requests:
        by_call[record.request.key].append(record)
    started = {start.request_id for start in seen.starts}
    for key, records in by_call.items():
        for record in records:
            if was_told_not_run(record) and record.request.request_id in started:
                yield Violation(6, f"{record.request.request_id} was told not run and ran")
        if was_told_not_run(records[0]):
            next_sent = records[1].sent_at_s if len(records) > 1 else float("inf")
            early = [
                s
                for s in seen.starts
                if (s.program_id, s.call_number) == key and s.at_s < next_sent
            ]
            if early:
                yield Violation(6, f"{key} started although its only request was not run")


def check_unrepeatable(seen: Observations) -> Iterable[Violation]:
    """7: an unrepeatable call starts at most once."""
    counts: dict[tuple[str, int], int] = defaultdict(int)
    for start in seen.starts:
        counts[start.program_id, start.call_number] += 1
    for program in seen.programs.values():
        for call in program.calls:
            if call.unrepeatable and counts[program.program_id, call.number] > 1:
                yield Violation(7, f"{program.program_id} call {call.number} started twice")


def check_leaving(seen: Observations) -> Iterable[Violation]:
    """8: a leaving back end gets nothing new after the grace."""
    for start in seen.starts:
        left = seen.left_at_s.get(start.runner)
        if left is not None and start.at_s > left + LEAVING_GRACE_S:
            yield Violation(8, f"{start.attempt_id} went to {start.runner}, leaving since {left}")


def check_planned_stops(seen: Observations) -> Iterable[Violation]:
    """9: a planned stop cuts no request."""
    for record in seen.requests:
        if record.cut_by_planned_stop:
            yield Violation(9, f"{record.request.request_id} was cut at {record.node}")


def check_configuration(seen: Observations) -> Iterable[Violation]:
    """10: revisions never fall, and after the bound every live node has the newest."""
    for process, revisions in seen.revisions.items():
        if any(later < earlier for earlier, later in pairwise(revisions)):
            yield Violation(10, f"{process} went back: {revisions}")
    for node, revision in seen.revisions_after_quiet.items():
        if revision < seen.accepted_revision:
            yield Violation(10, f"{node} is at {revision}, accepted is {seen.accepted_revision}")


CHECKS = (
    check_order,
    check_history,
    check_budget,
    check_holds,
    check_answers,
    check_not_run,
    check_unrepeatable,
    check_leaving,
    check_planned_stops,
    check_configuration,
)


def check_all(seen: Observations) -> list[Violation]:
    """Every violation of every promise."""
    return [violation for check in CHECKS for violation in check(seen)]
