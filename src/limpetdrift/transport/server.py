"""An HTTP/1.1 server that serves each connection in a task of its own.

A handler is an async function that takes an ``Exchange``. It responds with
``respond`` for a whole body, or with ``start``, ``send`` and ``finish`` for a
stream. A request that exceeds a limit or breaks the protocol gets a 4xx
response and is counted; it never reaches a handler.
"""

import math
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote, urlsplit

import h11
import trio
from absl import logging

from limpetdrift import telemetry
from limpetdrift.transport.cut_exchanges import (
    CutExchange,
    CutReason,
    CutRecorder,
    CutTotals,
)
from limpetdrift.transport.messages import (
    DEFAULT_BODY_LIMIT_BYTES,
    DEFAULT_HEADER_LIMIT_BYTES,
    Address,
    Headers,
    Request,
    Response,
)

RECEIVE_BYTES = 65_536
_TEXT_HEADERS = (('content-type', 'text/plain; charset=utf-8'),)
_BAD_REQUEST = 400
_REQUEST_TIMEOUT = 408
_BODY_TOO_LARGE = 413
_HEADERS_TOO_LARGE = 431
_INTERNAL_ERROR = 500


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


class _Connection:
    """The stream and the h11 state of one accepted connection."""

    def __init__(self, *, stream: trio.abc.Stream, limits: ServerLimits):
        self.stream = stream
        self.limits = limits
        self._is_writing = False
        # Bounds every write; a scope for each write would cost more.
        self.write_scope = trio.CancelScope()
        self.protocol = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=limits.header_bytes,
        )

    @property
    def is_answered(self) -> bool:
        """Whether the last response was written to its end."""
        states = {h11.DONE, h11.MUST_CLOSE, h11.CLOSED}
        return not self._is_writing and self.protocol.our_state in states

    async def wait_first_bytes(self) -> bytes:
        """Return a request's first bytes; none when the connection ends."""
        with trio.move_on_after(self.limits.idle_seconds):
            return await self.stream.receive_some(RECEIVE_BYTES)
        telemetry.count('transport_closed', reason='idle-limit')
        return b''

    async def next_event(self, read_seconds: float) -> h11.Event | type:
        """Return the next event; ``read_seconds`` bounds each read."""
        while True:
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            with trio.fail_after(read_seconds):
                received = await self.stream.receive_some(RECEIVE_BYTES)
            self.protocol.receive_data(received)

    async def send(self, *events: h11.Event) -> None:
        """Write events in one call.

        The write scope is cancelled if the peer reads too slowly.
        """
        payload = b''.join(self.protocol.send(event) or b'' for event in events)
        if payload:
            now = trio.current_time()
            self.write_scope.deadline = now + self.limits.write_seconds
            self._is_writing = True
            await self.stream.send_all(payload)
            self._is_writing = False
            self.write_scope.deadline = math.inf


class Exchange:
    """One request, and the methods to send its one response."""

    def __init__(self, *, request: Request, connection: _Connection) -> None:
        self.request = request
        self._connection = connection
        self._started = False
        self._end: CutReason | None = None
        self._close_headers: Headers = ()

    @property
    def started(self) -> bool:
        """Whether sending of the response has begun."""
        return self._started

    @property
    def cut_reason(self) -> CutReason | None:
        """Why this exchange can get no whole response, if that is known."""
        return self._end

    def mark_failed(self) -> None:
        """Record that the handler failed."""
        self._end = CutReason.HANDLER_ERROR

    def close_afterwards(self) -> None:
        """Send ``connection: close`` with the response."""
        self._close_headers = (('connection', 'close'),)

    async def respond(self, response: Response) -> None:
        """Send a whole response."""
        length = str(len(response.body))
        headers = (
            *response.headers,
            *self._close_headers,
            ('content-length', length),
        )
        self._started = True
        await self._connection.send(
            h11.Response(status_code=response.status, headers=list(headers)),
            h11.Data(data=response.body),
            h11.EndOfMessage(),
        )

    async def start(self, status: int, headers: Headers = ()) -> None:
        """Send a response head; without a content length, chunks follow."""
        self._started = True
        await self._connection.send(
            h11.Response(
                status_code=status,
                headers=[*headers, *self._close_headers],
            ),
        )

    async def send(self, payload: bytes) -> None:
        """Send a part of the body."""
        await self._connection.send(h11.Data(data=payload))

    async def finish(self) -> None:
        """End the body, after which the next request can be received."""
        await self._connection.send(h11.EndOfMessage())

    async def abort(self) -> None:
        """Close the connection in the middle of a body."""
        self._end = CutReason.ABORTED
        await trio.aclose_forcefully(self._connection.stream)

    async def wait_closed(self) -> None:
        """Return once the peer has closed or reset the connection.

        Data that arrives meanwhile is buffered for the next request. If that
        is more than ``RECEIVE_BYTES``, and so more than a whole request head
        within the default limit, nothing more is read, and this waits until
        it is cancelled.
        """
        protocol = self._connection.protocol
        while len(protocol.trailing_data[0]) <= RECEIVE_BYTES:
            try:
                received = await self._connection.stream.receive_some(
                    RECEIVE_BYTES,
                )
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                received = b''
            if not received:
                self._end = CutReason.PEER_CLOSED
                return
            protocol.receive_data(received)
        await trio.sleep_forever()


