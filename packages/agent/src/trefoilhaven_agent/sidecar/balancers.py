"""Balancers that an agent reports to."""

import math
from collections import deque
from collections.abc import Iterable
from typing import Final, NamedTuple

from trefoilhaven_core.connections.messages import BalancerHello
from trefoilhaven_core.membership.messages import Address, BalancerRecord

# A balancer is taken to have ended after this time without a hello, in
# seconds, but not before this number of its hello intervals.
BALANCER_TIMEOUT_S: Final = 30.0
BALANCER_TIMEOUT_INTERVALS: Final = 3

# After this time without a hello from any balancer, in seconds, the agent
# lists the balancers in the store. A balancer sends a hello each second, but
# less often with more than 22 targets: from 69 targets on, its interval is
# longer than this time.
HELLO_TIMEOUT_S: Final = 3.0

# After this time without a hello, in seconds, balancers may have deleted the
# object of the host as failed. They wait twice as long.
ISOLATION_THRESHOLD_S: Final = 60.0

# Addresses of silent balancers that are kept. Reports go to them in turn each
# 0.25 s while no balancer is known, so that all are tried within 16 s.
MAX_LOST: Final = 64

# Incarnation of a balancer that has not sent a hello.
NO_HELLO: Final = 0


class _Balancer(NamedTuple):
    is_near: bool
    expires_at: float
    incarnation: int = NO_HELLO
    name: str = ''
    knows_targets: bool = False


class InformedBalancer(NamedTuple):
    """A balancer that knew targets when it sent its latest hello."""

    name: str
    address: Address


class KnownBalancers:
    """Addresses of balancers, from hellos, the store and the seeds."""

    def __init__(self, failure_domain: str) -> None:
        """Start without balancers; the failure domain is the agent's."""
        self._domain = failure_domain
        self._hello_at = -math.inf
        self._known: dict[Address, _Balancer] = {}
        self._lost: deque[Address] = deque()

    def __len__(self) -> int:
        """Return the number of balancers."""
        return len(self._known)

    def on_hello(
        self, now: float, hello: BalancerHello, sender: Address
    ) -> bool:
        """Add or renew the sender of a hello.

        Returns whether this is the first hello of the balancer's incarnation.
        """
        known = self._known.get(sender)
        is_new = known is None or known.incarnation != hello.incarnation
        silent_s = max(
            BALANCER_TIMEOUT_S, BALANCER_TIMEOUT_INTERVALS * hello.interval_s
        )
        is_near = hello.failure_domain == self._domain
        self._hello_at = now
        self._known[sender] = _Balancer(
            is_near,
            now + silent_s,
            hello.incarnation,
            hello.name,
            hello.interval_s > 0,
        )
        return is_new

    def on_listed(self, now: float, records: Iterable[BalancerRecord]) -> None:
        """Add balancers that the store lists."""
        expires_at = now + BALANCER_TIMEOUT_S
        for record in records:
            is_near = record.failure_domain == self._domain
            listed = _Balancer(is_near, expires_at)
            known = self._known.get(record.control, listed)
            self._known[record.control] = known._replace(
                is_near=is_near,
                expires_at=max(expires_at, known.expires_at),
            )

    def on_seeds(self, now: float, addresses: Iterable[Address]) -> None:
        """Add the seeds of the settings, which count as near."""
        for address in addresses:
            self._known[address] = _Balancer(True, now + BALANCER_TIMEOUT_S)

    def was_isolated(self, now: float) -> bool:
        """Tell whether balancers may have deleted the object of the host.

        False before the first hello.
        """
        return ISOLATION_THRESHOLD_S < now - self._hello_at < math.inf

    def is_hello_overdue(self, now: float) -> bool:
        """Tell whether no balancer has sent a hello lately."""
        return now - self._hello_at > HELLO_TIMEOUT_S

    def expire(self, now: float) -> None:
        """Remove balancers that have not been heard in time.

        The ``MAX_LOST`` latest addresses are kept for ``next_lost``, the last
        ones first: older ones are more likely to be gone for good.
        """
        live = {
            address: balancer
            for address, balancer in self._known.items()
            if balancer.expires_at >= now
        }
        expired = [each for each in self._known if each not in live]
        if expired:
            older = [each for each in self._lost if each not in self._known]
            self._lost = deque([*expired, *older][:MAX_LOST])
        self._known = live

    def next_lost(self) -> list[Address]:
        """Return the next address to try while no balancer is known.

        All balancers may have restarted and know nobody, while the store is
        down: then they can only answer.
        """
        if self._known or not self._lost:
            return []
        self._lost.rotate(-1)
        return [self._lost[-1]]

    def addresses(self, *, near_only: bool = False) -> list[Address]:
        """Return the addresses to report to; near is the same domain."""
        return [
            address
            for address, balancer in self._known.items()
            if balancer.is_near or not near_only
        ]

    def informed(self) -> list[InformedBalancer]:
        """Return the balancers that know targets; near ones if there are."""
        informed = [
            (balancer.is_near, InformedBalancer(balancer.name, address))
            for address, balancer in self._known.items()
            if balancer.knows_targets
        ]
        near = [each for is_near, each in informed if is_near]
        return near or [each for _, each in informed]
