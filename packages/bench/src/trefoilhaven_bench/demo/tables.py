"""Summary table and violation lines of the demo."""

from typing import Final

from rich.box import SIMPLE
from rich.table import Table

from trefoilhaven_bench.verdicts import ServiceVerdict

_COLUMNS: Final = (
    'flows\nopened',
    'flows\nbroken',
    'done',
    'not\nrun',
    'un-\nknown',
    'run\ntwice',
    'p50\nms',
    'p99\nms',
    'imba-\nlance',
)
_MS_PER_S: Final = 1000


def summary_table(verdicts: list[ServiceVerdict]) -> Table:
    """Return a table with a row for each service."""
    table = Table(title='trefoilhaven demo', box=SIMPLE, padding=(0, 1, 0, 0))
    table.add_column('service', no_wrap=True)
    for column in _COLUMNS:
        table.add_column(column, justify='right')
    for verdict in verdicts:
        table.add_row(*_cells(verdict))
    return table


def describe_violations(verdict: ServiceVerdict) -> list[str]:
    """Return a line for each violated guarantee of a service."""
    findings = (
        ('broken flows', verdict.flows_broken),
        ('wrong answers', verdict.wrong),
        ('requests run twice', len(verdict.run_twice)),
        ('refused attempts that ran', len(verdict.refused_but_ran)),
        ('payloads of another service', verdict.cross_service),
    )
    return [
        f'{verdict.service}: {count} {name}'
        for name, count in findings
        if count
    ]


def _cells(verdict: ServiceVerdict) -> tuple[str, ...]:
    counts = (
        verdict.flows_opened,
        verdict.flows_broken,
        verdict.done,
        verdict.not_run,
        verdict.unknown,
        len(verdict.run_twice),
    )
    return (
        verdict.service,
        *[str(count) for count in counts],
        f'{verdict.short_p50_s * _MS_PER_S:.0f}',
        f'{verdict.short_p99_s * _MS_PER_S:.0f}',
        f'{verdict.imbalance:.2f}',
    )
