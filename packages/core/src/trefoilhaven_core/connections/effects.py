"""Effects returned by the decision code of connections."""

from enum import Enum
from typing import NamedTuple

from trefoilhaven_core.connections.messages import (
    ConnectionKey,
    KnownRoute,
    Question,
    ReturnReason,
    Segment,
    SegmentForward,
    SegmentReturn,
    TargetIdentity,
)
from trefoilhaven_core.connections.overload import Refusal
from trefoilhaven_core.connections.warm_up import RefusalCause
from trefoilhaven_core.membership.messages import Address, Member


class ResetCause(Enum):
    """Why a connection is reset at its client."""

    no_route = 'no route for the address'
    not_held = 'no target holds the connection'
    target_gone = 'the target has ended'
    evacuated = 'all failure domains with targets are evacuated'
    overloaded = 'the service is short of room'


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


class QueryMember(NamedTuple):
    """Query the agent of a member; queries to one agent are batched."""

    member: Member
    question: Question


class QueryPeer(NamedTuple):
    """Query another balancer; queries to one balancer are batched."""

    address: Address
    key: ConnectionKey


class DeliverToTarget(NamedTuple):
    """Deliver a client's segment to the agent's target."""

    raw: bytes


class SendToClient(NamedTuple):
    """Send a target's segment to its client."""

    key: ConnectionKey
    raw: bytes


class ResetClient(NamedTuple):
    """Reset a connection at its client.

    ``sequence`` is the last sequence number that the client acknowledged.
    """

    key: ConnectionKey
    sequence: int
    cause: ResetCause
    detail: str = ''


class Placed(NamedTuple):
    """Log that a target was selected for a new connection.

    ``busy_share`` is the busy share of its slots after this connection was
    counted, with the penalty of a target that has just started.
    ``report_age_s`` is the age of the report that it is based on. ``tried``
    names the targets at which the connection was tried before.
    ``expected_wait_s`` is how long its first request was expected to wait, and
    ``service_time_s`` the learned service time of the target, 0 if unknown;
    both in seconds.
    """

    key: ConnectionKey
    member: Member
    busy_share: float
    report_age_s: float
    tried: tuple[str, ...]
    expected_wait_s: float = 0
    service_time_s: float = 0


class OpeningRefused(NamedTuple):
    """Log and count an opening segment that an agent returns."""

    key: ConnectionKey
    cause: RefusalCause


class OverloadRefused(NamedTuple):
    """Log and count a new connection that an overloaded service refuses."""

    service: str
    refusal: Refusal


class HolderFound(NamedTuple):
    """Log that a search found the holder.

    ``segments`` counts the segments that were queued until then.
    """

    key: ConnectionKey
    member: Member
    searched_s: float
    segments: int


class UnknownTarget(NamedTuple):
    """Log that a peer routes a connection to a target unknown here."""

    route: KnownRoute
    peer: Address


class ConfirmMembership(NamedTuple):
    """Ask peers to confirm the list of targets as of a monotonic time."""

    since: float


class DropSegment(NamedTuple):
    """Log and count a dropped segment."""

    segment: Segment
    cause: DropCause
    detail: str = ''


Effect = (
    SendMessage
    | QueryMember
    | QueryPeer
    | DeliverToTarget
    | SendToClient
    | ResetClient
    | Placed
    | OpeningRefused
    | OverloadRefused
    | HolderFound
    | UnknownTarget
    | ConfirmMembership
    | DropSegment
)


def return_segment(
    balancer: Address,
    destination: TargetIdentity,
    reason: ReturnReason,
    segment: Segment,
) -> SendMessage:
    """Return the message that sends a segment back to its balancer."""
    message = SegmentReturn(*destination, reason, segment.raw)
    return SendMessage(balancer, message)


def probe_member(member: Member, segment: Segment) -> SendMessage:
    """Return the message that asks a member's target by a segment.

    A target refuses the segment unless it holds the connection.
    """
    forward = SegmentForward(
        member.service,
        member.target,
        member.incarnation,
        is_probe=True,
        raw=segment.raw,
    )
    return SendMessage(member.control, forward)
