"""Callers get a whole answer to any response of an endpoint."""

from dataclasses import replace

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from limpetdrift.transport.client import ClientLimits, HttpClient
from limpetdrift.transport.messages import Address, Request, Response
from limpetdrift.transport.server import bound_address, listen
from server_harness import ServerHarness, read_all

FRAMING = frozenset(('connection', 'content-length', 'transfer-encoding'))
REQUEST = (
    b'GET /x HTTP/1.1\r\nHost: a\r\nx: caf\xe9\r\nConnection: close\r\n\r\n'
)


def make_relay(address):
    """Return a handler that relays the responses at an address."""
    client = HttpClient(limits=ClientLimits(idle_connections=0))

    async def forward(exchange):
        answer = await client.fetch(
            address,
            Request(
                method='GET',
                path='/x',
                headers=(('x', exchange.request.header('x')),),
            ),
            timeout_seconds=5,
        )
        response = Response(status=502)
        if answer.is_ok():
            headers = tuple(
                pair for pair in answer.ok.headers if pair[0] not in FRAMING
            )
            response = replace(answer.ok, headers=headers)
        await exchange.respond(response)

    return forward


def relay(endpoint_response):
    """Return what a caller gets from a server that relays such a response."""
    received = []

    async def serve_endpoint(stream):
        async with stream:
            await stream.receive_some(4096)
            await stream.send_all(endpoint_response)

    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await listen(Address(host='127.0.0.1', port=0))
            address = bound_address(listeners)
            nursery.start_soon(trio.serve_listeners, serve_endpoint, listeners)
            harness = ServerHarness(
                nursery=nursery, handler=make_relay(address)
            )
            stream = harness.connect()
            await stream.send_all(REQUEST)
            with trio.fail_after(20):
                received.append(await read_all(stream))
            nursery.cancel_scope.cancel()

    trio.run(main)
    return received[0]


@pytest.mark.parametrize(
    ('head', 'status'),
    [
        (b'HTTP/1.1 200 OK\r\nx-note: caf\xe9\r\nContent-Length: 2\r\n', 200),
        (b'HTTP/1.1 200 OK\r\nx-note: a\tb\r\nContent-Length: 2\r\n', 200),
        (b'HTTP/1.0 200 OK\r\n', 200),
        (b'HTTP/1.1 204 No\r\n', 204),
        (b'HTTP/1.1 101 Go\r\nUpgrade: x\r\n', 502),
        (b'HTTP/1.1 099 Odd\r\nContent-Length: 2\r\n', 502),
        (b'HTTP/1.1 999 Odd\r\nContent-Length: 2\r\n', 999),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n', 200),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n', 502),
        (b'HTTP/1.1 200 OK\r\nContent-Length: -9\r\n', 502),
        (b'HTTP/1.1 200 OK\r\nx: a\x00b\r\nContent-Length: 2\r\n', 502),
    ],
)
def test_odd_endpoint_responses_get_a_whole_answer(head, status):
    received = relay(head + b'\r\nok')
    assert received.startswith(b'HTTP/1.1 %d ' % status)


@given(
    value=st.binary(max_size=20),
    status=st.integers(min_value=0, max_value=1010),
)
def test_any_endpoint_head_gets_a_whole_answer(value, status):
    head = b'HTTP/1.1 %03d X\r\nx: %s\r\nContent-Length: 2\r\n\r\nok'
    assert relay(head % (status, value)).startswith(b'HTTP/1.1 ')
