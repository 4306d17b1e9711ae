"""Tests of merging records and of their digests."""

import itertools
import random

from trefoilhaven_core.membership.messages import (
    MemberState,
    Registration,
    SilentDomain,
)
from trefoilhaven_core.membership.tests.support import (
    SERVICE,
    make_balancer,
    make_member,
)
from trefoilhaven_core.membership.views import RECORD_RETENTION_S, ViewStore

_VERSIONS = [
    make_member(incarnation=incarnation, sequence=sequence, state=state)
    for incarnation, sequence, state in itertools.product(
        (1, 2), (1, 2), (MemberState.alive, MemberState.suspect)
    )
]


class TestMerge:
    """Merging of records."""

    def test_order_of_arrival_does_not_matter(self) -> None:
        """Guards against views that depend on the order of messages."""
        rng = random.Random(7)
        for _ in range(50):
            store = ViewStore()
            for member in rng.sample(_VERSIONS, len(_VERSIONS)):
                store.merge([member])
            assert store.members(SERVICE) == (_VERSIONS[-1],)

    def test_only_changes_are_returned(self) -> None:
        """Guards against endless relaying of known records."""
        store = ViewStore()
        assert store.merge([_VERSIONS[1]]).members == (_VERSIONS[1],)
        assert not store.merge([_VERSIONS[0], _VERSIONS[1]])

    def test_higher_version_of_registry_only(self) -> None:
        """Guards against a reverted list of registered members."""
        store = ViewStore()
        assert store.set_registry(SERVICE, 2, [Registration('desk-1', 1)])
        assert not store.set_registry(SERVICE, 1, [])
        assert store.view(SERVICE).registry_version == 2

    def test_eligible(self) -> None:
        """Guards against new work at draining, dead or left members."""
        store = ViewStore()
        for state in MemberState:
            store.merge([make_member(state.name, state=state)])
        names = [member.target for member in store.eligible(SERVICE)]
        assert names == ['alive', 'suspect']

    def test_silent_domain_spares_draining(self) -> None:
        """Guards against a draining member that becomes eligible."""
        store = ViewStore()
        store.merge(
            [
                make_member('desk-1'),
                make_member('desk-2', state=MemberState.draining),
                make_member('desk-3', failure_domain='kaohsiung-b'),
            ]
        )
        report = SilentDomain('tainan-a', (SERVICE,), 'entry-1', 1, 1)
        changed = store.suspect_domain(report)
        assert [member.target for member in changed.members] == ['desk-1']


class TestState:
    """State that is sent to a peer."""

    def test_one_service_without_balancers(self) -> None:
        """Guards against sending all balancers with one service."""
        store = ViewStore()
        store.merge(
            [make_member(), make_member(service='collect')],
            [make_balancer()],
        )
        state = store.state('entry-1', [SERVICE])
        assert [member.service for member in state.members] == [SERVICE]
        assert not state.balancers
        assert store.state('entry-1').balancers == (make_balancer(),)


class TestDigest:
    """Digests that are updated incrementally."""

    def test_equals_digest_from_scratch(self) -> None:
        """Guards against a running sum that no longer matches the records."""
        rng = random.Random(11)
        store = ViewStore()
        for step in range(300):
            name = f'desk-{rng.randrange(9)}'
            state = rng.choice(list(MemberState))
            store.merge(
                [make_member(name, sequence=step, state=state)],
                [make_balancer(name, sequence=step, state=state)],
            )
            if step % 20 == 0:
                store.set_registry(SERVICE, step, [Registration(name, 1)])
        fresh = ViewStore()
        fresh.merge_state(store.state('entry-1'))
        assert fresh.root_digest() == store.root_digest()
        assert fresh.digest(SERVICE) == store.digest(SERVICE)

    def test_any_change_shows(self) -> None:
        """Guards against a change that does not change the digest."""
        store = ViewStore()
        seen = {store.root_digest()}
        store.merge([make_member()])
        seen.add(store.root_digest())
        store.merge(balancers=[make_balancer()])
        seen.add(store.root_digest())
        store.set_registry(SERVICE, 1, [])
        seen.add(store.root_digest())
        store.set_configuration(SERVICE, 1, b'{}')
        seen.add(store.root_digest())
        assert len(seen) == 5

    def test_departed_records_are_dropped(self) -> None:
        """Guards against unbounded growth and loss of registered members."""
        store = ViewStore()
        store.set_registry(SERVICE, 1, [Registration('desk-1', 1)])
        for name in ('desk-1', 'desk-2'):
            store.merge([make_member(name)], [make_balancer(name)])
            store.merge(
                [make_member(name, state=MemberState.dead)],
                [make_balancer(name, state=MemberState.dead)],
            )
        store.forget(0)
        store.forget(RECORD_RETENTION_S)
        names = [member.target for member in store.members(SERVICE)]
        assert names == ['desk-1']
        assert not store.balancers
