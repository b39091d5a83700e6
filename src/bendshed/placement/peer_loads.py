"""Tracks the load that leaders of other groups placed at runners, from their reports. Pure."""

from collections.abc import Iterable
from dataclasses import dataclass, field

REPORT_VALID_S = 1.5
"""Age, in seconds, from which on a report is ignored: six missed reports. That is also about six
turn lengths, so the turns that it counted have ended."""
MAX_REPORTED_TURNS = 64
"""Most turns at one runner that one leader's report can count for; bounds the harm of a wrong
report. No runner has as many slots."""


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """Running turns at one runner, and the tokens of their prompts and longest answers."""

    num_running: int
    num_tokens: int


NO_LOAD = LoadSummary(0, 0)


@dataclass(slots=True)
class _Report:
    """A leader's latest report, with the sender's time and the steady time of its arrival."""

    at_ms: int
    received_s: float
    loads: dict[str, LoadSummary]


@dataclass(slots=True)
class PeerLoads:
    """The latest report of each other leader."""

    _reports: dict[str, _Report] = field(default_factory=dict)

    def apply_report(
        self, sender: str, at_ms: int, loads: Iterable[tuple[str, LoadSummary]], now_s: float
    ) -> None:
        """Apply a leader's report, which replaces its previous one; an older one is ignored.

        Args:
            sender: one incarnation of a leader.
            at_ms: time of the report on the sender's clock.
            loads: load by runner.
            now_s: steady time.

        """
        known = self._reports.get(sender)
        if known is not None and at_ms <= known.at_ms:
            return
        bounded = {
            runner: LoadSummary(min(load.num_running, MAX_REPORTED_TURNS), load.num_tokens)
            for runner, load in loads
        }
        self._reports[sender] = _Report(at_ms, now_s, bounded)

    def load_of(self, runner_id: str, now_s: float) -> LoadSummary:
        """Load of all other leaders at a runner; drops expired reports."""
        if not self._reports:
            return NO_LOAD
        self._reports = {
            sender: report
            for sender, report in self._reports.items()
            if now_s - report.received_s < REPORT_VALID_S
        }
        found = [report.loads.get(runner_id, NO_LOAD) for report in self._reports.values()]
        num_running = sum(load.num_running for load in found)
        return LoadSummary(num_running, sum(load.num_tokens for load in found))
