"""The command ``fetch``, which resolves a publish conflict."""

import asyncio
import json
from collections.abc import Sequence
from random import Random
from typing import Annotated, NamedTuple

import typer

from trefoilhaven.commands.codes import ExitCode
from trefoilhaven.commands.options import ServicePaths, read_url
from trefoilhaven.commands.printing import fail, fail_with_findings
from trefoilhaven_core.configuration.differences import compare_files
from trefoilhaven_core.configuration.files import (
    ServiceFile,
    read_service_files,
)
from trefoilhaven_core.configuration.locks import lock_path, record_version
from trefoilhaven_core.configuration.messages import object_path
from trefoilhaven_core.configuration.versions import check_content
from trefoilhaven_core.platform.clients import PlatformObject
from trefoilhaven_core.platform.errors import NotFound, describe_error
from trefoilhaven_core.platform.http import HttpPlatformClient


class _Fetched(NamedTuple):
    service_file: ServiceFile
    published: PlatformObject | None


def fetch(
    paths: ServicePaths,
    platform: Annotated[
        str,
        typer.Option(metavar='URL', help='Base URL of the platform.'),
    ],
) -> None:
    """Replace service files by the published versions.

    The changes are shown. Use it after a conflict: fetch, edit the file
    again, publish.
    Example: trefoilhaven fetch services/ --platform http://127.0.0.1:8000
    """
    url = read_url(platform)
    outcome = read_service_files(paths)
    if outcome.is_error():
        fail_with_findings(outcome.error)
    # All versions are read before the first file is replaced, so that an
    # unreachable platform or faulty content changes no file.
    for each in asyncio.run(_read_all(url, outcome.ok)):
        if each.published is None:
            service = each.service_file.configuration.service
            typer.echo(f'{service}: not published, the file is unchanged')
        else:
            _replace(each.service_file, each.published)


async def _read_all(
    url: str,
    files: Sequence[ServiceFile],
) -> list[_Fetched]:
    client = HttpPlatformClient(url, Random())
    try:
        return [
            _Fetched(each, await _read(client, each.configuration.service))
            for each in files
        ]
    finally:
        await client.close()


async def _read(
    client: HttpPlatformClient,
    service: str,
) -> PlatformObject | None:
    answer = await client.get(object_path(service))
    if answer.is_ok():
        checked = check_content(service, answer.ok.content)
        if checked.is_error():
            fail_with_findings(checked.error)
        return answer.ok
    if isinstance(answer.error, NotFound):
        return None
    reason = describe_error(answer.error)
    fail(ExitCode.unreachable, f'nothing was fetched: {reason}')


def _replace(service_file: ServiceFile, published: PlatformObject) -> None:
    path, ours, configuration = service_file
    theirs = published.content['file']
    if ours != theirs:
        text = json.dumps(theirs, indent=2, ensure_ascii=False)
        try:
            path.write_text(f'{text}\n', encoding='utf-8')
        except OSError as exc:
            reason = exc.strerror or str(exc)
            fail(ExitCode.refused, f'{path} cannot be written: {reason}')
    lock = lock_path(path)
    findings = record_version(lock, configuration.service, published.version)
    if findings:
        fail_with_findings(findings)
    typer.echo(f'{configuration.service}: version {published.version}')
    difference = compare_files(ours, theirs, 'file before', 'file now')
    if difference:
        typer.echo(difference)
