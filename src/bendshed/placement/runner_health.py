"""Recent pace and failures of one runner, compared with the others of its service. Pure."""

from collections.abc import Iterable
from dataclasses import dataclass

from bendshed.median import median

NEWEST_PACE_WEIGHT = 0.4
"""Weight of the newest pace in a runner's mean: a change shows after two or three requests."""
HEALTH_HALF_LIFE_S = 1.5
"""Time, in seconds, in which slowness or failures lose half of their weight unless they are
observed again, so that a slow or failing runner gets work again and can show that it recovered."""
NEWEST_ATTEMPT_WEIGHT = 0.4
"""Weight of the newest attempt in a runner's share of failed attempts."""


@dataclass(slots=True)
class RunnerHealth:
    """Pace and failures of one runner, as observed by requests.

    A pace is time per unit of work; the owner of the record defines the unit.

    Attributes:
        pace: exponentially weighted mean; 0: unknown.
        pace_at_s: steady time of the latest report.
        failure_share: exponentially weighted share of attempts that failed.
        failure_at_s: steady time of the latest attempt's report.

    """

    pace: float = 0.0
    pace_at_s: float = 0.0
    failure_share: float = 0.0
    failure_at_s: float = 0.0

    def note_pace(self, pace: float, now_s: float) -> None:
        """Record the pace of a request that ended."""
        known_pace = self.pace or pace
        self.pace = known_pace + NEWEST_PACE_WEIGHT * (pace - known_pace)
        self.pace_at_s = now_s

    def note_attempt(self, failed: bool, now_s: float) -> None:
        """Record an attempt that ended."""
        previous = self.failure_share_now(now_s)
        self.failure_share = previous + NEWEST_ATTEMPT_WEIGHT * (float(failed) - previous)
        self.failure_at_s = now_s

    def failure_share_now(self, now_s: float) -> float:
        """Share of attempts that are expected to fail now."""
        if not self.failure_share:
            return 0.0
        return self.failure_share * _decay(now_s - self.failure_at_s)

    def slowness_now(self, pool_pace: float, now_s: float, threshold: float) -> float:
        """Factor by which work is expected to take longer than at the others; at least 1.

        Args:
            pool_pace: ``median_pace`` of the service's runners; 0: unknown.
            now_s: steady time.
            threshold: smaller ratios occur by chance and count as 1.

        """
        if not self.pace or not pool_pace:
            return 1.0
        ratio = self.pace / pool_pace
        if ratio < threshold:
            return 1.0
        return 1.0 + (ratio - 1.0) * _decay(now_s - self.pace_at_s)


def _decay(age_s: float) -> float:
    return float(0.5 ** (max(0.0, age_s) / HEALTH_HALF_LIFE_S))


def median_pace(healths: Iterable[RunnerHealth]) -> float:
    """Median over runners whose pace is known; 0: none is."""
    return median(health.pace for health in healths if health.pace)
