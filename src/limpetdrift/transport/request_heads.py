"""Refuses request heads that could be read in more than one way.

h11 accepts line ends and framing that RFC 9112 lets a server reject. Where two
readers of a connection disagree on where a request ends, a caller can hide a
second request in the body of the first.
"""

import re

import h11

from limpetdrift.transport.connection import BadInputError

_BAD_REQUEST = 400
_NOT_IMPLEMENTED = 501
_VERSION_NOT_SUPPORTED = 505
_VERSIONS = frozenset((b'1.0', b'1.1'))
_HEAD_END = b'\r\n\r\n'
# A line feed that ends no line, or a line that continues the one before.
_BAD_LINE = re.compile(rb'(?<!\r)\n|\n[ \t]')


def check_lines(received: bytes) -> None:
    """Check the lines of a head, which may not have arrived to its end.

    Raises ``BadInputError`` for a bare line feed or a folded line.
    """
    end = received.find(_HEAD_END)
    head = received if end < 0 else received[: end + len(_HEAD_END)]
    if _BAD_LINE.search(head):
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
