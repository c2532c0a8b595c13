"""Answers with neither a length nor chunks, which end with their connection."""

import socket
import struct

import trio

from forward_harness import FakeExchange, ForwardHarness, events, make_route
from limpetdrift.coordination.forwarding.endpoint_response import (
    EndpointResponse,
)
from limpetdrift.protocol.route_table import RequestKind
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Request
from limpetdrift.transport.server import bound_address, listen
from limpetdrift.verdict import Reason, Verdict
from virtual_time import in_virtual_time

HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n'
# Abortive close: the connection is reset at once.
LINGER = struct.pack('ii', 1, 0)


def unframed(*chunks: bytes) -> EndpointResponse:
    """Return a response whose body ends with its connection."""

    async def body():
        for chunk in chunks:
            yield chunk

    return EndpointResponse(status=200, headers=(), chunks=body, framed=False)


def event(number: int) -> bytes:
    return f'id: {number}\ndata: x\n\n'.encode()


async def serve(harness: ForwardHarness, **changes: object) -> FakeExchange:
    exchange = FakeExchange()
    await harness.serve(make_route(**changes), exchange)
    return exchange


def fetch(*, is_reset: bool):
    """Fetch an unframed answer that ends or is reset on the way."""

    async def answer(stream: trio.SocketStream) -> None:
        await stream.receive_some(1000)
        await stream.send_all(HEAD + b'first ')
        await trio.sleep(0.05)
        await stream.send_all(b'second')
        if is_reset:
            await trio.sleep(0.05)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
        stream.socket.close()

    async def run():
        async with trio.open_nursery() as nursery:
            listeners = await listen(Address(host='127.0.0.1', port=0))
            nursery.start_soon(trio.serve_listeners, answer, listeners)
            result = await HttpClient().fetch(
                bound_address(listeners),
                Request(method='GET', path='/x'),
                timeout_seconds=3,
            )
            nursery.cancel_scope.cancel()
        return result

    return trio.run(run)


def test_unframed_answer_is_whole_when_its_connection_ends():
    assert fetch(is_reset=False).ok.body == b'first second'


def test_unframed_answer_that_is_reset_is_not_whole():
    failure = fetch(is_reset=True).error
    assert failure.reason is Reason.CONNECTION_BROKEN
    assert failure.verdict is Verdict.MAY_HAVE_RUN


@in_virtual_time
async def test_unframed_plain_answer_is_passed_on_whole():
    harness = ForwardHarness(unframed(b'first ', b'second'))
    exchange = await serve(harness, kind=RequestKind.IDEMPOTENT)
    assert exchange.response.body == b'first second'
    assert len(harness.sent) == 1


@in_virtual_time
async def test_unframed_stream_is_whole_when_it_ends_after_an_event():
    harness = ForwardHarness(unframed(event(1), event(2)))
    exchange = await serve(harness)
    assert exchange.finished
    assert exchange.payload == event(1) + event(2)
    assert len(harness.sent) == 1


@in_virtual_time
async def test_unframed_stream_that_ends_inside_an_event_is_resumed():
    harness = ForwardHarness(unframed(event(1), b'id: 2\nda'), events(1, 3))
    exchange = await serve(harness)
    assert exchange.finished
    assert exchange.payload == event(1) + event(2) + event(3)
    assert [each.last_event for each in harness.sent] == [None, 1]


@in_virtual_time
async def test_unframed_stream_that_ends_inside_an_event_does_not_look_whole():
    harness = ForwardHarness(unframed(event(1), b'id: 2\nda'))
    exchange = await serve(harness, resumable=False, attempt_limit=1)
    assert exchange.aborted
    assert not exchange.finished


@in_virtual_time
async def test_unframed_stream_without_any_event_is_tried_elsewhere():
    """A crash closes a connection just as the end of an answer does."""
    harness = ForwardHarness(unframed(), events(1, 2))
    exchange = await serve(harness)
    assert exchange.payload == event(1) + event(2)
    assert len(harness.broken) == 1
