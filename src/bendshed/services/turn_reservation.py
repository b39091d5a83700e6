"""Reserves a turn's tokens in the turn log and loads the chain of turns that it continues.

A preview of the committed state allows the turn to be dispatched while its reservation is still
being committed; ``confirm`` waits for the commit before any output is sent to the caller.
"""

import asyncio
from dataclasses import dataclass, field
from functools import partial

from bendshed.errors import ErrorKind, Refusal
from bendshed.logs import PartLog
from bendshed.model.permit import TimedPermit
from bendshed.retries.decisions import LATE_ANSWER_MARGIN_S
from bendshed.services.attempts import Attempts
from bendshed.services.group_search import GroupSearch
from bendshed.services.permit_client import build_turn_demand
from bendshed.services.turn_codec import (
    TurnCodec,
    is_granted,
    refusal_of_begin,
    transcript_of,
)
from bendshed.services.turn_ports import BEGIN_TIMEOUT_S, FINISH_TIMEOUT_S, TurnPorts, commit_begin
from bendshed.wire import turns_pb2 as wire

UNCOMMITTED_ANSWERS = (
    wire.TURN_ANSWER_QUOTA_EXCEEDED,
    wire.TURN_ANSWER_NO_ROOM,
    wire.TURN_ANSWER_UNKNOWN_TURN,
)
"""Answers to commands that may have been rejected without being written to the log."""

log = PartLog("turns")


