"""What the catalog needs of a process's metrics."""

from typing import Protocol

from prometheus_client import Gauge


class LabelledGaugeFactory(Protocol):
    """Creates gauges among the metrics of a process."""

    def labelled_gauge(self, name: str, text: str, label: str) -> Gauge:
        """Add a gauge with one label."""
