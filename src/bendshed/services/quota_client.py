"""A node's word with the turn log on quotas: who is counted, asked for, and told."""

import asyncio
from collections.abc import Callable

from bendshed.admission.quota_allowance import LocalAllowances, Spending
from bendshed.consensus.group_client import GroupUnavailable
from bendshed.errors import ErrorKind, Refusal
from bendshed.logs import PartLog
from bendshed.model.principal import Principal
from bendshed.placement.groups import ONE_GROUP, TurnGroups
from bendshed.ports.runner import ServiceRequest
from bendshed.services.metrics import QuotaEnd, ServiceMetrics
from bendshed.turns.client import TurnClient
from bendshed.wire import turns_pb2 as wire

ASK_TIMEOUT_S = 0.6
"""A call waits this long for the leader, across a change of leaders (under 0.5 s)."""
TELL_AFTER_S = 0.15
"""Calls are told with the next turn of this node, or by themselves after so long."""
TELL_CHECK_S = 0.1
TELL_TIMEOUT_S = 1.0

log = PartLog("quota")


class QuotaClient:
    """Lets requests through within their tenants' limits.

    Turns are counted by the turn log itself and cost no message more; calls go by allowances that
    come with the ends of turns, and are asked for by name where there is none. Each tenant is
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
        self._gate = LocalAllowances()

    async def admit_call(
        self, principal: Principal, request: ServiceRequest, deadline_s: float
    ) -> Refusal | None:
        """Let a request through that is no turn; return why it may not run."""
        if not principal.is_limited:
            return None
        loop = asyncio.get_running_loop()
        if self._gate.try_spend(principal.name, loop.time()):
            self._count(QuotaEnd.ALLOWED)
            return None
        ask = wire.QuotaAsk(
            tenant=principal.name,
            node=self._node,
            total=self._gate.total(principal.name),
            reported=self._gate.reported(principal.name),
            request_id=request.request_id,
            program_id=request.program_id,
            group=self._groups.of_tenant(principal.name),
        )
        timeout_s = min(ASK_TIMEOUT_S, deadline_s - loop.time())
        reply = await self._client.admit_call(ask, timeout_s)
        if reply is None:
            self._count(QuotaEnd.UNANSWERED)
            return Refusal(
                ErrorKind.TURN_LOG_UNAVAILABLE, "nobody tells whether the quota holds it"
            )
        if reply.answer == wire.TURN_ANSWER_QUOTA_EXCEEDED:
            self._count(QuotaEnd.REFUSED)
            return refusal_of(reply)
        self._count(QuotaEnd.ASKED)
        self._gate.spend_granted(principal.name, reply.spend_ceiling, loop.time())
        self._note_counted(principal.name, reply.spend_ceiling)
        return None

    def _note_counted(self, tenant: str, counted_total: int) -> None:
        """What was granted by name was committed, with all that was let through up to it."""
        total = min(counted_total, self._gate.total(tenant))
        counted = Spending(tenant, total, 0, self._gate.reported(tenant))
        self._gate.note_told([counted], asyncio.get_running_loop().time())

    def take_allowance(self, principal: Principal, ceiling: int) -> None:
        """The end of a turn brought an allowance for the calls that follow it."""
        if ceiling:
            now_s = asyncio.get_running_loop().time()
            self._gate.take_allowance(principal.name, ceiling, now_s)

    def report(self, command: wire.TurnCommand) -> Callable[[], None]:
        """Add what was let through to a command, of tenants that its group counts.

        Call what is returned once it is committed.
        """
        news = self._gate.news(asyncio.get_running_loop().time())
        told = [row for row in news if self._groups.of_tenant(row.tenant) == command.group]
        command.spent.node = self._node
        command.spent.spent.extend(_to_wire(row) for row in told)
        return lambda: self._gate.note_told(told, asyncio.get_running_loop().time())

    async def tell(self) -> None:
        """Tell what no turn took along, again and again."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TELL_CHECK_S)
            if not self._gate.must_tell(loop.time(), TELL_AFTER_S):
                continue
            news = self._gate.news(loop.time())
            for group in sorted({self._groups.of_tenant(row.tenant) for row in news}):
                await self._tell_group(group)

    async def _tell_group(self, group: int) -> None:
        """Tell one group what it counts."""
        command = wire.TurnCommand(group=group)
        note_told = self.report(command)
        try:
            await self._client.command(command, TELL_TIMEOUT_S)
        except GroupUnavailable as error:
            log.say("cannot tell what was let through", group=group, reason=str(error))
            return
        note_told()

    def _count(self, end: QuotaEnd) -> None:
        self._metrics.quota_calls.labels(end.value).inc()


def refusal_of(reply: wire.TurnReply) -> Refusal:
    """What a caller is told whose tenant has used what it may."""
    return Refusal(
        ErrorKind.QUOTA_EXCEEDED,
        "the tenant has used what it may for now",
        reply.retry_after_ms / 1000,
    )


def _to_wire(row: Spending) -> wire.TenantSpent:
    return wire.TenantSpent(
        tenant=row.tenant,
        total=row.total,
        lapsed_ceiling=row.lapsed_ceiling,
        reported=row.reported,
    )
