"""Tests of the targets that are preferred for a connection."""

import random
from collections import Counter

from trefoilhaven_core.connections.effects import (
    Effect,
    QueryMember,
    ResetClient,
)
from trefoilhaven_core.connections.messages import ConnectionLoad
from trefoilhaven_core.connections.preferences import (
    MIN_TARGETS,
    PREFERRED_TARGETS,
    hash_name,
    likely_holders,
    preferred_positions,
)
from trefoilhaven_core.connections.target_selection import TargetSelector
from trefoilhaven_core.connections.tests.support import (
    key_of,
    make_member,
    make_report,
)
from trefoilhaven_core.connections.tests.test_searches import SearchFixture

KEYS = [key_of(number) for number in range(2000)]
TARGETS = 16


def queried(effects: list[Effect]) -> list[str]:
    """Return the targets whose agents are queried."""
    return [
        effect.member.target
        for effect in effects
        if isinstance(effect, QueryMember)
    ]


class TestPreferredPositions:
    """Preferred targets of many connections."""

    hashes = [hash_name(f'i-{number}') for number in range(TARGETS)]

    def test_even(self) -> None:
        """Guards against targets that are preferred more than others."""
        counts = Counter(
            position
            for key in KEYS
            for position in preferred_positions(key, self.hashes)
        )
        mean = len(KEYS) * PREFERRED_TARGETS / TARGETS
        assert max(counts.values()) < 1.2 * mean
        assert min(counts.values()) > 0.8 * mean

    def test_joining(self) -> None:
        """Guards against other preferences after a target joins."""
        joined = [*self.hashes, hash_name('i-new')]
        moved = sum(
            not set(preferred_positions(key, self.hashes))
            >= set(preferred_positions(key, joined)) - {TARGETS}
            for key in KEYS
        )
        assert not moved


class TestPlacement:
    """Selection among targets of equal and of different cost."""

    def make_selector(self) -> TargetSelector:
        """Return targets without load in the own failure domain."""
        selector = TargetSelector('a')
        members = [make_member(f't{number}') for number in range(TARGETS)]
        selector.set_members('certify', members)
        for member in members:
            selector.on_report(0, make_report(member))
        return selector

    def test_equal(self) -> None:
        """Guards against placements that a search can't guess."""
        for key in KEYS[:20]:
            selector = self.make_selector()
            members = selector.members(['certify'])
            chosen = selector.choose(0, random.Random(1), 'certify', (), key)
            assert chosen in likely_holders(key, members, 'a')

    def test_busy(self) -> None:
        """Guards against a preferred target that is busier than others."""
        selector = self.make_selector()
        members = selector.members(['certify'])
        likely = likely_holders(KEYS[0], members, 'a')
        load = ConnectionLoad(9, 9, 0.02)
        for member in likely:
            report = make_report(member)._replace(load=load)
            selector.on_report(0, report)
        chosen = selector.choose(0, random.Random(1), 'certify', (), KEYS[0])
        assert chosen not in likely

    def test_other_domain(self) -> None:
        """Guards against preferences outside the own failure domain."""
        members = [
            make_member(f't{number}', domain='ab'[number % 2])
            for number in range(MIN_TARGETS)
        ]
        for key in KEYS[:20]:
            likely = likely_holders(key, members, 'a')
            assert {member.failure_domain for member in likely} == {'a'}


class TestSearch:
    """Searches that query the preferred targets first."""

    def test_denied(self) -> None:
        """Guards against a reset before all targets have been asked."""
        fixture = SearchFixture(TARGETS)
        key = key_of(1)
        members = fixture.members
        likely = likely_holders(key, members, 'a')
        effects = fixture.search(0, 2)
        assert key in effects
        answers: list[Effect] = []
        for member in likely:
            answers += fixture.deny(0.01, member, [key])
        others = {each.target for each in members} - {
            each.target for each in likely
        }
        assert set(queried(answers)) == others
        assert not any(isinstance(each, ResetClient) for each in answers)

    def test_silent(self) -> None:
        """Guards against a search that waits for an agent that has ended."""
        fixture = SearchFixture(TARGETS)
        key = key_of(1)
        likely = likely_holders(key, fixture.members, 'a')
        fixture.search(0, 2)
        for member in likely[1:]:
            fixture.deny(0.01, member, [key])
        effects = fixture.router.tick(0.05)
        assert not set(queried(effects)) - {likely[0].target}
        effects = fixture.router.tick(0.11)
        assert len(set(queried(effects))) > TARGETS - PREFERRED_TARGETS
