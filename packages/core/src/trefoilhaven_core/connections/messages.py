"""Segments of connections and the messages of processes about them."""

from abc import ABC, abstractmethod
from enum import IntEnum
from typing import Final, NamedTuple

from trefoilhaven_core.membership.messages import Member

# Sequence numbers have 32 bits.
SEQUENCE_SPACE = 1 << 32


class SegmentFlag:
    """Flags of a segment; ``bounced`` is set by a target that refuses it.

    They are plain numbers, since operations on an ``IntFlag`` took a sixth
    of an agent's time.
    """

    none: Final = 0
    opening: Final = 1
    acknowledges: Final = 2
    last: Final = 4
    reset: Final = 8
    refused: Final = 16


class ConnectionKey(NamedTuple):
    """Both ends of a connection; hosts are IPv4 addresses as numbers."""

    client_host: int
    client_port: int
    service_host: int
    service_port: int


class Segment(NamedTuple):
    """One datagram of a connection, decoded once.

    ``key`` names the ends whatever the direction. ``copy`` counts the
    repetitions of an opening segment, and ``length`` the bytes of data.
    ``flags`` are those of ``SegmentFlag``. ``raw`` is the datagram, which no process may change but for the marks
    that the codec clears.
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
    """Encoding of segments on the operator's network."""

    @abstractmethod
    def decode_from_client(self, raw: bytes) -> Segment | None:
        """Return a client's segment, None when it is malformed."""

    @abstractmethod
    def decode_from_target(self, raw: bytes) -> Segment | None:
        """Return a target's segment, or a client's that it refused."""

    @abstractmethod
    def encode_reset(self, key: ConnectionKey, sequence: int) -> bytes:
        """Return a reset of the system for the client of a connection."""


class Verdict(IntEnum):
    """Answer of an agent about a connection."""

    held = 1
    absent = 2
    # The agent started after its target and can't know without asking it.
    unsure = 3


class ReturnReason(IntEnum):
    """Why an agent hands a segment back to a balancer."""

    # The target takes no new connections, or refused this one.
    not_accepted = 1
    # The target does not hold the connection of the segment.
    not_held = 2
    # The segment is for another target or an earlier incarnation of it.
    other_target = 3


class ConnectionLoad(NamedTuple):
    """Load of a target as its agent counts it from passing segments.

    ``waiting`` counts the connections with a request that has no answer
    yet; ``service_time_s`` is the mean time until the answer begins, and
    ``odd_share`` the share of the latest answers that look like failures.
    """

    connections: int = 0
    waiting: int = 0
    service_time_s: float = 0
    odd_share: float = 0


class TargetIdentity(NamedTuple):
    """The target that an agent stands for."""

    service: str
    target: str
    incarnation: int


class SegmentForward(NamedTuple):
    """A client's segment on its way from a balancer to an agent.

    ``target`` and ``incarnation`` name the target that it is meant for.
    With ``is_probe`` the agent asks its target when it does not know the
    connection.
    """

    service: str
    target: str
    incarnation: int
    is_probe: bool
    raw: bytes

    @property
    def destination(self) -> TargetIdentity:
        """The target that the segment is meant for."""
        return TargetIdentity(self.service, self.target, self.incarnation)


class SegmentReturn(NamedTuple):
    """A segment that an agent could not deliver."""

    service: str
    target: str
    incarnation: int
    reason: ReturnReason
    raw: bytes


class Question(NamedTuple):
    """A connection whose holder is looked for.

    ``acknowledged`` is that of the client's latest segment and tells which
    of several targets that accepted the connection the client chose.
    """

    key: ConnectionKey
    acknowledged: int


class HolderQuery(NamedTuple):
    """Asks an agent whether its target holds some connections."""

    service: str
    target: str
    questions: tuple[Question, ...]


class Answer(NamedTuple):
    """What an agent says about one connection."""

    key: ConnectionKey
    verdict: Verdict


class HolderReply(NamedTuple):
    """An agent's answers to a query or a probe."""

    service: str
    target: str
    incarnation: int
    answers: tuple[Answer, ...]


class RouteQuery(NamedTuple):
    """Asks another balancer where it sent some connections."""

    keys: tuple[ConnectionKey, ...]


class KnownRoute(NamedTuple):
    """The target to which a balancer has sent an accepted connection."""

    key: ConnectionKey
    service: str
    target: str
    incarnation: int


class RouteReply(NamedTuple):
    """A balancer's answer; ``unknown`` are the connections it never had."""

    routes: tuple[KnownRoute, ...]
    unknown: tuple[ConnectionKey, ...]


class ConnectionAccepted(NamedTuple):
    """Tells the balancer that a target accepted a connection."""

    service: str
    target: str
    incarnation: int
    key: ConnectionKey
    load: ConnectionLoad


class TargetReport(NamedTuple):
    """An agent's regular report about its target to a balancer.

    ``is_cold`` tells that the target has started lately and is slow, and
    ``is_silent`` that it does not answer at the moment.
    """

    member: Member
    load: ConnectionLoad
    is_cold: bool
    is_silent: bool


class BalancerHello(NamedTuple):
    """A balancer's regular sign of life to an agent.

    The next one follows after ``interval_s`` seconds.
    """

    name: str
    failure_domain: str
    incarnation: int
    interval_s: float


def is_in_sequence_window(number: int, start: int, span: int) -> bool:
    """Return whether a sequence number lies within a span after a start."""
    return (number - start) % SEQUENCE_SPACE <= span
