"""Tests of searches that wait for a confirmation by peers."""

import random

import pytest
from trefoilhaven_core.connections.effects import (
    ConfirmMembership,
    Effect,
    QueryMember,
    ResetClient,
)
from trefoilhaven_core.connections.failure_detector import FAILURE_TIMEOUT_S
from trefoilhaven_core.connections.messages import (
    Answer,
    ConnectionKey,
    HolderReply,
    Verdict,
)
from trefoilhaven_core.connections.routers import ConnectionRouter
from trefoilhaven_core.connections.routes import AddressRoutes
from trefoilhaven_core.connections.target_selection import TargetSelector
from trefoilhaven_core.connections.tests.support import (
    key_of,
    make_member,
    make_report,
    make_routes,
    make_segment,
    only,
    opening,
)
from trefoilhaven_core.membership.confirmations import (
    MembershipConfirmation,
    Origin,
)
from trefoilhaven_core.membership.messages import (
    Address,
    BalancerRecord,
    Member,
    MemberState,
)


class SearchFixture:
    """A router with two peers that have to confirm its targets."""

    def __init__(self, targets: int = 2) -> None:
        """Start with a complete list of targets."""
        routes = AddressRoutes()
        routes.offer(make_routes(1, 'certify'))
        self.selector = TargetSelector('a')
        self.members = [make_member(f't{number}') for number in range(targets)]
        self.selector.set_members('certify', self.members)
        self.confirmation = MembershipConfirmation(Origin('a', 2))
        self.confirmation.set_peers(
            BalancerRecord(
                name,
                'a',
                1,
                1,
                MemberState.alive,
                Address(name, 7000),
                Address(name, 7000),
            )
            for name in ('b', 'c')
        )
        self.router = ConnectionRouter(
            routes, self.selector, random.Random(1), self.confirmation
        )
        self.router.searches.is_membership_complete = True

    def search(self, now: float, connections: int = 1) -> list[ConnectionKey]:
        """Start searches; return their connections."""
        keys = [key_of(number) for number in range(connections)]
        for key in keys:
            self.router.on_segment(now, make_segment(key))
        return keys

    def deny(
        self, now: float, member: Member, keys: list[ConnectionKey]
    ) -> list[Effect]:
        """Let the agent of a member deny connections."""
        answers = tuple(Answer(key, Verdict.absent) for key in keys)
        reply = HolderReply('certify', member.target, 0, answers)
        return self.router.on_reply(now, reply, member.control)

    def confirm(self, now: float, sent_at: float, *peers: str) -> list[Effect]:
        """Let peers confirm the list as of the time of a query."""
        for peer in peers:
            self.confirmation.on_reply(peer, sent_at, is_partial=False)
        return self.router.searches.on_confirmation(now)


def resets(effects: list[Effect]) -> list[ConnectionKey]:
    """Return the connections that are reset."""
    return [each.key for each in effects if isinstance(each, ResetClient)]


class TestWait:
    """Searches in which all known targets deny the connection."""

    def test_confirmed(self) -> None:
        """Guards against a reset before every peer has answered."""
        fixture = SearchFixture()
        keys = fixture.search(1)
        fixture.deny(1.01, fixture.members[0], keys)
        effects = fixture.deny(1.01, fixture.members[1], keys)
        assert only(effects) == ConfirmMembership(1)
        assert fixture.confirmation.due_queries(1.01, 1) == ['b', 'c']
        assert not resets(fixture.confirm(1.02, 1.01, 'b'))
        assert resets(fixture.confirm(1.02, 1.01, 'c')) == keys

    def test_earlier_confirmation(self) -> None:
        """Guards against a confirmation from before the search."""
        fixture = SearchFixture()
        fixture.confirmation.due_queries(0.9, 0.9)
        fixture.confirm(0.91, 0.9, 'b', 'c')
        keys = fixture.search(1)
        effects = [
            effect
            for member in fixture.members
            for effect in fixture.deny(1.01, member, keys)
        ]
        assert not resets(effects)

    def test_shared(self) -> None:
        """Guards against a round of queries for each of many searches."""
        fixture = SearchFixture()
        keys = fixture.search(1, connections=50)
        for member in fixture.members:
            fixture.deny(1.01, member, keys)
        assert fixture.confirmation.due_queries(1.02, 1)
        assert not fixture.confirmation.due_queries(1.03, 1)
        effects = fixture.confirm(1.03, 1.02, 'b', 'c')
        assert resets(effects) == keys

    def test_named_by_peer(self) -> None:
        """Guards against a reset although a peer knows one more target.

        The peer returns it with its answer, and it is asked first.
        """
        fixture = SearchFixture()
        keys = fixture.search(1)
        for member in fixture.members:
            fixture.deny(1.01, member, keys)
        fixture.confirmation.due_queries(1.01, 1)
        joined = make_member('t9')
        fixture.selector.set_members('certify', [*fixture.members, joined])
        effects = fixture.confirm(1.02, 1.01, 'b', 'c')
        assert not resets(effects)
        asked = [each for each in effects if isinstance(each, QueryMember)]
        assert only(asked).member == joined
        assert resets(fixture.deny(1.03, joined, keys)) == keys


