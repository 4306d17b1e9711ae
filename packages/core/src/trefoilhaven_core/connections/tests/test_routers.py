"""Decisions of a balancer about segments."""

import random

from trefoilhaven_core.connections.effects import (
    AskMember,
    AskPeer,
    DropSegment,
    Effect,
    Placed,
    ResetClient,
    SendMessage,
)
from trefoilhaven_core.connections.holder_search import SEARCH_TIMEOUT_S
from trefoilhaven_core.connections.messages import (
    Answer,
    ConnectionAccepted,
    ConnectionLoad,
    HolderReply,
    KnownRoute,
    ReturnReason,
    RouteQuery,
    RouteReply,
    Segment,
    SegmentForward,
    SegmentReturn,
    Verdict,
)
from trefoilhaven_core.connections.routers import (
    OPENING_TRIES,
    ConnectionRouter,
)
from trefoilhaven_core.connections.routes import AddressRoutes
from trefoilhaven_core.connections.target_selection import (
    SILENCE_TIMEOUT_S,
    TargetSelector,
)
from trefoilhaven_core.connections.tests.support import (
    key_of,
    make_member,
    make_report,
    make_routes,
    make_segment,
    only,
    opening,
)
from trefoilhaven_core.membership.messages import (
    Address,
    Member,
    MemberState,
)

KEY = key_of(1)


class RouterFixture:
    """A balancer with three targets, two of them near."""

    def __init__(self) -> None:
        """Start with the route and all reports."""
        self.members = {
            't1': make_member('t1'),
            't2': make_member('t2'),
            't3': make_member('t3', domain='b'),
        }
        self.routes = AddressRoutes()
        self.routes.offer(make_routes(1, 'certify'))
        self.spread = TargetSelector('a')
        self.router = ConnectionRouter(
            self.routes, self.spread, random.Random(1)
        )
        self.router.is_membership_complete = True
        self.tell()
        self.report(0)

    def tell(self) -> None:
        """Tell the members."""
        self.spread.set_members('certify', self.members.values())

    def report(self, now: float, **waiting: int) -> None:
        """Let all agents report."""
        for name, member in self.members.items():
            report = make_report(member, waiting=waiting.get(name, 0))
            self.router.on_report(now, report)

    def open(self, now: float = 0.1, copy: int = 0) -> str:
        """Return the target that gets an opening segment."""
        return forwarded(self.router.on_segment(now, opening(KEY, copy)))

    def reply(self, now: float, target: str, verdict: Verdict) -> list[Effect]:
        """Let an agent answer."""
        answers = (Answer(KEY, verdict),)
        reply = HolderReply('certify', target, 1, answers)
        return self.router.on_reply(now, reply)

    def hand_back(self, now: float, target: str) -> list[Effect]:
        """Let an agent hand an opening segment back."""
        segment = opening(KEY)
        returned = SegmentReturn(
            'certify', target, 1, ReturnReason.not_accepted, segment.raw
        )
        return self.router.on_return(now, returned, segment)


def forwarded(effects: list[Effect]) -> str:
    """Return the target of the only forwarded segment."""
    name = only(
        [
            effect.message.target
            for effect in effects
            if isinstance(effect, SendMessage)
            and isinstance(effect.message, SegmentForward)
        ]
    )
    return name


def asked(effects: list[Effect]) -> set[str]:
    """Return the targets whose agents are asked."""
    return {
        effect.member.target
        for effect in effects
        if isinstance(effect, AskMember)
    }


