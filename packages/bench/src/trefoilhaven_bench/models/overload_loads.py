"""Scenarios of a service that is short of room, and their results."""

from typing import Final, NamedTuple


class RouteLoad(NamedTuple):
    """A route; its requests take ``work_s`` each, in seconds.

    ``load_share`` is its share of the load of the service.
    """

    name: str
    work_s: float
    objective_s: float
    timeout_s: float
    priority: int
    load_share: float


ROUTES: Final = (
    RouteLoad('orders', 0.02, 0.352, 1.758, 0, 0.3),
    RouteLoad('queries', 0.015, 0.303, 1.817, 1, 0.3),
    RouteLoad('searches', 0.015, 0.303, 1.817, 1, 0.3),
    RouteLoad('downloads', 0.005, 0.944, 7.08, 2, 0.1),
)


class Scenario(NamedTuple):
    """A load on one service; times are in seconds.

    ``load`` is a share of the capacity of all targets. From
    ``change_from_s`` to ``change_until_s``, the route ``burst`` has its usual
    rate times ``burst_factor``; ``lost_share`` of the targets is away from
    ``change_from_s`` on.
    """

    load: float
    seed: int = 1
    targets: int = 12
    gateways: int = 6
    routes: tuple[RouteLoad, ...] = ROUTES
    duration_s: float = 14.0
    measure_from_s: float = 5.0
    change_from_s: float = 6.0
    change_until_s: float = 11.0
    burst: str = ''
    burst_factor: float = 1.0
    lost_share: float = 0.0

    def rate(self, route: RouteLoad, now: float) -> float:
        """Return the requests a second of a route at a time."""
        usual = self.load * self.targets * route.load_share / route.work_s
        is_burst = self.change_from_s <= now < self.change_until_s
        if is_burst and route.name == self.burst:
            return usual * self.burst_factor
        return usual


class RouteResult:
    """What became of the requests of one route.

    ``refusals`` counts the refused connections, and ``refused`` the requests
    of which all were; ``served`` those served before the timeout, and
    ``in_time`` those within the objective. ``idle_refusals`` counts the refused
    connections for which a target was idle, which reports show later.
    """

    def __init__(self, name: str) -> None:
        """Start without requests."""
        self.name = name
        self.offered = 0
        self.in_time = 0
        self.served = 0
        self.refused = 0
        self.refusals = 0
        self.idle_refusals = 0
        self.waits_s: list[float] = []

    @property
    def goodput(self) -> float:
        """Share of the requests served within the objective."""
        return self.in_time / max(1, self.offered)

    @property
    def refused_share(self) -> float:
        """Share of the requests that were refused."""
        return self.refused / max(1, self.offered)

    @property
    def wait_p99_s(self) -> float:
        """Wait until the work begins, which 99% of the served stay below."""
        if not self.waits_s:
            return 0.0
        return sorted(self.waits_s)[int(0.99 * (len(self.waits_s) - 1))]
