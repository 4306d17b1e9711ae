"""Tests of targets that a later target of their host replaces."""

import random

from trefoilhaven_core.connections.target_lists import (
    answer_query,
    make_query,
)
from trefoilhaven_core.connections.target_selection import TargetSelector
from trefoilhaven_core.connections.tests.support import (
    make_member,
    make_report,
)
from trefoilhaven_core.membership.messages import Member, MemberState

EARLIER = make_member('t1', incarnation=5)
LATER = make_member('t2', incarnation=6)._replace(host=EARLIER.host)
OTHER = make_member('t3', incarnation=9)


class HostFixture:
    """A selector that knows some targets."""

    def __init__(self, *members: Member) -> None:
        """Start with members that have not reported."""
        self.selector = TargetSelector('a')
        self.selector.set_members('certify', members)

    def report(self, now: float, member: Member) -> None:
        """Let the agent of a target report."""
        self.selector.on_report(now, make_report(member))

    def present(self) -> set[str]:
        """Return the names of the present targets."""
        members = self.selector.members(['certify'])
        return {member.target for member in members}


class TestReplaced:
    """Hosts that run another target than before."""

    def test_earlier(self) -> None:
        """Guards against searches that wait for a target that has ended."""
        fixture = HostFixture(EARLIER, LATER, OTHER)
        revision = fixture.selector.revision
        fixture.report(1, LATER)
        assert fixture.present() == {'t2', 't3'}
        assert fixture.selector.revision > revision
        chosen = fixture.selector.choose(
            1, random.Random(1), 'certify', ('t2', 't3')
        )
        assert chosen is None
        assert fixture.selector.is_gone(1, EARLIER)

    def test_late_record(self) -> None:
        """Guards against a late record that puts an ended target in use."""
        fixture = HostFixture(LATER)
        fixture.report(1, LATER)
        fixture.selector.set_members('certify', [EARLIER, LATER])
        assert fixture.present() == {'t2'}

    def test_unheard(self) -> None:
        """Guards against a live target that a record of a peer ends."""
        fixture = HostFixture(EARLIER, LATER)
        assert fixture.present() == {'t1', 't2'}

    def test_clock_set_back(self) -> None:
        """Guards against resets of connections of a live target.

        The clock of its host was set back before it started, so that its
        predecessor has the higher incarnation.
        """
        fixture = HostFixture(LATER)
        fixture.report(1, LATER)
        fixture.selector.set_members('certify', [LATER, EARLIER])
        fixture.report(2, EARLIER)
        assert 't1' in fixture.present()

    def test_successor_left(self) -> None:
        """Guards against a target that a departed one keeps out of use."""
        fixture = HostFixture(LATER)
        fixture.report(1, LATER)
        left = LATER._replace(state=MemberState.left)
        fixture.selector.set_members('certify', [left])
        fixture.selector.set_members('certify', [left, EARLIER])
        assert fixture.present() == {'t1'}

    def test_other_host(self) -> None:
        """Guards against targets that end with those of another host."""
        fixture = HostFixture(EARLIER, OTHER)
        fixture.report(1, OTHER)
        assert fixture.present() == {'t1', 't3'}


class TestLists:
    """Confirmation of the list while peers have not heard of an end."""

    def test_departed(self) -> None:
        """Guards against a confirmation that waits for a peer's old records.

        After a loss of power, a peer may take more ended targets for present
        than fit its reply, which then is partial.
        """
        earlier = [make_member(f't{number}') for number in range(100)]
        later = [
            member._replace(target=f'{member.target}-next', incarnation=2)
            for member in earlier
        ]
        fixture = HostFixture(*earlier, *later)
        for member in later:
            fixture.report(1, member)
        query = make_query(
            'g1',
            1.0,
            fixture.selector.members(['certify']),
            fixture.selector.departed_members(),
        )
        reply = answer_query(
            'g2', query, [*earlier, *later], random.Random(1), is_complete=True
        )
        assert not reply.members
        assert not reply.is_partial
