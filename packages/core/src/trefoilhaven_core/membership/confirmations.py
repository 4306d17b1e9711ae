"""Confirmation that a balancer's records are as recent as those of its peers.

A balancer may learn of a target later than its peers: the target's agent does
not know a balancer that has just joined, and gossip takes up to seconds. A
conclusion from the absence of a record therefore needs a confirmation. The
balancer sends its digest to peers, and a peer with equal records confirms
them as of the time at which the digest was sent. Different records are
reconciled by the same exchange, and the next digest is confirmed.
"""

import math
import random
from collections.abc import Iterable
from typing import Final, NamedTuple

from trefoilhaven_core.membership.messages import (
    BalancerRecord,
    Digest,
    MemberState,
)

# Peers that have to confirm the records, if there are so many, and peers that
# are asked at once, since some of them may have ended.
CONFIRMING_PEERS: Final = 2
PROBED_PEERS: Final = 3

# Time between two rounds of digests, in seconds. Peers of the same failure
# domain answer within 1 ms.
CONFIRMATION_INTERVAL_S: Final = 0.05

# An unanswered digest counts as lost after this time, in seconds. Until then,
# an answer may belong to it.
CONFIRMATION_TIMEOUT_S: Final = 1.0


class Origin(NamedTuple):
    """Failure domain and incarnation of the balancer itself."""

    failure_domain: str
    incarnation: int


class MembershipConfirmation:
    """Tells whether peers have confirmed this balancer's records.

    Times are monotonic, in seconds.
    """

    def __init__(self, origin: Origin, rng: random.Random) -> None:
        """Start without peers, so that no confirmation is needed."""
        self._origin = origin
        self._rng = rng
        self._peers: tuple[str, ...] = ()
        self._due = -math.inf
        self._sent_at: dict[str, float] = {}
        self._confirmed_at: dict[str, float] = {}

    def set_peers(self, records: Iterable[BalancerRecord]) -> None:
        """Set the records of the other balancers.

        Peers that started before this balancer are preferred, as those that
        joined at the same time may lack the same targets; among them those
        of its failure domain, which place the connections of its clients.
        """
        live = [each for each in records if each.state < MemberState.dead]
        older = [
            each for each in live if each.incarnation < self._origin.incarnation
        ]
        pool = older if len(older) >= CONFIRMING_PEERS else live
        near = [
            each
            for each in pool
            if each.failure_domain == self._origin.failure_domain
        ]
        pool = near if len(near) >= CONFIRMING_PEERS else pool
        self._peers = tuple(each.name for each in pool)

    def is_confirmed(self, since: float) -> bool:
        """Return whether peers confirmed the records as of ``since`` or later.

        A balancer without peers needs no confirmation.
        """
        confirmed = sum(
            self._confirmed_at.get(peer, -math.inf) >= since
            for peer in self._peers
        )
        return confirmed >= min(CONFIRMING_PEERS, len(self._peers))

    def due_probes(self, now: float) -> list[str]:
        """Return the peers to send a digest to, none before the next round."""
        if now < self._due:
            return []
        self._due = now + CONFIRMATION_INTERVAL_S
        count = min(PROBED_PEERS, len(self._peers))
        return self._rng.sample(self._peers, count)

    def on_digest_sent(self, now: float, peer: str) -> None:
        """Record that any digest was sent to a peer.

        An answer counts for the earliest digest that it may belong to.
        """
        sent_at = self._sent_at.get(peer)
        if sent_at is None or now - sent_at >= CONFIRMATION_TIMEOUT_S:
            self._sent_at[peer] = now

    def on_digest(self, digest: Digest, own_root: int) -> None:
        """Process a peer's digest; ``own_root`` is that of all own records."""
        if not digest.is_reply:
            return
        sent_at = self._sent_at.pop(digest.sender, None)
        is_plain = not (digest.groups or digest.covered or digest.versions)
        if sent_at is not None and is_plain and digest.root == own_root:
            self._confirmed_at[digest.sender] = sent_at
