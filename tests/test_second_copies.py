"""Tests that a second copy of an answer is not taken for another answer.

A server may send an answer twice, the second time late, when the connection is
idle or in use again.
"""

import pytest
import trio

from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Request
from limpetdrift.transport.server import bound_address, listen


def fetch_in_turn(paths, send_copies):
    """Fetch paths over pooled connections; return the answers' bodies.

    ``send_copies`` sends the answers to the requests of one connection.
    """
    bodies = []

    async def serve(stream):
        async with stream:
            while True:
                try:
                    received = await stream.receive_some(10_000)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    return
                if not received:
                    return
                path = received.split()[1]
                length = len(path)
                head = f'HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n'
                await send_copies(stream, head.encode() + path)

    async def run():
        async with trio.open_nursery() as nursery:
            listeners = await listen(Address(host='127.0.0.1', port=0))
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            client = HttpClient()
            for path in paths:
                result = await client.fetch(
                    bound_address(listeners),
                    Request(method='GET', path=path),
                    timeout_seconds=3,
                )
                bodies.append(result.ok.body.decode())
                await trio.sleep(0.1)
            nursery.cancel_scope.cancel()

    trio.run(run)
    return bodies


async def send_twice(stream, answer):
    await stream.send_all(answer + answer)


async def send_again_late(stream, answer):
    await stream.send_all(answer)
    await trio.sleep(0.03)
    await stream.send_all(answer)


async def send_once(stream, answer):
    await stream.send_all(answer)


async def send_and_close(stream, answer):
    await stream.send_all(answer)
    await stream.aclose()


@pytest.mark.parametrize(
    'send_copies', [send_twice, send_again_late, send_once, send_and_close]
)
def test_next_request_gets_its_own_answer_after_a_second_copy(send_copies):
    paths = ['/first', '/second', '/third']
    assert fetch_in_turn(paths, send_copies) == paths
