"""Tests of objects that another writer may have written."""

from typing import Any

import pytest
from trefoilhaven_core.membership.messages import (
    Address,
    BalancerRecord,
    Changes,
    Member,
    MemberState,
)
from trefoilhaven_core.membership.objects import (
    balancer_content,
    member_content,
    read_balancer,
    read_member,
)
from trefoilhaven_core.wire.codec import make_codec

CONTROL = Address('10.0.0.1', 7000)
MEMBER = Member(
    'certify',
    't1',
    'host-1',
    'a',
    1,
    1,
    MemberState.alive,
    CONTROL,
    CONTROL,
    CONTROL,
    2,
)
BALANCER = BalancerRecord('b1', 'a', 1, 1, MemberState.alive, CONTROL, CONTROL)

# Addresses to which a socket can't send. Sending to them raises errors other
# than OSError, or looks the name up and blocks the process meanwhile.
UNUSABLE_ADDRESSES = [
    Address('10.0.0.1', 70_000),
    Address('10.0.0.1', -1),
    Address('host.example', 7000),
    Address('x' * 70, 7000),
    Address('10.0.0.256', 7000),
    Address('10.0.0.1\n', 7000),
    Address('', 7000),
]

# Versions that can't be encoded, or not after an increment.
UNUSABLE_VERSIONS = [-1, 2**63, 2**64 - 1, 2**64]


def unusable_members() -> list[Member]:
    """Return records that a process can't use."""
    return [
        *(
            MEMBER._replace(incarnation=version)
            for version in UNUSABLE_VERSIONS
        ),
        *(MEMBER._replace(sequence=version) for version in UNUSABLE_VERSIONS),
        *(MEMBER._replace(control=address) for address in UNUSABLE_ADDRESSES),
        MEMBER._replace(slots=-1),
        MEMBER._replace(slots=2**40),
    ]


def unusable_balancers() -> list[BalancerRecord]:
    """Return records that a process can't use."""
    return [
        *(
            BALANCER._replace(incarnation=version)
            for version in UNUSABLE_VERSIONS
        ),
        *(BALANCER._replace(sequence=version) for version in UNUSABLE_VERSIONS),
        *(BALANCER._replace(control=address) for address in UNUSABLE_ADDRESSES),
    ]


class TestObjects:
    """Records in the store."""

    def test_round_trip(self) -> None:
        """Guards against valid records that are taken for malformed."""
        assert read_member(member_content(MEMBER)).ok == MEMBER
        assert read_balancer(balancer_content(BALANCER)).ok == BALANCER

    @pytest.mark.parametrize('member', unusable_members())
    def test_unusable_member(self, member: Member) -> None:
        """Guards against an object that ends every gateway that lists it.

        A restarted gateway listed the object again and ended again.
        """
        assert read_member(member_content(member)).is_error()

    @pytest.mark.parametrize('record', unusable_balancers())
    def test_unusable_balancer(self, record: BalancerRecord) -> None:
        """Guards against an object that ends every process that lists it."""
        assert read_balancer(balancer_content(record)).is_error()

    @pytest.mark.parametrize(
        'content', [None, 3, [], {}, {'record': None}, {'record': [1] * 11}]
    )
    def test_other_shape(self, content: Any) -> None:
        """Guards against an error that ends the process."""
        assert read_member(content).is_error()
        assert read_balancer(content).is_error()


class TestMessages:
    """Records in datagrams of peers."""

    @pytest.mark.parametrize(
        'member',
        [
            each
            for each in unusable_members()
            if each.sequence != 2**64 and each.incarnation != 2**64
        ],
    )
    def test_unusable_member(self, member: Member) -> None:
        """Guards against gossip that ends one gateway after the other."""
        codec = make_codec()
        raw = codec.encode(Changes('b2', (member,), ()))
        assert codec.decode(raw).is_error()