class TestLifetime:
    """How long a search goes on."""

    def test_late_answer(self) -> None:
        """Guards against a client that waits for its next segment.

        A target's agent restarts and answers 1.3 s after the search started,
        between two segments of the client. If the search had ended before,
        the client would learn of the lost connection 1.4 s later.
        """
        fixture = SearchFixture()
        fixture.confirmation.set_peers(())
        keys = fixture.search(1)
        fixture.deny(1.01, fixture.members[0], keys)
        queries: list[Effect] = []
        for step in range(1, 130):
            now = 1 + step * 0.01
            if step in {20, 60}:
                fixture.search(now)
            queries += fixture.router.tick(now)
        assert any(isinstance(each, QueryMember) for each in queries)
        assert resets(fixture.deny(2.3, fixture.members[1], keys)) == keys

    def test_left_meanwhile(self) -> None:
        """Guards against a search that waits for a target that has left.

        Its agent has stopped and does not answer.
        """
        fixture = SearchFixture()
        fixture.confirmation.set_peers(())
        keys = fixture.search(1)
        present, leaving = fixture.members
        fixture.deny(1.01, present, keys)
        fixture.router.tick(1.2)
        left = leaving._replace(state=MemberState.left)
        fixture.selector.set_members('certify', [present, left])
        effects = fixture.router.tick(1.5)
        assert resets([*effects, *fixture.router.tick(1.7)]) == keys

    def test_restarted_elsewhere(self) -> None:
        """Guards against a search that asks at a target's former host only."""
        fixture = SearchFixture()
        keys = fixture.search(1)
        present, former = fixture.members
        fixture.deny(1.01, present, keys)
        fixture.router.tick(1.2)
        moved = former._replace(
            incarnation=2, control=Address('elsewhere', 7000)
        )
        fixture.selector.set_members('certify', [present, moved])
        effects = fixture.router.tick(1.5)
        asked = [
            each.member for each in effects if isinstance(each, QueryMember)
        ]
        assert moved in asked
        assert not resets(effects)

    def test_port_reused(self) -> None:
        """Guards against the reset of a new connection of the same port.

        The search is for the client's former connection, which no target
        holds. The client has given it up and opens another one.
        """
        fixture = SearchFixture()
        fixture.confirmation.set_peers(())
        key = only(fixture.search(1))
        fixture.router.on_segment(1.5, opening(key))
        effects = [
            effect
            for member in fixture.members
            for effect in fixture.deny(1.51, member, [key])
        ]
        effects += fixture.router.tick(1.6)
        assert not resets(effects)
        assert not len(fixture.router.searches)

    def test_port_reused_elsewhere(self) -> None:
        """Guards against the reset of a connection that was opened later.

        The client has opened it on the same port through another balancer,
        so that only its further segments arrive here. A target that denied
        the former connection may hold it.
        """
        fixture = SearchFixture()
        fixture.confirmation.set_peers(())
        key = only(fixture.search(1))
        holder, silent = fixture.members
        fixture.deny(1.01, holder, [key])
        later = make_segment(key, acknowledged=1 << 31, length=5)
        effects = fixture.router.on_segment(1.5, later)
        effects += fixture.deny(1.51, silent, [key])
        assert not resets(effects)
        asked = [
            each.member for each in effects if isinstance(each, QueryMember)
        ]
        assert holder in asked

    def test_same_connection(self) -> None:
        """Guards against a search that starts anew with each segment."""
        fixture = SearchFixture()
        key = only(fixture.search(1))
        further = make_segment(key, acknowledged=70_000)
        assert not fixture.router.on_segment(1.1, further)
        earlier = make_segment(key, acknowledged=(1 << 32) - 70_000)
        assert not fixture.router.on_segment(1.2, earlier)


class TestHostGone:
    """A host that has failed for good in a large fleet."""

    REPORT_S = 4.5

    def test_reset(self) -> None:
        """Guards against clients that wait while reports may still come.

        Clients repeat segments of lost connections, and the searches for
        them query the agent of the failed host in vain.
        """
        fixture = SearchFixture(targets=4)
        fixture.confirmation.set_peers(())
        fixture.selector.failure_detector.report_s = self.REPORT_S
        present, failed = fixture.members[:3], fixture.members[3]
        reset_at = 0.0
        for step in range(1, 1000):
            now = step * 0.02
            for member in present:
                fixture.router.on_report(now, make_report(member))
            if fixture.router.searches.get(key_of(0)) is None:
                keys = fixture.search(now)
                for member in present:
                    fixture.deny(now, member, keys)
            if resets(fixture.router.tick(now)):
                reset_at = now
                break
        assert fixture.selector.member('certify', failed.target)
        assert FAILURE_TIMEOUT_S < reset_at < FAILURE_TIMEOUT_S + 2


class TestReturnOfAll:
    """All processes have restarted, and all connections are lost.

    Clients send on connections whose targets have ended, while targets and
    balancers still register.
    """

    @pytest.mark.parametrize('joined', [1, 10, 100])
    def test_targets_still_join(self, joined: int) -> None:
        """Guards against clients that wait until the fleet has settled.

        Each round, targets join that only this balancer or only its peers
        know, so that the lists of two balancers are never equal.
        """
        fixture = SearchFixture(targets=5)
        keys = fixture.search(1, connections=20)
        for member in fixture.members:
            fixture.deny(1.01, member, keys)
        sent_at = 1.02
        assert fixture.confirmation.due_queries(sent_at, 1) == ['b', 'c']
        late = [make_member(f'late{number}') for number in range(joined)]
        fixture.selector.set_members('certify', [*fixture.members, *late])
        fixture.confirm(1.03, sent_at, 'b', 'c')
        effects: list[Effect] = []
        for member in late:
            effects += fixture.deny(1.04, member, keys)
        assert resets(effects) == keys
