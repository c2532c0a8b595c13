"""Tests that bytes without end take bounded memory and time.

A server in trouble may send bytes that are no answer, in a head or a body,
until its caller closes the connection.
"""

import time
import tracemalloc
from dataclasses import dataclass
from functools import partial
from itertools import repeat

import pytest
import trio

from forward_harness import (
    BROKEN,
    FakeExchange,
    ForwardHarness,
    make_route,
    whole_response,
)
from limpetdrift.coordination.forwarding.delivery import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BYTES,
)
from limpetdrift.coordination.forwarding.endpoint_response import (
    EndpointResponse,
)
from limpetdrift.coordination.forwarding.event_relay import (
    MAX_EVENT_BYTES,
    MAX_UNNUMBERED_BYTES,
)
from limpetdrift.protocol.route_table import RequestKind
from limpetdrift.transport.client import ClientLimits, HttpClient
from limpetdrift.transport.messages import Address, Request
from limpetdrift.verdict import FailureError, Reason, Verdict
from virtual_time import in_virtual_time

WHOLE_BYTES = 1_000_000
# Memory that a call may take, which counts buffers of received bytes too.
MEMORY_BYTES = 16_000_000
# Time in which a call ends that could read for ever.
SECONDS = 3.0
BLOCK = b'x' * 65_536
OK_HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNK = b'10000\r\n' + BLOCK + b'\r\n'
ENDLESS = {
    'body of no length': (OK_HEAD + b'\r\n', BLOCK),
    'body of a great length': (
        OK_HEAD + b'content-length: 99999999999\r\n\r\n',
        BLOCK,
    ),
    'chunks': (OK_HEAD + b'transfer-encoding: chunked\r\n\r\n', CHUNK),
    'chunk size': (OK_HEAD + b'transfer-encoding: chunked\r\n\r\n', b'0' * 99),
    'trailers': (
        OK_HEAD + b'transfer-encoding: chunked\r\n\r\n0\r\n',
        b'a: b\r\n',
    ),
    'status line': (b'HTTP/1.1 200 ', BLOCK),
    'headers': (OK_HEAD, b'a: b\r\n'),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'no answer': (b'', BLOCK),
    'empty lines': (b'', b'\r\n'),
}


