"""Order of the balancers for duties that only a few of them have."""

from collections.abc import Iterable

import xxhash

from trefoilhaven_core.membership.messages import BalancerRecord, MemberState


def balancer_rank(name: str, balancers: Iterable[BalancerRecord]) -> int:
    """Return how many live balancers come before the one of a name.

    The order is that of a hash, so that duties do not fall on the hosts
    with the first names.
    """
    own = _rank_key(name)
    return sum(
        _rank_key(record.name) < own
        for record in balancers
        if record.state < MemberState.dead
    )


def _rank_key(name: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f'platform\n{name}'.encode()), name