Handler = Callable[[Exchange], Awaitable[None]]


class Server:
    """Passes the requests of each connection to one handler.

    ``find_request_id`` returns the id under which a request is logged.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: ServerLimits | None = None,
        find_request_id: Callable[[Request], str] | None = None,
    ) -> None:
        self._handler = handler
        self._find_request_id = find_request_id or _no_request_id
        self._cuts = CutRecorder()
        self._limits = limits or ServerLimits()
        self._open_exchanges = 0
        self._exchange_closed = trio.Event()

    @property
    def open_exchanges(self) -> int:
        """The number of requests without a complete response."""
        return self._open_exchanges

    @property
    def cut_at_end(self) -> CutTotals:
        """The exchanges that were cancelled together with the server."""
        return self._cuts.totals

    def use_limits(self, limits: ServerLimits) -> None:
        """Set the limits of connections that are accepted from now on."""
        self._limits = limits

    async def wait_idle(self) -> None:
        """Wait until every received request has its complete response."""
        while self._open_exchanges:
            await self._exchange_closed.wait()

    async def serve(
        self,
        listeners: list[trio.abc.Listener],
        *,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until cancelled."""
        await trio.serve_listeners(
            self.handle_stream,
            listeners,
            task_status=task_status,
        )

    async def handle_stream(self, stream: trio.abc.Stream) -> None:
        """Serve the requests of one connection in order until it is closed."""
        connection = _Connection(stream=stream, limits=self._limits)
        try:
            with connection.write_scope:
                await self._serve_requests(connection)
        except _CLOSING_ERRORS as error:
            telemetry.count('transport_closed', reason=type(error).__name__)
        finally:
            await trio.aclose_forcefully(stream)
        if connection.write_scope.cancelled_caught:
            telemetry.count('transport_closed', reason='slow-reader')

    async def _serve_requests(self, connection: _Connection) -> None:
        while True:
            try:
                request = await _receive_request(connection)
            except BadInputError as error:
                await _reject(connection, error)
                return
            if request is None:
                return
            await self._handle_request(connection, request)
            if connection.protocol.our_state is not h11.DONE:
                return
            if connection.protocol.their_state is not h11.DONE:
                return
            connection.protocol.start_next_cycle()

    async def _handle_request(
        self, connection: _Connection, request: Request
    ) -> None:
        exchange = Exchange(request=request, connection=connection)
        started_at = trio.current_time()
        self._open_exchanges += 1
        try:
            await self._handler(exchange)
        except _STREAM_ERRORS:
            raise
        except Exception:
            logging.exception('handler failed: %s', request.path)
            telemetry.count('handler_errors')
            exchange.mark_failed()
            if not exchange.started:
                await exchange.respond(Response(status=_INTERNAL_ERROR))
        finally:
            self._close_exchange()
            if not connection.is_answered:
                self._record_cut(exchange, connection, started_at)

    def _close_exchange(self) -> None:
        self._open_exchanges -= 1
        self._exchange_closed.set()
        self._exchange_closed = trio.Event()

    def _record_cut(
        self, exchange: Exchange, connection: _Connection, started_at: float
    ) -> None:
        """Record an exchange that ends now; an error may be under way."""
        error = sys.exception()
        self._cuts.record(
            CutExchange(
                request_id=self._find_request_id(exchange.request),
                path=exchange.request.path,
                reason=exchange.cut_reason or _cut_reason(error, connection),
                head_sent=exchange.started,
                seconds=trio.current_time() - started_at,
                detail=repr(error) if error else '',
            ),
        )


