"""Charges a node's requests to their tenants' quotas, which the turn log's leaders keep.

Owns the node's allowances. Depends on ``turns/client.py`` to reach the group that counts a tenant.
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
from bendshed.services.metrics import QuotaResult, ServiceMetrics
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
"""Timeout of a call's admission by the leader. Longer than an election, which takes under 0.5 s;
without an election the reply takes about 7 ms."""
REPORT_DELAY_S = 0.15
"""Admitted calls are reported with the node's next command, or after this delay without one."""
REPORT_CHECK_INTERVAL_S = 0.1
"""Interval between checks for unreported calls."""
REPORT_TIMEOUT_S = 1.0
"""Timeout of a report; the next report repeats its totals."""

log = PartLog("quota")


class QuotaClient:
    """Admits calls within their tenants' limits.

    Turns are counted by the turn log itself and need no extra message. Calls are admitted by
    allowances that arrive with the replies to turn ends; without an allowance, the call is
    requested from the leader. Each tenant is counted in one group of the turn log.
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
        """Admit a request that is not a turn, or return the refusal.

        ``deadline_s`` is loop time. Kinds: ``QUOTA_EXCEEDED``; ``TURN_LOG_UNAVAILABLE`` if no
        leader answered in time.
        """
        if not principal.is_limited:
            return None
        loop = asyncio.get_running_loop()
        if self._allowances.try_admit(principal.name, loop.time()):
            self._count(QuotaResult.BY_ALLOWANCE)
            return None
        decision = await self._request(principal.name, request, deadline_s)
        if decision is None:
            self._count(QuotaResult.UNANSWERED)
            return Refusal(
                ErrorKind.TURN_LOG_UNAVAILABLE, "nobody tells whether the quota holds it"
            )
        if isinstance(decision, CallRejected):
            self._count(QuotaResult.REFUSED)
            return _quota_refusal(decision.retry_after_ms)
        self._count(QuotaResult.BY_REQUEST)
        self._allowances.record_admitted(principal.name, decision.counted_total, loop.time())
        self._allowances.note_committed(principal.name, decision.counted_total, loop.time())
        return None

    async def _request(
        self, tenant: str, request: ServiceRequest, deadline_s: float
    ) -> CallDecision | None:
        """Request one call from the tenant's group; ``None``: no leader answered in time."""
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

    def store_allowance(self, principal: Principal, ceiling: int) -> None:
        """Store the allowance from the reply to a turn's end; 0: there was none."""
        if ceiling:
            now_s = asyncio.get_running_loop().time()
            self._allowances.add_allowance(principal.name, ceiling, now_s)

    def add_report(self, command: wire.TurnCommand) -> Callable[[], None]:
        """Add a report of admitted calls to a command, for the tenants that its group counts.

        The returned function must be called once the command is committed.
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
        """Report calls that no other command has reported; runs until it is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(REPORT_CHECK_INTERVAL_S)
            if not self._allowances.is_report_due(loop.time(), REPORT_DELAY_S):
                continue
            unreported = self._allowances.unreported(loop.time())
            for group in sorted(
                {self._groups.home_group_of_tenant(row.tenant) for row in unreported}
            ):
                await self._report_to(group)

    async def _report_to(self, group: int) -> None:
        """Report to one group the calls of the tenants that it counts."""
        command = wire.TurnCommand(group=group)
        mark_reported = self.add_report(command)
        try:
            await self._client.command(command, REPORT_TIMEOUT_S)
        except GroupUnavailable as error:
            log.say(
                "admitted calls not reported: no leader answered", group=group, reason=str(error)
            )
            return
        mark_reported()

    def _count(self, result: QuotaResult) -> None:
        self._metrics.quota_calls.labels(result.value).inc()


def quota_refusal_of(reply: wire.TurnReply) -> Refusal:
    """Refusal of a turn whose tenant's quota is used up."""
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
