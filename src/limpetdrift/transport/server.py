"""An HTTP/1.1 server that serves each connection in a task of its own.

A handler is an async function that takes an ``Exchange``. It responds with
``respond`` for a whole body, or with ``start``, ``send`` and ``finish`` for a
stream. A request that exceeds a limit or breaks the protocol gets a 4xx
response and is counted; it never reaches a handler.
"""

import math
import socket
import sys
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from functools import partial

import h11
import trio
from absl import logging

from limpetdrift import telemetry
from limpetdrift.supervision import keep_running, run_contained
from limpetdrift.transport.accepting import SharedListener, accept_queued
from limpetdrift.transport.bad_input import BadInputError
from limpetdrift.transport.connection import (
    HEAD_READ_BYTES,
    Connection,
    ServerLimits,
)
from limpetdrift.transport.connection_account import ConnectionAccount
from limpetdrift.transport.cut_exchanges import (
    CutExchange,
    CutReason,
    CutRecorder,
    CutTotals,
)
from limpetdrift.transport.holding import AnswerMemory
from limpetdrift.transport.messages import (
    UNAVAILABLE,
    Address,
    Headers,
    Request,
    Response,
    encode_headers,
)
from limpetdrift.transport.receiving import receive_request
from limpetdrift.transport.shedding import STALL_SECONDS

_TEXT_HEADERS = (('content-type', 'text/plain; charset=utf-8'),)
_INTERNAL_ERROR = 500
_STATUSES_WITHOUT_BODY = frozenset((204, 304))
# The system doubles it, for its own data about what was received.
RECEIVE_BUFFER_BYTES = 32_768
# Time in which connections that have stalled make room for others.
_RETRY_AFTER_SECONDS = str(math.ceil(STALL_SECONDS))
# How long the last responses may take when a server closes.
LAST_WRITE_SECONDS = 0.28


class Exchange:
    """One request, and the methods to send its one response.

    ``make_answer_memory`` returns what counts a body that is kept until it is
    whole.
    """

    def __init__(self, *, request: Request, connection: Connection) -> None:
        self.request = request
        self.make_answer_memory = partial(
            AnswerMemory, holding=connection.holding
        )
        self._connection = connection
        self._started = False
        self._has_body = True
        self._cut_reason: CutReason | None = None
        self._closes = connection.is_closing
        self._added_headers: Headers = ()

    @property
    def started(self) -> bool:
        """Whether bytes of the response were handed to the connection."""
        return self._started

    @property
    def is_whole(self) -> bool:
        """Whether the response was handed over to its end.

        The server writes what is left of it after the handler has ended, also
        if the handler was cancelled.
        """
        return self._started and self._connection.is_ended

    @property
    def cut_reason(self) -> CutReason | None:
        """Why this exchange can get no whole response, if that is known."""
        return self._cut_reason

    def mark_cut(self, reason: CutReason) -> None:
        """Record why the handler has ended without a whole response."""
        self._cut_reason = reason

    def close_afterwards(self) -> None:
        """Send ``connection: close`` with the response."""
        self._closes = True

    def add_headers(self, headers: Headers) -> None:
        """Send headers with the response, whatever it is."""
        self._added_headers = headers

    async def respond(self, response: Response) -> None:
        """Send a whole response."""
        self._has_body = _may_have_body(self.request, response.status)
        headers = response.headers
        if response.status not in _STATUSES_WITHOUT_BODY:
            length = str(len(response.body))
            headers = (*headers, ('content-length', length))
        await self._send_head(
            response.status,
            headers,
            h11.Data(data=response.body if self._has_body else b''),
            h11.EndOfMessage(),
        )

    async def start(self, status: int, headers: Headers = ()) -> None:
        """Send a response head; without a content length, chunks follow."""
        self._has_body = _may_have_body(self.request, status)
        await self._send_head(status, headers)

    async def send(self, payload: bytes) -> None:
        """Send a part of the body, unless the response may have none."""
        if self._has_body:
            await self._connection.send(h11.Data(data=payload))

    async def finish(self) -> None:
        """End the body, after which the next request can be received."""
        await self._connection.send(h11.EndOfMessage())

    async def abort(self) -> None:
        """Close the connection in the middle of a body."""
        self._cut_reason = CutReason.ABORTED
        await trio.aclose_forcefully(self._connection.stream)

    async def wait_closed(self) -> None:
        """Return once the peer has closed or reset the connection.

        Data that arrives meanwhile is buffered for the next request. If that
        is more than ``HEAD_READ_BYTES``, nothing more is read, and this waits
        until it is cancelled.
        """
        buffered = self._connection.received
        while len(buffered) <= HEAD_READ_BYTES:
            try:
                arrived = await self._connection.stream.receive_some(
                    HEAD_READ_BYTES,
                )
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                arrived = b''
            if not arrived:
                self._cut_reason = CutReason.PEER_CLOSED
                return
            buffered += arrived
        await trio.sleep_forever()

    async def _send_head(
        self, status: int, headers: Headers, *following: h11.Event
    ) -> None:
        headers = (*headers, *self._added_headers)
        if self._closes or self._connection.holding.account.is_crowded:
            headers = (*headers, ('connection', 'close'))
        # Raises an error if the head is invalid, before anything is sent.
        head = h11.Response(status_code=status, headers=encode_headers(headers))
        # Until here a cancelled handler can still respond otherwise; a write to
        # a socket is tried before it yields.
        await trio.lowlevel.checkpoint_if_cancelled()
        self._started = True
        await self._connection.send(head, *following)


