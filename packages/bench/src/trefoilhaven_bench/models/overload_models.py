"""Simulation of gateways before a service that is short of room.

The routers of the product decide, without a network: clients open one
connection for each request, agents report every quarter of a second, and
each target works on one request at a time, in the order of arrival. Times are
in seconds.
"""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from typing import Final

from trefoilhaven_bench.models.overload_loads import (
    RouteLoad,
    RouteResult,
    Scenario,
)
from trefoilhaven_core.connections.effects import ResetClient, SendMessage
from trefoilhaven_core.connections.messages import (
    ConnectionAccepted,
    ConnectionKey,
    ConnectionLoad,
    Segment,
    SegmentFlag,
    SegmentForward,
    TargetReport,
)
from trefoilhaven_core.connections.policies import Policies, RoutePolicy
from trefoilhaven_core.connections.routers import ConnectionRouter
from trefoilhaven_core.connections.routes import (
    AddressRoute,
    AddressRoutes,
    RouteConfiguration,
    WeightedService,
)
from trefoilhaven_core.connections.target_selection import TargetSelector
from trefoilhaven_core.membership.messages import (
    Address,
    Member,
    MemberState,
)

SERVICE: Final = 'desk'
DOMAINS: Final = ('a', 'b', 'c')
REPORT_INTERVAL_S: Final = 0.25
NEAR_DELAY_S: Final = 0.001
FAR_DELAY_S: Final = 0.0035

# Retries of a client, each with a new connection.
RETRIES: Final = 2

_Action = Callable[[float], None]


class _Job:
    """A request, and the connection on which it is tried."""

    __slots__ = ('arrived_at', 'deadline', 'is_over', 'retries', 'route')

    def __init__(self, now: float, route: RouteLoad) -> None:
        self.arrived_at = now
        self.deadline = now + route.timeout_s
        self.is_over = False
        self.retries = 0
        self.route = route


