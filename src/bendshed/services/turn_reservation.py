"""Reserves a turn's tokens in the turn log and finds the chain that it continues.

A preview from committed state lets the turn go to its runner while its reservation is still being
committed; ``confirm`` waits for the commit before anything is handed to the caller.
"""

import asyncio
from dataclasses import dataclass, field
from functools import partial

from bendshed.errors import ErrorKind, Refusal
from bendshed.logs import PartLog
from bendshed.model.permit import TimedPermit
from bendshed.services.attempts import Attempts
from bendshed.services.group_search import GroupSearch
from bendshed.services.permit_client import demand_of
from bendshed.services.turn_codec import (
    TurnCodec,
    is_granted,
    refusal_of_begin,
    transcript_of,
)
from bendshed.services.turn_ports import BEGIN_TIMEOUT_S, TurnPorts, commit_begin
from bendshed.wire import turns_pb2 as wire

UNCOMMITTED = (wire.TURN_ANSWER_QUOTA_EXCEEDED, wire.TURN_ANSWER_NO_ROOM)
"""Refusals of a command that nothing was written for."""

log = PartLog("turns")


@dataclass(slots=True)
class TurnReservation:
    """The begin of one turn.

    Attributes:
        attempts: follow the placement of the preview.
        deadline_s: loop time after which the turn is not begun any more.
        group: of the turn log, that commits the turn.
        needs_end: the turn's end must be committed, since a reservation may exist or a runner may
            have run it without one.
        transcript: the chain that goes before the turn's own input.

    """

    ports: TurnPorts
    codec: TurnCodec
    attempts: Attempts
    deadline_s: float
    group: int = field(init=False)
    needs_end: bool = False
    transcript: bytes = b""
    _begin: wire.BeginTurn = field(init=False)
    _search: GroupSearch = field(init=False)
    _committing: "asyncio.Task[wire.TurnReply | None] | None" = None
    _is_settled: bool = False
    _is_reserved: bool = False

    def __post_init__(self) -> None:
        locator, tenant = self.ports.group_locator, self.codec.tenant
        begin = self._begin = self.codec.begin(locator.num_groups(tenant))
        self.group = locator.group_of(tenant, begin.program_id, begin.previous_turn)
        self._search = GroupSearch(locator, self.ports.shares, begin, self.group, self._commit_in)

    async def begin(self) -> Refusal | None:
        """Find the chain and reserve the tokens; return why the turn may not run."""
        if self.ports.client.is_isolated:
            return Refusal(ErrorKind.TURN_LOG_UNAVAILABLE, "no other node answers this one")
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        cached = self._cached_transcript()
        self._begin.held_turn = self._begin.previous_turn if cached is not None else ""
        self.needs_end = True  # from here on the reservation may exist
        previewing = loop.create_task(self._preview())
        await asyncio.sleep(0)  # the preview is sent before the begin
        self._committing = self._start_commit()
        preview = await previewing
        refusal = None
        is_previewed = preview is not None and is_granted(preview)
        if is_previewed and preview is not None:
            self._take_chain(preview, cached)
        else:
            refusal = await self._begin_committed(cached)
        took_s = loop.time() - began_s
        self.ports.metrics.turn_begin_s.labels(str(is_previewed).lower()).observe(took_s)
        self._log_begin(refusal, is_previewed, took_s)
        return refusal

    async def confirm(self) -> Refusal | None:
        """Wait until the reservation is committed; return why it is not."""
        reply = await self._committed()
        if not self._is_settled:
            self._is_settled = True
            reply = await self._search.settle(reply)
        if reply is None:
            return Refusal(ErrorKind.TURN_LOG_UNAVAILABLE, "the turn log does not answer")
        tenant = self.codec.tenant
        if is_granted(reply):
            self._is_reserved = True
            self.ports.group_locator.record_program(tenant, self._begin.program_id, self.group)
            return None
        # Nothing is reserved; a turn that was dispatched all the same is counted by its end.
        is_counted = bool(tenant) and self.attempts.may_have_run
        self.needs_end = self._is_reserved or is_counted
        refusal = refusal_of_begin(reply)
        if refusal.kind in (ErrorKind.BUDGET_EXHAUSTED, ErrorKind.BUDGET_RESERVED):
            self._log_budget(reply)
        return refusal

    def _cached_transcript(self) -> bytes | None:
        """The chain before the turn if this node has cached it; ``None``: it has not."""
        previous = self._begin.previous_turn
        return self.ports.transcripts.get((self.codec.tenant, previous)) if previous else None

    async def _preview(self) -> wire.TurnReply | None:
        """Request what the begin would be answered, and a placement; ``None``: no answer."""
        if not self.ports.policy.preview:
            return None
        preview = wire.TurnPreview(begin=self._begin, group=self.group)
        if self.ports.policy.shared_load:
            preview.demand.CopyFrom(self._demand())
        requested_s = asyncio.get_running_loop().time()
        reply = await self.ports.client.preview(preview)
        if reply is not None:
            permit = TimedPermit(requested_s + reply.permit_ms / 1000)
            self.attempts.placement.prefer(reply.runner_id, permit)
        return reply

    def _demand(self) -> wire.TurnDemand:
        """What the leader needs to know to place the turn."""
        left_s = self.deadline_s - asyncio.get_running_loop().time()
        placement = self.attempts.placement
        request = self.attempts.request
        demand = demand_of(
            request,
            placement.service,
            left_s,
            placement.runner_state(),
            placement.ports.zone,
            regions=placement.regions,
        )
        demand.body_bytes = len(request.body) + len(self._cached_transcript() or b"")
        return demand

    def _start_commit(self) -> "asyncio.Task[wire.TurnReply | None]":
        """Start to commit the reservation; the chain comes with the preview."""
        command = wire.TurnCommand(begin=self._begin, group=self.group)
        command.begin.held_turn = self._begin.previous_turn
        note_reported = self.ports.report_calls(self.attempts.principal, command)
        loop = asyncio.get_running_loop()
        timeout_s = min(BEGIN_TIMEOUT_S, self.deadline_s - loop.time())
        mark_dispatched = partial(self._mark_dispatched, command.begin)
        work = commit_begin(self.ports.client, command, timeout_s, mark_dispatched)
        task = loop.create_task(work)
        task.add_done_callback(lambda done: note_reported() if _is_committed(done) else None)
        self.ports.run_late(task)
        return task

    def _mark_dispatched(self, begin: wire.BeginTurn) -> None:
        """Report that the turn went to its runner on another leader's preview."""
        begin.has_left = self.attempts.may_have_run

    async def _begin_committed(self, cached: bytes | None) -> Refusal | None:
        """Without a preview: wait for the commit, then request what the preview would have said."""
        refusal = await self.confirm()
        if refusal is not None:
            return refusal
        if not self.attempts.placement.has_preferred_runner:
            # Else turns that waited for a new leader would all go where this node alone thinks
            # best, and the leader would not know of them.
            preview = await self._preview()
            if preview is not None and is_granted(preview):
                self._take_chain(preview, cached)
                return None
        if self._begin.previous_turn and cached is None:
            self._committing = self._request_chain()
            refusal = await self.confirm()
        reply = await self._committed()
        if refusal is None and reply is not None:
            self._take_chain(reply, cached)
        return refusal

    async def _commit_in(self, group: int) -> wire.TurnReply | None:
        """Commit the begin in a further group."""
        self.group = group
        self._committing = self._start_commit()
        return await self._committed()

    def _request_chain(self) -> "asyncio.Task[wire.TurnReply | None]":
        """Send the same begin again, which changes nothing, for the chain in its reply."""
        command = wire.TurnCommand(begin=self._begin, group=self.group)
        command.begin.held_turn = ""
        work = commit_begin(self.ports.client, command, BEGIN_TIMEOUT_S)
        return asyncio.get_running_loop().create_task(work)

    async def _committed(self) -> wire.TurnReply | None:
        """The reply to the begin; the commit goes on if the caller disconnects."""
        if self._committing is None:
            return None
        return await asyncio.shield(self._committing)

    def _take_chain(self, reply: wire.TurnReply, cached: bytes | None) -> None:
        if not self.codec.route.keeps_turns:
            return
        self.transcript = cached if cached is not None else transcript_of(reply)

    def _log_budget(self, reply: wire.TurnReply) -> None:
        """Log what a refusal by the budget rests on: what was spent, and what other turns hold."""
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
    """Whether a command was applied."""
    if done.cancelled() or done.exception() is not None:
        return False
    reply = done.result()
    return reply is not None and reply.answer not in UNCOMMITTED
