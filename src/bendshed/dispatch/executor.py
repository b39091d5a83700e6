"""Runs the calls that callers brought to this node.

An attempt is sent only by the process that was granted it, and once: the grant is a committed
``DispatchCall``, and ``_sent`` remembers what left. A call's outcome is told to the caller only
after the group has committed it, so whatever a caller hears stays true.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from bendshed.consensus.group_client import GroupClient, GroupUnavailable
from bendshed.dispatch.calls import Answered, CallRequest, LiveAnswer, Outcome
from bendshed.dispatch.events import text_events
from bendshed.dispatch.group_commands import GroupCommands
from bendshed.dispatch.history import HistoryCache, HistoryMismatch
from bendshed.dispatch.stream_summary import summarize
from bendshed.errors import ErrorKind, Refusal, parse_kind
from bendshed.logs import PartLog
from bendshed.ports.clock import Clock
from bendshed.ports.engine import (
    Engine,
    EngineBroken,
    EngineNotStarted,
    EngineRejected,
    EngineRequest,
    EngineStream,
    StreamSummary,
    StreamUnknown,
)
from bendshed.ports.transport import Transport
from bendshed.programs.service import EXECUTING_METHOD
from bendshed.retries.own_interface import RetryBudget, backoff_s
from bendshed.routing.scheduler import Scheduler, WaitingCall
from bendshed.wire import programs_pb2 as wire

ORDER_WAIT_S = 10.0
"""How long a call waits for its predecessor."""
MAX_ATTEMPTS = 4
MAX_RESUMES = 3
FINISHED_KEPT_S = 5.0
"""A finished live answer stays readable here for a reconnecting caller."""

log = PartLog("dispatch")


@dataclass(slots=True)
class _Run:
    """Progress of one call on this node.

    Attributes:
        live: what its callers read.
        order_until_s: loop time until which it may wait for its predecessor.
        failed_runners: where an attempt failed.
        known_call, known_digest: history that this node holds.
        streamed_whole: the live answer holds a stream up to its last event.

    """

    live: LiveAnswer
    order_until_s: float
    failed_runners: set[str]
    known_call: int = 0
    known_digest: bytes = b""
    streamed_whole: bool = False

    @property
    def request(self) -> CallRequest:
        return self.live.request


class Executor:
    """Executes calls on this node.

    Attributes:
        identity: node id and process; a restarted process is another executor.
        live: answers by (program, call number), for reconnecting callers.

    """

    def __init__(
        self,
        identity: str,
        client: GroupClient,
        scheduler: Scheduler,
        engine_of: Callable[[str], Engine | None],
        confirm_runner: Callable[[str], Awaitable[bool]],
        transport: Transport,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.identity = identity
        self.live: dict[tuple[str, int], LiveAnswer] = {}
        self.history = HistoryCache()
        self.on_runner_leaving: Callable[[str], None] = lambda _runner: None
        self._group = GroupCommands(client, identity)
        self._scheduler = scheduler
        self._engine_of = engine_of
        self._confirm_runner = confirm_runner
        self._clock = clock
        self._rng = rng
        self._retries = RetryBudget()
        self._requests: dict[str, CallRequest] = {}
        self._sent: set[tuple[str, int, int]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        transport.handlers[EXECUTING_METHOD] = self._on_executing

    # --- entry ---------------------------------------------------------------------------

    def submit(self, request: CallRequest) -> LiveAnswer | Refusal:
        """Start a call, or attach to the same call under way on this node."""
        running = self.live.get(request.key)
        if running is not None and not isinstance(running.outcome, Refusal):
            same = running.request
            if (same.idempotency_key, same.body_digest) == (
                request.idempotency_key,
                request.body_digest,
            ) and same.tenant == request.tenant:
                return running
        if not self._scheduler.has_room():
            return Refusal(ErrorKind.OVERLOADED, "too many calls wait on this node")
        live = LiveAnswer(request)
        self.live[request.key] = live
        self._requests[request.request_id] = request
        self._retries.record_first_attempt()
        self._spawn(self._run_guarded(live))
        return live

    async def drain(self) -> None:
        """Wait until every call under way has its outcome."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _on_executing(self, payload: bytes) -> bytes:
        question = wire.ExecutingRequest.FromString(payload)
        executing = question.request_id in self._requests
        return wire.ExecutingReply(executing=executing).SerializeToString()

    async def _run_guarded(self, live: LiveAnswer) -> None:
        request = live.request
        try:
            outcome = await self._run(live)
        except GroupUnavailable as error:
            outcome = Refusal(ErrorKind.GROUP_UNAVAILABLE, str(error))
        except Exception as error:
            log.say("a call failed by a fault of ours", error=repr(error), call=request.call_number)
            outcome = Refusal(ErrorKind.INTERNAL, "internal error; ask again with the same key")
        self._requests.pop(request.request_id, None)
        live.finish(outcome)
        asyncio.get_running_loop().call_later(FINISHED_KEPT_S, self._forget, live)

    def _forget(self, live: LiveAnswer) -> None:
        key = live.request.key
        if self.live.get(key) is live:
            del self.live[key]
        self._sent = {sent for sent in self._sent if sent[:2] != key or key in self.live}

    # --- one call ------------------------------------------------------------------------

    async def _run(self, live: LiveAnswer) -> Outcome:
        now_s = asyncio.get_running_loop().time()
        run = _Run(live, now_s + ORDER_WAIT_S, set())
        kept = self.history.get(live.request.program_id, live.request.branch)
        if kept is not None:
            run.known_call, run.known_digest = kept.last_call, kept.digest
        result = await self._submit(run)
        while True:
            outcome, result = await self._step(run, result)
            if outcome is not None:
                return self._complete_stream(run, outcome)

    def _complete_stream(self, run: _Run, outcome: Outcome) -> Outcome:
        """Make the streamed bytes the whole committed answer, or refuse.

        Another executor may have finished the attempt that this one was streaming; the rest is
        then taken from the committed answer. Bytes of another attempt cannot be completed.
        """
        if not isinstance(outcome, Answered) or run.streamed_whole:
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
        self, run: _Run, result: wire.CallResult
    ) -> tuple[Outcome | None, wire.CallResult]:
        """Act on what the call is now; return its outcome or its next state."""
        if result.refused_kind:
            return Refusal(parse_kind(result.refused_kind), result.refused_detail), result
        match result.status:
            case wire.CALL_STATUS_FINISHED:
                return Answered(result), result
            case wire.CALL_STATUS_FAILED | wire.CALL_STATUS_ABANDONED:
                kind = parse_kind(result.error_kind)
                return Refusal(kind, f"the call ended with {kind.value}"), result
            case wire.CALL_STATUS_QUEUED if result.runnable:
                return None, await self._dispatch(run, result)
            case wire.CALL_STATUS_DISPATCHED if self._may_send(run, result):
                return None, await self._attempt(run, result)
            case wire.CALL_STATUS_DISPATCHED if result.orphaned:
                return None, await self._take_over(run, result)
        return await self._wait_longer(run, result)

    def _may_send(self, run: _Run, result: wire.CallResult) -> bool:
        mine = (result.executor, result.request_id) == (self.identity, run.request.request_id)
        return mine and (*run.request.key, result.attempt) not in self._sent

    async def _wait_longer(
        self, run: _Run, result: wire.CallResult
    ) -> tuple[Outcome | None, wire.CallResult]:
        """The call waits for its predecessor, or another node runs it."""
        now_s = asyncio.get_running_loop().time()
        if result.status == wire.CALL_STATUS_QUEUED and now_s >= run.order_until_s:
            return None, await self._give_up(run, ErrorKind.OUT_OF_ORDER)
        if self._left_s(run) <= 0:
            if result.status == wire.CALL_STATUS_QUEUED:
                return None, await self._give_up(run, ErrorKind.DEADLINE_EXCEEDED)
            detail = "another node still runs this call; ask again with the same key"
            return Refusal(ErrorKind.GROUP_UNAVAILABLE, detail), result
        return None, await self._submit(run)

    def _left_s(self, run: _Run) -> float:
        return (run.request.deadline_ms - self._clock.wall_ms()) / 1000

    # --- the group -----------------------------------------------------------------------

    async def _submit(self, run: _Run) -> wire.CallResult:
        request = run.request
        runner = self._scheduler.try_now(self._waiting_call(run, ""))
        return await self._group.submit(request, runner, run.known_call, run.known_digest)

    def _waiting_call(self, run: _Run, last_runner: str) -> WaitingCall:
        request = run.request
        loop = asyncio.get_running_loop()
        kept = self.history.get(request.program_id, request.branch)
        history_bytes = kept.num_bytes if kept is not None else 0
        return WaitingCall(
            program_id=request.program_id,
            model=request.model,
            priority=request.priority,
            attained_tokens=history_bytes // 4,
            history_tokens=history_bytes // 4,
            arrived_s=loop.time(),
            last_runner=last_runner
            or self._scheduler.table.last_runner.get(request.program_id, ""),
            avoid=frozenset(run.failed_runners),
            chosen=loop.create_future(),
        )

    async def _dispatch(self, run: _Run, result: wire.CallResult) -> wire.CallResult:
        """The call's turn has come: wait for a runner, then ask for the grant."""
        waiting = self._waiting_call(run, result.last_runner)
        runner = await self._scheduler.acquire(waiting, self._left_s(run))
        if not runner:
            served = self._scheduler.serves(run.request.model)
            kind = ErrorKind.DEADLINE_EXCEEDED if served else ErrorKind.NO_RUNNER
            return await self._give_up(run, kind)
        return await self._group.ask_grant(run.request, runner, replaces_attempt=0)

    async def _give_up(self, run: _Run, kind: ErrorKind) -> wire.CallResult:
        """Commit that the call was not run; a grant that crossed is handed back."""
        result = await self._group.abandon(run.request, kind)
        if result.status == wire.CALL_STATUS_DISPATCHED and self._may_send(run, result):
            self._sent.add((*run.request.key, result.attempt))  # never send it
            return await self._finish(
                run, result, wire.ATTEMPT_OUTCOME_NOT_STARTED, StreamSummary(), kind, final=True
            )
        return result

    async def _finish(
        self,
        run: _Run,
        granted: wire.CallResult,
        outcome: "wire.AttemptOutcome.ValueType",
        summary: StreamSummary,
        kind: ErrorKind | None,
        final: bool,
    ) -> wire.CallResult:
        return await self._group.finish(run.request, granted.attempt, outcome, summary, kind, final)

    # --- attempts ------------------------------------------------------------------------

    async def _attempt(self, run: _Run, granted: wire.CallResult) -> wire.CallResult:
        """Send the granted attempt and read it to its end."""
        try:
            history = self.history.assemble(run.request.program_id, run.request.branch, granted)
        except HistoryMismatch:
            return await self._fetch_whole_history(run)
        self._sent.add((*run.request.key, granted.attempt))
        runner_id = granted.runner
        table = self._scheduler.table
        now_s = asyncio.get_running_loop().time
        if not await self._confirm_runner(runner_id):
            return await self._not_started(run, granted)
        table.begin(runner_id, run.request.program_id)
        succeeded = False
        try:
            result = await self._send(run, granted, history)
            succeeded = result.status == wire.CALL_STATUS_FINISHED
            return result
        finally:
            table.end(runner_id, succeeded, now_s())
            self._scheduler.schedule()

    async def _fetch_whole_history(self, run: _Run) -> wire.CallResult:
        log.say("a kept history did not match and was dropped", program=run.request.program_id)
        self.history.drop(run.request.program_id, run.request.branch)
        run.known_call, run.known_digest = 0, b""
        return await self._submit(run)

    async def _send(
        self, run: _Run, granted: wire.CallResult, history: list[wire.ChatMessage]
    ) -> wire.CallResult:
        engine = self._engine_of(granted.runner)
        if engine is None:
            return await self._not_started(run, granted)
        request = EngineRequest(
            attempt_id=attempt_id(run.request, granted.attempt),
            request_id=run.request.request_id,
            program_id=run.request.program_id,
            model=run.request.model,
            messages=[*history, *run.request.messages],
            max_answer_tokens=run.request.max_answer_tokens,
            priority=run.request.priority,
        )
        try:
            stream = await engine.generate(request)
            summary = await self._read_whole(run, engine, request.attempt_id, stream)
        except EngineNotStarted as error:
            if error.leaving:
                self.on_runner_leaving(granted.runner)
            return await self._not_started(run, granted)
        except EngineRejected as error:
            log.say("an engine rejected a call", runner=granted.runner, reason=str(error))
            return await self._finish(
                run,
                granted,
                wire.ATTEMPT_OUTCOME_UNKNOWN,
                StreamSummary(),
                ErrorKind.ENGINE_FAILED,
                final=True,
            )
        except (EngineBroken, StreamUnknown):
            return await self._broken(run, granted)
        return await self._answered(run, granted, history, summary)

    async def _read_whole(
        self, run: _Run, engine: Engine, name: str, stream: EngineStream
    ) -> StreamSummary:
        """Forward a stream to its end, resuming it where the connection broke."""
        for tries in range(MAX_RESUMES + 1):
            try:
                if tries:
                    stream = await engine.resume(name)
                await self._forward(run, stream)
                run.streamed_whole = True
                return stream.summary
            except EngineBroken as error:
                log.say("a stream broke", attempt=name, reason=str(error))
            await asyncio.sleep(backoff_s(tries + 1, self._rng))
        raise EngineBroken(name)

    async def _forward(self, run: _Run, stream: EngineStream) -> None:
        """Append what the live answer does not have yet."""
        skip = run.live.num_bytes
        async for chunk in stream.events():
            if skip >= len(chunk):
                skip -= len(chunk)
                continue
            run.live.append(chunk[skip:])
            skip = 0
        if not stream.summary.finish_reason:
            raise EngineBroken("the stream ended without a finish reason")

    async def _answered(
        self,
        run: _Run,
        granted: wire.CallResult,
        history: list[wire.ChatMessage],
        summary: StreamSummary,
    ) -> wire.CallResult:
        result = await self._finish(
            run, granted, wire.ATTEMPT_OUTCOME_ANSWERED, summary, None, final=True
        )
        if result.status == wire.CALL_STATUS_FINISHED and result.attempt == granted.attempt:
            answer = wire.ChatMessage(role="assistant", content=result.answer)
            turn = [*history, *run.request.messages, answer]
            request = run.request
            self.history.put(request.program_id, request.branch, request.call_number, turn)
            return result
        run.streamed_whole = False  # another attempt won
        return result

    async def _not_started(self, run: _Run, granted: wire.CallResult) -> wire.CallResult:
        """Hand the attempt back unstarted and try elsewhere while that makes sense."""
        run.failed_runners.add(granted.runner)
        final = not self._may_retry(run, granted)
        result = await self._finish(
            run,
            granted,
            wire.ATTEMPT_OUTCOME_NOT_STARTED,
            StreamSummary(),
            ErrorKind.NO_RUNNER,
            final,
        )
        if not final:
            await asyncio.sleep(backoff_s(granted.attempt, self._rng))
        return result

    async def _broken(self, run: _Run, granted: wire.CallResult) -> wire.CallResult:
        """The engine was lost. Run again only if no byte reached the caller."""
        run.failed_runners.add(granted.runner)
        seen = run.live.num_bytes > 0
        final = seen or run.request.unrepeatable or not self._may_retry(run, granted)
        kind = ErrorKind.OUTCOME_UNKNOWN if run.request.unrepeatable else ErrorKind.ENGINE_LOST
        return await self._finish(
            run, granted, wire.ATTEMPT_OUTCOME_BROKEN, StreamSummary(), kind, final
        )

    def _may_retry(self, run: _Run, granted: wire.CallResult) -> bool:
        return granted.attempt < MAX_ATTEMPTS and self._left_s(run) > 0 and self._retries.take()

    # --- takeover ------------------------------------------------------------------------

    async def _take_over(self, run: _Run, orphan: wire.CallResult) -> wire.CallResult:
        """The executor of a dispatched call is gone: resume its stream, or settle it.

        The attempt is cancelled at its engine before anything else is done with the call, so a
        former executor that wakes up cannot start it any more.
        """
        log.say("takes a call over", program=run.request.program_id, call=run.request.call_number)
        engine = self._engine_of(orphan.runner)
        name = attempt_id(run.request, orphan.attempt)
        if engine is None:
            return await self._lost(run, orphan)
        try:
            stream = await engine.resume(name)
            summary = await self._read_whole(run, engine, name, stream)
        except (EngineBroken, EngineNotStarted, StreamUnknown):
            return await self._lost(run, orphan)
        result = await self._finish(
            run, orphan, wire.ATTEMPT_OUTCOME_ANSWERED, summary, None, final=True
        )
        run.streamed_whole = result.attempt == orphan.attempt
        return result

    async def _lost(self, run: _Run, orphan: wire.CallResult) -> wire.CallResult:
        """The orphan's stream cannot be had."""
        cancelled = await self._cancel(orphan.runner, attempt_id(run.request, orphan.attempt))
        if orphan.unrepeatable or run.live.num_bytes:
            return await self._finish(
                run,
                orphan,
                wire.ATTEMPT_OUTCOME_BROKEN,
                StreamSummary(),
                ErrorKind.OUTCOME_UNKNOWN,
                final=True,
            )
        if not cancelled:
            run.failed_runners.add(orphan.runner)
        waiting = self._waiting_call(run, "")
        runner = await self._scheduler.acquire(waiting, self._left_s(run))
        if not runner:
            return await self._finish(
                run,
                orphan,
                wire.ATTEMPT_OUTCOME_BROKEN,
                StreamSummary(),
                ErrorKind.ENGINE_LOST,
                final=True,
            )
        return await self._group.ask_grant(run.request, runner, replaces_attempt=orphan.attempt)

    async def _cancel(self, runner_id: str, name: str) -> bool:
        engine = self._engine_of(runner_id)
        if engine is None:
            return False
        try:
            await engine.cancel(name)
        except (EngineBroken, EngineNotStarted):
            return False
        return True


def attempt_id(request: CallRequest, attempt: int) -> str:
    """Name of an attempt's stream at its engine."""
    return f"{request.program_id}:{request.call_number}:{attempt}"
