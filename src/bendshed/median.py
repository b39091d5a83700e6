"""The median without the library's module of statistics, which a start would load for it alone."""

from collections.abc import Iterable


def median(values: Iterable[float]) -> float:
    """The middle of some values, or the mean of the two in the middle; 0: there are none."""
    ranked = sorted(values)
    if not ranked:
        return 0.0
    middle = len(ranked) // 2
    if len(ranked) % 2:
        return ranked[middle]
    return (ranked[middle - 1] + ranked[middle]) / 2
