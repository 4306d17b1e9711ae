"""State of a balancer, shared by its tasks."""

import json
import logging
from collections.abc import Iterable

from trefoilhaven_core.configuration.versions import ConfigurationStore
from trefoilhaven_core.membership.loads import LoadTable
from trefoilhaven_core.membership.messages import Member, Registration
from trefoilhaven_core.membership.views import ViewStore
from trefoilhaven_core.routing.routes import FlowRoutes
from trefoilhaven_core.settings.types import ServiceConfiguration
from trefoilhaven_core.telemetry.runtimes import ProcessRuntime

logger = logging.getLogger(__name__)


class BalancerState:
    """Records, configuration and routes of one balancer.

    The tasks change ``store`` and then call ``refresh`` with the services
    they touched, which updates configurations and routes.
    """

    def __init__(self, runtime: ProcessRuntime) -> None:
        self.runtime = runtime
        self.store = ViewStore()
        self.configurations = ConfigurationStore()
        self.routes = FlowRoutes()
        self.loads = LoadTable(runtime.process)
        self._digests: dict[str, int] = {}
        self._offered_versions: dict[str, int] = {}

    @property
    def services(self) -> tuple[str, ...]:
        """Names of the services with a configuration in force."""
        return tuple(self.configurations.versions())

    def configuration(self, service: str) -> ServiceConfiguration | None:
        """Return the configuration in force of a service."""
        return self.configurations.get(service)

    def refresh(self, services: Iterable[str]) -> None:
        """Update configurations and routes of services from the store."""
        for service in services:
            self._refresh_configuration(service)
            digest = self.store.digest(service)
            if self._digests.get(service) != digest:
                self._digests[service] = digest
                self.routes.set_members(service, self.candidates(service))

    def candidates(self, service: str) -> tuple[Member, ...]:
        """Return the members that may be the first choice for a bucket.

        Agents own buckets only while they are registered; others would
        only forward the packets. Before the first registration is known,
        all eligible members are returned.
        """
        registered = frozenset(self.store.registry(service).registrations)
        eligible = self.store.eligible(service)
        return (
            tuple(
                member
                for member in eligible
                if Registration(member.target, member.incarnation) in registered
            )
            or eligible
        )

    def refresh_all(self) -> None:
        """Update configurations and routes of all services."""
        self.refresh(self.store.services)

    def _refresh_configuration(self, service: str) -> None:
        stored = self.store.configuration(service)
        if stored.version <= self._offered_versions.get(service, 0):
            return
        self._offered_versions[service] = stored.version
        try:
            content = json.loads(stored.content)
        except (ValueError, RecursionError):
            content = None
        if self.configurations.offer(service, stored.version, content):
            self._set_addresses()
            self.runtime.publish(
                'configuration in force',
                service,
                detail=f'version {stored.version}',
            )
            return
        logger.error(
            'configuration rejected',
            extra={
                'service': service,
                'version': stored.version,
                'findings': [
                    f'{finding.path}: {finding.message}'
                    for finding in self.configurations.findings.get(service, ())
                ],
            },
        )

    def _set_addresses(self) -> None:
        addresses = {}
        for service in self.configurations.versions():
            stored = self.configurations.get(service)
            owner = stored and self.configurations.by_address(stored.address)
            if stored is not None and owner is not None:
                addresses[stored.address] = owner.service
        self.routes.set_services(addresses)
