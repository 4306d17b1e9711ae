"""Simulation of callers and targets in several failure domains.

Gateways choose targets by the product's own selector, from reports of
different ages, and the targets' agents learn service times by the product's
own estimator. There is no network; each connection carries one request.
"""

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any, Final, NamedTuple

from trefoilhaven_bench.models.domain_loads import DOMAINS, SERVICE_S, Scenario
from trefoilhaven_core.connections.messages import (
    ConnectionAccepted,
    ConnectionKey,
    ConnectionLoad,
    TargetReport,
)
from trefoilhaven_core.connections.service_times import ServiceTimeEstimator
from trefoilhaven_core.connections.target_selection import TargetSelector
from trefoilhaven_core.membership.messages import Address, Member, MemberState

SERVICE: Final = 'model'

# One-way delays inside a failure domain and between two, in seconds.
NEAR_DELAY_S: Final = 0.0005
FAR_DELAY_S: Final = 0.002

# Intervals of an agent's reports in seconds: regular ones to gateways of its
# failure domain, and early ones of a changed load.
NEAR_REPORT_S: Final = 0.25
CHANGED_REPORT_S: Final = 0.08

# A client repeats an opening without an answer, and gives up a request, after
# these times in seconds.
RETRANSMISSION_S: Final = 0.2
TIMEOUT_S: Final = 1.7


class Request:
    """One request of a caller; times in seconds, None while not reached."""

    __slots__ = (
        'arrived_at',
        'domain',
        'ended_at',
        'factor',
        'target',
        'tried',
        'work_s',
    )

    def __init__(self, arrived_at: float, domain: str, factor: float) -> None:
        self.arrived_at = arrived_at
        self.domain = domain
        self.ended_at: float | None = None
        self.factor = factor
        self.target: 'Target | None' = None
        self.tried: tuple[str, ...] = ()
        self.work_s = 0.0

    @property
    def has_crossed(self) -> bool:
        """Whether it was sent to another failure domain."""
        target = self.target
        return (
            target is not None and target.member.failure_domain != self.domain
        )


class Target:
    """A target with one slot, with the part of its agent that is modelled."""

    def __init__(self, number: int, speed: float) -> None:
        address = Address('127.0.0.1', 7000)
        self.member = Member(
            SERVICE,
            f't{number}',
            f'host-{number}',
            DOMAINS[number % len(DOMAINS)],
            1,
            1,
            MemberState.alive,
            address,
            address,
            address,
            1,
        )
        self.estimator = ServiceTimeEstimator()
        self.is_away = False
        self.queue: deque[Request] = deque()
        self.reported_waiting = 0
        self.speed = speed

    def load(self) -> ConnectionLoad:
        """Return the load as the agent reports it."""
        waiting = len(self.queue)
        return ConnectionLoad(waiting, waiting, self.estimator.estimate_s())

    def report(self) -> TargetReport:
        """Return the agent's report."""
        return TargetReport(
            self.member, self.load(), is_cold=False, is_silent=False
        )


class Gateway(NamedTuple):
    """A gateway and what it knows."""

    domain: str
    selector: TargetSelector


class _Event(NamedTuple):
    """An action at a time in seconds; ``order`` makes events comparable."""

    at: float
    order: int
    action: Callable[..., None]
    subject: Any


