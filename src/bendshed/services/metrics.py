"""Prometheus metrics of the requests that a node forwards."""

from enum import StrEnum

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)


class ServedOutcome(StrEnum):
    """Outcome of a request that was not refused."""

    ANSWERED = "answered"
    BROKEN_OFF = "broken_off"


class AttemptResult(StrEnum):
    """Outcome of one attempt at a runner."""

    ANSWERED = "answered"
    NO_ANSWER = "no_answer"
    NOT_RUN = "not_run"
    UNREACHABLE = "unreachable"


class QuotaResult(StrEnum):
    """Outcome of the admission of a request that is not a turn."""

    BY_ALLOWANCE = "by_allowance"
    BY_REQUEST = "asked_for"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


class PermitResult(StrEnum):
    """Outcome of a request for a permit for a cold runner."""

    PERMITTED = "permitted"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


class ReportResult(StrEnum):
    """What the process behind a connection reported of its start."""

    LISTED = "listed"
    """It is the process that wrote the entry."""
    OTHER_PROCESS = "other_process"
    """The entry was written by another process under the same id."""
    WITHOUT_BIRTH = "without_birth"
    UNANSWERED = "unanswered"


CALLER_LEFT = "caller_left"
NO_ROUTE = "none"
"""Route kind of requests that match no route."""


class ServiceMetrics:
    """Counters and histograms of one process.

    Every label has a fixed set of values: route kinds, outcomes and error kinds.

    Attributes:
        requests: by route kind and outcome (``ServedOutcome``, ``CALLER_LEFT`` or an error kind).
        request_s: time from arrival to the end, in seconds.
        attempts: attempts at runners by outcome.
        quota_calls: requests of limited tenants that are not turns, by outcome of the admission.
        permit_requests: requests without a warm runner, by the answer of the turn log's leader.
        reports: reports of the processes behind new connections, by result.
        turn_begin_s, turn_end_s: time that a turn waited for the turn log, in seconds.
        first_event_s: time from a turn's arrival to its first event, in seconds.

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
        self.reports = Counter(
            "bendshed_runner_reports",
            "Reports of processes behind connections to runners",
            ["result"],
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
        """Add a gauge; the caller sets its value or a function that returns it."""
        return Gauge(name, text, registry=self.registry)

    def labelled_gauge(self, name: str, text: str, label: str) -> Gauge:
        """Add a gauge with one label."""
        return Gauge(name, text, [label], registry=self.registry)
