"""An HTTP/1.1 client with connection pools and idle timeouts.

Calls don't rely on TCP to detect a dead peer: each wait for the peer has a
timeout. The verdict of a failed call says whether its request may have
reached the peer.
"""

import math
import select
import socket
from collections import defaultdict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from urllib.parse import urlencode

import h11
import trio
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.transport.bodies import drop_first
from limpetdrift.transport.messages import (
    Address,
    Headers,
    Request,
    Response,
    encode_headers,
)
from limpetdrift.transport.response_heads import (
    UnsoundAnswerError,
    check_response,
    find_response_head,
)
from limpetdrift.verdict import (
    Failure,
    FailureError,
    Reason,
    may_have_run,
    not_run,
)

# Maximum size of one read: of a head with a short body, and of a long body.
HEAD_RECEIVE_BYTES = 16_384
RECEIVE_BYTES = 262_144
# Time without an acknowledgement after which a connection breaks, and interval
# of the TCP keep-alive probes. The socket options take whole seconds.
KEEP_ALIVE_TIMEOUT_SECONDS = 3
KEEP_ALIVE_INTERVAL_SECONDS = 1
# A request of this size fits into the buffers of a new connection. A longer one
# is written in parts of this size, each of which extends the idle timeout.
SHORT_REQUEST_BYTES = 65_536
# Interim responses before a response. A peer may send a few of them.
MAX_INTERIM_RESPONSES = 16
_BROKEN_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.RemoteProtocolError,
    UnsoundAnswerError,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class ClientLimits:
    """Limits of a client on time, memory and pooled connections.

    ``connect_seconds`` is the connect timeout. ``idle_timeout_seconds``
    bounds each wait for the peer's next byte. ``idle_seconds`` is the time
    for which an unused connection stays in the pool, and
    ``idle_connections`` the maximum number of them for each address. With
    ``probes_keep_alive``, a connection breaks about
    ``KEEP_ALIVE_TIMEOUT_SECONDS`` after the peer's machine has stopped
    acknowledging, also while nothing is sent; a process that only pauses still
    acknowledges. ``whole_bytes`` is the maximum length of a body, or a line of
    one, that is read as a whole: a peer may send bytes without end.
    """

    connect_seconds: float = 1.0
    idle_timeout_seconds: float = 5.0
    idle_seconds: float = 30.0
    idle_connections: int = 32
    probes_keep_alive: bool = False
    whole_bytes: int = 33_554_432


@dataclass(kw_only=True, slots=True)
class _PooledConnection:
    """A connection, its h11 state and the time since which it is idle.

    ``is_sent`` is whether the last request was written to its end, and
    ``sending`` the state of a long one. ``read_bytes`` is the maximum size of
    the next read.
    """

    stream: trio.abc.Stream
    protocol: h11.Connection
    is_sent: bool = False
    sending: '_Sending | None' = None
    read_bytes: int = HEAD_RECEIVE_BYTES
    reused: bool = False
    idle_since: float = 0.0


@dataclass(kw_only=True, slots=True)
class _Sending:
    """A long request that is sent while its answer is read."""

    scope: trio.CancelScope
    ended: trio.Event
    has_failed: bool = False


class IdleTimeout:
    """Cancels a call that waits for its peer longer than the idle timeout.

    One cancel scope serves the whole call, since a scope for each read would
    cost more than the read. Between waits the scope has no deadline.
    """

    def __init__(self, *, seconds: float) -> None:
        self.seconds = seconds
        self.scope = trio.CancelScope()

    def start(self) -> None:
        """Set the deadline at the start of a wait for the peer."""
        self.scope.deadline = trio.current_time() + self.seconds

    def extend(self) -> None:
        """Restart a running timeout after bytes were sent."""
        if self.scope.deadline < math.inf:
            self.start()

    def stop(self) -> None:
        """Remove the deadline at the end of a wait for the peer."""
        self.scope.deadline = math.inf


