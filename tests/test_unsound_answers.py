"""Bytes of servers that are no answers, wherever answers are read."""

import pytest
import trio

from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Request
from limpetdrift.transport.server import bound_address, listen
from limpetdrift.verdict import Reason, Verdict

LENGTH = b'Content-Length: 2\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
BODY = b'\r\nhi'
CHUNKS = b'\r\n2\r\nhi\r\n0\r\n\r\n'
OK_LINE = b'HTTP/1.1 200 OK\r\n'
# Answers that mean one thing only.
SOUND = {
    'length': OK_LINE + LENGTH + BODY,
    'chunks': OK_LINE + CHUNKED + CHUNKS,
    'end of the connection': OK_LINE + BODY,
    'older version': b'HTTP/1.0 200 OK\r\n' + LENGTH + BODY,
    'no reason': b'HTTP/1.1 200\r\n' + LENGTH + BODY,
    'tab in a value': OK_LINE + b'X-A: 1\t2\r\n' + LENGTH + BODY,
    'latin letter in a value': OK_LINE + b'X-A: caf\xe9\r\n' + LENGTH + BODY,
    'empty value': OK_LINE + b'X-A:\r\n' + LENGTH + BODY,
    'interim answer before it': (
        b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n' + OK_LINE + LENGTH + BODY
    ),
}
STRAY_BYTES = (b' ', b'\t', b'\x00', b'\x01', b'\x0b', b'\x0c', b'\r', b'\x7f')
STRAY_NAMES = tuple(
    name
    for byte in STRAY_BYTES
    for name in (byte + b'X-B', b'X' + byte + b'B', b'X-B' + byte)
)
UNSOUND = {
    f'status {status}': f'HTTP/1.1 {status} x\r\n'.encode() + LENGTH + BODY
    for status in ('000', '001', '099', '101', '20', '2000', '2x0')
}
UNSOUND |= {
    f'name of a field {name!r}': (
        OK_LINE + b'X-A: 1\r\n' + name + b': 2\r\n' + LENGTH + BODY
    )
    for name in STRAY_NAMES
}
UNSOUND |= {
    'blank before the length': OK_LINE + b'X-A: 1\r\n ' + LENGTH + BODY,
    'tab before the chunks': OK_LINE + b'X-A: 1\r\n\t' + CHUNKED + CHUNKS,
    'line feed in a name': OK_LINE + b'X\n-A: 1\r\n' + LENGTH + BODY,
    'no name': OK_LINE + b': 1\r\n' + LENGTH + BODY,
    'no colon': OK_LINE + b'X-A\r\n' + LENGTH + BODY,
    'control byte in a value': OK_LINE + b'X-A: 1\x012\r\n' + LENGTH + BODY,
    'control byte in the reason': b'HTTP/1.1 200 O\x01\r\n' + LENGTH + BODY,
    'bare line feed': OK_LINE + b'X-A: 1\n' + LENGTH + BODY,
    'line feeds only': b'HTTP/1.1 200 OK\nContent-Length: 2\n\nhi',
    'length and chunks': OK_LINE + LENGTH + CHUNKED + CHUNKS,
    'chunks of HTTP/1.0': b'HTTP/1.0 200 OK\r\n' + CHUNKED + CHUNKS,
    'other version': b'HTTP/2.0 200 OK\r\n' + LENGTH + BODY,
    'two lengths': OK_LINE + b'Content-Length: 1\r\n' + LENGTH + BODY,
    'signed length': OK_LINE + b'Content-Length: +2\r\n' + BODY,
    'body that stops short': OK_LINE + b'Content-Length: 3\r\n' + BODY,
    'chunks that stop short': OK_LINE + CHUNKED + b'\r\n2\r\nhi\r\n',
    'chunk over its size': OK_LINE + CHUNKED + b'\r\n1\r\nhi\r\n0\r\n\r\n',
    'head that stops short': OK_LINE + LENGTH,
    'empty line first': b'\r\n' + OK_LINE + LENGTH + BODY,
    'interim answer only': b'HTTP/1.1 100 Continue\r\n\r\n',
    'unsound interim answer': (
        b'HTTP/1.1 100 Continue\r\nX-A: 1\r\n X-B: 2\r\n\r\n'
        + OK_LINE
        + LENGTH
        + BODY
    ),
    'head without end': OK_LINE + b'X-A: ' + b'a' * 70_000,
    'long head': OK_LINE + b'X-A: ' + b'a' * 70_000 + b'\r\n' + LENGTH + BODY,
}


def fetch(answer: bytes, part_bytes: int, body: bytes = b''):
    """Fetch an answer that arrives in parts of a length."""

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(1000)
        for begin in range(0, len(answer), part_bytes):
            await stream.send_all(answer[begin : begin + part_bytes])
            await trio.lowlevel.checkpoint()
        await stream.send_eof()
        # A reset would hide what was sent.
        while await stream.receive_some(100_000):
            await trio.lowlevel.checkpoint()

    async def run():
        async with trio.open_nursery() as nursery:
            listeners = await listen(Address(host='127.0.0.1', port=0))
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            found = await HttpClient().fetch(
                bound_address(listeners),
                Request(method='POST', path='/x', body=body),
                timeout_seconds=3,
            )
            nursery.cancel_scope.cancel()
        return found

    return trio.run(run)


@pytest.mark.parametrize('part_bytes', [1, 100_000])
@pytest.mark.parametrize('name', SOUND)
def test_sound_answer_is_read_whole(name, part_bytes):
    found = fetch(SOUND[name], part_bytes)
    assert found.ok.status == 200
    assert found.ok.body == b'hi'


@pytest.mark.parametrize('part_bytes', [7, 100_000])
@pytest.mark.parametrize('name', UNSOUND)
def test_bytes_that_are_no_answer_are_a_failure(name, part_bytes):
    """Guards against answers that callers got and no server gave (MIXED)."""
    found = fetch(UNSOUND[name], part_bytes)
    assert found.is_error()
    assert found.error.reason is Reason.CONNECTION_BROKEN
    assert found.error.verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize('name', ['status 000', 'blank before the length'])
def test_bytes_that_are_no_answer_to_a_long_request_are_a_failure(name):
    found = fetch(UNSOUND[name], 100_000, body=b'x' * 8_000_000)
    assert found.error.reason is Reason.CONNECTION_BROKEN
