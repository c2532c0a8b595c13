"""Refuses request heads that could be read in more than one way.

h11 accepts line ends and framing that RFC 9112 lets a server reject. Where two
readers of a connection disagree on where a request ends, a caller can hide a
second request in the body of the first.
"""

import re
import sys
from dataclasses import replace
from urllib.parse import urlsplit

import h11

from limpetdrift.transport.bad_input import (
    BAD_REQUEST,
    NOT_IMPLEMENTED,
    VERSION_NOT_SUPPORTED,
    BadInputError,
)
from limpetdrift.transport.messages import Request

_VERSIONS = frozenset((b'1.0', b'1.1'))
_HEAD_END = b'\r\n\r\n'
# A line feed before a blank, or without a carriage return before it.
_BAD_LINE_END = re.compile(rb'\n(?:[ \t]|(?<!\r\n))')
# Bytes that no head may hold. h11 matches blanks before one of them in
# quadratic time, which matters in heads over ``_LONG_HEAD_BYTES``.
_BAD_BYTE = re.compile(rb'[\x00\x0b\x0c]|\r(?!\n)')
_LONG_HEAD_BYTES = 512
# The first byte of a request line; a TLS handshake begins with another one.
_MIN_FIRST_BYTE = 0x21
_SCHEMES = frozenset(('http', 'https'))
# The target of a request that asks about the server as a whole.
_SERVER_TARGET = '*'


def find_head_end(received: bytearray, start: int = 0) -> int:
    r"""Return the length of a request head, 0 if it has not arrived whole.

    Bytes before ``start`` were looked at before. Raises ``BadInputError`` for
    a bare line feed, a folded line, or a first byte that begins no request.

    >>> find_head_end(bytearray(b'GET / HTTP/1.1\r\n\r\nrest'))
    18
    """
    begin = received.find(_HEAD_END, max(0, start - len(_HEAD_END)))
    end = len(received) if begin < 0 else begin + len(_HEAD_END)
    check_lines(received, max(0, start - 1), end)
    if received[0] < _MIN_FIRST_BYTE:
        raise BadInputError(BAD_REQUEST, 'illegal request line')
    if begin < 0:
        return 0
    check_bytes(received, end)
    return end


def check_bytes(received: bytes | bytearray, length: int) -> None:
    """Raise ``BadInputError`` for a byte that no head or trailer may hold."""
    if length > _LONG_HEAD_BYTES and _BAD_BYTE.search(received, 0, length):
        raise BadInputError(BAD_REQUEST, 'illegal byte in the head')


def check_lines(
    received: bytes | bytearray, start: int = 0, end: int = sys.maxsize
) -> None:
    """Raise ``BadInputError`` for a bare line feed or a folded line."""
    if _BAD_LINE_END.search(received, start, end):
        raise BadInputError(BAD_REQUEST, 'bare line feed or folded line')


def check_head(head: h11.Request) -> None:
    """Raise ``BadInputError`` for a head that this server can't serve.

    A body has a length or comes in chunks, and chunks are of HTTP/1.1. No
    connection is turned into a tunnel.
    """
    if head.http_version not in _VERSIONS:
        raise BadInputError(VERSION_NOT_SUPPORTED, 'expected HTTP/1.1')
    if head.method == b'CONNECT':
        raise BadInputError(NOT_IMPLEMENTED, 'CONNECT is not supported')
    names = {name for name, _ in head.headers}
    if b'transfer-encoding' not in names:
        return
    if b'content-length' in names:
        raise BadInputError(
            BAD_REQUEST, 'both content-length and transfer-encoding'
        )
    if head.http_version == b'1.0':
        raise BadInputError(BAD_REQUEST, 'transfer-encoding in HTTP/1.0')


def use_origin_form(request: Request) -> Request:
    """Return a request whose target is a path, with its authority as the host.

    A target such as ``http://a.example/x`` takes the place of the ``host``
    header (RFC 9112, section 3.2.2). Raises ``BadInputError`` for a target
    that is neither this, a path nor ``*``.
    """
    if request.target.startswith('/') or request.target == _SERVER_TARGET:
        return request
    parts = urlsplit(request.target)
    has_origin = parts.scheme in _SCHEMES and bool(parts.hostname)
    if not has_origin or '@' in parts.netloc:
        raise BadInputError(BAD_REQUEST, 'target is no path')
    after_scheme = request.target.partition('://')[2]
    target = after_scheme[len(parts.netloc) :]
    if not target.startswith('/'):
        target = f'/{target}'
    others = (pair for pair in request.headers if pair[0] != 'host')
    return replace(
        request,
        path=request.path or '/',
        target=target,
        headers=(('host', parts.netloc), *others),
    )
