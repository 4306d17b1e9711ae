"""The command ``check``."""

import typer

from trefoilhaven.commands.codes import ExitCode
from trefoilhaven.commands.options import Output, OutputFormat, ServicePaths
from trefoilhaven.commands.printing import fail_with_findings, print_json
from trefoilhaven_core.configuration.files import read_service_files


def check(
    paths: ServicePaths,
    output: Output = OutputFormat.text,
) -> None:
    """Check service files and report all findings at once.

    Example: trefoilhaven check services/ --output json
    """
    outcome = read_service_files(paths)
    findings = outcome.error if outcome.is_error() else ()
    if output is OutputFormat.json:
        print_json([finding._asdict() for finding in findings])
        raise typer.Exit(ExitCode.refused if findings else ExitCode.ok)
    if findings:
        fail_with_findings(findings)
    for each in outcome.ok:
        address = each.configuration.address
        typer.echo(
            f'{each.path}: {each.configuration.service} at '
            f'{address.host}:{address.port}: no findings',
        )
