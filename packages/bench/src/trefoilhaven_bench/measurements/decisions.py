"""Comparison of the decision code with its baselines in seeded runs."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from trefoilhaven_bench.measurements.tables import Table, table_of
from trefoilhaven_bench.models import queue_loads, queue_rows
from trefoilhaven_bench.models import comparisons

# Targets and slots of the four current services.
SERVICE_SIZES: Final = ((7, 2), (3, 2), (7, 3), (4, 3))

# Share of the capacity at which waits behind long work are compared.
STRAGGLER_LOAD: Final = 0.7


class LoadRow(NamedTuple):
    """One combination of queue and choice at one size of a service."""

    targets: int
    slots: int
    queue: str
    choice: str
    goodput: float
    refused: int
    refusal_p99_ms: float
    short_wait_p99_ms: float
    long_wait_p99_ms: float


def measure_routing(seeds: Iterable[int]) -> Table:
    """Compare broken flows and imbalance of flow routers."""
    rows = [row for seed in seeds for row in comparisons.compare_routers(seed)]
    return table_of(
        'routing',
        'Broken flows and imbalance, 7 targets, 4 balancers, 3,500 flows',
        rows,
    )


def measure_overload(seed: int) -> Table:
    """Compare goodput and refusals at 3 times the capacity."""
    return _measure_load(
        'crest',
        'Crest of 3 times the capacity, reached in 1 s',
        [
            (queue_loads.overload(seed, targets, slots), targets, slots)
            for targets, slots in SERVICE_SIZES
        ],
    )


def measure_stragglers(seed: int) -> Table:
    """Compare waits of short work with 5% of work 20 times as long."""
    return _measure_load(
        'stragglers',
        f'5% of work 20 times as long, load {STRAGGLER_LOAD:g}',
        [
            (
                queue_loads.stragglers(seed, targets, slots, STRAGGLER_LOAD),
                targets,
                slots,
            )
            for targets, slots in SERVICE_SIZES
        ],
    )


def _measure_load(
    name: str,
    title: str,
    cases: Iterable[tuple[queue_loads.Scenario, int, int]],
) -> Table:
    rows = [
        LoadRow(
            targets,
            slots,
            row.queue,
            row.choice,
            row.goodput,
            row.refused,
            row.refusal_p99_s * 1000,
            row.short_wait_p99_s * 1000,
            row.long_wait_p99_s * 1000,
        )
        for scenario, targets, slots in cases
        for row in queue_rows.compare(scenario)
    ]
    return table_of(name, title, rows)
