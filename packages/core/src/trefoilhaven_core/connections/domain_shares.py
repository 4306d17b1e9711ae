"""Share of the new connections that leave the balancer's failure domain.

Each balancer decides by itself, by the same rule. A request that is sent to
another failure domain is slower by a round trip and moves bytes that cost
money. It pays if the wait saved exceeds both: the round trip, and the wait
that the operator accepts to keep a request in its domain. The difference is
the gain.

The share follows the gain: a part in proportion to it, which answers to a
sudden queue, and a part that is added up over time, which keeps a lasting
lack of targets covered without a long queue. It returns to 0 when the own
domain has no queue. What other balancers of the domain send shows in the
waits, and the part in proportion acts on the sum: all of them send the same
share of what they get.

Another domain takes connections only while some of its slots are free beyond
a reserve, which is left to its own callers. When all domains are full,
nothing crosses.
"""

import random
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from trefoilhaven_core.connections.domain_loads import (
    DomainLoad,
    domain_loads,
)
from trefoilhaven_core.connections.round_trips import RoundTrips
from trefoilhaven_core.connections.target_states import TargetState

# Interval of decisions in seconds. Most reports are older.
UPDATE_S: Final = 0.1

# Time constants in seconds of the averages of the waits and of the free
# slots. Reports show moments; a longer time would delay the answer to a
# queue that grows by half a second per second.
WAIT_AVERAGE_S: Final = 0.2
FREE_AVERAGE_S: Final = 0.5

# A longer time without a decision, in seconds, counts as this one.
MAX_STEP_S: Final = 0.5

# Share of the connections that is sent away for each second of gain, at once
# and added up in each second. With reports that are up to 0.5 s old, shares
# swing from about three times these figures.
SHARE_PER_GAIN_S: Final = 1.5
SHARE_GROWTH_PER_GAIN_S: Final = 1.0

# Largest changes of the share per second.
MAX_RISE_PER_S: Final = 0.5
MAX_FALL_PER_S: Final = 1.0

# The added part falls at this rate per second while the wait in the own
# domain is below this share of the crossing cost, and stays in between.
RETURN_PER_S: Final = 0.1
RETURN_WAIT_SHARE: Final = 0.5

# Share of a domain's slots that is left free for its own callers, and the
# share above it from which on there is room without limits.
RESERVED_SHARE: Final = 0.1
AMPLE_SHARE: Final = 0.3


class ServiceShares:
    """Shares of one service's new connections by other failure domain.

    ``shares`` is the latest decision. Times are monotonic, in seconds.
    """

    def __init__(self, failure_domain: str, crossing_cost_s: float) -> None:
        """Start with all connections in the own failure domain."""
        self.shares: Mapping[str, float] = {}
        self._added = 0.0
        self._cost_s = crossing_cost_s
        self._decided_at: float | None = None
        self._domain = failure_domain
        self._free: dict[str, float] = {}
        self._waits_s: dict[str, float] = {}

    def is_due(self, now: float) -> bool:
        """Return whether the next decision is due."""
        decided_at = self._decided_at
        return decided_at is None or now - decided_at >= UPDATE_S

    def decide(
        self,
        now: float,
        loads: Mapping[str, DomainLoad],
        round_trips: RoundTrips,
    ) -> None:
        """Decide on the shares, by the loads of all failure domains."""
        passed_s = UPDATE_S
        if self._decided_at is not None:
            passed_s = min(now - self._decided_at, MAX_STEP_S)
        self._decided_at = now
        self._average(passed_s, loads)
        own = loads.get(self._domain)
        if own is None or not own.rate_per_s:
            self.shares = _spread(1.0, self._rooms(loads) or _rates(loads))
            return
        gains = self._gains(now, loads, round_trips)
        rooms = {
            domain: room
            for domain, room in self._rooms(loads).items()
            if gains.get(domain, 0) > 0 or domain in self.shares
        }
        wanted = self._wanted(passed_s, max(gains.values(), default=0.0))
        self.shares = self._limit(passed_s, wanted, rooms, loads)

    def _average(
        self, passed_s: float, loads: Mapping[str, DomainLoad]
    ) -> None:
        """Update the averages of the waits and of the free slots."""
        wait_weight = min(1.0, passed_s / WAIT_AVERAGE_S)
        free_weight = min(1.0, passed_s / FREE_AVERAGE_S)
        for domain, load in loads.items():
            wait_s = self._waits_s.get(domain, load.wait_s)
            wait_s += wait_weight * (load.wait_s - wait_s)
            self._waits_s[domain] = wait_s
            free = self._free.get(domain, load.free_share)
            self._free[domain] = free + free_weight * (load.free_share - free)

    def _gains(
        self,
        now: float,
        loads: Mapping[str, DomainLoad],
        round_trips: RoundTrips,
    ) -> dict[str, float]:
        """Return the gain in seconds by crossing to each other domain."""
        own_s = self._waits_s[self._domain] - self._cost_s
        return {
            domain: own_s
            - self._waits_s[domain]
            - round_trips.time_s(now, domain)
            for domain, load in loads.items()
            if domain != self._domain and load.rate_per_s
        }

    def _rooms(self, loads: Mapping[str, DomainLoad]) -> dict[str, float]:
        """Return the free rate beyond the reserve, of the other domains."""
        return {
            domain: (self._free[domain] - RESERVED_SHARE) * load.rate_per_s
            for domain, load in loads.items()
            if domain != self._domain and self._free[domain] > RESERVED_SHARE
        }

    def _wanted(self, passed_s: float, gain_s: float) -> float:
        """Return the wanted sum of the shares."""
        if gain_s > 0:
            self._added += SHARE_GROWTH_PER_GAIN_S * gain_s * passed_s
            self._added = min(1.0, self._added)
        elif self._waits_s[self._domain] < RETURN_WAIT_SHARE * self._cost_s:
            self._added = max(0.0, self._added - RETURN_PER_S * passed_s)
        return min(1.0, SHARE_PER_GAIN_S * max(0.0, gain_s) + self._added)

    def _limit(
        self,
        passed_s: float,
        wanted: float,
        rooms: Mapping[str, float],
        loads: Mapping[str, DomainLoad],
    ) -> dict[str, float]:
        """Approach the wanted shares by a limited step."""
        goals = _spread(wanted, rooms)
        shares = {}
        for domain in loads.keys() - {self._domain}:
            spare = self._free[domain] - RESERVED_SHARE
            goal = goals.get(domain, 0.0) * min(1.0, spare / AMPLE_SHARE)
            known = self.shares.get(domain, 0.0)
            share = min(
                max(goal, known - MAX_FALL_PER_S * passed_s),
                known + MAX_RISE_PER_S * passed_s,
            )
            if share > 0:
                shares[domain] = share
        return shares


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


def _rates(loads: Mapping[str, DomainLoad]) -> dict[str, float]:
    return {domain: load.rate_per_s for domain, load in loads.items()}


def _spread(total: float, weights: Mapping[str, float]) -> dict[str, float]:
    """Return a total divided in proportion to weights."""
    whole = sum(weights.values())
    if not whole:
        return {}
    return {key: total * each / whole for key, each in weights.items()}
