"""Leases of agents, granted by a majority of witnesses.

An agent holds a lease of 2 s while a majority of its witnesses acknowledge
its heartbeats. A witness that has not acknowledged an agent for 2.5 s may
vote to fence the agent's term, which ends it for good. Each side only uses
its own monotonic clock.

In a restart, a witness loses the record of the terms that it fenced. An
agent whose lease expired therefore never resumes its term: it raises the
term before it acquires the lease again.
"""

from typing import Final, NamedTuple

from trefoilhaven_core.membership.grants import NEVER, Grant
from trefoilhaven_core.membership.messages import (
    FenceRequest,
    FenceVote,
    Heartbeat,
    HeartbeatAck,
    HeartbeatRefused,
    Load,
    Member,
    TargetLoad,
)

HEARTBEAT_INTERVAL_S: Final = 0.5
LEASE_S: Final = 2.0

# Allows the holder's clock to run a fifth slower than the witness's clock.
CLOCK_RATE_MARGIN_S: Final = 0.5

FENCE_AFTER_S: Final = LEASE_S + CLOCK_RATE_MARGIN_S

# A paused agent may resume late, but no request lasts nearly a day.
FORGET_AFTER_S: Final = 86_400.0

TargetKey = tuple[str, str]


class AckSummary(NamedTuple):
    """Membership data that a witness adds to an acknowledgement."""

    view_digest: int = 0
    configuration_version: int = 0
    loads: tuple[TargetLoad, ...] = ()


NO_SUMMARY: Final = AckSummary()


class AddressedHeartbeat(NamedTuple):
    """A heartbeat and the name of the witness that it is sent to."""

    witness: str
    heartbeat: Heartbeat


