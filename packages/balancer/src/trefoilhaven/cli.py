"""The command line ``trefoilhaven``."""

from typing import Final

import typer

from trefoilhaven.commands import (
    checks,
    drains,
    explanations,
    fetches,
    processes,
    publishes,
    statuses,
    timelines,
)

app: Final = typer.Typer(
    name='trefoilhaven',
    help='Layer-4 load balancer: balancer process and operator commands.',
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)
app.command()(checks.check)
app.command('publish')(publishes.publish_files)
app.command()(fetches.fetch)
app.command()(statuses.status)
app.command()(explanations.explain)
app.command()(drains.drain)
app.command()(drains.undrain)
app.command()(timelines.timeline)
app.command()(processes.balancer)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == '__main__':
    main()
