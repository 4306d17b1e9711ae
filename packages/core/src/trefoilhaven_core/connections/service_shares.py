"""Share of the new connections that may leave the balancer's failure domain.

Each balancer decides by itself, by the same rule. A request that is sent to
another failure domain is slower by a round trip and moves bytes that cost
money. It pays if the wait saved exceeds both: the round trip, and the wait
that the operator accepts to keep a request in its domain. The difference is
the gain.

The share follows the gain: it changes with the gain, which answers to a
sudden queue, and it rises while there is a gain, which covers a lasting lack
of targets without a long queue. It falls when slots of the own domain are
free. What other balancers of the domain send shows in the reported waits and
free slots. All of them send the same share of what they get, so that the
number of balancers does not matter.

Another domain takes more only while some of its slots are free or its own
callers wait much less than those of the own domain. When all domains are
full, nothing crosses.
"""

from collections.abc import Mapping
from typing import Final, NamedTuple

from trefoilhaven_core.connections.domain_loads import DomainLoad
from trefoilhaven_core.connections.round_trips import RoundTrips

# Interval of decisions in seconds. Most reports are older.
UPDATE_S: Final = 0.1

# A longer time without a decision, in seconds, counts as this one.
MAX_STEP_S: Final = 0.5

# Time constants in seconds of the averages of the own wait, and of the waits
# and free slots elsewhere. Reports show moments; a longer time would delay
# the answer to a queue that grows by half a second per second.
WAIT_AVERAGE_S: Final = 0.2
FAR_AVERAGE_S: Final = 0.7

# Change of the share for each second of change of the gain, and its rise per
# second for each second of gain. In a model with reports that are up to 0.5 s
# old, half of these figures left the worst-served domain 1% of its goodput
# behind. Larger ones sent more bytes and gained nothing.
SHARE_PER_GAIN_S: Final = 4.0
SHARE_GROWTH_PER_GAIN_S: Final = 8.0

# Largest changes per second: rise of the sum of the shares, and fall of each.
MAX_RISE_PER_S: Final = 2.0
MAX_FALL_PER_S: Final = 0.8

# The share falls at this rate per second while more than this share of the
# own domain's slots is free.
RETURN_PER_S: Final = 0.15
ENOUGH_FREE_SHARE: Final = 0.15

# A domain is full when less than this share of its slots is free and its own
# callers wait for more than this part of the wait in the sender's domain.
RESERVED_SHARE: Final = 0.05
MAX_WAIT_SHARE: Final = 0.4

# Part of its share by which a full domain is relieved per second.
RELIEF_PER_S: Final = 1.0

# Fall of a share per second where crossing does not pay by this margin in
# seconds. A smaller loss leaves the share as it is: it is what keeps the own
# domain without a queue.
UNPAID_FALL_PER_S: Final = 0.2
UNPAID_MARGIN_S: Final = 0.02


class ShareDecision(NamedTuple):
    """The shares of a service by other failure domain, and their causes.

    ``waits_s`` and ``free_shares`` are averages by failure domain, and
    ``round_trips_s`` the round-trip times; times in seconds.
    """

    shares: dict[str, float]
    waits_s: dict[str, float]
    free_shares: dict[str, float]
    round_trips_s: dict[str, float]


class ServiceShares:
    """Shares of one service's new connections by other failure domain.

    ``shares`` is the latest decision. Times are monotonic, in seconds.
    """

    def __init__(self, failure_domain: str, crossing_cost_s: float) -> None:
        """Start with all connections in the own failure domain."""
        self.shares: dict[str, float] = {}
        self._cost_s = crossing_cost_s
        self._decided_at: float | None = None
        self._domain = failure_domain
        self._free: dict[str, float] = {}
        self._gain_s = 0.0
        self._waits_s: dict[str, float] = {}

    def decision(self, round_trips_s: dict[str, float]) -> ShareDecision:
        """Return the latest decision, with the round-trip times."""
        return ShareDecision(
            self.shares, self._waits_s, self._free, round_trips_s
        )

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
            rooms = self._rooms(loads)
            if not sum(rooms.values()):
                rooms = {key: load.rate_per_s for key, load in loads.items()}
            self.shares = _spread(1.0, rooms)
            return
        gains = self._gains(now, loads, round_trips)
        change = self._change(passed_s, max(gains.values(), default=0.0))
        change = min(change, MAX_RISE_PER_S * passed_s)
        if change > 0:
            rooms = self._rooms(loads)
            paid = {key: rooms[key] for key in gains if gains[key] > 0}
            changes = _spread(change, paid)
        else:
            changes = _spread(change, self.shares)
        self.shares = self._step(passed_s, changes, gains)

    def _average(
        self, passed_s: float, loads: Mapping[str, DomainLoad]
    ) -> None:
        """Update the averages of the waits and of the free slots."""
        far_weight = min(1.0, passed_s / FAR_AVERAGE_S)
        near_weight = min(1.0, passed_s / WAIT_AVERAGE_S)
        for domain, load in loads.items():
            is_own = domain == self._domain
            weight = near_weight if is_own else far_weight
            wait_s = self._waits_s.get(domain, load.wait_s)
            self._waits_s[domain] = wait_s + weight * (load.wait_s - wait_s)
            free = self._free.get(domain, load.free_share)
            self._free[domain] = free + far_weight * (load.free_share - free)

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
        """Return the free rates of the other domains.

        A domain without free slots counts with its reserve.
        """
        return {
            domain: max(RESERVED_SHARE, self._free[domain]) * load.rate_per_s
            for domain, load in loads.items()
            if domain != self._domain
        }

    def _is_full(self, domain: str) -> bool:
        """Return whether a domain's room is left to its own callers."""
        limit_s = MAX_WAIT_SHARE * self._waits_s[self._domain]
        return (
            self._free[domain] < RESERVED_SHARE
            and self._waits_s[domain] > limit_s
        )

    def _change(self, passed_s: float, gain_s: float) -> float:
        """Return the wanted change of the sum of the shares."""
        gain_s = max(0.0, gain_s)
        change = SHARE_PER_GAIN_S * (gain_s - self._gain_s)
        change += SHARE_GROWTH_PER_GAIN_S * gain_s * passed_s
        self._gain_s = gain_s
        if self._free[self._domain] > ENOUGH_FREE_SHARE:
            change -= RETURN_PER_S * passed_s
        return change

    def _step(
        self,
        passed_s: float,
        changes: Mapping[str, float],
        gains: Mapping[str, float],
    ) -> dict[str, float]:
        """Return the shares after a limited step."""
        shares = {}
        for domain in sorted(gains):
            known = self.shares.get(domain, 0.0)
            change = changes.get(domain, 0.0)
            if self._is_full(domain):
                change = min(0.0, change) - RELIEF_PER_S * known * passed_s
            if gains[domain] < -UNPAID_MARGIN_S:
                change -= UNPAID_FALL_PER_S * passed_s
            change = max(change, -MAX_FALL_PER_S * passed_s)
            if known + change > 0:
                shares[domain] = known + change
        return _spread(min(1.0, sum(shares.values())), shares)


def _spread(total: float, weights: Mapping[str, float]) -> dict[str, float]:
    """Return a total divided in proportion to weights."""
    whole = sum(weights.values())
    if not whole:
        return {}
    return {key: total * each / whole for key, each in weights.items()}
