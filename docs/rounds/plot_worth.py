"""Plots the mean worth over the days with trouble, score by score, from the journal.

Usage: ``python docs/rounds/plot_worth.py journal docs/rounds/worth.png`` (needs matplotlib, a
development dependency).
"""

import json
import sys
from collections import defaultdict
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

QUIET = "quiet"


def read_scores(journal: Path) -> dict[str, list[tuple[str, str, float, float]]]:
    """Per site, in order of time: entry, commit, mean worth of the days with trouble, the least."""
    scores = defaultdict(list)
    for path in sorted(journal.glob("*.json")):
        entry = json.loads(path.read_text())
        if entry.get("cmd") != "score" or not entry.get("days") or not entry.get("score"):
            continue
        standard = [day for day in entry["days"] if not day["name"].startswith("fresh")]
        worth = [day["G"] for day in standard if day["slot"] != QUIET and not day["small_twin"]]
        if worth:
            row = (entry["id"], entry["head"][:7], sum(worth) / len(worth), min(worth))
            scores[entry["site"]].append(row)
    return scores


def plot(scores: dict[str, list[tuple[str, str, float, float]]], target: Path) -> None:
    """Draw a line a site: the mean, and the weakest day below it."""
    figure, axes = pyplot.subplots(figsize=(10, 5))
    for site, rows in sorted(scores.items()):
        places = range(len(rows))
        (line,) = axes.plot(places, [row[2] for row in rows], marker="o", label=site)
        axes.plot(places, [row[3] for row in rows], linestyle=":", color=line.get_color())
    axes.set_xlabel("scores in order of time (dotted: the weakest day)")
    axes.set_ylabel("worth, mean of the days with trouble")
    axes.legend()
    axes.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(target)


def main() -> None:
    """Print the rows and draw them."""
    journal, target = Path(sys.argv[1]), Path(sys.argv[2])
    scores = read_scores(journal)
    for site, rows in sorted(scores.items()):
        for entry, commit, mean, least in rows:
            print(f"{site:22} {entry} {commit} mean {mean:.3f} least {least:.3f}")
    plot(scores, target)


if __name__ == "__main__":
    main()
