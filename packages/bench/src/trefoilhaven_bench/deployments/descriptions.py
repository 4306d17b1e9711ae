"""Descriptions of deployments, read from ``examples/deployments``."""

from pathlib import Path
from typing import NamedTuple

from trefoilhaven_bench.processes import read_settings
from trefoilhaven_bench.settings import CLIENT_DELAY_S


class ServiceDescription(NamedTuple):
    """A service and its targets; times are in seconds."""

    name: str
    address: str
    targets: int
    slots: int
    service_time_s: float = 0.02
    straggler_share: float = 0
    cold_s: float = 0


class DeploymentDescription(NamedTuple):
    """A deployment in one region of an operator.

    Delays are one-way, in seconds. With ``proxied`` the processes reach each
    other through the fault proxy, which adds the delays.
    """

    name: str
    operator: str
    region: str
    failure_domains: tuple[str, ...]
    services: tuple[ServiceDescription, ...]
    balancers: int = 3
    domain_delay_s: float = 0
    client_delay_s: float = CLIENT_DELAY_S
    proxied: bool = False
    seed: int = 1
    log_level: str = 'info'

    def service(self, name: str) -> ServiceDescription:
        """Return a service by name; raise ``KeyError`` if it is unknown."""
        for service in self.services:
            if service.name == name:
                return service
        raise KeyError(name)


def read_description(path: Path) -> DeploymentDescription:
    """Read a description file."""
    return read_settings(path, DeploymentDescription)