class TestOpening:
    """New connections."""

    def test_near_and_free(self) -> None:
        """Guards against traffic between failure domains without need."""
        bench = RouterFixture()
        assert bench.open() in {'t1', 't2'}

    def test_spill_over(self) -> None:
        """Guards against a queue at near targets while a far one is free."""
        bench = RouterFixture()
        bench.report(0.05, t1=4, t2=4)
        assert bench.open() == 't3'

    def test_silent_is_left_out(self) -> None:
        """Guards against connections to an agent that has stopped."""
        bench = RouterFixture()
        later = SILENCE_TIMEOUT_S + 0.1
        bench.router.on_report(later, make_report(bench.members['t3']))
        assert bench.open(later) == 't3'

    def test_reports_of_a_large_fleet(self) -> None:
        """Guards against far targets that seem silent between reports.

        With many balancers an agent reports less often, and a crest in one
        failure domain must still spill over to the others.
        """
        bench = RouterFixture()
        bench.spread.failure_detector.report_s = 1.5
        later = SILENCE_TIMEOUT_S + 0.4
        for name in ('t1', 't2'):
            report = make_report(bench.members[name], waiting=5)
            bench.router.on_report(later, report)
        assert bench.open(later) == 't3'

    def test_hanging_is_left_out(self) -> None:
        """Guards against connections to a target that does not answer."""
        bench = RouterFixture()
        for name in ('t1', 't2'):
            report = make_report(bench.members[name])
            bench.router.on_report(0.05, report._replace(is_silent=True))
        assert bench.open() == 't3'

    def test_failing_is_left_out(self) -> None:
        """Guards against a target that looks free since it fails at once."""
        bench = RouterFixture()
        bench.report(0.05, t1=2, t2=2)
        failing = ConnectionLoad(1, 0, 0.001, odd_share=0.8)
        report = make_report(bench.members['t3'])
        bench.router.on_report(0.05, report._replace(load=failing))
        assert bench.open() in {'t1', 't2'}

    def test_all_answer_alike(self) -> None:
        """Guards against a changed service whose targets all look odd."""
        bench = RouterFixture()
        for name, waiting in (('t1', 2), ('t2', 2), ('t3', 0)):
            load = ConnectionLoad(2, waiting, 0.001, odd_share=0.8)
            report = make_report(bench.members[name])
            bench.router.on_report(0.05, report._replace(load=load))
        assert bench.open() == 't3'

    def test_draining_is_left_out(self) -> None:
        """Guards against new work at a target that leaves."""
        bench = RouterFixture()
        for name in ('t1', 't3'):
            member: Member = bench.members[name]
            bench.members[name] = member._replace(state=MemberState.draining)
        bench.tell()
        assert bench.open() == 't2'

    def test_copy_goes_elsewhere(self) -> None:
        """Guards against a client that waits for a dead target."""
        bench = RouterFixture()
        first = bench.open()
        assert bench.open(0.3, copy=1) != first

    def test_copy_after_acceptance(self) -> None:
        """Guards against a second target for an accepted connection."""
        bench = RouterFixture()
        first = bench.open()
        accepted = ConnectionAccepted(
            'certify', first, 1, KEY, ConnectionLoad(1)
        )
        bench.router.on_accepted(0.2, accepted)
        assert bench.open(0.3, copy=1) == first

    def test_refused(self) -> None:
        """Guards against a refused opening that is lost."""
        bench = RouterFixture()
        first = bench.open()
        second = forwarded(bench.hand_back(0.2, first))
        third = forwarded(bench.hand_back(0.3, second))
        assert len({first, second, third}) == 3

    def test_tries_end(self) -> None:
        """Guards against an opening that circulates for ever."""
        bench = RouterFixture()
        target = bench.open()
        for _ in range(OPENING_TRIES):
            effects = bench.hand_back(0.2, target)
            if isinstance(effects[0], DropSegment):
                return
            target = forwarded(effects)
        raise AssertionError('the opening was never dropped')

    def test_inputs_are_logged(self) -> None:
        """Guards against a choice that nobody can explain afterwards."""
        bench = RouterFixture()
        effects = bench.router.on_segment(0.1, opening(KEY))
        placed = only([each for each in effects if isinstance(each, Placed)])
        assert abs(placed.report_age_s - 0.1) < 1e-9

    def test_no_route(self) -> None:
        """Guards against a removed route that goes on."""
        bench = RouterFixture()
        key = KEY._replace(service_port=80)
        effect = only(bench.router.on_segment(0.1, opening(key)))
        assert isinstance(effect, ResetClient)

    def test_no_route_yet(self) -> None:
        """Guards against a reset by a balancer without any routes."""
        router = ConnectionRouter(
            AddressRoutes(), TargetSelector('a'), random.Random(1)
        )
        effect = only(router.on_segment(0.1, opening(KEY)))
        assert isinstance(effect, DropSegment)


