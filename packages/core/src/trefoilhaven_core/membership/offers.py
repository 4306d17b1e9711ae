"""Offers of the state to balancers that have restarted.

A balancer that restarts may know nobody: its seeds have restarted too, and
the store is down. It can't ask the processes that know the state, but they
know its address. Each of them decides with an ``OfferSchedule`` when to offer
the state. Offers repeat until the peer shows that its list of targets is
complete.
"""

import random
from collections import deque
from collections.abc import Iterable
from typing import Final, NamedTuple

import xxhash

from trefoilhaven_core.membership.messages import (
    BalancerRecord,
    Digest,
    MemberState,
)

# Delay of a first offer in seconds, drawn at random, so that the offers of
# several processes do not arrive together.
OFFER_JITTER_S: Final = 0.2

# Offers that one balancer sends within any second, to all peers together.
MAX_OFFERS_PER_S: Final = 5
_RATE_WINDOW_S: Final = 1.0

# This number of balancers offers at once. The next ones in the order of ranks
# follow after the delay, in seconds, in groups of the same size.
FIRST_OFFERERS: Final = 3
GROUP_DELAY_S: Final = 0.3

# Interval of the first repetition and the longest one, in seconds. The
# interval doubles with each offer.
REPEAT_S: Final = 0.5
MAX_REPEAT_S: Final = 4.0

# Interval of the first repetition to a peer that is silent and the longest
# one, in seconds: a lost host answers nothing.
SILENT_REPEAT_S: Final = 1.0
MAX_SILENT_REPEAT_S: Final = 8.0

# Offers after one restart. A balancer that needs more does not process them.
MAX_OFFERS: Final = 12

# A balancer raises its sequence number by this when its list of targets is
# complete, so that all peers learn of it by gossip. Refutations raise the
# number by 1 each and can't reach it.
COMPLETE_SEQUENCE_STEP: Final = 1 << 32

# A balancer that knows nobody has a digest of its own record only.
MAX_EMPTY_GROUPS: Final = 1


# Incarnation and sequence number of a record.
_Version = tuple[int, int]
_UNKNOWN: Final = (0, 0)


class _Pending(NamedTuple):
    """A peer that needs offers; ``due`` is a monotonic time in seconds.

    ``version`` is that of its record when the need was seen.
    """

    due: float
    is_silent: bool
    version: _Version
    sent: int = 0
    is_ranked: bool = False


def is_empty(digest: Digest) -> bool:
    """Return whether a digest shows that its sender knows nobody."""
    known = sum(1 for group in digest.groups if group)
    return bool(digest.groups) and known <= MAX_EMPTY_GROUPS


def offer_rank(
    name: str, restarted: str, balancers: Iterable[BalancerRecord]
) -> int:
    """Return how many of the balancers offer to a restarted one earlier.

    The order is that of a hash of both names, so that the offers to several
    restarted balancers are shared among all others.
    """
    own = _rank_key(name, restarted)
    return sum(
        _rank_key(record.name, restarted) < own
        for record in balancers
        if record.name != restarted
    )


