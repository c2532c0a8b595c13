"""Refuses request heads that could be read in more than one way.

h11 accepts line ends and framing that RFC 9112 lets a server reject. Where two
readers of a connection disagree on where a request ends, a caller can hide a
second request in the body of the first.
"""

from dataclasses import replace
from urllib.parse import urlsplit

import h11

from limpetdrift.transport.connection import BadInputError
from limpetdrift.transport.messages import Request

_BAD_REQUEST = 400
_NOT_IMPLEMENTED = 501
_VERSION_NOT_SUPPORTED = 505
_VERSIONS = frozenset((b'1.0', b'1.1'))
_HEAD_END = b'\r\n\r\n'
_SCHEMES = frozenset(('http', 'https'))
# The target of a request that asks about the server as a whole.
_SERVER_TARGET = '*'


def check_lines(received: bytes) -> None:
    """Check the lines of a head, which may not have arrived to its end.

    Raises ``BadInputError`` for a bare line feed or a folded line.
    """
    end = received.find(_HEAD_END)
    head = received if end < 0 else received[: end + len(_HEAD_END)]
    is_folded = b'\n ' in head or b'\n\t' in head
    if is_folded or head.count(b'\n') != head.count(b'\r\n'):
        raise BadInputError(_BAD_REQUEST, 'bare line feed or folded line')


def check_head(head: h11.Request) -> None:
    """Raise ``BadInputError`` for a head that this server can't serve.

    A body has a length or comes in chunks, and chunks are of HTTP/1.1. No
    connection is turned into a tunnel.
    """
    if head.http_version not in _VERSIONS:
        raise BadInputError(_VERSION_NOT_SUPPORTED, 'expected HTTP/1.1')
    if head.method == b'CONNECT':
        raise BadInputError(_NOT_IMPLEMENTED, 'CONNECT is not supported')
    names = {name for name, _ in head.headers}
    if b'transfer-encoding' not in names:
        return
    if b'content-length' in names:
        raise BadInputError(
            _BAD_REQUEST, 'both content-length and transfer-encoding'
        )
    if head.http_version == b'1.0':
        raise BadInputError(_BAD_REQUEST, 'transfer-encoding in HTTP/1.0')


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
        raise BadInputError(_BAD_REQUEST, 'target is no path')
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
