"""Targets that balancers prefer for a connection, by its key.

All balancers that know the same targets prefer the same few of them for a
connection. Among targets of equal cost a preferred one is selected, so that a
balancer which searches for the holder finds it there with few queries.
"""

from collections.abc import Iterable, Sequence
from typing import Final

import xxhash

from trefoilhaven_core.connections.messages import ConnectionKey
from trefoilhaven_core.membership.messages import Member

# Targets that are preferred for one connection. With fewer, they are often
# all busier than others; with more, a search gains less.
PREFERRED_TARGETS: Final = 4

# Fewer targets than this are all queried at once, which costs little.
MIN_TARGETS: Final = 3 * PREFERRED_TARGETS

_MASK: Final = (1 << 64) - 1
_MULTIPLIER: Final = 0x9E3779B97F4A7C15


def hash_name(name: str) -> int:
    """Return the hash of a target's name, which can be kept."""
    return xxhash.xxh64_intdigest(name.encode())


def hash_key(key: ConnectionKey) -> int:
    """Return the hash of a connection."""
    client = key.client_host << 16 | key.client_port
    service = key.service_host << 16 | key.service_port
    return (client * _MULTIPLIER ^ service * 3) & _MASK


def rank(key_hash: int, name_hash: int) -> int:
    """Return the rank of a target for a connection; higher is preferred.

    It depends on no other target, so that a target that joins or leaves
    changes the preferred ones of few connections.
    """
    mixed = ((key_hash ^ name_hash) * _MULTIPLIER) & _MASK
    return ((mixed ^ mixed >> 29) * _MULTIPLIER) & _MASK


def preferred_positions(
    key: ConnectionKey, name_hashes: Sequence[int]
) -> list[int]:
    """Return the positions of the preferred ones of some targets.

    ``name_hashes`` are hashes of the targets' names. There are at most
    ``PREFERRED_TARGETS`` positions.
    """
    key_hash = hash_key(key)
    ranks = [rank(key_hash, name_hash) for name_hash in name_hashes]
    positions = sorted(range(len(ranks)), key=ranks.__getitem__, reverse=True)
    return positions[:PREFERRED_TARGETS]


def likely_holders(
    key: ConnectionKey, members: Iterable[Member], failure_domain: str
) -> list[Member]:
    """Return the members that most likely hold a connection of a balancer.

    For each service with ``MIN_TARGETS`` targets or more, these are the
    preferred ones in the balancer's failure domain; of smaller services, all.
    """
    by_service: dict[str, list[Member]] = {}
    for member in members:
        by_service.setdefault(member.service, []).append(member)
    likely: list[Member] = []
    for known in by_service.values():
        if len(known) < MIN_TARGETS:
            likely += known
            continue
        near = [each for each in known if each.failure_domain == failure_domain]
        hashes = [hash_name(each.target) for each in near]
        likely += [near[each] for each in preferred_positions(key, hashes)]
    return likely
