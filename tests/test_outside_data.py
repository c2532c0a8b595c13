"""Tests that data from outside the process is decoded or is one error.

Whatever the bytes are, a decoder returns a value that can't fail later, or
its error, and within a bounded time.
"""

import pytest

from limpetdrift.platform.configuration import decode_route_table
from limpetdrift.platform.endpoint_rows import decode_endpoint
from limpetdrift.platform.reports import decode_report
from limpetdrift.platform.settings import decode_settings
from limpetdrift.protocol.codec import decode
from limpetdrift.protocol.gossip import GossipMessage
from test_platform_decoders import ENGINE

DECODERS = {
    'report': lambda payload: decode_report(payload, ENGINE),
    'endpoint': lambda payload: decode_endpoint('i-1', payload),
    'configuration': decode_route_table,
    'settings': decode_settings,
    'message': lambda payload: decode(payload, GossipMessage),
}
SPOILED = {
    'nested': b'{"x":' + b'[' * 40_000,
    'nested whole': b'{"x":' + b'[' * 40_000 + b']' * 40_000 + b'}',
    'objects': b'{"x":' * 40_000,
    'not UTF-8': b'{"service":"\xff"}',
    'lone surrogate': b'{"service":"' + bytes([92]) + b'ud800"}',
    'not a number': b'{"pace":NaN}',
    'infinite': b'{"pace":1e400}',
    'text': b'nonsense',
}


# Guards against a report of an engine that ended each process that read it.
@pytest.mark.parametrize('decoder', sorted(DECODERS))
@pytest.mark.parametrize('spoiled', sorted(SPOILED))
def test_spoiled_bytes_are_an_error(decoder, spoiled):
    DECODERS[decoder](SPOILED[spoiled])


@pytest.mark.parametrize('spoiled', ['nested', 'nested whole', 'objects'])
def test_a_report_that_is_nested_too_deeply_is_an_error(spoiled):
    assert decode_report(SPOILED[spoiled], ENGINE).is_error()
