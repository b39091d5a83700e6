"""Sends the attempts that were granted to this process, and reads their streams to the end.

``retries/`` decides whether a failed attempt may be replaced, depending on what the caller has
received.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from bendshed.dispatch.call_steps import CallRun, CallSteps
from bendshed.dispatch.calls import CallRequest
from bendshed.dispatch.history import HistoryMismatch
from bendshed.errors import ErrorKind
from bendshed.logs import PartLog
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
from bendshed.retries.retry_budget import RetryBudget, backoff_s
from bendshed.routing.scheduler import Scheduler
from bendshed.wire import programs_pb2 as wire

MAX_ATTEMPTS = 4
"""Maximum attempts of one call, over all its executors; bounds the work that a call may cost while
engines fail."""
MAX_RESUMES = 3
"""Maximum times that a stream is resumed at its engine before the engine counts as lost."""

log = PartLog("dispatch")


class AttemptSender:
    """Sends each granted attempt once; resumes or settles attempts of lost executors."""

    def __init__(
        self,
        steps: CallSteps,
        scheduler: Scheduler,
        engine_of: Callable[[str], Engine | None],
        confirm_runner: Callable[[str], Awaitable[bool]],
        report_leaving: Callable[[str], None],
        retries: RetryBudget,
        rng: random.Random,
    ) -> None:
        self._steps = steps
        self._scheduler = scheduler
        self._engine_of = engine_of
        self._confirm_runner = confirm_runner
        self._report_leaving = report_leaving
        self._retries = retries
        self._rng = rng

    async def send(self, run: CallRun, granted: wire.CallResult) -> wire.CallResult:
        """Send the granted attempt and read its stream to the end."""
        try:
            history = self._steps.history.assemble(
                run.request.program_id, run.request.branch, granted
            )
        except HistoryMismatch:
            return await self._fetch_whole_history(run)
        self._steps.used_grants.add((*run.request.key, granted.attempt))
        runner_id = granted.runner
        table = self._scheduler.table
        now_s = asyncio.get_running_loop().time
        if not await self._confirm_runner(runner_id):
            return await self._settle_not_started(run, granted)
        run.sent_attempts.add(granted.attempt)
        table.begin_attempt(runner_id, run.request.program_id)
        succeeded = False
        try:
            result = await self._send(run, granted, history)
            succeeded = result.status == wire.CALL_STATUS_FINISHED
            return result
        finally:
            table.end_attempt(runner_id, succeeded, now_s())
            self._scheduler.schedule()

    async def _fetch_whole_history(self, run: CallRun) -> wire.CallResult:
        log.say("cached history dropped: digest mismatch", program=run.request.program_id)
        self._steps.history.drop(run.request.program_id, run.request.branch)
        run.known_call, run.known_digest = 0, b""
        return await self._steps.submit(run)

    async def _send(
        self, run: CallRun, granted: wire.CallResult, history: list[wire.ChatMessage]
    ) -> wire.CallResult:
        engine = self._engine_of(granted.runner)
        if engine is None:
            return await self._settle_not_started(run, granted)
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
            summary = await self._read_to_end(run, engine, request.attempt_id, stream)
        except EngineNotStarted as error:
            if error.leaving:
                self._report_leaving(granted.runner)
            return await self._settle_not_started(run, granted)
        except EngineRejected as error:
            log.say("call rejected by its engine", runner=granted.runner, reason=str(error))
            return await self._steps.finish(
                run,
                granted,
                wire.ATTEMPT_OUTCOME_UNKNOWN,
                StreamSummary(),
                ErrorKind.ENGINE_FAILED,
                final=True,
            )
        except (EngineBroken, StreamUnknown):
            return await self._settle_broken(run, granted)
        return await self._settle_answered(run, granted, history, summary)

    async def _read_to_end(
        self, run: CallRun, engine: Engine, stream_id: str, stream: EngineStream
    ) -> StreamSummary:
        """Forward a stream to its end, resuming it after a broken connection."""
        for attempt in range(MAX_RESUMES + 1):
            try:
                if attempt:
                    stream = await engine.resume(stream_id)
                await self._forward(run, stream)
                run.is_stream_complete = True
                return stream.summary
            except EngineBroken as error:
                log.say("stream interrupted", attempt=stream_id, reason=str(error))
            await asyncio.sleep(backoff_s(attempt + 1, self._rng))
        raise EngineBroken(stream_id)

    async def _forward(self, run: CallRun, stream: EngineStream) -> None:
        """Append the bytes that the live answer does not have yet."""
        skip = run.live.num_bytes
        async for chunk in stream.events():
            if skip >= len(chunk):
                skip -= len(chunk)
                continue
            run.live.append(chunk[skip:])
            skip = 0
        if not stream.summary.finish_reason:
            raise EngineBroken("the stream ended without a finish reason")

    async def _settle_answered(
        self,
        run: CallRun,
        granted: wire.CallResult,
        history: list[wire.ChatMessage],
        summary: StreamSummary,
    ) -> wire.CallResult:
        result = await self._steps.finish(
            run, granted, wire.ATTEMPT_OUTCOME_ANSWERED, summary, None, final=True
        )
        if result.status == wire.CALL_STATUS_FINISHED and result.attempt == granted.attempt:
            answer = wire.ChatMessage(role="assistant", content=result.answer)
            turn = [*history, *run.request.messages, answer]
            request = run.request
            self._steps.history.put(request.program_id, request.branch, request.call_number, turn)
            return result
        run.is_stream_complete = False  # another attempt ended the call
        return result

    async def _settle_not_started(self, run: CallRun, granted: wire.CallResult) -> wire.CallResult:
        """Return the attempt as not started; the call may be retried on another runner."""
        run.failed_runners.add(granted.runner)
        final = not self._may_retry(run, granted)
        result = await self._steps.finish(
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

    async def _settle_broken(self, run: CallRun, granted: wire.CallResult) -> wire.CallResult:
        """Handle the loss of the engine; the call is run again only if no byte reached the
        caller."""
        run.failed_runners.add(granted.runner)
        has_output = run.live.num_bytes > 0
        final = has_output or run.request.unrepeatable or not self._may_retry(run, granted)
        kind = ErrorKind.OUTCOME_UNKNOWN if run.request.unrepeatable else ErrorKind.ENGINE_LOST
        return await self._steps.finish(
            run, granted, wire.ATTEMPT_OUTCOME_BROKEN, StreamSummary(), kind, final
        )

    def _may_retry(self, run: CallRun, granted: wire.CallResult) -> bool:
        return (
            granted.attempt < MAX_ATTEMPTS
            and self._steps.remaining_s(run) > 0
            and self._retries.take()
        )

    # --- takeover ------------------------------------------------------------------------

    async def take_over(self, run: CallRun, orphan: wire.CallResult) -> wire.CallResult:
        """Resume or settle the stream of a dispatched call whose executor was lost.

        Unless its stream can be resumed, the attempt is cancelled at its engine before any other
        step, so that a former executor that resumes cannot start it any more.
        """
        log.say(
            "call taken over: its executor was lost",
            program=run.request.program_id,
            call=run.request.call_number,
        )
        engine = self._engine_of(orphan.runner)
        stream_id = attempt_id(run.request, orphan.attempt)
        if engine is None:
            return await self._settle_lost(run, orphan)
        try:
            stream = await engine.resume(stream_id)
            summary = await self._read_to_end(run, engine, stream_id, stream)
        except (EngineBroken, EngineNotStarted, StreamUnknown):
            return await self._settle_lost(run, orphan)
        result = await self._steps.finish(
            run, orphan, wire.ATTEMPT_OUTCOME_ANSWERED, summary, None, final=True
        )
        run.is_stream_complete = result.attempt == orphan.attempt
        return result

    async def _settle_lost(self, run: CallRun, orphan: wire.CallResult) -> wire.CallResult:
        """Settle or replace an orphaned attempt whose stream cannot be resumed."""
        cancelled = await self._cancel(orphan.runner, attempt_id(run.request, orphan.attempt))
        if orphan.unrepeatable or run.live.num_bytes:
            return await self._steps.finish(
                run,
                orphan,
                wire.ATTEMPT_OUTCOME_BROKEN,
                StreamSummary(),
                ErrorKind.OUTCOME_UNKNOWN,
                final=True,
            )
        if not cancelled:
            run.failed_runners.add(orphan.runner)
        runner = ""
        if orphan.attempt < MAX_ATTEMPTS:
            runner = await self._steps.wait_for_runner(run, "")
        if not runner:
            return await self._steps.finish(
                run,
                orphan,
                wire.ATTEMPT_OUTCOME_BROKEN,
                StreamSummary(),
                ErrorKind.ENGINE_LOST,
                final=True,
            )
        return await self._steps.replace(run, orphan, runner)

    async def _cancel(self, runner_id: str, stream_id: str) -> bool:
        engine = self._engine_of(runner_id)
        if engine is None:
            return False
        try:
            await engine.cancel(stream_id)
        except (EngineBroken, EngineNotStarted):
            return False
        return True


def attempt_id(request: CallRequest, attempt: int) -> str:
    """Return the id of an attempt's stream at its engine."""
    return f"{request.program_id}:{request.call_number}:{attempt}"