Handler = Callable[[Exchange], Awaitable[None]]


class Server:
    """Passes the requests of each connection to one handler.

    ``account`` bounds what all connections hold, also those of other servers
    with the same account. ``find_request_id`` returns the id under which a
    request is logged.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: ServerLimits | None = None,
        account: ConnectionAccount | None = None,
        find_request_id: Callable[[Request], str] | None = None,
    ) -> None:
        self._handler = handler
        self._account = account or ConnectionAccount()
        self._find_request_id = find_request_id or _no_request_id
        self._cuts = CutRecorder()
        self._limits = limits or ServerLimits()
        self._open_exchanges = 0
        # Woken when an exchange or a connection has ended.
        self._waiting = trio.lowlevel.ParkingLot()
        self._connections: set[Connection] = set()
        # Of the calls of ``serve`` that have not ended.
        self._accept_scopes: list[trio.CancelScope] = []
        self._is_closing = False

    @property
    def open_exchanges(self) -> int:
        """The number of requests without a complete response."""
        return self._open_exchanges

    @property
    def cut_at_end(self) -> CutTotals:
        """The exchanges that were cancelled together with the server."""
        return self._cuts.totals

    def use_limits(self, limits: ServerLimits) -> None:
        """Set the limits of all connections, from their next wait on."""
        self._limits = limits
        for connection in self._connections:
            connection.use_limits(limits)

    async def wait_idle(self) -> None:
        """Wait until every received request has its complete response."""
        while self._open_exchanges:
            await self._waiting.park()

    async def serve(
        self,
        listeners: list[trio.abc.Listener],
        *,
        name: str = 'server',
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until cancelled, and serve those accepted.

        The listeners are closed at the end. An error of a listener, reported
        under ``name``, ends no connection, and connections are accepted again.
        """
        shared = [SharedListener(each) for each in listeners]
        accept_scope = trio.CancelScope()
        self._accept_scopes.append(accept_scope)
        try:
            async with (
                trio.open_nursery() as nursery,
                AsyncExitStack() as open_listeners,
            ):
                for listener in listeners:
                    await open_listeners.enter_async_context(listener)
                task_status.started(listeners)
                with accept_scope:
                    await keep_running(
                        name,
                        partial(
                            trio.serve_listeners,
                            self.handle_stream,
                            shared,
                            handler_nursery=nursery,
                        ),
                    )
                for closing in listeners:
                    await run_contained(
                        name,
                        accept_queued,
                        closing,
                        self.handle_stream,
                        nursery,
                    )
        finally:
            self._accept_scopes.remove(accept_scope)
            self._waiting.unpark_all()

    async def close(self, timeout_seconds: float) -> None:
        """Accept no more connections, and end those that are open.

        Those that the system has accepted already are still served, and
        requests that have begun to arrive are answered. After the timeout the
        handlers are cancelled, requests without any part of a response get
        status 500, and whole responses under way are written to their ends.
        """
        self._is_closing = True
        for connection in self._connections:
            connection.close_when_idle()
        for accept_scope in self._accept_scopes:
            accept_scope.cancel()
        with trio.move_on_after(timeout_seconds):
            await self._wait_unconnected()
        for unfinished in self._connections:
            unfinished.handler_scope.cancel()
        with trio.move_on_after(LAST_WRITE_SECONDS):
            await self._wait_unconnected()

    async def handle_stream(self, stream: trio.abc.Stream) -> None:
        """Serve the requests of one connection in order until it is closed."""
        connection = Connection(
            stream=stream, limits=self._limits, account=self._account
        )
        if not connection.holding.open():
            telemetry.count('transport_closed', reason='no-room')
            await trio.aclose_forcefully(stream)
            return
        if self._is_closing:
            connection.close_when_idle()
        self._connections.add(connection)
        try:
            await self._serve_connection(connection)
        finally:
            self._connections.discard(connection)
            self._waiting.unpark_all()

    async def _wait_unconnected(self) -> None:
        while self._connections or self._accept_scopes:
            await self._waiting.park()

    async def _serve_connection(self, connection: Connection) -> None:
        try:
            with connection.write_scope:
                await self._serve_requests(connection)
        except _CLOSING_ERRORS as error:
            telemetry.count('transport_closed', reason=type(error).__name__)
        except Exception:
            # One connection must not end the process.
            logging.exception('connection failed')
            telemetry.count('transport_closed', reason='error')
        finally:
            connection.holding.leave()
            await trio.aclose_forcefully(connection.stream)
        if connection.write_scope.cancelled_caught:
            telemetry.count('transport_closed', reason='slow-reader')

    async def _serve_requests(self, connection: Connection) -> None:
        protocol = connection.protocol
        while await self._serve_request(connection):
            connection.holding.release_request()
            if {protocol.our_state, protocol.their_state} != {h11.DONE}:
                return
            if not connection.is_answered:
                return
            protocol.start_next_cycle()

    async def _serve_request(self, connection: Connection) -> bool:
        """Serve one request; return whether another one may follow it.

        The request is forgotten before the connection waits for the next one.
        """
        try:
            request = await receive_request(connection)
        except BadInputError as error:
            await _reject(connection, error)
            return False
        if request is None:
            return False
        await self._handle_request(connection, request)
        return True

    async def _handle_request(
        self, connection: Connection, request: Request
    ) -> None:
        exchange = Exchange(request=request, connection=connection)
        started_at = trio.current_time()
        self._open_exchanges += 1
        try:
            await _call_handler(self._handler, exchange, connection)
        except Exception as error:
            # A stream error before the response began is that of another
            # connection of the handler, so this peer can still be answered.
            if exchange.started and isinstance(error, _STREAM_ERRORS):
                raise
            logging.exception('handler failed: %s', request.path)
            telemetry.count('handler_errors')
            exchange.mark_cut(CutReason.HANDLER_ERROR)
            if not exchange.started:
                await exchange.respond(Response(status=_INTERNAL_ERROR))
            if exchange.is_whole:
                await connection.flush()
        finally:
            self._end_exchange(exchange, connection, started_at)

    def _end_exchange(
        self, exchange: Exchange, connection: Connection, started_at: float
    ) -> None:
        """End an exchange; an error may be on its way to the connection."""
        self._open_exchanges -= 1
        self._waiting.unpark_all()
        if connection.is_answered:
            return
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


