"""What turns need of a node, and how long they wait for the turn log."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from bendshed.consensus.group_client import GroupUnavailable
from bendshed.logs import PartLog
from bendshed.model.principal import Principal
from bendshed.policy import EVERYTHING, Policy
from bendshed.services.metrics import ServiceMetrics
from bendshed.services.quota_client import QuotaClient
from bendshed.services.turn_ends import PendingEnds
from bendshed.turns.client import TranscriptCache, TurnClient
from bendshed.turns.group_locator import GroupLocator
from bendshed.turns.shares import ShareGatherer
from bendshed.wire import turns_pb2 as wire

BEGIN_TIMEOUT_S = 1.5
"""How long a turn waits for its reservation, so that it outlives a change of the group's leader.
Chosen, not measured."""
FINISH_TIMEOUT_S = 3.0
"""How long the end of a stream is withheld until the turn's end is committed. Longer than for a
begin, since the turn's work is done and would be lost. Chosen, not measured."""
SHARE_TIMEOUT_S = 0.6
"""How long another group is asked for its share of a budget, across a change of its leader. Chosen,
not measured."""
log = PartLog("turns")


@dataclass(slots=True)
class TurnPorts:
    """What turns need of a node.

    Attributes:
        group_locator: which group of the turn log is requested first.
        late: begins under way that outlive their request.
        ends: of turns that no caller waits for.
        shares: takes shares between groups whose leaders do not reach each other.

    """

    client: TurnClient
    transcripts: TranscriptCache
    metrics: ServiceMetrics
    quotas: QuotaClient
    policy: Policy = EVERYTHING
    group_locator: GroupLocator = field(default_factory=GroupLocator)
    late: "set[asyncio.Task[Any]]" = field(default_factory=set)
    ends: PendingEnds = field(init=False)
    shares: ShareGatherer = field(init=False)

    def __post_init__(self) -> None:
        self.ends = PendingEnds(self.client)
        self.shares = ShareGatherer(self.group_locator.groups, self._commit_share)

    def run_late(self, task: "asyncio.Task[Any]") -> None:
        """Hold a task until it ends; a node that stops waits for it."""
        self.late.add(task)
        task.add_done_callback(self.late.discard)

    def report_calls(self, principal: Principal, command: wire.TurnCommand) -> Callable[[], None]:
        """Add to a command the calls of limited tenants that this node admitted.

        Call what is returned once the command is committed. Nothing is added for a principal
        without a limit.
        """
        if not principal.is_limited:
            return _nothing_reported
        return self.quotas.report(command)

    async def finish_late(self) -> None:
        """Wait for all that goes on without a caller: begins under way, then ends."""
        await asyncio.gather(*self.late, return_exceptions=True)
        await self.ends.finish()

    async def _commit_share(self, _group: int, command: wire.TurnCommand) -> wire.TurnReply | None:
        """Commit a command in its group; ``None``: no leader answered in time."""
        try:
            return await self.client.command(command, SHARE_TIMEOUT_S)
        except GroupUnavailable:
            return None  # logged as ``silent`` with the shares that were taken


async def commit_begin(
    client: TurnClient,
    command: wire.TurnCommand,
    timeout_s: float,
    before_attempt: Callable[[], None] = lambda: None,
) -> wire.TurnReply | None:
    """Commit a begin; ``None``: no leader answered in time, which is logged."""
    try:
        return await client.command(command, timeout_s, before_attempt)
    except GroupUnavailable as error:
        log.say(
            "turn begin not committed: no leader answered",
            request=command.begin.turn_id,
            command=command.WhichOneof("command"),
            reason=str(error),
        )
        return None


def _nothing_reported() -> None:
    """No call was reported, so none is noted as reported."""
