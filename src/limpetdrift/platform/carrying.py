"""Carries a request to a peer that reaches the endpoints, and serves it there.

The peer gets the caller's request with its key, and admits it as one of its
own callers'. Method and target are in headers, so that a peer of an earlier
build, which doesn't know the path, can't take the request for another call. A
caller's header with such a name is escaped; a peer refuses a request that has
one of them twice, since an earlier build passes on the caller's as it is.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace

import trio
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.forwarding.endpoint_response import (
    EndpointResponse,
    SendRequest,
)
from limpetdrift.logs import warn
from limpetdrift.platform import header_names
from limpetdrift.platform.endpoint_client import (
    decode_response_head,
    last_event_headers,
)
from limpetdrift.protocol.counts import parse_count
from limpetdrift.protocol.work import CallerRequest, DispatchPlan
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import (
    UNAVAILABLE,
    Headers,
    Request,
    Response,
    parse_address,
)
from limpetdrift.transport.routing import Parameters
from limpetdrift.transport.server import Exchange
from limpetdrift.verdict import Failure, Reason, not_run

CARRY_PATH = '/peer/carry'
# Each is in a carried request once, and the others at most once. An earlier
# build sends no attempts.
_REQUIRED_HEADERS = (
    header_names.CARRIED_METHOD_HEADER,
    header_names.CARRIED_TARGET_HEADER,
    header_names.DEADLINE_MS_HEADER,
)
_SINGLE_HEADERS = (
    *_REQUIRED_HEADERS,
    header_names.CARRIED_ATTEMPTS_HEADER,
    header_names.AUTHORIZATION_HEADER,
)
_MILLISECONDS = 1000
_BAD_REQUEST = 400
_CLIENT_ERROR = 400
_SERVER_ERROR = 500

# Serves a carried request; the count is that of the attempts before.
ServeCarried = Callable[[Exchange, int], Awaitable[None]]


class CarriedRequests:
    """Serves the requests that peers pass on, and counts those under way."""

    def __init__(self, *, serve: ServeCarried) -> None:
        self._serve = serve
        self._open = 0
        self._ended = trio.Event()

    async def wait_idle(self) -> None:
        """Wait until every carried request is answered."""
        while self._open:
            self._ended = trio.Event()
            await self._ended.wait()

    async def handle(self, exchange: Exchange, parameters: Parameters) -> None:
        """Serve one carried request."""
        exchange.add_headers(((header_names.CARRIED_MARK_HEADER, '1'),))
        unpacked = unpack_request(exchange.request)
        if unpacked.is_error():
            telemetry.count('refusals', reason=unpacked.error.reason)
            warn('carried request refused', detail=unpacked.error.detail)
            await exchange.respond(Response(status=_BAD_REQUEST))
            return
        request, attempts = unpacked.ok
        exchange.request = request
        self._open += 1
        try:
            await self._serve(exchange, attempts)
        finally:
            self._open -= 1
            self._ended.set()


@asynccontextmanager
async def send_carried(
    client: HttpClient,
    caller_request: CallerRequest,
    placement: DispatchPlan,
    seconds_left: float,
    last_event_id: int | None,
) -> AsyncIterator[EndpointResponse]:
    """Send a request to the peer of a placement, and open its answer."""
    request = pack_request(caller_request, seconds_left, last_event_id)
    async with client.stream(
        parse_address(placement.endpoint.address),
        request,
        idle_timeout_seconds=seconds_left,
        new_connection=True,
    ) as stream:
        yield decode_carried(
            decode_response_head(stream, caller_request.request_id),
            stream.headers,
        )


@asynccontextmanager
async def send_for_peer(
    send: SendRequest,
    caller_request: CallerRequest,
    placement: DispatchPlan,
    seconds_left: float,
    last_event_id: int | None,
) -> AsyncIterator[EndpointResponse]:
    """Send a carried request to an endpoint, and open its answer.

    The answer has the request's id, also if the endpoint doesn't echo it: the
    peer that asked takes one without it for this entry's own.
    """
    async with send(
        caller_request, placement, seconds_left, last_event_id
    ) as answer:
        if header_names.REQUEST_ID_HEADER not in dict(answer.headers):
            added = (header_names.REQUEST_ID_HEADER, caller_request.request_id)
            answer = replace(answer, headers=(*answer.headers, added))
        yield answer


def pack_request(
    caller_request: CallerRequest,
    seconds_left: float,
    last_event_id: int | None,
) -> Request:
    """Return the request to a peer that has a caller's request in it."""
    deadline_ms = max(1, int(seconds_left * _MILLISECONDS))
    added = [
        (header_names.CARRIED_METHOD_HEADER, caller_request.method),
        (header_names.CARRIED_TARGET_HEADER, caller_request.target),
        (
            header_names.CARRIED_ATTEMPTS_HEADER,
            str(caller_request.prior_attempts),
        ),
        (header_names.DEADLINE_MS_HEADER, str(deadline_ms)),
    ]
    if caller_request.key:
        added.append(
            (
                header_names.AUTHORIZATION_HEADER,
                f'Bearer {caller_request.key}',
            )
        )
    return Request(
        method='POST',
        path=CARRY_PATH,
        headers=(
            *header_names.escape_peer_names(
                last_event_headers(caller_request, last_event_id)
            ),
            *added,
        ),
        body=caller_request.body,
    )


