"""Group leader's service for executors: commits commands, enforces call order, borrows budget."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from bendshed.consensus.group_client import COMMAND_METHOD, GroupClient, GroupUnavailable
from bendshed.consensus.host import (
    CommitUnknown,
    GroupHost,
    HostedGroup,
    NotCommitted,
    NotLeader,
)
from bendshed.errors import ErrorKind
from bendshed.logs import PartLog
from bendshed.model.address import Address
from bendshed.ports.clock import Clock
from bendshed.ports.transport import PeerUnreachable, Transport
from bendshed.programs.state import GroupStateMachine, open_calls
from bendshed.tasks import start_loop
from bendshed.wire import programs_pb2 as wire

ALIVE_METHOD = "group.alive"
EXECUTING_METHOD = "executor.executing"
COMMIT_TIMEOUT_S = 3.0
EXECUTING_TIMEOUT_S = 0.5
ORPHAN_CHECK_INTERVAL_S = 1.0
"""How often a waiting leader checks that the executor of a dispatched call still works on it."""
PORTIONS_PER_BUDGET = 64
"""A group borrows at least a tenant's budget divided by this number at a time."""
SWEEP_INTERVAL_S = 1.0
MAX_PROGRAMS_PER_SWEEP = 200
"""Programs that one sweep of one group checks."""
ORPHAN_GRACE_MS = 60_000
"""How long the caller of a dispatched call without an executor may resume it."""

log = PartLog("programs")


@dataclass(frozen=True, slots=True)
class TenantBudget:
    """A tenant's budget in tokens and the configuration revision that set it."""

    tokens: int
    revision: int


@dataclass(frozen=True, slots=True)
class Retention:
    """How long programs are retained, in milliseconds of the wall clock."""

    idle_ms: int
    ended_ms: int


