"""Fits a line to each figure over the number of nodes, and draws it."""

from dataclasses import dataclass
from pathlib import Path
from statistics import linear_regression

from bendshed.rehearsal.scale.run import SizeResult

TARGET_NODES = 350
FIGURES = (
    "cpu_share",
    "cpu_share_real",
    "bytes_per_s",
    "messages_per_s",
    "memory_mb_hollow",
    "memory_mb_real",
    "death_known_all_s",
)


@dataclass(frozen=True, slots=True)
class Slope:
    """``figure = intercept + slope * nodes``.

    Attributes:
        max_residual: largest distance of a measured value from the line.
        at_target: value of the line at ``TARGET_NODES``; an extrapolation unless measured there.

    """

    figure: str
    intercept: float
    slope: float
    max_residual: float
    sizes: list[int]
    at_target: float


def fit_slopes(results: list[SizeResult]) -> list[Slope]:
    """One line per figure; fewer than two sizes give none."""
    if len(results) < 2:
        return []
    sizes = [result.nodes for result in results]
    slopes = []
    for figure in FIGURES:
        values = [float(getattr(result, figure)) for result in results]
        line = linear_regression(sizes, values)
        fitted = [line.intercept + line.slope * size for size in sizes]
        residual = max(abs(a - b) for a, b in zip(values, fitted, strict=True))
        at_target = line.intercept + line.slope * TARGET_NODES
        slopes.append(
            Slope(figure, line.intercept, line.slope, residual, sizes, round(at_target, 5))
        )
    return slopes


def draw_plots(results: list[SizeResult], slopes: list[Slope], folder: Path) -> None:
    """Write one PNG per slope (matplotlib, a development dependency)."""
    from matplotlib.figure import Figure

    folder.mkdir(parents=True, exist_ok=True)
    sizes = [result.nodes for result in results]
    for slope in slopes:
        picture = Figure(figsize=(5, 3), layout="constrained")
        axes = picture.subplots()
        axes.plot(sizes, [getattr(result, slope.figure) for result in results], "o")
        ends = [0, TARGET_NODES]
        axes.plot(ends, [slope.intercept + slope.slope * end for end in ends], "-")
        axes.set_xlabel("nodes")
        axes.set_ylabel(slope.figure)
        picture.savefig(folder / f"{slope.figure}.png", dpi=80)
