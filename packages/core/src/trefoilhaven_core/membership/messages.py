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
    """Asks a witness to end the lease of a silent agent for good."""

    service: str
    target: str
    incarnation: int
    term: int
    claimant: str


class FenceVote(NamedTuple):
    """A witness's answer to a fence request.

    ``silent_s`` is the time in seconds since the witness last acknowledged
    a heartbeat of the target, -1 when it never did.
    """

    service: str
    target: str
    incarnation: int
    term: int
    witness: str
    agreed: bool
    silent_s: float


class BalancerRecord(NamedTuple):
    """A balancer as the other processes know it."""

    name: str
    failure_domain: str
    incarnation: int
    sequence: int
    state: MemberState
    control: Address
    rpc: Address


class Changes(NamedTuple):
    """Records that changed, spread from balancer to balancer."""

    sender: str
    members: tuple[Member, ...]
    balancers: tuple[BalancerRecord, ...]
    silent_domains: tuple[str, ...]


class VersionMark(NamedTuple):
    """Highest version that a process holds of one service's objects."""

    service: str
    view_digest: int
    registry_version: int
    configuration_version: int


class Digest(NamedTuple):
    """Summary of all that a balancer knows, for comparison with a peer."""

    sender: str
    balancers_digest: int
    marks: tuple[VersionMark, ...]
    is_reply: bool