class LeaseHolder:
    """An agent's side of its lease.

    ``term`` starts at 1. It rises when a witness refuses it, and when a
    majority acknowledges again after the lease expired. ``superseded`` means
    that a newer incarnation of the target exists; this process never gets a
    lease again.
    """

    def __init__(
        self,
        service: str,
        target: str,
        incarnation: int,
        witnesses: tuple[str, ...],
    ) -> None:
        """Start without a lease; the number of ``witnesses`` is odd."""
        self.incarnation = incarnation
        self.term = 1
        self.superseded = False
        self._identity = (service, target, incarnation)
        self._acked = dict.fromkeys(witnesses, NEVER)
        self._last_sent = NEVER
        self._last_version = (0, 0)
        self._renewable_until = NEVER

    @property
    def lease_until(self) -> float:
        """Monotonic time in seconds at which the lease ends, -inf without one.

        A majority of the witnesses has acknowledged heartbeats that were
        sent ``LEASE_S`` before the returned time, or later.
        """
        if self.superseded:
            return NEVER
        sent_times = sorted(self._acked.values(), reverse=True)
        return sent_times[len(sent_times) // 2] + LEASE_S

    def lease_valid(self, now: float) -> bool:
        """Return whether work that needs the lease may start now."""
        return now < self.lease_until

    def heartbeats(
        self,
        now: float,
        member: Member,
        load: Load,
        configuration_version: int,
    ) -> list[AddressedHeartbeat]:
        """Return the heartbeats that are due, if any.

        A new sequence of the member or a new term is sent at once, so that
        a drain does not wait for the interval.
        """
        version = (self.term, member.sequence)
        elapsed = now - self._last_sent
        if elapsed < HEARTBEAT_INTERVAL_S and version == self._last_version:
            return []
        if self._last_sent == NEVER:
            self._renewable_until = now + LEASE_S
        self._last_sent = now
        self._last_version = version
        heartbeat = Heartbeat(
            member, self.term, load, now, configuration_version
        )
        return [AddressedHeartbeat(name, heartbeat) for name in self._acked]

    def on_ack(self, now: float, ack: HeartbeatAck) -> bool:
        """Extend the lease; return whether to drop all ownership.

        An acknowledgement that would renew an expired lease raises the term
        instead, because a majority may have fenced the old term in the
        meantime and lost those votes in restarts.
        """
        if not self._is_own(ack) or ack.sent_at > now:
            return False
        if ack.term != self.term or ack.witness not in self._acked:
            return False
        previous = self._acked[ack.witness]
        self._acked[ack.witness] = max(previous, ack.sent_at)
        if now < self._renewable_until:
            self._renewable_until = max(self._renewable_until, self.lease_until)
            return False
        if not self.lease_valid(now):
            return False
        self._start_term(now, self.term + 1)
        return True

    def on_refused(self, now: float, refused: HeartbeatRefused) -> bool:
        """Return whether the caller has to drop all ownership.

        If so, the lease has ended. The next heartbeat carries a term above
        the refused one, unless a newer incarnation exists.
        """
        service, target, incarnation = self._identity
        if (refused.service, refused.target) != (service, target):
            return False
        if refused.witness not in self._acked:
            return False
        if refused.incarnation > incarnation:
            is_new = not self.superseded
            self.superseded = True
            return is_new
        if refused.incarnation < incarnation or refused.term < self.term:
            return False
        self._start_term(now, refused.term + 1)
        return True

    def _start_term(self, now: float, term: int) -> None:
        self.term = term
        self._acked = dict.fromkeys(self._acked, NEVER)
        self._renewable_until = now + LEASE_S

    def _is_own(self, ack: HeartbeatAck) -> bool:
        return (ack.service, ack.target, ack.incarnation) == self._identity


class LeaseWitness:
    """A balancer's side of the leases of the agents that it is a witness of.

    It may have acknowledged any lease before a restart. For
    ``FENCE_AFTER_S`` after its start it therefore neither acknowledges
    heartbeats nor agrees to fence requests.
    """

    def __init__(self, name: str, started_at: float) -> None:
        """Start without grants; ``started_at`` is monotonic seconds."""
        self._name = name
        self._quiet_until = started_at + FENCE_AFTER_S
        self._grants: dict[TargetKey, Grant] = {}

    def on_heartbeat(
        self,
        now: float,
        heartbeat: Heartbeat,
        summary: AckSummary = NO_SUMMARY,
    ) -> HeartbeatAck | HeartbeatRefused | None:
        """Acknowledge a heartbeat, refuse it, or return None for no answer.

        A heartbeat with a term below the highest known one is a late
        datagram. It is refused if its term is fenced, and otherwise gets no
        answer.
        """
        member = heartbeat.member
        key = (member.service, member.target)
        grant = self._grant(now, key, member.incarnation, heartbeat.term)
        if member.incarnation < grant.incarnation:
            return self._refuse(key, grant.incarnation, grant.term)
        grant.advance(member.incarnation, heartbeat.term)
        if heartbeat.term <= grant.fenced_term:
            return self._refuse(key, grant.incarnation, grant.fenced_term)
        if now < self._quiet_until or heartbeat.term < grant.term:
            return None
        grant.acked_at = now
        return HeartbeatAck(
            *key,
            member.incarnation,
            heartbeat.term,
            heartbeat.sent_at,
            self._name,
            summary.view_digest,
            summary.configuration_version,
            summary.loads,
        )

    def on_fence(self, now: float, request: FenceRequest) -> FenceVote:
        """Vote on fencing a term and all terms below it.

        A vote against a request for a lower term carries the highest known
        term, so that the claimant can request that one. This also applies
        if the lower term is fenced already but the highest is not: a
        claimant that restarted does not know to which term it granted
        buckets.
        """
        key = (request.service, request.target)
        pair = (request.incarnation, request.term)
        if now < self._quiet_until:
            return self._vote(request, pair, -1, agreed=False)
        grant = self._grant(now, key, *pair)
        if request.incarnation < grant.incarnation:
            silent_s = now - grant.older_acked_at
            agreed = silent_s >= FENCE_AFTER_S
            return self._vote(request, pair, silent_s, agreed=agreed)
        if grant.is_fenced and pair <= (grant.incarnation, grant.fenced_term):
            silent_s = now - grant.acked_at
            return self._vote(request, pair, silent_s, agreed=True)
        known = (grant.incarnation, grant.term)
        silent_s = now - max(grant.acked_at, grant.older_acked_at)
        agreed = silent_s >= FENCE_AFTER_S and pair >= known
        if agreed:
            grant.advance(*pair)
            grant.fenced_term = request.term
        return self._vote(request, max(pair, known), silent_s, agreed=agreed)

    def forget(self, now: float, in_views: set[TargetKey]) -> None:
        """Drop targets that are in no view and were not seen for a day."""
        horizon = now - FORGET_AFTER_S
        expired = [
            key
            for key, grant in self._grants.items()
            if grant.seen_at < horizon and key not in in_views
        ]
        for key in expired:
            self._grants.pop(key)

    def __len__(self) -> int:
        """Return the number of targets with a grant."""
        return len(self._grants)

    def _grant(
        self, now: float, key: TargetKey, incarnation: int, term: int
    ) -> Grant:
        grant = self._grants.get(key)
        if grant is None:
            grant = Grant(incarnation, term)
            self._grants[key] = grant
        grant.seen_at = now
        return grant

    def _refuse(
        self, key: TargetKey, incarnation: int, term: int
    ) -> HeartbeatRefused:
        return HeartbeatRefused(*key, incarnation, term, self._name)

    def _vote(
        self,
        request: FenceRequest,
        pair: tuple[int, int],
        silent_s: float,
        *,
        agreed: bool,
    ) -> FenceVote:
        is_known = silent_s != float('inf')
        return FenceVote(
            request.service,
            request.target,
            *pair,
            self._name,
            agreed,
            silent_s if is_known else -1,
            request.sent_at,
        )
