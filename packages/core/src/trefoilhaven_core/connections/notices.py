"""Notices of balancers and agents about policies and the state."""

from typing import NamedTuple

from trefoilhaven_core.membership.messages import Address


class TargetPolicy(NamedTuple):
    """Tells an agent the limits of its target, from a balancer.

    ``version`` is that of the policies from which ``cold_s`` (seconds) and
    ``cold_openings_per_s`` come, and ``evacuations_version`` that of the
    evacuations from which ``is_evacuated`` comes: whether the failure domain
    of the target is evacuated. An agent applies the highest of each.
    """

    service: str
    failure_domain: str
    version: int
    cold_s: float
    cold_openings_per_s: float
    evacuations_version: int
    is_evacuated: bool


class StateOffer(NamedTuple):
    """Offers the state to a balancer that has restarted.

    The balancer fetches it from ``address`` by ``StateRequest``. An agent
    that offers names itself as ``sender`` too.
    """

    sender: str
    address: Address
