"""Tests of the balancers that an agent knows."""

from trefoilhaven_agent.sidecar.balancers import (
    BALANCER_TIMEOUT_INTERVALS,
    BALANCER_TIMEOUT_S,
    HELLO_TIMEOUT_S,
    ISOLATION_THRESHOLD_S,
    MAX_LOST,
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


def hello(
    domain: str = 'a', interval_s: float = 1.0, incarnation: int = 1
) -> BalancerHello:
    """Return a hello of a balancer."""
    return BalancerHello('b1', domain, incarnation, interval_s)


def make_record() -> BalancerRecord:
    """Return the record of a balancer of the same failure domain."""
    return BalancerRecord('b1', 'a', 1, 1, MemberState.alive, NEAR, NEAR)


class TestKnownBalancers:
    """Balancers from hellos, the store and the seeds."""

    def test_near_and_far(self) -> None:
        """Guards against needless reports across failure domains."""
        known = KnownBalancers('a')
        assert known.on_hello(0, hello(), NEAR)
        assert known.on_hello(0, hello('b'), FAR)
        assert not known.on_hello(1, hello(), NEAR)
        assert known.addresses(near_only=True) == [NEAR]
        assert known.addresses() == [NEAR, FAR]

    def test_isolated(self) -> None:
        """Guards against a host whose deleted object is not written again."""
        known = KnownBalancers('a')
        assert not known.was_isolated(1000)
        known.on_hello(1000, hello(), NEAR)
        assert not known.was_isolated(1000 + ISOLATION_THRESHOLD_S / 2)
        assert known.was_isolated(1001 + ISOLATION_THRESHOLD_S)

    def test_hello_overdue(self) -> None:
        """Guards against an agent that no balancer ever learns of.

        The agent lists the balancers in the store while no hello arrives. A
        listed balancer does not count as one that has sent a hello.
        """
        known = KnownBalancers('a')
        known.on_listed(0, [make_record()])
        assert known.is_hello_overdue(0)
        known.on_hello(1, hello(), NEAR)
        assert not known.is_hello_overdue(1 + HELLO_TIMEOUT_S)
        assert known.is_hello_overdue(1.1 + HELLO_TIMEOUT_S)

    def test_restarted(self) -> None:
        """Guards against a restarted balancer without reports.

        Its address is known from before, or from the store, but the restarted
        process has not received any report.
        """
        known = KnownBalancers('a')
        known.on_listed(0, [make_record()])
        assert known.on_hello(0, hello(), NEAR)
        assert not known.on_hello(1, hello(), NEAR)
        assert known.on_hello(2, hello(incarnation=2), NEAR)
        assert not known.on_hello(3, hello(incarnation=2), NEAR)

    def test_listed_after_hello(self) -> None:
        """Guards against a list that shortens the lifetime of a balancer.

        In a large fleet, hellos are further apart than the lifetime of a
        listed balancer.
        """
        known = KnownBalancers('a')
        known.on_hello(0, hello(interval_s=BALANCER_TIMEOUT_S), NEAR)
        known.on_listed(1, [make_record()])
        known.expire(BALANCER_TIMEOUT_S + 2)
        assert known.addresses() == [NEAR]
        assert not known.on_hello(3, hello(), NEAR)

    def test_expired(self) -> None:
        """Guards against reports to balancers that have ended."""
        known = KnownBalancers('a')
        known.on_seeds(0, [FAR])
        slow_s = BALANCER_TIMEOUT_S
        known.on_hello(0, hello(interval_s=slow_s), NEAR)
        known.expire(BALANCER_TIMEOUT_S + 1)
        assert known.addresses() == [NEAR]
        known.expire(BALANCER_TIMEOUT_INTERVALS * slow_s + 1)
        assert not len(known)

    def test_all_silent(self) -> None:
        """Guards against an agent that forgets where the balancers are.

        All have restarted while the store is down, and know nobody.
        """
        known = KnownBalancers('a')
        known.on_hello(0, hello(), NEAR)
        known.on_hello(0, hello('b'), FAR)
        assert not known.next_lost()
        known.expire(BALANCER_TIMEOUT_S + 1)
        tried = [known.next_lost() for _ in range(4)]
        assert tried == [[NEAR], [FAR], [NEAR], [FAR]]
        known.on_hello(BALANCER_TIMEOUT_S + 2, hello(), NEAR)
        assert not known.next_lost()

    def test_silent_one_by_one(self) -> None:
        """Guards against an agent that tries a single host without power.

        Its other balancers have timed out before, and restarted since.
        """
        known = KnownBalancers('a')
        known.on_hello(0, hello(), NEAR)
        known.on_hello(5, hello('b'), FAR)
        known.expire(BALANCER_TIMEOUT_S + 1)
        assert known.addresses() == [FAR]
        known.expire(BALANCER_TIMEOUT_S + 6)
        tried = [known.next_lost() for _ in range(4)]
        assert tried == [[FAR], [NEAR], [FAR], [NEAR]]

    def test_many_lost(self) -> None:
        """Guards against addresses that are kept without a limit.

        Those lost last are kept, each once.
        """
        known = KnownBalancers('a')
        lost = [Address('10.0.0.9', port) for port in range(MAX_LOST + 2)]
        for now, address in enumerate([lost[-1], *lost]):
            start = now * (BALANCER_TIMEOUT_S + 1)
            known.on_hello(start, hello(), address)
            known.expire(start + BALANCER_TIMEOUT_S + 0.5)
        tried = [known.next_lost()[0] for _ in range(MAX_LOST)]
        assert tried == lost[:1:-1]
        assert known.next_lost() == [lost[-1]]

    def test_informed(self) -> None:
        """Guards against a restarted balancer that is named as a source."""
        known = KnownBalancers('a')
        known.on_seeds(0, [NEAR])
        assert not known.informed()
        known.on_hello(0, hello('b'), FAR)
        assert [each.address for each in known.informed()] == [FAR]
        known.on_hello(0, hello(), NEAR)
        known.on_listed(1, [make_record()])
        assert known.informed() == [('b1', NEAR)]
        known.on_hello(2, hello(interval_s=0.0, incarnation=2), NEAR)
        assert [each.address for each in known.informed()] == [FAR]
