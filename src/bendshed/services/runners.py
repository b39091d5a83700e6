"""The runners of all services as one node knows them: listed state and observed failures.

Owns the records of runners and logs their changes. `placement/eligibility.py` decides which runners
are eligible.
"""

import asyncio
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field

from bendshed.catalog.cold_runner_tracker import ColdRunnerTracker
from bendshed.logs import PartLog
from bendshed.model.runner import RunnerProcess, RunnerState, ServiceRunner
from bendshed.placement.eligibility import (
    RunnerFilter,
    are_all_excluded,
    eligible_runners,
    may_continue_stream,
)
from bendshed.placement.runner_record import AVOID_S, ObservedState, RunnerRecord, WorkTimes
from bendshed.retries.quarantine import LAPSE_S
from bendshed.services.confirmed_span import ConfirmedSpan
from bendshed.services.request_quarantine import RequestQuarantine, process_of

__all__ = ["ObservedState", "RunnerRecord", "RunnerTable"]

MAX_CONFIRMATION_GAP_S = 3.0
"""Longest time between two confirmations of the list by a registry that answers, where the
installation names no other."""

log = PartLog("runners")


class _LoggedRecord(RunnerRecord):
    """A record that logs when its runner becomes avoided."""

    __slots__ = ()

    def avoid(self, now_s: float, reason: str) -> None:
        super().avoid(now_s, reason)
        runner = self.listed.runner_id
        log.say(
            "runner is avoided", runner=runner, reason=reason, failures=self.failures, for_s=AVOID_S
        )


