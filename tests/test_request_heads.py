"""A request that could be read in two ways is refused, and nothing runs."""

import time

import pytest
import trio

from limpetdrift.transport.connection import ServerLimits
from limpetdrift.transport.messages import Response
from server_harness import ServerHarness, read_all
from virtual_time import run_in_virtual_time

HOST = b'Host: a\r\n'
INNER = b'POST /inner HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
LENGTH = b'Content-Length: %d\r\n' % (len(INNER) + 5)


def play(sent, limits=None):
    """Return the requests that reach the handler, and all that is answered."""
    handled = []
    received = []

    async def answer(exchange):
        handled.append(exchange.request)
        await exchange.respond(Response(status=200))

    async def body():
        async with trio.open_nursery() as nursery:
            harness = ServerHarness(
                nursery=nursery, handler=answer, limits=limits
            )
            stream = harness.connect()
            await stream.send_all(sent)
            await stream.send_eof()
            received.append(await read_all(stream))

    run_in_virtual_time(body)
    return handled, received[0]


@pytest.mark.parametrize('part', ['head', 'trailer'])
@pytest.mark.parametrize('byte', [b'\x00', b'\x0b', b'\x0c', b'\r'])
def test_blanks_before_an_illegal_byte_take_linear_time(part, byte):
    """Guards against a caller whose head stops the event loop."""
    limits = ServerLimits(header_bytes=400_000)
    line = b'x:' + b' ' * 150_000 + byte + b'a\r\n\r\n'
    sent = b'POST /x HTTP/1.1\r\n' + HOST
    if part == 'trailer':
        sent += CHUNKED + b'\r\n0\r\n'
    began_at = time.process_time()
    handled, answer = play(sent + line, limits)
    assert not handled
    assert answer.startswith(b'HTTP/1.1 400')
    # Quadratic time takes over a minute.
    assert time.process_time() - began_at < 5


@pytest.mark.parametrize('version', [b'1.0', b'1.1'])
@pytest.mark.parametrize(
    'framing',
    [
        LENGTH + CHUNKED,
        CHUNKED + LENGTH,
        LENGTH.lower() + CHUNKED.upper(),
        CHUNKED.lower() + b'X: y\r\n' + LENGTH.upper(),
    ],
)
def test_request_hidden_in_a_body_with_two_framings_is_not_run(
    version, framing
):
    """Guards against a caller's second request that no check has seen."""
    head = b'POST /outer HTTP/%s\r\n%s%s\r\n' % (version, HOST, framing)
    handled, received = play(head + b'0\r\n\r\n' + INNER)
    assert not handled
    assert received.startswith(b'HTTP/1.1 400')
    assert b'connection: close' in received.lower()
    assert received.count(b'HTTP/1.1') == 1


@pytest.mark.parametrize(
    ('head', 'status'),
    [
        (b'CONNECT /x HTTP/1.1\r\n' + HOST, 501),
        (b'CONNECT a:80 HTTP/1.1\r\n' + HOST, 501),
        (b'GET /x HTTP/2.0\r\n' + HOST, 505),
        (b'GET /x HTTP/0.9\r\n' + HOST, 505),
        (b'GET /x HTTP/1.1\r\n' + HOST + b'A: b\r\n c\r\n', 400),
        (b'GET /x HTTP/1.1\r\n' + HOST + b'A: b\r\n\tc\r\n', 400),
        (b'GET /x HTTP/1.1\r\n' + HOST + b'A: b\nC: d\r\n', 400),
        (b'GET /x HTTP/1.1\n' + HOST, 400),
        (b'POST /x HTTP/1.0\r\n' + HOST + CHUNKED, 400),
        (b'GET ftp://a/x HTTP/1.1\r\n' + HOST, 400),
        (b'GET x HTTP/1.1\r\n' + HOST, 400),
        (b'GET http://u@a/x HTTP/1.1\r\n' + HOST, 400),
        (b'GET http:///x HTTP/1.1\r\n' + HOST, 400),
        (b'GET /x HTTP/1.1\r\n' + HOST + b'HOST: b\r\n', 400),
    ],
)
def test_head_that_is_no_plain_request_is_refused_before_it_runs(head, status):
    """Guards against a request that runs, though its caller gets no answer."""
    handled, received = play(head + b'\r\n')
    assert not handled
    assert received.startswith(b'HTTP/1.1 %d' % status)


def test_head_that_ends_in_line_feeds_alone_is_refused():
    handled, received = play(b'GET /x HTTP/1.1\nHost: a\n\n')
    assert not handled
    assert received.startswith(b'HTTP/1.1 400')


def test_body_may_have_any_line_ends():
    payload = b'a\n b\r\n\r\n\nc'
    head = b'POST /x HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n'
    handled, received = play(head % (HOST, len(payload)) + payload)
    assert [each.body for each in handled] == [payload]
    assert received.startswith(b'HTTP/1.1 200')


@pytest.mark.parametrize(
    ('sent', 'target'),
    [
        (b'http://b.example:80/x?y=1', '/x?y=1'),
        (b'HTTP://b.example:80', '/'),
        (b'http://b.example:80?y', '/?y'),
    ],
)
def test_absolute_target_is_served_as_its_path_at_its_host(sent, target):
    handled, _ = play(b'GET %s HTTP/1.1\r\n%s\r\n' % (sent, HOST))
    assert handled[0].target == target
    assert handled[0].path == target.partition('?')[0]
    hosts = [text for name, text in handled[0].headers if name == 'host']
    assert hosts == ['b.example:80']
