"""Prometheus metrics of a turn log replica."""

from enum import StrEnum

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

COMMIT_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0)


class CommandOutcome(StrEnum):
    """Outcome of a command at this replica."""

    COMMITTED = "committed"
    NOT_LEADER = "not_leader"
    UNKNOWN = "unknown"
    """Not known to be committed within the time limit."""


class PermitOutcome(StrEnum):
    """Decision on a permit request for a cold runner."""

    GRANTED = "granted"
    REFUSED = "refused"


class TurnLogMetrics:
    """Counters and histograms of one replica.

    Attributes:
        commands: commands by outcome.
        cold_permits: permit requests for cold runners decided here, by decision.
        commit_s: time from a command's arrival at the leader until it is applied, in seconds.

    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.registry = registry
        self.commands = Counter(
            "bendshed_turn_commands", "Commands by end", ["end"], registry=registry
        )
        self.cold_permits = Counter(
            "bendshed_cold_permits",
            "Sendings to cold runners by decision",
            ["end"],
            registry=registry,
        )
        self.commit_s = Histogram(
            "bendshed_turn_commit_seconds",
            "Time to commit and apply a command",
            registry=registry,
            buckets=COMMIT_BUCKETS_S,
        )

    def gauge(self, name: str, text: str) -> Gauge:
        """Add a gauge; the caller sets its function."""
        return Gauge(name, text, registry=self.registry)

    def labelled_gauge(self, name: str, text: str, label: str) -> Gauge:
        """Add a gauge with one label; the caller sets a function for each label value."""
        return Gauge(name, text, [label], registry=self.registry)
