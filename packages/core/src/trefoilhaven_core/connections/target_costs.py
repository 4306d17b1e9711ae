"""Cost of a new connection at each of several targets."""

import random
from collections.abc import Sequence
from typing import Final

from trefoilhaven_core.connections.response_outliers import ODD_MARGIN
from trefoilhaven_core.connections.target_states import TargetState

# A target in another failure domain is selected if its slots are less busy by
# this share: traffic between domains costs bytes and a round trip of 7 ms.
FAR_DOMAIN_PENALTY: Final = 0.6

# Targets whose cost differs by less than this share count as equal, and one
# of them is selected at random. Reports are up to 0.25 s old and the same for
# all balancers, which would otherwise all select the same target.
EQUAL_COST_MARGIN: Final = 0.3

# Penalty of a target with many odd responses, which look like failures: its
# share of them above the median of its service, times this factor.
ODD_PENALTY_FACTOR: Final = 4.0


def select_cheapest(
    targets: Sequence[TargetState], failure_domain: str, rng: random.Random
) -> TargetState:
    """Return one of the targets of the lowest cost, chosen at random.

    ``targets`` is not empty, and ``failure_domain`` is that of the balancer.
    """
    usual_odd = _usual_odd_share(targets)
    costs = [_cost(target, failure_domain, usual_odd) for target in targets]
    limit = min(costs) + EQUAL_COST_MARGIN
    return rng.choice(
        [
            target
            for cost, target in zip(costs, targets, strict=True)
            if cost < limit
        ]
    )


def expected_wait_s(target: TargetState) -> float:
    """Return the expected wait of a new connection's request, in seconds.

    Connections without a request do not count.
    """
    busy = target.load.waiting + target.placed
    return busy * target.load.service_time_s / max(1, target.member.slots)


def _cost(target: TargetState, failure_domain: str, usual_odd: float) -> float:
    cost = target.busy_share()
    excess = target.load.odd_share - usual_odd
    if excess > ODD_MARGIN:
        cost += ODD_PENALTY_FACTOR * excess
    is_near = target.member.failure_domain == failure_domain
    return cost if is_near else cost + FAR_DOMAIN_PENALTY


def _usual_odd_share(targets: Sequence[TargetState]) -> float:
    """Return the median share of odd responses."""
    # Importing the statistics module would delay each start by 3 ms.
    shares = sorted(target.load.odd_share for target in targets)
    return shares[(len(shares) - 1) // 2]
