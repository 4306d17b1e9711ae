"""Tables of figures, printed as Markdown and kept as JSON."""

import json
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any, NamedTuple


class Table(NamedTuple):
    """Figures with a title; each row has one entry for each column."""

    name: str
    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[Any, ...], ...]


def table_of(
    name: str,
    title: str,
    records: Sequence[NamedTuple],
) -> Table:
    """Return the table of records of one type, which must not be empty."""
    return Table(
        name,
        title,
        records[0]._fields,
        tuple(tuple(record) for record in records),
    )


def format_table(table: Table) -> str:
    """Return a table as Markdown with its title above."""
    lines = [
        f'### {table.title}',
        '',
        _line(table.columns),
        _line(['---'] * len(table.columns)),
        *[_line(_format(cell) for cell in row) for row in table.rows],
    ]
    return '\n'.join([*lines, ''])


def write_tables(tables: Iterable[Table], directory: Path) -> None:
    """Write each table as Markdown and JSON into a directory."""
    directory.mkdir(parents=True, exist_ok=True)
    for table in tables:
        (directory / f'{table.name}.md').write_text(format_table(table))
        (directory / f'{table.name}.json').write_text(
            json.dumps(table._asdict(), indent=1),
        )


def _line(cells: Iterable[str]) -> str:
    return f'| {" | ".join(cells)} |'


def _format(cell: Any) -> str:
    if isinstance(cell, float):
        return f'{cell:.4g}' if abs(cell) < 10_000 else f'{cell:,.0f}'
    if isinstance(cell, int):
        return f'{cell:,}'
    return str(cell)
