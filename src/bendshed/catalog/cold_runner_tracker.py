"""Cold runners as one process knows them: the state, its clock and its log lines."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from bendshed.logs import PartLog
from bendshed.model.runner import ServiceRunner
from bendshed.model.service_document import ServiceDocument
from bendshed.placement.cold_runners import ColdRunners
from bendshed.placement.runner_record import RunnerRecord

log = PartLog("cold")


def _zero_clock() -> float:
    """Stands in until the process sets its clock; nothing ages before."""
    return 0.0


@dataclass(slots=True)
class ColdRunnerTracker:
    """Keeps which runners are cold, from the entries of the list and from openings of zones.

    Attributes:
        clock: steady time in seconds, of the event loop.

    """

    clock: Callable[[], float] = _zero_clock
    _state: ColdRunners = field(default_factory=ColdRunners)

    # --- updates ---------------------------------------------------------------------------

    def apply_document(self, document: ServiceDocument) -> None:
        """Take the bounds and times of cold starts from a configuration that is in force."""
        self._state.services = document.services

    def note_listed(self, runner: ServiceRunner) -> None:
        """A runner's entry is new or has changed."""
        self._update(runner, self._state.note_listed, "its entry")

    def note_persisted(self, runner: ServiceRunner) -> None:
        """Take a runner's entry that an earlier incarnation persisted."""
        self._update(runner, self._state.note_persisted, "kept, and of unknown age")

    def note_confirmed(self, runner: ServiceRunner) -> None:
        """A runner's entry was received again, unchanged."""
        self._update(runner, self._state.note_confirmed, "its entry")

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
        """A runner is not listed any more."""
        self._state.note_vanished(runner_id)

    def note_zone_reopened(self, zone: str, at_s: float) -> None:
        """A zone was opened again, at a time of ``clock``."""
        for runner_id in self._state.note_reopened(zone, at_s):
            left_s = self._state.cold_left_ms(runner_id, self.clock()) / 1000
            self._log_cold(runner_id, left_s, "its zone was opened again")

    def _log_cold(self, runner_id: str, left_s: float, reason: str) -> None:
        rate = self._state.rate_of(runner_id)
        if rate > 0:
            log.say("runner is cold", runner=runner_id, for_s=left_s, reason=reason, rate=rate)

    # --- look-ups --------------------------------------------------------------------------

    @property
    def has_cold(self) -> bool:
        """Whether any runner may be cold; checked first, since usually none is."""
        return bool(self._state.cold_until_s)

    def is_cold(self, runner_id: str) -> bool:
        """Whether a runner's rate is bounded now."""
        if not self.has_cold:
            return False
        now_s = self.clock()
        for warm_id in self._state.pop_warm(now_s):
            if self._state.rate_of(warm_id) > 0:
                log.say("runner is warm again", runner=warm_id)
        return self._state.is_cold(runner_id, now_s)

    def filter_warm(self, records: Sequence[RunnerRecord]) -> Sequence[RunnerRecord]:
        """The runners that get work without a permit."""
        if not self.has_cold:
            return records
        return [record for record in records if not self.is_cold(record.listed.runner_id)]

    def rate_of(self, runner_id: str) -> float:
        """Requests a second that a runner serves while it is cold; 0: no bound."""
        return self._state.rate_of(runner_id)

    def left_ms(self, runner_id: str) -> int:
        """Time for which a runner is still cold, in milliseconds; 0: warm, as far as known."""
        return self._state.cold_left_ms(runner_id, self.clock())

    @property
    def num_cold(self) -> int:
        """Cold runners that are listed, of services with a bound."""
        return self._state.num_cold(self.clock()) if self.has_cold else 0
