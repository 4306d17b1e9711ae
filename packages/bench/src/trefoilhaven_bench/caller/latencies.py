"""Latency histograms of the load generators."""

from typing import Any, Final, TypedDict

from hdrh.histogram import HdrHistogram

_LOWEST_US: Final = 1
_HIGHEST_US: Final = 600_000_000
_DIGITS: Final = 3
_US_PER_S: Final = 1_000_000


class Percentiles(TypedDict):
    """Summary of a histogram; times are in seconds."""

    count: int
    p50_s: float
    p90_s: float
    p99_s: float
    max_s: float


class Latencies:
    """An HDR histogram with microsecond resolution."""

    def __init__(self) -> None:
        self._histogram: Any = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)

    def record(self, seconds: float) -> None:
        """Record a latency in seconds, clamped to 1 us to 600 s."""
        bounded = min(max(int(seconds * _US_PER_S), _LOWEST_US), _HIGHEST_US)
        self._histogram.record_value(bounded)

    def percentiles(self) -> Percentiles:
        """Return the summary; all values are 0 if nothing was recorded."""
        histogram = self._histogram
        return {
            'count': histogram.get_total_count(),
            'p50_s': histogram.get_value_at_percentile(50) / _US_PER_S,
            'p90_s': histogram.get_value_at_percentile(90) / _US_PER_S,
            'p99_s': histogram.get_value_at_percentile(99) / _US_PER_S,
            'max_s': histogram.get_max_value() / _US_PER_S,
        }
