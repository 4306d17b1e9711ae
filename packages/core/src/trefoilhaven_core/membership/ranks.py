"""Ranking of the balancers for tasks that only a few of them carry out."""

from collections.abc import Iterable

import xxhash

from trefoilhaven_core.membership.messages import BalancerRecord, MemberState


def balancer_rank(name: str, balancers: Iterable[BalancerRecord]) -> int:
    """Return how many live balancers rank before the one called ``name``.

    The order is that of a hash, so that the tasks do not always fall on the
    hosts whose names sort first.
    """
    own = _rank_key(name)
    return sum(
        _rank_key(record.name) < own
        for record in balancers
        if record.state < MemberState.dead
    )


def _rank_key(name: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f'platform\n{name}'.encode()), name