class OfferSchedule:
    """Decides which peers one balancer offers the state to, and when.

    Times are monotonic, in seconds.
    """

    def __init__(self, name: str, rng: random.Random) -> None:
        """Start without peers; ``name`` is that of the balancer itself."""
        self._name = name
        self._rng = rng
        self._versions: dict[str, _Version] = {}
        self._pending: dict[str, _Pending] = {}
        self._sent_at: deque[float] = deque(maxlen=MAX_OFFERS_PER_S)

    @property
    def pending(self) -> frozenset[str]:
        """Names of the peers that have not shown that they are complete."""
        return frozenset(self._pending)

    def observe(self, now: float, balancers: Iterable[BalancerRecord]) -> None:
        """Compare the records of the peers with those seen before.

        A higher incarnation shows a restart, and a sequence number above
        ``COMPLETE_SEQUENCE_STEP`` that the peer's list of targets is complete
        since. A peer that is suspect or dead may have restarted, or may be
        lost.
        """
        known: dict[str, _Version] = {}
        for record in balancers:
            if record.name == self._name:
                continue
            version = (record.incarnation, record.sequence)
            known[record.name] = version
            self._observe(now, record, version)
        self._versions = known
        for name in self._pending.keys() - known.keys():
            del self._pending[name]

    def on_digest(self, now: float, digest: Digest) -> None:
        """Process a digest of a peer, which may show that it is empty."""
        if is_empty(digest):
            self.on_restarted(now, digest.sender)

    def on_restarted(self, now: float, peer: str) -> None:
        """Record a sign that a peer has restarted or knows nobody."""
        known = self._pending.get(peer)
        if known is None or known.is_silent:
            due = now + self._rng.uniform(0, OFFER_JITTER_S)
            version = self._versions.get(peer, _UNKNOWN)
            self._pending[peer] = _Pending(due, False, version)

    def on_complete(self, now: float, peer: str) -> None:
        """Record that a peer knows a complete list of targets.

        Its record may still say for a while that it is silent.
        """
        known = self._pending.pop(peer, None)
        if known is not None and known.is_silent:
            due = now + MAX_SILENT_REPEAT_S
            self._pending[peer] = known._replace(due=due, sent=MAX_OFFERS)

    def due(self, now: float, balancers: Iterable[BalancerRecord]) -> list[str]:
        """Return the peers to send an offer to now.

        ``balancers`` are the known ones. Those that are silent or need offers
        themselves do not count for the ranks.
        """
        waiting = sorted(
            (
                (pending.is_silent, pending.due, peer)
                for peer, pending in self._pending.items()
                if pending.due <= now
            )
        )
        if not waiting:
            return []
        offerers = [
            record
            for record in balancers
            if record.state < MemberState.suspect
            and record.name not in self._pending
        ]
        chosen = []
        for _, _, peer in waiting:
            if self._is_deferred(now, peer, offerers):
                continue
            if not self._may_send(now):
                break
            self._sent_at.append(now)
            self._on_sent(now, peer)
            chosen.append(peer)
        return chosen

    def _observe(
        self, now: float, record: BalancerRecord, version: _Version
    ) -> None:
        name = record.name
        before = self._versions.get(name, version)
        is_complete = record.sequence > COMPLETE_SEQUENCE_STEP
        is_restart = before[0] < record.incarnation and not is_complete
        self._versions[name] = version
        if record.state is MemberState.left:
            self._pending.pop(name, None)
        elif is_restart:
            self.on_restarted(now, name)
        elif record.state >= MemberState.suspect:
            self._on_silent(now, name)
        elif is_complete:
            self._on_announced(name, version)
        else:
            self._on_heard(name)

    def _on_announced(self, peer: str, version: _Version) -> None:
        """End the offers if the record is later than their cause."""
        known = self._pending.get(peer)
        if known is not None and (known.is_silent or known.version < version):
            del self._pending[peer]

    def _on_silent(self, now: float, peer: str) -> None:
        if peer not in self._pending:
            due = now + self._rng.uniform(0, OFFER_JITTER_S)
            version = self._versions.get(peer, _UNKNOWN)
            self._pending[peer] = _Pending(due, True, version)

    def _on_heard(self, peer: str) -> None:
        known = self._pending.get(peer)
        if known is not None and known.is_silent:
            del self._pending[peer]

    def _is_deferred(
        self, now: float, peer: str, offerers: list[BalancerRecord]
    ) -> bool:
        """Defer a first offer by the rank of this balancer."""
        pending = self._pending[peer]
        if pending.is_ranked:
            return False
        group = offer_rank(self._name, peer, offerers) // FIRST_OFFERERS
        due = pending.due + group * GROUP_DELAY_S
        self._pending[peer] = pending._replace(due=due, is_ranked=True)
        return due > now

    def _may_send(self, now: float) -> bool:
        is_full = len(self._sent_at) == MAX_OFFERS_PER_S
        return not is_full or now - self._sent_at[0] >= _RATE_WINDOW_S

    def _on_sent(self, now: float, peer: str) -> None:
        pending = self._pending[peer]
        first_s, limit_s = REPEAT_S, MAX_REPEAT_S
        if pending.is_silent:
            first_s, limit_s = SILENT_REPEAT_S, MAX_SILENT_REPEAT_S
        elif pending.sent + 1 >= MAX_OFFERS:
            del self._pending[peer]
            return
        interval_s = min(first_s * 2**pending.sent, limit_s)
        # The count is bounded, since the exponent grows with it.
        sent = min(pending.sent + 1, MAX_OFFERS)
        self._pending[peer] = pending._replace(due=now + interval_s, sent=sent)


def _rank_key(name: str, restarted: str) -> tuple[int, str]:
    key = f'offer\n{restarted}\n{name}'.encode()
    return xxhash.xxh64_intdigest(key), name