def unpack_request(request: Request) -> Result[tuple[Request, int], Failure]:
    """Return the caller's request in one from a peer, and its attempts before.

    Fails with ``BAD_REQUEST`` if a header that only entries write is missing or
    comes twice, since one of the two may be the caller's, or is no number.
    """
    counts = {
        name: sum(found == name for found, _ in request.headers)
        for name in _SINGLE_HEADERS
    }
    for name, count in counts.items():
        if count > 1 or (name in _REQUIRED_HEADERS and not count):
            detail = f'{name} comes {count} times'
            return Error(not_run(Reason.BAD_REQUEST, detail))
    attempts = parse_count(
        request.header(header_names.CARRIED_ATTEMPTS_HEADER, '0')
    )
    if attempts is None:
        return Error(not_run(Reason.BAD_REQUEST, 'attempts are no number'))
    target = request.header(header_names.CARRIED_TARGET_HEADER)
    unpacked = Request(
        method=request.header(header_names.CARRIED_METHOD_HEADER),
        path=target.partition('?')[0],
        target=target,
        headers=header_names.unescape_peer_names(request.headers),
        body=request.body,
    )
    return Ok((unpacked, attempts))


def mark_carried(caller_request: CallerRequest, attempts: int) -> CallerRequest:
    """Return an admitted request as one that a peer has passed on.

    It is sent to one endpoint here. The peer owns the request: it decides on
    the next attempt, and counts them all.
    """
    route = replace(caller_request.route, attempt_limit=attempts + 1)
    return replace(
        caller_request, route=route, is_carried=True, prior_attempts=attempts
    )


def decode_carried(
    answer: EndpointResponse, headers: Headers
) -> EndpointResponse:
    """Return a peer's answer, as refused if it proves that nothing ran.

    The peer passes on what an endpoint answered, with the request's id. An
    answer without it is the peer's own.
    """
    names = {name for name, _ in headers}
    is_own = header_names.REQUEST_ID_HEADER not in names
    is_promise = (
        _CLIENT_ERROR <= answer.status < _SERVER_ERROR
        or answer.status == UNAVAILABLE
    )
    is_refusal = is_own and is_promise
    is_unknown_call = header_names.CARRIED_MARK_HEADER not in names
    return EndpointResponse(
        status=answer.status,
        headers=answer.headers,
        refused=is_unknown_call or is_refusal,
        is_for_other_request=answer.is_for_other_request,
        is_failure_of_peer=is_own and answer.status >= _SERVER_ERROR,
        chunks=answer.chunks,
        expect_bytes=answer.expect_bytes,
        framed=answer.framed,
    )
