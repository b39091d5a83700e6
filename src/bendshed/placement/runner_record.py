"""What one node knows of a runner: its entry of the list and this node's experience. Pure."""

from dataclasses import dataclass, field
from enum import StrEnum

from bendshed.model.runner import ServiceRunner
from bendshed.placement.runner_health import RunnerHealth

FAILURES_TO_AVOID = 2
"""Broken answers in a row after which a runner is avoided: one may be the request's fault."""
AVOID_S = 2.0
"""Time, in seconds, for which a broken or unreachable runner gets work only if no other can take
it. Chosen, not measured."""
FULL_AVOID_S = 0.15
"""The same for a runner that rejected a request unrun, since it was full: shorter than a turn
(0.25 s), so a slot may be free again. Chosen, not measured."""
NEWEST_WORK_TIME_WEIGHT = 0.1
"""Weight of the newest request in a route's typical time: about 10 requests show a change."""


class ObservedState(StrEnum):
    """A runner's state, as this node sees it."""

    READY = "ready"
    DRAINING = "draining"
    UNLISTED = "unlisted"
    """It vanished from an untrusted list."""


@dataclass(slots=True)
class RunnerRecord:
    """A runner and what this node knows of it.

    Attributes:
        listed: its entry of the list.
        in_flight: requests of this node that run there.
        failures: broken answers in a row.
        avoid_until_s: loop time until which it gets work only if no other can take it.
        unlisted_at_s: loop time at which it vanished from an untrusted list; ``None``: listed.
        health: its work times as this node saw them, in units of each route's typical one.

    """

    listed: ServiceRunner
    in_flight: int = 0
    health: RunnerHealth = field(default_factory=RunnerHealth)
    failures: int = 0
    avoid_until_s: float = 0.0
    unlisted_at_s: float | None = None

    @property
    def observed_state(self) -> ObservedState:
        """Its state, as this node sees it."""
        if self.unlisted_at_s is not None:
            return ObservedState.UNLISTED
        return ObservedState(self.listed.state.value)

    def is_avoided(self, now_s: float) -> bool:
        """Whether it was full, broken or unreachable lately."""
        return now_s < self.avoid_until_s

    def note_success(self) -> None:
        """A whole answer came."""
        self.failures = 0

    def note_broken(self, now_s: float) -> None:
        """No whole answer came."""
        self.failures += 1
        if self.failures >= FAILURES_TO_AVOID:
            self.avoid(now_s, "answers broke")

    def note_unreachable(self, now_s: float) -> None:
        """No connection came up."""
        self.failures += 1
        self.avoid(now_s, "unreachable")

    def note_full(self, now_s: float) -> None:
        """It rejected a request unrun."""
        self.avoid_until_s = max(self.avoid_until_s, now_s + FULL_AVOID_S)

    def avoid(self, now_s: float, reason: str) -> None:
        """Avoid it for ``AVOID_S``; the reason is for whoever logs it."""
        self.avoid_until_s = now_s + AVOID_S


@dataclass(slots=True)
class WorkTimes:
    """How long requests of each route typically take, so that routes can be compared."""

    _typical_s: dict[str, float] = field(default_factory=dict)

    def relative_time(self, route: str, took_s: float) -> float:
        """A request's time in units of its route's typical one, which it changes."""
        typical_s = self._typical_s.get(route, took_s)
        self._typical_s[route] = typical_s + NEWEST_WORK_TIME_WEIGHT * (took_s - typical_s)
        return took_s / typical_s if typical_s else 1.0