class ProgramService:
    """Serves the groups that this node leads."""

    def __init__(
        self,
        host: GroupHost,
        transport: Transport,
        client: GroupClient,
        clock: Clock,
        budget_of: Callable[[str], TenantBudget],
        executor_address: Callable[[str], Address | None],
        retention: Retention,
    ) -> None:
        self._host = host
        self._transport = transport
        self._client = client
        self._clock = clock
        self._budget_of = budget_of
        self._executor_address = executor_address
        self._retention = retention
        self._sweep_position: dict[int, int] = {}
        self._task: asyncio.Task[None] | None = None
        self.on_program_ended: Callable[[wire.ProgramRecord], None] = lambda _program: None
        transport.handlers[COMMAND_METHOD] = self._on_command
        transport.handlers[ALIVE_METHOD] = self._on_alive

    def start(self) -> None:
        """Start the periodic sweep of ended and idle programs."""
        self._task = start_loop(self._sweep_forever(), "programs")

    async def stop(self) -> None:
        """Stop the sweep."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    # --- commands ------------------------------------------------------------------------

    async def _on_command(self, payload: bytes) -> bytes:
        request = wire.GroupRequest.FromString(payload)
        try:
            result = await self._serve(request)
        except NotLeader as error:
            return wire.GroupReply(not_leader_hint=error.leader_id).SerializeToString()
        except (NotCommitted, CommitUnknown):
            return wire.GroupReply().SerializeToString()
        return wire.GroupReply(is_leader=True, result=result).SerializeToString()

    async def _serve(self, request: wire.GroupRequest) -> wire.CallResult:
        command = request.command
        group = self._host.ready_group(request.group_id)
        match command.WhichOneof("command"):
            case "submit":
                command.submit.now_ms = self._clock.wall_ms()
                result = await self._commit(request.group_id, command)
                result = await self._borrow_if_needed(request.group_id, command, result)
                return await self._wait_until_runnable(group, request, result)
            case "dispatch":
                command.dispatch.now_ms = self._clock.wall_ms()
                result = await self._commit(request.group_id, command)
                result = await self._borrow_if_needed(request.group_id, command, result)
                return self._with_history(
                    group,
                    command.dispatch.request_id,
                    result,
                    command.dispatch.program_id,
                    command.dispatch.call_number,
                    0,
                    b"",
                )
            case "finish":
                command.finish.now_ms = self._clock.wall_ms()
            case "end":
                command.end.now_ms = self._clock.wall_ms()
        result = await self._commit(request.group_id, command)
        if command.WhichOneof("command") == "end":
            self._report_ended(group, command.end.program_id)
        return result

    async def _commit(self, group_id: int, command: wire.ProgramCommand) -> wire.CallResult:
        result = await self._host.propose(group_id, command.SerializeToString(), COMMIT_TIMEOUT_S)
        assert isinstance(result, wire.CallResult)
        return result

    # --- call order ----------------------------------------------------------------------

    async def _wait_until_runnable(
        self, group: HostedGroup, request: wire.GroupRequest, result: wire.CallResult
    ) -> wire.CallResult:
        """Wait until the call is runnable, is closed, or has lost its executor."""
        submit = request.command.submit
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + request.wait_ms / 1000
        while True:
            if result.refused_kind or self._is_wait_over(result, submit.request_id):
                break
            if result.status == wire.CALL_STATUS_DISPATCHED and await self._is_orphaned(result):
                result.orphaned = True
                break
            remaining_s = deadline_s - loop.time()
            if remaining_s <= 0:
                break
            await self._wait_for_change(group, min(remaining_s, ORPHAN_CHECK_INTERVAL_S))
            self._host.ready_group(request.group_id)
            result = _state(group).describe(submit.program_id, submit.call_number)
        return self._with_history(
            group,
            submit.request_id,
            result,
            submit.program_id,
            submit.call_number,
            submit.known_call,
            submit.known_digest,
        )

    @staticmethod
    def _is_wait_over(result: wire.CallResult, request_id: str) -> bool:
        if result.status == wire.CALL_STATUS_DISPATCHED:
            return result.request_id == request_id
        return result.status != wire.CALL_STATUS_QUEUED or result.runnable

    @staticmethod
    async def _wait_for_change(group: HostedGroup, timeout_s: float) -> None:
        try:
            await asyncio.wait_for(group.changed.wait(), timeout_s)
        except TimeoutError:
            return

    def _with_history(
        self,
        group: HostedGroup,
        request_id: str,
        result: wire.CallResult,
        program_id: str,
        call_number: int,
        known_call: int,
        known_digest: bytes,
    ) -> wire.CallResult:
        """Add the history to a grant, or to an orphaned call that may be taken over."""
        granted = result.status == wire.CALL_STATUS_DISPATCHED and (
            result.request_id == request_id or result.orphaned
        )
        if granted:
            _state(group).add_history(result, program_id, call_number, known_call, known_digest)
        return result

    async def _is_orphaned(self, result: wire.CallResult) -> bool:
        """Whether the executor is down or no longer works on the request."""
        address = self._executor_address(result.executor)
        if address is None:
            return True
        request = wire.ExecutingRequest(request_id=result.request_id).SerializeToString()
        try:
            reply = await self._transport.request(
                address, EXECUTING_METHOD, request, EXECUTING_TIMEOUT_S
            )
        except PeerUnreachable:
            return False  # membership decides whether the executor is down
        return not wire.ExecutingReply.FromString(reply).executing

    # --- tenant budget -------------------------------------------------------------------

    async def _borrow_if_needed(
        self, group_id: int, command: wire.ProgramCommand, result: wire.CallResult
    ) -> wire.CallResult:
        """If a grant lacks budget, borrow from the tenant's home group and retry the grant.

        Abandon the call if the budget still does not suffice.
        """
        if not result.needs_portion_tenant:
            return result
        kind = command.WhichOneof("command")
        original = command.submit if kind == "submit" else command.dispatch
        tenant = result.needs_portion_tenant
        if await self._borrow_portion(group_id, tenant, result.needs_portion_tokens):
            regrant = wire.DispatchCall(
                program_id=original.program_id,
                call_number=original.call_number,
                executor=original.executor,
                request_id=original.request_id,
                runner=original.runner,
                now_ms=self._clock.wall_ms(),
            )
            result = await self._commit(group_id, wire.ProgramCommand(dispatch=regrant))
        if not result.needs_portion_tenant:
            return result
        abandon = wire.AbandonCall(
            program_id=original.program_id,
            call_number=original.call_number,
            error_kind=ErrorKind.BUDGET_EXHAUSTED,
        )
        return await self._commit(group_id, wire.ProgramCommand(abandon=abandon))

    async def _borrow_portion(self, group_id: int, tenant: str, missing_tokens: int) -> bool:
        budget = self._budget_of(tenant)
        state = _state(self._host.ready_group(group_id))
        sequence = state.next_portion_sequence(tenant)
        lend = wire.LendPortion(
            tenant=tenant,
            borrower=group_id,
            sequence=sequence,
            tokens=max(missing_tokens, budget.tokens // PORTIONS_PER_BUDGET),
            limit_tokens=budget.tokens,
            limit_revision=budget.revision,
        )
        try:
            lent = await self._client.command(
                tenant, wire.ProgramCommand(lend=lend), COMMIT_TIMEOUT_S
            )
        except GroupUnavailable as error:
            raise CommitUnknown("the tenant's home group did not reply") from error
        if lent.refused_kind or lent.tokens == 0:
            return lent.refused_kind == ErrorKind.CONFLICT  # another borrow committed first: retry
        receive = wire.ReceivePortion(tenant=tenant, sequence=sequence, tokens=lent.tokens)
        await self._commit(group_id, wire.ProgramCommand(receive=receive))
        return True

    def has_calls_in_progress(self, group_id: int) -> bool:
        """Whether a live executor runs a call of the group, or a queued call has time left."""
        programs = _state(self._host.groups[group_id]).programs.values()
        now_ms = self._clock.wall_ms()
        return any(self._is_in_progress(call, now_ms) for call in open_calls(programs))

    def _is_in_progress(self, call: wire.CallRecord, now_ms: int) -> bool:
        if call.status == wire.CALL_STATUS_QUEUED:
            return now_ms <= call.deadline_ms
        return self._executor_address(call.executor) is not None

    # --- ended and idle programs ---------------------------------------------------------

    async def _on_alive(self, payload: bytes) -> bytes:
        request = wire.AliveRequest.FromString(payload)
        try:
            state = _state(self._host.ready_group(request.group_id))
        except NotLeader as error:
            return wire.AliveReply(leader_hint=error.leader_id).SerializeToString()
        gone = [name for name in request.program_ids if _is_gone(state.programs.get(name))]
        return wire.AliveReply(is_leader=True, gone=gone).SerializeToString()

    def _report_ended(self, group: HostedGroup, program_id: str) -> None:
        program = _state(group).programs.get(program_id)
        if program is not None:
            self.on_program_ended(program)

    async def _sweep_forever(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for group_id in self._host.led_groups():
                try:
                    await self._sweep(group_id)
                except (NotLeader, NotCommitted, CommitUnknown):
                    continue

    async def _sweep(self, group_id: int) -> None:
        group = self._host.ready_group(group_id)
        programs = list(_state(group).programs.values())
        if not programs:
            return
        first = self._sweep_position.get(group_id, 0) % len(programs)
        batch = programs[first : first + MAX_PROGRAMS_PER_SWEEP]
        self._sweep_position[group_id] = first + len(batch)
        for program in batch:
            for command in await self._due_commands(program):
                await self._commit(group_id, command)
                if command.WhichOneof("command") == "end":
                    self._report_ended(group, program.program_id)

    async def _due_commands(self, program: wire.ProgramRecord) -> list[wire.ProgramCommand]:
        """Return the commands that are due for a program because of elapsed time.

        They forget or end the program, abandon calls past their deadline and finish orphaned
        calls.
        """
        now_ms = self._clock.wall_ms()
        idle_ms = now_ms - program.last_active_ms
        dispatched = [c for c in program.calls if c.status == wire.CALL_STATUS_DISPATCHED]
        if program.ended_reason:
            if idle_ms > self._retention.ended_ms and not dispatched:
                forget = wire.ForgetProgram(program_id=program.program_id)
                return [wire.ProgramCommand(forget=forget)]
        elif now_ms - program.started_ms > program.limits.max_seconds * 1000:
            return [_end_command(program, "time limit", now_ms)]
        elif idle_ms > self._retention.idle_ms and not dispatched:
            return [_end_command(program, "idle", now_ms)]
        commands = [
            wire.ProgramCommand(
                abandon=wire.AbandonCall(
                    program_id=program.program_id,
                    call_number=call.number,
                    error_kind=ErrorKind.DEADLINE_EXCEEDED,
                )
            )
            for call in program.calls
            if call.status == wire.CALL_STATUS_QUEUED and now_ms > call.deadline_ms
        ]
        if idle_ms > ORPHAN_GRACE_MS or program.ended_reason:  # an ended program cannot be resumed
            commands += [await self._orphan_finish_command(program, call) for call in dispatched]
        return [command for command in commands if command.WhichOneof("command")]

    async def _orphan_finish_command(
        self, program: wire.ProgramRecord, call: wire.CallRecord
    ) -> wire.ProgramCommand:
        result = wire.CallResult(executor=call.executor, request_id=call.request_id)
        if not await self._is_orphaned(result):
            return wire.ProgramCommand()
        log.say("call lost its executor", program=program.program_id, call=call.number)
        outcome = wire.ATTEMPT_OUTCOME_UNKNOWN if call.unrepeatable else wire.ATTEMPT_OUTCOME_BROKEN
        finish = wire.FinishCall(
            program_id=program.program_id,
            call_number=call.number,
            attempt=call.attempt,
            outcome=outcome,
            error_kind=ErrorKind.OUTCOME_UNKNOWN,
            final=True,
            now_ms=self._clock.wall_ms(),
        )
        return wire.ProgramCommand(finish=finish)


def _end_command(program: wire.ProgramRecord, reason: str, now_ms: int) -> wire.ProgramCommand:
    end = wire.EndProgram(program_id=program.program_id, reason=reason, now_ms=now_ms)
    return wire.ProgramCommand(end=end)


def _is_gone(program: wire.ProgramRecord | None) -> bool:
    return program is None or (
        bool(program.ended_reason)
        and all(call.status != wire.CALL_STATUS_DISPATCHED for call in program.calls)
    )


def _state(group: HostedGroup) -> GroupStateMachine:
    assert isinstance(group.state, GroupStateMachine)
    return group.state
