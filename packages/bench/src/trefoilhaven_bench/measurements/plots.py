"""Plots of measured tables."""

from collections.abc import Sequence
from pathlib import Path
from typing import Final

import matplotlib as mpl
from matplotlib import pyplot as plt

from trefoilhaven_bench.measurements.tables import Table

_SIZE_INCHES: Final = (9, 4.5)


def plot_bars(
    table: Table,
    labels: Sequence[str],
    column: str,
    directory: Path,
) -> Path:
    """Write a bar for each row; ``labels`` are the columns that name it."""
    mpl.use('Agg')
    names = [
        '\n'.join(str(row[table.columns.index(label)]) for label in labels)
        for row in table.rows
    ]
    heights = [row[table.columns.index(column)] for row in table.rows]
    figure, axes = plt.subplots(figsize=_SIZE_INCHES)
    bars = axes.bar(range(len(heights)), heights)
    axes.bar_label(bars, fmt='{:.3g}', fontsize=7)
    axes.set_xticks(range(len(names)), names, fontsize=6)
    axes.set_ylabel(column.replace('_', ' '))
    axes.set_title(table.title, fontsize=10)
    figure.tight_layout()
    path = directory / f'{table.name}-{column}.svg'
    figure.savefig(path)
    plt.close(figure)
    return path
