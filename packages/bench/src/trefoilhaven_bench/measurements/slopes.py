"""Growth of state, message sizes and processor time to the intended size."""

from collections import defaultdict
from typing import NamedTuple

from trefoilhaven_bench.measurements.tables import Table, table_of
from trefoilhaven_bench.models import slopes


def measure_slopes() -> list[Table]:
    """Return tables for times, memory and message sizes."""
    by_type: dict[str, list[NamedTuple]] = defaultdict(list)
    for row in slopes.measure_all():
        by_type[type(row).__name__].append(row)
    titles = {
        'MessageRow': ('messages', 'Encoded size of messages'),
        'MemoryRow': ('stores', 'Memory of the membership records'),
        'TimeRow': ('times', 'Processor time of membership operations'),
    }
    return [table_of(*titles[name], rows) for name, rows in by_type.items()]
