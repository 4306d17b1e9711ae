"""Messages and records of the membership slice."""

from enum import IntEnum
from typing import NamedTuple


class Address(NamedTuple):
    """IP address and port of a socket."""

    host: str
    port: int


class MemberState(IntEnum):
    """State of a member; at an equal version the higher state wins."""

    alive = 1
    draining = 2
    suspect = 3
    dead = 4
    left = 5


class Load(NamedTuple):
    """Load of a target as its agent counts it; times are in seconds."""

    open_flows: int = 0
    busy_slots: int = 0
    queued: int = 0
    wait_s: float = 0
    service_time_s: float = 0


class Member(NamedTuple):
    """One target of a service with the addresses of its agent.

    ``incarnation`` is the start time of the agent in milliseconds and
    ``sequence`` counts the changes that the agent announced since. The
    higher pair wins when two records of one target differ.
    """

    service: str
    target: str
    host: str
    failure_domain: str
    incarnation: int
    sequence: int
    state: MemberState
    flow: Address
    control: Address
    rpc: Address
    slots: int


class Registration(NamedTuple):
    """A target that is registered at the platform."""

    target: str
    incarnation: int


class ServiceView(NamedTuple):
    """What a process knows about the members of one service.

    ``registry_version`` is the platform's version of the object that
    lists the registered members, 0 before it was first read.
    """

    service: str
    registry_version: int
    registered: tuple[Registration, ...]
    members: tuple[Member, ...]


class Heartbeat(NamedTuple):
    """An agent's sign of life to a witness.

    ``sent_at`` is a time of the agent's own monotonic clock in seconds.
    """

    member: Member
    term: int
    load: Load
    sent_at: float
    configuration_version: int


class TargetLoad(NamedTuple):
    """Load of one target and its age in seconds when it was sent."""

    target: str
    load: Load
    age_s: float


class HeartbeatAck(NamedTuple):
    """A witness's acknowledgement, which extends the agent's lease."""

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
    """Tells an agent that its term is fenced."""

    service: str
    target: str
    incarnation: int
    term: int
    witness: str


class FenceRequest(NamedTuple):
    """Asks a witness to end the lease of a silent agent for good.

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
    a heartbeat of the target, -1 when it never did. ``sent_at`` is that of
    the request. A vote that does not agree carries the incarnation and
    term that the witness has seen when they are above the requested ones.
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
    """A balancer as the other processes know it."""

    name: str
    failure_domain: str
    incarnation: int
    sequence: int
    state: MemberState
    control: Address
    rpc: Address


class SilentDomain(NamedTuple):
    """All members of a failure domain that a witness hears fell silent.

    It covers the members of ``services`` only, those that the reporter
    hears. ``incarnation`` and ``number`` identify the report, so that a
    process handles each of a reporter's reports once.
    """

    failure_domain: str
    services: tuple[str, ...]
    reporter: str
    incarnation: int
    number: int


class Changes(NamedTuple):
    """Records that changed, spread from balancer to balancer."""

    sender: str
    members: tuple[Member, ...]
    balancers: tuple[BalancerRecord, ...]
    silent_domains: tuple[SilentDomain, ...] = ()


class ServiceVersions(NamedTuple):
    """Highest version that a process holds of one service's objects."""

    service: str
    view_digest: int
    registry_version: int
    configuration_version: int


class Digest(NamedTuple):
    """Summary of all that a balancer knows, for comparison with a peer.

    Services and balancers fall into groups by the hash of their name.
    ``root`` covers everything. ``groups`` holds the digest of each group
    and is empty unless roots differed. ``covered`` names the groups whose
    versions ``versions`` lists in full. A reply is not answered in turn unless
    it shows a difference.
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
    ``ServiceVersions``; the receiver fetches it with ``StateRequest``.
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
    """Asks a peer for all records of some services.

    Without services, it asks for everything that the peer knows.
    """

    sender: str
    services: tuple[str, ...] = ()


class State(NamedTuple):
    """Everything that a process knows about the requested services."""

    sender: str
    members: tuple[Member, ...]
    balancers: tuple[BalancerRecord, ...]
    registries: tuple[Registry, ...]
    configurations: tuple[Configuration, ...]
