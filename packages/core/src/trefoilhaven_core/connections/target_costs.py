"""Cost of a new connection at each of several targets.

There are two ways to select. ``select_cheapest`` compares busy shares of the
slots over all failure domains, with a penalty for the other ones. It is used
where a gateway has no crossing cost. ``select_quickest`` compares expected
waits in seconds, among the targets that ``domain_shares`` has selected.
"""

import random
from collections.abc import Collection, Mapping, Sequence
from typing import Final

from trefoilhaven_core.connections.response_outliers import ODD_MARGIN
from trefoilhaven_core.connections.target_states import (
    COLD_PENALTY,
    TargetState,
)

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

# Service time in seconds that is expected of a target whose service time is
# not known, where that of no other target is known either.
DEFAULT_SERVICE_TIME_S: Final = 0.02

# A service time counts as at most this many times shorter or longer than
# usual. A target that answers much sooner than the others of its service may
# not do their work.
MAX_SPEED_RATIO: Final = 4.0


def expected_wait_s(target: TargetState) -> float:
    """Return how long a new connection's first request is expected to wait.

    The time is in seconds, without the work on the request itself and without
    penalties: the requests that the target has to be expected to work on,
    times its service time, divided by its slots.
    """
    service_s = target.load.service_time_s or DEFAULT_SERVICE_TIME_S
    waiting = target.pending + target.placed
    return waiting * service_s / max(1, target.member.slots)


def usual_service_time_s(targets: Sequence[TargetState]) -> float:
    """Return the median of the known service times, in seconds."""
    times_s = sorted([target.load.service_time_s for target in targets])
    unknown = times_s.count(0)
    if unknown == len(times_s):
        return DEFAULT_SERVICE_TIME_S
    return times_s[(unknown + len(times_s) - 1) // 2]


def bounded_service_time_s(target: TargetState, usual_s: float) -> float:
    """Return a target's service time in seconds, the usual one if unknown.

    It is bounded by ``MAX_SPEED_RATIO``.
    """
    service_s = target.load.service_time_s or usual_s
    if service_s * MAX_SPEED_RATIO < usual_s:
        return usual_s / MAX_SPEED_RATIO
    return min(service_s, usual_s * MAX_SPEED_RATIO)


def select_quickest(
    targets: Sequence[TargetState],
    rng: random.Random,
    penalties_s: Mapping[str, float] | None = None,
    preferred: Collection[TargetState] = (),
) -> TargetState:
    """Return one of the targets with the shortest expected waits.

    Penalties and the margin within which waits count as equal are shares of
    the usual service time. A target is selected in proportion to its rate,
    so that a slow one gets fewer of the long-lived connections. ``targets``
    is not empty. ``penalties_s`` are times in seconds that count as further
    waits at the targets of some failure domains. Of equal targets, those in
    ``preferred`` are selected.
    """
    usual_s = usual_service_time_s(targets)
    services_s = [bounded_service_time_s(each, usual_s) for each in targets]
    costs_s = [
        (target.pending + target.placed)
        * service_s
        / (target.member.slots or 1)
        + (COLD_PENALTY * usual_s if target.is_cold else 0.0)
        for target, service_s in zip(targets, services_s, strict=True)
    ]
    for number, excess in odd_excesses(targets).items():
        costs_s[number] += ODD_PENALTY_FACTOR * excess * usual_s
    if penalties_s:
        for number, target in enumerate(targets):
            domain = target.member.failure_domain
            costs_s[number] += penalties_s.get(domain, 0.0)
    limit_s = min(costs_s) + EQUAL_COST_MARGIN * usual_s
    equal = [number for number, cost in enumerate(costs_s) if cost < limit_s]
    equal = [each for each in equal if targets[each] in preferred] or equal
    if len(equal) == 1:
        return targets[equal[0]]
    rates = [
        (targets[each].member.slots or 1) / services_s[each] for each in equal
    ]
    return targets[rng.choices(equal, rates)[0]]


def odd_excesses(targets: Sequence[TargetState]) -> dict[int, float]:
    """Return by how much targets have more odd responses than usual.

    The keys are positions in ``targets`` of those that exceed the median by
    more than ``ODD_MARGIN``.
    """
    shares = [target.load.odd_share for target in targets]
    if max(shares) <= ODD_MARGIN:
        return {}
    usual = _median(shares)
    return {
        number: share - usual
        for number, share in enumerate(shares)
        if share - usual > ODD_MARGIN
    }


def select_cheapest(
    targets: Sequence[TargetState],
    failure_domain: str,
    rng: random.Random,
    preferred: Collection[TargetState] = (),
) -> TargetState:
    """Return one of the targets of the lowest cost, chosen at random.

    ``targets`` is not empty, and ``failure_domain`` is that of the balancer.
    Of targets of equal cost, those in ``preferred`` are selected.
    """
    costs = [
        target.busy_share()
        if target.member.failure_domain == failure_domain
        else target.busy_share() + FAR_DOMAIN_PENALTY
        for target in targets
    ]
    for number, excess in odd_excesses(targets).items():
        costs[number] += ODD_PENALTY_FACTOR * excess
    limit = min(costs) + EQUAL_COST_MARGIN
    equal = [
        target
        for cost, target in zip(costs, targets, strict=True)
        if cost < limit
    ]
    return rng.choice([each for each in equal if each in preferred] or equal)


def _median(values: Sequence[float]) -> float:
    # Importing the statistics module would delay each start by 3 ms.
    ordered = sorted(values)
    return ordered[(len(ordered) - 1) // 2]
