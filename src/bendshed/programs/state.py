"""The replicated state machine of one group: programs, calls, budgets. Pure and deterministic.

The records are messages of ``wire/programs.proto``, so a snapshot needs no conversion.
"""

from collections.abc import Iterable, Iterator

from bendshed.errors import ErrorKind
from bendshed.identifiers import content_digest
from bendshed.wire import programs_pb2 as wire

TOKENS_PER_MESSAGE = 8
"""Upper bound on the tokens that a chat template adds to one message."""
TOKENS_PER_PROMPT = 16
"""Upper bound on the tokens that a chat template adds to one prompt."""

_CLOSED_STATUSES = (wire.CALL_STATUS_FINISHED, wire.CALL_STATUS_FAILED, wire.CALL_STATUS_ABANDONED)


def find_call(program: wire.ProgramRecord, number: int) -> wire.CallRecord | None:
    """Return the call with this number.

    Calls are in ascending order of number, usually without gaps from 1.
    """
    position = number - 1
    if 0 <= position < len(program.calls) and program.calls[position].number == number:
        return program.calls[position]
    for call in reversed(program.calls):
        if call.number == number:
            return call
        if call.number < number:
            return None
    return None


def open_calls(programs: Iterable[wire.ProgramRecord]) -> Iterator[wire.CallRecord]:
    """Yield the calls that are queued or dispatched."""
    for program in programs:
        for call in program.calls[program.closed_through :]:
            if call.status in (wire.CALL_STATUS_QUEUED, wire.CALL_STATUS_DISPATCHED):
                yield call


def is_runnable(program: wire.ProgramRecord, call: wire.CallRecord) -> bool:
    """Whether the program's call order lets the call run.

    Every call with a lower number has been dispatched or closed, and those of its own branch are
    closed.
    """
    expected = program.closed_through + 1
    for other in program.calls[program.closed_through :]:
        if other.number >= call.number:
            break
        if other.number != expected or other.status == wire.CALL_STATUS_QUEUED:
            return False
        if other.branch == call.branch and other.status not in _CLOSED_STATUSES:
            return False
        expected += 1
    return expected == call.number


def _later_call_started(program: wire.ProgramRecord, number: int) -> bool:
    return program.highest_started > number


def _token_upper_bound(messages: Iterable[wire.ChatMessage]) -> int:
    sizes = [len(m.content.encode()) + len(m.extra_json) + TOKENS_PER_MESSAGE for m in messages]
    return sum(sizes)


def history_calls(program: wire.ProgramRecord, last_call: int) -> list[wire.CallRecord]:
    """Return the finished calls that form the history up to ``last_call``, oldest first."""
    chain = []
    number = last_call
    while number:
        call = find_call(program, number)
        if call is None:
            break
        chain.append(call)
        number = call.previous_in_branch
    chain.reverse()
    return chain


def turn_messages(call: wire.CallRecord) -> list[wire.ChatMessage]:
    """Return the messages of a finished turn: the caller's messages, then the answer."""
    return [*call.messages, wire.ChatMessage(role="assistant", content=call.answer)]


def history_digest(calls: Iterable[wire.CallRecord]) -> bytes:
    """Return the digest of a history; equal digests mean equal prompts."""
    parts: list[str] = []
    for call in calls:
        for message in turn_messages(call):
            parts += [message.role, message.content, message.extra_json]
    return content_digest(*parts)


