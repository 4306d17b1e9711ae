"""Tests of the refusal of new connections in an overload."""

import pytest
from trefoilhaven_core.connections.effects import OverloadRefused, ResetClient
from trefoilhaven_core.connections.effects import ResetCause
from trefoilhaven_core.connections.messages import ConnectionLoad
from trefoilhaven_core.connections.overload import (
    FLOOR_SHARE,
    WAIT_SHARE,
    OverloadControl,
    ServiceRoom,
)
from trefoilhaven_core.connections.policies import Policies, RoutePolicy
from trefoilhaven_core.connections.routes import (
    AddressRoute,
    AddressRoutes,
    RouteConfiguration,
    ServiceAddress,
    WeightedService,
)
from trefoilhaven_core.connections.target_costs import expected_wait_s
from trefoilhaven_core.connections.target_states import TargetState
from trefoilhaven_core.connections.tests.router_fixture import (
    KEY,
    RouterFixture,
    forwarded,
)
from trefoilhaven_core.connections.tests.support import (
    SERVICE_ADDRESS,
    key_of,
    make_member,
    opening,
)

URGENT = (1, 443)
USUAL = (1, 444)
OTHER = (1, 445)
UNKNOWN = (1, 446)
OBJECTIVE_S = 0.3
LIMIT_S = WAIT_SHARE * OBJECTIVE_S

# Openings per second of a route, and the time after which they are usual, in
# seconds.
RATE = 20
USUAL_AFTER_S = 60


def make_control() -> OverloadControl:
    """Return the control of a service with three routes."""
    services = (WeightedService('certify', 1.0),)
    addresses = (URGENT, USUAL, OTHER, UNKNOWN)
    routes = AddressRoutes()
    routes.offer(
        RouteConfiguration(
            1, tuple(AddressRoute(each, services) for each in addresses), 15.0
        )
    )
    control = OverloadControl(routes)
    control.set_policies(
        Policies(
            1,
            (
                RoutePolicy(URGENT, OBJECTIVE_S, 2.0, 0, is_idempotent=False),
                RoutePolicy(USUAL, OBJECTIVE_S, 2.0, 1, is_idempotent=True),
                RoutePolicy(OTHER, OBJECTIVE_S, 2.0, 1, is_idempotent=True),
            ),
        )
    )
    return control


def accepted(
    control: OverloadControl,
    address: ServiceAddress,
    wait_s: float,
    *,
    start: float = 0.0,
    count: int = 100,
    rate: float = RATE,
    has_free_slot: bool = False,
) -> int:
    """Return how many of several openings are accepted at a constant wait."""
    room = ServiceRoom(wait_s, has_free_slot)
    decisions = (
        control.decide(start + number / rate, address, 'certify', room)
        for number in range(count)
    )
    return sum(each is None for each in decisions)


