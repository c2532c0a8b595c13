"""An HTTP/1.1 client with a pool, verdicts and silence limits.

No call waits for TCP to notice a dead peer: every wait for progress has its
own limit. A failed call says whether its request may have reached the peer.
"""

import math
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
from limpetdrift.protocol.verdict import (
    Failure,
    FailureError,
    Reason,
    may_have_run,
    not_run,
)
from limpetdrift.transport.messages import (
    Address,
    Headers,
    Request,
    Response,
)

RECEIVE_BYTES = 262_144
_BROKEN_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.RemoteProtocolError,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class ClientLimits:
    """Time limits, in seconds, and the number of idle connections kept.

    ``silence_seconds`` bounds each wait for the peer's next byte.
    """

    connect_seconds: float = 1.0
    idle_timeout_seconds: float = 5.0
    idle_seconds: float = 30.0
    idle_connections: int = 32


@dataclass(kw_only=True, slots=True)
class _Pooled:
    """A connection with its h11 state and the time it was last used."""

    stream: trio.abc.Stream
    protocol: h11.Connection
    reused: bool = False
    idle_since: float = 0.0


class SilenceWatch:
    """Cancels a call whose peer keeps it waiting without a byte.

    One scope serves the whole call, since a scope for each read would cost
    more than the read. While nothing is awaited from the peer its deadline
    is off.
    """

    def __init__(self, *, seconds: float) -> None:
        self.seconds = seconds
        self.scope = trio.CancelScope()

    def start(self) -> None:
        """Begin a wait for the peer."""
        self.scope.deadline = trio.current_time() + self.seconds

    def stop(self) -> None:
        """End a wait for the peer."""
        self.scope.deadline = math.inf


class ResponseStream:
    """The head of a response, and its body as it arrives."""

    def __init__(
        self,
        *,
        status: int,
        headers: Headers,
        connection: _Pooled,
        watch: 'SilenceWatch',
    ) -> None:
        self.status = status
        self.headers = headers
        self._connection = connection
        self._watch = watch

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield parts of the body; raise ``FailureError`` when it breaks."""
        while True:
            event = await _next_event(self._connection, self._watch)
            if not isinstance(event, h11.Data):
                return
            yield bytes(event.data)

    async def lines(self) -> AsyncIterator[bytes]:
        """Yield the body's lines without their line ends."""
        rest = b''
        async for chunk in self.chunks():
            *whole, rest = (rest + chunk).split(b'\n')
            for line in whole:
                yield line
        if rest:
            yield rest

    async def read(self) -> bytes:
        """Return the whole body."""
        return b''.join([chunk async for chunk in self.chunks()])


