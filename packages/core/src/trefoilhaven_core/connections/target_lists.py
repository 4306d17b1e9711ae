"""Comparison of the targets that two balancers know, in one direction.

A balancer sends hashes of the targets that it knows, and its peer returns the
targets that are missing. Targets that only the sender knows do not matter, so
that an answer is complete also while many targets join or restart.
"""

import random
from collections.abc import Iterable, Sequence
from functools import lru_cache
from typing import Final

import xxhash

from trefoilhaven_core.connections.messages import TargetsQuery, TargetsReply
from trefoilhaven_core.membership.gossip import (
    DATAGRAM_BYTES,
    ENVELOPE_BYTES,
    size_of,
)
from trefoilhaven_core.membership.messages import Member

# Bytes of a target's hash in a query. Two of 300 targets share a hash in one
# of 100,000 fleets.
HASH_BYTES: Final = 4

# Longer lists do not fit a datagram and are compared by their digest only.
MAX_LISTED_TARGETS: Final = 300

_DIGEST_MASK: Final = (1 << 64) - 1
_HASH_MASK: Final = (1 << 8 * HASH_BYTES) - 1


def make_query(
    sender: str,
    sent_at: float,
    members: Sequence[Member],
    departed: Sequence[Member] = (),
) -> TargetsQuery:
    """Return the query about targets that are not among ``members``.

    ``departed`` are known to have ended. The first of them are listed too, as
    many as fit, since a peer may not have heard of their end.
    """
    known = b''
    if len(members) <= MAX_LISTED_TARGETS:
        listed = [*members, *departed][:MAX_LISTED_TARGETS]
        known = b''.join(map(_short_hash, listed))
    return TargetsQuery(sender, sent_at, _digest(members), known)


def answer_query(
    sender: str,
    query: TargetsQuery,
    members: Sequence[Member],
    rng: random.Random,
    *,
    is_complete: bool,
) -> TargetsReply:
    """Return the members that the query does not list.

    The reply fits a datagram; if more are missing, it has some at random and
    is partial. It is partial too if the list is compared by its digest only
    and differs, or if ``members`` are not all targets (``is_complete``).
    """
    if query.digest == _digest(members):
        return TargetsReply(sender, query.sent_at, (), not is_complete)
    if query.digest and not query.known:
        return TargetsReply(sender, query.sent_at, (), is_partial=True)
    listed = {
        query.known[start : start + HASH_BYTES]
        for start in range(0, len(query.known), HASH_BYTES)
    }
    missing = [each for each in members if _short_hash(each) not in listed]
    sent = _take_fitting(rng.sample(missing, len(missing)))
    is_partial = len(sent) < len(missing) or not is_complete
    return TargetsReply(sender, query.sent_at, tuple(sent), is_partial)


def _take_fitting(members: Iterable[Member]) -> list[Member]:
    """Return the first members, as many as fit a datagram."""
    room = DATAGRAM_BYTES - 2 * ENVELOPE_BYTES
    taken = []
    for member in members:
        room -= size_of(member)
        if room < 0:
            break
        taken.append(member)
    return taken


def _digest(members: Iterable[Member]) -> int:
    return sum(map(_hash, members)) & _DIGEST_MASK


def _short_hash(member: Member) -> bytes:
    return (_hash(member) & _HASH_MASK).to_bytes(HASH_BYTES)


def _hash(member: Member) -> int:
    return _identity_hash(member.service, member.target, member.incarnation)


@lru_cache(maxsize=4096)
def _identity_hash(service: str, target: str, incarnation: int) -> int:
    identity = f'{service}\n{target}\n{incarnation}'
    return xxhash.xxh64_intdigest(identity.encode())
