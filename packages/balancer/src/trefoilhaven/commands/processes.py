"""The command ``balancer``, which runs a balancer process."""

import importlib
from pathlib import Path
from typing import Annotated

import typer

from trefoilhaven.commands.printing import fail_with_findings
from trefoilhaven_core.settings.loader import load_balancer_settings
from trefoilhaven_core.settings.printing import format_settings


def balancer(
    settings: Annotated[
        Path,
        typer.Option(metavar='FILE', help='Settings of the balancer.'),
    ],
    print_settings: Annotated[
        bool,
        typer.Option(
            '--print-settings',
            help='Print the settings with all defaults and exit.',
        ),
    ] = False,
) -> None:
    """Run a balancer process until it is stopped.

    Example: trefoilhaven balancer --settings /etc/trefoilhaven/balancer.json
    """
    outcome = load_balancer_settings(settings)
    if outcome.is_error():
        fail_with_findings(outcome.error)
    if print_settings:
        typer.echo(format_settings(outcome.ok))
        return
    # Imported late, as the operator commands do not need the modules of the
    # balancer process.
    importlib.import_module('trefoilhaven.balancer.process').run(outcome.ok)
