"""Probes of the link to an endpoint, over real connections."""

import socket
import struct

import pytest
import trio

from limpetdrift.platform.endpoint_client import (
    PROBE_TIMEOUT_SECONDS,
    make_probe,
)
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address
from limpetdrift.transport.server import bound_address, listen

# Abortive close: the connection is reset at once.
LINGER = struct.pack('ii', 1, 0)
ANSWER = b'HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n'


async def refuse_as_full(stream) -> None:
    await stream.receive_some(1000)
    await stream.send_all(ANSWER)


async def stay_silent(stream) -> None:
    await trio.sleep_forever()


async def reset_at_once(stream) -> None:
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
    stream.socket.close()


async def reset_after_request(stream) -> None:
    await stream.receive_some(1000)
    await reset_at_once(stream)


def probe(serve) -> tuple[bool, float]:
    """Probe an endpoint; return whether it is reached, and the seconds."""

    async def run() -> tuple[bool, float]:
        async with trio.open_nursery() as nursery:
            listeners = await listen(Address(host='127.0.0.1', port=0))
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            endpoint = ListedEndpoint(
                name='i-1',
                lifetime=1,
                service='s',
                address=str(bound_address(listeners)),
                failure_domain='d',
                slots=8,
            )
            began = trio.current_time()
            reached = await make_probe(HttpClient(), lambda service: '/health')(
                endpoint
            )
            seconds = trio.current_time() - began
            nursery.cancel_scope.cancel()
        return reached, seconds

    return trio.run(run)


def test_any_answer_shows_that_the_link_is_well():
    assert probe(refuse_as_full)[0]


@pytest.mark.parametrize(
    'serve', [stay_silent, reset_at_once, reset_after_request]
)
def test_connection_without_an_answer_does_not_reach_an_endpoint(serve):
    reached, seconds = probe(serve)
    assert not reached
    assert seconds < 2 * PROBE_TIMEOUT_SECONDS
