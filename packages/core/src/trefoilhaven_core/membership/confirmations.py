"""Confirmation by peers that a balancer knows every target that they know.

A balancer may learn of a target later than its peers: the target's agent does
not know a balancer that has just joined, and gossip takes up to seconds. A
conclusion from the absence of a record therefore needs the consent of every
peer that may know better. The balancer sends its list of targets to the peers
of its failure domain, which place the connections of its clients, and each
returns the targets that the list lacks. Once these are merged, the list is as
recent as the peer's was when it answered.
"""

import math
from collections.abc import Iterable
from typing import Final, NamedTuple

from trefoilhaven_core.membership.messages import BalancerRecord, MemberState

# Time between two rounds of queries, in seconds. Peers of the same failure
# domain answer within 1 ms.
CONFIRMATION_INTERVAL_S: Final = 0.05

# A peer that leaves this number of queries unanswered counts as gone. Queries
# are counted, and not time, as a balancer that was paused has asked none.
MAX_UNANSWERED_QUERIES: Final = 20

# Unanswered queries are forgotten if none was sent for this time, in seconds:
# the peer may have returned.
UNANSWERED_TTL_S: Final = 1.0

# Peers of other failure domains that are asked if all peers of the own one
# started later than this balancer.
MAX_FAR_PEERS: Final = 2


class Origin(NamedTuple):
    """Failure domain and incarnation of the balancer itself."""

    failure_domain: str
    incarnation: int


class _Unanswered(NamedTuple):
    queries: int
    sent_at: float


class MembershipConfirmation:
    """Tells as of which time the peers have confirmed the list of targets.

    Times are monotonic, in seconds.
    """

    def __init__(self, origin: Origin) -> None:
        """Start without peers, so that no confirmation is needed."""
        self._origin = origin
        self._peers: tuple[str, ...] = ()
        self._is_alone = True
        self._due = -math.inf
        self._wanted_since = -math.inf
        self._unanswered: dict[str, _Unanswered] = {}
        self._confirmed_at: dict[str, float] = {}

    def set_peers(self, records: Iterable[BalancerRecord]) -> None:
        """Set the records of the other balancers.

        All live peers of the failure domain are asked. Peers that joined at
        the same time as this balancer may lack the same targets; if no peer
        of the domain started earlier, some of the other domains are asked
        too.
        """
        known = [each for each in records if each.state < MemberState.left]
        live = [each for each in known if each.state < MemberState.dead]
        domain = self._origin.failure_domain
        near = [each for each in live if each.failure_domain == domain]
        chosen = near
        if not any(map(self._is_older, near)):
            far = [each for each in live if each.failure_domain != domain]
            older = sorted(filter(self._is_older, far))
            chosen = [*near, *older[:MAX_FAR_PEERS]] or far
        self._is_alone = not known
        self._peers = tuple(each.name for each in chosen)

    def confirmed_as_of(self, now: float, *, is_connected: bool) -> float:
        """Return the time as of which all peers have confirmed the list.

        Peers that do not answer any more are left out. If no peer is left,
        this balancer may be the one that was cut off: its list counts only
        if it ``is_connected``, which means that most agents have reported to
        it all the time lately. A balancer that has never had peers needs no
        confirmation.
        """
        if self._is_alone:
            return now
        times = [
            self._confirmed_at.get(peer, -math.inf)
            for peer in self._peers
            if not self._is_gone(now, peer)
        ]
        if times:
            return min(times)
        return now if is_connected else -math.inf

    def due_queries(self, now: float, since: float) -> list[str]:
        """Return the peers that have to confirm the list as of ``since``.

        The result is empty before the next round is due.
        """
        self._wanted_since = max(self._wanted_since, since)
        if now < self._due:
            return []
        due = self.unconfirmed_peers(self._wanted_since)
        if due:
            self._due = now + CONFIRMATION_INTERVAL_S
        for peer in due:
            queries = self._unanswered_queries(now, peer)
            self._unanswered[peer] = _Unanswered(queries + 1, now)
        return due

    def unconfirmed_peers(self, since: float) -> list[str]:
        """Return the peers that have not confirmed the list as of a time."""
        return [
            peer
            for peer in self._peers
            if self._confirmed_at.get(peer, -math.inf) < since
        ]

    def on_reply(self, peer: str, sent_at: float, *, is_partial: bool) -> None:
        """Process a peer's reply to the query that was sent at ``sent_at``.

        A partial reply shows only that the peer is alive. Replies that no
        query is outstanding for are ignored.
        """
        if self._unanswered.pop(peer, None) is None or is_partial:
            return
        known = self._confirmed_at.get(peer, -math.inf)
        self._confirmed_at[peer] = max(known, sent_at)

    def _is_older(self, record: BalancerRecord) -> bool:
        return record.incarnation < self._origin.incarnation

    def _is_gone(self, now: float, peer: str) -> bool:
        return self._unanswered_queries(now, peer) >= MAX_UNANSWERED_QUERIES

    def _unanswered_queries(self, now: float, peer: str) -> int:
        unanswered = self._unanswered.get(peer)
        if unanswered is None or now - unanswered.sent_at > UNANSWERED_TTL_S:
            return 0
        return unanswered.queries
