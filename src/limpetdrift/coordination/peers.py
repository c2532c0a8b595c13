"""Calls between the processes of one deployment.

Components register handlers of typed messages by path in a ``PeerRoutes``;
peers call them through a ``PeerCall``. Over HTTP a shared secret protects the
handlers, and messages and bytes are counted. Tests connect the two through a
fake network without sockets.
"""

import hmac
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

from expression import Result

from limpetdrift import telemetry
from limpetdrift.protocol.codec import (
    JSON_HEADERS,
    decode,
    encode,
    json_response,
)
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Request, Response
from limpetdrift.transport.routing import Parameters, Routes
from limpetdrift.transport.server import Exchange
from limpetdrift.verdict import (
    Failure,
    Reason,
    may_have_run,
    not_run,
)

Reply = TypeVar('Reply')
PeerHandler = Callable[[Any], Awaitable[Result[Any, Failure]]]

PEER_SECRET_HEADER = 'x-limpet-peer'
_PATH_PREFIX = '/peer/'
_STATUS_OK = 200
_STATUS_REFUSED = 409
_STATUS_FORBIDDEN = 403


class PeerCall(Protocol):
    """Calls one handler of one peer.

    The error is the failure that the peer returned, or a failure of the call
    itself, whose verdict says whether the call may have reached the peer.
    """

    async def __call__(
        self,
        address: Address,
        path: str,
        message: object,
        reply: type[Reply],
        *,
        timeout_seconds: float,
    ) -> Result[Reply, Failure]:
        """Send ``message`` to the handler at ``path`` and await its reply."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Registration:
    kind: type
    handler: PeerHandler


class PeerRoutes:
    """The handlers of this process that peers can call."""

    def __init__(self) -> None:
        self._registrations: dict[str, _Registration] = {}

    def add(self, path: str, kind: type, handler: PeerHandler) -> None:
        """Register the handler of the messages at a path, of type ``kind``."""
        self._registrations[path] = _Registration(kind=kind, handler=handler)

    async def dispatch(self, path: str, body: bytes) -> Result[Any, Failure]:
        """Decode a message and run the handler at its path.

        The error is ``NOT_FOUND`` for an unknown path, the failure to decode
        the message, or the handler's own.
        """
        registration = self._registrations.get(path)
        if registration is None:
            return Result.Error(not_run(Reason.NOT_FOUND, path))
        message = decode(body, registration.kind)
        if message.is_error():
            return Result.Error(message.error)
        return await registration.handler(message.ok)

    def mount(self, routes: Routes, secret: str) -> None:
        """Serve the handlers below ``/peer/`` to requests with the secret.

        An empty secret also admits requests without the header.
        """
        for path in self._registrations:
            routes.add(
                'POST',
                _PATH_PREFIX + path,
                _make_route_handler(self, path, secret),
            )


def is_peer(request: Request, secret: str) -> bool:
    """Return whether the request carries the peers' secret.

    An absent header counts as an empty secret.
    """
    given = request.header(PEER_SECRET_HEADER)
    return hmac.compare_digest(given.encode(), secret.encode())


def make_peer_call(client: HttpClient, secret: str) -> PeerCall:
    """Return a ``PeerCall`` that uses HTTP."""

    async def call(
        address: Address,
        path: str,
        message: object,
        reply: type[Reply],
        *,
        timeout_seconds: float,
    ) -> Result[Reply, Failure]:
        body = encode(message)
        request = Request(
            method='POST',
            path=_PATH_PREFIX + path,
            headers=((PEER_SECRET_HEADER, secret), *JSON_HEADERS),
            body=body,
        )
        _count_message(path, 'sent', len(body))
        answer = await client.fetch(
            address,
            request,
            timeout_seconds=timeout_seconds,
        )
        return answer.bind(lambda response: _read_reply(path, response, reply))

    return call


def _read_reply(
    path: str,
    response: Response,
    reply: type[Reply],
) -> Result[Reply, Failure]:
    _count_message(path, 'received', len(response.body))
    if response.status == _STATUS_OK:
        return decode(response.body, reply).map_error(
            lambda failure: may_have_run(Reason.BAD_ANSWER, failure.detail),
        )
    failure = decode(response.body, Failure)
    if response.status == _STATUS_REFUSED and failure.is_ok():
        return Result.Error(failure.ok)
    return Result.Error(
        may_have_run(Reason.BAD_ANSWER, f'status {response.status}'),
    )


def _make_route_handler(peer_routes: PeerRoutes, path: str, secret: str):
    async def handle(exchange: Exchange, parameters: Parameters) -> None:
        if not is_peer(exchange.request, secret):
            telemetry.count('refusals', reason=Reason.FORBIDDEN)
            await exchange.respond(Response(status=_STATUS_FORBIDDEN))
            return
        outcome = await peer_routes.dispatch(path, exchange.request.body)
        response = _make_response(outcome)
        _count_message(path, 'answered', len(response.body))
        await exchange.respond(response)

    return handle


def _make_response(outcome: Result[Any, Failure]) -> Response:
    if outcome.is_ok():
        return json_response(outcome.ok)
    return json_response(outcome.error, status=_STATUS_REFUSED)


def _count_message(path: str, direction: str, size: int) -> None:
    telemetry.count('peer_messages', path=path, direction=direction)
    telemetry.count('peer_bytes', size, path=path, direction=direction)
