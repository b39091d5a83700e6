"""Memory of one object of each kind that a node keeps, and time to apply commands."""

import gc
import time
from collections.abc import Callable
from dataclasses import dataclass

from bendshed.configuration.document import Tenant
from bendshed.ports.store import Machine
from bendshed.programs.state import GroupStateMachine
from bendshed.rehearsal.scale.worker import resident_bytes
from bendshed.routing.runners import Runner
from bendshed.wire import peer_pb2
from bendshed.wire import programs_pb2 as wire

CALLS_PER_PROGRAM = 5
CONTENT_BYTES = 2_000
"""New text of one call and of its answer, together."""


@dataclass(frozen=True, slots=True)
class ObjectCost:
    """Resident bytes of one object, measured over ``count`` of them."""

    kind: str
    count: int
    bytes_each: float


@dataclass(frozen=True, slots=True)
class ApplyCost:
    """Processor time of applying one call's entries (submit with grant, finish)."""

    calls: int
    us_each: float


def _member(number: int) -> object:
    return peer_pb2.Member(
        node_id=f"{number:016x}",
        name=f"node-{number}",
        zone="zone-1",
        region="region-1",
        host="10.0.0.1",
        peer_port=7000,
        http_port=8080,
        incarnation=number,
        boot=number,
    )


def _runner(number: int) -> object:
    machine = Machine(
        f"runner-{number}",
        "engine",
        f"http://10.1.{number % 250}.1:8000",
        "model-1",
        "zone-1",
        False,
        1,
    )
    return Runner(machine)


def _tenant(number: int) -> object:
    return Tenant(token_sha256=f"{number:064x}", budget_tokens=number)


def submit_command(program: int, call: int, now_ms: int) -> bytes:
    """Serialized submission that is granted at once."""
    submit = wire.SubmitCall(
        program_id=f"program-{program}",
        program_kind="chat",
        tenant="t",
        branch="main",
        parent_branch="main",
        call_number=call,
        idempotency_key=f"k-{program}-{call}",
        body_digest=b"d" * 16,
        deadline_ms=now_ms + 60_000,
        max_answer_tokens=256,
        messages=[wire.ChatMessage(role="user", content="x" * (CONTENT_BYTES // 2))],
        executor="e",
        request_id=f"r-{program}-{call}",
        runner="runner-1",
        now_ms=now_ms,
        limits=wire.ProgramLimits(max_turns=1000, max_seconds=86_400, max_tokens=10**9),
    )
    return wire.ProgramCommand(submit=submit).SerializeToString()


def finish_command(program: int, call: int, now_ms: int) -> bytes:
    """Serialized outcome of that call."""
    finish = wire.FinishCall(
        program_id=f"program-{program}",
        call_number=call,
        attempt=1,
        outcome=wire.ATTEMPT_OUTCOME_ANSWERED,
        answer="y" * (CONTENT_BYTES // 2),
        finish_reason="stop",
        prompt_tokens=300 * call,
        answer_tokens=250,
        now_ms=now_ms,
        final=True,
    )
    return wire.ProgramCommand(finish=finish).SerializeToString()


def _group_with_budget() -> GroupStateMachine:
    group = GroupStateMachine(0)
    receive = wire.ReceivePortion(tenant="t", sequence=1, tokens=10**15)
    group.apply(wire.ProgramCommand(receive=receive).SerializeToString())
    return group


def measure_objects(count: int) -> list[ObjectCost]:
    """Resident bytes per object of each kind."""
    makers: dict[str, Callable[[int], object]] = {
        "member": _member,
        "runner": _runner,
        "tenant": _tenant,
    }
    costs = [_measure(kind, make, count) for kind, make in makers.items()]
    costs.append(_measure_programs(count // 10))
    return costs


def _measure(kind: str, make: Callable[[int], object], count: int) -> ObjectCost:
    gc.collect()
    before = resident_bytes()
    kept = {f"{kind}-{number}": make(number) for number in range(count)}
    grown = resident_bytes() - before
    return ObjectCost(kind, len(kept), round(grown / count, 1))


def _measure_programs(count: int) -> ObjectCost:
    """Programs with ``CALLS_PER_PROGRAM`` finished turns each."""
    gc.collect()
    before = resident_bytes()
    group = _group_with_budget()
    for program in range(count):
        for call in range(1, CALLS_PER_PROGRAM + 1):
            group.apply(submit_command(program, call, 1000))
            group.apply(finish_command(program, call, 1000))
    grown = resident_bytes() - before
    kind = f"program of {CALLS_PER_PROGRAM} turns with {CONTENT_BYTES} bytes each"
    return ObjectCost(kind, len(group.programs), round(grown / count, 1))


def measure_apply(calls: int, turns: int) -> ApplyCost:
    """Apply ``calls`` calls, ``turns`` per program."""
    group = _group_with_budget()
    commands = []
    for number in range(calls):
        program, call = divmod(number, turns)
        commands.append(submit_command(program, call + 1, 1000))
        commands.append(finish_command(program, call + 1, 1000))
    started_s = time.process_time()
    for command in commands:
        group.apply(command)
    return ApplyCost(calls, round((time.process_time() - started_s) / calls * 1e6, 1))
