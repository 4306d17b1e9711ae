"""Tests of lease holders, witnesses and the count of votes."""

from trefoilhaven_core.membership.fencing import VOTE_LIFE_S, FenceTally
from trefoilhaven_core.membership.leases import (
    FENCE_AFTER_S,
    FORGET_AFTER_S,
    LEASE_S,
    LeaseHolder,
    LeaseWitness,
)
from trefoilhaven_core.membership.messages import (
    FenceRequest,
    FenceVote,
    Heartbeat,
    HeartbeatAck,
    HeartbeatRefused,
)
from trefoilhaven_core.membership.tests.support import (
    NO_LOAD,
    SERVICE,
    WITNESSES,
    make_member,
)

_START = 100.0


def _holder() -> LeaseHolder:
    return LeaseHolder(SERVICE, 'desk-1', 1, WITNESSES)


def _witness(started_at: float = 0) -> LeaseWitness:
    return LeaseWitness('entry-1', started_at)


def _heartbeat(
    incarnation: int = 1, term: int = 1, sent_at: float = _START
) -> Heartbeat:
    member = make_member(incarnation=incarnation)
    return Heartbeat(member, term, NO_LOAD, sent_at, 0)


def _fence_request(incarnation: int = 1, term: int = 1) -> FenceRequest:
    return FenceRequest(SERVICE, 'desk-1', incarnation, term, 'desk-2')


def _ack(witness: str, sent_at: float = _START, term: int = 1) -> HeartbeatAck:
    return HeartbeatAck(SERVICE, 'desk-1', 1, term, sent_at, witness, 0, 0, ())


def _vote(witness: str, sent_at: float, *, agreed: bool = True) -> FenceVote:
    return FenceVote(SERVICE, 'desk-1', 1, 1, witness, agreed, 9, sent_at)


class TestLeaseHolder:
    """Leases on the agent's side."""

    def test_majority_starts_lease_at_send_time(self) -> None:
        """Guards against a lease without majority or counted from arrival."""
        holder = _holder()
        holder.heartbeats(_START, make_member(), NO_LOAD, 0)
        holder.on_ack(_START + 1, _ack('entry-1'))
        assert not holder.lease_valid(_START + 1)
        holder.on_ack(_START + 1, _ack('entry-3'))
        assert holder.lease_until == _START + LEASE_S

    def test_interval_and_urgent_heartbeat(self) -> None:
        """Guards against a drain that waits for the interval."""
        holder = _holder()
        member = make_member()
        assert len(holder.heartbeats(_START, member, NO_LOAD, 0)) == 3
        assert not holder.heartbeats(_START + 0.4, member, NO_LOAD, 0)
        raised = member._replace(sequence=2)
        assert len(holder.heartbeats(_START + 0.4, raised, NO_LOAD, 0)) == 3

    def test_expired_lease_needs_new_term(self) -> None:
        """Guards against a resumed term that a majority has fenced."""
        holder = _holder()
        holder.heartbeats(_START, make_member(), NO_LOAD, 0)
        late = _START + LEASE_S + 0.1
        assert not holder.on_ack(late, _ack('entry-1', late))
        assert holder.on_ack(late, _ack('entry-2', late))
        assert holder.term == 2
        assert not holder.lease_valid(late)

    def test_refused_term(self) -> None:
        """Guards against a lease that stays valid after a refusal."""
        holder = _holder()
        holder.heartbeats(_START, make_member(), NO_LOAD, 0)
        for name in WITNESSES:
            holder.on_ack(_START, _ack(name))
        refused = HeartbeatRefused(SERVICE, 'desk-1', 1, 1, 'entry-1')
        assert holder.on_refused(_START, refused)
        assert not holder.lease_valid(_START)
        assert not holder.on_refused(_START, refused)
        assert holder.term == 2

    def test_superseded_incarnation(self) -> None:
        """Guards against a lease of a process that was replaced."""
        holder = _holder()
        holder.heartbeats(_START, make_member(), NO_LOAD, 0)
        refused = HeartbeatRefused(SERVICE, 'desk-1', 2, 1, 'entry-1')
        assert holder.on_refused(_START, refused)
        for name in WITNESSES:
            holder.on_ack(_START, _ack(name))
        assert not holder.lease_valid(_START)

    def test_foreign_answers(self) -> None:
        """Guards against counting unknown witnesses, targets or terms."""
        holder = _holder()
        holder.heartbeats(_START, make_member(), NO_LOAD, 0)
        for name in ('entry-1', 'entry-8', 'entry-9'):
            holder.on_ack(_START, _ack(name))
        holder.on_ack(_START, _ack('entry-2')._replace(target='desk-2'))
        holder.on_ack(_START, _ack('entry-2', term=2))
        assert not holder.lease_valid(_START)


