"""Tests of the dissemination of changes among balancers."""

import random
from typing import TypeVar

from trefoilhaven_core.membership.dissemination import (
    GOSSIP_BYTES_PER_S,
    Disseminator,
    Effect,
    PullState,
)
from trefoilhaven_core.membership.gossip import (
    BURST_S,
    DATAGRAM_BYTES,
    EXTRA_RELAYS,
    FANOUT,
    Send,
    pack,
)
from trefoilhaven_core.membership.messages import (
    Changes,
    ConfigurationNotice,
    Digest,
    MemberState,
    SilentDomain,
)
from trefoilhaven_core.membership.tests.support import (
    SERVICE,
    WITNESSES,
    make_balancer,
    make_member,
)
from trefoilhaven_core.membership.tests.view_runs import ViewRun
from trefoilhaven_core.membership.views import ViewStore
from trefoilhaven_core.wire.codec import make_codec

# Send budget of an idle process and one more datagram to each peer.
_BUDGET_BYTES = GOSSIP_BYTES_PER_S * BURST_S + FANOUT * DATAGRAM_BYTES

_Kind = TypeVar('_Kind')

# Longest time in seconds until a configuration is in force everywhere.
_IN_FORCE_S = 2.0


def _make_disseminator(peer_count: int = 30) -> Disseminator:
    store = ViewStore()
    store.merge(
        balancers=[make_balancer(f'peer-{each}') for each in range(peer_count)]
    )
    disseminator = Disseminator(make_balancer(), store, random.Random(3))
    for second in range(10):
        disseminator.tick(second)
    return disseminator


def _sent(effects: list[Effect], kind: type[_Kind]) -> dict[str, _Kind]:
    """Return the messages of a type by peer, at most one for each peer."""
    return {
        effect.peer: effect.message
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, kind)
    }


class TestRelays:
    """How often and to whom changes go."""

    def test_bounded_relays(self) -> None:
        """Guards against changes that are relayed without end."""
        disseminator = _make_disseminator()
        changes = Changes('desk-1', (make_member(),), ())
        first = _sent(disseminator.on_changes(10, changes), Changes)
        assert len(first) == FANOUT
        later: list[str] = []
        for second in range(11, 40):
            later.extend(_sent(disseminator.tick(second), Changes))
            assert not disseminator.on_changes(second, changes)
        bound = 5 + EXTRA_RELAYS + FANOUT
        assert FANOUT < len(first) + len(later) <= bound

    def test_datagrams_stay_small(self) -> None:
        """Guards against datagrams that exceed the size limit."""
        items = [make_member(f'desk-{number}') for number in range(100)]
        messages = pack('entry-1', items)
        sizes = [len(make_codec().encode(each, 2**63)) for each in messages]
        assert max(sizes) <= DATAGRAM_BYTES
        packed = [
            member
            for message in messages
            if isinstance(message, Changes)
            for member in message.members
        ]
        assert packed == items

    def test_byte_budget(self) -> None:
        """Guards against a stream of changes that floods the network."""
        disseminator = _make_disseminator()
        sent = 0
        for step in range(100):
            now = 10 + step / 10
            member = make_member(f'desk-{step}')
            changes = Changes('desk', (member,), ())
            effects = disseminator.on_changes(now, changes)
            effects.extend(disseminator.tick(now))
            sent += sum(
                len(make_codec().encode(effect.message))
                for effect in effects
                if isinstance(effect, Send)
            )
        assert sent <= 4_000 * 10

    def test_burst_keeps_to_budget(self) -> None:
        """Guards against a burst of changes that exceeds the budget."""
        disseminator = _make_disseminator()
        desks = [make_member(f'desk-{each}') for each in range(400)]
        effects = disseminator.on_changes(10, Changes('desk', tuple(desks), ()))
        sent = sum(
            len(make_codec().encode(effect.message))
            for effect in effects
            if isinstance(effect, Send)
        )
        assert 0 < sent <= _BUDGET_BYTES
        later = [disseminator.tick(10 + second) for second in range(1, 100)]
        assert sum(map(len, later)) > 4 * len(effects)

    def test_configuration_passes_a_burst(self) -> None:
        """Guards against a configuration delayed by other changes."""
        disseminator = _make_disseminator()
        desks = [make_member(f'desk-{each}') for each in range(400)]
        disseminator.on_changes(10, Changes('desk', tuple(desks), ()))
        notice = ConfigurationNotice('peer-1', SERVICE, 2, b'{}')
        effects = disseminator.on_configuration(10, notice)
        assert len(_sent(effects, ConfigurationNotice)) == FANOUT

    def test_drain_passes_a_burst(self) -> None:
        """Guards against new work at a draining target during a burst."""
        disseminator = _make_disseminator()
        desks = [make_member(f'desk-{each}') for each in range(400)]
        disseminator.on_changes(10, Changes('desk', tuple(desks), ()))
        drained = make_member(sequence=2, state=MemberState.draining)
        changes = Changes('desk-1', (drained,), ())
        assert (
            len(_sent(disseminator.on_changes(10, changes), Changes)) == FANOUT
        )

    def test_silent_domain_is_relayed_once(self) -> None:
        """Guards against one message per member, and repeated relaying."""
        disseminator = _make_disseminator()
        desks = tuple(make_member(f'desk-{each}') for each in range(20))
        disseminator.on_changes(10, Changes('desk', desks, ()))
        for second in range(11, 30):
            disseminator.tick(second)
        report = SilentDomain('tainan-a', (SERVICE,), 'peer-1', 1, 1)
        changes = Changes('peer-1', (), (), (report,))
        sends = _sent(disseminator.on_changes(30, changes), Changes)
        assert len(sends) == FANOUT
        assert all(not message.members for message in sends.values())
        assert not disseminator.on_changes(30, changes)

    def test_refutes_own_record(self) -> None:
        """Guards against a running balancer that stays dead in the views."""
        disseminator = _make_disseminator()
        dead = disseminator.own._replace(state=MemberState.dead)
        effects = disseminator.on_changes(10, Changes('peer-1', (), (dead,)))
        assert disseminator.own.sequence == dead.sequence + 1
        records = [
            record
            for message in _sent(effects, Changes).values()
            for record in message.balancers
        ]
        assert set(records) == {disseminator.own}

    def test_refutes_own_record_in_a_large_state(self) -> None:
        """Guards against a rejoining balancer that stays dead in the views."""
        disseminator = _make_disseminator()
        store = ViewStore()
        store.merge(make_member(f'desk-{each}') for each in range(50))
        store.merge(balancers=[disseminator.own])
        dead = disseminator.own._replace(state=MemberState.dead)
        store.merge(balancers=[dead])
        disseminator.on_state(10, store.state('peer-1'))
        assert disseminator.own.sequence == dead.sequence + 1


