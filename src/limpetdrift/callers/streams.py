"""Serves ``GET /v1/streams/{handle}``: resumes a stream at an offset.

The handle names the entry that owns the stream. Any other entry forwards the
request to the owner's listener for peers.
"""

from collections.abc import Callable
from dataclasses import dataclass

from expression import Error, Ok, Result

from limpetdrift.callers.access import authenticate
from limpetdrift.callers.answers import respond_failure
from limpetdrift.callers.chat import ReadSite, send_stream
from limpetdrift.coordination.peers import PEER_SECRET_HEADER, is_peer
from limpetdrift.coordination.runs.run_registry import RunRegistry
from limpetdrift.protocol.node import Node
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Request
from limpetdrift.transport.routing import Parameters, Routes
from limpetdrift.transport.server import Exchange
from limpetdrift.verdict import (
    Failure,
    FailureError,
    Reason,
    may_have_run,
    not_run,
)

# Idle timeout of a forwarded stream; the owner sends a keep-alive on it
# each second.
FORWARD_IDLE_TIMEOUT_SECONDS = 5.0
_ACCOUNT_HEADER = 'x-limpet-account'
# Bounds only the number of digits of an offset: 99_999_999 passes.
_LARGEST_OFFSET = 10_000_000

FindEntry = Callable[[str], Node | None]


@dataclass(frozen=True, kw_only=True)
class StreamInputs:
    """Dependencies of stream resumption; ``name`` is this entry's."""

    read_site: ReadSite
    run_registry: RunRegistry
    name: str
    find_entry: FindEntry
    client: HttpClient
    peer_secret: str


def add_stream_routes(routes: Routes, inputs: StreamInputs) -> None:
    """Register the route by which callers resume a stream."""

    async def resume(exchange: Exchange, parameters: Parameters) -> None:
        account = inputs.read_site().bind(
            lambda site: authenticate(site, exchange.request),
        )
        if account.is_error():
            await respond_failure(exchange, account.error)
            return
        handle = parameters['handle']
        if handle.partition('~')[0] == inputs.name:
            await _send_local(exchange, inputs.run_registry, handle, account.ok)
            return
        await _forward(exchange, inputs, handle, account.ok)

    routes.add('GET', '/v1/streams/{handle}', resume)


def add_peer_stream_routes(routes: Routes, inputs: StreamInputs) -> None:
    """Register the route to which other entries forward a resumption."""

    async def resume(exchange: Exchange, parameters: Parameters) -> None:
        if not is_peer(exchange.request, inputs.peer_secret):
            await respond_failure(exchange, not_run(Reason.FORBIDDEN))
            return
        account = exchange.request.header(_ACCOUNT_HEADER)
        await _send_local(
            exchange, inputs.run_registry, parameters['handle'], account
        )

    routes.add('GET', '/peer-streams/{handle}', resume)


async def _send_local(
    exchange: Exchange,
    run_registry: RunRegistry,
    handle: str,
    account: str,
) -> None:
    offset = _read_offset(exchange.request)
    if offset.is_error():
        await respond_failure(exchange, offset.error)
        return
    run = run_registry.find(handle)
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
    inputs: StreamInputs,
    handle: str,
    account: str,
) -> None:
    node = inputs.find_entry(handle.partition('~')[0])
    if node is None:
        await respond_failure(exchange, may_have_run(Reason.OWNER_UNREACHABLE))
        return
    request = Request(
        method='GET',
        path=f'/peer-streams/{handle}',
        query=exchange.request.query,
        headers=(
            (PEER_SECRET_HEADER, inputs.peer_secret),
            (_ACCOUNT_HEADER, account),
        ),
    )
    try:
        await _relay(exchange, inputs.client, node.peer_address, request)
    except FailureError as error:
        await _report_owner_unreachable(exchange, error.failure)


async def _relay(
    exchange: Exchange,
    client: HttpClient,
    address: Address,
    request: Request,
) -> None:
    async with client.stream(
        address,
        request,
        idle_timeout_seconds=FORWARD_IDLE_TIMEOUT_SECONDS,
    ) as response:
        headers = tuple(
            (name, text)
            for name, text in response.headers
            if name not in {'content-length', 'transfer-encoding'}
        )
        await exchange.start(response.status, headers)
        async for chunk in response.chunks():
            await exchange.send(chunk)
        await exchange.finish()


async def _report_owner_unreachable(exchange: Exchange, cause: Failure) -> None:
    failure = may_have_run(Reason.OWNER_UNREACHABLE, cause.detail)
    if not exchange.started:
        await respond_failure(exchange, failure)
        return
    # The incomplete chunked body makes the caller resume the stream.
    await exchange.abort()
