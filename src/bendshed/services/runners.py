"""The runners behind the services, as this node sees them: listed state and own experience."""

import asyncio
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import StrEnum

from bendshed.catalog.cold_runner_tracker import ColdRunnerTracker
from bendshed.logs import PartLog
from bendshed.model.runner import RunnerState, ServiceRunner
from bendshed.placement.runner_health import RunnerHealth
from bendshed.placement.zones import RunnerFilter

FAILURES_TO_AVOID = 2
AVOID_S = 2.0
FULL_AVOID_S = 0.15
UNLISTED_KEPT_S = 2.5
"""A runner that vanished while the list's keeper failed is a last resort for this long: it lists
itself again within 2 s of the keeper's return if it lives, and half a second is for the way."""
WORK_TIME_WEIGHT = 0.1
"""Weight of the newest request in a route's typical time: some ten requests tell a change."""

log = PartLog("runners")


class RunnerView(StrEnum):
    """What a node makes of a runner."""

    READY = "ready"
    DRAINING = "draining"
    UNLISTED = "unlisted"
    """It vanished from a list that could not be trusted."""


@dataclass(slots=True)
class RunnerRecord:
    """A runner and what this node knows of it.

    Attributes:
        listed: its line of the list.
        in_flight: requests of this node under way there.
        failures: answers in a row that were broken.
        avoid_until_s: no new work before this loop time if another can take it.
        unlisted_at_s: when it vanished from a list that could not be trusted; ``None``: listed.
        health: its work times as this node saw them, in units of each route's typical one.

    """

    listed: ServiceRunner
    in_flight: int = 0
    health: RunnerHealth = field(default_factory=RunnerHealth)
    failures: int = 0
    avoid_until_s: float = 0.0
    unlisted_at_s: float | None = None

    @property
    def view(self) -> RunnerView:
        """What this node makes of it."""
        if self.unlisted_at_s is not None:
            return RunnerView.UNLISTED
        return RunnerView(self.listed.state.value)

    def is_avoided(self, now_s: float) -> bool:
        """Whether it was full or broken a moment ago."""
        return now_s < self.avoid_until_s

    def note_success(self) -> None:
        """A whole answer came."""
        self.failures = 0

    def note_broken(self, now_s: float) -> None:
        """No whole answer came."""
        self.failures += 1
        if self.failures >= FAILURES_TO_AVOID:
            self._avoid(now_s, "answers broke")

    def note_unreachable(self, now_s: float) -> None:
        """No connection came up."""
        self.failures += 1
        self._avoid(now_s, "unreachable")

    def _avoid(self, now_s: float, reason: str) -> None:
        self.avoid_until_s = now_s + AVOID_S
        runner = self.listed.runner_id
        log.say("is avoided", runner=runner, reason=reason, failures=self.failures, for_s=AVOID_S)

    def note_full(self, now_s: float) -> None:
        """It turned a request away unrun."""
        self.avoid_until_s = max(self.avoid_until_s, now_s + FULL_AVOID_S)


@dataclass(slots=True)
class WorkTimes:
    """How long requests of each route typically take, so that routes can be compared."""

    _typical_s: dict[str, float] = field(default_factory=dict)

    def in_typical(self, route: str, took_s: float) -> float:
        """How many times as long as is typical a request took; it counts from now on."""
        known_s = self._typical_s.get(route, took_s)
        self._typical_s[route] = known_s + WORK_TIME_WEIGHT * (took_s - known_s)
        return took_s / known_s if known_s else 1.0


@dataclass(slots=True)
class RunnerTable:
    """All runners by id and by service.

    Attributes:
        has_any: set once a runner has been listed.
        work_times: of each route, over all runners.
        filter: which runners may get new work at all.
        cold: those that get nothing from this node without leave.

    """

    by_id: dict[str, RunnerRecord] = field(default_factory=dict)
    has_any: asyncio.Event = field(default_factory=asyncio.Event)
    by_service: dict[str, dict[str, RunnerRecord]] = field(default_factory=dict)
    work_times: WorkTimes = field(default_factory=WorkTimes)
    filter: RunnerFilter = field(default_factory=RunnerFilter)
    cold: ColdRunnerTracker = field(default_factory=ColdRunnerTracker)

    def put(self, runner: ServiceRunner) -> None:
        """Take a line of the list."""
        record = self.by_id.get(runner.runner_id)
        if record is not None and record.listed == runner and record.unlisted_at_s is None:
            return
        if record is None:
            record = RunnerRecord(runner)
            self.has_any.set()
            self.by_id[runner.runner_id] = record
        elif record.listed.service != runner.service:
            self._by_service(record.listed.service).pop(runner.runner_id, None)
        record.listed = runner
        record.unlisted_at_s = None
        self.cold.put(runner)
        self._by_service(runner.service)[runner.runner_id] = record
        log.say(
            "is listed",
            runner=runner.runner_id,
            service=runner.service,
            address=str(runner.address),
            state=runner.state.value,
        )

    def remove(self, runner_id: str, now_s: float, trusted: bool) -> None:
        """A runner vanished from the list.

        Args:
            runner_id: which.
            now_s: loop time.
            trusted: the list's keeper was well; otherwise the runner may still be there and
                serves as a last resort for a while.

        """
        record = self.by_id.get(runner_id)
        if record is None:
            return
        log.say("is not listed any more", runner=runner_id, trusted=trusted)
        self.cold.vanish(runner_id)
        if trusted:
            self._drop(record)
        elif record.unlisted_at_s is None:
            record.unlisted_at_s = now_s

    def _drop(self, record: RunnerRecord) -> None:
        del self.by_id[record.listed.runner_id]
        self._by_service(record.listed.service).pop(record.listed.runner_id, None)

    def count(self, view: RunnerView) -> int:
        """Runners of which this node makes that."""
        return sum(1 for record in self.by_id.values() if record.view is view)

    def usable(
        self, service: str, now_s: float, regions: Collection[str] | None
    ) -> list[RunnerRecord]:
        """Runners that may get new work: the listed ready ones, else the doubtful ones.

        Those of closed zones, or outside the regions that the request is allowed in, never are;
        ``None``: it is allowed anywhere.
        """
        records = self._by_service(service)
        for record in list(records.values()):
            gone_s = record.unlisted_at_s
            if gone_s is not None and now_s - gone_s > UNLISTED_KEPT_S:
                self._drop(record)
        ready = [r for r in records.values() if r.listed.state is RunnerState.READY]
        if not self.filter.lets_all(regions):
            ready = [r for r in ready if self.filter.may_get(r.listed, regions)]
        listed = [record for record in ready if record.unlisted_at_s is None]
        return listed or ready

    def has_no_eligible_runner(self, service: str, regions: Collection[str] | None) -> bool:
        """Whether runners are ready, and all stand where a request may not go."""
        if self.filter.lets_all(regions):
            return False
        ready = [
            record.listed
            for record in self._by_service(service).values()
            if record.listed.state is RunnerState.READY
        ]
        return bool(ready) and not any(self.filter.may_get(one, regions) for one in ready)

    def _by_service(self, service: str) -> dict[str, RunnerRecord]:
        return self.by_service.setdefault(service, {})
