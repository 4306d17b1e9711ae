"""Bucket tables: first and second choice among targets for each bucket.

Every process computes the table from the names of the service and of its
eligible targets only, so that equal views yield equal tables without any
message exchange. Each target is the first choice for at most
``ceil(buckets / targets)`` buckets.
"""

from array import array
from collections.abc import Iterable
from typing import Final, NamedTuple

import numpy as np
import xxhash
from numpy.typing import NDArray

# Number of buckets of a service. With 16 targets each one has 64 buckets. With
# up to 20 targets, the cap of buckets per target keeps the largest share
# within 2% of the mean.
BUCKET_COUNT: Final = 1024

_MIX_MULTIPLIER: Final = np.uint64(0xBF58476D1CE4E5B9)
_MIX_SHIFT: Final = np.uint64(31)

Weights = NDArray[np.uint64]


class BucketTable(NamedTuple):
    """First and second choice for each bucket, as indexes into ``targets``.

    The choices are arrays of 16-bit integers: a balancer at design scale
    keeps 750 tables, which take 3 MB this way and 12 MB as tuples.
    """

    service: str
    targets: tuple[str, ...]
    first_choices: 'array[int]'
    second_choices: 'array[int]'

    def first(self, bucket: int) -> str | None:
        """Return the first choice, or None if there are no targets."""
        if not self.targets:
            return None
        return self.targets[self.first_choices[bucket]]

    def second(self, bucket: int) -> str | None:
        """Return the second choice, or None with fewer than two targets."""
        if len(self.targets) < 2:
            return None
        return self.targets[self.second_choices[bucket]]


def hash_item(service: str, key: bytes) -> int:
    """Return the 64-bit hash of a flow or request key within a service."""
    seed = xxhash.xxh64_intdigest(service.encode())
    return xxhash.xxh64_intdigest(key, seed=seed)


def bucket_of(item: int, buckets: int = BUCKET_COUNT) -> int:
    """Return the bucket of an item hash."""
    return item % buckets


def build_table(
    service: str,
    targets: Iterable[str],
    buckets: int = BUCKET_COUNT,
) -> BucketTable:
    """Compute the table of a service from its eligible targets.

    Buckets are assigned in a fixed order to the target with the highest
    rendezvous weight that is below its cap. The second choice is the target
    with the highest weight apart from the first choice.
    """
    names = tuple(sorted(set(targets)))
    if not names:
        return BucketTable(service, (), _choices(()), _choices(()))
    ranking = _rank(_weigh(service, names, buckets))
    firsts = _assign_with_cap(ranking, len(names))
    seconds = _choices(
        int(row[1] if len(row) > 1 and row[0] == first else row[0])
        for row, first in zip(ranking, firsts, strict=True)
    )
    return BucketTable(service, names, firsts, seconds)


def _weigh(service: str, names: tuple[str, ...], buckets: int) -> Weights:
    seeds = np.array(
        [hash_item(service, name.encode()) for name in names],
        dtype=np.uint64,
    )
    numbers = np.arange(1, buckets + 1, dtype=np.uint64) * _MIX_MULTIPLIER
    mixed = seeds[np.newaxis, :] ^ numbers[:, np.newaxis]
    mixed = (mixed ^ (mixed >> _MIX_SHIFT)) * _MIX_MULTIPLIER
    return mixed ^ (mixed >> _MIX_SHIFT)


def _rank(weights: Weights) -> list[list[int]]:
    return np.argsort(weights, axis=1)[:, ::-1].tolist()


def _choices(indexes: Iterable[int]) -> 'array[int]':
    return array('H', indexes)


def _assign_with_cap(ranking: list[list[int]], count: int) -> 'array[int]':
    cap = -(-len(ranking) // count)
    room = [cap] * count
    firsts = []
    for row in ranking:
        choice = next(index for index in row if room[index])
        room[choice] -= 1
        firsts.append(choice)
    return _choices(firsts)
