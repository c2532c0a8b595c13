"""Runs a server on memory streams, with a handler that a test gives."""

from trio.testing import memory_stream_pair

from limpetdrift.transport.connection import ServerLimits
from limpetdrift.transport.server import Server

HEAD = b'GET /x HTTP/1.1\r\nHost: a\r\nId: r-1\r\n\r\n'


class ServerHarness:
    """A server whose connections are pairs of memory streams."""

    def __init__(self, *, nursery, handler, limits=None, account=None):
        self.nursery = nursery
        self.server = Server(
            handler=handler,
            limits=limits or ServerLimits(),
            account=account,
            find_request_id=lambda request: request.header('id'),
        )

    def connect(self, pair=memory_stream_pair):
        """Open a connection, and return the caller's end."""
        caller_end, server_end = pair()
        self.nursery.start_soon(self.server.handle_stream, server_end)
        return caller_end


async def read_all(stream):
    """Return what is received until the connection is closed."""
    received = b''
    while True:
        chunk = await stream.receive_some(65_536)
        if not chunk:
            return received
        received += chunk
