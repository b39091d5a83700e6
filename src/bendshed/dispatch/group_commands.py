"""Commands that an executor sends to the group of a call's program."""

from bendshed.consensus.group_client import GroupClient
from bendshed.dispatch.calls import CallRequest
from bendshed.errors import ErrorKind
from bendshed.ports.engine import StreamSummary
from bendshed.wire import programs_pb2 as wire

SUBMIT_WAIT_S = 2.0
"""Time for which a submission waits at the leader until the call may run or has an outcome."""
GROUP_TIMEOUT_S = 15.0
"""Time for which a group may be without a leader before a call is given up."""
FINISH_TIMEOUT_S = 60.0
"""Time for which the outcome of a run call is submitted to its group."""


class GroupCommands:
    """Commits an executor's steps; all commands are idempotent.

    All methods raise ``GroupUnavailable``.

    Attributes:
        identity: the executor's node id and process.

    """

    def __init__(self, client: GroupClient, identity: str) -> None:
        self.identity = identity
        self._client = client

    async def submit(
        self, request: CallRequest, runner: str, known_call: int, known_digest: bytes
    ) -> wire.CallResult:
        """Submit a call; it is granted at once for ``runner`` if its predecessor ended."""
        command = wire.SubmitCall(
            program_id=request.program_id,
            program_kind=request.program_kind,
            tenant=request.tenant,
            branch=request.branch,
            parent_branch=request.parent_branch,
            call_number=request.call_number,
            idempotency_key=request.idempotency_key,
            body_digest=request.body_digest,
            messages=request.messages,
            unrepeatable=request.unrepeatable,
            deadline_ms=request.deadline_ms,
            max_answer_tokens=request.max_answer_tokens,
            executor=self.identity,
            request_id=request.request_id,
            limits=request.limits,
            model=request.model,
            runner=runner,
            known_call=known_call,
            known_digest=known_digest,
        )
        return await self._client.command(
            request.program_id, wire.ProgramCommand(submit=command), GROUP_TIMEOUT_S, SUBMIT_WAIT_S
        )

    async def request_grant(
        self, request: CallRequest, runner: str, replaces_attempt: int
    ) -> wire.CallResult:
        """Request the next attempt on ``runner``.

        ``replaces_attempt`` is the orphaned attempt that it replaces; 0 if there is none.
        """
        command = wire.DispatchCall(
            program_id=request.program_id,
            call_number=request.call_number,
            executor=self.identity,
            request_id=request.request_id,
            runner=runner,
            replaces_attempt=replaces_attempt,
        )
        return await self._client.command(
            request.program_id, wire.ProgramCommand(dispatch=command), GROUP_TIMEOUT_S
        )

    async def abandon(self, request: CallRequest, kind: ErrorKind) -> wire.CallResult:
        """Close a call that was not granted."""
        command = wire.AbandonCall(
            program_id=request.program_id,
            call_number=request.call_number,
            request_id=request.request_id,
            error_kind=kind,
        )
        return await self._client.command(
            request.program_id, wire.ProgramCommand(abandon=command), GROUP_TIMEOUT_S
        )

    async def finish(
        self,
        request: CallRequest,
        attempt: int,
        outcome: "wire.AttemptOutcome.ValueType",
        summary: StreamSummary,
        kind: ErrorKind | None,
        final: bool,
    ) -> wire.CallResult:
        """Submit an attempt's outcome; a result of another attempt means that it was too late."""
        usage = summary.usage
        command = wire.FinishCall(
            program_id=request.program_id,
            call_number=request.call_number,
            attempt=attempt,
            outcome=outcome,
            answer=summary.text,
            finish_reason=summary.finish_reason,
            prompt_tokens=usage.prompt_tokens,
            answer_tokens=usage.answer_tokens,
            cached_tokens=usage.cached_tokens,
            error_kind=kind or "",
            final=final,
        )
        return await self._client.command(
            request.program_id, wire.ProgramCommand(finish=command), FINISH_TIMEOUT_S
        )
