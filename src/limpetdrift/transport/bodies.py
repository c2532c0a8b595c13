"""Collects the bodies of requests, and decodes those that come in chunks.

A caller chooses the size of its chunks and of its segments. The time for a body
is linear in its bytes on the wire, and nothing is kept for a chunk or a read.
"""

import re

from limpetdrift.transport.bad_input import (
    BAD_REQUEST,
    BODY_TOO_LARGE,
    HEADERS_TOO_LARGE,
    BadInputError,
)
from limpetdrift.transport.request_heads import check_bytes, check_lines

# Parts of this size leave no gaps in the heap that other bodies can't use.
_SEGMENT_BYTES = 65_536
_HEXADECIMAL = 16
_LINE_END = b'\r\n'
_TRAILER_END = b'\r\n\r\n'
_LAST_CHUNK = b'0\r\n'
# No two parts match the same blanks, which would take quadratic time.
_SIZE_LINE = re.compile(rb'([0-9A-Fa-f]{1,20})(?:;[^\r\n]*|[ \t]*)\r\n')


def drop_first(received: bytearray, length: int) -> None:
    """Remove bytes from the begin of what was received.

    >>> received = bytearray(b'headbody')
    >>> drop_first(received, 4)
    >>> received
    bytearray(b'body')
    """
    del received[:length]  # noqa: WPS420


class BodyBuffer:
    """The part of a body that has arrived, in segments of about one size."""

    def __init__(self) -> None:
        self._segments: list[bytes | bytearray] = []
        self._length = 0

    @property
    def length(self) -> int:
        """The number of bytes."""
        return self._length

    def append(self, part: bytes | bytearray) -> None:
        """Add bytes; the buffer may keep ``part`` itself."""
        self._length += len(part)
        if not self._segments:
            self._segments.append(part)
            return
        if len(self._segments[-1]) + len(part) <= _SEGMENT_BYTES:
            self._segments[-1] += part
        else:
            self._segments.append(part)

    def join(self) -> bytes:
        """Return the whole body, and forget it."""
        body = b''.join(self._segments)
        self.clear()
        return body

    def clear(self) -> None:
        """Forget what has arrived."""
        self._segments.clear()
        self._length = 0


class ChunkDecoder:
    """Decodes a chunked body, whose parts may end anywhere.

    ``max_bytes`` bounds the body; a chunk that would exceed it is refused
    before it has arrived. ``max_line_bytes`` bounds the line of a chunk's size,
    and the trailer.
    """

    def __init__(self, *, max_bytes: int, max_line_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._max_line_bytes = max_line_bytes
        self._announced_bytes = 0
        self._missing_bytes = 0
        self._is_line_end_due = False
        self._is_trailer_due = False
        self._trailer: bytes | None = None

    @property
    def end(self) -> bytes | None:
        """The last chunk and the trailer, once the body is whole."""
        return self._trailer

    def decode(self, received: bytearray) -> bytearray:
        """Take bytes off the begin of ``received``; return those of the body.

        What belongs to the next part, or to the next request, is left there.
        Raises ``BadInputError`` for a malformed or too long body.
        """
        body = bytearray()
        position = 0
        while not self._is_trailer_due:
            if self._missing_bytes:
                end = position + self._missing_bytes
                part = received[position:end]
                body += part
                position += len(part)
                self._missing_bytes -= len(part)
            if self._missing_bytes or not self._has_line_end(
                received, position
            ):
                break
            if self._is_line_end_due:
                position += len(_LINE_END)
                self._is_line_end_due = False
            line = _SIZE_LINE.match(received, position)
            if line is None:
                self._check_unfinished_line(received, position)
                break
            position = line.end()
            self._begin_chunk(int(line[1], _HEXADECIMAL))
        if self._is_trailer_due:
            position = self._take_trailer(received, position)
        drop_first(received, position)
        return body

    def _has_line_end(self, received: bytearray, position: int) -> bool:
        """Return whether no line end of a chunk is due, or it is there."""
        if not self._is_line_end_due:
            return True
        found = received[position : position + len(_LINE_END)]
        if not _LINE_END.startswith(found):
            raise BadInputError(BAD_REQUEST, 'chunk is longer than its size')
        return len(found) == len(_LINE_END)

    def _begin_chunk(self, size: int) -> None:
        if not size:
            self._is_trailer_due = True
            return
        self._announced_bytes += size
        if self._announced_bytes > self._max_bytes:
            raise BadInputError(BODY_TOO_LARGE, 'body over the limit')
        self._missing_bytes = size
        self._is_line_end_due = True

    def _check_unfinished_line(
        self, received: bytearray, position: int
    ) -> None:
        if received.find(b'\n', position) >= 0:
            raise BadInputError(BAD_REQUEST, 'malformed size of a chunk')
        self._check_line_length(len(received) - position)

    def _take_trailer(self, received: bytearray, position: int) -> int:
        """Return the position after the trailer, if it has arrived."""
        if received.startswith(_LINE_END, position):
            end = position + len(_LINE_END)
        else:
            begin = received.find(_TRAILER_END, position)
            if begin < 0:
                check_lines(received, position)
                self._check_line_length(len(received) - position)
                return position
            end = begin + len(_TRAILER_END)
        trailer = received[position:end]
        check_lines(trailer)
        check_bytes(trailer, len(trailer))
        self._trailer = _LAST_CHUNK + trailer
        return end

    def _check_line_length(self, length: int) -> None:
        if length > self._max_line_bytes:
            raise BadInputError(HEADERS_TOO_LARGE, 'headers over the limit')
