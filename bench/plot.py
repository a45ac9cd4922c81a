"""Plots the figures of ``build/bench.json`` that have targets."""

from __future__ import annotations

import json
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from .targets import TARGETS

SOURCE = Path("build/bench.json")
OUTPUT = Path("build/bench.png")


def draw(figures: dict[str, float], output: Path) -> None:
    """Plot each figure as a share of its target.

    :param figures: figures by key.
    :param output: path of the PNG file.
    """
    names = [name for name in TARGETS if name in figures]
    shares = [figures[name] / TARGETS[name].bound for name in names]
    colours = [
        "tab:green" if TARGETS[name].is_met(figures[name]) else "tab:red"
        for name in names
    ]
    figure, axes = pyplot.subplots(figsize=(10, 0.35 * len(names) + 1))
    axes.barh(names, shares, color=colours)
    axes.axvline(1.0, color="black", linewidth=1)
    axes.set_xlabel("figure / target")
    axes.invert_yaxis()
    figure.tight_layout()
    figure.savefig(output, dpi=100)


if __name__ == "__main__":
    draw(json.loads(SOURCE.read_text()), OUTPUT)
    print(OUTPUT)
