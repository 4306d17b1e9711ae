"""Routes of connections from service addresses to services.

All routes come from one versioned configuration. A higher version replaces a
lower one; a process never reverts to a lower version.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

ServiceAddress = tuple[int, int]


class WeightedService(NamedTuple):
    """A service with its relative share of an address's new connections."""

    service: str
    weight: float


class AddressRoute(NamedTuple):
    """An address, as the integers of host and port, with its services."""

    address: ServiceAddress
    services: tuple[WeightedService, ...]


class RouteConfiguration(NamedTuple):
    """All routes of one version; ``idle_timeout_s`` is in seconds."""

    version: int
    routes: tuple[AddressRoute, ...]
    idle_timeout_s: float


class AddressRoutes:
    """Routes that a balancer applies, and all known services of addresses.

    The known services of an address are those of its current route and of
    its earlier routes, as long as every configuration had a route for it.
    """

    def __init__(self) -> None:
        """Start without routes at version 0."""
        self.version = 0
        self._routes: dict[ServiceAddress, tuple[WeightedService, ...]] = {}
        self._known_services: dict[ServiceAddress, frozenset[str]] = {}

    def __len__(self) -> int:
        """Return the number of routes."""
        return len(self._routes)

    def offer(self, configuration: RouteConfiguration) -> bool:
        """Apply a configuration; return false if its version is not higher."""
        if configuration.version <= self.version:
            return False
        self.version = configuration.version
        self._routes = {
            route.address: route.services for route in configuration.routes
        }
        # Open connections stay with the service at which they were opened.
        self._known_services = {
            address: self._known_services.get(address, frozenset())
            | {weighted.service for weighted in services}
            for address, services in self._routes.items()
        }
        return True

    def choose(self, address: ServiceAddress, rng: random.Random) -> str | None:
        """Select the service of a new connection, None without a route.

        If all weights are 0, the first service is selected.
        """
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
        """Return the services of a new connection, the selected one first.

        The list is empty without a route.
        """
        chosen = self.choose(address, rng)
        if chosen is None:
            return []
        return [chosen, *self.alternatives(address, chosen)]

    def holder_services(self, address: ServiceAddress) -> frozenset[str]:
        """Return the services that may hold connections of an address.

        Services of earlier routes are included, unless a later configuration
        had no route for the address.
        """
        return self._known_services.get(address, frozenset())
