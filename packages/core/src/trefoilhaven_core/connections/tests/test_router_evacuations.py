"""Tests of the placement while failure domains are evacuated."""

import random
from collections import Counter

import pytest
from trefoilhaven_core.connections.effects import (
    DropSegment,
    Effect,
    ResetCause,
    ResetClient,
    SendMessage,
)
from trefoilhaven_core.connections.messages import SegmentFlag
from trefoilhaven_core.connections.tests.router_fixture import (
    KEY,
    RouterFixture,
    forwarded,
)
from trefoilhaven_core.connections.tests.support import (
    key_of,
    make_member,
    make_routes,
    make_segment,
    only,
    opening,
)
from trefoilhaven_core.membership.messages import MemberState


def evacuate(fixture: RouterFixture, *domains: str) -> None:
    """Evacuate some failure domains, and no others."""
    fixture.selector.evacuated_domains = frozenset(domains)


def causes(effects: list[Effect]) -> list[ResetCause]:
    """Return the causes of the resets among some effects."""
    return [each.cause for each in effects if isinstance(each, ResetClient)]


class TestPlacement:
    """Targets of new connections."""

    def test_other_domain(self) -> None:
        """Guards against new connections to an evacuated domain.

        The own domain is the nearest one and has idle targets.
        """
        fixture = RouterFixture()
        evacuate(fixture, 'a')
        fixture.report(0.05, t3=9)
        assert fixture.open() == 't3'

    def test_far_domain(self) -> None:
        """Guards against connections that spill over to an evacuated one."""
        fixture = RouterFixture()
        evacuate(fixture, 'b')
        fixture.report(0.05, t1=9, t2=9)
        assert fixture.open() in {'t1', 't2'}

    def test_silent_targets(self) -> None:
        """Guards against evacuated targets as a fallback for silent ones."""
        fixture = RouterFixture()
        evacuate(fixture, 'a')
        assert fixture.open(now=30) == 't3'

    def test_taken_back(self) -> None:
        """Guards against a domain that stays empty after its return."""
        fixture = RouterFixture()
        evacuate(fixture, 'a')
        evacuate(fixture)
        assert fixture.open() in {'t1', 't2'}

    def test_unknown_domain(self) -> None:
        """Guards against an entry of no domain that changes anything."""
        fixture = RouterFixture()
        evacuate(fixture, 'z', '')
        assert fixture.open() in {'t1', 't2'}

    def test_even_spread(self) -> None:
        """Guards against a preference for one of the remaining domains.

        The callers of an evacuated domain are as far from all others.
        """
        fixture = RouterFixture()
        fixture.members['t4'] = make_member('t4', domain='c')
        fixture.update_members()
        fixture.report(0.05)
        evacuate(fixture, 'a')
        placed = Counter(
            forwarded(fixture.router.on_segment(0.1, opening(key_of(number))))
            for number in range(40)
        )
        assert placed.keys() == {'t3', 't4'}
        assert min(placed.values()) >= 15

    def test_other_service(self) -> None:
        """Guards against resets while another service of the route serves."""
        fixture = RouterFixture()
        fixture.routes.offer(make_routes(2, 'certify', 'collect'))
        member = make_member('t9', service='collect', domain='c')
        fixture.selector.set_members('collect', [member])
        evacuate(fixture, 'a', 'b')
        assert fixture.open() == 't9'


class TestOpenConnections:
    """Connections that were opened before."""

    def test_kept(self) -> None:
        """Guards against an open connection that is reset or moved."""
        fixture = RouterFixture()
        target = fixture.open()
        fixture.accept(target)
        evacuate(fixture, 'a', 'b')
        segment = make_segment(KEY, SegmentFlag.acknowledges, 8, 1, 5)
        assert forwarded(fixture.router.on_segment(0.3, segment)) == target

    def test_search(self) -> None:
        """Guards against a search that leaves out evacuated targets."""
        fixture = RouterFixture()
        evacuate(fixture, 'a', 'b')
        segment = make_segment(KEY, SegmentFlag.acknowledges, 8, 1, 5)
        effects = fixture.router.on_segment(0.3, segment)
        assert not causes(effects)
        assert len(effects) == len(fixture.members)

    def test_copy_of_an_opening(self) -> None:
        """Guards against a copy placed elsewhere: two targets would accept."""
        fixture = RouterFixture()
        target = fixture.open()
        evacuate(fixture, 'a')
        assert fixture.open(0.15) == target


