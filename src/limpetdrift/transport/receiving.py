"""Reads requests from a connection, within its limits."""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager, nullcontext
from urllib.parse import parse_qsl, unquote, urlsplit

import h11
import trio

from limpetdrift.transport.bad_input import (
    BAD_REQUEST,
    BODY_TOO_LARGE,
    HEADERS_TOO_LARGE,
    BadInputError,
)
from limpetdrift.transport.bodies import ChunkDecoder, drop_first
from limpetdrift.transport.connection import (
    BODY_READ_BYTES,
    HEAD_READ_BYTES,
    Connection,
    ServerLimits,
)
from limpetdrift.transport.messages import Request
from limpetdrift.transport.request_heads import (
    check_head,
    find_head_end,
    use_origin_form,
)
from limpetdrift.transport.shedding import Phase

# Lines of a head that need no turn and no memory beside their connection's.
FEW_LINES = 64
_NO_TURN = nullcontext()

# Moves what has arrived of a body to its buffer; returns whether it is whole.
_ReadBody = Callable[[], bool]


async def receive_request(connection: Connection) -> Request | None:
    """Read the next request; return ``None`` if the connection ends.

    Raise ``BadInputError`` if it exceeds a limit or breaks the protocol.
    """
    if not connection.received:
        arrived = await connection.wait_first_bytes()
        if not arrived:
            return None
        connection.received += arrived
    request = None
    try:
        with connection.begin_request():
            head_bytes = await _receive_head(connection)
            request = await _receive_rest(connection, head_bytes)
    except h11.RemoteProtocolError as error:
        status = error.error_status_hint or BAD_REQUEST
        raise BadInputError(status, str(error)) from error
    connection.check_received()
    if request is not None:
        connection.holding.enter(Phase.SERVING)
        connection.holding.reserve_body(len(request.body))
    return request


async def _receive_head(connection: Connection) -> bytes:
    """Return a whole head, before anything of it is parsed."""
    limits = connection.limits
    received = connection.received
    length = find_head_end(received)
    until = 0.0 if length else trio.current_time() + limits.head_seconds
    while not length:
        checked = len(received)
        if checked > limits.header_bytes:
            raise BadInputError(HEADERS_TOO_LARGE, 'headers over the limit')
        await connection.receive_more(HEAD_READ_BYTES, until)
        length = find_head_end(received, checked)
    head_bytes = bytes(received[:length])
    drop_first(received, length)
    return head_bytes


async def _receive_rest(connection: Connection, head_bytes: bytes) -> Request:
    """Receive the body, and return the request.

    One head of many lines is parsed at a time, and other tasks go on before
    the next one. While its body is awaited, it is kept as bytes, since its
    parsed lines take many times as much memory.
    """
    lines = head_bytes.count(b'\n')
    turn: AbstractAsyncContextManager[None] = _NO_TURN
    if lines > FEW_LINES:
        turn = connection.holding.account.head_turn
    async with turn:
        began_at = trio.current_time()
        _count_lines(connection, lines)
        head = _parse_head(connection, head_bytes)
        read_body = _make_reader(connection, head)
        is_awaited = connection.protocol.they_are_waiting_for_100_continue
        request = None
        if not is_awaited and read_body():
            request = _make_request(head, connection.body.join())
        if lines > FEW_LINES:
            head = None
            await _leave_time(began_at)
    if request is not None:
        return request
    connection.holding.reserve_lines(0)
    await _receive_body(connection, read_body)
    async with turn:
        _count_lines(connection, lines)
        if head is None:
            head = _read_head(h11.Connection(h11.SERVER), head_bytes)
        return _make_request(head, connection.body.join())


async def _leave_time(began_at: float) -> None:
    """Let other tasks run for as long as a head has taken to parse."""
    await trio.sleep(trio.current_time() - began_at)


def _count_lines(connection: Connection, lines: int) -> None:
    """Count the lines of a head that is parsed next.

    Raises ``BadInputError`` if they have no room.
    """
    if lines > FEW_LINES:
        connection.holding.check()
        connection.holding.reserve_lines(lines)


