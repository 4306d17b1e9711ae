"""Which new connections a service that is short of room accepts.

Each route of the service is refused from a threshold of the expected wait
on: the less urgent its priority, the lower the threshold. A route with more
openings than usual loses its excess before others of its priority lose
anything. See ``docs/design/overload.md``.
"""

from typing import Final, NamedTuple

from trefoilhaven_core.connections.opening_rates import OpeningRates
from trefoilhaven_core.connections.policies import Policies, RoutePolicy
from trefoilhaven_core.connections.routes import AddressRoutes, ServiceAddress

# Share of the objective that the expected wait may take. The rest is for the
# work itself, and for what other balancers place before the next report.
WAIT_SHARE: Final = 0.8

# Ratio of a threshold to the next higher one: the usual openings of a priority,
# its excess, the usual openings of the next less urgent priority, and so on.
THRESHOLD_RATIO: Final = 0.92

# Share of its recent openings that a route keeps in any overload.
FLOOR_SHARE: Final = 0.1

# Refusals begin where the wait exceeds this share of the threshold, and end
# where it falls below the lower one.
START_SHARE: Final = 0.75
STOP_SHARE: Final = 0.5

# A route with more than its usual openings times this factor has an excess.
EXCESS_FACTOR: Final = 1.2


# Rise of the accepted share per second. Reports are up to 0.25 s old, and
# the wait exceeds the threshold again and again if the share rises at once.
RISE_PER_S: Final = 0.5


class ServiceRoom(NamedTuple):
    """How a service can take new connections, as one balancer sees it.

    ``wait_s`` is the lowest expected wait at a usable target, in seconds.
    """

    wait_s: float
    has_free_slot: bool


class Refusal(NamedTuple):
    """Why a new connection is refused; ``share`` is the accepted share."""

    policy: RoutePolicy
    wait_s: float
    share: float


class OverloadControl:
    """Decides whether new connections are placed or refused.

    Times are monotonic, in seconds.
    """

    def __init__(self, routes: AddressRoutes) -> None:
        """Start without policies, so that nothing is refused."""
        self._routes = routes
        self._policies = Policies()
        self._by_address: dict[ServiceAddress, RoutePolicy] = {}
        self._states: dict[ServiceAddress, _RouteState] = {}

    def set_policies(self, policies: Policies) -> None:
        """Replace the policies; the known rates of their routes stay."""
        self._policies = policies
        self._by_address = {each.address: each for each in policies.routes}
        self._states = {
            address: self._states.get(address) or _RouteState()
            for address in self._by_address
        }

    def has_policy(self, address: ServiceAddress) -> bool:
        """Return whether the connections of an address may be refused."""
        return address in self._by_address

    def decide(
        self,
        now: float,
        address: ServiceAddress,
        service: str,
        room: ServiceRoom | None,
    ) -> Refusal | None:
        """Count an opening; return why it is refused, None if it is not.

        To be called once for each new connection. ``room`` is None if no
        target of the service is usable.
        """
        policy = self._by_address.get(address)
        if policy is None:
            return None
        state = self._states[address]
        state.rates.count(now)
        if room is None or room.has_free_slot:
            return None
        share = state.accepted_share(
            now, room.wait_s, self._threshold_s(policy, service)
        )
        if state.takes(share):
            return None
        return Refusal(policy, room.wait_s, share)

    def _threshold_s(self, policy: RoutePolicy, service: str) -> float:
        """Return the wait at which a route keeps only its floor."""
        urgent = [
            other
            for other in self._by_address.values()
            if other.priority <= policy.priority
            and service in self._routes.holder_services(other.address)
        ]
        objective_s = min(
            (other.objective_s for other in urgent),
            default=policy.objective_s,
        )
        more_urgent = {other.priority for other in urgent} - {policy.priority}
        steps = 2 * len(more_urgent)
        shared_s = min(objective_s, policy.objective_s)
        return WAIT_SHARE * shared_s * THRESHOLD_RATIO**steps


class _RouteState:
    """Rates of a route, and what it is being refused."""

    __slots__ = ('_at', '_credit', '_excess', '_share', '_usual', 'rates')

    def __init__(self) -> None:
        self.rates = OpeningRates()
        self._at = 0.0
        self._credit = 0.5
        self._share = 1.0
        self._excess = _Threshold()
        self._usual = _Threshold()

    def accepted_share(
        self, now: float, wait_s: float, threshold_s: float
    ) -> float:
        """Return the share of the openings to accept at an expected wait."""
        share = self._usual.share(wait_s, threshold_s)
        excess_s = THRESHOLD_RATIO * threshold_s
        below_excess = self._excess.share(wait_s, excess_s)
        ratio = self.rates.recent_ratio(now)
        if ratio > EXCESS_FACTOR:
            share = min(share, max(1 / ratio, below_excess))
        risen = self._share + RISE_PER_S * (now - self._at)
        self._share = max(FLOOR_SHARE, min(share, risen))
        self._at = now
        return self._share

    def takes(self, share: float) -> bool:
        """Return whether an opening is among the share that is accepted.

        The openings that are accepted are evenly spread, so that a share of
        0.1 accepts one of any 10.
        """
        if share >= 1:
            return True
        self._credit += share
        if self._credit < 1:
            return False
        self._credit -= 1
        return True


class _Threshold:
    """Share that is accepted as the wait approaches a threshold."""

    __slots__ = ('_is_refusing',)

    def __init__(self) -> None:
        self._is_refusing = False

    def share(self, wait_s: float, threshold_s: float) -> float:
        """Return the share at a wait; 0 at the threshold and above."""
        stop_s = STOP_SHARE * threshold_s
        if wait_s <= stop_s:
            self._is_refusing = False
        elif wait_s >= START_SHARE * threshold_s:
            self._is_refusing = True
        if not self._is_refusing:
            return 1.0
        return max(0.0, (threshold_s - wait_s) / (threshold_s - stop_s))
