"""Delays between attempts."""

from random import Random

from trefoilhaven_core.settings import defaults


class Backoff:
    """Exponential delays with jitter.

    A delay is drawn uniformly from the upper half of the current range, so
    that processes that failed at the same time do not retry together. A
    minimum above the range is returned without jitter.
    """

    def __init__(
        self,
        rng: Random,
        first_s: float = defaults.PLATFORM_BACKOFF_S,
        limit_s: float = defaults.PLATFORM_BACKOFF_LIMIT_S,
    ) -> None:
        """Start at the first range; ``rng`` is seeded by the caller."""
        self._rng = rng
        self._first_s = first_s
        self._limit_s = limit_s
        self._range_s = first_s

    def next_s(self, at_least_s: float = 0) -> float:
        """Return the next delay in seconds and double the range.

        The delay is ``at_least_s`` or more.
        """
        wait_s = self._range_s * self._rng.uniform(0.5, 1)
        self._range_s = min(self._range_s * 2, self._limit_s)
        return max(wait_s, at_least_s)

    def reset(self) -> None:
        """Return to the first range after a success."""
        self._range_s = self._first_s
