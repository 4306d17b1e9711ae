"""Lock files: the version that each service file was written for.

``trefoilhaven.lock.json`` is stored beside the service files and committed
with them. It holds the version last published or fetched, for example
``{"services": {"classroom-desk": 3}}``.
"""

import json
from pathlib import Path
from typing import Any, Final

from expression import Error, Ok, Result

from trefoilhaven_core.settings.documents import Document, read_document
from trefoilhaven_core.settings.findings import Finding, Findings

LOCK_FILE: Final = 'trefoilhaven.lock.json'


def lock_path(service_file: Path) -> Path:
    """Return the path of the lock file beside a service file."""
    return service_file.parent / LOCK_FILE


def read_lock(path: Path) -> Result[dict[str, int], Findings]:
    """Return the recorded versions by service; none if the file is absent."""
    if not path.exists():
        return Ok({})
    return read_document(path).bind(_check_lock)


def record_version(path: Path, service: str, version: int) -> Findings:
    """Record a version; return findings if the file can't be used."""
    known = read_lock(path)
    if known.is_error():
        return known.error
    versions = known.ok | {service: version}
    text = json.dumps({'services': versions}, indent=2, sort_keys=True)
    try:
        path.write_text(f'{text}\n', encoding='utf-8')
    except OSError as exc:
        message = f'the file cannot be written: {exc.strerror}'
        return (Finding(str(path), 0, '$', message),)
    return ()


def _check_lock(document: Document) -> Result[dict[str, int], Findings]:
    services: Any = None
    if isinstance(document.content, dict):
        services = document.content.get('services')
    if not isinstance(services, dict):
        message = 'expected an object of versions by service'
        return Error((document.finding('$.services', message),))
    findings = tuple(
        document.finding(
            f'$.services.{service}',
            'expected a version, an integer from 1',
        )
        for service, version in services.items()
        if isinstance(version, bool)
        or not isinstance(version, int)
        or version < 1
    )
    return Error(findings) if findings else Ok(services)
