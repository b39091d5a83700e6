"""Counts a node's requests against their tenants' quotas, with the leader of the turn log.

Owns the node's allowances. Relies on ``turns/client.py`` to reach the group that counts a tenant.
Source: docs/design/0007.
"""

import asyncio
from collections.abc import Callable

from bendshed.admission.quota_allowance import LocalAllowances, UsageReport
from bendshed.admission.retry_schedule import retry_after_s
from bendshed.consensus.group_client import GroupUnavailable
from bendshed.errors import ErrorKind, Refusal
from bendshed.logs import PartLog
from bendshed.model.principal import Principal
from bendshed.placement.groups import ONE_GROUP, TurnGroups
from bendshed.ports.runner import ServiceRequest
from bendshed.services.metrics import QuotaEnd, ServiceMetrics
from bendshed.turns.client import TurnClient
from bendshed.turns.codec import (
    CallDecision,
    CallRejected,
    CallRequest,
    decode_call_decision,
    encode_call_request,
)
from bendshed.wire import turns_pb2 as wire

ADMISSION_TIMEOUT_S = 0.6
"""A call waits this long for the leader: longer than a change of leaders, which takes under 0.5 s.
Without one the answer takes some 7 ms."""
REPORT_AFTER_S = 0.15
"""Admitted calls are reported with the node's next command; without one, after this long."""
REPORT_CHECK_S = 0.1
"""Pause between two checks for calls to report."""
REPORT_TIMEOUT_S = 1.0
"""A report is given up after this long; the next one repeats its totals."""

log = PartLog("quota")


class QuotaClient:
    """Admits calls within their tenants' limits.

    Turns are counted by the turn log itself and cost no message more. Calls go by allowances that
    come with the ends of turns; without one, the leader is requested for the call. Each tenant is
    counted in one group of the turn log.
    """

    def __init__(
        self,
        node: str,
        client: TurnClient,
        metrics: ServiceMetrics,
        groups: TurnGroups = ONE_GROUP,
    ) -> None:
        self._groups = groups
        self._node = node
        self._client = client
        self._metrics = metrics
        self._allowances = LocalAllowances()

    async def admit_call(
        self, principal: Principal, request: ServiceRequest, deadline_s: float
    ) -> Refusal | None:
        """Admit a request that is no turn, or return why it may not run.

        ``deadline_s`` is loop time. Kinds: ``QUOTA_EXCEEDED``; ``TURN_LOG_UNAVAILABLE`` when no
        leader answered in time.
        """
        if not principal.is_limited:
            return None
        loop = asyncio.get_running_loop()
        if self._allowances.try_admit(principal.name, loop.time()):
            self._count(QuotaEnd.ALLOWED)
            return None
        decision = await self._request(principal.name, request, deadline_s)
        if decision is None:
            self._count(QuotaEnd.UNANSWERED)
            return Refusal(
                ErrorKind.TURN_LOG_UNAVAILABLE, "nobody tells whether the quota holds it"
            )
        if isinstance(decision, CallRejected):
            self._count(QuotaEnd.REFUSED)
            return _quota_refusal(decision.retry_after_ms)
        self._count(QuotaEnd.REQUESTED)
        self._allowances.record_admitted(principal.name, decision.counted_total, loop.time())
        self._allowances.note_committed(principal.name, decision.counted_total, loop.time())
        return None

    async def _request(
        self, tenant: str, request: ServiceRequest, deadline_s: float
    ) -> CallDecision | None:
        """Request one call of the tenant's group; ``None``: no leader answered in time."""
        call = CallRequest(
            tenant=tenant,
            node=self._node,
            admitted_total=self._allowances.total(tenant),
            reported_total=self._allowances.reported(tenant),
            request_id=request.request_id,
            program_id=request.program_id,
            group=self._groups.home_group_of_tenant(tenant),
        )
        timeout_s = min(ADMISSION_TIMEOUT_S, deadline_s - asyncio.get_running_loop().time())
        reply = await self._client.admit_call(encode_call_request(call), timeout_s)
        return decode_call_decision(reply) if reply is not None else None

    def take_allowance(self, principal: Principal, ceiling: int) -> None:
        """Take the allowance that came with a turn's end; 0: there was none."""
        if ceiling:
            now_s = asyncio.get_running_loop().time()
            self._allowances.add_allowance(principal.name, ceiling, now_s)

    def report(self, command: wire.TurnCommand) -> Callable[[], None]:
        """Add a report of admitted calls to a command, of tenants that its group counts.

        Call what is returned once the command is committed.
        """
        unreported = self._allowances.unreported(asyncio.get_running_loop().time())
        rows = [
            row
            for row in unreported
            if self._groups.home_group_of_tenant(row.tenant) == command.group
        ]
        command.spent.node = self._node
        command.spent.spent.extend(_to_wire(row) for row in rows)
        return lambda: self._allowances.note_reported(rows, asyncio.get_running_loop().time())

    async def report_until_cancelled(self) -> None:
        """Report calls that no command took along; runs until it is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(REPORT_CHECK_S)
            if not self._allowances.is_report_due(loop.time(), REPORT_AFTER_S):
                continue
            unreported = self._allowances.unreported(loop.time())
            for group in sorted(
                {self._groups.home_group_of_tenant(row.tenant) for row in unreported}
            ):
                await self._report_to(group)

    async def _report_to(self, group: int) -> None:
        """Report to one group what it counts."""
        command = wire.TurnCommand(group=group)
        note_reported = self.report(command)
        try:
            await self._client.command(command, REPORT_TIMEOUT_S)
        except GroupUnavailable as error:
            log.say(
                "admitted calls not reported: no leader answered", group=group, reason=str(error)
            )
            return
        note_reported()

    def _count(self, end: QuotaEnd) -> None:
        self._metrics.quota_calls.labels(end.value).inc()


def refusal_of(reply: wire.TurnReply) -> Refusal:
    """Refusal of a turn whose tenant's quota has no room."""
    return _quota_refusal(reply.retry_after_ms)


def _quota_refusal(retry_after_ms: int) -> Refusal:
    return Refusal(
        ErrorKind.QUOTA_EXCEEDED,
        "the tenant has used what it may for now",
        retry_after_s(retry_after_ms),
    )


def _to_wire(row: UsageReport) -> wire.TenantSpent:
    return wire.TenantSpent(
        tenant=row.tenant,
        total=row.total,
        lapsed_ceiling=row.lapsed_ceiling,
        reported=row.reported,
    )
