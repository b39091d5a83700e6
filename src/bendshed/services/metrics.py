"""What a node counts of the requests that it forwards (prometheus_client)."""

from enum import StrEnum

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)


class ServedOutcome(StrEnum):
    """How a request ended that was not refused."""

    ANSWERED = "answered"
    BROKEN_OFF = "broken_off"


class AttemptResult(StrEnum):
    """How one attempt at a runner ended."""

    ANSWERED = "answered"
    NO_ANSWER = "no_answer"
    NOT_RUN = "not_run"
    UNREACHABLE = "unreachable"


class QuotaResult(StrEnum):
    """How a request that is no turn was admitted, or not."""

    BY_ALLOWANCE = "by_allowance"
    BY_REQUEST = "asked_for"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


class PermitResult(StrEnum):
    """What became of a request for a permit for a cold runner."""

    PERMITTED = "permitted"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


CALLER_LEFT = "caller_left"
NO_ROUTE = "none"
"""Label of requests that no route takes."""


class ServiceMetrics:
    """Counters and histograms of one process.

    Every label has a closed set of values: kinds of routes, ends, and error kinds.

    Attributes:
        requests: by route kind and outcome (an end, or the kind of a refusal).
        request_s: from arrival to the end, in seconds.
        attempts: attempts at runners by how they ended.
        quota_calls: requests of limited tenants that are no turns, by how they were admitted.
        permit_requests: requests without a warm runner, by the answer of the turn log's leader.
        turn_begin_s, turn_end_s: time that a turn waited for the turn log, in seconds.
        first_event_s: from a turn's arrival to its first event, in seconds.

    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.registry = registry
        self.requests = Counter(
            "bendshed_requests",
            "Requests by route kind and outcome",
            ["route_kind", "outcome"],
            registry=registry,
        )
        self.request_s = self._histogram(
            "bendshed_request_seconds", "Time from arrival to the end", ["route_kind"]
        )
        self.attempts = Counter(
            "bendshed_attempts", "Sendings to runners by end", ["end"], registry=registry
        )
        self.quota_calls = Counter(
            "bendshed_quota_calls",
            "Calls of limited tenants by decision",
            ["end"],
            registry=registry,
        )
        self.permit_requests = Counter(
            "bendshed_cold_asks",
            "Requests without a warm runner by decision",
            ["end"],
            registry=registry,
        )
        self.turn_begin_s = self._histogram(
            "bendshed_turn_begin_seconds", "Time until a turn may be sent", ["previewed"]
        )
        self.turn_end_s = self._histogram(
            "bendshed_turn_end_seconds", "Time until a turn's end is committed", []
        )
        self.first_event_s = self._histogram(
            "bendshed_turn_first_event_seconds", "Time from arrival to the first event", []
        )

    def _histogram(self, name: str, text: str, labels: list[str]) -> Histogram:
        return Histogram(name, text, labels, registry=self.registry, buckets=LATENCY_BUCKETS_S)

    def gauge(self, name: str, text: str) -> Gauge:
        """Add a gauge; its owner sets it or gives it a function."""
        return Gauge(name, text, registry=self.registry)

    def labelled_gauge(self, name: str, text: str, label: str) -> Gauge:
        """Add a gauge with one label."""
        return Gauge(name, text, [label], registry=self.registry)
