"""Tests that recorded metrics are exposed, and loaded only when read."""

import subprocess
import sys

from limpetdrift import telemetry


def exposed_lines() -> list[str]:
    return telemetry.exposition().decode().splitlines()


def value_of(start: str) -> float:
    """Return the value of the only line that begins with ``start``."""
    found = [each for each in exposed_lines() if each.startswith(start)]
    assert len(found) == 1
    return float(found[0].rpartition(' ')[2])


def test_counters_add_up_over_several_reads():
    telemetry.count('test_calls', path='a')
    assert value_of('limpet_test_calls_total{') == 1
    telemetry.count('test_calls', 4, path='a')
    assert value_of('limpet_test_calls_total{') == 5


def test_labels_are_the_same_in_any_order():
    telemetry.count('test_pairs', path='a', outcome='b')
    telemetry.count('test_pairs', outcome='b', path='a')
    assert value_of('limpet_test_pairs_total{') == 2


def test_durations_are_counted_once_in_their_buckets():
    for seconds in (0.004, 0.3, 0.3):
        telemetry.observe('test_wait_seconds', seconds, kind='k')
    exposed_lines()
    telemetry.observe('test_wait_seconds', 50.0, kind='k')
    assert value_of('limpet_test_wait_seconds_count{') == 4
    assert value_of('limpet_test_wait_seconds_bucket{kind="k",le="0.39"') == 3
    assert abs(value_of('limpet_test_wait_seconds_sum{') - 50.604) < 0.001


def test_gauge_has_its_value_at_the_time_of_the_read():
    values = [1.0]
    telemetry.watch('test_level', lambda: values[-1])
    assert value_of('limpet_test_level{') == 1
    values.append(2.5)
    assert value_of('limpet_test_level{') == 2.5


def test_entry_starts_without_loading_the_exporter():
    """Guards the start after all entries were lost, which callers wait for."""
    code = (
        'import sys, limpetdrift.platform.program;'
        'sys.exit("opentelemetry" in sys.modules)'
    )
    assert (
        subprocess.run([sys.executable, '-c', code], check=False).returncode
        == 0
    )
