"""What a replica of the turn log counts (prometheus_client)."""

from enum import StrEnum

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

COMMIT_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0)


class CommandOutcome(StrEnum):
    """How a command ended here."""

    COMMITTED = "committed"
    NOT_LEADER = "not_leader"
    UNKNOWN = "unknown"
    """Not seen to commit in time."""


class PermitOutcome(StrEnum):
    """What became of a permit request for a cold runner."""

    GRANTED = "granted"
    REFUSED = "refused"


class TurnLogMetrics:
    """Counters and histograms of one replica.

    Attributes:
        commands: commands by how they ended.
        cold_permits: permit requests for cold runners decided here, by decision.
        commit_s: from a command's arrival at the leader to its being applied, in seconds.

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
        """Add a gauge; its owner gives it a function."""
        return Gauge(name, text, registry=self.registry)

    def labelled_gauge(self, name: str, text: str, label: str) -> Gauge:
        """Add a gauge with one label; its owner gives each value a function."""
        return Gauge(name, text, [label], registry=self.registry)
