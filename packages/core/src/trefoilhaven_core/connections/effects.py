"""Effects that the decision code of connections returns."""

from enum import Enum
from typing import NamedTuple

from trefoilhaven_core.connections.messages import (
    ConnectionKey,
    Question,
    ReturnReason,
    Segment,
    SegmentReturn,
    TargetIdentity,
)
from trefoilhaven_core.membership.messages import Address, Member


class ResetCause(Enum):
    """Why the system ends a connection."""

    no_route = 'no route for the address'
    not_held = 'no target holds the connection'
    target_gone = 'the target has ended'


class DropCause(Enum):
    """Why a segment is dropped."""

    no_route = 'no route for the address'
    no_target = 'no target takes new connections'
    not_found = 'the holder was not found in time'
    queue_full = 'too many segments wait for the holder'
    other_service = 'segment of another service'
    malformed = 'malformed segment'


class SendMessage(NamedTuple):
    """Send a message to another process."""

    address: Address
    message: NamedTuple


class AskMember(NamedTuple):
    """Ask the agent of a member; questions to one agent travel together."""

    member: Member
    question: Question


class AskPeer(NamedTuple):
    """Ask another balancer; questions to one balancer travel together."""

    address: Address
    key: ConnectionKey


class DeliverToTarget(NamedTuple):
    """Hand a client's segment to the target beside the agent."""

    raw: bytes


class SendToClient(NamedTuple):
    """Send a target's segment to its client."""

    key: ConnectionKey
    raw: bytes


class ResetClient(NamedTuple):
    """Reset a connection at its client.

    ``sequence`` is the last number that the client acknowledged.
    """

    key: ConnectionKey
    sequence: int
    cause: ResetCause
    detail: str = ''


class Placed(NamedTuple):
    """A target was chosen for a new connection, for the log.

    ``busy_share`` is that of its slots and ``report_age_s`` the age of the
    report behind it, in seconds. ``tried`` names the targets before it.
    """

    key: ConnectionKey
    member: Member
    busy_share: float
    report_age_s: float
    tried: tuple[str, ...]


class HolderFound(NamedTuple):
    """A search ended after some seconds, for the log."""

    key: ConnectionKey
    member: Member
    searched_s: float
    segments: int


class DropSegment(NamedTuple):
    """A segment was dropped."""

    segment: Segment
    cause: DropCause
    detail: str = ''


Effect = (
    SendMessage
    | AskMember
    | AskPeer
    | DeliverToTarget
    | SendToClient
    | ResetClient
    | Placed
    | HolderFound
    | DropSegment
)


def return_segment(
    balancer: Address,
    asked: TargetIdentity,
    reason: ReturnReason,
    segment: Segment,
) -> SendMessage:
    """Hand a segment back to the balancer that sent it on."""
    message = SegmentReturn(*asked, reason, segment.raw)
    return SendMessage(balancer, message)
