"""Finds the runner for the next attempt at one request: preferred, warm, or cold with a permit.

Applies ``placement/node_choice.py`` to the node's current state and requests permits from the turn
log's leader. Owns the placement that a preview returned.
"""

import asyncio
from collections.abc import Collection
from dataclasses import dataclass

from bendshed.errors import Refusal
from bendshed.model.permit import NO_PERMIT, TimedPermit
from bendshed.model.runner import ReportedBirth
from bendshed.placement.eligibility import may_continue_stream
from bendshed.placement.node_choice import Choice, NodeView, choose_runner
from bendshed.placement.proven_version import proven_version
from bendshed.ports.runner import ServiceRequest
from bendshed.retries.decisions import GiveUp, GiveUpReason, may_choose_runner
from bendshed.retries.history import AttemptHistory
from bendshed.services.permit_client import RunnerReport, build_turn_demand
from bendshed.services.runner_ports import RunnerPorts
from bendshed.services.runners import RunnerRecord


@dataclass(slots=True)
class RunnerPlacement:
    """Chooses the runners of one request.

    Invariant: a cold runner is chosen only with a permit of the leader for that one dispatch.

    Attributes:
        service: the service whose runners are eligible.
        sticky_key: session or affinity key that requests share; empty: none.
        regions: where the runners may be located; ``None``: anywhere.
        software_version: version that began the stream which the request resumes; empty: any.
        proves_version: the version of the process that responds must be known, since the stream may
            be resumed.

    """

    ports: RunnerPorts
    request: ServiceRequest
    service: str
    sticky_key: str
    regions: frozenset[str] | None = None
    software_version: str = ""
    proves_version: bool = False
    _preferred_runner: str = ""
    _preferred_permit: TimedPermit = NO_PERMIT

    @property
    def has_preferred_runner(self) -> bool:
        """Whether the leader of the turn log has placed the request at a runner."""
        return bool(self._preferred_runner)

    def prefer(self, runner_id: str, permit: TimedPermit) -> None:
        """Use the leader's placement as long as that runner may get the request.

        ``permit`` is required if the runner is cold; an empty ``runner_id``: no placement.
        """
        self._preferred_runner, self._preferred_permit = runner_id, permit

    def describe_no_runner(self) -> str:
        """Explain in a refusal why no runner is left."""
        detail = f"no runner of {self.service} takes the request now"
        closed = sorted(self.ports.table.filter.zones.closed)
        if closed:
            detail += f", closed zones: {', '.join(closed)}"
        if self.regions is not None:
            detail += f", allowed regions: {', '.join(sorted(self.regions))}"
        if self.software_version:
            detail += f", software version: {self.software_version}"
        return detail

    def has_no_runner_of_version(self) -> bool:
        """Whether the request resumes a stream that no eligible runner may continue."""
        now_s = asyncio.get_running_loop().time()
        return bool(self.software_version) and not self._eligible(now_s)

    def expected_version(self) -> str:
        """Software version that the request will run at; empty: the service has several."""
        return self.software_version or self.ports.table.sole_version(self.service)

    def runner_report(self) -> RunnerReport:
        """Report on the service's runners to a leader that places the request."""
        now_s = asyncio.get_running_loop().time()
        eligible = self._listed_eligible(now_s)
        connected: list[str] = []
        if self.ports.policy.kept_connections:
            connected = [r.listed.runner_id for r in eligible if self.ports.is_connected(r)]
        avoided = [r for r in eligible if r.is_avoided(now_s) or self._is_doubted(r, now_s)]
        return RunnerReport(connected, [r.listed.runner_id for r in avoided])

    async def find_runner(self, history: AttemptHistory) -> Choice | GiveUp | Refusal:
        """Find the runner of the next attempt; ``Refusal``: the leader granted no permit."""
        now_s = asyncio.get_running_loop().time()
        if may_choose_runner(history):
            choice = self.choose(history.tried, now_s)
            if choice is not None:
                return choice
            if self._has_untried_cold(history.tried, now_s):
                return await self._request_permit(history)
        if history.has_unproven_version:
            return GiveUp(GiveUpReason.VERSION_UNPROVEN, self.describe_no_runner())
        return GiveUp(GiveUpReason.NO_RUNNER, self.describe_no_runner())

    def choose(self, tried: Collection[str], now_s: float) -> Choice | None:
        """Choose the preferred runner if it may get the request, else a warm one."""
        eligible = self._eligible(now_s)
        preferred = self._choose_preferred(eligible, tried, now_s)
        if preferred is not None:
            return preferred
        warm = self.ports.table.cold.filter_warm(eligible)
        connected: set[str] = set()
        if self.ports.policy.kept_connections:
            connected = {r.listed.runner_id for r in eligible if self.ports.is_connected(r)}
        ports = self.ports
        return choose_runner(
            warm,
            tried,
            self.sticky_key,
            NodeView(ports.node, ports.zone, connected, now_s, ports.places),
            ports.rng,
            ports.policy,
            self.request.affinity_key if self.sticky_key else "",
        )

    def may_dispatch_to(self, record: RunnerRecord, permit: TimedPermit, now_s: float) -> bool:
        """Whether a runner may still get the request, and is warm or permitted."""
        if not self.is_allowed(record) or self.ports.table.is_leaving(record, now_s):
            return False
        return permit.is_valid(now_s) or not self.ports.table.cold.is_cold(record.listed.runner_id)

    def is_allowed(self, record: RunnerRecord) -> bool:
        """Whether a runner is in an open zone, an allowed region, and of the stream's version."""
        is_located_well = self.ports.table.filter.allows(record.listed, self.regions)
        return is_located_well and self.is_of_version(record)

    def is_of_version(self, record: RunnerRecord) -> bool:
        """Whether a runner is of the version of a resumed stream; of a new one, any is."""
        return may_continue_stream(record.listed, self.software_version)

    def proven_version(self, record: RunnerRecord, reported: ReportedBirth) -> str:
        """Version that the process behind a connection is proven to run; empty: not proven."""
        return proven_version(record.listed, reported, self.ports.table.are_births_listed)

    def leaves_for_proven_version(
        self, record: RunnerRecord, tried: Collection[str], now_s: float
    ) -> bool:
        """Whether a new stream that may be resumed goes to another runner than a doubted one."""
        if not self._is_doubted(record, now_s):
            return False
        others = self.ports.table.cold.filter_warm(self._listed_eligible(now_s))
        return any(
            other.listed.runner_id not in tried
            and not other.is_avoided(now_s)
            and not other.is_doubted(now_s)
            for other in others
        )

    def _is_doubted(self, record: RunnerRecord, now_s: float) -> bool:
        return self.proves_version and record.is_doubted(now_s)

    def _eligible(self, now_s: float) -> list[RunnerRecord]:
        """Eligible runners; doubted ones only if there is no other."""
        eligible = self._listed_eligible(now_s)
        return [r for r in eligible if not self._is_doubted(r, now_s)] or eligible

    def _listed_eligible(self, now_s: float) -> list[RunnerRecord]:
        return self.ports.table.eligible(self.service, now_s, self.regions, self.software_version)

    def _choose_preferred(
        self, eligible: Collection[RunnerRecord], tried: Collection[str], now_s: float
    ) -> Choice | None:
        permit = self._preferred_permit
        for record in eligible:
            runner_id = record.listed.runner_id
            is_usable = runner_id not in tried and not record.is_avoided(now_s)
            is_preferred = runner_id == self._preferred_runner and is_usable
            if is_preferred and self.may_dispatch_to(record, permit, now_s):
                return Choice(record, "advised", permit)
        return None

    def _has_untried_cold(self, tried: Collection[str], now_s: float) -> bool:
        """Whether a cold runner was not tried yet, which a permit would make usable."""
        return any(
            self.ports.table.cold.is_cold(record.listed.runner_id)
            for record in self._eligible(now_s)
            if record.listed.runner_id not in tried
        )

    async def _request_permit(self, history: AttemptHistory) -> Choice | GiveUp | Refusal:
        """Request a permit for one dispatch to an untried runner."""
        if self.ports.permit_client is None:
            detail = f"all runners of {self.service} are cold"
            return GiveUp(GiveUpReason.NO_PERMIT, detail)
        loop = asyncio.get_running_loop()
        demand = build_turn_demand(
            self.request,
            self.service,
            history.deadline_s - loop.time(),
            self.runner_report(),
            self.ports.zone,
            history.tried,
            self.regions,
            self.software_version,
        )
        permit = await self.ports.permit_client.request_permit(self.request, demand)
        if isinstance(permit, Refusal):
            return permit
        for record in self._eligible(loop.time()):
            if record.listed.runner_id == permit.runner_id:
                return Choice(record, "permitted", permit.permit)
        return GiveUp(GiveUpReason.NO_PERMIT, "this node does not know the permitted runner")