async def _call_handler(
    handler: Handler, exchange: Exchange, connection: Connection
) -> None:
    connection.handler_scope = trio.CancelScope()
    with connection.handler_scope:
        await handler(exchange)
    if connection.handler_scope.cancelled_caught:
        exchange.mark_cut(CutReason.CANCELLED)
        if not exchange.started:
            await exchange.respond(Response(status=_INTERNAL_ERROR))
    if exchange.is_whole:
        await connection.flush()


_STREAM_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
)
_CLOSING_ERRORS = (*_STREAM_ERRORS, h11.LocalProtocolError)


def _may_have_body(request: Request, status: int) -> bool:
    return request.method != 'HEAD' and status not in _STATUSES_WITHOUT_BODY


def _no_request_id(request: Request) -> str:
    return ''


def _cut_reason(
    error: BaseException | None, connection: Connection
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
    """Open listeners for one IP address and port.

    The connections that they accept have small receive buffers, since what a
    peer sends before it is read takes memory, too.
    """
    listeners = await trio.open_tcp_listeners(address.port, host=address.host)
    for listener in listeners:
        listener.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
    return listeners


def bound_address(listeners: list[trio.SocketListener]) -> Address:
    """Return the first listener's address, with the port chosen for port 0."""
    host, port = listeners[0].socket.getsockname()[:2]
    return Address(host=host, port=port)


async def _reject(connection: Connection, error: BadInputError) -> None:
    telemetry.count('bad_input', status=str(error.status))
    if connection.protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
        return
    connection.body.clear()
    exchange = Exchange(
        request=Request(method='', path=''),
        connection=connection,
    )
    exchange.close_afterwards()
    headers: Headers = _TEXT_HEADERS
    if error.status == UNAVAILABLE:
        headers = (*headers, ('retry-after', _RETRY_AFTER_SECONDS))
    await exchange.respond(
        Response(
            status=error.status,
            headers=headers,
            body=str(error).encode(),
        ),
    )
