"""Answers of servers in trouble, read straight or from an entry between.

What is read is the whole answer that the server gave, or a failure. Bytes that
are no answer are a failure, also while the request is still being written.
"""

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

import trio
from expression import Result
from hypothesis import strategies as st

from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Request, Response
from limpetdrift.transport.server import (
    Exchange,
    Server,
    bound_address,
    listen,
)
from limpetdrift.verdict import Failure, FailureError

OK = 200
FAILED = 502
READ_SECONDS = 5.0
PAUSE_SECONDS = 0.005
LONG_REQUEST_BYTES = 8_000_000
_HEAD_BYTES = 200
# Abortive close: the connection is reset at once.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_LINE_END = b'\r\n'
_FRAMINGS = ('length', 'chunks', 'end')
_CONTROL_BYTES = b'\x00\x01\x08\x0b\x0c\r\x1b\x7f'
_STRAY = st.sampled_from([bytes((code,)) for code in b' \t' + _CONTROL_BYTES])
_FIELDS = st.lists(
    st.tuples(
        st.sampled_from((b'X-A', b'Server-Seal', b'Attempt-Id', b'x-b')),
        st.sampled_from((b'', b'1', b'a b', b'caf\xe9', b'a\tb')),
    ),
    min_size=1,
    max_size=4,
)


@dataclass(frozen=True, kw_only=True)
class SentAnswer:
    """What a server sends: a head, a body, and how it ends the connection.

    ``body`` is ``None`` if the bytes are no answer.
    """

    head: bytes
    payload: bytes
    body: bytes | None
    is_reset: bool = False
    part_bytes: int = 0


# Returns the lines of a head, spoiled in one way.
Spoil = Callable[[st.DrawFn, list[bytes]], list[bytes]]


def spoil_status(draw: st.DrawFn, lines: list[bytes]) -> list[bytes]:
    """Name a status that no answer has."""
    status = draw(st.sampled_from((b'000', b'099', b'20', b'2000', b'2 0')))
    return [b'HTTP/1.1 ' + status + b' x', *lines[1:]]


def spoil_version(draw: st.DrawFn, lines: list[bytes]) -> list[bytes]:
    """Name a protocol that was not asked for."""
    version = draw(st.sampled_from((b'HTTP/2.0', b'HTTP/1', b'ICY', b'')))
    return [version + b' 200 x', *lines[1:]]


def spoil_name(draw: st.DrawFn, lines: list[bytes]) -> list[bytes]:
    """Put a blank or a control byte into the name of a field."""
    number = draw(st.integers(1, len(lines) - 1))
    name, _, value = lines[number].partition(b':')
    at = draw(st.integers(0, len(name)))
    name = name[:at] + draw(_STRAY) + name[at:]
    return [*lines[:number], name + b':' + value, *lines[number + 1 :]]


def spoil_value(draw: st.DrawFn, lines: list[bytes]) -> list[bytes]:
    """Put a control byte into the value of a field."""
    number = draw(st.integers(1, len(lines) - 1))
    code = draw(st.sampled_from(_CONTROL_BYTES))
    spoiled = lines[number] + bytes((code,)) + b'x'
    return [*lines[:number], spoiled, *lines[number + 1 :]]


def spoil_line_end(draw: st.DrawFn, lines: list[bytes]) -> list[bytes]:
    """End a line with a line feed alone."""
    number = draw(st.integers(0, len(lines) - 2))
    joined = lines[number] + b'\n' + lines[number + 1]
    return [*lines[:number], joined, *lines[number + 2 :]]


def spoil_framing(draw: st.DrawFn, lines: list[bytes]) -> list[bytes]:
    """Frame the body in two ways."""
    added = (b'Content-Length: 3', b'Transfer-Encoding: chunked')
    lengths = (b'Content-Length: 3', b'Content-Length: 4')
    return [*lines, *draw(st.sampled_from((added, lengths)))]


_SPOILERS: tuple[Spoil, ...] = (
    spoil_status,
    spoil_version,
    spoil_name,
    spoil_value,
    spoil_line_end,
    spoil_framing,
)


