"""Crowds of callers that stop short, send too much, or only stay connected."""

import socket
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import repeat

import trio

from limpetdrift.transport.messages import Address
from soak.site import HOST

LARGE_CHUNK_BYTES = 65_536
SMALL_CHUNK = b'2\r\nzz\r\n'
SMALL_CHUNKS_IN_WRITE = 10_000
PADDING = 'z' * 1000
# A slow reader reads a part of this size at each interval.
SLOW_READ_BYTES = 4096
SLOW_READ_INTERVAL_SECONDS = 0.5
_CONNECT_SECONDS = 5.0
# The parts that one caller sends.
Parts = Iterator[bytes]


def make_head(number: int, *lines: str, deadline_ms: int = 1500) -> bytes:
    """Return the head of a caller's request up to the framing in ``lines``."""
    fixed = (
        'POST /twice/x HTTP/1.1',
        f'Host: {HOST}',
        f'Attempt-Id: crowd-{number}',
        'Authorization: Bearer key-0',
        f'Deadline-Ms: {deadline_ms}',
    )
    return '\r\n'.join((*fixed, *lines, '', '')).encode()


def chunked_body(number: int, length: int, *, is_whole: bool = False) -> Parts:
    """Send a body in large chunks, and end it only if ``is_whole``."""
    payload = b'z' * LARGE_CHUNK_BYTES
    chunk = b'%x\r\n%b\r\n' % (len(payload), payload)
    yield make_head(number, 'Transfer-Encoding: chunked')
    yield from repeat(chunk, length // LARGE_CHUNK_BYTES)
    if is_whole:
        yield b'0\r\n\r\n'


def small_chunks(number: int, length: int, *, is_whole: bool = False) -> Parts:
    """Send a body in chunks of two bytes, and end it only if ``is_whole``."""
    yield make_head(number, 'Transfer-Encoding: chunked')
    writes, rest = divmod(length // 2, SMALL_CHUNKS_IN_WRITE)
    yield from repeat(SMALL_CHUNK * SMALL_CHUNKS_IN_WRITE, writes)
    yield SMALL_CHUNK * rest
    if is_whole:
        yield b'0\r\n\r\n'


def giant_chunk(number: int, length: int) -> Parts:
    """Announce a chunk of a terabyte, and send some of it."""
    yield make_head(number, 'Transfer-Encoding: chunked')
    yield b'ffffffffff\r\n'
    yield from repeat(b'z' * LARGE_CHUNK_BYTES, length // LARGE_CHUNK_BYTES)


def announced_body(number: int, announced: int, length: int) -> Parts:
    """Announce a body, and send ``length`` bytes of it."""
    yield make_head(number, f'Content-Length: {announced}')
    yield from repeat(b'z' * LARGE_CHUNK_BYTES, length // LARGE_CHUNK_BYTES)


def requests_in_a_row(number: int, count: int) -> Parts:
    """Send many whole requests without reading an answer."""
    padding = f'x-padding: {PADDING}'
    for each in range(count):
        yield make_head(number * count + each, padding, 'Content-Length: 0')


def unfinished_head(number: int, length: int) -> Parts:
    """Send a head that stops short of its end."""
    head = make_head(number)[:-2]
    yield head + b'x-padding: ' + b'z' * (length - len(head))


def many_lines(
    number: int, lines: int, announced: int, *, key: str = 'key-0'
) -> Parts:
    """Send a head of many short lines, and none of the announced body."""
    head = make_head(number, f'Content-Length: {announced}')
    added = b''.join(b'h%d:\r\n' % (each % 10) for each in range(lines))
    yield head[:-2].replace(b'key-0', key.encode()) + added + b'\r\n'


def long_answer(number: int, length: int) -> Parts:
    """Ask for an answer of a length."""
    lines = ('Content-Length: 0', f'Answer-Bytes: {length}')
    yield make_head(number, *lines, deadline_ms=15_000)


def nothing(number: int) -> Parts:
    """Only connect."""
    return iter(())


@dataclass(kw_only=True)
class Crowd:
    """Callers of one address; each sends its parts and stays connected.

    ``sending`` is the number of those that have not sent everything yet. With
    ``reads_slowly``, each then reads a small part of its answer at a time.
    """

    address: Address
    size: int
    make_parts: Callable[[int], Parts]
    reads_slowly: bool = False
    sending: int = field(init=False)
    _has_sent: trio.Event = field(init=False, default_factory=trio.Event)

    def __post_init__(self) -> None:
        self.sending = self.size

    async def run(self, nursery: trio.Nursery, seconds: float) -> None:
        """Start all callers; return once all have sent, or after a time."""
        for number in range(self.size):
            nursery.start_soon(self._call, number)
        with trio.move_on_after(seconds):
            await self._has_sent.wait()

    def _note_end(self) -> None:
        self.sending -= 1
        if not self.sending:
            self._has_sent.set()

    async def _call(self, number: int) -> None:
        try:
            stream = await self._connect()
        except (OSError, trio.TooSlowError):
            self._note_end()
            return
        async with stream:
            try:
                await self._send(stream, number)
            finally:
                self._note_end()
            if self.reads_slowly:
                await _read_slowly(stream)
            await trio.sleep_forever()

    async def _send(self, stream: trio.SocketStream, number: int) -> None:
        with suppress(trio.BrokenResourceError):
            for part in self.make_parts(number):
                await stream.send_all(part)

    async def _connect(self) -> trio.SocketStream:
        with trio.fail_after(_CONNECT_SECONDS):
            stream = await trio.open_tcp_stream(
                self.address.host, self.address.port
            )
        if self.reads_slowly:
            stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ_BYTES
            )
        return stream


async def _read_slowly(stream: trio.SocketStream) -> None:
    arrived = b'.'
    with suppress(trio.BrokenResourceError):
        while arrived:
            await trio.sleep(SLOW_READ_INTERVAL_SECONDS)
            arrived = await stream.receive_some(SLOW_READ_BYTES)
