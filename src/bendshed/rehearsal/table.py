"""Prints rows of cells as a table, right-aligned."""

from collections.abc import Iterable, Sequence


def print_rows(rows: Iterable[Sequence[object]], width: int) -> None:
    """Print each row on a line; every cell takes at least ``width`` characters."""
    for row in rows:
        print("  ".join(f"{cell!s:>{width}}" for cell in row))
