"""Tests of the evacuations that processes see in the store and exchange."""

import math

import msgspec
import pytest
from trefoilhaven_core.connections.evacuations import (
    ERA_HOLD_S,
    UNKNOWN_EVACUATIONS,
    DomainChange,
    Evacuations,
    StoreEvacuations,
    decode_evacuations,
    encode_evacuations,
)
from trefoilhaven_core.membership.messages import MAX_VERSION


def domains(*names: str) -> frozenset[str]:
    """Return a set of failure domains."""
    return frozenset(names)


class TestVersion:
    """Versions order evacuations across restored stores."""

    def test_later_era_is_higher(self) -> None:
        """Guards against revisions given out again that lose to old ones."""
        before = Evacuations(1, 5_000_000, domains('a'))
        after = Evacuations(2, 3, domains())
        assert before.version < after.version

    def test_later_revision_is_higher(self) -> None:
        """Guards against an old set that stays in force."""
        held = Evacuations(1, 8, is_settled=False)
        assert Evacuations(1, 7).version < held.version

    def test_settled_is_higher(self) -> None:
        """Guards against two sets of one version, which never converge."""
        held = Evacuations(1, 8, domains('a'), is_settled=False)
        assert held.version < Evacuations(1, 8).version

    def test_first_revision_is_known(self) -> None:
        """Guards against a gateway that waits for an empty store's list."""
        assert Evacuations(0, 0).is_known
        assert not UNKNOWN_EVACUATIONS.is_known

    def test_limit(self) -> None:
        """Guards against versions that peers reject as malformed."""
        assert Evacuations(262_143, (1 << 43) - 1).version <= MAX_VERSION


class TestCodec:
    """Evacuations travel as bytes between processes."""

    def test_round_trip(self) -> None:
        """Guards against a set that changes on its way."""
        evacuations = Evacuations(2, 9, domains('b', 'a'), is_settled=False)
        content = encode_evacuations(evacuations)
        assert decode_evacuations(content) == evacuations

    def test_equal_bytes(self) -> None:
        """Guards against digests that differ by the order of a set."""
        first = Evacuations(1, 1, domains('a', 'b', 'c'))
        second = Evacuations(1, 1, domains('c', 'b', 'a'))
        assert encode_evacuations(first) == encode_evacuations(second)

    @pytest.mark.parametrize(
        'evacuations',
        [
            Evacuations(262_144, 1),
            Evacuations(-1, 1),
            Evacuations(1, 1 << 43),
            Evacuations(1, -1),
        ],
    )
    def test_out_of_bounds(self, evacuations: Evacuations) -> None:
        """Guards against a version that can't be encoded or ordered.

        Such an era or revision would also hide the store's for ever.
        """
        content = encode_evacuations(evacuations)
        with pytest.raises(msgspec.MsgspecError):
            decode_evacuations(content)

    def test_highest(self) -> None:
        """Guards against bounds that reject what a store may reach."""
        highest = Evacuations(262_143, (1 << 43) - 1)
        assert decode_evacuations(encode_evacuations(highest)) == highest


class TestListing:
    """Listings and watches within one era."""

    def test_first_listing(self) -> None:
        """Guards against a starting gateway that never learns an empty set."""
        store = StoreEvacuations()
        listed = Evacuations(0, 5)
        store.on_listing(1, UNKNOWN_EVACUATIONS, listed)
        assert store.to_distribute(1, UNKNOWN_EVACUATIONS) == listed

    def test_unchanged(self) -> None:
        """Guards against a datagram to all peers for each write elsewhere."""
        store = StoreEvacuations()
        in_force = Evacuations(0, 5, domains('a'))
        store.on_listing(1, in_force, Evacuations(0, 9, domains('a')))
        assert store.on_changes(1, 0, 12, ())
        assert store.to_distribute(1, in_force) is None

    def test_watch(self) -> None:
        """Guards against an evacuation or its removal that is missed."""
        store = StoreEvacuations()
        in_force = Evacuations(0, 5, domains('a'))
        store.on_listing(1, in_force, in_force)
        changes = [DomainChange('b', True), DomainChange('a', False)]
        store.on_changes(1, 0, 8, changes)
        wanted = Evacuations(0, 8, domains('b'))
        assert store.to_distribute(1, in_force) == wanted

    def test_deleted_during_outage(self) -> None:
        """Guards against an evacuation that stays after a failed watch."""
        store = StoreEvacuations()
        in_force = Evacuations(0, 5, domains('a'))
        store.on_listing(1, in_force, in_force)
        listed = Evacuations(0, 9)
        store.on_listing(4, in_force, listed)
        assert store.to_distribute(4, in_force) == listed

    def test_emptied_and_taken_back(self) -> None:
        """Guards against the state in between that stays in force.

        This gateway sees both changes at once and has nothing to distribute.
        A peer has seen and distributed the first only.
        """
        store = StoreEvacuations()
        first = Evacuations(0, 5)
        store.on_listing(1, first, first)
        both = [DomainChange('a', True), DomainChange('a', False)]
        store.on_changes(1, 0, 9, both)
        assert store.to_distribute(1, first) is None
        between = Evacuations(0, 7, domains('a'))
        assert store.to_distribute(2, between) == Evacuations(0, 9)

    def test_old_listing(self) -> None:
        """Guards against a slow answer that undoes a later set."""
        store = StoreEvacuations()
        in_force = Evacuations(0, 9)
        store.on_listing(1, in_force, Evacuations(0, 7, domains('a')))
        assert store.to_distribute(1, in_force) is None


