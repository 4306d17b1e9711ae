"""Counters, gauges and HDR histograms in Prometheus text format.

Label values must come from a bounded set, such as services and reasons,
never from flows or request keys.
"""

from collections.abc import Callable, Iterator
from typing import Final

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

from trefoilhaven_core.settings import defaults

QUANTILES: Final = (0.5, 0.9, 0.99, 0.999)

_PREFIX: Final = 'trefoilhaven_'
_US_PER_S: Final = 1_000_000
_PERCENT: Final = 100

_Labels = tuple[tuple[str, str], ...]
_Series = tuple[str, _Labels]


class Counter:
    """A count that only grows."""

    __slots__ = ('count',)

    def __init__(self) -> None:
        """Start at 0."""
        self.count: float = 0

    def add(self, amount: float = 1) -> None:
        """Add an amount, which is not negative."""
        self.count += amount


class Histogram:
    """Distribution of times in seconds, to 2 significant digits.

    A histogram takes about 27 KB, which limits the label values.
    """

    __slots__ = ('_recorded', 'count', 'sum_s')

    def __init__(self) -> None:
        """Start empty."""
        self.count = 0
        self.sum_s: float = 0
        self._recorded = HdrHistogram(
            int(defaults.HISTOGRAM_LOWEST_S * _US_PER_S),
            int(defaults.HISTOGRAM_HIGHEST_S * _US_PER_S),
            defaults.HISTOGRAM_DIGITS,
        )

    def observe(self, time_s: float) -> None:
        """Record a time; times outside the range count as its bounds."""
        bounded_s = min(
            max(time_s, defaults.HISTOGRAM_LOWEST_S),
            defaults.HISTOGRAM_HIGHEST_S,
        )
        self.count += 1
        self.sum_s += bounded_s
        self._recorded.record_value(int(bounded_s * _US_PER_S))

    def quantiles_s(self) -> dict[float, float]:
        """Return the quantiles in seconds, all 0 when nothing is recorded.

        One pass over the counts takes about 0.4 ms, so that all quantiles
        are read together.
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


class Metrics(Collector):
    """All metrics of one process.

    Keep the returned counter or histogram where it is used often:

        dropped = metrics.counter('dropped_packets', reason='malformed')
        dropped.add()
    """

    def __init__(self) -> None:
        """Start without metrics."""
        self._counters: dict[_Series, Counter] = {}
        self._totals: dict[_Series, Callable[[], float]] = {}
        self._gauges: dict[_Series, Callable[[], float]] = {}
        self._histograms: dict[_Series, Histogram] = {}
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def counter(self, name: str, **labels: str) -> Counter:
        """Return the counter of a name and labels."""
        return self._counters.setdefault(_series(name, labels), Counter())

    def histogram(self, name: str, **labels: str) -> Histogram:
        """Return the histogram of a name and labels; its unit is seconds."""
        series = _series(name, labels)
        if series not in self._histograms:
            self._histograms[series] = Histogram()
        return self._histograms[series]

    def total(
        self,
        name: str,
        read: Callable[[], float],
        **labels: str,
    ) -> None:
        """Export as a counter what ``read`` returns, a count kept elsewhere."""
        self._totals[_series(name, labels)] = read

    def gauge(
        self,
        name: str,
        read: Callable[[], float],
        **labels: str,
    ) -> None:
        """Export what ``read`` returns at the time of each export."""
        self._gauges[_series(name, labels)] = read

    def counts(self) -> dict[str, float]:
        """Return all counters as text, for status replies."""
        return {
            _format_series(series): count
            for series, count in sorted(self._read_counters().items())
        }

    def export(self) -> bytes:
        """Return all metrics in Prometheus text format."""
        return generate_latest(self._registry)

    def collect(self) -> Iterator[Metric]:
        """Return the metric families; called by the export."""
        counters: dict[str, Metric] = {}
        for (name, labels), count in self._read_counters().items():
            family = counters.setdefault(
                name,
                CounterMetricFamily(f'{_PREFIX}{name}', _describe(name)),
            )
            full_name = f'{_PREFIX}{name}_total'
            family.add_sample(full_name, dict(labels), count)
        gauges: dict[str, Metric] = {}
        for (name, labels), read in self._gauges.items():
            family = gauges.setdefault(
                name,
                GaugeMetricFamily(f'{_PREFIX}{name}', _describe(name)),
            )
            family.add_sample(f'{_PREFIX}{name}', dict(labels), read())
        yield from counters.values()
        yield from gauges.values()
        yield from self._collect_histograms()

    def _read_counters(self) -> dict[_Series, float]:
        counts = {
            series: counter.count for series, counter in self._counters.items()
        }
        return counts | {
            series: read() for series, read in self._totals.items()
        }

    def _collect_histograms(self) -> Iterator[Metric]:
        families: dict[str, Metric] = {}
        for (name, labels), histogram in self._histograms.items():
            full_name = f'{_PREFIX}{name}_seconds'
            family = families.setdefault(
                name,
                SummaryMetricFamily(full_name, _describe(name)),
            )
            fixed = dict(labels)
            for quantile, time_s in histogram.quantiles_s().items():
                family.add_sample(
                    full_name,
                    fixed | {'quantile': str(quantile)},
                    time_s,
                )
            family.add_sample(f'{full_name}_count', fixed, histogram.count)
            family.add_sample(f'{full_name}_sum', fixed, histogram.sum_s)
        yield from families.values()


def _series(name: str, labels: dict[str, str]) -> _Series:
    return name, tuple(sorted(labels.items()))


def _describe(name: str) -> str:
    return name.replace('_', ' ').capitalize()


def _format_series(series: _Series) -> str:
    name, labels = series
    listing = ','.join(f'{key}={text}' for key, text in labels)
    return f'{name}{{{listing}}}' if listing else name
