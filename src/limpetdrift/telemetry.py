"""Records metrics, and exposes them to Prometheus with OpenTelemetry.

Metrics are counted in plain dictionaries, and OpenTelemetry is loaded when they
are read for the first time: loading it takes a fifth of the processor time of a
start, and a message between entries updates four counters. Instruments are
created on first use, so a caller only gives the name and the labels:

>>> count('refusals', reason='draining')

Durations are in seconds.
"""

from collections import Counter
from collections.abc import Callable
from functools import cache
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetdrift.telemetry_export import (
        CounterSums,
        Durations,
        Exporter,
        Gauges,
    )

_counter_sums: 'CounterSums' = {}
_durations: 'Durations' = {}
_gauges: 'Gauges' = {}


def count(name: str, amount: int = 1, **labels: str) -> None:
    """Add to the counter ``limpet_<name>_total``."""
    sums = _counter_sums.get(name)
    if sums is None:
        sums = _counter_sums.setdefault(name, Counter())
    sums[tuple(sorted(labels.items()))] += amount


def observe(name: str, seconds: float, **labels: str) -> None:
    """Record a duration in the histogram ``limpet_<name>``.

    It is rounded to three digits, which bounds the number of different ones
    that are kept until the metrics are read.
    """
    by_labels = _durations.setdefault(name, {})
    recorded = by_labels.setdefault(tuple(sorted(labels.items())), Counter())
    recorded[float(format(seconds, '.3g'))] += 1


def watch(name: str, read: Callable[[], float]) -> None:
    """Register the gauge ``limpet_<name>``, whose value ``read`` returns.

    The function is called whenever the metrics are read.
    """
    _gauges[name] = read


def exposition() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return _exporter().export()


@cache
def _exporter() -> 'Exporter':
    from limpetdrift.telemetry_export import Exporter

    return Exporter(
        counter_sums=_counter_sums, durations=_durations, gauges=_gauges
    )
