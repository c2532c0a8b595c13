"""Tests that addresses which no socket takes are refused where they come in."""

import json
import socket

import pytest
import trio
from hypothesis import example, given
from hypothesis import strategies as st

from limpetdrift.client import Client
from limpetdrift.platform.endpoint_rows import decode_endpoint
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.node import Node, Role
from limpetdrift.protocol.routing_sync import pack, unpack
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.transport.messages import (
    Address,
    parse_address,
    parse_listen_address,
)
from limpetdrift.verdict import Reason, not_run
from test_platform_decoders import ROW

LONG_LABEL = 'a' * 64
MANY_DIGITS = '9' * 5000
UNUSABLE = (
    '127.0.0.1:80800',
    '127.0.0.1:65536',
    '127.0.0.1:0',
    '127.0.0.1:-1',
    '127.0.0.1:+1',
    '127.0.0.1: 1',
    '127.0.0.1:1_0',
    '127.0.0.1:\u00b2',
    '127.0.0.1:\u0661',
    f'127.0.0.1:{MANY_DIGITS}',
    '127.0.0.1:',
    '127.0.0.1',
    ':80',
    '10.1..9:80',
    '10.1.9:80',
    '10.1.0.256:80',
    f'{LONG_LABEL}.example:80',
    'not-an-address:80',
    'localhost:80',
    '127.0.0.1\0:80',
    'fe80::1%eth0:80',
    '[::1]:80',
    '\u0661.0.0.1:80',
    '',
)
NODE = Node(
    name='e.1',
    incarnation=1,
    role=Role.ENTRY,
    region='r',
    failure_domain='d',
    caller_address=Address(host='127.0.0.1', port=1),
    peer_address=Address(host='127.0.0.1', port=2),
)


@pytest.mark.parametrize('text', UNUSABLE)
def test_row_with_an_address_that_no_socket_takes_names_no_endpoint(text):
    row = json.dumps(ROW | {'address': text}).encode()
    decoded = decode_endpoint('i-1', row)
    assert decoded.is_error()
    assert decoded.error.startswith('address: ')
    assert len(decoded.error) < 200


@example('::1:80')
@example('127.0.0.1:65535')
@given(
    st.text()
    | st.tuples(
        st.ip_addresses().map(str) | st.text(max_size=70),
        st.integers() | st.text(max_size=8),
    ).map(lambda parts: f'{parts[0]}:{parts[1]}')
)
def test_parsed_address_is_one_that_a_socket_takes(text):
    try:
        address = parse_address(text)
    except ValueError:
        return
    assert 1 <= address.port <= 65_535
    flags = socket.AI_NUMERICHOST | socket.AI_NUMERICSERV
    assert socket.getaddrinfo(address.host, address.port, flags=flags)
    assert parse_address(str(address)) == address


def test_port_zero_is_only_to_listen_on():
    assert parse_listen_address('127.0.0.1:0').port == 0
    with pytest.raises(ValueError, match='port'):
        parse_listen_address('127.0.0.1:65536')


@pytest.mark.parametrize(
    'wrong',
    [{'host': 'a..b', 'port': 1}, {'host': '127.0.0.1', 'port': 80800}],
)
def test_message_of_a_peer_with_an_unusable_address_is_refused(wrong):
    message = json.loads(encode(NODE)) | {'peer_address': wrong}
    decoded = decode(encode(message), Node)
    assert decoded.error.reason is Reason.BAD_REQUEST


@pytest.mark.parametrize('text', ['127.0.0.1:80800', '10.1..9:80'])
def test_list_of_a_peer_with_an_unusable_address_is_refused(text):
    listed = {
        'name': 'i-1',
        'lifetime': 1,
        'service': 's',
        'address': text,
        'failure_domain': 'd',
        'slots': 1,
    }
    assert unpack(pack([listed]), tuple[ListedEndpoint, ...]).is_error()


def test_client_skips_alternatives_that_it_can_not_connect_to():
    async def add_alternatives() -> Client:
        client = Client(seeds=(parse_address('127.0.0.1:1'),), key='k')
        client._add_alternatives(
            not_run(
                Reason.DRAINING,
                alternatives=('10.1..9:80', '127.0.0.1:80800', '127.0.0.1:2'),
            )
        )
        return client

    client = trio.run(add_alternatives)
    assert parse_address('127.0.0.1:2') in client._entries
    assert len({each.port for each in client._entries} & {80, 80800}) == 0