class TestLeaseWitness:
    """Leases on the balancer's side."""

    def test_quiet_after_start(self) -> None:
        """Guards against votes of a witness that lost its grants."""
        witness = _witness(_START)
        early = _START + FENCE_AFTER_S - 0.1
        assert witness.on_heartbeat(early, _heartbeat()) is None
        assert not witness.on_fence(early, _fence_request()).agreed
        assert witness.on_fence(early + 0.1, _fence_request()).agreed

    def test_fence_waits_for_silence(self) -> None:
        """Guards against fencing a term whose lease may still be valid."""
        witness = _witness()
        witness.on_heartbeat(_START, _heartbeat())
        assert not witness.on_fence(_START + 2.4, _fence_request()).agreed
        assert witness.on_fence(_START + 2.5, _fence_request()).agreed

    def test_fenced_term_stays_refused(self) -> None:
        """Guards against acknowledging a term after the vote to fence it."""
        witness = _witness()
        assert witness.on_fence(_START, _fence_request(term=2)).agreed
        for term in (1, 2):
            answer = witness.on_heartbeat(_START, _heartbeat(term=term))
            assert isinstance(answer, HeartbeatRefused)
            assert answer.term == 2
        answer = witness.on_heartbeat(_START, _heartbeat(term=3))
        assert isinstance(answer, HeartbeatAck)

    def test_older_incarnation(self) -> None:
        """Guards against acknowledging a process that was replaced."""
        witness = _witness()
        witness.on_heartbeat(_START, _heartbeat())
        newer = witness.on_heartbeat(_START + 1, _heartbeat(incarnation=2))
        assert isinstance(newer, HeartbeatAck)
        older = witness.on_heartbeat(_START + 1, _heartbeat())
        assert isinstance(older, HeartbeatRefused)
        assert older.incarnation == 2
        assert not witness.on_fence(_START + 2.4, _fence_request()).agreed
        assert witness.on_fence(_START + 2.5, _fence_request()).agreed

    def test_fence_of_lower_term_tells_current(self) -> None:
        """Guards against fencing a lower term than the one in use."""
        witness = _witness()
        witness.on_heartbeat(_START, _heartbeat(term=4))
        vote = witness.on_fence(_START + 9, _fence_request(term=3))
        assert (vote.agreed, vote.term) == (False, 4)

    def test_fence_of_term_before_the_first(self) -> None:
        """Guards against agreement to fence a term below the first one.

        No agent ever has term 0, so that agreement would prove nothing about
        the lease: a claimant would treat a valid one as ended.
        """
        witness = _witness()
        witness.on_heartbeat(_START, _heartbeat())
        vote = witness.on_fence(_START + 0.1, _fence_request(term=0))
        assert not vote.agreed
        assert vote.term == 1
        later = _START + FENCE_AFTER_S
        assert not witness.on_fence(later, _fence_request(term=0)).agreed
        assert witness.on_fence(later, _fence_request(term=1)).agreed

    def test_fence_of_fenced_term_after_the_next(self) -> None:
        """Guards against agreement to fence a term that is no longer in use.

        A claimant that restarted does not know to which term it granted
        buckets, so that it may request a lower one.
        """
        witness = _witness()
        assert witness.on_fence(_START, _fence_request(term=1)).agreed
        witness.on_heartbeat(_START, _heartbeat(term=2))
        vote = witness.on_fence(_START + 0.1, _fence_request(term=1))
        assert (vote.agreed, vote.term) == (False, 2)

    def test_memory_is_bounded(self) -> None:
        """Guards against unbounded memory, and against loss of a fence."""
        witness = _witness()
        witness.on_fence(_START, _fence_request())
        late = _START + FORGET_AFTER_S + 1
        witness.forget(late, {(SERVICE, 'desk-1')})
        assert len(witness) == 1
        witness.forget(late, set())
        assert not len(witness)


class TestFenceTally:
    """Fencing on the claimant's side."""

    def test_majority(self) -> None:
        """Guards against a majority from two votes of one witness."""
        tally = FenceTally(_fence_request(), WITNESSES)
        assert tally.due_request(_START) is not None
        assert not tally.on_vote(_START, _vote('entry-1', _START))
        assert not tally.on_vote(_START, _vote('entry-1', _START))
        assert tally.on_vote(_START, _vote('entry-2', _START))

    def test_old_votes_do_not_count(self) -> None:
        """Guards against counting a vote that a restarted witness lost."""
        tally = FenceTally(_fence_request(), WITNESSES)
        tally.on_vote(_START, _vote('entry-1', _START))
        late = _START + VOTE_LIFE_S + 0.1
        assert not tally.on_vote(late, _vote('entry-2', late))

    def test_takes_over_higher_term(self) -> None:
        """Guards against fencing a term that is no longer in use."""
        tally = FenceTally(_fence_request(), WITNESSES)
        vote = _vote('entry-1', _START, agreed=False)
        tally.on_vote(_START, vote._replace(term=5))
        request = tally.due_request(_START)
        assert request is not None
        assert request.term == 5


class TestRestartAfterFence:
    """A restarted agent whose previous incarnation was fenced."""

    def test_new_incarnation(self) -> None:
        """Guards against a restarted agent that never gets a lease.

        The witness compared the first term of the new incarnation with the
        fenced term of the old one and always refused it.
        """
        witness = LeaseWitness('balancer-1', -10)
        old = make_member()
        witness.on_heartbeat(0, Heartbeat(old, 1, NO_LOAD, 0, 0))
        request = FenceRequest(
            old.service, old.target, old.incarnation, 1, 'target-2', 3
        )
        assert witness.on_fence(3, request).agreed
        new = old._replace(incarnation=old.incarnation + 1)
        reply = witness.on_heartbeat(4, Heartbeat(new, 1, NO_LOAD, 4, 0))
        assert isinstance(reply, HeartbeatAck)
