"""Encodes a turn's commands for the turn log and decodes refusals of its begin."""

from dataclasses import dataclass

from bendshed.admission.retry_schedule import retry_after_s
from bendshed.errors import ErrorKind, Refusal
from bendshed.model.service_document import Route
from bendshed.ports.runner import ServiceRequest, TurnDetails
from bendshed.services.permit_client import no_room_refusal
from bendshed.services.quota_client import quota_refusal_of
from bendshed.services.turn_output import TurnOutput
from bendshed.turns.retention import budget_retention_ms, stored_ms
from bendshed.wire import turns_pb2 as wire


@dataclass(frozen=True, slots=True)
class TurnEnd:
    """How a turn ended at its runner.

    Attributes:
        is_complete: its stream ended properly.
        runner_id: id of the runner whose response was accepted; empty: none.
        failed: ids of runners that were unreachable or gave no response.
        may_have_run: a runner may have started to execute it.

    """

    is_complete: bool
    runner_id: str
    failed: list[str]
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class TurnCodec:
    """Encoder of one turn's commands.

    Attributes:
        tenant: name of the tenant that the turn is charged to; empty: none.

    """

    request: ServiceRequest
    route: Route
    tenant: str

    def encode_begin(
        self, num_groups: int, origin: wire.StreamOrigin | None = None
    ) -> wire.BeginTurn:
        """Encode the reservation of the maximum cost; ``num_groups`` groups share the budget.

        ``origin`` is the expected origin of a stream that may be resumed.
        """
        turn = self._turn
        return wire.BeginTurn(
            program_id=self.request.program_id,
            turn_id=self.request.request_id,
            previous_turn=turn.previous_turn if self.route.keeps_turns else "",
            budget_tokens=turn.budget_tokens or 0,
            has_budget=turn.budget_tokens is not None,
            most_tokens=turn.max_answer_tokens,
            retention_ms=budget_retention_ms(self.route.retention_ms, self.route.timeout_ms),
            tenant=self.tenant,
            num_groups=num_groups,
            origin=origin,
        )

    def encode_finish(self, group: int, output: TurnOutput, end: TurnEnd) -> wire.TurnCommand:
        """Encode the turn's end: its usage, its content to store, and its report on runners."""
        keep = end.is_complete and self.route.keeps_turns
        retention_ms = self.route.retention_ms
        if keep:
            retention_ms = stored_ms(retention_ms, self.route.timeout_ms)
        finish = wire.FinishTurn(
            program_id=self.request.program_id,
            turn_id=self.request.request_id,
            outcome=_outcome(output, end),
            tokens=output.num_tokens,
            previous_turn=self._turn.previous_turn if keep else "",
            keep=keep,
            input=self.request.body if keep else b"",
            output=output.content if keep else b"",
            retention_ms=retention_ms,
            runner_id=end.runner_id,
            tenant=self.tenant,
            was_sent=end.may_have_run,
        )
        report = wire.TurnReport(
            runner_id=end.runner_id, event_gap_us=output.event_gap_us, failed=end.failed
        )
        return wire.TurnCommand(finish=finish, report=report, group=group)

    @property
    def _turn(self) -> TurnDetails:
        assert self.request.turn is not None  # the forwarder creates records for turns only
        return self.request.turn


def _outcome(output: TurnOutput, end: TurnEnd) -> "wire.TurnOutcome.ValueType":
    if end.is_complete:
        return wire.TURN_OUTCOME_WHOLE
    if output.num_events == 0:
        return wire.TURN_OUTCOME_NOTHING_HANDED_ON
    return wire.TURN_OUTCOME_BROKEN


def is_granted(reply: wire.TurnReply) -> bool:
    """Whether a begin reserved its tokens or, for a preview, would do so."""
    return reply.answer == wire.TURN_ANSWER_GRANTED


def transcript_of(reply: wire.TurnReply) -> bytes:
    """Return the chain before the turn, as far as the reply contains it."""
    return b"".join(piece.transcript for piece in reply.chain)


def refusal_of_begin(reply: wire.TurnReply) -> Refusal:
    """Decode the refusal of a begin that reserved nothing."""
    if reply.answer == wire.TURN_ANSWER_QUOTA_EXCEEDED:
        return quota_refusal_of(reply)
    if reply.answer == wire.TURN_ANSWER_NO_ROOM:
        return no_room_refusal(reply)
    if reply.answer == wire.TURN_ANSWER_UNKNOWN_TURN:
        return Refusal(ErrorKind.NOT_FOUND, "no such turn is kept")
    if reply.answer == wire.TURN_ANSWER_BUDGET_RESERVED:
        return Refusal(
            ErrorKind.BUDGET_RESERVED,
            "other turns hold the rest of the program's budget for the moment",
            retry_after_s(reply.retry_after_ms),
        )
    if reply.answer == wire.TURN_ANSWER_BUDGET_SPENT:
        return Refusal(ErrorKind.BUDGET_EXHAUSTED, "the program's budget is spent")
    if reply.answer == wire.TURN_ANSWER_OTHER_GROUP:
        return Refusal(
            ErrorKind.TURN_LOG_UNAVAILABLE,
            "a group that holds a part of the budget is silent, or takes it over just now",
        )
    return Refusal(ErrorKind.TURN_LOG_UNAVAILABLE, "this turn id was finished before")
