"""One connection of a server: its stream, its h11 state and its limits."""

import errno
import math
import sys
from collections.abc import Callable
from dataclasses import dataclass

import h11
import trio

from limpetdrift import telemetry
from limpetdrift.transport.messages import (
    DEFAULT_BODY_LIMIT_BYTES,
    DEFAULT_HEADER_LIMIT_BYTES,
)

# Maximum size of one read.
RECEIVE_BYTES = 65_536
# How long a connection is read once more before it is closed as idle.
LAST_READ_SECONDS = 0.05
HEADERS_TOO_LARGE = 431
_NOTHING = memoryview(b'')


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerLimits:
    """Limits on each connection of a server.

    ``body_bytes`` and ``header_bytes`` are the maximum sizes of a request's
    body and headers. ``idle_seconds`` bounds the wait for the first byte of a
    request, ``head_seconds`` the wait for the rest of its head,
    ``body_seconds`` each read of its body, and ``write_seconds`` each write
    to the peer.
    """

    body_bytes: int = DEFAULT_BODY_LIMIT_BYTES
    header_bytes: int = DEFAULT_HEADER_LIMIT_BYTES
    idle_seconds: float = 75.0
    head_seconds: float = 10.0
    body_seconds: float = 10.0
    write_seconds: float = 20.0


class BadInputError(Exception):
    """A request exceeds a limit or breaks the protocol.

    ``status`` is the HTTP status to respond with.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class Connection:
    """The stream and the h11 state of one accepted connection.

    ``limits`` are those in force; each wait uses those at its beginning.
    """

    def __init__(self, *, stream: trio.abc.Stream, limits: ServerLimits):
        self.stream = stream
        self.limits = limits
        self._idle_since = trio.current_time()
        self._is_closing = False
        # What is left to write, and whether an unknown part of it was written.
        self._unsent = _NOTHING
        self._is_torn = False
        self._idle_scope = trio.CancelScope()
        # Bounds every write; a scope for each write would cost more.
        self.write_scope = trio.CancelScope()
        # Bounds the handler of the request under way.
        self.handler_scope = trio.CancelScope()
        self.protocol = h11.Connection(
            h11.SERVER,
            # h11's own bound can't change; next_event enforces the limit.
            max_incomplete_event_size=sys.maxsize,
        )

    @property
    def is_closing(self) -> bool:
        """Whether the connection closes after the request under way."""
        return self._is_closing

    @property
    def is_ended(self) -> bool:
        """Whether the last response has its end, written or not."""
        return self.protocol.our_state in {h11.DONE, h11.MUST_CLOSE, h11.CLOSED}

    @property
    def is_answered(self) -> bool:
        """Whether the last response was written to its end."""
        return self.is_ended and not (self._unsent or self._is_torn)

    def use_limits(self, limits: ServerLimits) -> None:
        """Set the limits of the waits to come.

        A wait for a request is extended by a longer limit, but not shortened:
        the peer may still count on the limit under which it began.
        """
        self.limits = limits
        self._idle_scope.deadline = max(
            self._idle_scope.deadline, self._idle_since + limits.idle_seconds
        )

    def close_when_idle(self) -> None:
        """Close after the request that is being received or answered."""
        self._is_closing = True
        self._idle_scope.cancel()

    async def wait_first_bytes(self) -> bytes:
        """Return a request's first bytes, ``b''`` when the connection ends."""
        self._idle_since = trio.current_time()
        self._idle_scope = trio.CancelScope(
            deadline=self._idle_since + self.limits.idle_seconds
        )
        if not self._is_closing:
            with self._idle_scope:
                return await self.stream.receive_some(RECEIVE_BYTES)
        # A request may have arrived as the wait ended.
        with trio.move_on_after(LAST_READ_SECONDS):
            return await self.stream.receive_some(RECEIVE_BYTES)
        reason = 'server-closing' if self._is_closing else 'idle-limit'
        telemetry.count('transport_closed', reason=reason)
        return b''

    async def next_event(
        self,
        read_seconds: float,
        check: Callable[[bytes], None] | None = None,
    ) -> h11.Event | type:
        """Return the next event; ``read_seconds`` bounds each read.

        ``check`` gets all bytes that are not parsed yet, before they are.
        Raise ``BadInputError`` if an incomplete head is over its limit.
        """
        while True:
            if check is not None:
                check(self.protocol.trailing_data[0])
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            if len(self.protocol.trailing_data[0]) > self.limits.header_bytes:
                raise BadInputError(HEADERS_TOO_LARGE, 'headers over the limit')
            with trio.fail_after(read_seconds):
                received = await self.stream.receive_some(RECEIVE_BYTES)
            self.protocol.receive_data(received)

    async def send(self, *events: h11.Event) -> None:
        """Write events in one call.

        If this is cancelled, ``flush`` writes what is left. The write scope is
        cancelled if the peer reads too slowly.
        """
        payload = b''.join(self.protocol.send(event) or b'' for event in events)
        if payload:
            self._unsent = memoryview(bytes(self._unsent) + payload)
            await self.flush()

    async def flush(self) -> None:
        """Write what is left of the events."""
        if not self._unsent:
            return
        now = trio.current_time()
        self.write_scope.deadline = now + self.limits.write_seconds
        try:
            while self._unsent:
                sent = await self._send_part()
                self._unsent = self._unsent[sent:]
        finally:
            # No write is under way after one that was cancelled.
            self.write_scope.deadline = math.inf
        # A slice keeps all of the bytes in memory, however short it is.
        self._unsent = _NOTHING

    async def _send_part(self) -> int:
        """Write some bytes and return their number; none if cancelled."""
        if isinstance(self.stream, trio.SocketStream):
            return await _send_to_socket(self.stream.socket, self._unsent)
        # Such a stream doesn't tell how much it took before it was cancelled.
        payload = self._unsent
        self._unsent = _NOTHING
        self._is_torn = True
        await self.stream.send_all(payload)
        self._is_torn = False
        return 0


async def _send_to_socket(
    sock: trio.socket.SocketType, payload: memoryview
) -> int:
    try:
        return await sock.send(payload)
    except OSError as error:
        if error.errno == errno.EBADF:
            raise trio.ClosedResourceError from error
        raise trio.BrokenResourceError(str(error)) from error
