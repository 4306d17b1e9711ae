"""Tests of the comparison of targets with a restored store."""

import pytest
from trefoilhaven_core.connections.messages import TargetIdentity
from trefoilhaven_core.connections.restorations import (
    HeardPoll,
    HeardQuery,
    HeardReply,
    compare_targets,
    identity_of,
    is_contradicted,
    may_conclude,
)
from trefoilhaven_core.membership.messages import (
    Address,
    Member,
    MemberState,
)
from trefoilhaven_core.membership.records import mark_left

CONTROL = Address('10.0.0.1', 7000)


def make_target(name: str, host: str = '', incarnation: int = 5) -> Member:
    """Return the record of a target."""
    return Member(
        'certify',
        name,
        host or f'host-{name}',
        'a',
        incarnation,
        1,
        MemberState.alive,
        CONTROL,
        CONTROL,
        CONTROL,
        1,
    )


FIRST = make_target('t1')
SECOND = make_target('t2')


class TestComparison:
    """Differences between the list and the known targets."""

    def test_equal(self) -> None:
        """Guards against targets that count as lost."""
        compared = compare_targets([FIRST, SECOND], [FIRST, SECOND], [], [])
        assert not any(compared)

    def test_lost(self) -> None:
        """Guards against a live target that is taken for gone."""
        compared = compare_targets(
            [], [FIRST, SECOND], [], {identity_of(FIRST)}
        )
        assert compared.unregistered == (FIRST,)
        assert compared.silent == (SECOND,)

    def test_earlier_start(self) -> None:
        """Guards against the object of an earlier start taken for this one."""
        earlier = FIRST._replace(incarnation=4)
        compared = compare_targets([earlier], [FIRST], [], [])
        assert compared.silent == (FIRST,)

    def test_later_start(self) -> None:
        """Guards against a target that has restarted and counts as lost."""
        later = FIRST._replace(incarnation=6)
        assert not any(compare_targets([later], [FIRST], [], []))

    def test_departed(self) -> None:
        """Guards against the object of a departed target that stays."""
        compared = compare_targets([FIRST], [], [mark_left(FIRST)], [])
        assert compared.departed == (FIRST,)

    def test_successor(self) -> None:
        """Guards against the deletion of what a live agent will replace."""
        successor = make_target('t9', FIRST.host)
        heard = {identity_of(successor)}
        left = [mark_left(FIRST)]
        compared = compare_targets([FIRST], [successor], left, heard)
        assert not compared.departed
        assert compared.unregistered == (successor,)

    def test_started_again(self) -> None:
        """Guards against the deletion of a later start's object."""
        later = FIRST._replace(incarnation=6)
        compared = compare_targets([later], [], [mark_left(FIRST)], [])
        assert not compared.departed


class TestConclusions:
    """Whether silence means anything."""

    def test_cut_off(self) -> None:
        """Guards against a cut-off gateway that ends all targets."""
        targets = [make_target(f't{number}') for number in range(5)]
        heard = [identity_of(member) for member in targets]
        assert not may_conclude(targets, heard[:2])
        assert may_conclude(targets, heard[:3])

    def test_contradiction(self) -> None:
        """Guards against a live target that counts as left for ever."""
        assert is_contradicted(mark_left(FIRST), FIRST)
        assert not is_contradicted(FIRST, FIRST)
        assert not is_contradicted(None, FIRST)
        successor = FIRST._replace(incarnation=6)
        assert not is_contradicted(mark_left(FIRST), successor)
        assert not is_contradicted(mark_left(FIRST), mark_left(FIRST))


class TestPoll:
    """Replies of the other gateways."""

    def make_poll(self, *peers: str) -> HeardPoll:
        """Return a poll about two targets."""
        members = (FIRST, SECOND)
        targets = tuple(map(identity_of, members))
        query = HeardQuery('g1', 7.0, 2.5, targets)
        return HeardPoll(query, members, peers)

    def reply(
        self, sender: str, *heard: TargetIdentity, sent_at: float = 7.0
    ) -> HeardReply:
        """Return a peer's reply."""
        return HeardReply(sender, sent_at, heard)

    def test_heard(self) -> None:
        """Guards against the end of a target that another gateway hears."""
        poll = self.make_poll('g2', 'g3')
        poll.on_reply(self.reply('g2', identity_of(FIRST)))
        assert not poll.gone()
        poll.on_reply(self.reply('g3'))
        assert poll.gone() == (SECOND,)
        assert poll.is_complete

    @pytest.mark.parametrize(
        'reply',
        [
            HeardReply('g2', 6.0, ()),
            HeardReply('stranger', 7.0, ()),
        ],
    )
    def test_other_reply(self, reply: HeardReply) -> None:
        """Guards against a decision by a late reply, or by a stranger."""
        poll = self.make_poll('g2')
        poll.on_reply(reply)
        assert not poll.gone()

    def test_one_peer_silent(self) -> None:
        """Guards against a dead gateway that prevents each decision."""
        poll = self.make_poll('g2', 'g3', 'g4')
        poll.on_reply(self.reply('g2'))
        poll.on_reply(self.reply('g3'))
        assert poll.gone() == (FIRST, SECOND)

    def test_alone(self) -> None:
        """Guards against a single gateway that never decides."""
        assert self.make_poll().gone() == (FIRST, SECOND)