async def send_without_end(stream, begin, block, closed):
    """Send bytes until the peer closes the connection."""
    await stream.receive_some(65_536)
    try:
        await stream.send_all(begin)
        for each in repeat(block * max(1, 4096 // len(block))):
            await stream.send_all(each)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        closed.set()


def run_call(begin, block, call) -> int:
    """Run a call to a server that never ends; return the most memory."""

    async def run() -> None:
        closed = trio.Event()

        async def serve(stream):
            await send_without_end(stream, begin, block, closed)

        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                partial(trio.serve_tcp, serve, 0, host='127.0.0.1')
            )
            port = listeners[0].socket.getsockname()[1]
            with trio.fail_after(SECONDS):
                await call(Address(host='127.0.0.1', port=port))
                await closed.wait()
            nursery.cancel_scope.cancel()

    tracemalloc.start()
    try:
        trio.run(run)
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize('name', list(ENDLESS))
def test_whole_answer_without_end_fails_soon_and_closes_the_connection(name):
    async def call(address: Address) -> None:
        client = HttpClient(limits=ClientLimits(whole_bytes=WHOLE_BYTES))
        result = await client.fetch(
            address,
            Request(method='GET', path='/'),
            timeout_seconds=10 * SECONDS,
        )
        assert result.is_error()
        assert result.error.verdict is Verdict.MAY_HAVE_RUN
        assert result.error.reason in {
            Reason.BAD_ANSWER,
            Reason.CONNECTION_BROKEN,
        }

    assert run_call(*ENDLESS[name], call) < MEMORY_BYTES


def test_line_without_end_fails_soon():
    async def call(address: Address) -> None:
        client = HttpClient(limits=ClientLimits(whole_bytes=WHOLE_BYTES))
        with pytest.raises(FailureError) as raised:
            async with client.stream(
                address, Request(method='GET', path='/')
            ) as answer:
                async for _ in answer.lines():
                    await trio.lowlevel.checkpoint()
        assert raised.value.failure.reason is Reason.BAD_ANSWER

    begin, block = ENDLESS['body of no length']
    assert run_call(begin, block, call) < MEMORY_BYTES


def endless_response(status=200, **changes):
    """Return an answer whose body never ends."""

    async def chunks():
        for each in repeat(BLOCK):
            await trio.lowlevel.checkpoint()
            yield each

    return EndpointResponse(status=status, headers=(), chunks=chunks, **changes)


@dataclass
class CountingExchange(FakeExchange):
    """A caller that counts the bytes of the answer, and keeps none."""

    length: int = 0

    async def send(self, payload: bytes) -> None:
        await super().send(b'')
        self.length += len(payload)


IDEMPOTENT = make_route(kind=RequestKind.IDEMPOTENT, resumable=False)


@in_virtual_time
async def test_plain_answer_without_end_is_cut_off_and_not_run_again():
    harness = ForwardHarness(endless_response(), whole_response(200))
    exchange = CountingExchange()
    tracemalloc.start()
    await harness.serve(IDEMPOTENT, exchange)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert exchange.aborted
    assert not exchange.finished
    assert exchange.length <= MAX_BODY_BYTES
    assert peak < MEMORY_BYTES
    assert len(harness.sent) == 1
    assert len(harness.ended) == 1


@in_virtual_time
async def test_failure_without_end_is_answered_by_another_endpoint():
    harness = ForwardHarness(endless_response(500), whole_response(200))
    exchange = FakeExchange()
    await harness.serve(IDEMPOTENT, exchange)
    assert exchange.response.status == 200
    assert len(harness.sent) == 2


@in_virtual_time
async def test_answer_without_end_to_another_request_is_not_read():
    harness = ForwardHarness(
        endless_response(is_for_other_request=True), whole_response(200)
    )
    exchange = FakeExchange()
    await harness.serve(IDEMPOTENT, exchange)
    assert exchange.response.status == 200
    assert exchange.heads == 1


@in_virtual_time
async def test_event_without_end_goes_on_at_another_endpoint():
    async def whole(seen: int):
        yield b'id: 1\ndata: x\n\n'

    harness = ForwardHarness(endless_response(), whole)
    exchange = FakeExchange()
    await harness.serve(make_route(), exchange)
    assert exchange.finished
    assert len(exchange.payload) < MAX_EVENT_BYTES


STREAMS = {
    'newlines': b'\n' * 65_536,
    'comments': b': x\n\n' * 10_000,
    'events without ids': b'data: x\n\n' * 10_000,
    'the same id': b'id: 1\ndata: x\n\n' * 10_000,
    'long events without ids': b'data: ' + b'x' * 1_000_000 + b'\n\n',
}
MANY_CHUNKS = 100
# Processor time of a stream that makes no progress, on a busy machine.
STREAM_SECONDS = 30.0


@pytest.mark.parametrize('name', list(STREAMS))
@in_virtual_time
async def test_stream_without_new_event_ids_ends_soon(name):
    """Guards against a stream that takes a core until its deadline."""
    chunks_read = []

    async def chunks():
        for each in repeat(STREAMS[name]):
            chunks_read.append(name)
            if len(chunks_read) == MANY_CHUNKS:
                return
            await trio.lowlevel.checkpoint()
            yield each

    harness = ForwardHarness(
        EndpointResponse(status=200, headers=(), chunks=chunks)
    )
    exchange = CountingExchange()
    began = time.process_time()
    await harness.serve(make_route(attempt_limit=1), exchange)
    assert time.process_time() - began < STREAM_SECONDS
    assert len(chunks_read) < MANY_CHUNKS
    assert not exchange.finished
    assert exchange.length <= MAX_UNNUMBERED_BYTES


@in_virtual_time
async def test_long_stream_with_ids_and_many_comments_arrives_whole():
    async def chunks():
        for number in range(60):
            yield b'id: %d\ndata: x\n\n' % number + b':\n\n' * 1000

    harness = ForwardHarness(
        EndpointResponse(status=200, headers=(), chunks=chunks)
    )
    exchange = CountingExchange()
    await harness.serve(make_route(), exchange)
    assert exchange.finished


@in_virtual_time
async def test_long_answer_arrives_whole():
    body = b'y' * (3 * MAX_BUFFERED_BYTES)

    async def chunks():
        for start in range(0, len(body), len(BLOCK)):
            yield body[start : start + len(BLOCK)]

    harness = ForwardHarness(
        EndpointResponse(status=200, headers=(), chunks=chunks)
    )
    exchange = FakeExchange()
    await harness.serve(IDEMPOTENT, exchange)
    assert exchange.finished
    assert exchange.payload == body


@in_virtual_time
async def test_long_answer_that_breaks_off_does_not_look_whole():
    async def chunks():
        yield b'y' * (2 * MAX_BUFFERED_BYTES)
        raise FailureError(BROKEN)

    harness = ForwardHarness(
        EndpointResponse(status=200, headers=(), chunks=chunks),
        whole_response(200),
    )
    exchange = FakeExchange()
    await harness.serve(IDEMPOTENT, exchange)
    assert exchange.aborted
    assert not exchange.finished
    assert len(harness.sent) == 1
