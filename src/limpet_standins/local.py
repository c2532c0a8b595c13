"""Calls to stand-ins within one process, without sockets.

A test runs the handlers and the tasks of several stand-ins under virtual
time, and connects them by ``make_local_fetch``.
"""

from collections.abc import Mapping

import trio
from expression import Error, Ok, Result

from limpet_standins.serving import StandIn
from limpetdrift.transport.messages import (
    Address,
    Headers,
    Request,
    Response,
)
from limpetdrift.verdict import (
    Failure,
    Reason,
    may_have_run,
    not_run,
)


class LocalExchange:
    """An exchange that records the response and the time of each part."""

    def __init__(self, *, request: Request) -> None:
        self.request = request
        self.status = 0
        self.headers: Headers = ()
        self.parts: list[tuple[float, bytes]] = []
        self.finished = False

    @property
    def started(self) -> bool:
        """Whether a response head was sent."""
        return bool(self.status)

    @property
    def response(self) -> Response:
        """The response as far as it was sent."""
        return Response(
            status=self.status,
            headers=self.headers,
            body=b''.join(payload for _, payload in self.parts),
        )

    async def respond(self, response: Response) -> None:
        """Record a whole response."""
        await self.start(response.status, response.headers)
        await self.send(response.body)
        await self.finish()

    async def start(self, status: int, headers: Headers = ()) -> None:
        """Record the status and headers of a response."""
        await trio.lowlevel.checkpoint()
        self.status = status
        self.headers = headers

    async def send(self, payload: bytes) -> None:
        """Record a part of the body, with the time."""
        await trio.lowlevel.checkpoint()
        self.parts.append((trio.current_time(), payload))

    async def finish(self) -> None:
        """Record the end of the body."""
        await trio.lowlevel.checkpoint()
        self.finished = True


async def call_local(
    stand_in: StandIn,
    request: Request,
) -> Result[Response, Failure]:
    """Call a stand-in's handler and return its whole response.

    A connection that the handler breaks is a failure after which the request
    may have run.
    """
    exchange = LocalExchange(request=request)
    try:
        await stand_in.handle(exchange)
    except trio.BrokenResourceError:
        return Error(may_have_run(Reason.CONNECTION_BROKEN, request.path))
    return Ok(exchange.response)


def make_local_fetch(stand_ins: Mapping[str, StandIn]):
    """Return a ``fetch`` that calls the stand-in at an address.

    The mapping has stand-ins by ``host:port``, and may be filled later. Other
    addresses refuse connections.
    """

    async def fetch(
        address: Address,
        request: Request,
    ) -> Result[Response, Failure]:
        stand_in = stand_ins.get(str(address))
        if stand_in is None:
            return Error(not_run(Reason.CONNECT_FAILED, str(address)))
        return await call_local(stand_in, request)

    return fetch
