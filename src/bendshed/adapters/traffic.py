"""Bytes by kind of message and by what lies between, for the metrics page."""

from collections import Counter
from collections.abc import Callable, Iterator

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, Metric
from prometheus_client.registry import Collector

from bendshed.model.places import Distance

UNKNOWN_DISTANCE = "not_told"
"""The zone of the other side was not known when it was written to."""


class TrafficCounter(Collector):
    """Counts what an adapter writes; the page reads the sums when it is scraped.

    Attributes:
        distance: from this process to a host; ``None``: unknown.
        num_bytes: by kind of message and distance, since start.

    """

    def __init__(self, name: str, help_text: str) -> None:
        self._name = name
        self._help_text = help_text
        self.distance: Callable[[str], Distance | None] = lambda _host: None
        self.num_bytes: Counter[tuple[str, str]] = Counter()

    def record(self, message: str, host: str, num_bytes: int) -> None:
        """Bytes went to a host, or came from it."""
        kind = self.distance(host)
        self.num_bytes[message, kind.value if kind is not None else UNKNOWN_DISTANCE] += num_bytes

    def add_to(self, registry: CollectorRegistry) -> None:
        """Show the counts on a metrics page."""
        registry.register(self)

    def collect(self) -> Iterator[Metric]:
        """The current counts."""
        family = CounterMetricFamily(self._name, self._help_text, labels=["message", "distance"])
        for (message, distance), num_bytes in sorted(self.num_bytes.items()):
            family.add_metric([message, distance], num_bytes)
        yield family