class TestSearch:
    """Segments of connections that the balancer does not know."""

    def test_found(self) -> None:
        """Guards against segments that wait while the holder is known."""
        bench = RouterFixture()
        segment = make_segment(KEY, acknowledged=9)
        assert asked(bench.router.on_segment(1, segment)) == {'t1', 't2', 't3'}
        bench.router.on_segment(1, segment)
        effects = bench.reply(1.01, 't3', Verdict.held)
        sent = [each for each in effects if isinstance(each, SendMessage)]
        assert len(sent) == 2
        later = bench.router.on_segment(1.1, segment)
        assert forwarded(later) == 't3'

    def test_nobody(self) -> None:
        """Guards against a client that waits for a lost connection."""
        bench = RouterFixture()
        bench.router.on_segment(1, make_segment(KEY, acknowledged=77))
        assert not bench.reply(1.01, 't1', Verdict.absent)
        assert not bench.reply(1.01, 't2', Verdict.absent)
        effect = only(bench.reply(1.02, 't3', Verdict.absent))
        assert isinstance(effect, ResetClient)
        assert effect.sequence == 77

    def test_incomplete_list(self) -> None:
        """Guards against a reset by a balancer that has just started.

        A list that is completed during the search does not help, since
        the search asked the members of before.
        """
        bench = RouterFixture()
        bench.router.is_membership_complete = False
        bench.router.on_segment(1, make_segment(KEY))
        bench.router.is_membership_complete = True
        effects: list[Effect] = []
        for name in bench.members:
            effects.extend(bench.reply(1.01, name, Verdict.absent))
        assert [type(each) for each in effects] == [DropSegment]

    def test_one_is_silent(self) -> None:
        """Guards against a reset while an agent has not answered."""
        bench = RouterFixture()
        bench.router.on_segment(1, make_segment(KEY))
        bench.reply(1.01, 't1', Verdict.absent)
        bench.reply(1.01, 't2', Verdict.absent)
        effects = bench.router.tick(1 + SEARCH_TIMEOUT_S)
        assert ResetClient not in {type(each) for each in effects}
        assert not bench.router.searches

    def test_host_is_lost(self) -> None:
        """Guards against searches that wait for a host lost for good."""
        bench = RouterFixture()
        for step in range(1, 40):
            now = 0.25 * step
            for name in ('t1', 't2'):
                report = make_report(bench.members[name])
                bench.router.on_report(now, report)
            bench.router.tick(now)
        asking = bench.router.on_segment(9.8, make_segment(KEY))
        assert asked(asking) == {'t1', 't2'}
        assert not bench.reply(9.81, 't1', Verdict.absent)
        effect = only(bench.reply(9.81, 't2', Verdict.absent))
        assert isinstance(effect, ResetClient)

    def test_asked_again(self) -> None:
        """Guards against a lost question."""
        bench = RouterFixture()
        bench.router.on_segment(1, make_segment(KEY))
        bench.reply(1.01, 't1', Verdict.absent)
        assert asked(bench.router.tick(1.1)) == {'t2', 't3'}
        assert not asked(bench.router.tick(1.15))

    def test_unsure_is_offered(self) -> None:
        """Guards against connections of a target whose agent restarted."""
        bench = RouterFixture()
        bench.router.on_segment(1, make_segment(KEY))
        bench.reply(1.01, 't1', Verdict.absent)
        bench.reply(1.01, 't2', Verdict.absent)
        effects = bench.reply(1.01, 't3', Verdict.unsure)
        assert forwarded(effects) == 't3'

    def test_former_service(self) -> None:
        """Guards against resets of connections that the route left."""
        bench = RouterFixture()
        other = make_member('o1', 'collect')
        bench.spread.set_members('collect', [other])
        bench.router.on_segment(1, make_segment(KEY))
        effects: list[Effect] = []
        for name in bench.members:
            effects = bench.reply(1.01, name, Verdict.absent)
        assert asked(effects) == {'o1'}

    def test_target_left(self) -> None:
        """Guards against a cache that outlives the target."""
        bench = RouterFixture()
        bench.router.on_segment(1, make_segment(KEY))
        bench.reply(1.01, 't3', Verdict.held)
        left = bench.members['t3']._replace(state=MemberState.left)
        bench.members['t3'] = left
        bench.tell()
        effects = bench.router.on_segment(2, make_segment(KEY))
        assert asked(effects) == {'t1', 't2'}


