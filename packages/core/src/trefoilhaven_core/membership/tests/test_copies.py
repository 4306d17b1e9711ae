"""Tests of an agent's copy of the state."""

import random

import pytest
from trefoilhaven_core.membership import copies
from trefoilhaven_core.membership.copies import (
    FIRST_DELAY_S,
    MIN_RENEWAL_S,
    RENEWAL_BYTES_PER_S,
    RENEWAL_S,
    StateCopy,
)
from trefoilhaven_core.membership.messages import (
    Address,
    BalancerRecord,
    Configuration,
    Member,
    MemberState,
    State,
)
from trefoilhaven_core.membership.views import ViewStore

NAME = '@routes'
HERE = Address('10.0.0.1', 7000)
BALANCER = BalancerRecord('g1', 'a', 1, 1, MemberState.alive, HERE, HERE)


def make_member(name: str, sequence: int = 1) -> Member:
    """Return the record of a target."""
    return Member(
        's',
        name,
        f'host-{name}',
        'a',
        1,
        sequence,
        MemberState.alive,
        HERE,
        HERE,
        HERE,
        1,
    )


def make_state(version: int, *members: Member) -> State:
    """Return the state of a balancer."""
    routes = Configuration(NAME, version, b'routes')
    return State('g1', members, (BALANCER,), (), (routes,))


@pytest.fixture(name='copy')
def copy_fixture() -> StateCopy:
    """Return a copy that holds nothing."""
    return StateCopy('agent s1', random.Random(1))


class TestTimes:
    """When an agent fetches the state."""

    def test_first(self, copy: StateCopy) -> None:
        """Guards against an agent that has no copy after the first hello."""
        assert copy.state is None
        assert not copy.is_due(100)
        copy.on_hello(100)
        copy.on_hello(100.1)
        assert copy.is_due(100 + FIRST_DELAY_S)

    def test_failure(self, copy: StateCopy) -> None:
        """Guards against a failed fetch that is not repeated."""
        copy.on_hello(0)
        copy.on_fetched(1, None)
        assert not copy.is_due(1)
        assert copy.is_due(1 + MIN_RENEWAL_S)

    def test_newer_version(self, copy: StateCopy) -> None:
        """Guards against a copy without the latest evacuations."""
        copy.on_fetched(0, make_state(5))
        copy.on_version(NAME, 5)
        assert not copy.is_due(MIN_RENEWAL_S)
        copy.on_version(NAME, 6)
        assert copy.is_due(MIN_RENEWAL_S)
        assert not copy.is_due(MIN_RENEWAL_S / 2)

    def test_traffic(self, copy: StateCopy) -> None:
        """Guards against copies of a large fleet that fill the network."""
        members = [make_member(f't{number}') for number in range(500)]
        copy.on_fetched(0, make_state(5, *members))
        assert copy.size > RENEWAL_S * RENEWAL_BYTES_PER_S
        copy.on_version(NAME, 6)
        assert not copy.is_due(0.7 * copy.size / RENEWAL_BYTES_PER_S)


class TestContent:
    """What a copy holds."""

    def test_older_state(self, copy: StateCopy) -> None:
        """Guards against a copy that goes back to an older version."""
        copy.on_fetched(0, make_state(5, make_member('t1', 4)))
        copy.on_fetched(9, make_state(4, make_member('t1', 3)))
        state = copy.state
        assert state is not None
        assert state.configurations[0].version == 5
        assert state.members == (make_member('t1', 4),)
        assert state.sender == 'agent s1'

    def test_departed(self, copy: StateCopy) -> None:
        """Guards against a departed target that a copy keeps for ever."""
        copy.on_fetched(0, make_state(5, make_member('t1'), make_member('t2')))
        copy.on_fetched(9, make_state(5, make_member('t2')))
        state = copy.state
        assert state is not None
        assert [each.target for each in state.members] == ['t2']

    def test_large(
        self, copy: StateCopy, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a copy that fills the memory of a small host."""
        monkeypatch.setattr(copies, 'MAX_COPY_BYTES', 10_000)
        members = [make_member(f't{number}') for number in range(500)]
        copy.on_fetched(0, make_state(5, *members))
        state = copy.state
        assert state is not None
        assert not state.members
        assert state.balancers == (BALANCER,)
        monkeypatch.setattr(copies, 'MAX_COPY_BYTES', 10)
        copy.on_fetched(9, make_state(5))
        assert copy.state is None

    def test_old_copy(self, copy: StateCopy) -> None:
        """Guards against an old copy that rolls a balancer back."""
        copy.on_fetched(0, make_state(5, make_member('t1', 4)))
        store = ViewStore()
        left = make_member('t1', 5)._replace(state=MemberState.draining)
        store.merge_state(make_state(6, left))
        assert copy.state is not None
        store.merge_state(copy.state)
        assert store.configuration(NAME).version == 6
        assert store.members('s') == (left,)
