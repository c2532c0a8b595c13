"""Connections of the soak's callers, kept open until the entry closes them.

Unlike a pool, a connection keeps what became of a request that its close cut
off: whether the entry had read that request.
"""

import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import h11
import trio

from limpetdrift.transport.messages import Address, Request

CONNECT_TIMEOUT_SECONDS = 1.0
_RECEIVE_BYTES = 65_536
# The states of a TCP connection that was reset, and of one whose peer has
# closed its end after it had read all bytes.
_TCP_CLOSE = 7
# Wait for the reset that answers bytes sent to a closed connection.
_RESET_SECONDS = 0.05


class UnansweredError(Exception):
    """The connection ended before the answer was complete.

    ``is_unread`` is set if the entry had not read the request.
    """

    def __init__(self, *, is_unread: bool) -> None:
        super().__init__()
        self.is_unread = is_unread


@dataclass(kw_only=True)
class Connection:
    """An open connection to an entry, which carries one request at a time."""

    stream: trio.SocketStream
    protocol: h11.Connection = field(
        default_factory=lambda: h11.Connection(h11.CLIENT)
    )

    @property
    def is_reusable(self) -> bool:
        """Whether the last answer is complete and the entry keeps it open."""
        states = {self.protocol.our_state, self.protocol.their_state}
        return states == {h11.DONE}

    @property
    def is_closed(self) -> bool:
        """Whether the entry's close has arrived while the connection idled."""
        return self.stream.socket.is_readable()

    def close(self) -> None:
        """Close the connection without waiting."""
        self.stream.socket.close()

    async def call(self, request: Request) -> AsyncIterator[int | bytes]:
        """Send a request; yield its answer's status, then the body in parts.

        Raises ``UnansweredError`` if the answer is incomplete.
        """
        try:
            await self._send(request)
            while not self.is_reusable:
                event = await self._next_event()
                if isinstance(event, h11.Response):
                    yield event.status_code
                elif isinstance(event, h11.Data):
                    yield bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    return
                else:
                    raise UnansweredError(is_unread=await self._is_reset())
        except (trio.BrokenResourceError, h11.RemoteProtocolError) as error:
            is_unread = await self._is_reset()
            raise UnansweredError(is_unread=is_unread) from error

    async def _send(self, request: Request) -> None:
        if self.protocol.our_state is h11.DONE:
            self.protocol.start_next_cycle()
        head = h11.Request(
            method=request.method,
            target=request.path,
            headers=[
                *request.headers,
                ('content-length', str(len(request.body))),
            ],
        )
        payload = self.protocol.send(head) or b''
        payload += self.protocol.send(h11.Data(data=request.body)) or b''
        payload += self.protocol.send(h11.EndOfMessage()) or b''
        await self.stream.send_all(payload)

    async def _next_event(self) -> h11.Event | type:
        while True:
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            received = await self.stream.receive_some(_RECEIVE_BYTES)
            self.protocol.receive_data(received)

    async def _is_reset(self) -> bool:
        """Return whether bytes reached the entry's end that it never read.

        The kernel resets a connection that is closed with unread bytes, or
        that receives bytes after its close.
        """
        await trio.sleep(_RESET_SECONDS)
        state = self.stream.socket.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, 1
        )
        return state[0] == _TCP_CLOSE


async def connect(address: Address) -> Connection:
    """Open a connection; raise ``OSError`` or ``trio.TooSlowError``."""
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        with trio.fail_after(CONNECT_TIMEOUT_SECONDS):
            await sock.connect((address.host, address.port))
    except BaseException:
        sock.close()
        raise
    return Connection(stream=trio.SocketStream(sock))