@dataclass(slots=True)
class TurnReservation:
    """The begin of one turn.

    Attributes:
        attempts: dispatches to runners, which follow the placement of the preview.
        deadline_s: loop time after which the turn is no longer begun.
        group: id of the turn log's group that commits the turn.
        origin: expected origin of a stream that may be resumed; ``None``: it may not.
        needs_finish: the turn's end must be committed: a reservation may exist, or a runner may
            have run it without one.
        transcript: the chain that precedes the turn's own input.
        begun: reply to the committed begin; ``None``: not committed yet.

    """

    ports: TurnPorts
    codec: TurnCodec
    attempts: Attempts
    deadline_s: float
    group: int = field(init=False)
    origin: wire.StreamOrigin | None = None
    needs_finish: bool = False
    transcript: bytes = b""
    begun: wire.TurnReply | None = None
    _begin: wire.BeginTurn = field(init=False)
    _search: GroupSearch = field(init=False)
    _commit_task: "asyncio.Task[wire.TurnReply | None] | None" = None
    _is_resolved: bool = False
    _is_reserved: bool = False

    def __post_init__(self) -> None:
        locator, tenant = self.ports.group_locator, self.codec.tenant
        begin = self._begin = self.codec.encode_begin(locator.num_groups(tenant), self.origin)
        self.group = locator.group_of(tenant, begin.program_id, begin.previous_turn)
        self._search = GroupSearch(locator, self.ports.shares, begin, self.group, self._commit_in)

    async def begin(self) -> Refusal | None:
        """Load the chain and reserve the tokens; return the refusal if the turn may not run."""
        if self.ports.client.is_isolated:
            return Refusal(ErrorKind.TURN_LOG_UNAVAILABLE, "no other node answers this one")
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        cached = self._cached_transcript()
        self._begin.held_turn = self._begin.previous_turn if cached is not None else ""
        self.needs_finish = True  # from here on the reservation may exist
        previewing = loop.create_task(self._preview())
        await asyncio.sleep(0)  # the preview is sent before the begin
        self._commit_task = self._start_commit()
        preview = await previewing
        refusal = None
        is_previewed = preview is not None and is_granted(preview)
        if is_previewed and preview is not None:
            self._set_transcript(preview, cached)
        else:
            refusal = await self._begin_without_preview(cached)
        took_s = loop.time() - started_s
        self.ports.metrics.turn_begin_s.labels(str(is_previewed).lower()).observe(took_s)
        self._log_begin(refusal, is_previewed, took_s)
        return refusal

    async def confirm(self) -> Refusal | None:
        """Wait until the reservation is committed; return the refusal if it is not."""
        reply = await self._await_commit()
        if not self._is_resolved:
            self._is_resolved = True
            reply = await self._search.resolve(reply)
        if reply is None:
            return Refusal(ErrorKind.TURN_LOG_UNAVAILABLE, "the turn log does not answer")
        tenant = self.codec.tenant
        if is_granted(reply):
            self._is_reserved = True
            self.begun = reply
            self.ports.group_locator.record_program(tenant, self._begin.program_id, self.group)
            return None
        # Nothing is reserved; a turn that was dispatched nevertheless is charged by its end.
        is_counted = bool(tenant) and self.attempts.may_have_run
        self.needs_finish = self._is_reserved or is_counted
        refusal = refusal_of_begin(reply)
        if refusal.kind in (ErrorKind.BUDGET_EXHAUSTED, ErrorKind.BUDGET_RESERVED):
            self._log_budget(reply)
        return refusal

    def _cached_transcript(self) -> bytes | None:
        """Return the chain before the turn; ``None``: this node has not cached it."""
        previous = self._begin.previous_turn
        return self.ports.transcripts.get((self.codec.tenant, previous)) if previous else None

    async def _preview(self) -> wire.TurnReply | None:
        """Request the expected answer to the begin, and a placement; ``None``: no answer."""
        if not self.ports.policy.preview:
            return None
        preview = wire.TurnPreview(
            begin=self._begin, group=self.group, turn_left_ms=self._turn_left_ms()
        )
        if self.ports.policy.shared_load:
            preview.demand.CopyFrom(self._placement_demand())
        requested_s = asyncio.get_running_loop().time()
        reply = await self.ports.client.preview(preview)
        if reply is not None:
            permit = TimedPermit(requested_s + reply.permit_ms / 1000)
            self.attempts.placement.prefer(reply.runner_id, permit)
        return reply

    def _placement_demand(self) -> wire.TurnDemand:
        """Describe the turn to the leader that places it."""
        left_s = self.deadline_s - asyncio.get_running_loop().time()
        placement = self.attempts.placement
        request = self.attempts.request
        demand = build_turn_demand(
            request,
            placement.service,
            left_s,
            placement.runner_report(),
            placement.ports.zone,
            regions=placement.regions,
            software_version=placement.software_version,
        )
        demand.body_bytes = len(request.body) + len(self._cached_transcript() or b"")
        return demand

    def _start_commit(self) -> "asyncio.Task[wire.TurnReply | None]":
        """Start to commit the reservation; the chain is in the reply to the preview."""
        command = wire.TurnCommand(begin=self._begin, group=self.group)
        command.begin.held_turn = self._begin.previous_turn
        mark_reported = self.ports.add_call_report(self.attempts.principal, command)
        loop = asyncio.get_running_loop()
        timeout_s = min(BEGIN_TIMEOUT_S, self.deadline_s - loop.time())
        update = partial(self._update_before_attempt, command)
        commit = commit_begin(self.ports.client, command, timeout_s, update)
        task = loop.create_task(commit)
        task.add_done_callback(lambda done: mark_reported() if _is_committed(done) else None)
        self.ports.run_in_background(task)
        return task

    def _update_before_attempt(self, command: wire.TurnCommand) -> None:
        """Report whether the turn was already dispatched on the preview of another leader."""
        command.begin.has_left = self.attempts.may_have_run
        command.turn_left_ms = self._turn_left_ms()

    def _turn_left_ms(self) -> int:
        """Time until the turn's end is committed at the latest, in ms."""
        left_s = self.deadline_s - asyncio.get_running_loop().time()
        return max(1, int((left_s + LATE_ANSWER_MARGIN_S + FINISH_TIMEOUT_S) * 1000))

    async def _begin_without_preview(self, cached: bytes | None) -> Refusal | None:
        """Without a granted preview: wait for the commit, then request the preview again."""
        refusal = await self.confirm()
        if refusal is not None:
            return refusal
        if not self.attempts.placement.has_preferred_runner:
            # Otherwise turns that waited for a new leader would all be placed by this node alone,
            # and the leader would not count them.
            preview = await self._preview()
            if preview is not None and is_granted(preview):
                self._set_transcript(preview, cached)
                return None
        if self._begin.previous_turn and cached is None:
            self._commit_task = self._request_chain()
            refusal = await self.confirm()
        reply = await self._await_commit()
        if refusal is None and reply is not None:
            self._set_transcript(reply, cached)
        return refusal

    async def _commit_in(self, group: int) -> wire.TurnReply | None:
        """Commit the begin in another group."""
        self.group = group
        self._commit_task = self._start_commit()
        return await self._await_commit()

    def _request_chain(self) -> "asyncio.Task[wire.TurnReply | None]":
        """Repeat the begin, which is idempotent, to get the chain from its reply."""
        command = wire.TurnCommand(begin=self._begin, group=self.group)
        command.begin.held_turn = ""
        commit = commit_begin(self.ports.client, command, BEGIN_TIMEOUT_S)
        return asyncio.get_running_loop().create_task(commit)

    async def _await_commit(self) -> wire.TurnReply | None:
        """Wait for the reply to the begin; the commit continues if the caller disconnects."""
        if self._commit_task is None:
            return None
        return await asyncio.shield(self._commit_task)

    def _set_transcript(self, reply: wire.TurnReply, cached: bytes | None) -> None:
        if not self.codec.route.keeps_turns:
            return
        self.transcript = cached if cached is not None else transcript_of(reply)

    def _log_budget(self, reply: wire.TurnReply) -> None:
        """Log the spent and the reserved tokens that led to a refusal by the budget."""
        log.say(
            "budget does not hold the turn",
            request=self._begin.turn_id,
            program=self._begin.program_id,
            tenant=self.codec.tenant,
            budget_tokens=self._begin.budget_tokens,
            most_tokens=self._begin.most_tokens,
            spent_tokens=reply.spent_tokens,
            reserved_tokens=reply.reserved_tokens,
            group=self.group,
        )

    def _log_begin(self, refusal: Refusal | None, is_previewed: bool, took_s: float) -> None:
        log.say(
            "turn begun" if refusal is None else "turn not begun",
            request=self._begin.turn_id,
            program=self._begin.program_id,
            tenant=self.codec.tenant,
            previous=self._begin.previous_turn,
            group=self.group,
            previewed=is_previewed,
            detail=refusal.detail if refusal is not None else "",
            took_ms=round(took_s * 1000, 1),
        )


def _is_committed(done: "asyncio.Task[wire.TurnReply | None]") -> bool:
    """Whether a command was committed."""
    if done.cancelled() or done.exception() is not None:
        return False
    reply = done.result()
    return reply is not None and reply.answer not in UNCOMMITTED_ANSWERS