class DomainSimulation:
    """Runs a scenario by events in the order of their times."""

    def __init__(
        self, scenario: Scenario, crossing_cost_s: float | None
    ) -> None:
        """Without ``crossing_cost_s``, gateways use the fixed penalty."""
        self._scenario = scenario
        self._rng = random.Random(scenario.seed)
        self._events: list[_Event] = []
        self._order = itertools.count()
        self._targets = [
            Target(number, speed)
            for number, speed in enumerate(scenario.speeds)
        ]
        self._gateways = [
            Gateway(
                DOMAINS[number % len(DOMAINS)],
                TargetSelector(DOMAINS[number % len(DOMAINS)], crossing_cost_s),
            )
            for number in range(scenario.gateways)
        ]
        for gateway in self._gateways:
            gateway.selector.set_members(
                SERVICE, [target.member for target in self._targets]
            )

    def run(self) -> list[Request]:
        """Return all requests, with their ends."""
        scenario = self._scenario
        requests = list(self._arrivals())
        for request in requests:
            self._at(request.arrived_at, self._place, request)
        for number, target in enumerate(self._targets):
            phase = self._rng.random()
            self._at(phase * NEAR_REPORT_S, self._report_near, target)
            self._at(phase * CHANGED_REPORT_S, self._report_change, target)
            self._at(phase * scenario.far_report_s, self._report_far, target)
            if number in scenario.away:
                self._at(scenario.change_at_s, self._leave, target)
            for gateway in self._gateways:
                gateway.selector.on_report(0.0, target.report())
        while self._events:
            at, _, action, subject = heapq.heappop(self._events)
            if at > scenario.duration_s:
                break
            action(at, subject)
        return requests

    def _at(
        self, at: float, action: Callable[..., None], subject: object
    ) -> None:
        event = _Event(at, next(self._order), action, subject)
        heapq.heappush(self._events, event)

    def _arrivals(self) -> Iterator[Request]:
        scenario = self._scenario
        for domain in DOMAINS:
            now = 0.0
            highest = scenario.peak_rate_per_s(domain)
            while now < scenario.duration_s:
                now += self._rng.expovariate(highest)
                rate = scenario.rate_per_s(now, domain)
                if self._rng.random() * highest < rate:
                    factor = scenario.draw_factor(self._rng)
                    yield Request(now, domain, factor)

    def _place(self, now: float, request: Request) -> None:
        gateways = [
            each for each in self._gateways if each.domain == request.domain
        ]
        gateway = self._rng.choice(gateways)
        chosen = gateway.selector.choose(now, self._rng, SERVICE, request.tried)
        if chosen is None:
            return
        key = ConnectionKey(1, id(request), 1, 1)
        gateway.selector.placement(now, key, chosen, ())
        target = self._targets[int(chosen.target[1:])]
        request.target = target
        if target.is_away or self._is_cut(now, request.domain, target):
            request.tried = (*request.tried, chosen.target)
            if now + RETRANSMISSION_S < request.arrived_at + TIMEOUT_S:
                self._at(now + RETRANSMISSION_S, self._place, request)
            return
        delay_s = FAR_DELAY_S if request.has_crossed else NEAR_DELAY_S
        self._at(now + delay_s, self._deliver, (gateway, request, key))

    def _deliver(
        self, now: float, subject: tuple[Gateway, Request, ConnectionKey]
    ) -> None:
        gateway, request, key = subject
        target = request.target
        if target is None or target.is_away:
            return
        request.work_s = request.factor * SERVICE_S / target.speed
        target.queue.append(request)
        target.estimator.on_request(now, request)
        if len(target.queue) == 1:
            self._at(now + request.work_s, self._finish, target)
        self._at(request.arrived_at + TIMEOUT_S, self._give_up, request)
        accepted = ConnectionAccepted(
            SERVICE, target.member.target, 1, key, target.load()
        )
        delay_s = FAR_DELAY_S if request.has_crossed else NEAR_DELAY_S
        self._at(now + delay_s, self._accept, (gateway, accepted))

    def _accept(
        self, now: float, subject: tuple[Gateway, ConnectionAccepted]
    ) -> None:
        gateway, accepted = subject
        gateway.selector.on_accepted(
            now, SERVICE, accepted.target, accepted.load
        )
        gateway.selector.on_round_trip(now, accepted)

    def _finish(self, now: float, target: Target) -> None:
        if target.is_away:
            return
        request = target.queue.popleft()
        request.ended_at = now
        target.estimator.on_response(now, request)
        if target.queue:
            self._at(now + target.queue[0].work_s, self._finish, target)

    def _give_up(self, now: float, request: Request) -> None:
        target = request.target
        if target is None or request.ended_at is not None:
            return
        # The target finishes what it works on.
        if request in target.queue and target.queue[0] is not request:
            target.queue.remove(request)
            target.estimator.on_aborted(now, request)

    def _leave(self, now: float, target: Target) -> None:
        target.is_away = True
        target.queue.clear()

    def _report_near(self, now: float, target: Target) -> None:
        self._report(now, target, is_near=True)
        self._at(now + NEAR_REPORT_S, self._report_near, target)

    def _report_far(self, now: float, target: Target) -> None:
        self._report(now, target, is_near=False)
        self._at(now + self._scenario.far_report_s, self._report_far, target)

    def _report_change(self, now: float, target: Target) -> None:
        if len(target.queue) != target.reported_waiting:
            self._report(now, target, is_near=True)
        self._at(now + CHANGED_REPORT_S, self._report_change, target)

    def _report(self, now: float, target: Target, *, is_near: bool) -> None:
        if target.is_away:
            return
        report = target.report()
        domain = target.member.failure_domain
        if is_near:
            target.reported_waiting = report.load.waiting
        for gateway in self._gateways:
            if (gateway.domain == domain) is is_near and not self._is_cut(
                now, gateway.domain, target
            ):
                gateway.selector.on_report(now, report)

    def _is_cut(self, now: float, domain: str, target: Target) -> bool:
        pair = {domain, target.member.failure_domain}
        return pair == self._scenario.cut and now >= self._scenario.change_at_s


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of values, 0 without any."""
    ordered = sorted(values)
    return ordered[math.ceil(share * len(ordered)) - 1] if ordered else 0.0
