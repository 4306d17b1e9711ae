"""Balancers that an agent knows."""

from trefoilhaven_agent.sidecar.balancers import (
    BALANCER_SILENT_S,
    HELLO_LOST_S,
    CUT_OFF_S,
    SILENT_INTERVALS,
    KnownBalancers,
)
from trefoilhaven_core.connections.messages import BalancerHello
from trefoilhaven_core.membership.messages import (
    Address,
    BalancerRecord,
    MemberState,
)

NEAR = Address('127.0.0.1', 7000)
FAR = Address('127.0.0.2', 7000)


def hello(domain: str = 'a', interval_s: float = 1.0) -> BalancerHello:
    """Return a greeting."""
    return BalancerHello('b1', domain, 1, interval_s)


class TestKnownBalancers:
    """Greetings, the store and seeds."""

    def test_near_and_far(self) -> None:
        """Guards against reports that cross domains without need."""
        known = KnownBalancers('a')
        assert known.on_hello(0, hello(), NEAR)
        assert known.on_hello(0, hello('b'), FAR)
        assert not known.on_hello(1, hello(), NEAR)
        assert known.addresses(near_only=True) == [NEAR]
        assert known.addresses() == [NEAR, FAR]

    def test_cut_off(self) -> None:
        """Guards against a host that stays without its object."""
        known = KnownBalancers('a')
        assert not known.was_cut_off(1000)
        known.on_hello(1000, hello(), NEAR)
        assert not known.was_cut_off(1000 + CUT_OFF_S / 2)
        assert known.was_cut_off(1001 + CUT_OFF_S)

    def test_lost(self) -> None:
        """Guards against an agent that no balancer ever finds."""
        known = KnownBalancers('a')
        record = BalancerRecord('b1', 'a', 1, 1, MemberState.alive, NEAR, NEAR)
        known.on_listed(0, [record])
        assert known.is_lost(0)
        known.on_hello(1, hello(), NEAR)
        assert not known.is_lost(1 + HELLO_LOST_S)
        assert known.is_lost(1.1 + HELLO_LOST_S)

    def test_forgotten(self) -> None:
        """Guards against reports to balancers that have ended."""
        known = KnownBalancers('a')
        known.on_seeds(0, [FAR])
        slow_s = BALANCER_SILENT_S
        known.on_hello(0, hello(interval_s=slow_s), NEAR)
        known.forget(BALANCER_SILENT_S + 1)
        assert known.addresses() == [NEAR]
        known.forget(SILENT_INTERVALS * slow_s + 1)
        assert not len(known)
