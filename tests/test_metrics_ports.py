"""The port of the metrics, which the environment names."""

from types import SimpleNamespace

import pytest

from limpetdrift.platform.metrics import PORT_VARIABLE, metrics_address
from limpetdrift.transport.messages import Address

SETTINGS = SimpleNamespace(
    listeners=SimpleNamespace(callers=Address(host='127.0.0.1', port=80))
)


@pytest.mark.parametrize('port', ['65536', '0', '-1', '8x', '9' * 5000, '٣'])
def test_bad_port_ends_no_start(monkeypatch, caplog, port):
    """Guards against an entry that serves nobody for want of metrics."""
    monkeypatch.setenv(PORT_VARIABLE, port)
    assert metrics_address(SETTINGS) is None
    assert 'bad port' in caplog.text


@pytest.mark.parametrize(
    ('port', 'found'),
    [('', None), ('65535', Address(host='127.0.0.1', port=65535))],
)
def test_sound_port_is_used(monkeypatch, port, found):
    monkeypatch.setenv(PORT_VARIABLE, port)
    assert metrics_address(SETTINGS) == found