class TestPeers:
    """Other balancers of the failure domain, which are asked first."""

    PEER = Address('b2', 7000)

    def start(self) -> tuple[RouterFixture, Segment]:
        """Return a balancer that asks its peer for a connection."""
        bench = RouterFixture()
        bench.router.peers = (self.PEER,)
        segment = make_segment(KEY, acknowledged=9)
        effect = only(bench.router.on_segment(1, segment))
        assert effect == AskPeer(self.PEER, KEY)
        return bench, segment

    def test_known(self) -> None:
        """Guards against questions to all agents after a change of hash."""
        bench, segment = self.start()
        other = RouterFixture()
        target = other.open()
        accepted = ConnectionAccepted(
            'certify', target, 1, KEY, ConnectionLoad(1)
        )
        other.router.on_accepted(0.2, accepted)
        reply = other.router.on_route_query(RouteQuery((KEY,)))
        effects = bench.router.on_route_reply(1, reply, self.PEER)
        assert forwarded(effects) == target
        assert forwarded(bench.router.on_segment(2, segment)) == target

    def test_not_accepted(self) -> None:
        """Guards against the place of an opening that was refused."""
        other = RouterFixture()
        other.open()
        reply = other.router.on_route_query(RouteQuery((KEY,)))
        assert reply == RouteReply((), (KEY,))

    def test_unknown(self) -> None:
        """Guards against a wait for peers that never had it."""
        bench, _ = self.start()
        reply = RouteReply((), (KEY,))
        effects = bench.router.on_route_reply(1, reply, self.PEER)
        assert asked(effects) == {'t1', 't2', 't3'}

    def test_peer_has_ended(self) -> None:
        """Guards against a wait for a peer that does not answer."""
        bench, _ = self.start()
        assert not bench.router.tick(1.01)
        assert asked(bench.router.tick(1.03)) == {'t1', 't2', 't3'}

    def test_wrong_place(self) -> None:
        """Guards against segments that go round with an old route.

        The agent hands the segment back, and its peers are not asked again.
        """
        bench, segment = self.start()
        routes = (KnownRoute(KEY, 'certify', 't1', 1),)
        reply = RouteReply(routes, ())
        bench.router.on_route_reply(1, reply, self.PEER)
        returned = SegmentReturn(
            'certify', 't1', 1, ReturnReason.not_held, segment.raw
        )
        effects = bench.router.on_return(1.1, returned, segment)
        assert asked(effects) == {'t1', 't2', 't3'}

    def test_gone_target(self) -> None:
        """Guards against a route to a target that has been replaced."""
        bench, _ = self.start()
        routes = (KnownRoute(KEY, 'certify', 't1', 7),)
        reply = RouteReply(routes, ())
        effects = bench.router.on_route_reply(1, reply, self.PEER)
        assert asked(effects) == {'t1', 't2', 't3'}


class TestRoutes:
    """Versions of the routes."""

    def test_never_back(self) -> None:
        """Guards against a configuration that reverts."""
        routes = AddressRoutes()
        assert routes.offer(make_routes(5, 'certify'))
        assert not routes.offer(make_routes(4, 'collect'))
        assert not routes.offer(make_routes(5, 'collect'))
        assert routes.choose((1, 443), random.Random(1)) == 'certify'

    def test_former_services(self) -> None:
        """Guards against a search that forgets where connections began."""
        routes = AddressRoutes()
        routes.offer(make_routes(1, 'certify'))
        routes.offer(make_routes(2, 'collect'))
        assert routes.holder_services((1, 443)) == {'certify', 'collect'}

    def test_removed(self) -> None:
        """Guards against a removed route that leads on."""
        routes = AddressRoutes()
        routes.offer(make_routes(1, 'certify'))
        empty = make_routes(2, 'certify')._replace(routes=())
        routes.offer(empty)
        assert routes.choose((1, 443), random.Random(1)) is None
        assert not routes.holder_services((1, 443))
