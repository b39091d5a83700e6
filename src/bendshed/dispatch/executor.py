"""Runs the calls that callers sent to this node.

An attempt is sent only by the process to which it was granted, and only once: the grant is a
committed ``DispatchCall``, and ``CallSteps.used_grants`` records the attempts that were sent. The
caller gets the outcome only after the group has committed it, so a delivered outcome is final.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from bendshed.consensus.group_client import GroupClient, GroupUnavailable
from bendshed.dispatch.attempt_sender import AttemptSender
from bendshed.dispatch.call_steps import CallRun, CallSteps
from bendshed.dispatch.calls import Answered, CallRequest, LiveAnswer, Outcome
from bendshed.dispatch.events import text_events
from bendshed.dispatch.group_commands import GroupCommands
from bendshed.errors import ErrorKind, Refusal, parse_kind
from bendshed.logs import PartLog
from bendshed.ports.clock import Clock
from bendshed.ports.engine import Engine
from bendshed.ports.stream_summary import summarize
from bendshed.ports.transport import Transport
from bendshed.programs.service import EXECUTING_METHOD
from bendshed.retries.retry_budget import RetryBudget
from bendshed.routing.scheduler import Scheduler
from bendshed.wire import programs_pb2 as wire

PREDECESSOR_TIMEOUT_S = 10.0
"""Time for which a call waits for its predecessor before it is closed without being run."""
ANSWER_RETENTION_S = 5.0
"""Time for which a finished answer stays readable on this node for a caller that reconnects."""
GRANT_RETURN_TIMEOUT_S = 5.0
"""Maximum time for which a stopping node waits to return grants: a group may have no leader."""

log = PartLog("dispatch")


class Executor:
    """Executes calls on this node.

    Attributes:
        identity: node id and process; a restarted process is a different executor.
        live: answers by (program, call number), for reconnecting callers.

    """

    def __init__(
        self,
        identity: str,
        client: GroupClient,
        scheduler: Scheduler,
        engine_of: Callable[[str], Engine | None],
        confirm_runner: Callable[[str], Awaitable[bool]],
        report_leaving: Callable[[str], None],
        transport: Transport,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.identity = identity
        self.live: dict[tuple[str, int], LiveAnswer] = {}
        self._scheduler = scheduler
        self._clock = clock
        self._retries = RetryBudget()
        self._steps = CallSteps(GroupCommands(client, identity), scheduler, clock)
        self._attempts = AttemptSender(
            self._steps, scheduler, engine_of, confirm_runner, report_leaving, self._retries, rng
        )
        self._requests: dict[str, CallRequest] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._grant_returns: set[asyncio.Task[None]] = set()
        transport.handlers[EXECUTING_METHOD] = self._on_executing

    # --- entry ---------------------------------------------------------------------------

    def submit(self, request: CallRequest) -> LiveAnswer | Refusal:
        """Start a call, or attach to the same call if it is running on this node."""
        running = self.live.get(request.key)
        if running is not None and not isinstance(running.outcome, Refusal):
            running_request = running.request
            if (running_request.idempotency_key, running_request.body_digest) == (
                request.idempotency_key,
                request.body_digest,
            ) and running_request.tenant == request.tenant:
                return running
        if not self._scheduler.has_room():
            return Refusal(ErrorKind.OVERLOADED, "too many calls wait on this node")
        live = LiveAnswer(request)
        self.live[request.key] = live
        self._requests[request.request_id] = request
        self._retries.record_first_attempt()
        self._spawn(self._run_to_outcome(live), self._tasks)
        return live

    async def drain(self) -> None:
        """Wait until every running call has its outcome."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))
        if self._grant_returns:
            await asyncio.wait(list(self._grant_returns), timeout=GRANT_RETURN_TIMEOUT_S)

    @staticmethod
    def _spawn(work: Coroutine[Any, Any, None], among: "set[asyncio.Task[None]]") -> None:
        task = asyncio.get_running_loop().create_task(work)
        among.add(task)
        task.add_done_callback(among.discard)

    async def _on_executing(self, payload: bytes) -> bytes:
        request = wire.ExecutingRequest.FromString(payload)
        executing = request.request_id in self._requests
        return wire.ExecutingReply(executing=executing).SerializeToString()

    async def _run_to_outcome(self, live: LiveAnswer) -> None:
        loop = asyncio.get_running_loop()
        request = live.request
        run = CallRun(live, loop.time() + PREDECESSOR_TIMEOUT_S, set())
        may_hold_grant = False
        try:
            outcome = await self._run(run)
        except GroupUnavailable as error:
            outcome = Refusal(ErrorKind.GROUP_UNAVAILABLE, str(error))
            may_hold_grant = True
        except Exception as error:
            log.say("call failed: internal error", error=repr(error), call=request.call_number)
            outcome = Refusal(ErrorKind.INTERNAL, "internal error; ask again with the same key")
        if may_hold_grant:
            self._spawn(self._return_grant(run), self._grant_returns)
        else:
            self._requests.pop(request.request_id, None)
        live.finish(outcome)
        loop.call_later(ANSWER_RETENTION_S, self._forget, live)

    async def _return_grant(self, run: CallRun) -> None:
        """Close a call that may have been granted and was not sent, without a time limit.

        Until then this node answers that it is executing the call, because it may hold the grant. A
        node that treated the call as orphaned would have to assume that it was run.
        """
        request = run.request
        try:
            while not await self._try_return_grant(run):
                pass  # each attempt waits for a leader
        finally:
            self._requests.pop(request.request_id, None)
        log.say(
            "grant returned: the call's group did not answer in time",
            program=request.program_id,
            call=request.call_number,
        )

    async def _try_return_grant(self, run: CallRun) -> bool:
        try:
            await self._steps.give_up(run, ErrorKind.GROUP_UNAVAILABLE)
        except GroupUnavailable:
            return False
        return True

    def _forget(self, live: LiveAnswer) -> None:
        key = live.request.key
        if self.live.get(key) is live:
            del self.live[key]
        used_grants = self._steps.used_grants
        self._steps.used_grants = {
            grant for grant in used_grants if grant[:2] != key or key in self.live
        }

    # --- one call ------------------------------------------------------------------------

    async def _run(self, run: CallRun) -> Outcome:
        cached = self._steps.history.get(run.request.program_id, run.request.branch)
        if cached is not None:
            run.known_call, run.known_digest = cached.last_call, cached.digest
        result = await self._steps.submit(run)
        while True:
            outcome, result = await self._step(run, result)
            if outcome is not None:
                return self._complete_stream(run, outcome)

    def _complete_stream(self, run: CallRun, outcome: Outcome) -> Outcome:
        """Extend the streamed bytes to the whole committed answer, or return a refusal.

        Another executor may have finished the attempt that this one was streaming; the rest is then
        taken from the committed answer. If another attempt answered, its text does not continue the
        streamed bytes.
        """
        if not isinstance(outcome, Answered) or run.is_stream_complete:
            return outcome
        streamed = summarize(b"".join(run.live.chunks)).text
        if not outcome.result.answer.startswith(streamed):
            detail = "another attempt answered; ask again with the same key for its answer"
            return Refusal(ErrorKind.SUPERSEDED, detail)
        created_s = self._clock.wall_ms() // 1000
        rest = text_events(run.request, outcome.result, len(streamed), created_s)
        run.live.append(rest)
        return outcome

    async def _step(
        self, run: CallRun, result: wire.CallResult
    ) -> tuple[Outcome | None, wire.CallResult]:
        """Act on the call's current state; return its outcome or its next state."""
        if result.refused_kind:
            return Refusal(parse_kind(result.refused_kind), result.refused_detail), result
        match result.status:
            case wire.CALL_STATUS_FINISHED:
                return Answered(result), result
            case wire.CALL_STATUS_FAILED | wire.CALL_STATUS_ABANDONED:
                kind = parse_kind(result.error_kind)
                return Refusal(kind, f"the call ended with {kind.value}"), result
            case wire.CALL_STATUS_QUEUED if result.runnable:
                return None, await self._steps.dispatch(run, result)
            case wire.CALL_STATUS_DISPATCHED if self._steps.may_send(run, result):
                return None, await self._attempts.send(run, result)
            case wire.CALL_STATUS_DISPATCHED if result.orphaned:
                return None, await self._attempts.take_over(run, result)
        return await self._wait(run, result)

    async def _wait(
        self, run: CallRun, result: wire.CallResult
    ) -> tuple[Outcome | None, wire.CallResult]:
        """Wait for the call's predecessor, or for another node that runs it."""
        now_s = asyncio.get_running_loop().time()
        if result.status == wire.CALL_STATUS_QUEUED and now_s >= run.predecessor_deadline_s:
            return None, await self._steps.give_up(run, ErrorKind.OUT_OF_ORDER)
        if self._steps.remaining_s(run) <= 0:
            if result.status == wire.CALL_STATUS_QUEUED:
                return None, await self._steps.give_up(run, ErrorKind.DEADLINE_EXCEEDED)
            detail = "another node still runs this call; ask again with the same key"
            return Refusal(ErrorKind.GROUP_UNAVAILABLE, detail), result
        return None, await self._steps.submit(run)
