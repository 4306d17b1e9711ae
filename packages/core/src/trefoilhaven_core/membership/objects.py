"""Members and balancers as objects of the platform's store.

Each process writes one object of its own, under the name of its host, so
that processes find each other without any list in their settings. The
objects are not a sign of life.
"""

from typing import Any, Final

import msgspec
from expression import Error, Ok, Result

from trefoilhaven_core.membership.messages import BalancerRecord, Member

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


def read_member(content: Any) -> Result[Member, str]:
    """Return the member of an object, or why it can't be read."""
    try:
        return Ok(msgspec.convert(content, _StoredMember).record)
    except msgspec.MsgspecError as exc:
        return Error(str(exc))


def read_balancer(content: Any) -> Result[BalancerRecord, str]:
    """Return the balancer of an object, or why it can't be read."""
    try:
        return Ok(msgspec.convert(content, _StoredBalancer).record)
    except msgspec.MsgspecError as exc:
        return Error(str(exc))