class TestRefusals:
    """Connections that are refused, and those that are not."""

    def test_short_wait(self) -> None:
        """Guards against refusals while requests are served in time."""
        control = make_control()
        assert accepted(control, URGENT, LIMIT_S / 2) == 100
        assert accepted(control, USUAL, LIMIT_S / 3) == 100

    def test_free_slot(self) -> None:
        """Guards against a refusal while a target is free."""
        control = make_control()
        assert accepted(control, USUAL, 9.0, has_free_slot=True) == 100

    def test_no_policy(self) -> None:
        """Guards against refusals that no configuration asks for."""
        control = make_control()
        assert not control.has_policy(UNKNOWN)
        assert accepted(control, UNKNOWN, 9.0) == 100
        control.set_policies(Policies())
        assert accepted(control, USUAL, 9.0) == 100

    def test_no_target(self) -> None:
        """Guards against a reset that hides that no target is usable."""
        control = make_control()
        assert control.decide(0, USUAL, 'certify', None) is None

    @pytest.mark.parametrize('address', [URGENT, USUAL, OTHER])
    def test_floor(self, address: ServiceAddress) -> None:
        """Guards against a route that is starved for as long as it lasts.

        Its accepted openings are evenly spread.
        """
        control = make_control()
        accepted(control, address, 9.0)
        for start in range(10, 20):
            count = accepted(control, address, 9.0, start=start, count=10)
            assert count == 10 * FLOOR_SHARE

    def test_priority(self) -> None:
        """Guards against refusals of urgent requests before the others."""
        control = make_control()
        wait_s = LIMIT_S * 0.7
        assert accepted(control, URGENT, wait_s) == 100
        assert accepted(control, USUAL, wait_s) < 60

    def test_hysteresis(self) -> None:
        """Guards against refusals that start and stop with each report."""
        control = make_control()
        wait_s = LIMIT_S * 0.6
        assert accepted(control, URGENT, wait_s) == 100
        accepted(control, URGENT, LIMIT_S, start=10)
        assert accepted(control, URGENT, wait_s, start=20) < 100

    def test_end(self) -> None:
        """Guards against refusals that go on after an overload."""
        control = make_control()
        accepted(control, URGENT, 9.0)
        accepted(control, URGENT, LIMIT_S / 4, start=5, count=40)
        assert accepted(control, URGENT, LIMIT_S / 4, start=7) == 100

    def test_excess(self) -> None:
        """Guards against a burst that costs other routes their share.

        Both have the same priority, and one twice its usual openings.
        """
        control = make_control()
        for address in (USUAL, OTHER):
            accepted(control, address, 0, count=RATE * USUAL_AFTER_S)
        start = USUAL_AFTER_S
        wait_s = 0.61 * LIMIT_S
        burst = accepted(
            control, USUAL, wait_s, start=start, rate=3 * RATE, count=300
        )
        usual = accepted(control, OTHER, wait_s, start=start)
        assert usual == 100
        assert burst < 210


class TestExpectedWait:
    """The wait of a new connection's request."""

    def test_wait(self) -> None:
        """Guards against a wait that ignores slots, or what was placed."""
        target = TargetState(make_member('t1'))
        target.on_load(ConnectionLoad(5, 5, 0.02))
        target.placed = 1
        assert expected_wait_s(target) == pytest.approx(0.06)
        assert not target.has_free_slot
        target.on_load(ConnectionLoad(9, 0, 0.02))
        assert target.has_free_slot


class TestRouter:
    """Opening segments at a gateway of an overloaded service."""

    def make_fixture(self) -> RouterFixture:
        """Return a router whose targets have long waits."""
        fixture = RouterFixture()
        policy = RoutePolicy(
            SERVICE_ADDRESS, OBJECTIVE_S, 2.0, 0, is_idempotent=True
        )
        fixture.router.set_policies(Policies(1, (policy,)))
        return fixture

    def test_refused(self) -> None:
        """Guards against clients that wait for a late response."""
        fixture = self.make_fixture()
        fixture.report(0, t1=99, t2=99, t3=99)
        effects = fixture.router.on_segment(0.1, opening(KEY))
        refused, reset = effects
        assert isinstance(refused, OverloadRefused)
        assert refused.service == 'certify'
        assert isinstance(reset, ResetClient)
        assert reset.cause is ResetCause.overloaded

    def test_copy(self) -> None:
        """Guards against the reset of a connection that may be open.

        This gateway has placed it before the overload, or another gateway
        has.
        """
        fixture = self.make_fixture()
        target = fixture.open()
        fixture.report(0.2, t1=99, t2=99, t3=99)
        assert fixture.open(0.3) == target
        later = [
            fixture.router.on_segment(0.4, opening(key_of(each), 1))
            for each in range(2, 20)
        ]
        assert all(forwarded(effects) for effects in later)

    def test_returned(self) -> None:
        """Guards against the reset of an opening that an agent returned."""
        fixture = self.make_fixture()
        target = fixture.open()
        fixture.report(0.2, t1=99, t2=99, t3=99)
        assert forwarded(fixture.return_opening(0.3, target))

    def test_free_far_target(self) -> None:
        """Guards against a refusal while another domain has room."""
        fixture = self.make_fixture()
        fixture.report(0, t1=99, t2=99, t3=0)
        assert fixture.open(0.1) == 't3'