_STREAM_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
)
_CLOSING_ERRORS = (*_STREAM_ERRORS, h11.LocalProtocolError)


def _no_request_id(request: Request) -> str:
    return ''


def _cut_reason(
    error: BaseException | None, connection: _Connection
) -> CutReason:
    if error is None:
        return CutReason.UNANSWERED
    if _is_cancellation(error):
        if connection.write_scope.cancel_called:
            return CutReason.SLOW_READER
        return CutReason.CANCELLED
    if isinstance(error, trio.BrokenResourceError):
        return CutReason.PEER_CLOSED
    return CutReason.HANDLER_ERROR


def _is_cancellation(error: BaseException) -> bool:
    if isinstance(error, BaseExceptionGroup):
        return error.split(trio.Cancelled)[1] is None
    return isinstance(error, trio.Cancelled)


async def listen(address: Address) -> list[trio.SocketListener]:
    """Open listeners for one IP address and port."""
    return await trio.open_tcp_listeners(address.port, host=address.host)


def bound_address(listeners: list[trio.SocketListener]) -> Address:
    """Return the first listener's address, with the port chosen for port 0."""
    host, port = listeners[0].socket.getsockname()[:2]
    return Address(host=host, port=port)


async def _receive_request(connection: _Connection) -> Request | None:
    try:
        head = await _receive_head(connection)
        if head is None:
            return None
        return await _receive_body(connection, head)
    except h11.RemoteProtocolError as error:
        status = error.error_status_hint or _BAD_REQUEST
        raise BadInputError(status, str(error)) from error
    except trio.TooSlowError as error:
        raise BadInputError(
            _REQUEST_TIMEOUT, 'request came too slowly'
        ) from error


async def _receive_head(connection: _Connection) -> h11.Request | None:
    limits = connection.limits
    if not connection.protocol.trailing_data[0]:
        received = b''
        received = await connection.wait_first_bytes()
        if not received:
            return None
        connection.protocol.receive_data(received)
    with trio.fail_after(limits.head_seconds):
        event = await connection.next_event(limits.head_seconds)
    if not isinstance(event, h11.Request):
        return None
    # h11 applies its limit only to incomplete heads, so that a head which
    # arrives in one read can exceed it.
    size = sum(len(name) + len(text) for name, text in event.headers)
    if size > limits.header_bytes:
        raise BadInputError(_HEADERS_TOO_LARGE, 'headers over the limit')
    return event


async def _receive_body(connection: _Connection, head: h11.Request) -> Request:
    limits = connection.limits
    _check_length(head, limits.body_bytes)
    if connection.protocol.they_are_waiting_for_100_continue:
        await connection.send(
            h11.InformationalResponse(status_code=100, headers=[]),
        )
    parts: list[bytes] = []
    size = 0
    while True:
        event = await connection.next_event(limits.body_seconds)
        if isinstance(event, h11.EndOfMessage):
            return _make_request(head, b''.join(parts))
        if not isinstance(event, h11.Data):
            raise BadInputError(_BAD_REQUEST, 'body ended early')
        size += len(event.data)
        if size > limits.body_bytes:
            raise BadInputError(_BODY_TOO_LARGE, 'body over the limit')
        parts.append(bytes(event.data))


def _check_length(head: h11.Request, limit: int) -> None:
    for name, text in head.headers:
        if name == b'content-length' and int(text) > limit:
            raise BadInputError(_BODY_TOO_LARGE, 'body over the limit')


def _make_request(head: h11.Request, body: bytes) -> Request:
    target = urlsplit(head.target.decode('latin-1'))
    return Request(
        method=head.method.decode('ascii'),
        path=unquote(target.path),
        target=head.target.decode('latin-1'),
        query=dict(parse_qsl(target.query)),
        headers=tuple(
            (name.decode('ascii'), text.decode('latin-1'))
            for name, text in head.headers
        ),
        body=body,
    )


async def _reject(connection: _Connection, error: BadInputError) -> None:
    telemetry.count('bad_input', status=str(error.status))
    if connection.protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
        return
    exchange = Exchange(
        request=Request(method='', path=''),
        connection=connection,
    )
    headers = (*_TEXT_HEADERS, ('connection', 'close'))
    await exchange.respond(
        Response(
            status=error.status,
            headers=headers,
            body=str(error).encode(),
        ),
    )