class TestEra:
    """A store that came back from an older copy."""

    before = Evacuations(1, 500, domains('a'))

    def test_missing_evacuation(self) -> None:
        """Guards against connections to a domain that is being emptied.

        The copy lacks the evacuation until the operator writes it again.
        """
        store = StoreEvacuations()
        store.on_listing(10, self.before, Evacuations(2, 300))
        assert store.to_distribute(10, self.before) is None
        store.on_changes(10.1, 2, 310, [DomainChange('a', True)])
        late = 10 + ERA_HOLD_S
        assert store.to_distribute(late, self.before) is None
        store.on_changes(late, 2, 320, ())
        wanted = store.to_distribute(late, self.before)
        assert wanted == Evacuations(2, 320, domains('a'))

    def test_stale_view(self) -> None:
        """Guards against a decision by what was seen before the hold ended.

        The operator has written the evacuation again, but the store has not
        answered this gateway since the first listing.
        """
        store = StoreEvacuations()
        store.on_listing(10, self.before, Evacuations(2, 300))
        assert store.answer_due_s(10.5, self.before) == ERA_HOLD_S - 0.5
        late = 20 + ERA_HOLD_S
        assert store.to_distribute(late, self.before) is None
        assert store.answer_due_s(late, self.before) == 0
        listed = Evacuations(2, 320, domains('a'))
        store.on_listing(late, self.before, listed)
        assert store.to_distribute(late, self.before) == listed
        assert store.answer_due_s(late, self.before) == math.inf

    def test_withdrawn_evacuation(self) -> None:
        """Guards against an old evacuation that appears again."""
        store = StoreEvacuations()
        listed = Evacuations(2, 300, domains('a', 'b'))
        store.on_listing(10, self.before, listed)
        assert store.to_distribute(12.9, self.before) is None
        store.on_changes(10.1, 2, 310, [DomainChange('b', False)])
        assert store.to_distribute(12.9, self.before) is None

    def test_listing_decides(self) -> None:
        """Guards against a set that nobody can withdraw any more."""
        store = StoreEvacuations()
        store.on_listing(10, self.before, Evacuations(2, 300))
        late = 10 + ERA_HOLD_S
        store.on_changes(late, 2, 305, ())
        wanted = Evacuations(2, 305)
        assert store.to_distribute(late, self.before) == wanted

    def test_change_at_once(self) -> None:
        """Guards against an evacuation that waits for the end of the hold."""
        store = StoreEvacuations()
        store.on_listing(10, self.before, Evacuations(2, 300))
        store.on_changes(10.1, 2, 310, [DomainChange('b', True)])
        held = store.to_distribute(10.1, self.before)
        assert held == Evacuations(2, 310, domains('a', 'b'), is_settled=False)
        assert store.to_distribute(10.2, held) is None
        late = 10 + ERA_HOLD_S
        store.on_changes(late, 2, 310, ())
        settled = store.to_distribute(late, held)
        assert settled == Evacuations(2, 310, domains('b'))

    def test_change_by_listing(self) -> None:
        """Guards against a change that a failed watch hides in the hold."""
        store = StoreEvacuations()
        store.on_listing(10, self.before, Evacuations(2, 300))
        store.on_listing(11, self.before, Evacuations(2, 320, domains('b')))
        held = store.to_distribute(11, self.before)
        assert held is not None
        assert held.domains == {'a', 'b'}

    def test_peer_has_settled(self) -> None:
        """Guards against a late gateway that holds what others have ended."""
        store = StoreEvacuations()
        store.on_listing(20, self.before, Evacuations(2, 300, domains('a')))
        settled = Evacuations(2, 310)
        assert store.to_distribute(20.1, settled) is None
        changes = [DomainChange('a', False), DomainChange('c', True)]
        store.on_changes(20.2, 2, 330, changes)
        wanted = Evacuations(2, 330, domains('c'))
        assert store.to_distribute(20.2, settled) == wanted

    def test_start_in_a_new_era(self) -> None:
        """Guards against a restarted gateway that overrules its peers.

        It has no set yet and can't tell that the listing is of a new era.
        """
        store = StoreEvacuations()
        listed = Evacuations(2, 300, domains('b'))
        store.on_listing(10, UNKNOWN_EVACUATIONS, listed)
        assert store.to_distribute(10, UNKNOWN_EVACUATIONS) is None
        assert store.to_apply(UNKNOWN_EVACUATIONS) == listed
        assert store.to_apply(self.before) == self.before
        late = 10 + ERA_HOLD_S
        store.on_changes(late, 2, 300, ())
        assert store.to_distribute(late, UNKNOWN_EVACUATIONS) == listed

    def test_unsettled_before_first_listing(self) -> None:
        """Guards against a partly corrected copy that is taken for settled.

        The operator has written c, and a peer has distributed it with the
        evacuations that it keeps, before this gateway lists the new era.
        """
        store = StoreEvacuations()
        store.on_listing(9, self.before, self.before)
        unsettled = Evacuations(2, 310, domains('a', 'c'), is_settled=False)
        store.on_listing(10, unsettled, Evacuations(2, 310, domains('c')))
        assert store.to_distribute(10, unsettled) is None
        assert store.answer_due_s(10, unsettled) == ERA_HOLD_S
        late = 10 + ERA_HOLD_S
        store.on_changes(late, 2, 320, [DomainChange('a', True)])
        settled = Evacuations(2, 320, domains('a', 'c'))
        assert store.to_distribute(late, unsettled) == settled

    def test_start_with_unsettled(self) -> None:
        """Guards against a restarted gateway that ends its peers' hold."""
        store = StoreEvacuations()
        unsettled = Evacuations(2, 310, domains('a', 'c'), is_settled=False)
        store.on_listing(10, unsettled, Evacuations(2, 310, domains('c')))
        assert store.to_distribute(10, unsettled) is None
        late = 10 + ERA_HOLD_S
        store.on_changes(late, 2, 320, ())
        settled = Evacuations(2, 320, domains('c'))
        assert store.to_distribute(late, unsettled) == settled

    def test_new_era_soon_after_start(self) -> None:
        """Guards against a starting gateway that follows a copy at once.

        It has no peer's set, and the evacuation that it applies is not in
        the restored copy yet. A change in the new era applies at once.
        """
        store = StoreEvacuations()
        store.on_listing(10, UNKNOWN_EVACUATIONS, Evacuations(1, 500))
        store.on_changes(10.5, 1, 510, [DomainChange('a', True)])
        store.on_listing(11, UNKNOWN_EVACUATIONS, Evacuations(2, 300))
        assert store.to_apply(UNKNOWN_EVACUATIONS).domains == {'a'}
        store.on_changes(11.1, 2, 310, [DomainChange('b', True)])
        assert store.to_apply(UNKNOWN_EVACUATIONS).domains == {'a', 'b'}
        assert store.to_distribute(11.1, UNKNOWN_EVACUATIONS) is None
        store.on_listing(12, UNKNOWN_EVACUATIONS, Evacuations(3, 200))
        assert store.to_apply(UNKNOWN_EVACUATIONS).domains == {'a', 'b'}
        late = 12 + ERA_HOLD_S
        store.on_changes(late, 3, 210, ())
        settled = Evacuations(3, 210)
        assert store.to_distribute(late, UNKNOWN_EVACUATIONS) == settled

    def test_earlier_era(self) -> None:
        """Guards against a late answer of the store before its outage."""
        store = StoreEvacuations()
        store.on_listing(10, self.before, Evacuations(2, 300))
        assert not store.on_listing(11, self.before, Evacuations(1, 600))
        assert not store.on_changes(11, 1, 600, [DomainChange('a', False)])
        late = 10 + ERA_HOLD_S
        store.on_changes(late, 2, 300, ())
        assert store.to_distribute(late, self.before) == Evacuations(2, 300)

    def test_earlier_era_than_peers(self) -> None:
        """Guards against a first answer that is older than what peers know."""
        store = StoreEvacuations()
        assert not store.on_listing(1, self.before, Evacuations(0, 900))
        assert store.to_apply(self.before) == self.before
