"""Load that leaders of other groups placed at runners, as they reported it. Pure."""

from collections.abc import Iterable
from dataclasses import dataclass, field

REPORT_VALID_S = 1.5
"""Age, in seconds, at which a report stops counting: six missed reports, and some six lengths of a
turn, so the turns that it counted have ended."""
MAX_REPORTED_TURNS = 64
"""Turns at one runner that one leader's report counts for at most; bounds the harm of a wrong
report. No runner has as many slots."""


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """Running turns at one runner, and the tokens of their prompts and longest answers."""

    num_running: int
    num_tokens: int


NO_LOAD = LoadSummary(0, 0)


@dataclass(slots=True)
class _Report:
    """A leader's latest report, with both its own time and the steady time of its arrival."""

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
        """Take a leader's report, which replaces its last one; an older one changes nothing.

        Args:
            sender: one incarnation of a leader.
            at_ms: of the sender's clock.
            loads: by runner.
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
        """Load of all other leaders at a runner; forgets reports that stopped counting."""
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
