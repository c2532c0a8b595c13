"""``GET /v1/streams/{handle}``: read a stream again from an offset.

The handle names the entry that owns the stream. Any other entry forwards the
call to it over the peers' listener.
"""

from collections.abc import Callable
from dataclasses import dataclass

from expression import Error, Ok, Result

from limpetdrift.callers.access import authenticate
from limpetdrift.callers.answers import respond_failure
from limpetdrift.callers.chat import ReadSite, send_stream
from limpetdrift.coordination.peers import PEER_SECRET_HEADER, is_peer
from limpetdrift.coordination.run_registry import RunRegistry
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.verdict import (
    Failure,
    FailureError,
    Reason,
    may_have_run,
    not_run,
)
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Request
from limpetdrift.transport.routing import Parameters, Routes
from limpetdrift.transport.server import Exchange

FORWARD_SILENCE_SECONDS = 5.0
_ACCOUNT_HEADER = 'x-limpet-account'
_LARGEST_OFFSET = 10_000_000

FindEntry = Callable[[str], Node | None]


@dataclass(frozen=True, kw_only=True)
class StreamInputs:
    """What resumption works with."""

    read_site: ReadSite
    owner: RunRegistry
    name: str
    find_entry: FindEntry
    client: HttpClient
    peer_secret: str


def add_stream_routes(routes: Routes, parts: StreamInputs) -> None:
    """Serve resumption to callers."""

    async def resume(exchange: Exchange, parameters: Parameters) -> None:
        account = parts.read_site().bind(
            lambda site: authenticate(site, exchange.request),
        )
        if account.is_error():
            await respond_failure(exchange, account.error)
            return
        handle = parameters['handle']
        if handle.partition('~')[0] == parts.name:
            await _send_own(exchange, parts.owner, handle, account.ok)
            return
        await _forward(exchange, parts, handle, account.ok)

    routes.add('GET', '/v1/streams/{handle}', resume)


def add_peer_stream_routes(routes: Routes, parts: StreamInputs) -> None:
    """Serve other entries that forward a resumption."""

    async def resume(exchange: Exchange, parameters: Parameters) -> None:
        if not is_peer(exchange.request, parts.peer_secret):
            await respond_failure(exchange, not_run(Reason.FORBIDDEN))
            return
        account = exchange.request.header(_ACCOUNT_HEADER)
        await _send_own(exchange, parts.owner, parameters['handle'], account)

    routes.add('GET', '/peer-streams/{handle}', resume)


async def _send_own(
    exchange: Exchange,
    owner: RunRegistry,
    handle: str,
    account: str,
) -> None:
    offset = _read_offset(exchange.request)
    if offset.is_error():
        await respond_failure(exchange, offset.error)
        return
    run = owner.find(handle)
    if run is None or run.request.account != account:
        await respond_failure(exchange, may_have_run(Reason.STREAM_UNKNOWN))
        return
    if offset.ok > run.offset:
        failure = not_run(Reason.BAD_REQUEST, 'offset past the stream')
        await respond_failure(exchange, failure)
        return
    await send_stream(exchange, run, offset.ok, include_usage=True)


def _read_offset(request: Request) -> Result[int, Failure]:
    text = request.query.get('offset', '0')
    if text.isdecimal() and len(text) <= len(str(_LARGEST_OFFSET)):
        return Ok(int(text))
    return Error(not_run(Reason.BAD_REQUEST, 'offset'))


async def _forward(
    exchange: Exchange,
    parts: StreamInputs,
    handle: str,
    account: str,
) -> None:
    node = parts.find_entry(handle.partition('~')[0])
    if node is None:
        await respond_failure(exchange, may_have_run(Reason.OWNER_UNREACHABLE))
        return
    request = Request(
        method='GET',
        path=f'/peer-streams/{handle}',
        query=exchange.request.query,
        headers=(
            (PEER_SECRET_HEADER, parts.peer_secret),
            (_ACCOUNT_HEADER, account),
        ),
    )
    try:
        await _relay(exchange, parts.client, node.peer_address, request)
    except FailureError as error:
        await _tell_lost(exchange, error.failure)


async def _relay(
    exchange: Exchange,
    client: HttpClient,
    address: Address,
    request: Request,
) -> None:
    async with client.stream(
        address,
        request,
        idle_timeout_seconds=FORWARD_SILENCE_SECONDS,
    ) as response:
        kept = tuple(
            (name, text)
            for name, text in response.headers
            if name not in {'content-length', 'transfer-encoding'}
        )
        await exchange.start(response.status, kept)
        async for chunk in response.chunks():
            await exchange.send(chunk)
        await exchange.finish()


async def _tell_lost(exchange: Exchange, cause: Failure) -> None:
    failure = may_have_run(Reason.OWNER_UNREACHABLE, cause.detail)
    if not exchange.started:
        await respond_failure(exchange, failure)
        return
    # The chunked body stays unfinished, which tells the caller to resume.
    await exchange.abort()
