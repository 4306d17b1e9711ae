"""Tests of the share of new connections for other failure domains."""

import random
from collections import Counter

from trefoilhaven_core.connections.domain_loads import (
    DomainLoad,
    domain_loads,
)
from trefoilhaven_core.connections.domain_shares import DomainShares
from trefoilhaven_core.connections.messages import ConnectionLoad, TargetReport
from trefoilhaven_core.connections.round_trips import RoundTrips
from trefoilhaven_core.connections.service_shares import (
    MAX_RISE_PER_S,
    UPDATE_S,
    ServiceShares,
)
from trefoilhaven_core.connections.target_selection import TargetSelector
from trefoilhaven_core.connections.target_states import TargetState
from trefoilhaven_core.connections.tests.support import key_of, make_member

COST_S = 0.005
IDLE = DomainLoad(0.0, 0.8, 100.0)
QUEUED = DomainLoad(0.2, 0.0, 100.0)
FULL = DomainLoad(0.2, 0.0, 100.0)


class ShareFixture:
    """Shares of a gateway in the failure domain a."""

    def __init__(self) -> None:
        """Start without a decision."""
        self.now = 0.0
        self.round_trips = RoundTrips()
        self.shares = ServiceShares('a', COST_S)

    def decide(self, seconds: float, **loads: DomainLoad) -> dict[str, float]:
        """Let loads last for a time; return the shares at its end."""
        for _ in range(round(seconds / UPDATE_S)):
            self.now += UPDATE_S
            self.shares.decide(self.now, loads, self.round_trips)
        return dict(self.shares.shares)


class TestCrossing:
    """When connections leave the own failure domain, and where to."""

    def test_idle(self) -> None:
        """Guards against bytes between domains that nobody needs."""
        assert not ShareFixture().decide(5, a=IDLE, b=IDLE)

    def test_short_wait(self) -> None:
        """Guards against crossing for less than its cost."""
        short = DomainLoad(COST_S, 0.02, 100.0)
        assert not ShareFixture().decide(5, a=short, b=IDLE)

    def test_queue(self) -> None:
        """Guards against callers who wait while other domains are idle."""
        shares = ShareFixture().decide(2, a=QUEUED, b=IDLE, c=IDLE)
        assert sum(shares.values()) > 0.5
        assert abs(shares['b'] - shares['c']) < 0.01

    def test_rate_of_change(self) -> None:
        """Guards against all gateways that move at once on one report."""
        fixture = ShareFixture()
        fixture.decide(1, a=IDLE, b=IDLE)
        before = 0.0
        for _ in range(20):
            after = fixture.decide(UPDATE_S, a=QUEUED, b=IDLE).get('b', 0.0)
            assert after - before <= MAX_RISE_PER_S * UPDATE_S + 1e-9
            before = after

    def test_more_room(self) -> None:
        """Guards against a small domain that is filled before a large one."""
        large = IDLE._replace(rate_per_s=400.0)
        shares = ShareFixture().decide(1, a=QUEUED, b=IDLE, c=large)
        assert shares['c'] > 3 * shares['b']

    def test_all_full(self) -> None:
        """Guards against bytes that serve nobody when all are full."""
        assert not ShareFixture().decide(5, a=QUEUED, b=FULL, c=FULL)

    def test_fills(self) -> None:
        """Guards against a domain that loses its room to other callers."""
        fixture = ShareFixture()
        before = fixture.decide(2, a=QUEUED, b=IDLE)['b']
        waiting = DomainLoad(0.12, 0.0, 100.0)
        assert fixture.decide(3, a=QUEUED, b=waiting)['b'] < before

    def test_slow_link(self) -> None:
        """Guards against crossing to a domain that is far away."""
        fixture = ShareFixture()
        fixture.round_trips.on_placed(0.0, key_of(1), 'b')
        fixture.round_trips.on_accepted(0.5, key_of(1), 'b')
        shares = fixture.decide(1, a=QUEUED, b=IDLE, c=IDLE)
        assert 'b' not in shares
        assert shares['c'] > 0

    def test_unreachable(self) -> None:
        """Guards against a share for a domain that is cut off."""
        fixture = ShareFixture()
        fixture.decide(2, a=QUEUED, b=IDLE, c=IDLE)
        shares = fixture.decide(UPDATE_S, a=QUEUED, c=IDLE)
        assert set(shares) == {'c'}

    def test_returns(self) -> None:
        """Guards against crossing that lasts when the own domain is enough."""
        fixture = ShareFixture()
        fixture.decide(3, a=QUEUED, b=IDLE)
        assert not fixture.decide(7, a=IDLE, b=IDLE)

    def test_steady(self) -> None:
        """Guards against shares that go up and down with small changes."""
        fixture = ShareFixture()
        fixture.decide(1, a=QUEUED, b=IDLE)
        enough = DomainLoad(0.004, 0.05, 100.0)
        seen = [
            fixture.decide(0.5, a=enough, b=IDLE).get('b', 0.0)
            for _ in range(10)
        ]
        assert max(seen[2:]) - min(seen[2:]) < 0.05

    def test_no_own_targets(self) -> None:
        """Guards against callers without targets in their domain."""
        shares = ShareFixture().decide(UPDATE_S, b=IDLE, c=IDLE)
        assert abs(sum(shares.values()) - 1) < 1e-9

    def test_own_targets_fail(self) -> None:
        """Guards against a domain that seems idle as all its targets fail."""
        failing = DomainLoad(0.0, 0.0, 0.0)
        shares = ShareFixture().decide(UPDATE_S, a=failing, b=IDLE)
        assert shares == {'b': 1.0}

    def test_pause(self) -> None:
        """Guards against a jump after a time without new connections."""
        fixture = ShareFixture()
        fixture.decide(1, a=IDLE, b=IDLE)
        fixture.now += 60
        shares = fixture.decide(UPDATE_S, a=QUEUED, b=IDLE)
        assert shares['b'] <= MAX_RISE_PER_S


