"""Tests of the comparison of the targets that two balancers know."""

import random

from trefoilhaven_core.connections.messages import TargetsReply
from trefoilhaven_core.connections.target_lists import (
    MAX_LISTED_TARGETS,
    answer_query,
    make_query,
)
from trefoilhaven_core.connections.tests.support import make_member
from trefoilhaven_core.membership.gossip import DATAGRAM_BYTES
from trefoilhaven_core.membership.messages import Member, MemberState
from trefoilhaven_core.wire.codec import make_codec


def make_members(count: int) -> list[Member]:
    """Return members of one service."""
    return [make_member(f't{number}') for number in range(count)]


def compare(
    own: list[Member], other: list[Member], *, is_complete: bool = True
) -> TargetsReply:
    """Return the reply of a peer that knows ``other``."""
    query = make_query('b1', 5.0, own)
    return answer_query(
        'b2', query, other, random.Random(1), is_complete=is_complete
    )


class TestAnswer:
    """Replies to queries."""

    def test_equal(self) -> None:
        """Guards against lists that are never confirmed."""
        members = make_members(3)
        reply = compare(members, members[::-1])
        assert reply == TargetsReply('b2', 5.0, (), is_partial=False)

    def test_missing(self) -> None:
        """Guards against a target that only the peer knows."""
        members = make_members(3)
        reply = compare(members[:2], members)
        assert reply.members == (members[2],)
        assert not reply.is_partial

    def test_peer_lags(self) -> None:
        """Guards against a wait for peers that do not know all targets."""
        members = make_members(3)
        reply = compare(members, members[:2])
        assert not reply.members
        assert not reply.is_partial

    def test_other_incarnation(self) -> None:
        """Guards against a restarted target that counts as known."""
        restarted = make_member('t0', incarnation=2)
        reply = compare(make_members(1), [restarted])
        assert reply.members == (restarted,)

    def test_other_state(self) -> None:
        """Guards against answers that differ while many targets drain."""
        members = make_members(2)
        draining = [
            each._replace(state=MemberState.draining, sequence=9)
            for each in members
        ]
        assert not compare(members, draining).members

    def test_incomplete_peer(self) -> None:
        """Guards against the consent of a peer that has just started."""
        members = make_members(2)
        assert compare(members, [], is_complete=False).is_partial
        assert compare(members, members, is_complete=False).is_partial

    def test_many_missing(self) -> None:
        """Guards against replies that exceed a datagram.

        Such a reply must not count as complete.
        """
        members = make_members(200)
        reply = compare([], members)
        assert reply.is_partial
        assert 0 < len(reply.members) < len(members)
        assert len(make_codec().encode(reply)) <= DATAGRAM_BYTES

    def test_long_list(self) -> None:
        """Guards against queries that exceed a datagram."""
        members = make_members(MAX_LISTED_TARGETS + 1)
        for listed in (members[1:], members):
            query = make_query('b1', 5.0, listed)
            assert len(make_codec().encode(query)) <= DATAGRAM_BYTES
        assert not compare(members, members).is_partial
        assert compare(members, [*members, make_member('new')]).is_partial
