"""One group of the turn log at this process: its clock and quotas while it leads the group."""

import asyncio
from dataclasses import dataclass

from bendshed.consensus.host import GroupHost
from bendshed.turns.quota_counting import QuotaCounting
from bendshed.turns.state import TurnLogState
from bendshed.wire import turns_pb2 as wire

COMMIT_TIMEOUT_S = 1.0


@dataclass(slots=True)
class _LeaderClock:
    """Clock of the log in one term: committed time at its start plus steady time since.

    Attributes:
        base_ms: committed time when the first command of the term came.
        base_s: loop time at which the term began: a leader that nobody asks lets time pass too.

    """

    term: int
    base_ms: int
    base_s: float


class LedGroup:
    """Commits commands of one group; each method raises ``NotLeader`` where this process does not
    lead it.

    Attributes:
        group_id: which.
        quotas: the leader's word on the tenants that the group holds.

    """

    def __init__(self, group_id: int, host: GroupHost, quotas: QuotaCounting) -> None:
        self.group_id = group_id
        self.quotas = quotas
        self._host = host
        self._clock: _LeaderClock | None = None
        self._leads_since_s = 0.0

    def note_leading(self, now_s: float) -> None:
        """A term of this process begins."""
        self._leads_since_s = now_s

    def led(self) -> tuple[TurnLogState, int]:
        """State and term."""
        group = self._host.ready_group(self.group_id)
        assert isinstance(group.state, TurnLogState)
        return group.state, group.replica.term

    def elapsed_ms(self) -> int:
        """Time of the log's clock."""
        state, term = self.led()
        now_s = asyncio.get_running_loop().time()
        if self._clock is None or self._clock.term != term:
            self._clock = _LeaderClock(term, state.clock_ms, self._leads_since_s)
        return self._clock.base_ms + int((now_s - self._clock.base_s) * 1000)

    async def commit(self, command: wire.TurnCommand) -> wire.TurnReply:
        """Commit a command; a turn beyond its tenant's quota is refused without.

        Raise ``NotLeader``, ``NotCommitted`` or ``CommitUnknown``.
        """
        command.elapsed_ms = self.elapsed_ms()
        state, term = self.led()
        if command.HasField("begin"):
            refusal = self.quotas.admit_turn(command.begin, state, term, command.elapsed_ms)
            if refusal is not None:
                return refusal
        if command.HasField("finish"):
            self.quotas.add_allowance(command, state, term)
        try:
            applied = await self._host.propose(
                self.group_id, command.SerializeToString(), COMMIT_TIMEOUT_S
            )
        finally:
            self.quotas.settle_allowance(command)
        assert isinstance(applied, wire.TurnReply)
        applied.spend_ceiling = command.allowance.ceiling
        return applied

    async def admit_call(self, ask: wire.QuotaAsk) -> wire.TurnReply:
        """Let a request through that is no turn, or not; it counts before its node hears of it."""
        state, term = self.led()
        reply = self.quotas.admit_call(ask, state, term, self.elapsed_ms())
        if reply.spend_ceiling:
            spent = wire.TenantSpent(tenant=ask.tenant, total=reply.spend_ceiling)
            spent.reported = ask.reported
            report = wire.SpentReport(node=ask.node, spent=[spent])
            try:
                await self.commit(wire.TurnCommand(spent=report, group=self.group_id))
            finally:
                self.quotas.settle_call(ask.tenant)
        return reply