class TestLoads:
    """Load and room of failure domains, from those of their targets."""

    def test_domains(self) -> None:
        """Guards against waits that ignore slots, speed or a cold target."""
        targets = []
        for name, domain, waiting in (
            ('1', 'a', 4),
            ('2', 'a', 0),
            ('3', 'b', 1),
        ):
            target = TargetState(make_member(name, domain=domain))
            target.on_load(ConnectionLoad(waiting, waiting, 0.02))
            target.reported_waiting = waiting
            targets.append(target)
        targets[2].is_cold = True
        loads = domain_loads(targets)
        # Two of the four slots in a are free, and two requests wait for one.
        assert loads['a'] == DomainLoad(0.01, 0.5, 200.0)
        assert loads['b'] == DomainLoad(0.0, 0.5, 50.0)

    def test_failing(self) -> None:
        """Guards against failing targets that count as room."""
        targets = []
        for number in range(3):
            target = TargetState(make_member(f't{number}', domain='a'))
            target.on_load(ConnectionLoad(0, 0, 0.02))
            targets.append(target)
        targets[0].on_load(ConnectionLoad(0, 0, 0.001, 0.9))
        assert domain_loads(targets)['a'].rate_per_s == 200.0


class TestSelection:
    """Selection of a failure domain for each new connection."""

    def test_shares(self) -> None:
        """Guards against connections that do not follow the shares."""
        selector = TargetSelector('a', COST_S)
        members = [
            make_member(f't{number}', domain='abc'[number % 3])
            for number in range(9)
        ]
        selector.set_members('certify', members)
        rng = random.Random(5)
        counts: Counter[str] = Counter()
        for step in range(400):
            now = step * 0.025
            for member in members:
                waiting = 30 if member.failure_domain == 'a' else 0
                load = ConnectionLoad(waiting, waiting, 0.02)
                selector.on_report(
                    now, TargetReport(member, load, False, False)
                )
            chosen = selector.choose(now, rng, 'certify')
            assert chosen is not None
            counts[chosen.failure_domain] += step >= 200
        assert counts['b'] + counts['c'] > 150

    def test_filled(self) -> None:
        """Guards against a queue elsewhere that is longer than the own one.

        A share lasts longer than the room that it was decided for.
        """
        shares = DomainShares('a', COST_S)
        near = TargetState(make_member('t1'))
        far = TargetState(make_member('t2', domain='b'))
        rng = random.Random(5)
        for target, waiting in ((near, 40), (far, 0)):
            target.on_load(ConnectionLoad(waiting, waiting, 0.02))
            target.reported_waiting = waiting
        for step in range(20):
            shares.select(step * UPDATE_S, 'certify', [near, far], rng)
        assert shares.shares('certify')['b'] > 0.9
        far.on_load(ConnectionLoad(60, 60, 0.02))
        now = 19 * UPDATE_S + 0.01
        chosen = shares.select(now, 'certify', [near, far], rng)
        assert chosen is near

    def test_tried(self) -> None:
        """Guards against a share for a domain whose targets were all tried."""
        shares = DomainShares('a', COST_S)
        targets = [TargetState(make_member('t1', domain='b'))]
        rng = random.Random(5)
        assert shares.select(0.0, 'certify', targets, rng) is targets[0]
        own = [TargetState(make_member('t2'))]
        assert shares.select(0.01, 'certify', own, rng) is own[0]
