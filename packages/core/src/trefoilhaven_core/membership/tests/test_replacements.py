"""Tests of targets that a later target of the same host replaces."""

import pytest
from trefoilhaven_core.membership.messages import Address, Member, MemberState
from trefoilhaven_core.membership.replacements import replaced_members

CONTROL = Address('10.0.0.1', 7000)


def make_member(
    target: str,
    host: str,
    incarnation: int,
    state: MemberState = MemberState.alive,
) -> Member:
    """Return the record of a target."""
    return Member(
        'certify',
        target,
        host,
        'a',
        incarnation,
        3,
        state,
        CONTROL,
        CONTROL,
        CONTROL,
        2,
    )


OTHER_HOST = make_member('t0', 'h0', 1)
FORMER = make_member('t1', 'h1', 5)


class TestReplacedMembers:
    """Hosts whose target has changed."""

    @pytest.mark.parametrize(
        'state', [MemberState.alive, MemberState.draining, MemberState.left]
    )
    def test_former(self, state: MemberState) -> None:
        """Guards against searches that wait for a target that has ended.

        The later target may have ended too.
        """
        later = make_member('t2', 'h1', 6, state)
        replaced = replaced_members([OTHER_HOST, FORMER, later], ['h1'])
        assert replaced == [FORMER._replace(state=MemberState.left, sequence=4)]

    def test_late_record(self) -> None:
        """Guards against a late record that ends the present target."""
        late = make_member('t2', 'h1', 4)
        replaced = replaced_members([FORMER, late], ['h1'])
        assert [each.target for each in replaced] == ['t2']

    def test_other_host(self) -> None:
        """Guards against targets that end with those of another host."""
        later = make_member('t2', 'h2', 6)
        members = [OTHER_HOST, FORMER, later]
        assert not replaced_members(members, ['h0', 'h1', 'h2'])

    def test_equal_incarnations(self) -> None:
        """Guards against a live target that an equal incarnation ends."""
        equal = make_member('t2', 'h1', 5)
        assert not replaced_members([FORMER, equal], ['h1'])

    def test_left_before(self) -> None:
        """Guards against a sequence that increases with each refresh."""
        left = FORMER._replace(state=MemberState.left)
        assert not replaced_members([left, make_member('t2', 'h1', 6)], ['h1'])
