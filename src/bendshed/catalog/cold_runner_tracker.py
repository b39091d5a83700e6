"""Cold runners as one process knows them: the state, its clock and its log lines."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from bendshed.logs import PartLog
from bendshed.model.runner import ServiceRunner
from bendshed.model.service_document import ServiceDocument
from bendshed.placement.cold_runners import ColdRunners
from bendshed.placement.runner_record import RunnerRecord

log = PartLog("cold")


def _no_clock() -> float:
    """Nothing ages in what has no clock yet."""
    return 0.0


@dataclass(slots=True)
class ColdRunnerTracker:
    """Follows the list of runners.

    Attributes:
        clock: steady time in seconds; the loop's own.

    """

    clock: Callable[[], float] = _no_clock
    _state: ColdRunners = field(default_factory=ColdRunners)

    # --- what is told ----------------------------------------------------------------------

    def take_document(self, document: ServiceDocument) -> None:
        """A configuration is in force: bounds and times of cold starts."""
        self._state.services = document.services

    def put(self, runner: ServiceRunner) -> None:
        """A runner's entry is new or has changed."""
        self._note(runner, self._state.note_listed, "its entry")

    def put_kept(self, runner: ServiceRunner) -> None:
        """An earlier life kept this of a runner."""
        self._note(runner, self._state.note_kept, "kept, and of unknown age")

    def confirm(self, runner: ServiceRunner) -> None:
        """A runner's entry is told that is known already."""
        self._note(runner, self._state.note_confirmed, "its entry")

    def _note(
        self,
        runner: ServiceRunner,
        note: Callable[[ServiceRunner, float], float],
        reason: str,
    ) -> None:
        was_cold = self.is_cold(runner.runner_id)
        left_s = note(runner, self.clock())
        if left_s > 0 and not was_cold:
            self._say_cold(runner.runner_id, left_s, reason)

    def vanish(self, runner_id: str) -> None:
        """A runner is not listed any more."""
        self._state.note_vanished(runner_id)

    def reopen(self, zone: str, at_s: float) -> None:
        """A zone was opened again, at a time of the clock."""
        for runner_id in self._state.reopen(zone, at_s):
            left_s = self._state.left_ms(runner_id, self.clock()) / 1000
            self._say_cold(runner_id, left_s, "its zone was opened again")

    def _say_cold(self, runner_id: str, left_s: float, reason: str) -> None:
        rate = self._state.rate_of(runner_id)
        if rate > 0:
            log.say("a runner is cold", runner=runner_id, for_s=left_s, reason=reason, rate=rate)

    # --- what is asked ---------------------------------------------------------------------

    @property
    def has_cold(self) -> bool:
        """Whether any runner may be cold: the first question, since mostly none is."""
        return bool(self._state.cold)

    def is_cold(self, runner_id: str) -> bool:
        """Whether a runner gets a bounded rate now."""
        if not self.has_cold:
            return False
        now_s = self.clock()
        for warm in self._state.take_warm(now_s):
            if self._state.rate_of(warm) > 0:
                log.say("a runner is warm again", runner=warm)
        return self._state.is_cold(runner_id, now_s)

    def only_warm(self, records: Sequence[RunnerRecord]) -> Sequence[RunnerRecord]:
        """Those of some runners that get work without leave."""
        if not self.has_cold:
            return records
        return [record for record in records if not self.is_cold(record.listed.runner_id)]

    def rate_of(self, runner_id: str) -> float:
        """Requests a second that a runner bears while it is cold; 0: no bound."""
        return self._state.rate_of(runner_id)

    def left_ms(self, runner_id: str) -> int:
        """For how long a runner is still cold; 0: warm, as far as known."""
        return self._state.left_ms(runner_id, self.clock())

    @property
    def num_cold(self) -> int:
        """Cold runners that are listed, of services with a bound."""
        return self._state.num_cold(self.clock()) if self.has_cold else 0
