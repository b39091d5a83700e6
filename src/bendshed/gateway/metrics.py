"""Metrics of one node in the Prometheus exposition format (prometheus_client)."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.42, 0.75, 1.5, 3, 6, 12, 30, 60, 120)


class Metrics:
    """The node's metrics registry and the metrics of its gateway.

    Attributes:
        calls: calls by outcome (``answered`` or an error kind).
        first_event_s: seconds from the request's arrival to its first event.
        call_s: seconds from the request's arrival to its outcome.
        streamed_bytes: bytes forwarded to callers.

    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.calls = Counter(
            "bendshed_calls", "Calls by outcome", ["outcome"], registry=self.registry
        )
        self.first_event_s = Histogram(
            "bendshed_first_event_seconds",
            "Time to the first event",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.call_s = Histogram(
            "bendshed_call_seconds",
            "Time to the outcome",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.streamed_bytes = Counter(
            "bendshed_streamed_bytes", "Bytes forwarded to callers", registry=self.registry
        )
        self.members = Gauge("bendshed_members", "Live members", registry=self.registry)
        self.led_groups = Gauge("bendshed_led_groups", "Groups led here", registry=self.registry)
        self.revision = Gauge(
            "bendshed_configuration_revision", "Configuration in force", registry=self.registry
        )
        self.waiting = Gauge(
            "bendshed_waiting_calls", "Calls waiting for a runner here", registry=self.registry
        )

    def exposition(self) -> bytes:
        """Return the response body of ``GET /metrics``."""
        return generate_latest(self.registry)
