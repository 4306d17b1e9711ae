"""Load and room of the failure domains, from the loads of their targets."""

from collections.abc import Sequence
from typing import Final, NamedTuple

from trefoilhaven_core.connections.target_costs import (
    bounded_service_time_s,
    odd_excesses,
    usual_service_time_s,
)
from trefoilhaven_core.connections.target_states import TargetState

# Share of the slots of a cold target that counts as room.
COLD_ROOM: Final = 0.5


class DomainLoad(NamedTuple):
    """Load and room of the targets of one service in one failure domain.

    ``wait_s`` is the time in seconds in which they would work off the requests
    for which they have no slot, ``free_share`` the share of their rate that
    is free, and ``rate_per_s`` the requests per second that they can work on.
    Targets whose responses look like failures have no part in it.
    """

    wait_s: float
    free_share: float
    rate_per_s: float


def domain_loads(targets: Sequence[TargetState]) -> dict[str, DomainLoad]:
    """Return the load of each failure domain that has targets."""
    usual_s = usual_service_time_s(targets)
    odd = odd_excesses(targets)
    sums: dict[str, list[float]] = {}
    for number, target in enumerate(targets):
        member = target.member
        domain = member.failure_domain
        if domain not in sums:
            sums[domain] = [0.0, 0.0, 0.0]
        domain_sums = sums[domain]
        if number in odd:
            continue
        speed = 1 / bounded_service_time_s(target, usual_s)
        if target.is_cold:
            speed *= COLD_ROOM
        slots = member.slots or 1
        free = slots - target.reported_waiting
        if free < 0:
            domain_sums[0] -= free
        else:
            domain_sums[1] += free * speed
        domain_sums[2] += slots * speed
    return {
        domain: DomainLoad(
            queued / rate if rate else 0.0, free / rate if rate else 0.0, rate
        )
        for domain, (queued, free, rate) in sums.items()
    }
