"""Tests of the confirmation of records by peers."""

import random

from trefoilhaven_core.membership.confirmations import (
    CONFIRMATION_INTERVAL_S,
    CONFIRMATION_TIMEOUT_S,
    MembershipConfirmation,
    Origin,
)
from trefoilhaven_core.membership.messages import (
    Address,
    BalancerRecord,
    Digest,
    MemberState,
)

ROOT = 7
OWN_INCARNATION = 100


def make_record(
    name: str,
    incarnation: int = 1,
    domain: str = 'a',
    state: MemberState = MemberState.alive,
) -> BalancerRecord:
    """Return the record of another balancer."""
    address = Address(name, 7000)
    return BalancerRecord(name, domain, incarnation, 1, state, address, address)


def make_confirmation(*records: BalancerRecord) -> MembershipConfirmation:
    """Return a confirmation with peers."""
    confirmation = MembershipConfirmation(
        Origin('a', OWN_INCARNATION), random.Random(1)
    )
    confirmation.set_peers(records)
    return confirmation


def answer(
    confirmation: MembershipConfirmation, peer: str, root: int = ROOT
) -> None:
    """Process the answer of a peer."""
    confirmation.on_digest(Digest(peer, root, is_reply=True), ROOT)


class TestConfirmed:
    """Conditions under which records are confirmed."""

    def test_no_peers(self) -> None:
        """Guards against a single balancer that never resets a client."""
        assert make_confirmation().is_confirmed(5)

    def test_two_equal(self) -> None:
        """Guards against a conclusion from one peer that lags as well."""
        confirmation = make_confirmation(*map(make_record, 'bcd'))
        for peer in 'bc':
            assert not confirmation.is_confirmed(1)
            confirmation.on_digest_sent(1, peer)
            answer(confirmation, peer)
        assert confirmation.is_confirmed(1)

    def test_only_peer(self) -> None:
        """Guards against a pair of balancers that never reset a client."""
        confirmation = make_confirmation(make_record('b'))
        confirmation.on_digest_sent(1, 'b')
        answer(confirmation, 'b')
        assert confirmation.is_confirmed(1)

    def test_different_records(self) -> None:
        """Guards against a confirmation by a peer that knows other records."""
        confirmation = make_confirmation(make_record('b'))
        confirmation.on_digest_sent(1, 'b')
        answer(confirmation, 'b', ROOT + 1)
        assert not confirmation.is_confirmed(1)

    def test_third_differs(self) -> None:
        """Guards against two peers that joined together and lag alike.

        The third peer that was asked has other records, so that it may know
        a target that the others lack.
        """
        confirmation = make_confirmation(*map(make_record, 'bcd'))
        for peer in 'bcd':
            confirmation.on_digest_sent(1, peer)
        for peer in 'bc':
            answer(confirmation, peer)
        answer(confirmation, 'd', ROOT + 1)
        assert not confirmation.is_confirmed(1)

    def test_earlier_confirmation(self) -> None:
        """Guards against a target that joined after the confirmation."""
        confirmation = make_confirmation(make_record('b'))
        confirmation.on_digest_sent(1, 'b')
        answer(confirmation, 'b')
        assert not confirmation.is_confirmed(1.01)

    def test_late_answer(self) -> None:
        """Guards against an answer to an earlier digest.

        The peer may have learned of a target between both digests.
        """
        confirmation = make_confirmation(make_record('b'))
        confirmation.on_digest_sent(1, 'b')
        confirmation.on_digest_sent(1.5, 'b')
        answer(confirmation, 'b')
        assert not confirmation.is_confirmed(1.5)

    def test_lost_digest(self) -> None:
        """Guards against a peer that a lost digest excludes for good."""
        confirmation = make_confirmation(make_record('b'))
        confirmation.on_digest_sent(1, 'b')
        sent_at = 1 + CONFIRMATION_TIMEOUT_S
        confirmation.on_digest_sent(sent_at, 'b')
        answer(confirmation, 'b')
        assert confirmation.is_confirmed(sent_at)

    def test_unsolicited(self) -> None:
        """Guards against digests that answer no digest of this balancer."""
        confirmation = make_confirmation(make_record('b'))
        answer(confirmation, 'b')
        confirmation.on_digest_sent(1, 'b')
        confirmation.on_digest(Digest('b', ROOT), ROOT)
        confirmation.on_digest(Digest('b', ROOT, (1,), is_reply=True), ROOT)
        assert not confirmation.is_confirmed(0)


class TestPeers:
    """Peers that are asked for a confirmation."""

    def test_joined_together(self) -> None:
        """Guards against a confirmation by balancers that joined as well.

        They may lack the same targets.
        """
        joined = [make_record(name, OWN_INCARNATION) for name in 'cde']
        confirmation = make_confirmation(*joined, *map(make_record, 'xy'))
        assert set(confirmation.due_probes(1)) == {'x', 'y'}

    def test_only_later_ones(self) -> None:
        """Guards against an oldest balancer that nobody confirms."""
        joined = [make_record(name, OWN_INCARNATION + 1) for name in 'cd']
        confirmation = make_confirmation(*joined)
        assert set(confirmation.due_probes(1)) == {'c', 'd'}

    def test_near(self) -> None:
        """Guards against questions to other failure domains without need."""
        far = [make_record(name, domain='b') for name in 'uvw']
        confirmation = make_confirmation(*far, *map(make_record, 'xy'))
        assert set(confirmation.due_probes(1)) == {'x', 'y'}

    def test_ended(self) -> None:
        """Guards against a wait for balancers that have ended."""
        dead = make_record('c', state=MemberState.dead)
        left = make_record('d', state=MemberState.left)
        confirmation = make_confirmation(make_record('b'), dead, left)
        assert confirmation.due_probes(1) == ['b']

    def test_interval(self) -> None:
        """Guards against a digest for each search that ends."""
        confirmation = make_confirmation(make_record('b'))
        assert confirmation.due_probes(1)
        assert not confirmation.due_probes(1 + CONFIRMATION_INTERVAL_S / 2)
        assert confirmation.due_probes(1 + CONFIRMATION_INTERVAL_S)
