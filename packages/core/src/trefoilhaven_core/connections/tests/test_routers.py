"""Tests of the placement of connections by a balancer."""

import random

from trefoilhaven_core.connections.effects import (
    DropSegment,
    Placed,
    ResetClient,
)
from trefoilhaven_core.connections.messages import (
    ConnectionAccepted,
    ConnectionLoad,
    SegmentFlag,
    Verdict,
)
from trefoilhaven_core.connections.routers import (
    OPENING_TRIES,
    ConnectionRouter,
)
from trefoilhaven_core.connections.routes import (
    AddressRoutes,
    RouteConfiguration,
)
from trefoilhaven_core.connections.silences import SILENCE_TIMEOUT_S
from trefoilhaven_core.connections.target_selection import TargetSelector
from trefoilhaven_core.connections.tests.router_fixture import (
    KEY,
    RouterFixture,
    forwarded,
)
from trefoilhaven_core.connections.tests.support import (
    make_member,
    make_report,
    make_routes,
    make_segment,
    only,
    opening,
)
from trefoilhaven_core.membership.messages import (
    Member,
    MemberState,
)


class TestOpening:
    """Selection of targets for new connections."""

    def test_near_and_idle(self) -> None:
        """Guards against unnecessary traffic between failure domains."""
        fixture = RouterFixture()
        assert fixture.open() in {'t1', 't2'}

    def test_spill_over(self) -> None:
        """Guards against queues at near targets while a far one is idle."""
        fixture = RouterFixture()
        fixture.report(0.05, t1=4, t2=4)
        assert fixture.open() == 't3'

    def test_silent_is_avoided(self) -> None:
        """Guards against connections to an agent that has stopped."""
        fixture = RouterFixture()
        later = SILENCE_TIMEOUT_S + 0.1
        fixture.router.on_report(later, make_report(fixture.members['t3']))
        assert fixture.open(later) == 't3'

    def test_reports_of_a_large_fleet(self) -> None:
        """Guards against far targets that seem silent between reports.

        With many balancers an agent reports less often, but a load peak in
        one failure domain must still spill over to the others.
        """
        fixture = RouterFixture()
        fixture.selector.failure_detector.report_s = 1.5
        later = SILENCE_TIMEOUT_S + 0.4
        for name in ('t1', 't2'):
            report = make_report(fixture.members[name], waiting=5)
            fixture.router.on_report(later, report)
        assert fixture.open(later) == 't3'

    def test_unresponsive_is_avoided(self) -> None:
        """Guards against new connections to an unresponsive target."""
        fixture = RouterFixture()
        for name in ('t1', 't2'):
            report = make_report(fixture.members[name])
            fixture.router.on_report(0.05, report._replace(is_silent=True))
        assert fixture.open() == 't3'

    def test_failing_is_avoided(self) -> None:
        """Guards against a target that seems idle because it fails fast."""
        fixture = RouterFixture()
        fixture.report(0.05, t1=2, t2=2)
        failing = ConnectionLoad(1, 0, 0.001, odd_share=0.8)
        report = make_report(fixture.members['t3'])
        fixture.router.on_report(0.05, report._replace(load=failing))
        assert fixture.open() in {'t1', 't2'}

    def test_all_respond_alike(self) -> None:
        """Guards against penalties when all responses of a service changed."""
        fixture = RouterFixture()
        for name, waiting in (('t1', 2), ('t2', 2), ('t3', 0)):
            load = ConnectionLoad(2, waiting, 0.001, odd_share=0.8)
            report = make_report(fixture.members[name])
            fixture.router.on_report(0.05, report._replace(load=load))
        assert fixture.open() == 't3'

    def test_draining_is_avoided(self) -> None:
        """Guards against new connections to a draining target."""
        fixture = RouterFixture()
        for name in ('t1', 't3'):
            member: Member = fixture.members[name]
            fixture.members[name] = member._replace(state=MemberState.draining)
        fixture.update_members()
        assert fixture.open() == 't2'

    def test_retransmission_goes_elsewhere(self) -> None:
        """Guards against retransmitted openings sent to a dead target."""
        fixture = RouterFixture()
        first = fixture.open()
        assert fixture.open(0.3, retransmissions=1) != first

    def test_retransmission_after_acceptance(self) -> None:
        """Guards against a second target for an accepted connection."""
        fixture = RouterFixture()
        first = fixture.open()
        accepted = ConnectionAccepted(
            'certify', first, 1, KEY, ConnectionLoad(1)
        )
        fixture.router.on_accepted(0.2, accepted)
        assert fixture.open(0.3, retransmissions=1) == first

    def test_refused(self) -> None:
        """Guards against the loss of a refused opening segment."""
        fixture = RouterFixture()
        first = fixture.open()
        second = forwarded(fixture.return_opening(0.2, first))
        third = forwarded(fixture.return_opening(0.3, second))
        assert len({first, second, third}) == 3

    def test_tries_are_limited(self) -> None:
        """Guards against an opening segment that is returned endlessly."""
        fixture = RouterFixture()
        target = fixture.open()
        for _ in range(OPENING_TRIES):
            effects = fixture.return_opening(0.2, target)
            if isinstance(effects[0], DropSegment):
                return
            target = forwarded(effects)
        raise AssertionError('the opening was never dropped')

    def test_inputs_are_logged(self) -> None:
        """Guards against a selection without its inputs in the log."""
        fixture = RouterFixture()
        effects = fixture.router.on_segment(0.1, opening(KEY))
        placed = only([each for each in effects if isinstance(each, Placed)])
        assert abs(placed.report_age_s - 0.1) < 1e-9

    def test_no_route(self) -> None:
        """Guards against openings on an address without a route."""
        fixture = RouterFixture()
        key = KEY._replace(service_port=80)
        effect = only(fixture.router.on_segment(0.1, opening(key)))
        assert isinstance(effect, ResetClient)

    def test_no_route_yet(self) -> None:
        """Guards against a reset by a balancer without any routes."""
        router = ConnectionRouter(
            AddressRoutes(), TargetSelector('a'), random.Random(1)
        )
        effect = only(router.on_segment(0.1, opening(KEY)))
        assert isinstance(effect, DropSegment)


