"""Callers get a whole answer or a failure for any method and status."""

import pytest
import trio

from limpetdrift.transport.messages import Response
from server_harness import ServerHarness, read_all
from virtual_time import run_in_virtual_time

CLOSE = b'Connection: close\r\n\r\n'


def request_head(method=b'GET', version=b'1.1'):
    return b'%s /x HTTP/%s\r\nHost: a\r\n%s' % (method, version, CLOSE)


def exchange_bytes(handler, sent):
    """Return all bytes that a caller gets for what it sent."""
    received = []

    async def body():
        async with trio.open_nursery() as nursery:
            harness = ServerHarness(nursery=nursery, handler=handler)
            stream = harness.connect()
            await stream.send_all(sent)
            with trio.fail_after(60):
                received.append(await read_all(stream))
            nursery.cancel_scope.cancel()

    run_in_virtual_time(body)
    return received[0]


@pytest.mark.parametrize('version', [b'1.0', b'1.1'])
@pytest.mark.parametrize('status', [200, 204, 304, 404, 503])
@pytest.mark.parametrize('method', [b'GET', b'HEAD', b'POST'])
def test_answers_with_a_body_are_sent_for_each_method(method, status, version):
    async def answer(exchange):
        await exchange.respond(Response(status=status, body=b'a body'))

    received = exchange_bytes(answer, request_head(method, version))
    assert received.startswith(b'HTTP/1.1 %d ' % status)
    assert received.endswith(b'a body') is (
        method != b'HEAD' and status not in {204, 304}
    )


@pytest.mark.parametrize('method', [b'GET', b'HEAD'])
def test_streams_are_sent_for_each_method(method):
    async def stream(exchange):
        await exchange.start(200)
        await exchange.send(b'a part')
        await exchange.finish()

    received = exchange_bytes(stream, request_head(method))
    assert received.startswith(b'HTTP/1.1 200 ')
    assert (b'a part' in received) is (method != b'HEAD')


@pytest.mark.parametrize(
    'error',
    [
        trio.TooSlowError(),
        trio.BrokenResourceError(),
        ExceptionGroup('nursery', [KeyError('service')]),
        ExceptionGroup('nursery', [trio.TooSlowError()]),
    ],
)
def test_handler_that_fails_before_the_head_is_answered(error):
    async def fail(exchange):
        await trio.lowlevel.checkpoint()
        raise error

    assert exchange_bytes(fail, request_head()).startswith(b'HTTP/1.1 500 ')


@pytest.mark.parametrize(
    ('status', 'headers'),
    [(99, ()), (101, ()), (200, (('x', 'a\r\nb'),)), (200, (('a b', 'c'),))],
)
def test_answer_that_can_not_be_encoded_becomes_a_failure(status, headers):
    async def answer(exchange):
        await exchange.respond(Response(status=status, headers=headers))

    async def stream(exchange):
        await exchange.start(status, headers)

    for handler in (answer, stream):
        received = exchange_bytes(handler, request_head())
        assert received.startswith(b'HTTP/1.1 500 ')
