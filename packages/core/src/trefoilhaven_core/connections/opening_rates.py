"""Rates of the openings of one route: lately, and usually."""

import math
from typing import Final

# Time constants of the two rates, in seconds. Bursts last 3 to 5 s, and demand
# swings within 11 s and more.
RECENT_S: Final = 1.5
USUAL_S: Final = 30.0

# Openings within the usual time constant below which no rate is known.
MIN_OPENINGS: Final = 20


class OpeningRates:
    """Two averages of the openings, which forget at different rates.

    Times are monotonic, in seconds.
    """

    __slots__ = ('_at', '_recent', '_started_at', '_usual')

    def __init__(self) -> None:
        """Start without openings."""
        self._started_at: float | None = None
        self._at = 0.0
        self._recent = 0.0
        self._usual = 0.0

    def count(self, now: float) -> None:
        """Count an opening."""
        if self._started_at is None:
            self._started_at = now
            self._at = now
        self._recent = self._recent * _decay(now - self._at, RECENT_S) + 1
        self._usual = self._usual * _decay(now - self._at, USUAL_S) + 1
        self._at = now

    def recent_ratio(self, now: float) -> float:
        """Return the recent rate relative to the usual one.

        It is 1 while too few openings have been counted.
        """
        if self._started_at is None or self._usual < MIN_OPENINGS:
            return 1.0
        age_s = now - self._started_at
        silent_s = now - self._at
        recent = self._recent * _decay(silent_s, RECENT_S) / RECENT_S
        usual = self._usual * _decay(silent_s, USUAL_S) / USUAL_S
        # The averages of a short time lack what was before it.
        recent /= 1 - _decay(age_s, RECENT_S) or 1.0
        usual /= 1 - _decay(age_s, USUAL_S) or 1.0
        return recent / usual


def _decay(elapsed_s: float, constant_s: float) -> float:
    return math.exp(-max(0.0, elapsed_s) / constant_s)