class ResponseStream:
    """The head of a response, and its body as an asynchronous stream."""

    def __init__(
        self,
        *,
        status: int,
        headers: Headers,
        connection: _PooledConnection,
        idle_timeout: 'IdleTimeout',
        whole_bytes: int,
    ) -> None:
        self.status = status
        self.headers = headers
        self._whole_bytes = whole_bytes
        self._connection = connection
        self._idle_timeout = idle_timeout

    def expect_bytes(self, length: int) -> None:
        """Set how much of the body may be read at a time.

        It is ``HEAD_RECEIVE_BYTES`` before, and ``RECEIVE_BYTES`` at most.
        """
        self._connection.read_bytes = min(RECEIVE_BYTES, length)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in parts; raise ``FailureError`` if it breaks off."""
        while True:
            event = await _next_event(self._connection, self._idle_timeout)
            if not isinstance(event, h11.Data):
                return
            yield bytes(event.data)

    async def lines(self) -> AsyncIterator[bytes]:
        """Yield the body's lines without the trailing newlines."""
        rest = b''
        self.expect_bytes(RECEIVE_BYTES)
        async for chunk in self.chunks():
            *whole, rest = (rest + chunk).split(b'\n')
            for line in whole:
                yield line
            self._check_length(len(rest))
        if rest:
            yield rest

    async def read(self) -> bytes:
        """Return the whole body; raise ``FailureError`` if it is too long."""
        chunks = []
        length = 0
        self.expect_bytes(RECEIVE_BYTES)
        async for chunk in self.chunks():
            length += len(chunk)
            self._check_length(length)
            chunks.append(chunk)
        return b''.join(chunks)

    def _check_length(self, length: int) -> None:
        if length > self._whole_bytes:
            raise FailureError(
                may_have_run(
                    Reason.BAD_ANSWER,
                    f'body is longer than {self._whole_bytes} bytes',
                ),
            )


class HttpClient:
    """Sends requests to any number of addresses over pooled connections."""

    def __init__(self, *, limits: ClientLimits | None = None) -> None:
        self._limits = limits or ClientLimits()
        self._idle: dict[Address, list[_PooledConnection]] = defaultdict(list)
        self._swept_at = -math.inf

    @asynccontextmanager
    async def stream(
        self,
        address: Address,
        request: Request,
        *,
        idle_timeout_seconds: float | None = None,
        new_connection: bool = False,
    ) -> AsyncIterator[ResponseStream]:
        """Send a request and open its response as a stream.

        Failures raise ``FailureError``. ``new_connection`` bypasses the pool,
        so that a refused connection proves that nothing was sent. The
        connection returns to the pool only if the whole body was read.
        """
        idle_timeout = IdleTimeout(
            seconds=idle_timeout_seconds or self._limits.idle_timeout_seconds,
        )
        connection = await self._connect(address, new_connection=new_connection)
        try:
            with idle_timeout.scope:
                parts = _encode_request(connection.protocol, address, request)
                async with _sending(connection, parts, idle_timeout):
                    yield await _open_response(
                        connection,
                        address,
                        idle_timeout,
                        self._limits.whole_bytes,
                    )
        finally:
            self._release(address, connection)
        if idle_timeout.scope.cancelled_caught:
            raise FailureError(
                may_have_run(
                    Reason.IDLE_TIMEOUT,
                    f'{address}: no byte for {idle_timeout.seconds} s',
                ),
            )

    async def fetch(
        self,
        address: Address,
        request: Request,
        *,
        timeout_seconds: float,
        new_connection: bool = False,
    ) -> Result[Response, Failure]:
        """Send a request and read the whole response within the timeout."""
        with trio.move_on_after(timeout_seconds):
            try:
                return Ok(
                    await self._fetch(address, request, new_connection),
                )
            except FailureError as error:
                return Error(error.failure)
        self.drop_idle_connections(address)
        return Error(may_have_run(Reason.TIMEOUT, f'no answer from {address}'))

    def drop_idle_connections(self, address: Address) -> None:
        """Close the pooled connections to an address that doesn't respond."""
        for connection in self._idle.pop(address, []):
            _close(connection)

    def close(self) -> None:
        """Close all pooled connections."""
        for address in list(self._idle):
            self.drop_idle_connections(address)

    async def _fetch(
        self,
        address: Address,
        request: Request,
        new_connection: bool,
    ) -> Response:
        async with self.stream(
            address,
            request,
            idle_timeout_seconds=math.inf,
            new_connection=new_connection,
        ) as opened:
            body = await opened.read()
            return Response(
                status=opened.status,
                headers=opened.headers,
                body=body,
            )

    async def _connect(
        self, address: Address, *, new_connection: bool
    ) -> _PooledConnection:
        self._sweep()
        if not new_connection:
            pooled = self._take_idle(address)
            if pooled is not None:
                return pooled
        try:
            with trio.fail_after(self._limits.connect_seconds):
                stream = await _connect(address)
            if self._limits.probes_keep_alive:
                _probe_keep_alive(stream)
        except (OSError, trio.TooSlowError) as error:
            # Only a refused connection proves that no process listens there.
            refused = isinstance(error, ConnectionRefusedError)
            reason = Reason.CONNECT_TIMEOUT
            if refused:
                reason = Reason.CONNECT_FAILED
            telemetry.count('connect_failures', reason=reason)
            raise FailureError(
                not_run(reason, f'{address}: {error!r}'),
            ) from error
        return _PooledConnection(
            stream=stream, protocol=h11.Connection(h11.CLIENT)
        )

    def _take_idle(self, address: Address) -> _PooledConnection | None:
        idle = self._idle.get(address, [])
        earliest = trio.current_time() - self._limits.idle_seconds
        while idle:
            connection = idle.pop()
            if connection.idle_since >= earliest and _is_quiet(connection):
                connection.reused = True
                return connection
            _close(connection)
        return None

    def _sweep(self) -> None:
        """Close all connections that are idle for too long.

        Those to an address that is not asked again would stay open. They are
        looked through once in the time that one may be idle.
        """
        now = trio.current_time()
        earliest = now - self._limits.idle_seconds
        if self._swept_at > earliest:
            return
        self._swept_at = now
        for address, connections in list(self._idle.items()):
            expired = [
                each for each in connections if each.idle_since < earliest
            ]
            for connection in expired:
                _close(connection)
                connections.remove(connection)
            if not connections:
                self._idle.pop(address)

    def _release(self, address: Address, connection: _PooledConnection) -> None:
        protocol = connection.protocol
        states = {protocol.our_state, protocol.their_state}
        is_complete = connection.is_sent and states == {h11.DONE}
        idle = self._idle.get(address, ())
        has_more = bool(protocol.trailing_data[0])
        is_full = len(idle) >= self._limits.idle_connections
        if not is_complete or has_more or is_full:
            _close(connection)
            return
        protocol.start_next_cycle()
        connection.idle_since = trio.current_time()
        self._idle[address].append(connection)


