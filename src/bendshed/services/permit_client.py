"""A node's word with the turn log's leader on runners: what a request asks for, and leave for it.

Nothing goes to a cold runner but by the leader's leave for that very sending, which runs out.
"""

import asyncio
from collections.abc import Collection
from dataclasses import dataclass

from bendshed.admission.sliding_window import TimedPermit
from bendshed.consensus.group_client import FAR_TRIPS
from bendshed.errors import ErrorKind, Refusal
from bendshed.logs import PartLog
from bendshed.ports.runner import ServiceRequest
from bendshed.services.metrics import ColdAskEnd, ServiceMetrics
from bendshed.turns.client import TurnClient
from bendshed.wire import turns_pb2 as wire

ASK_TIMEOUT_S = 0.25
"""A request that only a cold runner can take waits this long for the leader. A change of leaders
takes longer; the request is refused at once then, since its client can come back."""
LOST_ASK_TIMEOUT_S = 0.1
"""The same while the turn log did not answer this node last: an answer takes some ms, through
another node up to 0.08 s, and somebody must find out that the leader is back."""

log = PartLog("cold")


@dataclass(frozen=True, slots=True)
class RunnerState:
    """What this node can tell of a service's runners.

    Attributes:
        connected: ids of those to which a connection rests.
        avoided: ids of those that failed a moment ago.

    """

    connected: list[str]
    avoided: list[str]


@dataclass(frozen=True, slots=True)
class Permit:
    """Leave for one sending."""

    runner_id: str
    leave: TimedPermit


def demand_of(
    request: ServiceRequest,
    service: str,
    left_s: float,
    state: RunnerState,
    zone: str,
    tried: Collection[str] = (),
    regions: Collection[str] | None = None,
) -> wire.TurnDemand:
    """What a leader needs to know to choose a runner for a request, turn or not."""
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
    """Asks for one sending at a time."""

    def __init__(self, client: TurnClient, metrics: ServiceMetrics) -> None:
        self._client = client
        self._metrics = metrics

    async def ask(self, request: ServiceRequest, demand: wire.TurnDemand) -> Permit | Refusal:
        """Leave to send a request to a runner, or why it may be sent to none.

        A turn was begun before, and a call of a program follows its turns: only a request of no
        program may be refused before others.
        """
        asked_s = asyncio.get_running_loop().time()
        reply = await self._ask(request, demand)
        if reply is None:
            self._count(ColdAskEnd.UNANSWERED)
            return Refusal(
                ErrorKind.TURN_LOG_UNAVAILABLE, "all runners are cold, and nobody permits a sending"
            )
        if reply.answer == wire.TURN_ANSWER_NO_ROOM:
            self._count(ColdAskEnd.REFUSED)
            return no_room(reply)
        if not reply.runner_id:
            self._count(ColdAskEnd.REFUSED)
            return Refusal(ErrorKind.NO_RUNNER, "the leader knows no runner either")
        self._count(ColdAskEnd.PERMITTED)
        return Permit(reply.runner_id, TimedPermit(asked_s + reply.permit_ms / 1000))

    async def _ask(self, request: ServiceRequest, demand: wire.TurnDemand) -> wire.TurnReply | None:
        if self._client.is_isolated:
            return None
        ask = wire.RunnerAsk(
            group=self._client.home_group,
            request_id=request.request_id,
            demand=demand,
            is_new_program=request.turn is None and not request.program_id,
        )
        is_lost = self._client.lost_since_s is not None
        timeout_s = LOST_ASK_TIMEOUT_S if is_lost else ASK_TIMEOUT_S
        timeout_s += FAR_TRIPS * self._client.expected_round_trip_home_s
        timeout_s = min(timeout_s, demand.left_ms / 1000)
        reply = await self._client.place(ask, timeout_s)
        log.say(
            "asked for a runner",
            request=request.request_id,
            runner=reply.runner_id if reply is not None else "",
            is_answered=reply is not None,
            retry_after_ms=reply.retry_after_ms if reply is not None else 0,
        )
        return reply

    def _count(self, end: ColdAskEnd) -> None:
        self._metrics.cold_asks.labels(end.value).inc()


def no_room(reply: wire.TurnReply) -> Refusal:
    """What a caller is told whose request no runner may take now."""
    return Refusal(
        ErrorKind.NO_ROOM,
        "all runners are cold and have got what they bear for now",
        reply.retry_after_ms / 1000,
    )