class TestAllEvacuated:
    """Openings that no target may get."""

    def test_reset(self) -> None:
        """Guards against openings that are held until the client gives up."""
        fixture = RouterFixture()
        evacuate(fixture, 'a', 'b')
        effects = fixture.router.on_segment(0.1, opening(KEY))
        assert causes(effects) == [ResetCause.evacuated]
        assert len(effects) == 1

    def test_draining_target(self) -> None:
        """Guards against openings that wait for a target that leaves."""
        fixture = RouterFixture()
        left = fixture.members['t3']._replace(state=MemberState.draining)
        fixture.members['t3'] = left
        fixture.update_members()
        evacuate(fixture, 'a')
        effects = fixture.router.on_segment(0.1, opening(KEY))
        assert causes(effects) == [ResetCause.evacuated]

    def test_unknown_targets(self) -> None:
        """Guards against resets by a gateway that does not know all."""
        fixture = RouterFixture()
        fixture.router.searches.is_membership_complete = False
        evacuate(fixture, 'a', 'b')
        effects = fixture.router.on_segment(0.1, opening(KEY))
        assert isinstance(only(effects), DropSegment)

    def test_no_targets(self) -> None:
        """Guards against resets for a service without targets yet."""
        fixture = RouterFixture()
        fixture.selector.set_members('certify', ())
        evacuate(fixture, 'a', 'b')
        effects = fixture.router.on_segment(0.1, opening(KEY))
        assert isinstance(only(effects), DropSegment)

    def test_returned(self) -> None:
        """Guards against openings held after an agent has returned them.

        The agent knew of the evacuation before this gateway.
        """
        fixture = RouterFixture()
        target = fixture.open()
        evacuate(fixture, 'a', 'b')
        effects = fixture.return_opening(0.12, target)
        assert causes(effects) == [ResetCause.evacuated]

    def test_unanswered(self) -> None:
        """Guards against the reset of a connection that is being accepted.

        The target may have accepted the first copy, and its segment may
        reach the client together with the reset.
        """
        fixture = RouterFixture()
        fixture.open()
        evacuate(fixture, 'a', 'b')
        effects = fixture.router.on_segment(0.3, opening(KEY, 1))
        assert not causes(effects)

    def test_returned_after_unanswered(self) -> None:
        """Guards against the same reset after a second target's return."""
        fixture = RouterFixture()
        fixture.open()
        second = fixture.open(0.3, retransmissions=1)
        evacuate(fixture, 'a', 'b')
        assert not causes(fixture.return_opening(0.32, second))


class TestDrawnEvacuations:
    """Random evacuations while connections are opened."""

    @pytest.mark.parametrize('seed', range(20))
    def test_rule(self, seed: int) -> None:
        """Guards against a placement that some order of events breaks.

        New connections go to domains that are not evacuated; they are reset
        if and only if none is left.
        """
        rng = random.Random(seed)
        fixture = RouterFixture()
        fixture.members['t4'] = make_member('t4', domain='c')
        fixture.update_members()
        evacuated: set[str] = set()
        for number in range(300):
            now = 0.1 + number * 0.01
            if rng.random() < 0.1:
                evacuated ^= {rng.choice('abcz')}
                evacuate(fixture, *evacuated)
            if rng.random() < 0.2:
                waiting = {name: rng.randrange(6) for name in fixture.members}
                fixture.report(now, **waiting)
            effects = fixture.router.on_segment(now, opening(key_of(number)))
            if evacuated >= {'a', 'b', 'c'}:
                assert causes(effects) == [ResetCause.evacuated]
                continue
            sent = [each for each in effects if isinstance(each, SendMessage)]
            assert len(sent) == 1
            member = fixture.members[forwarded(effects)]
            assert member.failure_domain not in evacuated
