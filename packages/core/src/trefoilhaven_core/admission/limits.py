"""Limit of the queue length by the measured time in the queue.

As in CoDel (controlled delay), the shortest sojourn time of an interval tells
a standing queue from a burst: a burst drains within the interval, a standing
queue only adds delay.
"""

import math
from typing import Final

SOJOURN_TARGET_S: Final = 0.1

# Shortest interval. When the load rises to its peak within 1 s, the limit must
# fall within a part of that time.
SOJOURN_INTERVAL_S: Final = 0.1

# An interval with fewer starts can't show a standing queue.
_MIN_STARTS: Final = 4

# Factor applied to the limit after an interval without a standing queue.
_GROWTH_FACTOR: Final = 1.25

# Smallest factor applied to the limit after one interval, so that a single
# outlier can't close the queue.
_MIN_CUT_FACTOR: Final = 0.25


class SojournLimit:
    """Limit of the queue length, between a lowest and a highest value."""

    def __init__(self, lowest: int, highest: int) -> None:
        """Start at the highest limit."""
        self._lowest = min(lowest, highest)
        self._highest = highest
        self._limit = float(highest)
        self._interval_end = -math.inf
        self._shortest_s = math.inf
        self._starts = 0

    @property
    def length(self) -> int:
        """Number of entries that may wait."""
        return int(self._limit)

    def set_highest(self, highest: int) -> None:
        """Change the upper bound."""
        self._lowest = min(self._lowest, highest)
        self._highest = highest
        self._limit = min(self._limit, highest)

    def on_start(self, now: float, sojourn_s: float) -> None:
        """Record that work starts after ``sojourn_s`` seconds in the queue."""
        self._shortest_s = min(self._shortest_s, sojourn_s)
        self._starts += 1
        if now < self._interval_end or self._starts < _MIN_STARTS:
            return
        self._adjust()
        self._interval_end = now + SOJOURN_INTERVAL_S
        self._shortest_s = math.inf
        self._starts = 0

    def _adjust(self) -> None:
        if self._shortest_s > SOJOURN_TARGET_S:
            cut = max(_MIN_CUT_FACTOR, SOJOURN_TARGET_S / self._shortest_s)
            self._limit = max(self._lowest, self._limit * cut)
        else:
            self._limit = min(self._highest, self._limit * _GROWTH_FACTOR)
