"""Measures the processor time of an ordinary request at a server.

Run ``python benchmarks/request_cost.py``; a caller in the same process sends
one request after the other on a kept connection, with and without a body, and
then each on a connection of its own. It prints the microseconds of a request
with its caller, the least of several series, since other processes only add.
"""

import sys
import time
from collections.abc import Awaitable, Callable

import trio

from limpetdrift.transport.messages import Address, Response
from limpetdrift.transport.server import (
    Exchange,
    Server,
    bound_address,
    listen,
)

SERIES = 15
ROUNDS = 400
HEAD = (
    b'POST /look/x HTTP/1.1\r\nHost: shop.example\r\n'
    b'Attempt-Id: 0123456789abcdef\r\nAuthorization: Bearer key-0\r\n'
    b'Deadline-Ms: 1500\r\nToken-Usage: 5000,33\r\n'
)
REQUESTS = {
    'without a body': HEAD + b'\r\n',
    '800 bytes with a length': (
        HEAD + b'Content-Length: 800\r\n\r\n' + b'z' * 800
    ),
    '800 bytes in a chunk': (
        HEAD
        + b'Transfer-Encoding: chunked\r\n\r\n'
        + b'320\r\n'
        + b'z' * 800
        + b'\r\n0\r\n\r\n'
    ),
}
RECEIVE_BYTES = 65_536
Calls = Callable[[Address, bytes], Awaitable[None]]


async def answer(exchange: Exchange) -> None:
    """Answer a request with a short body."""
    await exchange.respond(Response(status=200, body=b'z' * 100))


async def call_on_one(address: Address, request: bytes) -> None:
    """Send all requests on one connection."""
    stream = await trio.open_tcp_stream(address.host, address.port)
    async with stream:
        for _ in range(ROUNDS):
            await stream.send_all(request)
            await stream.receive_some(RECEIVE_BYTES)


async def call_on_many(address: Address, request: bytes) -> None:
    """Send each request on a connection of its own."""
    for _ in range(ROUNDS):
        stream = await trio.open_tcp_stream(address.host, address.port)
        async with stream:
            await stream.send_all(request)
            await stream.receive_some(RECEIVE_BYTES)


async def measure(calls: Calls, request: bytes) -> float:
    """Return the least microseconds of processor time for a request."""
    listeners = await listen(Address(host='127.0.0.1', port=0))
    address = bound_address(listeners)
    series = []
    async with trio.open_nursery() as nursery:
        await nursery.start(Server(handler=answer).serve, listeners)
        for _ in range(SERIES):
            began = time.process_time()
            await calls(address, request)
            series.append(time.process_time() - began)
        nursery.cancel_scope.cancel()
    return min(series) / ROUNDS * 1_000_000


def main() -> None:
    """Print the figures of all requests."""
    for calls in (call_on_one, call_on_many):
        for name, request in REQUESTS.items():
            microseconds = trio.run(measure, calls, request)
            sys.stdout.write(f'{calls.__name__} {name}: {microseconds:.1f}\n')


if __name__ == '__main__':
    main()
