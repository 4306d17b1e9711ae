"""Selection of the target of a new connection, by domain and wait.

``service_shares`` decides which share of a service's connections may leave
the failure domain. Whether one may, and where to, is drawn by these shares.
One that may goes there only if the expected wait is shorter by the round trip
and the crossing cost; so a domain that has filled up since the last decision
gets no more.
"""

import random
from collections.abc import Collection, Iterable, Mapping, Sequence

from trefoilhaven_core.connections.domain_loads import domain_loads
from trefoilhaven_core.connections.round_trips import RoundTrips
from trefoilhaven_core.connections.service_shares import (
    ServiceShares,
    ShareDecision,
)
from trefoilhaven_core.connections.target_costs import select_quickest
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

    def select(
        self,
        now: float,
        service: str,
        targets: Sequence[TargetState],
        rng: random.Random,
        preferred: Collection[TargetState] = (),
    ) -> TargetState:
        """Return the target of a new connection.

        ``targets`` are all that may get it, of any failure domain, and not
        empty. Of equal targets, those in ``preferred`` are selected.
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
        own = _of_domain(targets, self._domain)
        if domain == self._domain:
            return select_quickest(own or targets, rng, None, preferred)
        penalty_s = self._cost_s + self.round_trips.time_s(now, domain)
        both = own + _of_domain(targets, domain)
        penalties_s = {domain: penalty_s}
        return select_quickest(both or targets, rng, penalties_s, preferred)


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
