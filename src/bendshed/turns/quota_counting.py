"""Quotas at the leader of one group: finds a tenant's limit and lets the ledger decide.

Owns the ledger of one group. Relies on the catalog for the tenants in force. Source:
docs/design/0007.
"""

from bendshed.admission.quota_ledger import QuotaLedger, QuotaRequest, Rank
from bendshed.admission.quota_limits import QuotaTerms, TenantLimit, limit_of
from bendshed.admission.turn_reservations import Admission
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
    """Decides by the newest configuration that this process has.

    A tenant without a limit there is not limited, but its turns are counted all the same: a limit
    that comes into force applies to the window before it too.
    """

    def __init__(
        self, catalog: Catalog, terms: QuotaTerms, puts_programs_first: bool = True
    ) -> None:
        self._catalog = catalog
        self._terms = terms
        self._ledger = QuotaLedger(int(terms.window_s * 1000), puts_programs_first)
        self._limits: dict[str, TenantLimit] = {}
        self._version = -1

    def admit_turn(
        self, begin: wire.BeginTurn, state: TurnLogState, term: int, now_ms: int, chain: str = ""
    ) -> wire.TurnReply | None:
        """Reserve a place for a turn, or return the rejection; ``None``: it is admitted.

        A turn that was dispatched on an earlier leader's reservation, and is not known to be
        committed, is counted and never rejected.

        ``chain`` distinguishes the turns of sub-agents, which come back each by themselves. Only a
        preview has it; its decision stays for the commit of the same turn.
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
        """A turn was committed, so that it is counted there, or will not run."""
        self._ledger.settle_turn(turn_id)

    def admit_call(
        self, call: CallRequest, state: TurnLogState, term: int, now_ms: int
    ) -> CallDecision:
        """Admit or reject one request that is no turn; ``settle_call`` ends its reservation."""
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

        It is part of the command that ends the turn, so it is counted before its node has it.
        """
        node, tenant = command.spent.node, command.finish.tenant
        limit = self._limit(tenant)
        if limit is None or not node:
            return
        self._ledger.begin_term(term)
        reported = next((row.total for row in command.spent.spent if row.tenant == tenant), 0)
        ceiling = self._ledger.spare(node, reported, tenant, limit, state.usage, command.elapsed_ms)
        if ceiling:
            allowance = wire.Allowance(node=node, tenant=tenant, ceiling=ceiling)
            command.allowance.CopyFrom(allowance)

    def settle_call(self, tenant: str) -> None:
        """An admitted call was committed, so that it is counted there, or was not."""
        self._ledger.settle_call(tenant)

    def settle_allowance(self, command: wire.TurnCommand) -> None:
        """A command with an allowance was committed, or was not."""
        if command.HasField("allowance"):
            self._ledger.settle_spare(command.allowance.node, command.allowance.tenant)

    def _limit(self, tenant: str) -> TenantLimit | None:
        """The limit in force; ``None``: there is none."""
        if not tenant:
            return None
        document = self._catalog.document
        if document is not None and document.version != self._version:
            self._version = document.version
            self._limits = {
                row.name: limit_of(row, self._terms)
                for row in document.tenants
                if row.rate_per_s > 0
            }
        return self._limits.get(tenant)

    def _log_rejection(
        self, request: QuotaRequest, admission: Admission, limit: TenantLimit
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
