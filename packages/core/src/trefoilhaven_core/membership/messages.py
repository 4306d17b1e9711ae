"""Messages and records of membership.

The limits of the annotated fields are checked when a message or an object is
decoded. A record that a process can't send to, or can't encode, would
otherwise reach every process by gossip and end it.
"""

from enum import IntEnum
from typing import Annotated, Final, NamedTuple

import msgspec

# Incarnations and sequence numbers stay encodable in 64 bits, also after
# they are incremented.
MAX_VERSION: Final = (1 << 62) - 1
MAX_SLOTS: Final = 65_535

_OCTET: Final = '(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])'
_IPV4: Final = rf'\A{_OCTET}(\.{_OCTET}){{3}}\Z'

HostAddress = Annotated[str, msgspec.Meta(pattern=_IPV4)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
VersionNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]
SlotCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]


class Address(NamedTuple):
    """IPv4 address and port of a socket."""

    host: HostAddress
    port: Port


class MemberState(IntEnum):
    """State of a member; of records of one version the higher state wins."""

    alive = 1
    draining = 2
    suspect = 3
    dead = 4
    left = 5


class Load(NamedTuple):
    """Load of a target as measured by its agent; times are in seconds.

    ``queued`` counts the requests that wait for a slot. ``wait_s`` is the
    wait that a new short request is expected to have, and
    ``service_time_s`` the mean service time of short requests.
    """

    open_flows: int = 0
    busy_slots: int = 0
    queued: int = 0
    wait_s: float = 0
    service_time_s: float = 0


class Member(NamedTuple):
    """One target of a service with the addresses of its agent.

    ``incarnation`` is the start time of the agent in milliseconds and
    ``sequence`` counts the changes that the agent announced since then. Of
    two different records of a target, the one with the higher pair wins.
    """

    service: str
    target: str
    host: str
    failure_domain: str
    incarnation: VersionNumber
    sequence: VersionNumber
    state: MemberState
    flow: Address
    control: Address
    rpc: Address
    slots: SlotCount


class Registration(NamedTuple):
    """A target that is registered on the platform."""

    target: str
    incarnation: int


class ServiceView(NamedTuple):
    """Members of one service as known to a process.

    ``registry_version`` is the platform's version of the object that
    lists the registered members, 0 before it was first read.
    """

    service: str
    registry_version: int
    registered: tuple[Registration, ...]
    members: tuple[Member, ...]


class Heartbeat(NamedTuple):
    """Periodic message from an agent to a witness.

    ``sent_at`` is a time of the agent's own monotonic clock in seconds.
    """

    member: Member
    term: int
    load: Load
    sent_at: float
    configuration_version: int


class TargetLoad(NamedTuple):
    """Load of one target, and its age in seconds at the time of sending."""

    target: str
    load: Load
    age_s: float


class HeartbeatAck(NamedTuple):
    """A witness's acknowledgement, which extends the agent's lease.

    ``sent_at`` is that of the heartbeat, by the agent's clock.
    ``view_digest`` is the digest of the service's view at the witness, and
    ``configuration_version`` the version that the witness has; the agent
    pulls what differs. ``loads`` are some loads of other targets of the
    service.
    """

    service: str
    target: str
    incarnation: int
    term: int
    sent_at: float
    witness: str
    view_digest: int
    configuration_version: int
    loads: tuple[TargetLoad, ...]


class HeartbeatRefused(NamedTuple):
    """Tells an agent that its term is fenced or that it was superseded.

    ``incarnation`` and ``term`` are those that the witness knows.
    """

    service: str
    target: str
    incarnation: int
    term: int
    witness: str


class FenceRequest(NamedTuple):
    """Asks a witness to fence the term of an unresponsive agent.

    ``sent_at`` is a time of the claimant's monotonic clock in seconds; the
    vote returns it.
    """

    service: str
    target: str
    incarnation: int
    term: int
    claimant: str
    sent_at: float = 0


class FenceVote(NamedTuple):
    """A witness's answer to a fence request.

    ``silent_s`` is the time in seconds since the witness last acknowledged
    a heartbeat of the target, -1 if it never did or has just started and
    does not vote yet. ``sent_at`` is that of the request. A vote against the
    request carries the incarnation and term that the witness knows if they
    are above the requested ones.
    """

    service: str
    target: str
    incarnation: int
    term: int
    witness: str
    agreed: bool
    silent_s: float
    sent_at: float = 0


class BalancerRecord(NamedTuple):
    """A balancer as known to other processes."""

    name: str
    failure_domain: str
    incarnation: VersionNumber
    sequence: VersionNumber
    state: MemberState
    control: Address
    rpc: Address


class SilentDomain(NamedTuple):
    """Reports that all members of a failure domain stopped sending.

    It only covers members of ``services``, for which the reporter receives
    heartbeats. ``incarnation`` and ``number`` identify the report, so that
    a process handles each report of a reporter once.
    """

    failure_domain: str
    services: tuple[str, ...]
    reporter: str
    incarnation: int
    number: int


class Changes(NamedTuple):
    """Changed records, sent from balancer to balancer."""

    sender: str
    members: tuple[Member, ...]
    balancers: tuple[BalancerRecord, ...]
    silent_domains: tuple[SilentDomain, ...] = ()


class ServiceVersions(NamedTuple):
    """Highest versions of one service's objects that a process holds."""

    service: str
    view_digest: int
    registry_version: int
    configuration_version: int


class Digest(NamedTuple):
    """Digest of all records of a balancer, for comparison with a peer.

    Services and balancers are grouped by the hash of their name. ``root``
    covers all records. ``groups`` holds the digest of each group and is
    empty unless the roots differed. ``covered`` holds the numbers of the
    groups whose services are all listed in ``versions``. A reply is only
    answered if it shows a difference.
    """

    sender: str
    root: int
    groups: tuple[int, ...] = ()
    covered: tuple[int, ...] = ()
    versions: tuple[ServiceVersions, ...] = ()
    is_reply: bool = False


class ConfigurationNotice(NamedTuple):
    """A version of a service's configuration, as JSON bytes.

    A configuration that does not fit a datagram is announced by its
    ``ServiceVersions``; the receiver pulls it with ``StateRequest``.
    """

    sender: str
    service: str
    version: int
    content: bytes


class RegistryNotice(NamedTuple):
    """A version of a service's registered members."""

    sender: str
    service: str
    version: int
    registrations: tuple[Registration, ...]


class Registry(NamedTuple):
    """Registered members of one service at a version of the platform."""

    service: str
    version: int
    registrations: tuple[Registration, ...]


class Configuration(NamedTuple):
    """Configuration of one service as JSON bytes with its version."""

    service: str
    version: int
    content: bytes


class StateRequest(NamedTuple):
    """Asks a peer for all records of ``services``.

    Without services, it asks for all records of the peer.
    """

    sender: str
    services: tuple[str, ...] = ()


class State(NamedTuple):
    """All records of a process of the requested services."""

    sender: str
    members: tuple[Member, ...]
    balancers: tuple[BalancerRecord, ...]
    registries: tuple[Registry, ...]
    configurations: tuple[Configuration, ...]
