"""Routes of connections: service address to services.

The routes come from one configuration with a version. A higher version
replaces a lower one; a process never goes back.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

ServiceAddress = tuple[int, int]


class WeightedService(NamedTuple):
    """A service that takes a share of an address's new connections."""

    service: str
    weight: float


class AddressRoute(NamedTuple):
    """An address, as host and port numbers, with its services."""

    address: ServiceAddress
    services: tuple[WeightedService, ...]


class RouteConfiguration(NamedTuple):
    """All routes at one version; ``idle_timeout_s`` is in seconds."""

    version: int
    routes: tuple[AddressRoute, ...]
    idle_timeout_s: float


class AddressRoutes:
    """Routes in force at a balancer."""

    def __init__(self) -> None:
        """Start without routes, at version 0."""
        self.version = 0
        self._routes: dict[ServiceAddress, tuple[WeightedService, ...]] = {}
        self._former: dict[ServiceAddress, frozenset[str]] = {}

    def __len__(self) -> int:
        """Return the number of routes."""
        return len(self._routes)

    def offer(self, configuration: RouteConfiguration) -> bool:
        """Take a higher version; return whether it was taken."""
        if configuration.version <= self.version:
            return False
        self.version = configuration.version
        self._routes = {
            route.address: route.services for route in configuration.routes
        }
        # Open connections stay with the service that they began with.
        self._former = {
            address: self._former.get(address, frozenset())
            | {weighted.service for weighted in services}
            for address, services in self._routes.items()
        }
        return True

    def choose(self, address: ServiceAddress, rng: random.Random) -> str | None:
        """Return the service of a new connection, None without a route."""
        services = self._routes.get(address)
        if not services:
            return None
        if len(services) == 1:
            return services[0].service
        weights = [weighted.weight for weighted in services]
        if not any(weights):
            return services[0].service
        return rng.choices(services, weights)[0].service

    def alternatives(
        self, address: ServiceAddress, chosen: str
    ) -> Iterable[str]:
        """Return the other services that take new connections."""
        return (
            weighted.service
            for weighted in self._routes.get(address, ())
            if weighted.service != chosen and weighted.weight > 0
        )

    def ordered_services(
        self, address: ServiceAddress, rng: random.Random
    ) -> list[str]:
        """Return the services of a new connection, the chosen one first.

        Empty without a route.
        """
        chosen = self.choose(address, rng)
        if chosen is None:
            return []
        return [chosen, *self.alternatives(address, chosen)]

    def holder_services(self, address: ServiceAddress) -> frozenset[str]:
        """Return all services that may hold connections of an address."""
        return self._former.get(address, frozenset())
