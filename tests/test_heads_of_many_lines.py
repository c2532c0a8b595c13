"""Requests whose heads have thousands of lines, beside ordinary ones."""

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from limpetdrift.transport.bad_input import BadInputError
from limpetdrift.transport.connection_account import (
    CONNECTION_BYTES,
    AccountLimits,
    ConnectionAccount,
)
from limpetdrift.transport.holding import LINE_BYTES, Holding
from limpetdrift.transport.messages import Response
from server_harness import ServerHarness, read_all

LINES = 3000
CROWD = 40
LONG_BODY_BYTES = 1_000_000
PLAYS = 4
# Requests of the crowd that may be served before an ordinary one.
MAX_BEFORE = 6
MANY_LINES = b''.join(b'h%d:\r\n' % (each % 10) for each in range(LINES))


def make_request(path: bytes, lines: bytes, body: bytes = b'') -> bytes:
    framing = b'Host: a\r\nConnection: close\r\nContent-Length: %d\r\n'
    head = b'POST /%b HTTP/1.1\r\n' % path + framing % len(body)
    return head + lines + b'\r\n' + body


async def serve_beside_crowd() -> list[str]:
    """Send a crowd's requests, then an ordinary one; return the paths."""
    served = []

    async def handle(exchange):
        served.append(exchange.request.path)
        await exchange.respond(Response(status=200))

    async with trio.open_nursery() as nursery:
        harness = ServerHarness(nursery=nursery, handler=handle)
        streams = [harness.connect() for _ in range(CROWD)]
        last = harness.connect()
        for stream in streams:
            await stream.send_all(make_request(b'crowd', MANY_LINES))
        await last.send_all(make_request(b'ordinary', b''))
        await read_all(last)
        nursery.cancel_scope.cancel()
    return served


def test_ordinary_request_passes_heads_of_many_lines():
    """Guards against a crowd whose heads put all others off (review/7)."""
    for _ in range(PLAYS):
        served = trio.run(serve_beside_crowd)
        assert served.index('/ordinary') <= MAX_BEFORE


def test_long_body_does_not_wait_for_heads_of_many_lines():
    """Each of its parts would wait for the heads of the whole crowd."""
    served = []

    async def handle(exchange):
        served.append(exchange.request.path)
        await exchange.respond(Response(status=200))

    async def main():
        async with trio.open_nursery() as nursery:
            harness = ServerHarness(nursery=nursery, handler=handle)
            streams = [harness.connect() for _ in range(CROWD)]
            last = harness.connect()
            body = b'z' * LONG_BODY_BYTES
            nursery.start_soon(last.send_all, make_request(b'long', b'', body))
            for stream in streams:
                await stream.send_all(make_request(b'crowd', MANY_LINES))
            await read_all(last)
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert len(served) < CROWD


@pytest.mark.parametrize('waits', [False, True])
def test_request_with_many_lines_is_received_whole(waits):
    received = []
    body = b'z' * 100

    async def handle(exchange):
        received.append(exchange.request)
        await exchange.respond(Response(status=200))

    async def main():
        async with trio.open_nursery() as nursery:
            harness = ServerHarness(nursery=nursery, handler=handle)
            stream = harness.connect()
            sent = make_request(b'x', MANY_LINES, body)
            await stream.send_all(sent[: -len(body)] if waits else sent)
            if waits:
                await wait_all_tasks_blocked()
                await stream.send_all(body)
            await read_all(stream)
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert received[0].body == body
    names = [name for name, _ in received[0].headers]
    assert sum(name.startswith('h') for name in names) == LINES + 1


def test_lines_of_a_head_are_counted_until_the_request_has_ended():
    async def main():
        limits = AccountLimits(memory_bytes=1_500_000)
        account = ConnectionAccount(limits=limits)
        holding = Holding(account=account, drop=lambda: None)
        assert holding.open()
        holding.reserve_lines(LINES)
        used = account.used_bytes
        assert used == CONNECTION_BYTES + LINES * LINE_BYTES
        with pytest.raises(BadInputError):
            Holding(account=account, drop=lambda: None).reserve_lines(LINES)
        holding.release_request()
        assert account.used_bytes == CONNECTION_BYTES

    trio.run(main)
