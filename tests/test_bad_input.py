"""Connections of the server: limits on input, and order of responses.

A request over a limit or with broken syntax gets a 4xx response and reaches
no handler.
"""

import pytest
import trio
from trio.testing import lockstep_stream_pair, memory_stream_pair

from limpetdrift.transport.connection import ServerLimits
from limpetdrift.transport.messages import Response
from limpetdrift.transport.server import Server
from virtual_time import in_virtual_time

LIMITS = ServerLimits(
    body_bytes=100,
    header_bytes=2000,
    head_seconds=5.0,
    body_seconds=5.0,
    write_seconds=5.0,
    idle_seconds=30.0,
)
HOST = b'Host: a\r\n'


class ServerHarness:
    """A server whose connections are pairs of memory streams."""

    def __init__(self, nursery):
        self.handled = []
        self.nursery = nursery
        self.server = Server(handler=self.handle, limits=LIMITS)

    async def handle(self, exchange):
        self.handled.append(exchange.request)
        body = (
            b'x' * 200_000 + b'end'
            if exchange.request.path == '/big'
            else b'ok'
        )
        await exchange.respond(Response(status=200, body=body))

    def connect(self, pair=memory_stream_pair):
        client_end, server_end = pair()
        self.nursery.start_soon(self.server.handle_stream, server_end)
        return client_end


async def read_status(stream):
    received = await stream.receive_some(4096)
    return int(received.split()[1]) if received else None


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'nonsense\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\n' + HOST + b'a: b\r\n' * 1000 + b'\r\n', 431),
        (b'GET / HTTP/1.1\r\n' + HOST + b'a: ' + b'b' * 9000, 431),
        (
            b'POST / HTTP/1.1\r\n' + HOST + b'Content-Length: 101\r\n\r\n',
            413,
        ),
        (
            b'POST / HTTP/1.1\r\n'
            + HOST
            + b'Transfer-Encoding: chunked\r\n\r\n80\r\n'
            + b'x' * 128
            + b'\r\n',
            413,
        ),
        (b'POST / HTTP/1.1\r\n' + HOST + b'Content-Length: -1\r\n\r\n', 400),
        (b'POST / HTTP/1.1\r\n' + HOST + b'Content-Length: 9\r\n\r\nhal', 408),
        (b'GET / HT', 408),
    ],
)
def test_bad_input_gets_its_status_and_reaches_no_handler(sent, status):
    @in_virtual_time
    async def body():
        async with trio.open_nursery() as nursery:
            harness = ServerHarness(nursery)
            stream = harness.connect()
            await stream.send_all(sent)
            assert await read_status(stream) == status
            assert not harness.handled
            nursery.cancel_scope.cancel()

    body()


@in_virtual_time
async def test_slow_sender_does_not_delay_other_connections():
    async with trio.open_nursery() as nursery:
        harness = ServerHarness(nursery)
        slow = harness.connect()
        await slow.send_all(b'POST / HTTP/1.1\r\n')
        started_at = trio.current_time()
        quick = harness.connect()
        await quick.send_all(b'GET / HTTP/1.1\r\n' + HOST + b'\r\n')
        assert await read_status(quick) == 200
        assert trio.current_time() - started_at < 1.0
        nursery.cancel_scope.cancel()


@in_virtual_time
async def test_head_at_one_byte_a_second_times_out():
    async with trio.open_nursery() as nursery:
        harness = ServerHarness(nursery)
        stream = harness.connect()

        async def trickle():
            for byte in b'GET / HTTP/1.1\r\n' + HOST:
                await trio.sleep(1.0)
                await stream.send_all(bytes([byte]))

        nursery.start_soon(trickle)
        with trio.fail_after(LIMITS.head_seconds + 2.0):
            assert await read_status(stream) == 408
        nursery.cancel_scope.cancel()


@in_virtual_time
async def test_half_closed_connection_gets_its_response():
    async with trio.open_nursery() as nursery:
        harness = ServerHarness(nursery)
        stream = harness.connect()
        await stream.send_all(b'GET / HTTP/1.1\r\n' + HOST + b'\r\n')
        await stream.send_eof()
        assert await read_status(stream) == 200
        with trio.fail_after(1.0):
            while await stream.receive_some(4096):
                assert harness.handled
        nursery.cancel_scope.cancel()


@in_virtual_time
async def test_requests_on_one_connection_are_served_in_order():
    async with trio.open_nursery() as nursery:
        harness = ServerHarness(nursery)
        stream = harness.connect()
        for path in (b'/1', b'/2'):
            await stream.send_all(
                b'GET ' + path + b' HTTP/1.1\r\n' + HOST + b'\r\n'
            )
            assert await read_status(stream) == 200
        assert [each.path for each in harness.handled] == ['/1', '/2']
        nursery.cancel_scope.cancel()


@in_virtual_time
async def test_server_is_idle_only_after_last_byte_is_read():
    async with trio.open_nursery() as nursery:
        harness = ServerHarness(nursery)
        stream = harness.connect(lockstep_stream_pair)
        await stream.send_all(b'GET /big HTTP/1.1\r\n' + HOST + b'\r\n')
        with trio.move_on_after(1.0) as waited:
            await harness.server.wait_idle()
        assert waited.cancelled_caught
        received = b''
        while not received.endswith(b'x' * 1000 + b'end'):
            received += await stream.receive_some(65_536)
        with trio.fail_after(1.0):
            await harness.server.wait_idle()
        nursery.cancel_scope.cancel()