def _parse_head(connection: Connection, head_bytes: bytes) -> h11.Request:
    # h11 gets no byte of the body, whose chunks it would parse one by one.
    head = _read_head(connection.protocol, head_bytes)
    check_head(head)
    # The whole head may have arrived in one read.
    size = sum(len(name) + len(text) for name, text in head.headers)
    if size > connection.limits.header_bytes:
        raise BadInputError(HEADERS_TOO_LARGE, 'headers over the limit')
    return head


def _read_head(protocol: h11.Connection, head_bytes: bytes) -> h11.Request:
    protocol.receive_data(head_bytes)
    event = protocol.next_event()
    if not isinstance(event, h11.Request):
        raise BadInputError(BAD_REQUEST, 'no request')
    return event


async def _receive_body(connection: Connection, read_body: _ReadBody) -> None:
    if connection.protocol.they_are_waiting_for_100_continue:
        await connection.send(
            h11.InformationalResponse(status_code=100, headers=[]),
        )
        if read_body():
            return
    limits = connection.limits
    arrived_bytes = 0
    waited_seconds = 0.0
    while True:
        connection.holding.reserve_body(
            connection.body.length + BODY_READ_BYTES
        )
        began_at = trio.current_time()
        seconds = allowed_seconds(limits, arrived_bytes, waited_seconds)
        length = await connection.receive_more(
            BODY_READ_BYTES, began_at + seconds
        )
        arrived_bytes += length
        waited_seconds += trio.current_time() - began_at
        # Others go on before the next part of a long body is parsed.
        async with connection.holding.account.parse_turn:
            connection.holding.note_progress(length)
            if read_body():
                return


def allowed_seconds(
    limits: ServerLimits, arrived_bytes: int, waited_seconds: float
) -> float:
    """Return how long the next read of a body may take.

    ``waited_seconds`` is what the reads before it took, in which
    ``arrived_bytes`` have arrived.

    >>> allowed_seconds(ServerLimits(), 0, 29.0)
    1.0
    """
    left_seconds = (
        limits.body_grace_seconds
        + arrived_bytes / limits.body_bytes_per_second
        - waited_seconds
    )
    return max(0.0, min(limits.body_seconds, left_seconds))


def _make_reader(connection: Connection, head: h11.Request) -> _ReadBody:
    """Return the reader for the framing of a body.

    Raises ``BadInputError`` for a length that is over the limit.
    """
    max_bytes = int(
        min(
            connection.limits.body_bytes,
            connection.holding.account.limits.largest_body,
        )
    )
    length = 0
    for name, text in head.headers:
        if name == b'transfer-encoding':
            return _make_chunk_reader(connection, max_bytes)
        if name == b'content-length':
            length = int(text)
    if length > max_bytes:
        raise BadInputError(BODY_TOO_LARGE, 'body over the limit')
    return _make_length_reader(connection, length)


def _make_chunk_reader(connection: Connection, max_bytes: int) -> _ReadBody:
    protocol = connection.protocol
    decoder = ChunkDecoder(
        max_bytes=max_bytes, max_line_bytes=connection.limits.header_bytes
    )

    def read() -> bool:
        connection.body.append(decoder.decode(connection.received))
        if decoder.end is None:
            return False
        protocol.receive_data(decoder.end)
        return isinstance(protocol.next_event(), h11.EndOfMessage)

    return read


def _make_length_reader(connection: Connection, length: int) -> _ReadBody:
    protocol = connection.protocol
    body = connection.body

    def read() -> bool:
        part = connection.received[: length - body.length]
        if part:
            drop_first(connection.received, len(part))
            protocol.receive_data(part)
            event = protocol.next_event()
            if isinstance(event, h11.Data):
                body.append(event.data)
        if body.length < length:
            return False
        return isinstance(protocol.next_event(), h11.EndOfMessage)

    return read


def _make_request(head: h11.Request, body: bytes) -> Request:
    try:
        target = urlsplit(head.target.decode('latin-1'))
    except ValueError as error:
        raise BadInputError(BAD_REQUEST, f'target: {error}') from error
    request = Request(
        method=head.method.decode('ascii'),
        path=unquote(target.path),
        target=head.target.decode('latin-1'),
        query=dict(parse_qsl(target.query)),
        headers=tuple(
            (name.decode('ascii'), text.decode('latin-1'))
            for name, text in head.headers
        ),
        body=body,
    )
    return use_origin_form(request)