class TestReusedPort:
    """Openings from the port of a connection that the balancer knows."""

    NEXT = 900

    def reopen(self, fixture: RouterFixture, sequence: int = NEXT) -> str:
        """Return the target of an opening with another sequence number."""
        segment = opening(KEY, sequence=sequence)
        return forwarded(fixture.router.on_segment(30, segment))

    def test_route_changed(self) -> None:
        """Guards against a connection at the service of an older route.

        The route was removed, and added again for another service.
        """
        fixture = RouterFixture()
        target = fixture.open()
        fixture.accept(target)
        fixture.members['n1'] = make_member('n1', 'collect')
        fixture.selector.set_members('collect', [fixture.members['n1']])
        fixture.routes.offer(RouteConfiguration(2, (), 15.0))
        fixture.routes.offer(make_routes(3, 'collect'))
        fixture.report(29.9)
        assert self.reopen(fixture) == 'n1'

    def test_draining(self) -> None:
        """Guards against a connection at a target that is leaving."""
        fixture = RouterFixture()
        target = fixture.open()
        fixture.accept(target)
        member = fixture.members[target]
        fixture.members[target] = member._replace(state=MemberState.draining)
        fixture.update_members()
        fixture.report(29.9)
        assert self.reopen(fixture) != target

    def test_found_by_search(self) -> None:
        """Guards against the same for a connection that was searched for."""
        fixture = RouterFixture()
        fixture.router.on_segment(1, make_segment(KEY, length=5))
        fixture.reply(1, 't3', Verdict.held)
        fixture.report(29.9)
        assert self.reopen(fixture) != 't3'

    def test_copy(self) -> None:
        """Guards against a copy that opens a second connection."""
        fixture = RouterFixture()
        target = fixture.open()
        fixture.accept(target)
        fixture.report(29.9)
        assert self.reopen(fixture, opening(KEY).sequence) == target

    def test_earlier_opening_returned(self) -> None:
        """Guards against a second placement by a late return."""
        fixture = RouterFixture()
        target = fixture.open()
        fixture.report(29.9)
        self.reopen(fixture)
        assert not fixture.return_opening(30, target)


