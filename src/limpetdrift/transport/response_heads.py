"""Decides what is a sound answer, wherever one is read.

An answer that could be read in more than one way is none: a caller might get a
line or a body that the server did not send. h11 accepts some of these, such as
a name of a field that follows a blank, which it takes for a part of the value
before it.
"""

import re

import h11

from limpetdrift.transport.bad_input import BadInputError
from limpetdrift.transport.messages import DEFAULT_HEADER_LIMIT_BYTES
from limpetdrift.transport.request_heads import find_head_end

_VERSIONS = frozenset((b'1.0', b'1.1'))
# Control bytes other than tabs and line ends.
_CONTROL_BYTE = re.compile(rb'[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]')
_BARE_CARRIAGE_RETURN = re.compile(rb'\r(?!\n)')


class UnsoundAnswerError(Exception):
    """Bytes of a server that are no answer."""


def find_response_head(received: bytearray, start: int = 0) -> int:
    r"""Return the length of a response head, 0 if it has not arrived whole.

    Bytes before ``start`` were looked at before. Raises ``UnsoundAnswerError``
    for a bare line feed, a folded line, a control byte, or a head that is too
    long.

    >>> find_response_head(bytearray(b'HTTP/1.1 200 OK\r\n\r\nrest'))
    19
    """
    try:
        end = find_head_end(received, start)
    except BadInputError as error:
        raise UnsoundAnswerError(str(error)) from error
    length = end or len(received)
    if length > DEFAULT_HEADER_LIMIT_BYTES:
        raise UnsoundAnswerError('head is too long')
    if _CONTROL_BYTE.search(received, start, length):
        raise UnsoundAnswerError('control byte in the head')
    if end and _BARE_CARRIAGE_RETURN.search(received, 0, end):
        raise UnsoundAnswerError('carriage return without a line feed')
    return end


def check_response(head: h11.Response | h11.InformationalResponse) -> None:
    """Raise ``UnsoundAnswerError`` unless a head has one meaning.

    Its body has at most one framing. h11 has checked the status.
    """
    if head.http_version not in _VERSIONS:
        raise UnsoundAnswerError('expected HTTP/1.1')
    names = {name for name, _ in head.headers}
    if b'transfer-encoding' not in names:
        return
    if b'content-length' in names or head.http_version == b'1.0':
        raise UnsoundAnswerError('framed in two ways')
