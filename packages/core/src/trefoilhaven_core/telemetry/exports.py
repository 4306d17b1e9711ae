"""Export of metrics in Prometheus text format."""

from collections.abc import Iterator
from typing import Final

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

from trefoilhaven_core.telemetry.metrics import Metrics

_PREFIX: Final = 'trefoilhaven_'


def export_metrics(metrics: Metrics) -> bytes:
    """Return all metrics of a process as text."""
    registry = CollectorRegistry()
    registry.register(_MetricsCollector(metrics))
    return generate_latest(registry)


class _MetricsCollector(Collector):
    """Converts the metrics of a process to Prometheus metric families."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Return the metric families; called by ``generate_latest``."""
        counters: dict[str, Metric] = {}
        for (name, labels), count in self._metrics.read_counters().items():
            family = counters.setdefault(
                name,
                CounterMetricFamily(f'{_PREFIX}{name}', _describe(name)),
            )
            full_name = f'{_PREFIX}{name}_total'
            family.add_sample(full_name, dict(labels), count)
        gauges: dict[str, Metric] = {}
        for (name, labels), value in self._metrics.read_gauges().items():
            family = gauges.setdefault(
                name,
                GaugeMetricFamily(f'{_PREFIX}{name}', _describe(name)),
            )
            family.add_sample(f'{_PREFIX}{name}', dict(labels), value)
        yield from counters.values()
        yield from gauges.values()
        yield from self._collect_histograms()

    def _collect_histograms(self) -> Iterator[Metric]:
        families: dict[str, Metric] = {}
        for (name, labels), histogram in self._metrics.histograms().items():
            full_name = f'{_PREFIX}{name}_seconds'
            family = families.setdefault(
                name,
                SummaryMetricFamily(full_name, _describe(name)),
            )
            own_labels = dict(labels)
            for quantile, time_s in histogram.quantiles_s().items():
                family.add_sample(
                    full_name,
                    own_labels | {'quantile': str(quantile)},
                    time_s,
                )
            family.add_sample(f'{full_name}_count', own_labels, histogram.count)
            family.add_sample(f'{full_name}_sum', own_labels, histogram.sum_s)
        yield from families.values()


def _describe(name: str) -> str:
    return name.replace('_', ' ').capitalize()
