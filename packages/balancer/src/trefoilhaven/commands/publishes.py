"""The command ``publish``."""

import asyncio
import time
import uuid
from pathlib import Path
from random import Random
from typing import Annotated, Final

import typer

from trefoilhaven.commands.acknowledgements import wait_until_in_force
from trefoilhaven.commands.codes import ExitCode, most_severe
from trefoilhaven.commands.options import (
    Balancer,
    Output,
    OutputFormat,
    ServicePaths,
    read_address,
    read_url,
)
from trefoilhaven.commands.printing import (
    fail,
    fail_with_findings,
    print_error,
    print_json,
)
from trefoilhaven_core.configuration.conflicts import find_address_conflicts
from trefoilhaven_core.configuration.files import (
    ServiceFile,
    read_service_files,
)
from trefoilhaven_core.configuration.locks import (
    lock_path,
    read_lock,
    record_version,
)
from trefoilhaven_core.configuration.messages import SERVICES_PREFIX
from trefoilhaven_core.configuration.publishing import (
    PublishOutcome,
    PublishPlan,
    PublishReport,
    publish,
)
from trefoilhaven_core.platform.clients import PlatformClient
from trefoilhaven_core.platform.errors import describe_error
from trefoilhaven_core.platform.http import HttpPlatformClient
from trefoilhaven_core.settings.findings import Finding

_EXIT_CODES: Final = {
    PublishOutcome.published: ExitCode.ok,
    PublishOutcome.unchanged: ExitCode.ok,
    PublishOutcome.difference: ExitCode.ok,
    PublishOutcome.conflict: ExitCode.conflict,
    PublishOutcome.refused: ExitCode.refused,
    PublishOutcome.unreachable: ExitCode.unreachable,
    PublishOutcome.unknown: ExitCode.unknown,
}
_RECORDED_OUTCOMES: Final = frozenset(
    (PublishOutcome.published, PublishOutcome.unchanged),
)


def publish_files(
    paths: ServicePaths,
    platform: Annotated[
        str,
        typer.Option(metavar='URL', help='Base URL of the platform.'),
    ],
    publisher: Annotated[
        str,
        typer.Option(
            metavar='NAME',
            help="Your name, shown to others; else the file's operator.",
        ),
    ] = '',
    dry_run: Annotated[
        bool,
        typer.Option('--dry-run', help='Show the differences only.'),
    ] = False,
    wait: Annotated[
        bool,
        typer.Option('--wait', help='Wait until it is in force everywhere.'),
    ] = False,
    balancer: Balancer = '',
    output: Output = OutputFormat.text,
) -> None:
    """Check service files and publish them to the platform.

    Example: trefoilhaven publish services/ --platform http://127.0.0.1:8000
    --publisher lin --wait --balancer 127.0.1.1:9002
    """
    if wait and not balancer:
        raise typer.BadParameter('--wait requires --balancer')
    url = read_url(platform)
    balancer_address = read_address(balancer) if balancer else None
    plans = _make_plans(_read_files(paths), publisher, dry_run=dry_run)
    reports = asyncio.run(_publish_all(url, plans))
    codes = [_EXIT_CODES[report.outcome] for report in reports]
    if not dry_run:
        codes.extend(_record_versions(plans, reports))
    _print_reports(reports, output)
    versions = {
        report.service: report.version
        for report in reports
        if report.outcome in _RECORDED_OUTCOMES
    }
    if wait and balancer_address and versions and not dry_run:
        codes.append(
            asyncio.run(wait_until_in_force(balancer_address, versions))
        )
    raise typer.Exit(most_severe(codes))


_Plans = list[tuple[ServiceFile, PublishPlan]]


def _read_files(paths: list[Path]) -> tuple[ServiceFile, ...]:
    outcome = read_service_files(paths)
    if outcome.is_error():
        fail_with_findings(outcome.error)
    return outcome.ok


def _make_plans(
    files: tuple[ServiceFile, ...],
    publisher: str,
    *,
    dry_run: bool,
) -> _Plans:
    plans: _Plans = []
    findings: set[Finding] = set()
    for each in files:
        lock = read_lock(lock_path(each.path))
        if lock.is_error():
            findings.update(lock.error)
            continue
        service = each.configuration.service
        plan = PublishPlan(
            service=service,
            publish_id=uuid.uuid4().hex,
            publisher=publisher or each.configuration.operator,
            base_version=lock.ok.get(service, 0),
            file=each.content,
            now=time.time(),
            dry_run=dry_run,
        )
        plans.append((each, plan))
    if findings:
        fail_with_findings(tuple(findings))
    return plans


async def _publish_all(platform: str, plans: _Plans) -> list[PublishReport]:
    client = HttpPlatformClient(platform, Random())
    try:
        await _check_addresses(client, plans)
        return [await publish(client, plan) for _, plan in plans]
    finally:
        await client.close()


async def _check_addresses(client: PlatformClient, plans: _Plans) -> None:
    listing = await client.list(SERVICES_PREFIX)
    if listing.is_error():
        reason = describe_error(listing.error)
        fail(ExitCode.unreachable, f'nothing was published: {reason}')
    findings = find_address_conflicts(
        [each for each, _ in plans],
        listing.ok.objects,
    )
    if findings:
        fail_with_findings(findings)


def _record_versions(
    plans: _Plans, reports: list[PublishReport]
) -> list[ExitCode]:
    codes = []
    for (each, plan), report in zip(plans, reports, strict=True):
        if report.outcome not in _RECORDED_OUTCOMES:
            continue
        findings = record_version(
            lock_path(each.path),
            plan.service,
            report.version,
        )
        for finding in findings:
            print_error(f'version {report.version} was not recorded: {finding}')
            codes.append(ExitCode.refused)
    return codes


def _print_reports(reports: list[PublishReport], output: OutputFormat) -> None:
    if output is OutputFormat.json:
        print_json(
            [
                report._asdict() | {'outcome': report.outcome.value}
                for report in reports
            ],
        )
        return
    for report in reports:
        typer.echo(
            f'{report.service}: {report.outcome.value}: {report.message}',
        )
        if report.difference:
            typer.echo(report.difference)
