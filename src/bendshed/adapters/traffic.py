"""Counts bytes by kind of message and by distance, for the metrics endpoint."""

from collections import Counter
from collections.abc import Callable, Iterator

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, Metric
from prometheus_client.registry import Collector

from bendshed.model.places import Distance

UNKNOWN_DISTANCE = "not_told"
"""The zone of the peer was not known when the bytes were transferred."""


class TrafficCounter(Collector):
    """Counts an adapter's bytes; the totals are collected at each scrape.

    Attributes:
        distance: distance from this process to a host; ``None`` if unknown.
        num_bytes: bytes by kind of message and distance, since start.

    """

    def __init__(self, name: str, help_text: str) -> None:
        self._name = name
        self._help_text = help_text
        self.distance: Callable[[str], Distance | None] = lambda _host: None
        self.num_bytes: Counter[tuple[str, str]] = Counter()

    def record(self, message: str, host: str, num_bytes: int) -> None:
        """Count bytes sent to a host or received from it."""
        kind = self.distance(host)
        self.num_bytes[message, kind.value if kind is not None else UNKNOWN_DISTANCE] += num_bytes

    def add_to(self, registry: CollectorRegistry) -> None:
        """Register the counts for export."""
        registry.register(self)

    def collect(self) -> Iterator[Metric]:
        """Yield the current counts."""
        family = CounterMetricFamily(self._name, self._help_text, labels=["message", "distance"])
        for (message, distance), num_bytes in sorted(self.num_bytes.items()):
            family.add_metric([message, distance], num_bytes)
        yield family
