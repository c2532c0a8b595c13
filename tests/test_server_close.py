"""A server that closes answers the requests that it has begun to read."""

import socket
import time

import pytest
import trio
from trio.testing import memory_stream_pair

from limpetdrift.transport.messages import Address, Response
from limpetdrift.transport.server import Server, bound_address, listen
from server_harness import HEAD, ServerHarness, read_all
from virtual_time import in_virtual_time

LONG = b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf '


async def refuse(exchange):
    await exchange.respond(Response(status=503, body=b'draining'))


async def never_answer(exchange):
    await trio.sleep_forever()


async def stream_without_end(exchange):
    await exchange.start(200)
    await trio.sleep_forever()


@in_virtual_time
async def test_half_read_request_is_answered_before_the_server_closes():
    async with trio.open_nursery() as nursery:
        harness = ServerHarness(nursery=nursery, handler=refuse)
        stream = harness.connect()
        await stream.send_all(LONG)
        await trio.sleep(1)
        nursery.start_soon(harness.server.close, 2.0)
        await trio.sleep(1)
        await stream.send_all(b'whole')
        received = await read_all(stream)
    assert received.startswith(b'HTTP/1.1 503 ')
    assert b'connection: close' in received.lower()
    assert received.endswith(b'draining')


@pytest.mark.parametrize('delay', [0.0, 0.001, 0.04])
@in_virtual_time
async def test_request_that_arrives_as_the_server_closes_is_answered(delay):
    async with trio.open_nursery() as nursery:
        harness = ServerHarness(nursery=nursery, handler=refuse)
        stream = harness.connect()
        await trio.sleep(1)
        nursery.start_soon(harness.server.close, 2.0)
        await trio.sleep(delay)
        await stream.send_all(HEAD)
        assert (await read_all(stream)).endswith(b'draining')


@in_virtual_time
async def test_idle_connections_do_not_delay_the_close():
    async with trio.open_nursery() as nursery:
        harness = ServerHarness(nursery=nursery, handler=refuse)
        for _ in range(20):
            harness.connect()
        await trio.sleep(1)
        with trio.fail_after(0.1):
            await harness.server.close(2.0)


@in_virtual_time
async def test_request_that_never_ends_delays_the_close_up_to_the_timeout():
    async with trio.open_nursery() as nursery:
        harness = ServerHarness(nursery=nursery, handler=refuse)
        stream = harness.connect()
        await stream.send_all(LONG)
        started_at = trio.current_time()
        await harness.server.close(2.0)
        assert 2.0 <= trio.current_time() - started_at < 2.3
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('handler', 'start'),
    [
        (never_answer, b'HTTP/1.1 500 '),
        (stream_without_end, b'HTTP/1.1 200 '),
    ],
)
@in_virtual_time
async def test_requests_that_outlast_the_close_get_a_failure(handler, start):
    async with trio.open_nursery() as nursery:
        harness = ServerHarness(nursery=nursery, handler=handler)
        stream = harness.connect()
        await stream.send_all(HEAD)
        nursery.start_soon(harness.server.close, 2.0)
        assert (await read_all(stream)).startswith(start)


async def start_server(nursery):
    """Serve on a free port; return the server and its address."""
    server = Server(handler=refuse)
    listeners = await listen(Address(host='127.0.0.1', port=0))
    await nursery.start(server.serve, listeners)
    return server, bound_address(listeners)


def test_connections_are_refused_once_the_server_has_closed():
    async def run():
        async with trio.open_nursery() as nursery:
            server, address = await start_server(nursery)
            stream = await trio.open_tcp_stream(address.host, address.port)
            await stream.send_all(HEAD)
            with trio.fail_after(10):
                await server.close(5.0)
            assert (await read_all(stream)).endswith(b'draining')
            with pytest.raises(OSError, match='all attempts'):
                await trio.open_tcp_stream(address.host, address.port)

    trio.run(run)


def send_request(address):
    peer = socket.create_connection((address.host, address.port))
    peer.sendall(HEAD)
    return peer


def check_answers(peers):
    for peer in peers:
        with peer:
            assert peer.recv(65_536).endswith(b'draining')


def test_request_on_a_connection_that_is_not_served_yet_is_answered():
    """The system accepts connections before the server knows of them."""

    async def run():
        async with trio.open_nursery() as nursery:
            server, address = await start_server(nursery)
            peers = [send_request(address) for _ in range(30)]
            with trio.fail_after(10):
                await server.close(5.0)
        check_answers(peers)

    trio.run(run)


def test_requests_in_the_queue_of_a_busy_server_are_answered():
    """The process doesn't run for a moment after the close has begun."""

    async def run():
        async with trio.open_nursery() as nursery:
            server, address = await start_server(nursery)
            peers = [send_request(address) for _ in range(60)]
            closed = trio.Event()

            async def close():
                await server.close(5.0)
                closed.set()

            nursery.start_soon(close)
            await trio.lowlevel.checkpoint()
            await trio.lowlevel.checkpoint()
            time.sleep(0.1)  # noqa: ASYNC251
            with trio.fail_after(10):
                await closed.wait()
            nursery.cancel_scope.cancel()
        check_answers(peers)

    trio.run(run)


class SteadyListener(trio.abc.Listener):
    """A listener with a new connection at each interval, without an end."""

    def __init__(self, interval_seconds):
        self.is_closed = False
        self._interval_seconds = interval_seconds
        self._peers = []

    async def accept(self):
        await trio.sleep(self._interval_seconds)
        peer, stream = memory_stream_pair()
        self._peers.append(peer)
        return stream

    async def aclose(self):
        self.is_closed = True


@in_virtual_time
async def test_server_to_which_callers_go_on_connecting_closes_in_time():
    server = Server(handler=refuse)
    listener = SteadyListener(0.004)
    async with trio.open_nursery() as nursery:
        await nursery.start(server.serve, [listener])
        await trio.sleep(1)
        started_at = trio.current_time()
        await server.close(5.0)
        assert trio.current_time() - started_at < 0.5
        assert listener.is_closed


def test_server_that_no_longer_accepts_closes_at_once():
    async def run():
        async with trio.open_nursery() as nursery:
            server, _ = await start_server(nursery)
            nursery.cancel_scope.cancel()
        started_at = trio.current_time()
        await server.close(5.0)
        assert trio.current_time() - started_at < 1.0

    trio.run(run)
