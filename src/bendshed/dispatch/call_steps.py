"""Progress of one call on this node, and the steps that are committed by its program's group."""

import asyncio
from dataclasses import dataclass, field

from bendshed.dispatch.calls import CallRequest, LiveAnswer
from bendshed.dispatch.group_commands import GroupCommands
from bendshed.dispatch.history import HistoryCache
from bendshed.errors import ErrorKind
from bendshed.ports.clock import Clock
from bendshed.ports.engine import StreamSummary
from bendshed.routing.scheduler import Scheduler, WaitingCall
from bendshed.wire import programs_pb2 as wire

BYTES_PER_TOKEN = 4
"""Estimate for English text with common tokenizers; used only to compare waiting calls."""


@dataclass(slots=True)
class CallRun:
    """Progress of one call on this node.

    Attributes:
        live: answer that its callers read.
        predecessor_deadline_s: loop time until which it may wait for its predecessor.
        failed_runners: runners on which an attempt failed.
        known_call, known_digest: history that this node has cached.
        is_stream_complete: the live answer contains a stream up to its last event.
        sent_attempts: attempts that this process has sent.

    """

    live: LiveAnswer
    predecessor_deadline_s: float
    failed_runners: set[str]
    known_call: int = 0
    known_digest: bytes = b""
    is_stream_complete: bool = False
    sent_attempts: set[int] = field(default_factory=set)

    @property
    def request(self) -> CallRequest:
        """The call, as parsed by the gateway."""
        return self.live.request


class CallSteps:
    """Submits calls, waits for their runners and commits their outcomes.

    Methods that commit raise ``GroupUnavailable``.

    Attributes:
        history: histories that this node has cached.
        used_grants: attempts (program, call number, attempt) that were sent or must not be sent.

    """

    def __init__(self, group: GroupCommands, scheduler: Scheduler, clock: Clock) -> None:
        self.history = HistoryCache()
        self.used_grants: set[tuple[str, int, int]] = set()
        self._group = group
        self._scheduler = scheduler
        self._clock = clock

    def remaining_s(self, run: CallRun) -> float:
        """Return the seconds until the call's deadline, by the wall clock."""
        return (run.request.deadline_ms - self._clock.wall_ms()) / 1000

    def may_send(self, run: CallRun, result: wire.CallResult) -> bool:
        """Return whether this process holds the grant and has not used it."""
        is_unused = (*run.request.key, result.attempt) not in self.used_grants
        return is_unused and self._is_granted_to(run, result)

    def _is_granted_to(self, run: CallRun, result: wire.CallResult) -> bool:
        """Return whether the grant was given to this run."""
        grantee = (result.executor, result.request_id)
        return grantee == (self._group.identity, run.request.request_id)

    async def submit(self, run: CallRun) -> wire.CallResult:
        """Submit the call; it is granted at once if its predecessor ended and a runner is free."""
        request = run.request
        runner = self._scheduler.choose_now(self._waiting_call(run, ""))
        return await self._group.submit(request, runner, run.known_call, run.known_digest)

    def _waiting_call(self, run: CallRun, last_runner: str) -> WaitingCall:
        request = run.request
        loop = asyncio.get_running_loop()
        cached = self.history.get(request.program_id, request.branch)
        history_bytes = cached.num_bytes if cached is not None else 0
        return WaitingCall(
            program_id=request.program_id,
            model=request.model,
            priority=request.priority,
            attained_tokens=history_bytes // BYTES_PER_TOKEN,
            history_tokens=history_bytes // BYTES_PER_TOKEN,
            arrived_s=loop.time(),
            last_runner=last_runner
            or self._scheduler.table.last_runner.get(request.program_id, ""),
            failed_runners=frozenset(run.failed_runners),
            chosen=loop.create_future(),
        )

    async def wait_for_runner(self, run: CallRun, last_runner: str) -> str:
        """Wait for a free runner until the deadline; return an empty id if none became free."""
        return await self._scheduler.acquire(
            self._waiting_call(run, last_runner), self.remaining_s(run)
        )

    async def dispatch(self, run: CallRun, result: wire.CallResult) -> wire.CallResult:
        """Wait for a runner of a call whose predecessor ended, then request the grant."""
        runner = await self.wait_for_runner(run, result.last_runner)
        if not runner:
            served = self._scheduler.serves(run.request.model)
            kind = ErrorKind.DEADLINE_EXCEEDED if served else ErrorKind.NO_RUNNER
            return await self.give_up(run, kind)
        return await self._group.request_grant(run.request, runner, replaces_attempt=0)

    async def replace(self, run: CallRun, orphan: wire.CallResult, runner: str) -> wire.CallResult:
        """Request a new attempt in place of one whose executor was lost."""
        return await self._group.request_grant(run.request, runner, replaces_attempt=orphan.attempt)

    async def give_up(self, run: CallRun, kind: ErrorKind) -> wire.CallResult:
        """Commit that the call was not run; a grant that was made in the meantime is returned."""
        result = await self._group.abandon(run.request, kind)
        is_granted = result.status == wire.CALL_STATUS_DISPATCHED and self._is_granted_to(
            run, result
        )
        if is_granted and result.attempt not in run.sent_attempts:
            self.used_grants.add((*run.request.key, result.attempt))  # never send it
            return await self.finish(
                run, result, wire.ATTEMPT_OUTCOME_NOT_STARTED, StreamSummary(), kind, final=True
            )
        return result

    async def finish(
        self,
        run: CallRun,
        granted: wire.CallResult,
        outcome: "wire.AttemptOutcome.ValueType",
        summary: StreamSummary,
        kind: ErrorKind | None,
        final: bool,
    ) -> wire.CallResult:
        """Commit the outcome of an attempt; ``final`` if the call ends with it."""
        return await self._group.finish(run.request, granted.attempt, outcome, summary, kind, final)