class TestConfigurations:
    """Versions of configurations."""

    def test_lower_version_is_ignored(self) -> None:
        """Guards against a configuration that reverts."""
        disseminator = _make_disseminator()
        notice = ConfigurationNotice('peer-1', SERVICE, 2, b'{}')
        assert _sent(
            disseminator.on_configuration(1, notice), ConfigurationNotice
        )
        older = notice._replace(version=1)
        assert not disseminator.on_configuration(2, older)

    def test_large_one_is_pulled(self) -> None:
        """Guards against sending a configuration larger than a datagram."""
        disseminator = _make_disseminator()
        content = b'x' * DATAGRAM_BYTES
        notice = ConfigurationNotice('peer-1', SERVICE, 2, content)
        sends = _sent(disseminator.on_configuration(10, notice), Digest)
        assert len(sends) == FANOUT
        other = _make_disseminator()
        effects = other.on_digest(10, next(iter(sends.values())))
        assert PullState('entry-1', (SERVICE,)) in effects

    def test_in_force_within_target(self) -> None:
        """Guards against slow dissemination, also without a platform."""
        run = ViewRun(0)
        assert not run.platform.is_up
        while run.now < 10:
            run.step()
        run.publish()
        published_at = run.now
        while run.differences():
            run.step()
            assert run.now - published_at <= _IN_FORCE_S


class TestJoin:
    """State of a balancer that joins."""

    def test_learns_everything_from_one_peer(self) -> None:
        """Guards against a new balancer that lacks records of its only peer."""
        run = ViewRun(1)
        assert run.platform.is_up
        while run.now < 10:
            run.step()
        run.publish()
        others = [name for name in run.balancers if name != WITNESSES[0]]
        while run.differences():
            run.step()
        run.network.cut = {frozenset(('entry-9', name)) for name in others}
        run.start('entry-9')
        joiner = run.balancers['entry-9']
        peer = run.balancers[WITNESSES[0]]
        deadline = run.now + 5
        while joiner.store.root_digest() != peer.store.root_digest():
            run.step()
            assert run.now < deadline
