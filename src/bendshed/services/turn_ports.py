"""Dependencies of turns on the node, and their timeouts at the turn log."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from bendshed.consensus.group_client import GroupUnavailable
from bendshed.logs import PartLog
from bendshed.model.principal import Principal
from bendshed.policy import ALL_ENABLED, Policy
from bendshed.services.metrics import ServiceMetrics
from bendshed.services.quota_client import QuotaClient
from bendshed.services.stream_origins import StreamOriginClient
from bendshed.services.turn_ends import PendingTurnEnds
from bendshed.turns.client import TranscriptCache, TurnClient
from bendshed.turns.group_locator import GroupLocator
from bendshed.turns.shares import ShareGatherer
from bendshed.wire import turns_pb2 as wire

BEGIN_TIMEOUT_S = 1.5
"""Timeout of a turn's reservation; outlasts an election of the group."""
FINISH_TIMEOUT_S = 3.0
"""How long the end of a stream is withheld until the turn's end is committed. Longer than for a
begin, since the turn's completed work would be lost."""
SHARE_TIMEOUT_S = 0.6
"""Timeout of requesting another group's share of a budget; outlasts an election of that group."""
log = PartLog("turns")


@dataclass(slots=True)
class TurnPorts:
    """Dependencies of turns on the node.

    Attributes:
        group_locator: determines the group of the turn log that a begin is sent to first.
        background_begins: pending begins, which may outlive their requests.
        ends: uncommitted ends of turns that no caller waits for.
        shares: transfers budget shares between groups whose leaders cannot reach each other.
        origins: which runners may continue a stream.

    """

    client: TurnClient
    transcripts: TranscriptCache
    metrics: ServiceMetrics
    quotas: QuotaClient
    policy: Policy = ALL_ENABLED
    group_locator: GroupLocator = field(default_factory=GroupLocator)
    background_begins: "set[asyncio.Task[Any]]" = field(default_factory=set)
    ends: PendingTurnEnds = field(init=False)
    shares: ShareGatherer = field(init=False)
    origins: StreamOriginClient = field(init=False)

    def __post_init__(self) -> None:
        self.ends = PendingTurnEnds(self.client)
        self.shares = ShareGatherer(self.group_locator.groups, self._commit_share)
        self.origins = StreamOriginClient(self.client, self.group_locator)

    def run_in_background(self, task: "asyncio.Task[Any]") -> None:
        """Keep a reference to a task until it ends; the node waits for it before stopping."""
        self.background_begins.add(task)
        task.add_done_callback(self.background_begins.discard)

    def add_call_report(
        self, principal: Principal, command: wire.TurnCommand
    ) -> Callable[[], None]:
        """Add to a command a report of the calls of limited tenants that this node admitted.

        The returned function must be called once the command is committed. Nothing is added for a
        principal without a limit.
        """
        if not principal.is_limited:
            return _no_calls_reported
        return self.quotas.add_report(command)

    async def finish_background_work(self) -> None:
        """Wait for the work that no caller waits for: pending begins, then ends."""
        await asyncio.gather(*self.background_begins, return_exceptions=True)
        await self.ends.wait_until_committed()

    async def _commit_share(self, _group: int, command: wire.TurnCommand) -> wire.TurnReply | None:
        """Commit a command in its group; ``None``: no leader answered in time."""
        try:
            return await self.client.command(command, SHARE_TIMEOUT_S)
        except GroupUnavailable:
            return None  # logged in the field ``silent`` with the shares that were taken


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


def _no_calls_reported() -> None:
    """Do nothing: the command contains no report to confirm."""