async def _connect(address: Address) -> trio.SocketStream:
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    sock = trio.socket.socket(family, socket.SOCK_STREAM)
    try:
        await sock.connect((address.host, address.port))
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


def _probe_keep_alive(stream: trio.SocketStream) -> None:
    probes = KEEP_ALIVE_TIMEOUT_SECONDS // KEEP_ALIVE_INTERVAL_SECONDS - 1
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in (
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, probes),
    ):
        stream.setsockopt(socket.IPPROTO_TCP, option, setting)


async def is_connection_refused(
    address: Address, timeout_seconds: float
) -> bool:
    """Return whether connections to an address are refused.

    Only a refusal proves that no process listens there; a timeout does not.
    """
    with trio.move_on_after(timeout_seconds):
        try:
            stream = await _connect(address)
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        await trio.aclose_forcefully(stream)
    return False


def _is_quiet(connection: _PooledConnection) -> bool:
    """Return whether an idle connection is open and has nothing to read.

    Bytes that no request is waiting for, such as a second copy of an answer,
    would be taken for the answer to the next request.
    """
    if not isinstance(connection.stream, trio.SocketStream):
        return True
    descriptor = connection.stream.socket.fileno()
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return not poller.poll(0)


def _close(connection: _PooledConnection) -> None:
    transport = connection.stream
    if isinstance(transport, trio.SSLStream):
        transport = transport.transport_stream
    if isinstance(transport, trio.SocketStream):
        transport.socket.close()


async def _open_response(
    connection: _PooledConnection,
    address: Address,
    idle_timeout: IdleTimeout,
    whole_bytes: int,
) -> ResponseStream:
    received = bytearray()
    event = await _next_head(connection, idle_timeout, received)
    interim_count = 0
    while isinstance(event, h11.InformationalResponse):
        interim_count += 1
        if interim_count > MAX_INTERIM_RESPONSES:
            raise FailureError(
                may_have_run(
                    Reason.BAD_ANSWER, f'{address}: only interim responses'
                ),
            )
        event = await _next_head(connection, idle_timeout, received)
    if received:
        connection.protocol.receive_data(bytes(received))
    return ResponseStream(
        status=event.status_code,
        headers=_decode_headers(event.headers),
        connection=connection,
        idle_timeout=idle_timeout,
        whole_bytes=whole_bytes,
    )


@asynccontextmanager
async def _sending(
    connection: _PooledConnection,
    parts: tuple[bytes, ...],
    idle_timeout: IdleTimeout,
) -> AsyncIterator[None]:
    """Send a request; a long one is sent while its response is read.

    A server may respond before it has read a long body, and read no further.
    """
    connection.is_sent = False
    connection.sending = None
    connection.read_bytes = HEAD_RECEIVE_BYTES
    idle_timeout.start()
    if len(parts) == 1:
        try:
            await _send(connection, parts, idle_timeout)
        except _BROKEN_ERRORS as error:
            raise FailureError(
                may_have_run(Reason.CONNECTION_BROKEN, repr(error)),
            ) from error
        yield
        return
    failure = None
    connection.sending = _Sending(scope=trio.CancelScope(), ended=trio.Event())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _send_long, connection, connection.sending, parts, idle_timeout
        )
        # Raised outside of the nursery, which would wrap it.
        try:
            yield
        except Exception as error:
            failure = error
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure


async def _send_long(
    connection: _PooledConnection,
    sending: _Sending,
    parts: tuple[bytes, ...],
    idle_timeout: IdleTimeout,
) -> None:
    try:
        with sending.scope:
            await _send(connection, parts, idle_timeout)
    except _BROKEN_ERRORS as error:
        # A response of a known length may have arrived whole before.
        sending.has_failed = True
        telemetry.count('requests_sent_in_part', reason=type(error).__name__)
    finally:
        sending.ended.set()


async def _check_end(connection: _PooledConnection) -> None:
    """Raise ``BrokenResourceError`` if the peer did not end a connection.

    A socket reports that its connection was reset once, to the one that sends
    or the one that receives. The other then finds an ordinary end.
    """
    sending = connection.sending
    if sending is None:
        return
    sending.scope.cancel()
    await sending.ended.wait()
    if sending.has_failed:
        raise trio.BrokenResourceError('reset while the request was sent')


async def _send(
    connection: _PooledConnection,
    parts: tuple[bytes, ...],
    idle_timeout: IdleTimeout,
) -> None:
    for part in parts:
        remaining = memoryview(part)
        while remaining:
            await connection.stream.send_all(remaining[:SHORT_REQUEST_BYTES])
            remaining = remaining[SHORT_REQUEST_BYTES:]
            idle_timeout.extend()
    connection.is_sent = True


def _encode_request(
    protocol: h11.Connection,
    address: Address,
    request: Request,
) -> tuple[bytes, ...]:
    """Return a short request as a whole, a long one's body without a copy."""
    own_headers = [('content-length', str(len(request.body)))]
    if not request.header('host'):
        own_headers.append(('host', str(address)))
    try:
        head = h11.Request(
            method=request.method,
            target=_request_target(request),
            headers=encode_headers((*own_headers, *request.headers)),
        )
    except (h11.LocalProtocolError, UnicodeEncodeError) as error:
        # A name or path from outside that no request can hold.
        raise FailureError(not_run(Reason.INTERNAL, str(error))) from error
    head_bytes = protocol.send(head) or b''
    # The framing is a length, so that the bytes are those of the body.
    if request.body:
        protocol.send(h11.Data(data=request.body))
    protocol.send(h11.EndOfMessage())
    if len(head_bytes) + len(request.body) <= SHORT_REQUEST_BYTES:
        return (head_bytes + request.body,)
    return (head_bytes, request.body)


def _request_target(request: Request) -> str:
    if request.target:
        return request.target
    if not request.query:
        return request.path
    return f'{request.path}?{urlencode(request.query)}'


async def _next_head(
    connection: _PooledConnection,
    idle_timeout: IdleTimeout,
    received: bytearray,
) -> h11.Response | h11.InformationalResponse:
    """Read the next head; bytes after it stay in ``received``."""
    try:
        end = await _receive_head(connection, idle_timeout, received)
        connection.protocol.receive_data(bytes(received[:end]))
        head = connection.protocol.next_event()
        check_response(head)
    except _BROKEN_ERRORS as error:
        raise FailureError(
            may_have_run(Reason.CONNECTION_BROKEN, repr(error)),
        ) from error
    drop_first(received, end)
    return head


async def _receive_head(
    connection: _PooledConnection,
    idle_timeout: IdleTimeout,
    received: bytearray,
) -> int:
    """Receive until a head is whole; return its length."""
    end = find_response_head(received) if received else 0
    while not end:
        checked = len(received)
        part = await _receive(connection, idle_timeout)
        if not part:
            raise UnsoundAnswerError('no response')
        received += part
        end = find_response_head(received, checked)
    return end


async def _next_event(
    connection: _PooledConnection,
    idle_timeout: IdleTimeout,
) -> h11.Event | type:
    try:
        while True:
            event = connection.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            part = await _receive(connection, idle_timeout)
            if not part:
                await _check_end(connection)
            connection.protocol.receive_data(part)
    except _BROKEN_ERRORS as error:
        raise FailureError(
            may_have_run(Reason.CONNECTION_BROKEN, repr(error)),
        ) from error


async def _receive(
    connection: _PooledConnection, idle_timeout: IdleTimeout
) -> bytes:
    """Return the next bytes, none if the peer has ended the connection."""
    idle_timeout.start()
    part = await connection.stream.receive_some(connection.read_bytes)
    idle_timeout.stop()
    return part


def _decode_headers(headers: h11._headers.Headers) -> Headers:  # noqa: WPS437
    return tuple(
        (name.decode('ascii'), text.decode('latin-1')) for name, text in headers
    )
