"""The median, without importing ``statistics``, which would slow down the start for this alone."""

from collections.abc import Iterable


def median(values: Iterable[float]) -> float:
    """Return the median, the mean of the two middle values for an even number, or 0 for none."""
    ranked = sorted(values)
    if not ranked:
        return 0.0
    middle = len(ranked) // 2
    if len(ranked) % 2:
        return ranked[middle]
    return (ranked[middle - 1] + ranked[middle]) / 2