class GroupStateMachine:
    """Programs, calls and budgets of one group.

    Invariants: a call has at most one attempt in progress; an unrepeatable call is dispatched
    again only after its attempt was proven not started; ``spent + reserved`` of a program never
    exceeds its limit, and that of a tenant's portion never exceeds the tokens received.

    Attributes:
        programs: by program id.
        portions: tokens that this group borrowed, by tenant.
        homes: tokens that this group lends, by tenant; only for tenants whose home group it is.

    """

    def __init__(self, group_id: int) -> None:
        self.group_id = group_id
        self.programs: dict[str, wire.ProgramRecord] = {}
        self.portions: dict[str, wire.TenantPortion] = {}
        self.homes: dict[str, wire.TenantHome] = {}

    def snapshot(self) -> bytes:
        """Return the whole state as ``GroupState``."""
        return wire.GroupState(
            programs=self.programs.values(),
            portions=self.portions.values(),
            homes=self.homes.values(),
        ).SerializeToString(deterministic=True)

    def restore(self, state: bytes) -> None:
        """Replace the state with a snapshot."""
        parsed = wire.GroupState.FromString(state)
        self.programs = {record.program_id: record for record in parsed.programs}
        self.portions = {record.tenant: record for record in parsed.portions}
        self.homes = {record.tenant: record for record in parsed.homes}

    def apply(self, data: bytes) -> wire.CallResult:
        """Apply one committed command."""
        command = wire.ProgramCommand.FromString(data)
        match command.WhichOneof("command"):
            case "submit":
                return self._submit(command.submit)
            case "dispatch":
                return self._dispatch(command.dispatch)
            case "finish":
                return self._finish(command.finish)
            case "abandon":
                return self._abandon(command.abandon)
            case "end":
                return self._end(command.end)
            case "forget":
                self.programs.pop(command.forget.program_id, None)
                return wire.CallResult()
            case "lend":
                return self._lend(command.lend)
            case "receive":
                return self._receive(command.receive)
        return _refused(ErrorKind.INTERNAL, "the command is of a later version")

    def describe(self, program_id: str, number: int) -> wire.CallResult:
        """Return the current state of a call."""
        program = self.programs.get(program_id)
        call = find_call(program, number) if program is not None else None
        if program is None or call is None:
            return wire.CallResult(status=wire.CALL_STATUS_UNKNOWN)
        return wire.CallResult(
            status=call.status,
            runnable=call.status == wire.CALL_STATUS_QUEUED and is_runnable(program, call),
            attempt=call.attempt,
            executor=call.executor,
            request_id=call.request_id,
            runner=call.runner,
            unrepeatable=call.unrepeatable,
            answer=call.answer,
            finish_reason=call.finish_reason,
            prompt_tokens=call.prompt_tokens,
            answer_tokens=call.answer_tokens,
            cached_tokens=call.cached_tokens,
            error_kind=call.error_kind,
            last_runner=program.last_runner,
        )

    def add_history(
        self,
        result: wire.CallResult,
        program_id: str,
        number: int,
        known_call: int,
        known_digest: bytes,
    ) -> None:
        """Add to a granted result the turns before the call, only those after ``known_call``."""
        program = self.programs[program_id]
        call = find_call(program, number)
        assert call is not None
        chain = history_calls(program, call.previous_in_branch)
        numbers = [turn.number for turn in chain]
        start = 0
        if known_call in numbers:
            position = numbers.index(known_call) + 1
            if history_digest(chain[:position]) == known_digest:
                start = position
        result.history_after_call = known_call if start else 0
        result.history_digest = history_digest(chain)
        for turn in chain[start:]:
            result.history.append(
                wire.TurnContent(call_number=turn.number, messages=turn_messages(turn))
            )

    # --- calls ---------------------------------------------------------------------------

    def _submit(self, command: wire.SubmitCall) -> wire.CallResult:
        program = self.programs.get(command.program_id)
        if program is not None and program.tenant != command.tenant:
            return _refused(ErrorKind.CONFLICT, "this program id belongs to another tenant")
        call = find_call(program, command.call_number) if program is not None else None
        if program is not None and call is not None:
            refused = self._resubmit(program, call, command)
        else:
            refused = self._submit_new(program, command)
        if refused is not None:
            return refused
        program = self.programs[command.program_id]
        call = find_call(program, command.call_number)
        assert call is not None
        is_on_cache_holder = program.last_runner in ("", command.runner)
        is_ready = call.status == wire.CALL_STATUS_QUEUED and is_runnable(program, call)
        if command.runner and is_on_cache_holder and is_ready:
            return self._grant(
                program, call, command.executor, command.request_id, command.runner, command.now_ms
            )
        return self.describe(command.program_id, command.call_number)

    def _submit_new(
        self, program: wire.ProgramRecord | None, command: wire.SubmitCall
    ) -> wire.CallResult | None:
        if program is None:
            program = wire.ProgramRecord(
                program_id=command.program_id,
                program_kind=command.program_kind,
                tenant=command.tenant,
                limits=command.limits,
                started_ms=command.now_ms,
                model=command.model,
            )
            self.programs[command.program_id] = program
        program.last_active_ms = command.now_ms
        refused = self._refuse_new(program, command)
        if refused is not None:
            return refused
        call = wire.CallRecord(
            number=command.call_number,
            branch=command.branch,
            idempotency_key=command.idempotency_key,
            body_digest=command.body_digest,
            messages=command.messages,
            unrepeatable=command.unrepeatable,
            deadline_ms=command.deadline_ms,
            max_answer_tokens=command.max_answer_tokens,
            status=wire.CALL_STATUS_QUEUED,
            request_id=command.request_id,
        )
        position = sum(1 for other in program.calls if other.number < call.number)
        program.calls.insert(position, call)
        if not any(branch.name == command.branch for branch in program.branches):
            parent = command.parent_branch or "main"
            last = [branch.last_call for branch in program.branches if branch.name == parent]
            fork = last[0] if last else 0
            program.branches.append(
                wire.BranchRecord(name=command.branch, fork_call=fork, last_call=fork)
            )
        return None

    def _refuse_new(
        self, program: wire.ProgramRecord, command: wire.SubmitCall
    ) -> wire.CallResult | None:
        if program.ended_reason:
            return _refused(ErrorKind.PROGRAM_ENDED, f"the program ended: {program.ended_reason}")
        limits = program.limits
        if command.call_number > limits.max_turns:
            return _refused(ErrorKind.PROGRAM_LIMIT, f"limit of {limits.max_turns} turns reached")
        if command.now_ms - program.started_ms > limits.max_seconds * 1000:
            return _refused(
                ErrorKind.PROGRAM_LIMIT, f"limit of {limits.max_seconds} seconds reached"
            )
        if any(call.idempotency_key == command.idempotency_key for call in program.calls):
            return _refused(ErrorKind.CONFLICT, "this idempotency key named another call")
        if _later_call_started(program, command.call_number):
            return _refused(ErrorKind.OUT_OF_ORDER, "a later call of the program was started")
        return None

    def _resubmit(
        self, program: wire.ProgramRecord, call: wire.CallRecord, command: wire.SubmitCall
    ) -> wire.CallResult | None:
        has_same_body = call.body_digest == command.body_digest
        if call.idempotency_key != command.idempotency_key or not has_same_body:
            return _refused(
                ErrorKind.CONFLICT, "this call number was issued with another key or body"
            )
        is_lost = (
            call.status == wire.CALL_STATUS_FAILED and call.error_kind == ErrorKind.ENGINE_LOST
        )
        if call.status == wire.CALL_STATUS_ABANDONED or (is_lost and not call.unrepeatable):
            if program.ended_reason:
                return _refused(ErrorKind.PROGRAM_ENDED, program.ended_reason)
            if _later_call_started(program, call.number):
                return _refused(ErrorKind.OUT_OF_ORDER, "a later call of the program was started")
            call.status = wire.CALL_STATUS_QUEUED
        if call.status == wire.CALL_STATUS_QUEUED:
            call.request_id = command.request_id
            call.deadline_ms = command.deadline_ms
        return None

    def _dispatch(self, command: wire.DispatchCall) -> wire.CallResult:
        program = self.programs.get(command.program_id)
        call = find_call(program, command.call_number) if program is not None else None
        if program is None or call is None:
            return wire.CallResult(status=wire.CALL_STATUS_UNKNOWN)
        if call.status == wire.CALL_STATUS_DISPATCHED:
            takes_over = command.replaces_attempt == call.attempt and not call.unrepeatable
            if not takes_over:
                return self.describe(command.program_id, command.call_number)
            self._charge_reservation(program, call, call.reserved_tokens)
            call.status = wire.CALL_STATUS_QUEUED
            call.error_kind = ErrorKind.ENGINE_LOST
        if call.status != wire.CALL_STATUS_QUEUED or not is_runnable(program, call):
            return self.describe(command.program_id, command.call_number)
        return self._grant(
            program, call, command.executor, command.request_id, command.runner, command.now_ms
        )

    def _grant(
        self,
        program: wire.ProgramRecord,
        call: wire.CallRecord,
        executor: str,
        request_id: str,
        runner: str,
        now_ms: int,
    ) -> wire.CallResult:
        """Reserve the worst-case tokens and grant the next attempt.

        A call past its deadline or a limit is closed. If the tenant's portion does not suffice,
        the result says how many tokens are missing.
        """
        if now_ms > call.deadline_ms:
            return self._close_queued(program, call, ErrorKind.DEADLINE_EXCEEDED)
        if now_ms - program.started_ms > program.limits.max_seconds * 1000:
            return self._close_queued(program, call, ErrorKind.PROGRAM_LIMIT)
        branch = next(b for b in program.branches if b.name == call.branch)
        call.previous_in_branch = branch.last_call
        worst_case_tokens = self._worst_case_tokens(program, call)
        used_tokens = program.spent_tokens + program.reserved_tokens
        if used_tokens + worst_case_tokens > program.limits.max_tokens:
            return self._close_queued(program, call, ErrorKind.BUDGET_EXHAUSTED)
        portion = self._portion(program.tenant)
        missing = (
            portion.spent_tokens
            + portion.reserved_tokens
            + worst_case_tokens
            - portion.received_tokens
        )
        if missing > 0:
            result = self.describe(program.program_id, call.number)
            result.needs_portion_tenant = program.tenant
            result.needs_portion_tokens = missing
            return result
        program.reserved_tokens += worst_case_tokens
        portion.reserved_tokens += worst_case_tokens
        call.reserved_tokens = worst_case_tokens
        call.status = wire.CALL_STATUS_DISPATCHED
        call.attempt += 1
        program.highest_started = max(program.highest_started, call.number)
        self._advance_closed_through(program)
        call.executor = executor
        call.request_id = request_id
        call.runner = runner
        program.last_runner = runner
        program.last_active_ms = now_ms
        return self.describe(program.program_id, call.number)

    @staticmethod
    def _advance_closed_through(program: wire.ProgramRecord) -> None:
        """Advance ``closed_through``, so that checks skip the closed calls at the start.

        An abandoned call may be submitted again until a later call was started; until then
        ``closed_through`` stops before it.
        """
        for call in program.calls[program.closed_through :]:
            is_closed = call.status in (wire.CALL_STATUS_FINISHED, wire.CALL_STATUS_FAILED)
            is_closed = is_closed or call.status == wire.CALL_STATUS_ABANDONED
            if not is_closed or call.number != program.closed_through + 1:
                break
            if call.number >= program.highest_started:
                break
            program.closed_through = call.number

    def _worst_case_tokens(self, program: wire.ProgramRecord, call: wire.CallRecord) -> int:
        """Return an upper bound on the call's tokens.

        A token is at least one byte; the token counts of earlier turns are known exactly.
        """
        tokens = _token_upper_bound(call.messages) + TOKENS_PER_PROMPT + call.max_answer_tokens
        previous = find_call(program, call.previous_in_branch)
        if previous is not None:
            tokens += previous.prompt_tokens + previous.answer_tokens + TOKENS_PER_MESSAGE
        return tokens

    def _close_queued(
        self, program: wire.ProgramRecord, call: wire.CallRecord, kind: ErrorKind
    ) -> wire.CallResult:
        """Close a queued call without running it.

        If an earlier attempt had started, the call fails with ``ENGINE_LOST``, because it must not
        be reported as not run.
        """
        if call.error_kind == ErrorKind.ENGINE_LOST:
            call.status = wire.CALL_STATUS_FAILED
        else:
            call.status = wire.CALL_STATUS_ABANDONED
            call.error_kind = kind
        return self.describe(program.program_id, call.number)

    def _finish(self, command: wire.FinishCall) -> wire.CallResult:
        program = self.programs.get(command.program_id)
        call = find_call(program, command.call_number) if program is not None else None
        if program is None or call is None:
            return wire.CallResult(status=wire.CALL_STATUS_UNKNOWN)
        if call.status != wire.CALL_STATUS_DISPATCHED or call.attempt != command.attempt:
            return self.describe(command.program_id, command.call_number)
        program.last_active_ms = command.now_ms
        match command.outcome:
            case wire.ATTEMPT_OUTCOME_ANSWERED:
                self._finish_answered(program, call, command)
            case wire.ATTEMPT_OUTCOME_NOT_STARTED:
                self._charge_reservation(program, call, 0)
                call.status = wire.CALL_STATUS_QUEUED
                if command.final:
                    self._close_queued(program, call, ErrorKind(command.error_kind))
            case wire.ATTEMPT_OUTCOME_BROKEN if not call.unrepeatable:
                self._charge_reservation(program, call, call.reserved_tokens)
                call.error_kind = ErrorKind.ENGINE_LOST
                final_status = wire.CALL_STATUS_FAILED if command.final else wire.CALL_STATUS_QUEUED
                call.status = final_status
            case _:
                self._charge_reservation(program, call, call.reserved_tokens)
                call.status = wire.CALL_STATUS_FAILED
                call.error_kind = command.error_kind or ErrorKind.OUTCOME_UNKNOWN
        return self.describe(command.program_id, command.call_number)

    def _finish_answered(
        self, program: wire.ProgramRecord, call: wire.CallRecord, command: wire.FinishCall
    ) -> None:
        self._charge_reservation(program, call, command.prompt_tokens + command.answer_tokens)
        call.status = wire.CALL_STATUS_FINISHED
        call.error_kind = ""
        call.answer = command.answer
        call.finish_reason = command.finish_reason
        call.prompt_tokens = command.prompt_tokens
        call.answer_tokens = command.answer_tokens
        call.cached_tokens = command.cached_tokens
        branch = next(b for b in program.branches if b.name == call.branch)
        branch.last_call = call.number

    def _charge_reservation(
        self, program: wire.ProgramRecord, call: wire.CallRecord, tokens: int
    ) -> None:
        """Replace the call's reservation with the tokens that it spent."""
        portion = self._portion(program.tenant)
        program.reserved_tokens -= call.reserved_tokens
        portion.reserved_tokens -= call.reserved_tokens
        program.spent_tokens += tokens
        portion.spent_tokens += tokens
        call.reserved_tokens = 0

    def _abandon(self, command: wire.AbandonCall) -> wire.CallResult:
        program = self.programs.get(command.program_id)
        call = find_call(program, command.call_number) if program is not None else None
        if program is None or call is None:
            return wire.CallResult(status=wire.CALL_STATUS_UNKNOWN)
        may_abandon = call.request_id == command.request_id or not command.request_id
        if call.status == wire.CALL_STATUS_QUEUED and may_abandon:
            return self._close_queued(program, call, ErrorKind(command.error_kind))
        return self.describe(command.program_id, command.call_number)

    def _end(self, command: wire.EndProgram) -> wire.CallResult:
        program = self.programs.get(command.program_id)
        if program is None:
            return _refused(ErrorKind.NOT_FOUND, "there is no such program")
        if not program.ended_reason:
            program.ended_reason = command.reason
            program.last_active_ms = command.now_ms
            for call in program.calls:
                if call.status == wire.CALL_STATUS_QUEUED:
                    self._close_queued(program, call, ErrorKind.PROGRAM_ENDED)
        return wire.CallResult()

    # --- tenant budget -------------------------------------------------------------------

    def _portion(self, tenant: str) -> wire.TenantPortion:
        if tenant not in self.portions:
            self.portions[tenant] = wire.TenantPortion(tenant=tenant)
        return self.portions[tenant]

    def next_portion_sequence(self, tenant: str) -> int:
        """Return the sequence number of the next portion that this group may request."""
        return self._portion(tenant).last_sequence + 1

    def _lend(self, command: wire.LendPortion) -> wire.CallResult:
        """Lend once per (borrower, sequence); a repeated request gets the same reply."""
        home = self.homes.setdefault(command.tenant, wire.TenantHome(tenant=command.tenant))
        if command.limit_revision >= home.limit_revision:
            home.limit_revision = command.limit_revision
            home.limit_tokens = command.limit_tokens
        lent = next((row for row in home.lent if row.borrower == command.borrower), None)
        if lent is None:
            lent = home.lent.add(borrower=command.borrower)
        if command.sequence == lent.sequence:
            return wire.CallResult(tokens=lent.tokens)
        if command.sequence != lent.sequence + 1:
            return _refused(ErrorKind.CONFLICT, "the portion's sequence is out of step")
        available_tokens = home.limit_tokens - sum(row.total_tokens for row in home.lent)
        tokens = min(command.tokens, available_tokens)
        if tokens <= 0:
            return _refused(ErrorKind.BUDGET_EXHAUSTED, "the tenant's budget is spent or lent")
        lent.sequence = command.sequence
        lent.tokens = tokens
        lent.total_tokens += tokens
        return wire.CallResult(tokens=tokens)

    def _receive(self, command: wire.ReceivePortion) -> wire.CallResult:
        portion = self._portion(command.tenant)
        if command.sequence == portion.last_sequence + 1:
            portion.last_sequence = command.sequence
            portion.received_tokens += command.tokens
        return wire.CallResult()


def _refused(kind: ErrorKind, detail: str) -> wire.CallResult:
    return wire.CallResult(refused_kind=kind, refused_detail=detail)
