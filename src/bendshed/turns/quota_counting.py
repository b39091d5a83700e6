"""The leader's word on quotas: the ledger between the turn log's messages and the configuration."""

from bendshed.admission.quota_ledger import QuotaLedger, QuotaRequest, Rank
from bendshed.admission.quota_limits import QuotaTerms, TenantLimit, limit_of
from bendshed.admission.turn_reservations import Admission
from bendshed.catalog.state import Catalog
from bendshed.logs import PartLog
from bendshed.turns.state import TurnLogState
from bendshed.wire import turns_pb2 as wire

log = PartLog("quota")


class QuotaCounting:
    """Decides by the newest configuration that this process knows.

    A tenant that it does not name, or names without a limit, is not limited here; its requests
    are counted all the same, so that a limit that comes into force binds what was before.
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
        self, begin: wire.BeginTurn, state: TurnLogState, term: int, now_ms: int, line: str = ""
    ) -> wire.TurnReply | None:
        """Promise a turn its place, or return the refusal; ``None``: it may go on.

        One that left on an earlier leader's promise, and whose commit was not seen, only counts.

        ``line`` tells the turns of sub-agents apart, which come back each by themselves; only a
        preview knows it, and its decision stays for the commit of the same turn.
        """
        limit = self._limit(begin.tenant)
        if limit is None or state.is_reserved(begin):
            return None
        self._ledger.begin_term(term)
        rank = Rank.TURN if state.is_under_way(begin) else Rank.NEW_PROGRAM
        request = QuotaRequest(begin.turn_id, begin.tenant, begin.program_id, rank, line)
        if begin.has_left:
            self._ledger.count_left(request, now_ms)
            return None
        admission = self._ledger.admit_turn(request, limit, state.usage, now_ms)
        return None if admission.is_granted else self._refuse(request, admission, limit)

    def settle_turn(self, turn_id: str) -> None:
        """A turn was committed, or will not run."""
        self._ledger.settle_turn(turn_id)

    def admit_call(
        self, ask: wire.QuotaAsk, state: TurnLogState, term: int, now_ms: int
    ) -> wire.TurnReply:
        """Let one request through that is no turn, or refuse it."""
        reply = wire.TurnReply(answer=wire.TURN_ANSWER_GRANTED)
        limit = self._limit(ask.tenant)
        if limit is None:
            return reply
        self._ledger.begin_term(term)
        rank = Rank.CALL if ask.program_id else Rank.NEW_PROGRAM
        request = QuotaRequest(ask.request_id, ask.tenant, ask.program_id, rank)
        admission = self._ledger.admit_call(
            request, ask.node, ask.total, limit, state.usage, now_ms
        )
        if not admission.is_granted:
            return self._refuse(request, admission, limit)
        reply.spend_ceiling = self._ledger.granted_total(ask.node, ask.tenant)
        return reply

    def add_allowance(self, command: wire.TurnCommand, state: TurnLogState, term: int) -> None:
        """Let the calls that follow a turn through, if the tenant is unhurried.

        It is part of the command that ends the turn, so it is counted before its node hears of it.
        """
        node, tenant = command.spent.node, command.finish.tenant
        limit = self._limit(tenant)
        if limit is None or not node:
            return
        self._ledger.begin_term(term)
        told = next((row.total for row in command.spent.spent if row.tenant == tenant), 0)
        ceiling = self._ledger.spare(node, told, tenant, limit, state.usage, command.elapsed_ms)
        if ceiling:
            given = wire.Allowance(node=node, tenant=tenant, ceiling=ceiling)
            command.allowance.CopyFrom(given)

    def settle_call(self, tenant: str) -> None:
        """A call that was let through was committed, or was not."""
        self._ledger.settle_call(tenant)

    def settle_allowance(self, command: wire.TurnCommand) -> None:
        """A command with an allowance was committed, or was not."""
        if command.HasField("allowance"):
            self._ledger.settle_spare(command.allowance.node, command.allowance.tenant)

    def _limit(self, tenant: str) -> TenantLimit | None:
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

    def _refuse(
        self, request: QuotaRequest, admission: Admission, limit: TenantLimit
    ) -> wire.TurnReply:
        log.say(
            "refuses a request",
            request=request.request_id,
            tenant=request.tenant,
            rank=request.rank.value,
            used=admission.used,
            allowed=admission.num_allowed,
            limit=round(limit.own, 1),
            retry_after_ms=admission.retry_after_ms,
            version=self._version,
        )
        return wire.TurnReply(
            answer=wire.TURN_ANSWER_QUOTA_EXCEEDED, retry_after_ms=admission.retry_after_ms
        )
