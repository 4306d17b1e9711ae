"""Counters, gauges and HDR histograms in Prometheus text format.

Label values must come from a bounded set, such as services or reasons,
never from flows or request keys.
"""

from collections.abc import Callable
from typing import Final

from hdrh.histogram import HdrHistogram

from trefoilhaven_core.settings import defaults

QUANTILES: Final = (0.5, 0.9, 0.99, 0.999)

_US_PER_S: Final = 1_000_000
_PERCENT: Final = 100

Labels = tuple[tuple[str, str], ...]
Series = tuple[str, Labels]


class Counter:
    """A count that only grows."""

    __slots__ = ('count',)

    def __init__(self) -> None:
        self.count: float = 0

    def add(self, amount: float = 1) -> None:
        """Add an amount, which must not be negative."""
        self.count += amount


class Histogram:
    """Distribution of durations in seconds, to 2 significant digits.

    A histogram takes about 27 KB, so that its labels must have few values.
    """

    __slots__ = ('_recorded', 'count', 'sum_s')

    def __init__(self) -> None:
        self.count = 0
        self.sum_s: float = 0
        self._recorded = HdrHistogram(
            int(defaults.HISTOGRAM_LOWEST_S * _US_PER_S),
            int(defaults.HISTOGRAM_HIGHEST_S * _US_PER_S),
            defaults.HISTOGRAM_DIGITS,
        )

    def observe(self, time_s: float) -> None:
        """Record a duration, clamped to the range of the histogram."""
        bounded_s = min(
            max(time_s, defaults.HISTOGRAM_LOWEST_S),
            defaults.HISTOGRAM_HIGHEST_S,
        )
        self.count += 1
        self.sum_s += bounded_s
        self._recorded.record_value(int(bounded_s * _US_PER_S))

    def quantiles_s(self) -> dict[float, float]:
        """Return the quantiles in seconds, all 0 if nothing was recorded.

        All quantiles are read in one pass over the counts, since a pass
        takes about 0.4 ms.
        """
        if not self.count:
            return dict.fromkeys(QUANTILES, 0)
        found = self._recorded.get_percentile_to_value_dict(
            [quantile * _PERCENT for quantile in QUANTILES],
        )
        return {
            quantile: found[quantile * _PERCENT] / _US_PER_S
            for quantile in QUANTILES
        }


class Metrics:
    """All metrics of one process.

    Frequent users keep a reference to the returned counter or histogram:

        dropped = metrics.counter('dropped_packets', reason='malformed')
        dropped.add()
    """

    def __init__(self) -> None:
        self._counters: dict[Series, Counter] = {}
        self._observable_counters: dict[Series, Callable[[], float]] = {}
        self._gauges: dict[Series, Callable[[], float]] = {}
        self._histograms: dict[Series, Histogram] = {}

    def counter(self, name: str, **labels: str) -> Counter:
        """Return the counter with a name and labels, created when missing."""
        return self._counters.setdefault(_series(name, labels), Counter())

    def histogram(self, name: str, **labels: str) -> Histogram:
        """Return the histogram with a name and labels; its unit is seconds."""
        series = _series(name, labels)
        if series not in self._histograms:
            self._histograms[series] = Histogram()
        return self._histograms[series]

    def observable_counter(
        self,
        name: str,
        read: Callable[[], float],
        **labels: str,
    ) -> None:
        """Export a count kept elsewhere; ``read`` returns it."""
        self._observable_counters[_series(name, labels)] = read

    def gauge(
        self,
        name: str,
        read: Callable[[], float],
        **labels: str,
    ) -> None:
        """Export the value that ``read`` returns at each export."""
        self._gauges[_series(name, labels)] = read

    def counts(self) -> dict[str, float]:
        """Return all counts by name and labels as text, for status replies."""
        return {
            _format_series(series): count
            for series, count in sorted(self.read_counters().items())
        }

    def export(self) -> bytes:
        """Return all metrics in Prometheus text format."""
        # Importing the library takes 70 ms, which is too long for the start
        # of a process on a small host.
        from trefoilhaven_core.telemetry.exports import (  # noqa: PLC0415
            export_metrics,
        )

        return export_metrics(self)

    def read_counters(self) -> dict[Series, float]:
        """Return all counts by series."""
        counts = {
            series: counter.count for series, counter in self._counters.items()
        }
        return counts | {
            series: read() for series, read in self._observable_counters.items()
        }

    def read_gauges(self) -> dict[Series, float]:
        """Return the current values of all gauges by series."""
        return {series: read() for series, read in self._gauges.items()}

    def histograms(self) -> dict[Series, Histogram]:
        """Return all histograms by series."""
        return dict(self._histograms)


def _series(name: str, labels: dict[str, str]) -> Series:
    return name, tuple(sorted(labels.items()))


def _format_series(series: Series) -> str:
    name, labels = series
    listing = ','.join(f'{key}={text}' for key, text in labels)
    return f'{name}{{{listing}}}' if listing else name