class TestCache:
    """Connections that a balancer forgets."""

    def test_route_removed(self) -> None:
        """Guards against connections that outlive their route."""
        fixture = RouterFixture()
        fixture.open()
        fixture.routes.offer(RouteConfiguration(2, (), 15.0))
        fixture.router.on_segment(1, make_segment(KEY, length=5))
        assert not len(fixture.router)

    def test_reset(self) -> None:
        """Guards against connections that outlive their client."""
        fixture = RouterFixture()
        fixture.accept(fixture.open())
        reset = make_segment(KEY, SegmentFlag.reset)
        assert fixture.router.on_segment(1, reset)
        assert not len(fixture.router)


class TestReturnedOpenings:
    """Opening segments that an agent returns during a search."""

    def test_no_verdict(self) -> None:
        """Guards against a reset because a target accepts no connections.

        A delayed copy of the opening segment comes back from the holder,
        which is full, while all other targets deny the connection.
        """
        fixture = RouterFixture()
        fixture.router.on_segment(1, make_segment(KEY))
        effects = fixture.reply(1.01, 't2', Verdict.absent)
        effects += fixture.reply(1.01, 't3', Verdict.absent)
        effects += fixture.return_opening(1.02, 't1')
        assert not any(isinstance(effect, ResetClient) for effect in effects)
        assert forwarded(fixture.reply(1.03, 't1', Verdict.held)) == 't1'


class TestRoutes:
    """Versions of routes and former services."""

    def test_no_lower_version(self) -> None:
        """Guards against a return to a lower version."""
        routes = AddressRoutes()
        assert routes.offer(make_routes(5, 'certify'))
        assert not routes.offer(make_routes(4, 'collect'))
        assert not routes.offer(make_routes(5, 'collect'))
        assert routes.choose((1, 443), random.Random(1)) == 'certify'

    def test_former_services(self) -> None:
        """Guards against searches without the former services."""
        routes = AddressRoutes()
        routes.offer(make_routes(1, 'certify'))
        routes.offer(make_routes(2, 'collect'))
        assert routes.holder_services((1, 443)) == {'certify', 'collect'}

    def test_removed(self) -> None:
        """Guards against new connections on a removed route."""
        routes = AddressRoutes()
        routes.offer(make_routes(1, 'certify'))
        empty = make_routes(2, 'certify')._replace(routes=())
        routes.offer(empty)
        assert routes.choose((1, 443), random.Random(1)) is None
        assert not routes.holder_services((1, 443))


class TestColdTargets:
    """Cold targets that return opening segments."""

    def test_refused(self) -> None:
        """Guards against openings that a cold target returns again.

        Another target gets them for a second, even if its slots are busy.
        """
        fixture = RouterFixture()
        fixture.report(0, t2=9, t3=9)
        member = fixture.members['t1']
        report = make_report(member)._replace(is_cold=True)
        fixture.router.on_report(0, report)
        assert fixture.open(0.1) == 't1'
        fixture.return_opening(0.2, 't1')
        choose = fixture.selector.choose
        rng = random.Random(1)
        early = {choose(1.1, rng, 'certify') for _ in range(20)}
        assert member not in early
        fixture.report(1.2, t2=9, t3=9)
        assert choose(1.2, rng, 'certify') == member

    def test_warm(self) -> None:
        """Guards against a pause of a target that refused one connection."""
        fixture = RouterFixture()
        fixture.report(0, t2=9, t3=9)
        assert fixture.open(0.1) == 't1'
        fixture.return_opening(0.2, 't1')
        chosen = fixture.selector.choose(0.3, random.Random(1), 'certify')
        assert chosen == fixture.members['t1']