class _Target:
    """A target with one slot, and what its agent tells about it."""

    def __init__(self, name: str, domain: str) -> None:
        address = Address(name, 7000)
        self.member = Member(
            SERVICE,
            name,
            f'host-{name}',
            domain,
            1,
            1,
            MemberState.alive,
            address,
            address,
            address,
            1,
        )
        self.queue: deque[_Job] = deque()
        self.current: _Job | None = None
        self.work_s = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether the target would take a request at once."""
        is_alive = self.member.state is MemberState.alive
        return is_alive and self.current is None

    def load(self) -> ConnectionLoad:
        """Return the load that the agent reports."""
        waiting = len(self.queue) + (self.current is not None)
        return ConnectionLoad(waiting, waiting, self.work_s)


class OverloadSimulation:
    """One run of a scenario, with or without the policies of the routes."""

    def __init__(self, scenario: Scenario, *, has_policies: bool) -> None:
        """Create gateways and targets."""
        self._scenario = scenario
        self._rng = random.Random(scenario.seed)
        self._events: list[tuple[float, int, _Action]] = []
        self._numbers = itertools.count()
        self._targets = {
            f't{number}': _Target(f't{number}', DOMAINS[number % len(DOMAINS)])
            for number in range(scenario.targets)
        }
        self._gateways = [
            self._make_gateway(number, has_policies=has_policies)
            for number in range(scenario.gateways)
        ]
        self.results = {
            route.name: RouteResult(route.name) for route in scenario.routes
        }

    def run(self) -> dict[str, RouteResult]:
        """Play the scenario and return the results of the routes."""
        for target in self._targets.values():
            self._at(
                self._rng.random() * REPORT_INTERVAL_S, self._reporting(target)
            )
        for route in self._scenario.routes:
            self._at(self._rng.random() * 0.01, self._arriving(route))
        if self._scenario.lost_share:
            self._at(self._scenario.change_from_s, self._lose_targets)
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return self.results

    def _at(self, time: float, action: _Action) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), action))

    def _make_gateway(
        self, number: int, *, has_policies: bool
    ) -> ConnectionRouter:
        addresses = {
            route: (1, 8000 + index)
            for index, route in enumerate(self._scenario.routes)
        }
        services = (WeightedService(SERVICE, 1.0),)
        routes = AddressRoutes()
        routes.offer(
            RouteConfiguration(
                1,
                tuple(AddressRoute(at, services) for at in addresses.values()),
                15.0,
            )
        )
        selector = TargetSelector(DOMAINS[number % len(DOMAINS)])
        members = [target.member for target in self._targets.values()]
        selector.set_members(SERVICE, members)
        rng = random.Random(f'{self._scenario.seed}/{number}')
        router = ConnectionRouter(routes, selector, rng)
        if has_policies:
            policies = [
                RoutePolicy(
                    address,
                    route.objective_s,
                    route.timeout_s,
                    route.priority,
                    is_idempotent=True,
                )
                for route, address in addresses.items()
            ]
            router.set_policies(Policies(1, tuple(policies)))
        return router

    def _reporting(self, target: _Target) -> _Action:
        def report(now: float) -> None:
            member = target.member
            if member.state is not MemberState.alive:
                return
            message = TargetReport(member, target.load(), False, False)
            for gateway in self._gateways:
                gateway.on_report(now, message)
            if now < self._scenario.duration_s:
                self._at(now + REPORT_INTERVAL_S, report)

        return report

    def _lose_targets(self, now: float) -> None:
        """Let some targets drain; they finish what they have."""
        lost = round(self._scenario.targets * self._scenario.lost_share)
        for target in list(self._targets.values())[:lost]:
            draining = MemberState.draining
            target.member = target.member._replace(state=draining)
        members = [target.member for target in self._targets.values()]
        for gateway in self._gateways:
            gateway._selector.set_members(SERVICE, members)  # noqa: SLF001

    def _arriving(self, route: RouteLoad) -> _Action:
        def arrive(now: float) -> None:
            job = _Job(now, route)
            if now >= self._scenario.measure_from_s:
                self.results[route.name].offered += 1
            self._open(now, job)
            self._at(job.deadline, lambda time: self._give_up(job))
            rate = self._scenario.rate(route, now)
            following = now + self._rng.expovariate(rate)
            if following < self._scenario.duration_s:
                self._at(following, arrive)

        return arrive

    def _give_up(self, job: _Job) -> None:
        job.is_over = True

    def _open(self, now: float, job: _Job) -> None:
        """Open a connection by way of any gateway."""
        gateway = self._rng.choice(self._gateways)
        number = next(self._numbers)
        port = 8000 + self._scenario.routes.index(job.route)
        key = ConnectionKey(number // 60_000, number % 60_000, 1, port)
        opening = Segment(key, SegmentFlag.opening, number, 0, 0, b'')
        for effect in gateway.on_segment(now, opening):
            if isinstance(effect, ResetClient):
                self._refuse(now, job)
            elif isinstance(effect, SendMessage) and isinstance(
                effect.message, SegmentForward
            ):
                target = self._targets[effect.message.target]
                accepted = ConnectionAccepted(
                    SERVICE, target.member.target, 1, key, target.load()
                )
                self._at(
                    now + 2 * FAR_DELAY_S, self._accepting(gateway, accepted)
                )
                self._at(
                    now + 2 * NEAR_DELAY_S + 2 * FAR_DELAY_S,
                    self._requesting(target, job),
                )

    def _accepting(
        self, gateway: ConnectionRouter, accepted: ConnectionAccepted
    ) -> _Action:
        return lambda now: gateway.on_accepted(now, accepted)

    def _requesting(self, target: _Target, job: _Job) -> _Action:
        def request(now: float) -> None:
            target.queue.append(job)
            if target.current is None:
                self._start(now, target)

        return request

    def _refuse(self, now: float, job: _Job) -> None:
        result = self.results[job.route.name]
        if job.arrived_at >= self._scenario.measure_from_s:
            result.refusals += 1
            result.idle_refusals += any(
                target.is_idle for target in self._targets.values()
            )
        if job.retries < RETRIES:
            job.retries += 1
            self._at(now + 2 * NEAR_DELAY_S, lambda time: self._open(time, job))
        elif job.arrived_at >= self._scenario.measure_from_s:
            result.refused += 1

    def _start(self, now: float, target: _Target) -> None:
        """Work on the next request whose client still waits."""
        target.current = None
        while target.queue:
            job = target.queue.popleft()
            if job.is_over:
                continue
            target.current = job
            taken_s = job.route.work_s * self._rng.uniform(0.7, 1.3)
            target.work_s += 0.1 * (taken_s - target.work_s)
            if job.arrived_at >= self._scenario.measure_from_s:
                waited_s = now - job.arrived_at
                self.results[job.route.name].waits_s.append(waited_s)
            self._at(now + taken_s, self._finishing(target, job))
            return

    def _finishing(self, target: _Target, job: _Job) -> _Action:
        def finish(now: float) -> None:
            if job.arrived_at >= self._scenario.measure_from_s:
                result = self.results[job.route.name]
                taken_s = now - job.arrived_at
                result.in_time += taken_s <= job.route.objective_s
                result.served += not job.is_over
            self._start(now, target)

        return finish
