"""Output of the commands."""

import json
from collections.abc import Sequence
from typing import Any, NoReturn

import typer

from trefoilhaven.commands.codes import ExitCode
from trefoilhaven_core.settings.findings import Findings, format_findings


def print_json(content: Any) -> None:
    """Print JSON-compatible values as indented JSON."""
    typer.echo(json.dumps(content, indent=2, ensure_ascii=False))


def print_error(message: str) -> None:
    """Print an error on standard error, joined into one line."""
    typer.echo(f'error: {" ".join(message.split())}', err=True)


def fail(code: ExitCode, message: str) -> NoReturn:
    """Print an error and exit the command with a code."""
    print_error(message)
    raise typer.Exit(code)


def fail_with_findings(findings: Findings) -> NoReturn:
    """Print findings on standard error and exit with ``refused``."""
    typer.echo(format_findings(findings), err=True)
    raise typer.Exit(ExitCode.refused)


def format_table(rows: Sequence[Sequence[str]]) -> str:
    """Return rows as text, with each column padded to its widest cell."""
    widths = [
        max(len(cell) for cell in column) for column in zip(*rows, strict=True)
    ]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )
