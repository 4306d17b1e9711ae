"""Members and balancers as objects in the platform's object store.

Each process writes one object of its own, under the name of its host, so
that processes discover each other without a list in their settings. An
object does not show that its process is alive.
"""

from typing import Any, Final

import msgspec
from expression import Result

from trefoilhaven_core.membership.messages import BalancerRecord, Member
from trefoilhaven_core.wire.decoding import MalformedError, convert

TARGETS_PREFIX: Final = 'trefoilhaven-targets/'
BALANCERS_PREFIX: Final = 'trefoilhaven-balancers/'


class _StoredMember(msgspec.Struct):
    record: Member


class _StoredBalancer(msgspec.Struct):
    record: BalancerRecord


def member_content(member: Member) -> Any:
    """Return the content of a target's object."""
    return {'record': msgspec.to_builtins(member)}


def balancer_content(record: BalancerRecord) -> Any:
    """Return the content of a balancer's object."""
    return {'record': msgspec.to_builtins(record)}


def read_member(content: Any) -> Result[Member, MalformedError]:
    """Return the member in an object, or why it cannot be decoded."""
    read = convert(content, _StoredMember)
    return read.map(lambda stored: stored.record)


def read_balancer(content: Any) -> Result[BalancerRecord, MalformedError]:
    """Return the balancer in an object, or why it cannot be decoded."""
    read = convert(content, _StoredBalancer)
    return read.map(lambda stored: stored.record)
