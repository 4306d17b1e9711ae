"""Precedence and hashes of records, and the records of one service."""

from typing import Final, NamedTuple

import msgspec
import xxhash

from trefoilhaven_core.membership.messages import (
    BalancerRecord,
    Configuration,
    Member,
    MemberState,
    Registry,
)

# Number of groups of services and balancers whose digests two processes
# compare first. 64 group digests fit one datagram, and in a region a group
# holds about 12 services and 16 balancers.
GROUP_COUNT: Final = 64

MASK: Final = (1 << 64) - 1

# An odd factor spreads small version numbers over all bits of the digest.
_VERSION_FACTOR: Final = 0x9E3779B97F4A7C15
_encode: Final = msgspec.msgpack.Encoder().encode


class MergeResult(NamedTuple):
    """Records that a merge added or replaced, in their new form."""

    members: tuple[Member, ...]
    balancers: tuple[BalancerRecord, ...]

    def __bool__(self) -> bool:
        """Return whether anything changed."""
        return bool(self.members or self.balancers)


def group_of(name: str) -> int:
    """Return the number of the group that a service or balancer is in."""
    return xxhash.xxh64_intdigest(name.encode()) % GROUP_COUNT


def supersedes(
    record: Member | BalancerRecord, known: Member | BalancerRecord
) -> bool:
    """Return whether a record replaces a known one of the same name.

    Incarnation, sequence and state are compared in this order. If they are
    equal, all fields are compared, so that every process keeps the same one
    of two records.
    """
    version = (record.incarnation, record.sequence, record.state)
    known_version = (known.incarnation, known.sequence, known.state)
    if version == known_version:
        return record > known
    return version > known_version


def mark_left(member: Member) -> Member:
    """Return the record of a target that has ended."""
    return member._replace(state=MemberState.left, sequence=member.sequence + 1)


class ServiceRecords:
    """Records of one service and the running sum of their hashes."""

    __slots__ = (
        'configuration',
        'group',
        'hash_sum',
        'members',
        'registered',
        'registry',
    )

    def __init__(self, name: str) -> None:
        """Start without any record of the service called ``name``."""
        self.members: dict[str, Member] = {}
        self.registry = Registry(name, 0, ())
        self.registered: frozenset[str] = frozenset()
        self.configuration = Configuration(name, 0, b'')
        self.group = group_of(name)
        self.hash_sum = 0

    def is_in_digest(self, member: Member) -> bool:
        """Return whether the digest covers a member."""
        is_registered = member.target in self.registered
        return is_registered or member.state < MemberState.dead

    def digest_term(self, member: Member | None) -> int:
        """Return what a member adds to the digest, 0 if not covered."""
        if member is None or not self.is_in_digest(member):
            return 0
        return hash_record(member)

    @property
    def digest(self) -> int:
        """Digest of the members and of the registry's version."""
        return (self.hash_sum + self.registry.version * _VERSION_FACTOR) & MASK

    @property
    def versions_hash(self) -> int:
        """Hash of all versions of the service, 0 if nothing is known."""
        registry, configuration = self.registry, self.configuration
        if not (self.digest or configuration.version):
            return 0
        return hash_record(
            (
                registry.service,
                self.digest,
                registry.version,
                configuration.version,
            )
        )


def balancer_digest_term(record: BalancerRecord | None) -> int:
    """Return what a balancer adds to the digest of its group.

    A balancer that is dead or left adds 0.
    """
    if record is None or record.state >= MemberState.dead:
        return 0
    return hash_record(record)


def hash_record(record: object) -> int:
    """Return the XXH64 hash of a record's msgpack encoding."""
    return xxhash.xxh64_intdigest(_encode(record))
