"""Tracks which runners are cold in one process, with a clock and log messages."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from bendshed.logs import PartLog
from bendshed.model.runner import ServiceRunner
from bendshed.model.service_document import ServiceDocument
from bendshed.placement.cold_runners import ColdRunners
from bendshed.placement.runner_record import RunnerRecord

log = PartLog("cold")


def _zero_clock() -> float:
    """Default until the process sets its clock; no time passes before that."""
    return 0.0


@dataclass(slots=True)
class ColdRunnerTracker:
    """Tracks which runners are cold, from runner list entries and reopened zones.

    Attributes:
        clock: monotonic time of the event loop, in seconds.

    """

    clock: Callable[[], float] = _zero_clock
    _state: ColdRunners = field(default_factory=ColdRunners)

    # --- updates ---------------------------------------------------------------------------

    def apply_document(self, document: ServiceDocument) -> None:
        """Use the rate limits and cold start times of the configuration in force."""
        self._state.services = document.services

    def note_listed(self, runner: ServiceRunner) -> None:
        """Record a runner's entry that is new or has changed."""
        self._update(runner, self._state.note_listed, "runner list entry")

    def note_persisted(self, runner: ServiceRunner) -> None:
        """Record a runner's entry that was persisted before the process restarted."""
        self._update(runner, self._state.note_persisted, "persisted, age unknown")

    def note_confirmed(self, runner: ServiceRunner) -> None:
        """Record that a runner's entry was received again unchanged."""
        self._update(runner, self._state.note_confirmed, "runner list entry")

    def _update(
        self,
        runner: ServiceRunner,
        note: Callable[[ServiceRunner, float], float],
        reason: str,
    ) -> None:
        was_cold = self.is_cold(runner.runner_id)
        left_s = note(runner, self.clock())
        if left_s > 0 and not was_cold:
            self._log_cold(runner.runner_id, left_s, reason)

    def note_removed(self, runner_id: str) -> None:
        """Record that a runner is no longer listed."""
        self._state.note_vanished(runner_id)

    def note_zone_reopened(self, zone: str, at_s: float) -> None:
        """Record that a zone was reopened, at a time of ``clock`` in seconds."""
        for runner_id in self._state.note_reopened(zone, at_s):
            left_s = self._state.cold_left_ms(runner_id, self.clock()) / 1000
            self._log_cold(runner_id, left_s, "zone reopened")

    def _log_cold(self, runner_id: str, left_s: float, reason: str) -> None:
        rate = self._state.rate_of(runner_id)
        if rate > 0:
            log.say("runner is cold", runner=runner_id, for_s=left_s, reason=reason, rate=rate)

    # --- look-ups --------------------------------------------------------------------------

    @property
    def has_cold(self) -> bool:
        """Whether any runner may be cold; a cheap check for the usual case of none."""
        return bool(self._state.cold_until_s)

    def is_cold(self, runner_id: str) -> bool:
        """Whether a runner is cold, so that its request rate is limited."""
        if not self.has_cold:
            return False
        now_s = self.clock()
        for warm_id in self._state.pop_warm(now_s):
            if self._state.rate_of(warm_id) > 0:
                log.say("runner is warm again", runner=warm_id)
        return self._state.is_cold(runner_id, now_s)

    def filter_warm(self, records: Sequence[RunnerRecord]) -> Sequence[RunnerRecord]:
        """Return the runners that need no permit because they are not cold."""
        if not self.has_cold:
            return records
        return [record for record in records if not self.is_cold(record.listed.runner_id)]

    def rate_of(self, runner_id: str) -> float:
        """Requests per second that a runner serves while it is cold; 0: no limit."""
        return self._state.rate_of(runner_id)

    def left_ms(self, runner_id: str) -> int:
        """Time until a runner is warm, in milliseconds; 0: warm, as far as known."""
        return self._state.cold_left_ms(runner_id, self.clock())

    @property
    def num_cold(self) -> int:
        """Number of listed cold runners of services that limit the rate of cold runners."""
        return self._state.num_cold(self.clock()) if self.has_cold else 0
