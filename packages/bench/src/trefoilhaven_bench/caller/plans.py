"""Parameters of the load generators."""

from typing import NamedTuple

from trefoilhaven_bench.settings import REQUEST_DEADLINE_S


class FlowPlan(NamedTuple):
    """A set of flows to one service.

    ``fabric`` is the address of the fabric's caller side and ``address``
    that of the service, both ``ip:port``. ``open_per_s`` is the rate of new
    flows and ``packets_per_s`` the packet rate of each flow. ``padding`` is
    in bytes and ``duration_s`` in seconds.
    """

    service: str
    address: str
    fabric: str
    flows: int = 100
    open_per_s: float = 200
    packets_per_s: float = 2
    duration_s: float = 10
    padding: int = 32
    seed: int = 1


class RequestPlan(NamedTuple):
    """A stream of requests to one service.

    ``balancers`` are rpc addresses, ``ip:port``. Long requests take
    ``long_factor`` times ``service_time_s`` (seconds). ``at_once`` limits
    the requests in progress; those beyond it are counted as skipped.
    """

    service: str
    balancers: tuple[str, ...]
    rate_per_s: float = 50
    duration_s: float = 10
    idempotent_share: float = 0.3
    long_share: float = 0.05
    long_factor: float = 20
    service_time_s: float = 0.02
    answer_bytes: int = 2048
    deadline_s: float = REQUEST_DEADLINE_S
    at_once: int = 2000
    seed: int = 1
    key_prefix: str = 'request'