@dataclass(slots=True)
class RunnerTable:
    """All runners by id and by service.

    Attributes:
        has_runners: set once a runner has been listed.
        work_times: work times of each route over all runners.
        filter: zones and regions where requests may run.
        cold: runners that get no request from this node without a permit.
        confirmed: over which time the registry has confirmed the list.
        quarantine: requests under which runners ended.

    """

    by_id: dict[str, RunnerRecord] = field(default_factory=dict)
    has_runners: asyncio.Event = field(default_factory=asyncio.Event)
    by_service: dict[str, dict[str, RunnerRecord]] = field(default_factory=dict)
    work_times: WorkTimes = field(default_factory=WorkTimes)
    filter: RunnerFilter = field(default_factory=RunnerFilter)
    cold: ColdRunnerTracker = field(default_factory=ColdRunnerTracker)
    confirmed: ConfirmedSpan = field(default_factory=lambda: ConfirmedSpan(MAX_CONFIRMATION_GAP_S))
    quarantine: RequestQuarantine = field(init=False)
    _num_by_version: dict[str, Counter[str]] = field(default_factory=dict)
    _num_with_birth: int = 0

    def __post_init__(self) -> None:
        self.quarantine = RequestQuarantine(self)

    def put(self, runner: ServiceRunner) -> None:
        """Add or update a listed runner."""
        record = self.by_id.get(runner.runner_id)
        if record is not None and record.listed == runner and record.is_listed:
            return
        if record is None:
            record = _LoggedRecord(runner)
            self.has_runners.set()
            self.by_id[runner.runner_id] = record
        else:
            self._count(record.listed, -1)
            if record.listed.born_ms and runner.born_ms not in (None, record.listed.born_ms):
                self.quarantine.note_leaving(record.listed)
                self.quarantine.note_runner_gone(record.listed)
            if record.listed.service != runner.service:
                self._by_service(record.listed.service).pop(runner.runner_id, None)
        self._count(runner, 1)
        record.listed = runner
        record.last_resort_until_s = None
        record.doubted_until_s = None
        self.cold.note_listed(runner)
        self._by_service(runner.service)[runner.runner_id] = record
        log.say(
            "runner is listed",
            runner=runner.runner_id,
            service=runner.service,
            address=str(runner.address),
            state=runner.state.value,
            software_version=runner.software_version,
            born_ms=runner.born_ms,
        )

    def remove(self, runner_id: str, now_s: float, last_resort_s: float) -> None:
        """Remove a runner that is no longer listed.

        Of one that is unlisted already, the news is of the same removal. Each time told is safe by
        what its teller knows of the registry, so the longest counts.

        Args:
            runner_id: id of the runner.
            now_s: loop time.
            last_resort_s: for how long it is used if no other runner is listed, since it may be
                listed again; 0: it has left.

        """
        record = self.by_id.get(runner_id)
        if record is None:
            return
        if record.last_resort_until_s is not None:
            until_s = max(record.last_resort_until_s, now_s + last_resort_s)
            record.last_resort_until_s = until_s
            return
        log.say(
            "runner is not listed any more",
            runner=runner_id,
            last_resort_s=round(last_resort_s, 3),
        )
        self.quarantine.note_leaving(record.listed)
        self.cold.note_removed(runner_id)
        if last_resort_s > 0:
            record.last_resort_until_s = now_s + last_resort_s
        else:
            self._drop(record)

    def confirm_list(self, age_s: float) -> None:
        """Record that the registry confirmed the list ``age_s`` ago."""
        self.confirmed.confirm(asyncio.get_running_loop().time() - age_s)

    def is_listed(self, process: RunnerProcess) -> bool:
        """Whether the list names a process."""
        record = self._record_of(process)
        return record is not None and record.is_listed

    def is_leaving(self, record: RunnerRecord, now_s: float) -> bool:
        """Whether a runner that was eligible has left since, or says that it leaves."""
        is_known = self.by_id.get(record.listed.runner_id) is record
        is_ready = record.listed.state is RunnerState.READY
        return not is_known or not is_ready or record.has_left(now_s)

    def has_answered(self, process: RunnerProcess, after_s: float) -> bool:
        """Whether a process answered a request of this node that was sent after a loop time."""
        record = self._record_of(process)
        return record is not None and record.answered_s > after_s

    def has_outlived(self, process: RunnerProcess, since_s: float) -> bool:
        """Whether a process has stayed listed for longer than the entry of an ended one."""
        return self.is_listed(process) and self.confirmed.duration_after(since_s) >= LAPSE_S

    def _record_of(self, process: RunnerProcess) -> RunnerRecord | None:
        record = self.by_id.get(process.runner_id)
        return record if record is not None and process_of(record.listed) == process else None

    def _drop(self, record: RunnerRecord) -> None:
        self.quarantine.note_runner_gone(record.listed)
        self._count(record.listed, -1)
        del self.by_id[record.listed.runner_id]
        self._by_service(record.listed.service).pop(record.listed.runner_id, None)

    def _count(self, runner: ServiceRunner, change: int) -> None:
        self._num_with_birth += change * bool(runner.born_ms)
        versions = self._num_by_version.setdefault(runner.service, Counter())
        versions[runner.software_version] += change
        if not versions[runner.software_version]:
            del versions[runner.software_version]

    @property
    def are_births_listed(self) -> bool:
        """Whether any entry names when its runner started."""
        return self._num_with_birth > 0

    def sole_version(self, service: str) -> str:
        """Software version of all runners of a service; empty: there are several, or none known."""
        versions = self._num_by_version.get(service, ())
        return next(iter(versions)) if len(versions) == 1 else ""

    def entry_of(self, runner_id: str) -> ServiceRunner | None:
        """Entry of a runner; ``None``: it is not listed."""
        record = self.by_id.get(runner_id)
        return record.listed if record is not None else None

    def count(self, view: ObservedState) -> int:
        """Count the runners in a state."""
        return sum(1 for record in self.by_id.values() if record.observed_state is view)

    def eligible(
        self,
        service: str,
        now_s: float,
        regions: Collection[str] | None,
        software_version: str = "",
    ) -> list[RunnerRecord]:
        """Eligible runners of a service, else its last resorts; see ``eligible_runners``.

        Args:
            service: name of the service.
            now_s: loop time; runners that are no longer a last resort are removed.
            regions: where the request may run; ``None``: anywhere.
            software_version: of a stream that the request continues; empty: a new request.

        """
        records = self._by_service(service)
        for record in list(records.values()):
            if record.has_left(now_s):
                self._drop(record)
        candidates: Collection[RunnerRecord] = records.values()
        if software_version:
            candidates = [
                record
                for record in records.values()
                if may_continue_stream(record.listed, software_version)
            ]
        return eligible_runners(candidates, self.filter, regions)

    def has_no_eligible_runner(self, service: str, regions: Collection[str] | None) -> bool:
        """Whether a service has ready runners, but all of them where the request may not run."""
        return are_all_excluded(self._by_service(service).values(), self.filter, regions)

    def _by_service(self, service: str) -> dict[str, RunnerRecord]:
        return self.by_service.setdefault(service, {})