class HttpClient:
    """Calls to many addresses over pooled connections."""

    def __init__(self, *, limits: ClientLimits | None = None) -> None:
        self._limits = limits or ClientLimits()
        self._idle: dict[Address, list[_Pooled]] = defaultdict(list)

    @asynccontextmanager
    async def stream(
        self,
        address: Address,
        request: Request,
        *,
        idle_timeout_seconds: float | None = None,
        new_connection: bool = False,
    ) -> AsyncIterator[ResponseStream]:
        """Open a call; raise ``FailureError`` where it fails.

        ``fresh`` asks for a new connection, so that a refusal proves that
        nothing was sent. The connection goes back to the pool only after a
        whole body.
        """
        watch = SilenceWatch(
            seconds=idle_timeout_seconds or self._limits.idle_timeout_seconds,
        )
        connection = await self._connect(address, new_connection=new_connection)
        try:
            with watch.scope:
                yield await _exchange(connection, address, request, watch)
        finally:
            self._release(address, connection)
        if watch.scope.cancelled_caught:
            raise FailureError(
                may_have_run(
                    Reason.IDLE_TIMEOUT,
                    f'{address}: no byte for {watch.seconds} s',
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
        """Make one call and read its whole answer within the timeout."""
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
        """Drop the idle connections to an address that went silent."""
        for connection in self._idle.pop(address, []):
            _close(connection)

    def close(self) -> None:
        """Drop all idle connections."""
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
    ) -> _Pooled:
        if not new_connection:
            pooled = self._take_idle(address)
            if pooled is not None:
                return pooled
        try:
            with trio.fail_after(self._limits.connect_seconds):
                stream = await _connect(address)
        except (OSError, trio.TooSlowError) as error:
            # Only a refusal proves that no process listens there.
            refused = isinstance(error, ConnectionRefusedError)
            reason = Reason.CONNECT_TIMEOUT
            if refused:
                reason = Reason.CONNECT_FAILED
            telemetry.count('connect_failures', reason=reason)
            raise FailureError(
                not_run(reason, f'{address}: {error!r}'),
            ) from error
        return _Pooled(stream=stream, protocol=h11.Connection(h11.CLIENT))

    def _take_idle(self, address: Address) -> _Pooled | None:
        idle = self._idle.get(address, [])
        oldest = trio.current_time() - self._limits.idle_seconds
        while idle:
            connection = idle.pop()
            if connection.idle_since >= oldest:
                connection.reused = True
                return connection
            _close(connection)
        return None

    def _release(self, address: Address, connection: _Pooled) -> None:
        protocol = connection.protocol
        states = {protocol.our_state, protocol.their_state}
        whole = states == {h11.DONE}
        idle = self._idle[address]
        if not whole or len(idle) >= self._limits.idle_connections:
            _close(connection)
            return
        protocol.start_next_cycle()
        connection.idle_since = trio.current_time()
        idle.append(connection)


async def _connect(address: Address) -> trio.SocketStream:
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    connecting = trio.socket.socket(family, socket.SOCK_STREAM)
    try:
        await connecting.connect((address.host, address.port))
    except BaseException:
        connecting.close()
        raise
    return trio.SocketStream(connecting)


async def is_connection_refused(address: Address, seconds: float) -> bool:
    """Return whether connections to an address are refused.

    Only that proves that no process listens there; silence does not.
    """
    with trio.move_on_after(seconds):
        try:
            stream = await _connect(address)
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        await trio.aclose_forcefully(stream)
    return False


def _close(connection: _Pooled) -> None:
    raw = connection.stream
    if isinstance(raw, trio.SSLStream):
        raw = raw.transport_stream
    if isinstance(raw, trio.SocketStream):
        raw.socket.close()


async def _exchange(
    connection: _Pooled,
    address: Address,
    request: Request,
    watch: SilenceWatch,
) -> ResponseStream:
    await _send_request(connection, address, request, watch)
    event = await _next_event(connection, watch)
    while isinstance(event, h11.InformationalResponse):
        event = await _next_event(connection, watch)
    if not isinstance(event, h11.Response):
        raise FailureError(
            may_have_run(Reason.CONNECTION_BROKEN, f'{address}: no response'),
        )
    return ResponseStream(
        status=event.status_code,
        headers=_decode_headers(event.headers),
        connection=connection,
        watch=watch,
    )


async def _send_request(
    connection: _Pooled,
    address: Address,
    request: Request,
    watch: SilenceWatch,
) -> None:
    payload = _encode_request(connection.protocol, address, request)
    watch.start()
    try:
        await connection.stream.send_all(payload)
    except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
        raise FailureError(
            may_have_run(Reason.CONNECTION_BROKEN, f'{address}: {error!r}'),
        ) from error


def _encode_request(
    protocol: h11.Connection,
    address: Address,
    request: Request,
) -> bytes:
    added = [('content-length', str(len(request.body)))]
    if not request.header('host'):
        added.append(('host', str(address)))
    head = h11.Request(
        method=request.method,
        target=_target(request),
        headers=[*added, *request.headers],
    )
    payload = protocol.send(head) or b''
    if request.body:
        payload += protocol.send(h11.Data(data=request.body)) or b''
    return payload + (protocol.send(h11.EndOfMessage()) or b'')


def _target(request: Request) -> str:
    if request.target:
        return request.target
    if not request.query:
        return request.path
    return f'{request.path}?{urlencode(request.query)}'


async def _next_event(
    connection: _Pooled,
    watch: SilenceWatch,
) -> h11.Event | type:
    try:
        while True:
            event = connection.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            watch.start()
            received = await connection.stream.receive_some(RECEIVE_BYTES)
            watch.stop()
            connection.protocol.receive_data(received)
    except _BROKEN_ERRORS as error:
        raise FailureError(
            may_have_run(Reason.CONNECTION_BROKEN, repr(error)),
        ) from error


def _decode_headers(headers: h11._headers.Headers) -> Headers:  # noqa: WPS437
    return tuple(
        (name.decode('ascii'), text.decode('latin-1')) for name, text in headers
    )
