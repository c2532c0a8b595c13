"""Exposes recorded metrics to Prometheus with OpenTelemetry."""

from collections import Counter
from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import (
    ExplicitBucketHistogramAggregation,
    View,
)
from prometheus_client import REGISTRY, generate_latest

Labels = tuple[tuple[str, str], ...]
# Sums of all counters, by name and labels.
CounterSums = dict[str, Counter[Labels]]
# Numbers of the durations recorded since the last read, by name and labels.
Durations = dict[str, dict[Labels, Counter[float]]]
# Functions that return the values of gauges, by name.
Gauges = dict[str, Callable[[], float]]

# Upper bounds of the buckets of all histograms named ``*_seconds``. 0.39 is
# the target for the time to first token.
_SECONDS_BUCKETS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.39,
    0.8,
    1.6,
    3.2,
    6.4,
    12.8,
    30.0,
    60.0,
    120.0,
)
_PREFIX = 'limpet_'

_Callback = Callable[[CallbackOptions], Iterable[Observation]]


class Exporter:
    """The OpenTelemetry instruments of the metrics recorded in a process.

    The instruments of new metrics are created when the metrics are read.
    """

    def __init__(
        self,
        *,
        counter_sums: CounterSums,
        durations: Durations,
        gauges: Gauges,
    ) -> None:
        self._counter_sums = counter_sums
        self._durations = durations
        self._gauges = gauges
        self._created: set[str] = set()
        provider = MeterProvider(
            metric_readers=[PrometheusMetricReader()],
            views=[
                View(
                    instrument_name='*_seconds',
                    aggregation=ExplicitBucketHistogramAggregation(
                        _SECONDS_BUCKETS,
                    ),
                ),
            ],
        )
        self._meter = provider.get_meter('limpetdrift')

    def export(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        for name in self._new_names(self._counter_sums):
            self._meter.create_observable_counter(
                _PREFIX + name, callbacks=[self._read_counter(name)]
            )
        for name in self._new_names(self._gauges):
            self._meter.create_observable_gauge(
                _PREFIX + name, callbacks=[self._read_gauge(name)]
            )
        self._record_durations()
        return generate_latest(REGISTRY)

    def _new_names(self, recorded: Iterable[str]) -> list[str]:
        new = [name for name in recorded if name not in self._created]
        self._created.update(new)
        return new

    def _read_counter(self, name: str) -> _Callback:
        def read(options: CallbackOptions) -> Iterable[Observation]:
            return [
                Observation(amount, dict(labels))
                for labels, amount in self._counter_sums[name].items()
            ]

        return read

    def _read_gauge(self, name: str) -> _Callback:
        def read(options: CallbackOptions) -> Iterable[Observation]:
            return (Observation(self._gauges[name]()),)

        return read

    def _record_durations(self) -> None:
        for name, by_labels in self._durations.items():
            histogram = self._meter.create_histogram(_PREFIX + name)
            for labels, recorded in by_labels.items():
                for seconds in recorded.elements():
                    histogram.record(seconds, dict(labels))
                recorded.clear()
