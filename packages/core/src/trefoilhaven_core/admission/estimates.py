"""Estimates of service times by declared class and body size.

Body sizes are grouped by their bit length. A group is long when its mean
service time is more than ``LONG_FACTOR`` times that of the group that holds
the median request.
"""

from enum import IntEnum
from typing import Final, NamedTuple

# Work is long above this multiple of the median group's service time.
LONG_FACTOR: Final = 5.0

# A mean of fewer samples is not used to classify work.
MIN_SAMPLES: Final = 8

LONG_BODY_BYTES: Final = 65_536

# Older means don't count as expected times, so they refuse no work. Otherwise
# a wrong one would never be corrected, because the work that would correct it
# is refused.
ESTIMATE_LIFETIME_S: Final = 10.0

# Minimum weight of a new sample in a mean; up to 10 samples it is 1 / count.
_SAMPLE_WEIGHT: Final = 0.1

# Counts are halved at this total, so that old samples count less.
_COUNT_LIMIT: Final = 1024


class WorkClass(IntEnum):
    """Class of work by its expected service time."""

    short = 1
    long = 2


class Group(NamedTuple):
    """Declared class (empty for none) and bit length of the body size."""

    declared: str
    size_bits: int


class _Mean:
    __slots__ = ('count', 'mean_s', 'updated_at')

    def __init__(self) -> None:
        self.count = 0
        self.mean_s = 0.0
        self.updated_at = 0.0

    def add(self, now: float, sample_s: float) -> None:
        self.count += 1
        weight = max(_SAMPLE_WEIGHT, 1 / self.count)
        self.mean_s += weight * (sample_s - self.mean_s)
        self.updated_at = now

    def is_fresh(self, now: float) -> bool:
        return bool(self.count) and (
            now - self.updated_at <= ESTIMATE_LIFETIME_S
        )


class ServiceEstimates:
    """Mean service times of one target, by group and by work class."""

    def __init__(self, long_body_bytes: int = LONG_BODY_BYTES) -> None:
        """Start without samples.

        Undeclared work with a body of ``long_body_bytes`` or more is long
        until its group has enough samples.
        """
        self._long_body_bytes = long_body_bytes
        self._groups: dict[Group, _Mean] = {}
        self._classes = {work_class: _Mean() for work_class in WorkClass}
        self._total = 0
        self._reference_s = 0.0

    def set_long_body_bytes(self, long_body_bytes: int) -> None:
        """Change the body size from which undeclared work is long."""
        self._long_body_bytes = long_body_bytes

    def classify(self, declared: str, body_bytes: int) -> WorkClass:
        """Return the class of work.

        Work that is declared long is long. Other work, even if declared
        short, follows the mean of its group once that has enough samples.
        """
        if declared == WorkClass.long.name:
            return WorkClass.long
        known = self._groups.get(_group_of(declared, body_bytes))
        if known is not None and known.count >= MIN_SAMPLES:
            is_long = known.mean_s > LONG_FACTOR * self._reference_s
        elif declared == WorkClass.short.name:
            is_long = False
        else:
            is_long = body_bytes >= self._long_body_bytes
        return WorkClass.long if is_long else WorkClass.short

    def expect(self, now: float, declared: str, body_bytes: int) -> float:
        """Return the expected service time in seconds, 0 if unknown.

        The mean of the class stands in for a missing or old group mean.
        """
        known = self._groups.get(_group_of(declared, body_bytes))
        if known is not None and known.is_fresh(now):
            return known.mean_s
        return self.mean_of(now, self.classify(declared, body_bytes))

    def mean_of(self, now: float, work_class: WorkClass) -> float:
        """Return a class's mean service time in seconds, 0 if unknown."""
        known = self._classes[work_class]
        return known.mean_s if known.is_fresh(now) else 0

    def learn(
        self,
        now: float,
        declared: str,
        body_bytes: int,
        service_time_s: float,
    ) -> None:
        """Add the measured service time of finished work, in seconds."""
        work_class = self.classify(declared, body_bytes)
        self._classes[work_class].add(now, service_time_s)
        group = _group_of(declared, body_bytes)
        self._groups.setdefault(group, _Mean()).add(now, service_time_s)
        self._total += 1
        if self._total >= _COUNT_LIMIT:
            self._halve_counts()
        self._reference_s = self._median_group_mean()

    def _median_group_mean(self) -> float:
        seen = 0
        for known in sorted(self._groups.values(), key=_mean_of):
            seen += known.count
            if seen * 2 >= self._total:
                return known.mean_s
        return 0

    def _halve_counts(self) -> None:
        for known in self._groups.values():
            known.count //= 2
        self._groups = {
            group: known for group, known in self._groups.items() if known.count
        }
        self._total = sum(known.count for known in self._groups.values())


def _group_of(declared: str, body_bytes: int) -> Group:
    return Group(declared, body_bytes.bit_length())


def _mean_of(known: _Mean) -> float:
    return known.mean_s
