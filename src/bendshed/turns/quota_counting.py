"""Tenant quotas at the leader of one group: looks up a tenant's limit and asks the ledger.

Owns the ledger of one group. Reads the current tenants from the catalog. Source: docs/design/0007.
"""

from bendshed.admission.quota_ledger import QuotaLedger, QuotaRequest, Rank
from bendshed.admission.quota_limits import QuotaTolerance, TenantLimit, tenant_limit
from bendshed.admission.turn_reservations import AdmissionDecision
from bendshed.catalog.state import Catalog
from bendshed.logs import PartLog
from bendshed.turns.codec import (
    CallAdmitted,
    CallDecision,
    CallRejected,
    CallRequest,
    quota_exceeded_reply,
)
from bendshed.turns.state import TurnLogState
from bendshed.wire import turns_pb2 as wire

log = PartLog("quota")


class QuotaCounting:
    """Decides according to the newest configuration known to this process.

    A tenant without a limit in it is not limited, but its turns are counted nevertheless, because a
    new limit also applies to the window before it took effect.
    """

    def __init__(
        self, catalog: Catalog, tolerance: QuotaTolerance, prioritizes_running_programs: bool = True
    ) -> None:
        self._catalog = catalog
        self._tolerance = tolerance
        self._ledger = QuotaLedger(int(tolerance.window_s * 1000), prioritizes_running_programs)
        self._limits: dict[str, TenantLimit] = {}
        self._version = -1

    def admit_turn(
        self, begin: wire.BeginTurn, state: TurnLogState, term: int, now_ms: int, chain: str = ""
    ) -> wire.TurnReply | None:
        """Reserve quota for a turn, or return the rejection; ``None``: the turn is admitted.

        A turn that was dispatched on an earlier leader's reservation, and is not known to be
        committed, is counted and never rejected.

        ``chain`` distinguishes the turns of sub-agents, which retry independently. Only a preview
        has it; the decision on the preview also applies to the commit of the same turn.
        """
        limit = self._limit(begin.tenant)
        if limit is None or state.is_reserved(begin):
            return None
        self._ledger.begin_term(term)
        rank = Rank.TURN if state.is_program_started(begin) else Rank.NEW_PROGRAM
        request = QuotaRequest(begin.turn_id, begin.tenant, begin.program_id, rank, chain)
        if begin.has_left:
            self._ledger.count_dispatched(request, now_ms)
            return None
        admission = self._ledger.admit_turn(request, limit, state.usage, now_ms)
        if admission.is_granted:
            return None
        self._log_rejection(request, admission, limit)
        return quota_exceeded_reply(admission.retry_after_ms)

    def settle_turn(self, turn_id: str) -> None:
        """End a turn's reservation: it is committed and counted in the usage, or will not run."""
        self._ledger.settle_turn(turn_id)

    def admit_call(
        self, call: CallRequest, state: TurnLogState, term: int, now_ms: int
    ) -> CallDecision:
        """Admit or reject one request outside turns; ``settle_call`` ends its reservation."""
        limit = self._limit(call.tenant)
        if limit is None:
            return CallAdmitted()
        self._ledger.begin_term(term)
        rank = Rank.CALL if call.program_id else Rank.NEW_PROGRAM
        request = QuotaRequest(call.request_id, call.tenant, call.program_id, rank)
        admission = self._ledger.admit_call(
            request, call.node, call.admitted_total, limit, state.usage, now_ms
        )
        if not admission.is_granted:
            self._log_rejection(request, admission, limit)
            return CallRejected(admission.retry_after_ms)
        return CallAdmitted(self._ledger.granted_total(call.node, call.tenant))

    def add_allowance(self, command: wire.TurnCommand, state: TurnLogState, term: int) -> None:
        """Add an allowance for the calls that follow a turn, if its tenant is far from its limit.

        It is part of the command that ends the turn, so it is counted before the node receives it.
        """
        node, tenant = command.spent.node, command.finish.tenant
        limit = self._limit(tenant)
        if limit is None or not node:
            return
        self._ledger.begin_term(term)
        reported = next((row.total for row in command.spent.spent if row.tenant == tenant), 0)
        ceiling = self._ledger.extend_allowance(
            node, reported, tenant, limit, state.usage, command.elapsed_ms
        )
        if ceiling:
            allowance = wire.Allowance(node=node, tenant=tenant, ceiling=ceiling)
            command.allowance.CopyFrom(allowance)

    def settle_call(self, tenant: str) -> None:
        """End an admitted call's reservation, whether or not the call was committed."""
        self._ledger.settle_call(tenant)

    def settle_allowance(self, command: wire.TurnCommand) -> None:
        """End the reservation of a command's allowance, whether or not it was committed."""
        if command.HasField("allowance"):
            self._ledger.settle_allowance(command.allowance.node, command.allowance.tenant)

    def _limit(self, tenant: str) -> TenantLimit | None:
        """Return the tenant's current limit; ``None``: it has none."""
        if not tenant:
            return None
        document = self._catalog.document
        if document is not None and document.version != self._version:
            self._version = document.version
            self._limits = {
                row.name: tenant_limit(row, self._tolerance)
                for row in document.tenants
                if row.rate_per_s > 0
            }
        return self._limits.get(tenant)

    def _log_rejection(
        self, request: QuotaRequest, admission: AdmissionDecision, limit: TenantLimit
    ) -> None:
        log.say(
            "request rejected: the tenant's quota is used",
            request=request.request_id,
            tenant=request.tenant,
            rank=request.rank.value,
            used=admission.used,
            allowed=admission.num_allowed,
            limit=round(limit.nominal, 1),
            retry_after_ms=admission.retry_after_ms,
            version=self._version,
        )
