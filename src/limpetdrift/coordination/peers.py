"""Calls between our own processes: typed messages, a secret, and counters.

A part registers its handlers by message path in a ``PeerRoutes``; others call
them through a ``PeerCall``. Tests join the two with a fake network and no
sockets.
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
from limpetdrift.protocol.verdict import (
    Failure,
    Reason,
    may_have_run,
    not_run,
)
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Request, Response
from limpetdrift.transport.routing import Parameters, Routes
from limpetdrift.transport.server import Exchange

Reply = TypeVar('Reply')
PeerHandler = Callable[[Any], Awaitable[Result[Any, Failure]]]

PEER_SECRET_HEADER = 'x-limpet-peer'
_PREFIX = '/peer/'
_OK = 200
_REFUSED = 409
_FORBIDDEN = 403


class PeerCall(Protocol):
    """Calls one handler of one peer.

    The error side is the peer's own failure, or one that says whether the
    call may have reached it.
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
class _Entry:
    kind: type
    handler: PeerHandler


class PeerRoutes:
    """The handlers that this process offers to its peers."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def add(self, path: str, kind: type, handler: PeerHandler) -> None:
        """Register the handler of one message kind."""
        self._entries[path] = _Entry(kind=kind, handler=handler)

    async def dispatch(self, path: str, body: bytes) -> Result[Any, Failure]:
        """Decode a message and run its handler."""
        entry = self._entries.get(path)
        if entry is None:
            return Result.Error(not_run(Reason.NOT_FOUND, path))
        message = decode(body, entry.kind)
        if message.is_error():
            return Result.Error(message.error)
        return await entry.handler(message.ok)

    def mount(self, routes: Routes, secret: str) -> None:
        """Serve the handlers below ``/peer/`` to who knows the secret."""
        for path in self._entries:
            routes.add(
                'POST',
                _PREFIX + path,
                _guarded(self, path, secret),
            )


def is_peer(request: Request, secret: str) -> bool:
    """Return whether the request bears the peers' secret."""
    given = request.header(PEER_SECRET_HEADER)
    return hmac.compare_digest(given.encode(), secret.encode())


def make_peer_call(client: HttpClient, secret: str) -> PeerCall:
    """Return the ``PeerCall`` that goes over HTTP."""

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
            path=_PREFIX + path,
            headers=((PEER_SECRET_HEADER, secret), *JSON_HEADERS),
            body=body,
        )
        _count_bytes(path, 'sent', len(body))
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
    _count_bytes(path, 'received', len(response.body))
    if response.status == _OK:
        return decode(response.body, reply).map_error(
            lambda failure: may_have_run(Reason.BAD_ANSWER, failure.detail),
        )
    failure = decode(response.body, Failure)
    if response.status == _REFUSED and failure.is_ok():
        return Result.Error(failure.ok)
    return Result.Error(
        may_have_run(Reason.BAD_ANSWER, f'status {response.status}'),
    )


def _guarded(peer_routes: PeerRoutes, path: str, secret: str):
    async def handle(exchange: Exchange, parameters: Parameters) -> None:
        if not is_peer(exchange.request, secret):
            telemetry.count('refusals', reason=Reason.FORBIDDEN)
            await exchange.respond(Response(status=_FORBIDDEN))
            return
        outcome = await peer_routes.dispatch(path, exchange.request.body)
        response = _make_response(outcome)
        _count_bytes(path, 'answered', len(response.body))
        await exchange.respond(response)

    return handle


def _make_response(outcome: Result[Any, Failure]) -> Response:
    if outcome.is_ok():
        return json_response(outcome.ok)
    return json_response(outcome.error, status=_REFUSED)


def _count_bytes(path: str, direction: str, size: int) -> None:
    telemetry.count('peer_messages', path=path, direction=direction)
    telemetry.count('peer_bytes', size, path=path, direction=direction)
