"""Highest known version of each service's configuration."""

import json
from typing import Any

from expression import Error, Result

from trefoilhaven_core.configuration.messages import (
    ServiceVersion,
    object_path,
)
from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.settings.documents import parse_document
from trefoilhaven_core.settings.findings import Finding, Findings
from trefoilhaven_core.settings.loader import read_service
from trefoilhaven_core.settings.types import ServiceConfiguration


class ConfigurationStore:
    """Keeps the highest version of each service's configuration.

    Versions may arrive from the platform and from peers, in any order and
    more than once. Deletions on the platform are ignored, since a process
    can't tell a deletion from an object that it has not read yet.
    """

    def __init__(self) -> None:
        self.findings: dict[str, Findings] = {}
        self._versions: dict[str, ServiceVersion] = {}
        self._addresses: dict[Address, ServiceVersion] = {}

    def offer(
        self,
        service: str,
        version: int,
        content: Any,
    ) -> bool:
        """Store a version if it is higher than the stored one.

        Returns whether it was stored. An invalid version is not stored; its
        findings are in ``findings`` until a later version is stored.
        """
        if version <= self.version(service):
            return False
        checked = check_content(service, content)
        if checked.is_error():
            self.findings[service] = checked.error
            return False
        self.findings.pop(service, None)
        self._versions[service] = ServiceVersion(
            service,
            version,
            content,
            checked.ok,
        )
        self._index_addresses()
        return True

    def version(self, service: str) -> int:
        """Return the stored version of a service, 0 for none."""
        held = self._versions.get(service)
        return held.version if held else 0

    def versions(self) -> dict[str, int]:
        """Return the stored versions by service."""
        return {
            service: held.version for service, held in self._versions.items()
        }

    def get(self, service: str) -> ServiceConfiguration | None:
        """Return the configuration of a service, None when there is none."""
        held = self._versions.get(service)
        return held.configuration if held else None

    def by_address(self, address: Address) -> ServiceConfiguration | None:
        """Return the configuration of the service that has an address.

        When two services have the same address, the one that had it first
        keeps it, regardless of the order in which the versions arrived.
        """
        held = self._addresses.get(address)
        return held.configuration if held else None

    def _index_addresses(self) -> None:
        self._addresses = {}
        for held in sorted(self._versions.values(), key=_address_priority):
            self._addresses.setdefault(held.configuration.address, held)


def check_content(
    service: str,
    content: Any,
) -> Result[ServiceConfiguration, Findings]:
    """Return the configuration in a platform object's content, or findings."""
    path = object_path(service)
    file = content.get('file') if isinstance(content, dict) else None
    try:
        text = json.dumps(file)
    except (TypeError, ValueError) as exc:
        return Error((Finding(path, 1, '$', f'not JSON: {exc}'),))
    read = parse_document(path, text).bind(read_service)
    if read.is_ok() and read.ok.service != service:
        message = f'the file is for the service "{read.ok.service}"'
        return Error((Finding(path, 1, '$.service', message),))
    return read


def address_since(content: Any) -> float:
    """Return the Unix time since which a service has its address.

    Returns 0 when the time is not recorded.
    """
    since = None
    if isinstance(content, dict):
        since = content.get('address_since')
    return float(since) if isinstance(since, int | float) else 0.0


def _address_priority(held: ServiceVersion) -> tuple[float, str]:
    return address_since(held.content), held.service
