"""Carries a request to a peer that reaches the endpoints, and serves it there.

The peer gets the caller's request with its key, and admits it as one of its
own callers'. Method and target are in headers, so that a peer of an earlier
build, which doesn't know the path, can't take the request for another call.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from limpetdrift.coordination.forwarding.endpoint_response import (
    EndpointResponse,
)
from limpetdrift.platform import admission as header_names
from limpetdrift.platform.endpoint_client import (
    decode_response_head,
    last_event_headers,
)
from limpetdrift.protocol.work import CallerRequest, DispatchPlan
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import (
    UNAVAILABLE,
    Headers,
    Request,
    parse_address,
)
from limpetdrift.transport.routing import Parameters
from limpetdrift.transport.server import Exchange, Handler

CARRY_PATH = '/peer/carry'
METHOD_HEADER = 'limpet-carried-method'
TARGET_HEADER = 'limpet-carried-target'
# Set on all answers of a peer that knows the call.
MARK_HEADER = 'limpet-carried'
_MILLISECONDS = 1000
_CLIENT_ERROR = 400
_SERVER_ERROR = 500


class CarriedRequests:
    """Serves the requests that peers pass on, and counts those under way."""

    def __init__(self, *, serve: Handler) -> None:
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
        exchange.request = unpack_request(exchange.request)
        exchange.add_headers(((MARK_HEADER, '1'),))
        self._open += 1
        try:
            await self._serve(exchange)
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


def pack_request(
    caller_request: CallerRequest,
    seconds_left: float,
    last_event_id: int | None,
) -> Request:
    """Return the request to a peer that has a caller's request in it."""
    deadline_ms = max(1, int(seconds_left * _MILLISECONDS))
    added = [
        (METHOD_HEADER, caller_request.method),
        (TARGET_HEADER, caller_request.target),
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
        headers=(*last_event_headers(caller_request, last_event_id), *added),
        body=caller_request.body,
    )


def unpack_request(request: Request) -> Request:
    """Return the caller's request in one from a peer."""
    target = request.header(TARGET_HEADER)
    return Request(
        method=request.header(METHOD_HEADER),
        path=target.partition('?')[0],
        target=target,
        headers=tuple(
            pair
            for pair in request.headers
            if pair[0] not in {METHOD_HEADER, TARGET_HEADER}
        ),
        body=request.body,
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
    is_unknown_call = MARK_HEADER not in names
    return EndpointResponse(
        status=answer.status,
        headers=tuple(
            pair for pair in answer.headers if pair[0] != MARK_HEADER
        ),
        refused=is_unknown_call or (is_own and is_promise),
        is_for_other_request=answer.is_for_other_request,
        chunks=answer.chunks,
        framed=answer.framed,
    )
