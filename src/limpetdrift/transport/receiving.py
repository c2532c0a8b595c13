"""Reads requests from a connection, within its limits."""

from urllib.parse import parse_qsl, unquote, urlsplit

import h11
import trio

from limpetdrift.transport.connection import (
    HEADERS_TOO_LARGE,
    BadInputError,
    Connection,
)
from limpetdrift.transport.messages import Request
from limpetdrift.transport.request_heads import (
    check_head,
    check_lines,
    use_origin_form,
)

_BAD_REQUEST = 400
_REQUEST_TIMEOUT = 408
_BODY_TOO_LARGE = 413


async def receive_request(connection: Connection) -> Request | None:
    """Read the next request; return ``None`` if the connection ends.

    Raise ``BadInputError`` if it exceeds a limit or breaks the protocol.
    """
    try:
        head = await _receive_head(connection)
        if head is None:
            return None
        return await _receive_body(connection, head)
    except h11.RemoteProtocolError as error:
        status = error.error_status_hint or _BAD_REQUEST
        raise BadInputError(status, str(error)) from error
    except trio.TooSlowError as error:
        raise BadInputError(
            _REQUEST_TIMEOUT, 'request came too slowly'
        ) from error


async def _receive_head(connection: Connection) -> h11.Request | None:
    if not connection.protocol.trailing_data[0]:
        received = await connection.wait_first_bytes()
        if not received:
            return None
        connection.protocol.receive_data(received)
    limits = connection.limits
    with trio.fail_after(limits.head_seconds):
        event = await connection.next_event(limits.head_seconds, check_lines)
    if not isinstance(event, h11.Request):
        return None
    check_head(event)
    # h11 applies its limit only to incomplete heads, so that a head which
    # arrives in one read can exceed it.
    size = sum(len(name) + len(text) for name, text in event.headers)
    if size > limits.header_bytes:
        raise BadInputError(HEADERS_TOO_LARGE, 'headers over the limit')
    return event


async def _receive_body(connection: Connection, head: h11.Request) -> Request:
    limits = connection.limits
    _check_length(head, limits.body_bytes)
    if connection.protocol.they_are_waiting_for_100_continue:
        await connection.send(
            h11.InformationalResponse(status_code=100, headers=[]),
        )
    parts: list[bytes] = []
    size = 0
    while True:
        event = await connection.next_event(limits.body_seconds)
        if isinstance(event, h11.EndOfMessage):
            return _make_request(head, b''.join(parts))
        if not isinstance(event, h11.Data):
            raise BadInputError(_BAD_REQUEST, 'body ended early')
        size += len(event.data)
        if size > limits.body_bytes:
            raise BadInputError(_BODY_TOO_LARGE, 'body over the limit')
        parts.append(bytes(event.data))


def _check_length(head: h11.Request, limit: int) -> None:
    for name, text in head.headers:
        if name == b'content-length' and int(text) > limit:
            raise BadInputError(_BODY_TOO_LARGE, 'body over the limit')


def _make_request(head: h11.Request, body: bytes) -> Request:
    try:
        target = urlsplit(head.target.decode('latin-1'))
    except ValueError as error:
        raise BadInputError(_BAD_REQUEST, f'target: {error}') from error
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
