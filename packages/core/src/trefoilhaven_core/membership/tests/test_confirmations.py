"""Tests of the confirmation of the list of targets by peers."""

import math

from trefoilhaven_core.membership.confirmations import (
    CONFIRMATION_INTERVAL_S,
    MAX_UNANSWERED_QUERIES,
    UNANSWERED_TTL_S,
    MembershipConfirmation,
    Origin,
)
from trefoilhaven_core.membership.messages import (
    Address,
    BalancerRecord,
    MemberState,
)

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
    confirmation = MembershipConfirmation(Origin('a', OWN_INCARNATION))
    confirmation.set_peers(records)
    return confirmation


def answer(
    confirmation: MembershipConfirmation,
    peers: str,
    sent_at: float,
    *,
    is_partial: bool = False,
) -> None:
    """Process the answers of peers to the query sent at a time."""
    for peer in peers:
        confirmation.on_reply(peer, sent_at, is_partial=is_partial)


def confirmed_as_of(
    confirmation: MembershipConfirmation,
    now: float,
    *,
    is_connected: bool = True,
) -> float:
    """Return the time as of which the peers confirmed the list."""
    return confirmation.confirmed_as_of(now, is_connected=is_connected)


def ask_in_vain(confirmation: MembershipConfirmation) -> float:
    """Send as many queries as count as gone; return the time of the last."""
    now = 1.0
    for step in range(MAX_UNANSWERED_QUERIES):
        now = 1 + step * CONFIRMATION_INTERVAL_S * 1.01
        assert confirmation.due_queries(now, now)
    return now


class TestConfirmed:
    """Conditions under which the list is confirmed."""

    def test_no_peers(self) -> None:
        """Guards against a single balancer that never resets a client."""
        assert confirmed_as_of(make_confirmation(), 5) == 5

    def test_all_peers(self) -> None:
        """Guards against a conclusion from peers that lag as well."""
        confirmation = make_confirmation(*map(make_record, 'bcd'))
        assert set(confirmation.due_queries(1, 1)) == set('bcd')
        for peer in 'bcd':
            assert confirmed_as_of(confirmation, 1.01) == -math.inf
            answer(confirmation, peer, 1)
        assert confirmed_as_of(confirmation, 1.01) == 1

    def test_third_differs(self) -> None:
        """Guards against two peers that joined together and lag alike.

        The third peer that was asked has more targets than its reply, so
        that it knows a target that the others lack.
        """
        confirmation = make_confirmation(*map(make_record, 'bcd'))
        confirmation.due_queries(1, 1)
        answer(confirmation, 'bc', 1)
        answer(confirmation, 'd', 1, is_partial=True)
        assert confirmed_as_of(confirmation, 1.01) == -math.inf

    def test_earlier_confirmation(self) -> None:
        """Guards against a target that joined after the confirmation."""
        confirmation = make_confirmation(make_record('b'))
        confirmation.due_queries(1, 1)
        answer(confirmation, 'b', 1)
        assert confirmed_as_of(confirmation, 1.02) < 1.01

    def test_late_answer(self) -> None:
        """Guards against an answer to an earlier query.

        The peer may have learned of a target between both queries.
        """
        confirmation = make_confirmation(make_record('b'))
        confirmation.due_queries(1, 1)
        confirmation.due_queries(1.5, 1.5)
        answer(confirmation, 'b', 1)
        assert confirmed_as_of(confirmation, 1.51) == 1

    def test_unordered_answers(self) -> None:
        """Guards against a confirmation that a late answer takes back."""
        confirmation = make_confirmation(make_record('b'))
        for sent_at in (1, 1.5):
            confirmation.due_queries(sent_at, sent_at)
        answer(confirmation, 'b', 1.5)
        confirmation.due_queries(2, 2)
        answer(confirmation, 'b', 1)
        assert confirmed_as_of(confirmation, 2.01) == 1.5

    def test_lost_query(self) -> None:
        """Guards against a peer that a lost query excludes for good."""
        confirmation = make_confirmation(make_record('b'))
        confirmation.due_queries(1, 1)
        assert confirmation.due_queries(1.1, 1) == ['b']
        answer(confirmation, 'b', 1.1)
        assert confirmed_as_of(confirmation, 1.2) == 1.1

    def test_unsolicited(self) -> None:
        """Guards against replies that answer no query of this balancer."""
        confirmation = make_confirmation(make_record('b'))
        answer(confirmation, 'b', 1)
        assert confirmed_as_of(confirmation, 1.1) == -math.inf


