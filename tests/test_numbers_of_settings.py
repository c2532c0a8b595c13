"""Numbers of the settings file that no process can use."""

import json

import pytest

from limpetdrift.platform.settings import decode_settings

SETTINGS = {
    'nodeName': 'e',
    'listen': {},
    'zone': 'z',
    'region': 'r',
    'platform': {'address': '10.0.0.1:80'},
}


@pytest.mark.parametrize('cores', [10**309, -(10**309), 10**4000], ids='abc')
def test_number_that_no_float_holds_is_an_error_of_the_settings(cores):
    """Guards against a traceback in place of the line and the status."""
    payload = json.dumps(SETTINGS | {'limits': {'cores': cores}}).encode()
    assert decode_settings(payload).is_error()
