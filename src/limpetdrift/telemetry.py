"""Records metrics with OpenTelemetry and exposes them to Prometheus.

Instruments are created on first use and cached by name, so a caller only
gives the name and the labels:

>>> count('refusals', reason='draining')

Durations are in seconds.
"""

from collections.abc import Callable, Iterable
from functools import cache

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import (
    CallbackOptions,
    Counter,
    Histogram,
    Meter,
    Observation,
)
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import (
    ExplicitBucketHistogramAggregation,
    View,
)
from prometheus_client import REGISTRY, generate_latest

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


@cache
def _meter() -> Meter:
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
    return provider.get_meter('limpetdrift')


@cache
def _counter(name: str) -> Counter:
    return _meter().create_counter(f'limpet_{name}')


@cache
def _histogram(name: str) -> Histogram:
    return _meter().create_histogram(f'limpet_{name}')


def count(name: str, amount: int = 1, **labels: str) -> None:
    """Add to the counter ``limpet_<name>_total``."""
    _counter(name).add(amount, labels)


def observe(name: str, seconds: float, **labels: str) -> None:
    """Record a duration in the histogram ``limpet_<name>``."""
    _histogram(name).record(seconds, labels)


def watch(name: str, read: Callable[[], float]) -> None:
    """Register the gauge ``limpet_<name>``, whose value ``read`` returns.

    The function is called whenever the metrics are read.
    """

    def observe_now(options: CallbackOptions) -> Iterable[Observation]:
        return (Observation(read()),)

    _meter().create_observable_gauge(
        f'limpet_{name}',
        callbacks=[observe_now],
    )


def exposition() -> bytes:
    """Return all metrics in the Prometheus text format."""
    _meter()
    return generate_latest(REGISTRY)
