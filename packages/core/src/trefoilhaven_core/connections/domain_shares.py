"""Selection of the failure domain of each new connection of a balancer.

``service_shares`` decides on the shares of each service, and the domain of a
connection is drawn by them.
"""

import random
from collections.abc import Iterable, Mapping, Sequence

from trefoilhaven_core.connections.domain_loads import domain_loads
from trefoilhaven_core.connections.round_trips import RoundTrips
from trefoilhaven_core.connections.service_shares import (
    ServiceShares,
    ShareDecision,
)
from trefoilhaven_core.connections.target_states import TargetState


class DomainShares:
    """Selects the failure domain of each new connection of a balancer.

    ``round_trips`` is to be told of placed and accepted connections.
    """

    def __init__(self, failure_domain: str, crossing_cost_s: float) -> None:
        """Start with all connections in the own failure domain.

        ``crossing_cost_s`` is the wait in seconds that is accepted to keep a
        request inside the failure domain.
        """
        self.round_trips = RoundTrips()
        self._cost_s = crossing_cost_s
        self._domain = failure_domain
        self._services: dict[str, ServiceShares] = {}

    def shares(self, service: str) -> Mapping[str, float]:
        """Return the latest shares of a service by other failure domain."""
        decided = self._services.get(service)
        return decided.shares if decided else {}

    def decision(self, service: str) -> ShareDecision:
        """Return the latest decision about a service."""
        decided = self._services.get(service)
        if decided is None:
            return ShareDecision({}, {}, {}, {})
        return decided.decision(self.round_trips.measured_s())

    def narrow(
        self,
        now: float,
        service: str,
        targets: Sequence[TargetState],
        rng: random.Random,
    ) -> Sequence[TargetState]:
        """Return the targets of the domain that gets a new connection.

        ``targets`` are all that may get it, of any failure domain. It is not
        empty, and neither is the result.
        """
        decided = self._services.get(service)
        if decided is None:
            decided = ServiceShares(self._domain, self._cost_s)
            self._services[service] = decided
        if decided.is_due(now):
            decided.decide(now, domain_loads(targets), self.round_trips)
        domain = self._domain
        if decided.shares:
            domain = _draw(decided.shares, domain, rng)
        return (
            _of_domain(targets, domain)
            or _of_domain(targets, self._domain)
            or targets
        )


def _draw(
    shares: Mapping[str, float], otherwise: str, rng: random.Random
) -> str:
    drawn = rng.random()
    for domain in sorted(shares):
        drawn -= shares[domain]
        if drawn < 0:
            return domain
    return otherwise


def _of_domain(
    targets: Iterable[TargetState], domain: str
) -> list[TargetState]:
    return [each for each in targets if each.member.failure_domain == domain]