@st.composite
def sent_answers(draw: st.DrawFn) -> SentAnswer:
    """Draw an answer that is sound, spoiled, or stops short."""
    framing = draw(st.sampled_from(_FRAMINGS))
    body = draw(st.binary(max_size=40))
    fields = [name + b': ' + value for name, value in draw(_FIELDS)]
    lines = [b'HTTP/1.1 200 OK', *fields, *_frame(framing, body)]
    payload = _encode_body(framing, body)
    is_reset = draw(st.booleans())
    answer = SentAnswer(
        head=b'',
        payload=payload,
        body=None if is_reset and framing == 'end' else body,
        is_reset=is_reset,
        part_bytes=draw(st.sampled_from((0, 1, 7))),
    )
    fault = draw(st.sampled_from(('', 'head', 'body')))
    if fault == 'head':
        lines = draw(st.sampled_from(_SPOILERS))(draw, lines)
        answer = replace(answer, body=None)
    elif fault == 'body' and framing != 'end':
        length = draw(st.integers(0, max(0, len(payload) - 1)))
        is_short = length < len(payload)
        answer = replace(
            answer,
            payload=payload[:length],
            body=None if is_short else answer.body,
        )
    head = _LINE_END.join((*lines, b'', b''))
    return replace(answer, head=head)


# An answer, whether its request is long, and whether an entry is between.
ANSWERS = st.tuples(sent_answers(), st.booleans(), st.booleans())


def check_answer(
    answer: SentAnswer, is_long: bool, has_entry_between: bool
) -> None:
    """Read an answer; raise ``AssertionError`` if it isn't what was sent."""
    found = trio.run(_read, answer, is_long, has_entry_between)
    if found.is_error() or found.ok.status == FAILED:
        # A reset may overtake an answer that was sent whole.
        assert answer.body is None or answer.is_reset, f'lost: {found}'
        return
    response = found.ok
    assert answer.body is not None, f'read as an answer: {response}'
    assert response.status == OK, f'status of {response}'
    assert response.body == answer.body, f'body of {response}'


async def _read(
    answer: SentAnswer, is_long: bool, has_entry_between: bool
) -> Result[Response, Failure]:
    body = b'x' * LONG_REQUEST_BYTES if is_long else b''
    request = Request(method='POST', path='/x', body=body)
    async with trio.open_nursery() as nursery:
        address = await _serve(nursery, partial(_send_answer, answer))
        if has_entry_between:
            server = Server(handler=partial(_relay, address))
            address = await _serve(nursery, server.handle_stream)
        found = await HttpClient().fetch(
            address, request, timeout_seconds=READ_SECONDS
        )
        nursery.cancel_scope.cancel()
    return found


async def _serve(
    nursery: trio.Nursery, handle: Callable[[trio.SocketStream], object]
) -> Address:
    listeners = await listen(Address(host='127.0.0.1', port=0))
    nursery.start_soon(trio.serve_listeners, handle, listeners)
    return bound_address(listeners)


async def _send_answer(answer: SentAnswer, stream: trio.SocketStream) -> None:
    await stream.receive_some(_HEAD_BYTES)
    sent = answer.head + answer.payload
    length = answer.part_bytes or len(sent)
    for begin in range(0, len(sent), length):
        await stream.send_all(sent[begin : begin + length])
        await trio.lowlevel.checkpoint()
    await trio.sleep(PAUSE_SECONDS)
    if answer.is_reset:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        stream.socket.close()
        return
    await stream.send_eof()
    # Closing with bytes unread would reset the connection.
    await trio.sleep(READ_SECONDS)


async def _relay(address: Address, exchange: Exchange) -> None:
    """Pass an answer on in parts, as an entry does for its peer."""
    client = HttpClient()
    try:
        async with client.stream(
            address, exchange.request, idle_timeout_seconds=READ_SECONDS
        ) as opened:
            await exchange.start(opened.status)
            async for chunk in opened.chunks():
                await exchange.send(chunk)
            await exchange.finish()
    except FailureError:
        if exchange.started:
            await exchange.abort()
        else:
            await exchange.respond(Response(status=FAILED))


def _frame(framing: str, body: bytes) -> list[bytes]:
    if framing == 'length':
        return [b'Content-Length: %d' % len(body)]
    if framing == 'chunks':
        return [b'Transfer-Encoding: chunked']
    return []


def _encode_body(framing: str, body: bytes) -> bytes:
    if framing != 'chunks':
        return body
    chunk = b'%x\r\n%b\r\n' % (len(body), body) if body else b''
    return chunk + b'0\r\n\r\n'
