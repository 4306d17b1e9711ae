"""Segments of connections, and messages between processes about them."""

from abc import ABC, abstractmethod
from enum import IntEnum
from typing import Final, NamedTuple

from trefoilhaven_core.membership.messages import Member

# Sequence numbers have 32 bits.
SEQUENCE_SPACE = 1 << 32


class SegmentFlag:
    """Flags of a segment; ``refused`` is set by a target that refuses it.

    They are plain integers, since operations on an ``IntFlag`` took a sixth
    of an agent's processor time.
    """

    none: Final = 0
    opening: Final = 1
    acknowledges: Final = 2
    last: Final = 4
    reset: Final = 8
    refused: Final = 16


class ConnectionKey(NamedTuple):
    """Both ends of a connection; hosts are IPv4 addresses as integers."""

    client_host: int
    client_port: int
    service_host: int
    service_port: int


class Segment(NamedTuple):
    """One datagram of a connection, decoded once.

    ``key`` is the same in both directions. ``flags`` are a combination of
    ``SegmentFlag``. ``acknowledged`` counts the retransmissions in a
    client's opening segment, and ``length`` the bytes of data. ``raw`` is
    the datagram; processes forward it unchanged, apart from the marks that
    the codec clears.
    """

    key: ConnectionKey
    flags: int
    sequence: int
    acknowledged: int
    length: int
    raw: bytes

    @property
    def is_opening(self) -> bool:
        """Whether a client opens a connection with this segment."""
        return self.flags & _HANDSHAKE == SegmentFlag.opening

    @property
    def is_accepting(self) -> bool:
        """Whether a target accepts a connection with this segment."""
        return self.flags & _HANDSHAKE == _HANDSHAKE


_HANDSHAKE: Final = SegmentFlag.opening | SegmentFlag.acknowledges


class SegmentCodec(ABC):
    """Codec of segments in the format of the operator's network."""

    @abstractmethod
    def decode_from_client(self, raw: bytes) -> Segment | None:
        """Return a client's segment, None if it is malformed."""

    @abstractmethod
    def decode_from_target(self, raw: bytes) -> Segment | None:
        """Return a target's segment, or a client's segment that it refused.

        The result is None if it is malformed.
        """

    @abstractmethod
    def encode_reset(self, key: ConnectionKey, sequence: int) -> bytes:
        """Return a datagram that resets a connection at its client."""


class Verdict(IntEnum):
    """Answer of an agent about a connection."""

    held = 1
    absent = 2
    # The agent started after its target and can't tell without probing it.
    unsure = 3


class ReturnReason(IntEnum):
    """Why an agent returns a segment to a balancer."""

    # The target takes no new connections, or refused this one.
    not_accepted = 1
    # The target does not hold the connection of the segment.
    not_held = 2
    # The segment is for another target or an earlier incarnation of it.
    other_target = 3


class ConnectionLoad(NamedTuple):
    """Load of a target, measured by its agent from the segments it passes.

    ``waiting`` counts the connections with a request that has no response
    yet; ``service_time_s`` is the expected time that the target works on one
    request, without waiting, 0 if unknown. ``odd_share`` is the share of the
    latest responses that look like failures.
    """

    connections: int = 0
    waiting: int = 0
    service_time_s: float = 0
    odd_share: float = 0


class TargetIdentity(NamedTuple):
    """One incarnation of a target."""

    service: str
    target: str
    incarnation: int


class SegmentForward(NamedTuple):
    """A client's segment, sent by a balancer to an agent.

    ``service``, ``target`` and ``incarnation`` identify its destination.
    ``is_probe`` marks a segment by which the balancer finds out whether an
    unsure target holds the connection. Agents do not read it: they probe
    with any segment of an unknown connection that their target may hold.
    """

    service: str
    target: str
    incarnation: int
    is_probe: bool
    raw: bytes

    @property
    def destination(self) -> TargetIdentity:
        """The target to which the segment is to be delivered."""
        return TargetIdentity(self.service, self.target, self.incarnation)


class SegmentReturn(NamedTuple):
    """A segment that an agent could not deliver."""

    service: str
    target: str
    incarnation: int
    reason: ReturnReason
    raw: bytes


class Question(NamedTuple):
    """A connection whose holder is searched for.

    ``acknowledged`` comes from a segment of the client. It shows which
    target the client chose if several accepted the connection.
    """

    key: ConnectionKey
    acknowledged: int


class HolderQuery(NamedTuple):
    """Asks an agent whether its target holds some connections."""

    service: str
    target: str
    questions: tuple[Question, ...]


class Answer(NamedTuple):
    """An agent's verdict about one connection."""

    key: ConnectionKey
    verdict: Verdict


class HolderReply(NamedTuple):
    """An agent's answers to a query or a probe.

    ``incarnation`` is the probed one; it is 0 in an answer to a query.
    """

    service: str
    target: str
    incarnation: int
    answers: tuple[Answer, ...]


class RouteQuery(NamedTuple):
    """Asks another balancer for its routes of some connections."""

    keys: tuple[ConnectionKey, ...]


class KnownRoute(NamedTuple):
    """The target to which a balancer routes an accepted connection."""

    key: ConnectionKey
    service: str
    target: str
    incarnation: int


class RouteReply(NamedTuple):
    """A balancer's answer; ``unknown`` are connections it has no route for."""

    routes: tuple[KnownRoute, ...]
    unknown: tuple[ConnectionKey, ...]


class TargetsQuery(NamedTuple):
    """Asks another balancer for targets that the sender does not know.

    ``sent_at`` is a time of the sender's monotonic clock in seconds, which
    the reply returns. ``digest`` covers the targets that the sender knows,
    and ``known`` holds a hash of each, or nothing if they are too many.
    """

    sender: str
    sent_at: float
    digest: int
    known: bytes


class TargetsReply(NamedTuple):
    """Targets that a query did not list; a partial reply may lack some."""

    sender: str
    sent_at: float
    members: tuple[Member, ...]
    is_partial: bool


class ConnectionAccepted(NamedTuple):
    """Tells the balancer that a target accepted a connection."""

    service: str
    target: str
    incarnation: int
    key: ConnectionKey
    load: ConnectionLoad


class TargetReport(NamedTuple):
    """An agent's periodic report about its target to a balancer.

    ``is_cold`` means that the target has started recently and is still slow,
    and ``is_silent`` that it does not respond at the moment.
    """

    member: Member
    load: ConnectionLoad
    is_cold: bool
    is_silent: bool


class BalancerHello(NamedTuple):
    """A balancer's periodic hello to an agent.

    The next one is sent after ``interval_s`` seconds.
    """

    name: str
    failure_domain: str
    incarnation: int
    interval_s: float


def is_in_sequence_window(number: int, start: int, span: int) -> bool:
    """Return whether a sequence number is at most ``span`` past a start."""
    return (number - start) % SEQUENCE_SPACE <= span
