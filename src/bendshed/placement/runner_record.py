"""What one node records about a runner: its list entry and the node's observations. Pure."""

from dataclasses import dataclass, field
from enum import StrEnum

from bendshed.model.runner import ReportedBirth, ServiceRunner
from bendshed.placement.runner_health import RunnerHealth

FAILURES_TO_AVOID = 2
"""Consecutive broken answers after which a runner is avoided: one may be the request's fault."""
AVOID_S = 2.0
"""Time, in seconds, for which a broken or unreachable runner gets work only if no other can take
it."""
FULL_AVOID_S = 0.15
"""The same for a runner that rejected a request without running it, since it was full. Shorter than
a turn (0.25 s), so a slot may be free again."""
DOUBT_S = 4.0
"""Time, in seconds, that covers a heartbeat of the runner and the list's way."""
NEWEST_WORK_TIME_WEIGHT = 0.1
"""Weight of the newest request in a route's typical time: a change shows after about 10
requests."""


class ObservedState(StrEnum):
    """A runner's state as observed by this node."""

    READY = "ready"
    DRAINING = "draining"
    UNLISTED = "unlisted"
    """The runner is not listed, and is a last resort."""


@dataclass(slots=True)
class RunnerRecord:
    """A runner and this node's observations of it.

    Attributes:
        listed: its list entry.
        in_flight: requests of this node that run there.
        failures: consecutive failures: broken answers, and connections that could not be opened.
        avoid_until_s: loop time until which it gets work only if no other can take it.
        last_resort_until_s: loop time until which it is a last resort although it is not listed any
            more; ``None``: it is listed.
        doubted_until_s: loop time until which streams that may be resumed avoid it, since another
            process than the one that wrote its entry reported; ``None``: none has.
        no_report_until_s: loop time until which its reports are not requested, since one was not
            answered.
        health: work times observed by this node, in units of each route's typical one.
        answered_s: loop time of the dispatch of the newest request that the process which wrote the
            entry is known to have answered.

    """

    listed: ServiceRunner
    in_flight: int = 0
    health: RunnerHealth = field(default_factory=RunnerHealth)
    failures: int = 0
    avoid_until_s: float = 0.0
    last_resort_until_s: float | None = None
    doubted_until_s: float | None = None
    no_report_until_s: float = 0.0
    answered_s: float = 0.0

    @property
    def observed_state(self) -> ObservedState:
        """State of the runner as observed by this node."""
        if not self.is_listed:
            return ObservedState.UNLISTED
        return ObservedState(self.listed.state.value)

    @property
    def is_listed(self) -> bool:
        """Whether the runner's entry is listed."""
        return self.last_resort_until_s is None

    def has_left(self, now_s: float) -> bool:
        """Whether the runner is not listed, and no last resort any more."""
        return self.last_resort_until_s is not None and now_s >= self.last_resort_until_s

    def is_avoided(self, now_s: float) -> bool:
        """Whether the runner was full, broken or unreachable recently."""
        return now_s < self.avoid_until_s

    def doubt_entry(self, now_s: float) -> None:
        """Record that another process than the one that wrote the entry reported.

        Its own entry is due within a heartbeat. A runner whose entry and reports never agree is
        used again after ``DOUBT_S``; its streams are not resumed.
        """
        if self.doubted_until_s is None:
            self.doubted_until_s = now_s + DOUBT_S

    def is_doubted(self, now_s: float) -> bool:
        """Whether its entry is expected to be replaced soon."""
        return self.doubted_until_s is not None and now_s < self.doubted_until_s

    def note_answer(self, reported: ReportedBirth, sent_s: float) -> None:
        """Record that a process answered a request that was sent at ``sent_s`` (loop time).

        Where the entry names a birth, the process behind the connection must have reported it.
        """
        if not self.listed.born_ms or reported.born_ms == self.listed.born_ms:
            self.answered_s = max(self.answered_s, sent_s)

    def note_success(self) -> None:
        """Record a complete answer."""
        self.failures = 0

    def note_broken(self, now_s: float) -> None:
        """Record an answer that broke off or never began."""
        self.failures += 1
        if self.failures >= FAILURES_TO_AVOID:
            self.avoid(now_s, "answers broke")

    def note_unreachable(self, now_s: float) -> None:
        """Record that no connection could be opened."""
        self.failures += 1
        self.avoid(now_s, "unreachable")

    def note_full(self, now_s: float) -> None:
        """Record that the runner was full and rejected a request without running it."""
        self.avoid_until_s = max(self.avoid_until_s, now_s + FULL_AVOID_S)

    def avoid(self, now_s: float, reason: str) -> None:
        """Avoid the runner for ``AVOID_S``; ``reason`` is for subclasses that log it."""
        self.avoid_until_s = now_s + AVOID_S


@dataclass(slots=True)
class WorkTimes:
    """Typical duration of each route's requests, so that routes can be compared."""

    _typical_s: dict[str, float] = field(default_factory=dict)

    def relative_time(self, route: str, took_s: float) -> float:
        """Duration of a request in units of its route's typical one, which this call updates."""
        typical_s = self._typical_s.get(route, took_s)
        self._typical_s[route] = typical_s + NEWEST_WORK_TIME_WEIGHT * (took_s - typical_s)
        return took_s / typical_s if typical_s else 1.0
