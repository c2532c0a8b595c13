"""One connection of a server: its stream, its h11 state and its limits."""

import errno
import math
from collections import deque
from dataclasses import dataclass

import h11
import trio

from limpetdrift import telemetry
from limpetdrift.transport.bad_input import (
    BAD_REQUEST,
    REQUEST_TIMEOUT,
    BadInputError,
)
from limpetdrift.transport.bodies import BodyBuffer
from limpetdrift.transport.connection_account import ConnectionAccount
from limpetdrift.transport.holding import SHORT_BODY_BYTES, Holding
from limpetdrift.transport.messages import (
    DEFAULT_BODY_LIMIT_BYTES,
    DEFAULT_HEADER_LIMIT_BYTES,
)
from limpetdrift.transport.shedding import Phase

# Maximum size of one read: of a head with a short body, and of a long body.
HEAD_READ_BYTES = 16_384
BODY_READ_BYTES = 65_536
# How long a connection is read once more before it is closed as idle.
LAST_READ_SECONDS = 0.05


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerLimits:
    """Limits on each connection of a server.

    ``body_bytes`` and ``header_bytes`` are the maximum sizes of a request's
    body and headers. ``idle_seconds`` bounds the wait for the first byte of a
    request, ``head_seconds`` the wait for the rest of its head,
    ``body_seconds`` each read of its body, and ``write_seconds`` each write
    to the peer. All reads of a body together may take
    ``body_grace_seconds``, and a second more for each
    ``body_bytes_per_second`` that have arrived.
    """

    body_bytes: int = DEFAULT_BODY_LIMIT_BYTES
    header_bytes: int = DEFAULT_HEADER_LIMIT_BYTES
    idle_seconds: float = 75.0
    head_seconds: float = 10.0
    body_seconds: float = 10.0
    body_grace_seconds: float = 30.0
    body_bytes_per_second: float = 8192.0
    write_seconds: float = 20.0


class Connection:
    """The stream and the h11 state of one accepted connection.

    ``limits`` are those in force; each wait uses those at its beginning.
    ``received`` holds what has arrived and is not parsed, ``body`` what has
    arrived of a request's body. ``holding`` counts both in the account.
    """

    def __init__(
        self,
        *,
        stream: trio.abc.Stream,
        limits: ServerLimits,
        account: ConnectionAccount,
    ) -> None:
        self.stream = stream
        self.limits = limits
        self.holding = Holding(account=account, drop=self._drop_request)
        self.received = bytearray()
        self.body = BodyBuffer()
        self._idle_since = trio.current_time()
        self._is_closing = False
        # What is left to write, and whether an unknown part of it was written.
        self._unsent: deque[memoryview] = deque()
        self._is_torn = False
        self._idle_scope = trio.CancelScope()
        # Bounds each read of a request; a scope for each would cost more.
        self._receive_scope = trio.CancelScope()
        # Bounds every write.
        self.write_scope = trio.CancelScope()
        # Bounds the handler of the request under way.
        self.handler_scope = trio.CancelScope()
        self.protocol = h11.Connection(h11.SERVER)

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
        self.holding.enter(Phase.IDLE)
        self._idle_since = trio.current_time()
        self._idle_scope = trio.CancelScope(
            deadline=self._idle_since + self.limits.idle_seconds
        )
        if not self._is_closing:
            with self._idle_scope:
                return await self.stream.receive_some(HEAD_READ_BYTES)
        if self.holding.is_shed:
            return b''
        # A request may have arrived as the wait ended.
        with trio.move_on_after(LAST_READ_SECONDS):
            return await self.stream.receive_some(HEAD_READ_BYTES)
        reason = 'server-closing' if self._is_closing else 'idle-limit'
        telemetry.count('transport_closed', reason=reason)
        return b''

    def begin_request(self) -> trio.CancelScope:
        """Return the scope in which a request has to be received.

        Raises ``BadInputError`` if the connection was shed meanwhile.
        """
        self.holding.check()
        self.holding.enter(Phase.RECEIVING)
        self._receive_scope = trio.CancelScope()
        return self._receive_scope

    def check_received(self) -> None:
        """Raise ``BadInputError`` if the scope of ``begin_request`` has ended.

        The request came too slowly, or had to make room for others.
        """
        self.holding.check()
        if self._receive_scope.cancelled_caught:
            raise BadInputError(REQUEST_TIMEOUT, 'request came too slowly')

    async def receive_more(self, max_bytes: int, until: float) -> int:
        """Read more of a request until a time; return the number of bytes.

        Raises ``BadInputError`` if the peer has closed the connection.
        """
        self._receive_scope.deadline = until
        arrived = await self.stream.receive_some(max_bytes)
        self._receive_scope.deadline = math.inf
        # The bytes before these are lost if the connection was shed.
        self.holding.check()
        if not arrived:
            raise BadInputError(BAD_REQUEST, 'request ended early')
        self.holding.note_progress(len(arrived))
        self.received += arrived
        return len(arrived)

    async def send(self, *events: h11.Event) -> None:
        """Write events in one call.

        If this is cancelled, ``flush`` writes what is left. The write scope is
        cancelled if the peer reads too slowly.
        """
        parts = [self.protocol.send(event) or b'' for event in events]
        if sum(map(len, parts)) <= SHORT_BODY_BYTES:
            parts = [b''.join(parts)]
        # A long body is not copied to join it to its head.
        self._unsent.extend(memoryview(part) for part in parts if part)
        await self.flush()

    async def flush(self) -> None:
        """Write what is left of the events."""
        if not self._unsent:
            return
        now = trio.current_time()
        self.write_scope.deadline = now + self.limits.write_seconds
        # A slice keeps all of the bytes in memory, however short it is.
        length = sum(part.nbytes for part in self._unsent)
        is_held = length > SHORT_BODY_BYTES
        if is_held:
            self.holding.hold_answer(length)
        try:
            while self._unsent:
                await self._send_part()
                if self._unsent:
                    is_held = True
                    self.holding.hold_answer(length)
        finally:
            # No write is under way after one that was cancelled.
            self.write_scope.deadline = math.inf
        if is_held:
            self.holding.hold_answer(0)

    def _drop_request(self) -> None:
        self.body.clear()
        self.received.clear()
        self._idle_scope.cancel()
        self._receive_scope.cancel()
        if self._unsent:
            self.write_scope.cancel()

    async def _send_part(self) -> None:
        """Write some bytes; none if cancelled."""
        if isinstance(self.stream, trio.SocketStream):
            part = self._unsent[0]
            sent = await _send_to_socket(self.stream.socket, part)
            self._unsent.popleft()
            if sent < part.nbytes:
                self._unsent.appendleft(part[sent:])
            return
        # Such a stream doesn't tell how much it took before it was cancelled.
        payload = b''.join(self._unsent)
        self._unsent.clear()
        self._is_torn = True
        await self.stream.send_all(payload)
        self._is_torn = False


async def _send_to_socket(
    sock: trio.socket.SocketType, payload: memoryview
) -> int:
    try:
        return await sock.send(payload)
    except OSError as error:
        if error.errno == errno.EBADF:
            raise trio.ClosedResourceError from error
        raise trio.BrokenResourceError(str(error)) from error
