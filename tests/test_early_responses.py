"""Servers that answer a long request before they have read its body."""

import socket
import struct

import pytest
import trio

from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Request
from limpetdrift.transport.server import bound_address, listen
from limpetdrift.verdict import Reason, Verdict

BODY = b'x' * 32_000_000
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly'


async def answer_and_read_nothing(stream):
    await stream.receive_some(1000)
    await stream.send_all(ANSWER)
    await trio.sleep_forever()


async def answer_and_read_on(stream):
    received = len(await stream.receive_some(1000))
    await stream.send_all(ANSWER[:-2])
    while received < len(BODY):
        received += len(await stream.receive_some(1_000_000))
    await stream.send_all(ANSWER[-2:])


async def read_nothing(stream):
    await trio.sleep_forever()


async def reset(stream):
    await stream.receive_some(1000)


def fetch(serve, count=1):
    """Fetch several times; return the results and the connections made."""
    results = []
    connections = []

    async def handle(stream):
        connections.append(stream)
        async with stream:
            await serve(stream)

    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await listen(Address(host='127.0.0.1', port=0))
            nursery.start_soon(trio.serve_listeners, handle, listeners)
            client = HttpClient()
            for _ in range(count):
                results.append(
                    await client.fetch(
                        bound_address(listeners),
                        Request(method='POST', path='/x', body=BODY),
                        timeout_seconds=3,
                    ),
                )
            nursery.cancel_scope.cancel()

    trio.run(main)
    return results, len(connections)


@pytest.mark.parametrize('serve', [answer_and_read_nothing, answer_and_read_on])
def test_early_response_is_read_while_the_body_is_sent(serve):
    results, _ = fetch(serve)
    assert results[0].is_ok()
    assert results[0].ok.body == b'early'


def test_connection_whose_body_is_not_sent_is_not_reused():
    results, connections = fetch(answer_and_read_nothing, count=2)
    assert [each.is_ok() for each in results] == [True, True]
    assert connections == 2


def test_server_that_reads_nothing_ends_in_a_timeout():
    results, _ = fetch(read_nothing)
    assert results[0].error.reason is Reason.TIMEOUT
    assert results[0].error.verdict is Verdict.MAY_HAVE_RUN


def test_connection_reset_while_the_body_is_sent_is_a_failure():
    results, _ = fetch(reset)
    assert results[0].error.reason is Reason.CONNECTION_BROKEN
    assert results[0].error.verdict is Verdict.MAY_HAVE_RUN


def test_reader_that_pauses_while_the_body_is_sent_is_not_timed_out():
    parts = []

    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await listen(Address(host='127.0.0.1', port=0))
            nursery.start_soon(
                trio.serve_listeners, answer_and_read_on, listeners
            )
            async with HttpClient().stream(
                bound_address(listeners),
                Request(method='POST', path='/x', body=BODY),
                idle_timeout_seconds=0.5,
            ) as opened:
                async for part in opened.chunks():
                    parts.append(part)
                    await trio.sleep(1)
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert b''.join(parts) == b'early'


# Abortive close: the connection is reset at once.
LINGER = struct.pack('ii', 1, 0)
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\nfirst part'


async def answer_in_part_and_reset(stream):
    await stream.receive_some(1000)
    await stream.send_all(UNFRAMED)
    await trio.sleep(0.05)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
    stream.socket.close()


async def answer_whole_and_end(stream):
    await stream.receive_some(1000)
    await stream.send_all(UNFRAMED)
    await stream.send_eof()
    await trio.sleep_forever()


def test_unframed_answer_that_is_reset_while_the_body_is_sent_is_not_whole():
    """Guards against the part of an answer that passed for the whole (MIXED).

    Whether the reset reaches the sender or the receiver is left to chance.
    """
    results, _ = fetch(answer_in_part_and_reset, count=24)
    for each in results:
        assert each.is_error()
        assert each.error.reason is Reason.CONNECTION_BROKEN
        assert each.error.verdict is Verdict.MAY_HAVE_RUN


def test_unframed_answer_that_ends_while_the_body_is_sent_is_whole():
    results, _ = fetch(answer_whole_and_end, count=8)
    assert {each.ok.body for each in results} == {b'first part'}
