"""Reads an operator's service files and checks them together.

Directories are searched recursively for ``service.json`` and
``*.service.json``. A file that is given by its own path may have any name.
"""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple

from expression import Error, Ok, Result

from trefoilhaven_core.settings.documents import Document, read_document
from trefoilhaven_core.settings.findings import Finding, Findings
from trefoilhaven_core.settings.loader import read_service
from trefoilhaven_core.settings.types import ServiceConfiguration

_PATTERNS: Final = ('service.json', '*.service.json')


class ServiceFile(NamedTuple):
    """A checked service file."""

    path: Path
    content: dict[str, Any]
    configuration: ServiceConfiguration


class _CheckedFile(NamedTuple):
    document: Document
    service_file: ServiceFile


def read_service_files(
    paths: Iterable[Path],
) -> Result[tuple[ServiceFile, ...], Findings]:
    """Read and check service files; an error has the findings of all files."""
    findings: list[Finding] = []
    checked: list[_CheckedFile] = []
    for path in _find_files(paths, findings):
        outcome = _read_file(path)
        if outcome.is_error():
            findings.extend(outcome.error)
        else:
            checked.append(outcome.ok)
    findings.extend(_find_duplicates(checked))
    if findings:
        return Error(tuple(sorted(findings)))
    return Ok(tuple(each.service_file for each in checked))


def _find_files(
    paths: Iterable[Path],
    findings: list[Finding],
) -> Iterator[Path]:
    seen: set[Path] = set()
    for path in paths:
        found = _expand(path)
        if not found:
            message = 'the directory has no service.json or *.service.json'
            findings.append(Finding(str(path), 0, '$', message))
        for each in found:
            if each.resolve() not in seen:
                seen.add(each.resolve())
                yield each


def _expand(path: Path) -> list[Path]:
    if not path.is_dir():
        return [path]
    return sorted(
        {each for pattern in _PATTERNS for each in path.rglob(pattern)},
    )


def _read_file(path: Path) -> Result[_CheckedFile, Findings]:
    return read_document(path).bind(
        lambda document: read_service(document).map(
            lambda configuration: _CheckedFile(
                document,
                ServiceFile(path, document.content, configuration),
            ),
        ),
    )


def _find_duplicates(checked: list[_CheckedFile]) -> Iterator[Finding]:
    for key in ('service', 'address'):
        holders: dict[Any, _CheckedFile] = {}
        for each in checked:
            configuration = each.service_file.configuration
            holder = holders.setdefault(getattr(configuration, key), each)
            if holder is not each:
                message = (
                    f'{each.document.content[key]} is already the {key} in '
                    f'{holder.document.file}'
                )
                yield each.document.finding(f'$.{key}', message)
