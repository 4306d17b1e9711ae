"""Settings and service configuration as the processes use them."""

from typing import NamedTuple

from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.settings.defaults import (
    EVACUATIONS,
    OVERLOAD_REFUSALS,
    PROCESSOR_SHARE,
    PROCESSOR_SPEED,
    STATE_OFFERS,
)


class Seed(NamedTuple):
    """A balancer that a starting balancer contacts first."""

    name: str
    failure_domain: str
    control: Address
    rpc: Address


class Witness(NamedTuple):
    """A balancer that is a witness of an agent's lease."""

    name: str
    control: Address
    rpc: Address


class TargetAddresses(NamedTuple):
    """Addresses of the target that an agent serves."""

    flow: Address
    rpc: Address


class BalancerSettings(NamedTuple):
    """Settings of a balancer process."""

    name: str
    host: str
    failure_domain: str
    operator: str
    flow: Address
    control: Address
    rpc: Address
    metrics: Address
    advertise_flow: Address
    advertise_control: Address
    advertise_rpc: Address
    platform: str
    seeds: tuple[Seed, ...]
    witnesses: tuple[str, ...]
    fabric: Address
    log_level: str


class AgentSettings(NamedTuple):
    """Settings of an agent process; ``name`` is the target's name."""

    name: str
    service: str
    host: str
    failure_domain: str
    flow: Address
    control: Address
    rpc: Address
    metrics: Address
    advertise_flow: Address
    advertise_control: Address
    advertise_rpc: Address
    witnesses: tuple[Witness, ...]
    fabric: Address
    target: TargetAddresses
    slots: int
    log_level: str


class FlowLimits(NamedTuple):
    """Limits of a service's flows, for each target."""

    idle_timeout_s: float
    connection_limit: int


class RequestLimits(NamedTuple):
    """Limits of a service's requests, for each target.

    ``retry_budget`` is the share of the load that retries may add.
    """

    slots: int
    queue_limit: int
    long_body_bytes: int
    retention_s: float
    retry_budget: float


class ServiceConfiguration(NamedTuple):
    """Content of one service file."""

    service: str
    address: Address
    operator: str
    flows: FlowLimits
    requests: RequestLimits
    warm_up_s: float
    eject_share: float


class GatewaySettings(NamedTuple):
    """Settings of a gateway, a balancer that routes connection segments.

    ``seeds`` holds addresses of other balancers. ``control`` is a UDP and
    a TCP address. ``processor_share`` is the share of a core that the process
    may use, and ``processor_speed`` the speed of this core relative to a usual
    one. With ``evacuations``, the evacuated failure domains are read from the
    platform, and with ``state_offers`` the state is offered to balancers that
    have restarted. With ``overload_refusals``, new connections are refused
    when a service is short of room. ``domain_crossing_cost_s``
    is the additional wait in seconds that is accepted to keep a request inside
    the failure domain, None where a fixed penalty applies.
    """

    name: str
    host: str
    failure_domain: str
    readiness: Address
    control: Address
    advertise_control: Address
    metrics: Address
    platform: Address
    seeds: tuple[Address, ...]
    log_level: str
    segments: Address
    processor_share: float = PROCESSOR_SHARE
    processor_speed: float = PROCESSOR_SPEED
    evacuations: bool = EVACUATIONS
    state_offers: bool = STATE_OFFERS
    overload_refusals: bool = OVERLOAD_REFUSALS
    domain_crossing_cost_s: float | None = None

    @property
    def processor_cores(self) -> float:
        """Processor time of the process in usual cores."""
        return self.processor_share * self.processor_speed

    @property
    def uses_policies(self) -> bool:
        """Whether policies of routes and services are read and exchanged."""
        return self.evacuations or self.overload_refusals


class WarmUpLimits(NamedTuple):
    """Bounds on the openings of a cold target.

    It gets at most the rate of its service times ``overage``, plus ``slack``
    openings, in any second.
    """

    overage: float
    slack: float


class SidecarSettings(NamedTuple):
    """Settings of a sidecar, an agent of a target that exchanges segments.

    All clients receive segments at the port of ``fabric``. Without
    ``warm_up``, cold targets get any number of new connections. With
    ``state_offers``, the agent keeps a copy of the state for balancers that
    have restarted.
    """

    name: str
    host: str
    failure_domain: str
    readiness: Address
    control: Address
    advertise_control: Address
    metrics: Address
    platform: Address
    seeds: tuple[Address, ...]
    log_level: str
    service: str
    segments: Address
    announcements: Address
    target: Address
    fabric: Address
    warm_up: WarmUpLimits | None = None
    state_offers: bool = STATE_OFFERS
