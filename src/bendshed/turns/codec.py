"""Encodes and decodes turn log messages at the process boundary; performs no I/O.

Requests outside turns, and the leader's replies to them, become dataclasses. Commands keep their
wire type, because they are replicated unchanged and ``turns/state.py`` applies them.
"""

from dataclasses import dataclass

from bendshed.admission.budget_use import BudgetStatus, BudgetUse
from bendshed.admission.standing_reservations import RESERVED_RETRY_AFTER_MS
from bendshed.wire import turns_pb2 as wire


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A node's request to admit one call of a limited tenant.

    Attributes:
        node: the requesting node, identified per incarnation.
        admitted_total: calls of the tenant that the node has admitted since it started.
        reported_total: number of these that the node knows to be committed.
        program_id: the call's program; empty: none.
        group: group of the turn log that counts the tenant's usage.

    """

    tenant: str
    node: str
    admitted_total: int
    reported_total: int
    request_id: str
    program_id: str
    group: int


@dataclass(frozen=True, slots=True)
class CallAdmitted:
    """A call may run.

    Attributes:
        counted_total: calls of the node that the leader has counted, including this one; 0: the
            leader has no limit for the tenant.

    """

    counted_total: int = 0


@dataclass(frozen=True, slots=True)
class CallRejected:
    """The tenant's quota is used up; retry after ``retry_after_ms``."""

    retry_after_ms: int


CallDecision = CallAdmitted | CallRejected


@dataclass(frozen=True, slots=True)
class PermitGranted:
    """Permit for one dispatch to a runner, valid for ``valid_ms`` from the request for it."""

    runner_id: str
    valid_ms: int


@dataclass(frozen=True, slots=True)
class NoRoom:
    """Every eligible runner is cold and at capacity; retry after ``retry_after_ms``."""

    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class NoRunner:
    """The leader knows no eligible runner."""


PermitDecision = PermitGranted | NoRoom | NoRunner


def encode_call_request(request: CallRequest) -> wire.QuotaAsk:
    """Encode a request to admit a call."""
    return wire.QuotaAsk(
        tenant=request.tenant,
        node=request.node,
        total=request.admitted_total,
        reported=request.reported_total,
        request_id=request.request_id,
        program_id=request.program_id,
        group=request.group,
    )


def decode_call_request(payload: bytes) -> CallRequest:
    """Decode a request to admit a call."""
    message = wire.QuotaAsk.FromString(payload)
    return CallRequest(
        tenant=message.tenant,
        node=message.node,
        admitted_total=message.total,
        reported_total=message.reported,
        request_id=message.request_id,
        program_id=message.program_id,
        group=message.group,
    )


def encode_call_decision(decision: CallDecision) -> wire.TurnReply:
    """Encode the leader's decision on a call."""
    if isinstance(decision, CallRejected):
        return quota_exceeded_reply(decision.retry_after_ms)
    return wire.TurnReply(
        answer=wire.TURN_ANSWER_GRANTED,
        spend_ceiling=decision.counted_total,  # the wire field is shared with allowances
    )


def decode_call_decision(reply: wire.TurnReply) -> CallDecision:
    """Decode the leader's decision on a call."""
    if reply.answer == wire.TURN_ANSWER_QUOTA_EXCEEDED:
        return CallRejected(reply.retry_after_ms)
    return CallAdmitted(reply.spend_ceiling)


def decode_permit_decision(reply: wire.TurnReply) -> PermitDecision:
    """Decode the leader's decision on one dispatch."""
    if reply.answer == wire.TURN_ANSWER_NO_ROOM:
        return NoRoom(reply.retry_after_ms)
    if not reply.runner_id:
        return NoRunner()
    return PermitGranted(reply.runner_id, reply.permit_ms)


def quota_exceeded_reply(retry_after_ms: int) -> wire.TurnReply:
    """Build the reply that the tenant's quota is used up."""
    return wire.TurnReply(answer=wire.TURN_ANSWER_QUOTA_EXCEEDED, retry_after_ms=retry_after_ms)


def budget_use_of(reply: wire.TurnReply) -> BudgetUse:
    """Return the budget use in the group that replied."""
    return BudgetUse(reply.spent_tokens, reply.reserved_tokens)


def apply_budget_status(reply: wire.TurnReply, status: BudgetStatus) -> None:
    """Set the reason of a refusal by budget in a reply; ``SUFFICIENT`` changes nothing."""
    if status is BudgetStatus.SPENT:
        reply.answer = wire.TURN_ANSWER_BUDGET_SPENT
    elif status is BudgetStatus.RESERVED:
        reply.answer = wire.TURN_ANSWER_BUDGET_RESERVED
        reply.retry_after_ms = RESERVED_RETRY_AFTER_MS


def no_room_reply(retry_after_ms: int) -> wire.TurnReply:
    """Build the reply that every eligible runner is cold and at capacity."""
    return wire.TurnReply(answer=wire.TURN_ANSWER_NO_ROOM, retry_after_ms=retry_after_ms)


def not_leader_reply(leader_id: str) -> wire.TurnReply:
    """Build the reply of a process that does not lead the group; empty: leader unknown."""
    return wire.TurnReply(answer=wire.TURN_ANSWER_NOT_LEADER, leader_id=leader_id)


def unavailable_reply() -> wire.TurnReply:
    """Build the reply that the outcome of the commit is unknown."""
    return wire.TurnReply(answer=wire.TURN_ANSWER_UNAVAILABLE)
