"""Tests that operators see which build an entry runs.

With builds side by side, nothing told them apart.
"""

from limpetdrift import telemetry
from limpetdrift.build_version import (
    UNKNOWN_VERSION,
    read_build_version,
    report_build_version,
)


def test_version_is_read_from_the_file_of_the_build(tmp_path):
    path = tmp_path / 'build-version.txt'
    path.write_text('1a3e010\n')
    assert read_build_version(path) == '1a3e010'


def test_missing_or_unreadable_version_is_unknown(tmp_path):
    assert read_build_version(tmp_path / 'absent') == UNKNOWN_VERSION
    garbled = tmp_path / 'garbled'
    garbled.write_bytes(b'\xff\xfe\n')
    assert read_build_version(garbled) == UNKNOWN_VERSION
    garbled.write_text('\n')
    assert read_build_version(garbled) == UNKNOWN_VERSION


def test_build_is_counted_by_version():
    report_build_version('edge-1')
    assert b'limpet_starts_total{build="unknown"' in telemetry.exposition()