class TestGone:
    """Peers that have ended, or seem so after a cut."""

    def test_one_of_two(self) -> None:
        """Guards against clients that wait for a balancer that ended."""
        confirmation = make_confirmation(*map(make_record, 'bc'))
        confirmation.due_queries(0.5, 0.5)
        now = ask_in_vain(confirmation)
        confirmation.due_queries(now + 0.1, now)
        answer(confirmation, 'b', now + 0.1)
        assert confirmed_as_of(confirmation, now + 0.2) == now + 0.1

    def test_not_too_early(self) -> None:
        """Guards against a slow peer that is taken to have ended."""
        confirmation = make_confirmation(*map(make_record, 'bc'))
        confirmation.due_queries(1, 1)
        answer(confirmation, 'b', 1)
        assert confirmed_as_of(confirmation, 1.01) == -math.inf

    def test_pause(self) -> None:
        """Guards against a pause of this balancer between two queries.

        The answers of its peers still wait to be received.
        """
        confirmation = make_confirmation(*map(make_record, 'bc'))
        confirmation.due_queries(1, 1)
        answer(confirmation, 'b', 1)
        later = 1 + 10 * MAX_UNANSWERED_QUERIES * CONFIRMATION_INTERVAL_S
        assert confirmed_as_of(confirmation, later) == -math.inf

    def test_returned_peer(self) -> None:
        """Guards against a reset before a returned peer has answered."""
        confirmation = make_confirmation(*map(make_record, 'bc'))
        now = ask_in_vain(confirmation) + UNANSWERED_TTL_S + 0.1
        confirmation.due_queries(now, now)
        answer(confirmation, 'b', now)
        assert confirmed_as_of(confirmation, now) == -math.inf

    def test_all_silent(self) -> None:
        """Guards against a balancer that was cut off and confirms itself."""
        confirmation = make_confirmation(*map(make_record, 'bc'))
        now = ask_in_vain(confirmation)
        assert (
            confirmed_as_of(confirmation, now, is_connected=False) == -math.inf
        )
        assert confirmed_as_of(confirmation, now, is_connected=True) == now

    def test_all_dead(self) -> None:
        """Guards against the same after its peers were taken for dead."""
        dead = make_record('b', state=MemberState.dead)
        confirmation = make_confirmation(dead)
        assert confirmed_as_of(confirmation, 5, is_connected=False) == -math.inf
        assert confirmed_as_of(confirmation, 5, is_connected=True) == 5


class TestPeers:
    """Peers that are asked for a confirmation."""

    def test_joined_together(self) -> None:
        """Guards against a confirmation by balancers that joined as well.

        They may lack the same targets.
        """
        joined = [make_record(name, OWN_INCARNATION) for name in 'cde']
        far = [make_record(name, domain='b') for name in 'xy']
        confirmation = make_confirmation(*joined, *far)
        assert {'x', 'y'} <= set(confirmation.due_queries(1, 1))
        answer(confirmation, 'cde', 1)
        assert confirmed_as_of(confirmation, 1) == -math.inf
        answer(confirmation, 'xy', 1)
        assert confirmed_as_of(confirmation, 1) == 1

    def test_only_later_ones(self) -> None:
        """Guards against an oldest balancer that nobody confirms."""
        joined = [make_record(name, OWN_INCARNATION + 1) for name in 'cd']
        confirmation = make_confirmation(*joined)
        assert set(confirmation.due_queries(1, 1)) == {'c', 'd'}

    def test_only_far_ones(self) -> None:
        """Guards against an only balancer of a domain that nobody confirms."""
        far = [make_record(name, OWN_INCARNATION + 1, 'b') for name in 'cd']
        confirmation = make_confirmation(*far)
        assert set(confirmation.due_queries(1, 1)) == {'c', 'd'}

    def test_near(self) -> None:
        """Guards against questions to other failure domains without need."""
        far = [make_record(name, domain='b') for name in 'uvw']
        confirmation = make_confirmation(*far, *map(make_record, 'xy'))
        assert set(confirmation.due_queries(1, 1)) == {'x', 'y'}

    def test_ended(self) -> None:
        """Guards against a wait for balancers that have ended."""
        dead = make_record('c', state=MemberState.dead)
        left = make_record('d', state=MemberState.left)
        confirmation = make_confirmation(make_record('b'), dead, left)
        assert confirmation.due_queries(1, 1) == ['b']

    def test_interval(self) -> None:
        """Guards against a query for each search that ends."""
        confirmation = make_confirmation(make_record('b'))
        assert confirmation.due_queries(1, 1)
        half = 1 + CONFIRMATION_INTERVAL_S / 2
        assert not confirmation.due_queries(half, half)
        assert confirmation.due_queries(1 + CONFIRMATION_INTERVAL_S, 1)

    def test_confirmed_already(self) -> None:
        """Guards against queries to peers that have just answered."""
        confirmation = make_confirmation(*map(make_record, 'bc'))
        confirmation.due_queries(1, 1)
        answer(confirmation, 'b', 1)
        assert confirmation.due_queries(1.1, 1) == ['c']
