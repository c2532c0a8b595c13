"""Writes to a connection after a write that was cancelled in the middle."""

import trio

from limpetdrift.transport.connection import ServerLimits
from server_harness import HEAD, ServerHarness, read_all
from virtual_time import in_virtual_time

LONG = b'x' * 1_000_000
LIMITS = ServerLimits(write_seconds=20.0)


def socket_pair():
    """Return the ends of a connection of real sockets."""
    return map(trio.SocketStream, trio.socket.socketpair())


async def ask(handle, wait_seconds):
    """Return all that a caller gets who begins to read after some time."""
    async with trio.open_nursery() as nursery:
        site = ServerHarness(nursery=nursery, handler=handle, limits=LIMITS)
        stream = site.connect(socket_pair)
        await stream.send_all(HEAD.replace(b'Id:', b'Connection: close\r\nId:'))
        await trio.sleep(wait_seconds)
        with trio.fail_after(60):
            received = await read_all(stream)
        nursery.cancel_scope.cancel()
    return received


@in_virtual_time
async def test_write_after_a_cancelled_one_neither_loses_nor_doubles_bytes():
    async def handle(exchange):
        await exchange.start(200, (('content-length', '2000001'),))
        with trio.move_on_after(1):
            await exchange.send(LONG)
        await exchange.send(b'y')
        await exchange.send(LONG[:-1] + b'z')
        await exchange.finish()

    received = await ask(handle, 5)
    assert received.partition(b'\r\n\r\n')[2] == LONG + b'y' + LONG[:-1] + b'z'


@in_virtual_time
async def test_pause_after_a_cancelled_write_is_no_slow_reader():
    async def handle(exchange):
        await exchange.start(200, (('content-length', '1000001'),))
        with trio.move_on_after(1):
            await exchange.send(LONG)
        await trio.sleep(30)
        await exchange.send(b'z')
        await exchange.finish()

    received = await ask(handle, 5)
    assert received.partition(b'\r\n\r\n')[2] == LONG + b'z'
