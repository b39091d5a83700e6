"""Requests a permit from the turn log's leader for each dispatch to a cold runner.

Also builds the description of a request that the leader needs for a permit or a preview. Depends on
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
from bendshed.services.metrics import PermitResult, ServiceMetrics
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
"""Timeout of a permit request to a nearby leader. An election takes longer; the request is rejected
then, since its caller can retry."""
PERMIT_TIMEOUT_AFTER_FAILURE_S = 0.1
"""Timeout while the turn log did not answer this node's last request. A reply takes a few ms, up to
80 ms through a relay; any reply shows that the leader is available again."""

log = PartLog("cold")


@dataclass(frozen=True, slots=True)
class RunnerReport:
    """What this node reports to the leader about a service's runners.

    Attributes:
        connected: ids of runners to which this node has an idle connection.
        avoided: ids of runners that this node avoids after recent failures.

    """

    connected: list[str]
    avoided: list[str]


@dataclass(frozen=True, slots=True)
class RunnerPermit:
    """Permit for one dispatch; ``permit`` holds its expiry on this node's clock."""

    runner_id: str
    permit: TimedPermit


def build_turn_demand(
    request: ServiceRequest,
    service: str,
    left_s: float,
    report: RunnerReport,
    zone: str,
    tried: Collection[str] = (),
    regions: Collection[str] | None = None,
    software_version: str = "",
) -> wire.TurnDemand:
    """Describe a request, whether a turn or not, to the leader that chooses its runner.

    ``left_s`` is the time until the request's deadline in seconds; ``tried`` holds the ids of
    runners that it was already sent to; ``software_version`` is that of a stream to be continued.
    """
    turn = request.turn
    parts = turn.parts if turn is not None else ()
    return wire.TurnDemand(
        service=service,
        parts=[wire.PromptPart(part_id=p.part_id, tokens=p.tokens) for p in parts],
        left_ms=max(1, int(left_s * 1000)),
        connected=report.connected,
        avoided=report.avoided,
        zone=zone,
        line=(turn.chain_id if turn is not None else "") or request.session,
        tried=tried,
        regions=sorted(regions or ()),
        software_version=software_version,
    )


class PermitClient:
    """Requests permits, each for a single dispatch."""

    def __init__(self, client: TurnClient, metrics: ServiceMetrics) -> None:
        self._client = client
        self._metrics = metrics

    async def request_permit(
        self, request: ServiceRequest, demand: wire.TurnDemand
    ) -> RunnerPermit | Refusal:
        """Return a permit to dispatch a request, or the refusal.

        Kinds: ``NO_ROOM``; ``NO_RUNNER``; ``TURN_LOG_UNAVAILABLE`` if no leader answered in time.
        The permit's validity counts from the time of the request, so that the permit expires here
        before the leader stops counting it.
        """
        requested_s = asyncio.get_running_loop().time()
        decision = await self._request(request, demand)
        if decision is None:
            self._count(PermitResult.UNANSWERED)
            return Refusal(
                ErrorKind.TURN_LOG_UNAVAILABLE, "all runners are cold, and nobody permits a sending"
            )
        match decision:
            case PermitGranted():
                self._count(PermitResult.PERMITTED)
                expiry = TimedPermit(requested_s + decision.valid_ms / 1000)
                return RunnerPermit(decision.runner_id, expiry)
            case NoRoom():
                self._count(PermitResult.REFUSED)
                return _build_no_room_refusal(decision.retry_after_ms)
            case NoRunner():
                self._count(PermitResult.REFUSED)
                return Refusal(ErrorKind.NO_RUNNER, "the leader knows no runner either")
            case _:
                assert_never(decision)

    async def _request(
        self, request: ServiceRequest, demand: wire.TurnDemand
    ) -> PermitDecision | None:
        """Request a permit from the home group's leader; ``None``: no leader answered in time.

        Requests without a program count as new programs, which the leader rejects before turns and
        calls of running programs.
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
        timeout_s = PERMIT_TIMEOUT_AFTER_FAILURE_S if is_lost else PERMIT_TIMEOUT_S
        timeout_s += EXTRA_TIMEOUT_ROUND_TRIPS * self._client.expected_round_trip_home_s
        return min(timeout_s, left_s)

    def _count(self, result: PermitResult) -> None:
        self._metrics.permit_requests.labels(result.value).inc()


def no_room_refusal(reply: wire.TurnReply) -> Refusal:
    """Refusal of a turn whose eligible runners are all cold and at their limit."""
    return _build_no_room_refusal(reply.retry_after_ms)


def _build_no_room_refusal(retry_after_ms: int) -> Refusal:
    return Refusal(
        ErrorKind.NO_ROOM,
        "all runners are cold and have got what they bear for now",
        retry_after_s(retry_after_ms),
    )
