"""Open connections follow the limits that are in force."""

from contextlib import suppress
from dataclasses import replace

import pytest
import trio

from limpetdrift.transport.connection import ServerLimits
from limpetdrift.transport.messages import Response
from server_harness import HEAD, ServerHarness, read_all
from virtual_time import in_virtual_time

SHORT = ServerLimits(
    idle_seconds=5.0, head_seconds=2.0, header_bytes=200, body_bytes=10
)
LONG = ServerLimits(
    idle_seconds=20.0, head_seconds=8.0, header_bytes=4000, body_bytes=1000
)
LARGE_HEAD = b'GET /x HTTP/1.1\r\nHost: a\r\nx: ' + b'y' * 1000 + b'\r\n\r\n'
LARGE_BODY = (
    b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n' + b'z' * 100
)


async def answer(exchange):
    await exchange.respond(Response(status=200, body=b'ok'))


async def ask(stream, *parts, pause=0.0):
    """Send a request in parts; return the status, 0 for a closed connection."""
    with suppress(trio.BrokenResourceError):
        for part in parts:
            await stream.send_all(part)
            await trio.sleep(pause)
    received = await stream.receive_some(4096)
    return int(received.split()[1]) if received else 0


def connect(nursery, limits):
    harness = ServerHarness(nursery=nursery, handler=answer, limits=limits)
    return harness.server, harness.connect()


@pytest.mark.parametrize('changed_after', [0.0, 1.0, 4.9])
@in_virtual_time
async def test_raised_idle_limit_extends_the_wait_under_way(changed_after):
    async with trio.open_nursery() as nursery:
        server, stream = connect(nursery, SHORT)
        assert await ask(stream, HEAD) == 200
        await trio.sleep(changed_after)
        server.use_limits(LONG)
        await trio.sleep(0.8 * LONG.idle_seconds - changed_after)
        assert await ask(stream, HEAD) == 200
        nursery.cancel_scope.cancel()


@in_virtual_time
async def test_lowered_idle_limit_cuts_off_no_wait_under_way():
    async with trio.open_nursery() as nursery:
        server, stream = connect(nursery, LONG)
        assert await ask(stream, HEAD) == 200
        server.use_limits(SHORT)
        await trio.sleep(0.8 * LONG.idle_seconds)
        assert await ask(stream, HEAD) == 200
        started_at = trio.current_time()
        await read_all(stream)
        assert trio.current_time() - started_at < LONG.idle_seconds / 2
        nursery.cancel_scope.cancel()


@in_virtual_time
async def test_request_sent_at_the_idle_limit_is_answered():
    async with trio.open_nursery() as nursery:
        _, stream = connect(nursery, SHORT)
        assert await ask(stream, HEAD) == 200
        await trio.sleep(SHORT.idle_seconds)
        assert await ask(stream, HEAD) == 200
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('parts', 'pause'),
    [
        ((LARGE_HEAD,), 0.0),
        ((LARGE_HEAD[:900], LARGE_HEAD[900:]), 0.1),
        ((LARGE_BODY,), 0.0),
        ((HEAD[:10], HEAD[10:]), 3.0),
    ],
)
@in_virtual_time
async def test_open_connections_follow_raised_and_lowered_limits(parts, pause):
    async with trio.open_nursery() as nursery:
        server, stream = connect(nursery, SHORT)
        assert await ask(stream, HEAD) == 200
        server.use_limits(LONG)
        assert await ask(stream, *parts, pause=pause) == 200
        server.use_limits(replace(SHORT, idle_seconds=LONG.idle_seconds))
        assert await ask(stream, *parts, pause=pause) in {408, 413, 431}
        nursery.cancel_scope.cancel()
