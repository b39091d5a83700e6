"""Requests permits of the turn log's leader, one for each dispatch to a cold runner.

Also describes a request to the leader, for a permit or beside a preview. Relies on
``turns/client.py`` to reach the leader. Source: docs/design/0010.
"""

import asyncio
from collections.abc import Collection
from dataclasses import dataclass
from typing import assert_never

from bendshed.admission.retry_schedule import retry_after_s
from bendshed.consensus.group_client import EXTRA_TIMEOUT_ROUND_TRIPS
from bendshed.errors import ErrorKind, Refusal
from bendshed.logs import PartLog
from bendshed.model.permit import TimedPermit
from bendshed.ports.runner import ServiceRequest
from bendshed.services.metrics import PermitEnd, ServiceMetrics
from bendshed.turns.client import TurnClient
from bendshed.turns.codec import (
    NoRoom,
    NoRunner,
    PermitDecision,
    PermitGranted,
    decode_permit_decision,
)
from bendshed.wire import turns_pb2 as wire

PERMIT_TIMEOUT_S = 0.25
"""A request that only a cold runner can take waits this long for a leader near by. A change of
leaders takes longer; the request is rejected then, since its caller can come back."""
LOST_PERMIT_TIMEOUT_S = 0.1
"""The same while the turn log did not answer this node's last try. An answer takes some ms, through
a relay up to 80 ms; one that comes shows that the leader is back."""

log = PartLog("cold")


@dataclass(frozen=True, slots=True)
class RunnerState:
    """What this node knows of a service's runners.

    Attributes:
        connected: ids of those to which it has an idle connection.
        avoided: ids of those that failed it within their time of avoidance.

    """

    connected: list[str]
    avoided: list[str]


@dataclass(frozen=True, slots=True)
class Permit:
    """Permit for one dispatch; ``leave`` is its expiry on this node's clock."""

    runner_id: str
    permit: TimedPermit


def demand_of(
    request: ServiceRequest,
    service: str,
    left_s: float,
    state: RunnerState,
    zone: str,
    tried: Collection[str] = (),
    regions: Collection[str] | None = None,
) -> wire.TurnDemand:
    """Describe a request, turn or not, to the leader that chooses its runner.

    ``left_s`` is the time until the request's deadline; ``tried`` names runners that got it before.
    """
    turn = request.turn
    parts = turn.parts if turn is not None else ()
    return wire.TurnDemand(
        service=service,
        parts=[wire.PromptPart(part_id=p.part_id, tokens=p.tokens) for p in parts],
        left_ms=max(1, int(left_s * 1000)),
        connected=state.connected,
        avoided=state.avoided,
        zone=zone,
        line=(turn.line if turn is not None else "") or request.session,
        tried=tried,
        regions=sorted(regions or ()),
    )


class PermitClient:
    """Requests one permit at a time."""

    def __init__(self, client: TurnClient, metrics: ServiceMetrics) -> None:
        self._client = client
        self._metrics = metrics

    async def ask(self, request: ServiceRequest, demand: wire.TurnDemand) -> Permit | Refusal:
        """Return a permit to dispatch a request, or why there is none.

        Kinds: ``NO_ROOM``; ``NO_RUNNER``; ``TURN_LOG_UNAVAILABLE`` when no leader answered in time.
        The permit's time counts from the request for it, so that it expires here before the leader
        stops counting it.
        """
        requested_s = asyncio.get_running_loop().time()
        decision = await self._request(request, demand)
        if decision is None:
            self._count(PermitEnd.UNANSWERED)
            return Refusal(
                ErrorKind.TURN_LOG_UNAVAILABLE, "all runners are cold, and nobody permits a sending"
            )
        match decision:
            case PermitGranted():
                self._count(PermitEnd.PERMITTED)
                expiry = TimedPermit(requested_s + decision.valid_ms / 1000)
                return Permit(decision.runner_id, expiry)
            case NoRoom():
                self._count(PermitEnd.REFUSED)
                return _no_room(decision.retry_after_ms)
            case NoRunner():
                self._count(PermitEnd.REFUSED)
                return Refusal(ErrorKind.NO_RUNNER, "the leader knows no runner either")
            case _:
                assert_never(decision)

    async def _request(
        self, request: ServiceRequest, demand: wire.TurnDemand
    ) -> PermitDecision | None:
        """Request a permit of the home group's leader; ``None``: no leader answered in time.

        Turns and calls of programs come before requests of no program, which may be rejected first.
        """
        if self._client.is_isolated:
            return None
        message = wire.RunnerAsk(
            group=self._client.home_group,
            request_id=request.request_id,
            demand=demand,
            is_new_program=request.turn is None and not request.program_id,
        )
        reply = await self._client.request_permit(message, self._timeout_s(demand.left_ms / 1000))
        log.say(
            "permit requested: no warm runner was eligible",
            request=request.request_id,
            runner=reply.runner_id if reply is not None else "",
            is_answered=reply is not None,
            retry_after_ms=reply.retry_after_ms if reply is not None else 0,
        )
        return decode_permit_decision(reply) if reply is not None else None

    def _timeout_s(self, left_s: float) -> float:
        is_lost = self._client.unreachable_since_s is not None
        timeout_s = LOST_PERMIT_TIMEOUT_S if is_lost else PERMIT_TIMEOUT_S
        timeout_s += EXTRA_TIMEOUT_ROUND_TRIPS * self._client.expected_round_trip_home_s
        return min(timeout_s, left_s)

    def _count(self, end: PermitEnd) -> None:
        self._metrics.permit_requests.labels(end.value).inc()


def no_room(reply: wire.TurnReply) -> Refusal:
    """Refusal of a turn whose eligible runners are all cold and full."""
    return _no_room(reply.retry_after_ms)


def _no_room(retry_after_ms: int) -> Refusal:
    return Refusal(
        ErrorKind.NO_ROOM,
        "all runners are cold and have got what they bear for now",
        retry_after_s(retry_after_ms),
    )
