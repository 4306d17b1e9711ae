"""Command line of the agent."""

from pathlib import Path
from typing import Annotated

import typer

from trefoilhaven_agent import process
from trefoilhaven_core.settings.findings import format_findings
from trefoilhaven_core.settings.loader import load_agent_settings
from trefoilhaven_core.settings.printing import format_settings

app = typer.Typer(add_completion=False)

EXIT_FINDINGS = 1


@app.command()
def serve(
    settings: Annotated[
        Path,
        typer.Option(help='Settings of the agent.'),
    ],
    print_settings: Annotated[
        bool,
        typer.Option(
            '--print-settings',
            help='Print the settings with all defaults and exit.',
        ),
    ] = False,
) -> None:
    """Run the agent beside one target.

    Example: trefoilhaven-agent --settings classroom-desk-1.json
    """
    loaded = load_agent_settings(settings)
    if loaded.is_error():
        typer.echo(format_findings(loaded.error), err=True)
        raise typer.Exit(EXIT_FINDINGS)
    if print_settings:
        typer.echo(format_settings(loaded.ok))
        return
    process.run(loaded.ok)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == '__main__':
    main()
