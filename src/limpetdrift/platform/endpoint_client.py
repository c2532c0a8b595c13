"""Sends requests to the platform's endpoints, and decodes their responses."""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import replace
from urllib.parse import quote

import trio

from limpetdrift.coordination.endpoints.endpoint_gate import EndpointGate
from limpetdrift.coordination.forwarding.endpoint_response import (
    EndpointResponse,
    SendRequest,
)
from limpetdrift.coordination.membership.link_monitor import (
    LinkMonitor,
    ProbeEndpoint,
)
from limpetdrift.platform import header_names
from limpetdrift.platform.endpoint_signals import MISDIRECTED, decode_signals
from limpetdrift.protocol.counts import parse_count
from limpetdrift.protocol.work import (
    CallerRequest,
    DispatchPlan,
    EndpointLoad,
    ListedEndpoint,
)
from limpetdrift.transport.client import (
    HttpClient,
    ResponseStream,
    is_connection_refused,
)
from limpetdrift.transport.messages import (
    UNAVAILABLE,
    Headers,
    Request,
    encode_header_text,
    parse_address,
)
from limpetdrift.verdict import FailureError, Reason

_MILLISECONDS = 1000.0
_LOAD_FIELDS = 3
_SERVER_ERROR = 500
# Connect timeout of the crash check. An address where no process listens
# refuses connections at once; a timeout does not prove a crash.
_CRASH_CHECK_TIMEOUT_SECONDS = 0.3
# Timeout of a probe of the link to the endpoints.
PROBE_TIMEOUT_SECONDS = 0.5
# Characters of a path of the configuration that are sent as they are.
_PATH_CHARACTERS = "/%?=&:;,+@!$'()*"

# Called with the load that an endpoint reports.
OnLoad = Callable[[ListedEndpoint, EndpointLoad], None]


def make_send_request(
    client: HttpClient,
    on_load: OnLoad,
    gate: EndpointGate,
    links: LinkMonitor,
) -> SendRequest:
    """Return the function that sends a request to an endpoint.

    ``on_load`` is called with the load that an endpoint of a plain service
    reports in its response. ``gate`` is checked right before a request is
    sent, since its placement may be older than an endpoint's last answer.
    ``links`` records which endpoints could be connected to.
    """

    @asynccontextmanager
    async def send(
        caller_request: CallerRequest,
        placement: DispatchPlan,
        seconds_left: float,
        last_event_id: int | None,
    ) -> AsyncIterator[EndpointResponse]:
        refusal = gate.check_send(caller_request, placement)
        if refusal is not None:
            raise FailureError(refusal)
        request = Request(
            method=caller_request.method,
            path='',
            target=caller_request.target,
            headers=_request_headers(
                caller_request, placement, seconds_left, last_event_id
            ),
            body=caller_request.body,
        )
        address = parse_address(placement.endpoint.address)
        async with _recording_link(
            links,
            placement.endpoint,
            client.stream(
                address,
                request,
                idle_timeout_seconds=seconds_left,
                new_connection=True,
            ),
        ) as stream:
            gate.apply_signals(
                placement.endpoint,
                decode_signals(
                    placement.endpoint, stream.status, stream.headers
                ),
            )
            response = _name_culprit(
                decode_response_head(stream, caller_request.request_id),
                placement,
            )
            if response.load is not None and not placement.grant:
                on_load(placement.endpoint, response.load)
            if response.refused and placement.grant:
                _report_full(gate, placement, response)
            _check_refusal(gate, caller_request, response)
            if response.status < _SERVER_ERROR and not response.refused:
                gate.record_success(caller_request, placement)
            yield response

    return send


@asynccontextmanager
async def _recording_link(
    links: LinkMonitor,
    endpoint: ListedEndpoint,
    opening: AbstractAsyncContextManager[ResponseStream],
) -> AsyncIterator[ResponseStream]:
    """Open a response, and record whether its endpoint was reached."""
    is_open = False
    began_at = trio.current_time()
    try:
        async with opening as stream:
            is_open = True
            links.record_reached(endpoint)
            yield stream
    except FailureError as error:
        if not is_open:
            links.record_failure(endpoint, error.failure.reason)
        raise
    except trio.Cancelled:
        waited_seconds = trio.current_time() - began_at
        if not is_open and waited_seconds >= PROBE_TIMEOUT_SECONDS:
            links.record_failure(endpoint, Reason.IDLE_TIMEOUT)
        raise


def make_probe(
    client: HttpClient, find_path: Callable[[str], str]
) -> ProbeEndpoint:
    """Return the function that probes the link to an endpoint.

    ``find_path`` returns the path of a service's reports or health checks.
    Any answer shows that the link is well, also a refusal.
    """

    async def probe(endpoint: ListedEndpoint) -> bool:
        answer = await client.fetch(
            parse_address(endpoint.address),
            Request(
                method='GET',
                path=quote(find_path(endpoint.service), safe=_PATH_CHARACTERS),
            ),
            timeout_seconds=PROBE_TIMEOUT_SECONDS,
            new_connection=True,
        )
        return answer.is_ok()

    return probe


async def is_dead(endpoint: ListedEndpoint) -> bool:
    """Return whether no process listens at an endpoint's address."""
    return await is_connection_refused(
        parse_address(endpoint.address), _CRASH_CHECK_TIMEOUT_SECONDS
    )


def decode_response_head(
    stream: ResponseStream, request_id: str
) -> EndpointResponse:
    """Decode the status and the headers of an endpoint's response.

    A response with any id other than ``request_id`` is marked as one to another
    request.
    """
    headers = dict(stream.headers)
    echoed_ids = {
        text
        for name, text in stream.headers
        if name == header_names.REQUEST_ID_HEADER
    }
    return EndpointResponse(
        status=stream.status,
        headers=_forwarded_headers(stream.status, stream.headers),
        refused=header_names.NOT_RUN_HEADER in headers
        or stream.status == MISDIRECTED,
        is_from_other_process=stream.status == MISDIRECTED,
        is_for_other_request=not echoed_ids <= {request_id},
        failed_address=headers.get(header_names.FAILED_ADDRESS_HEADER, ''),
        load=parse_load(headers.get(header_names.LOAD_HEADER, '')),
        chunks=stream.chunks,
        expect_bytes=stream.expect_bytes,
        framed='content-length' in headers or 'transfer-encoding' in headers,
    )


def parse_load(text: str) -> EndpointLoad | None:
    """Parse ``RUNNING,WAITING,SLOTS``; return ``None`` if it is invalid.

    ``RUNNING`` and ``WAITING`` are numbers of requests.
    """
    counts = [parse_count(part) for part in text.split(',')]
    if len(counts) != _LOAD_FIELDS or None in counts:
        return None
    running, waiting, slots = counts
    return EndpointLoad(running=running, waiting=waiting, slots=slots)


def _name_culprit(
    response: EndpointResponse, placement: DispatchPlan
) -> EndpointResponse:
    """Tell a refusal for a helper's sake from one of another process there."""
    helpers = {each.endpoint.address for each in placement.helpers}
    if response.failed_address in helpers:
        return replace(response, is_from_other_process=False)
    return response


def _report_full(
    gate: EndpointGate, placement: DispatchPlan, response: EndpointResponse
) -> None:
    """Report the engine at fault, the writer or a helper of the plan."""
    if response.is_from_other_process:
        return
    address = response.failed_address or placement.endpoint.address
    for engine in placement.endpoints:
        if engine.address == address:
            gate.record_full(engine)


def _check_refusal(
    gate: EndpointGate,
    caller_request: CallerRequest,
    response: EndpointResponse,
) -> None:
    """Raise ``FailureError`` if no other endpoint may get a refused request."""
    if response.refused and not response.is_from_other_process:
        refusal = gate.check_service(caller_request.service)
        if refusal is not None:
            raise FailureError(refusal)


def _request_headers(
    caller_request: CallerRequest,
    placement: DispatchPlan,
    seconds_left: float,
    last_event_id: int | None,
) -> Headers:
    added = [
        (
            header_names.DEADLINE_MS_HEADER,
            str(max(1, int(seconds_left * _MILLISECONDS))),
        ),
        (header_names.EXPECTED_INSTANCE_HEADER, placement.endpoint.name),
    ]
    if caller_request.account:
        added.append(
            (
                header_names.CLIENT_ACCOUNT_HEADER,
                encode_header_text(caller_request.account),
            )
        )
    if caller_request.size is not None:
        added.append(
            (header_names.REQUEST_URGENCY_HEADER, str(placement.urgency))
        )
    if placement.helpers:
        added.append((header_names.HELPERS_HEADER, _format_helpers(placement)))
    return (*last_event_headers(caller_request, last_event_id), *added)


def last_event_headers(
    caller_request: CallerRequest, last_event_id: int | None
) -> Headers:
    """Return the headers with the number of the caller's last event."""
    forwarded = caller_request.headers
    if last_event_id is None or last_event_id == caller_request.last_event_id:
        return forwarded
    others = (
        pair
        for pair in forwarded
        if pair[0] != header_names.LAST_EVENT_ID_HEADER
    )
    return (*others, (header_names.LAST_EVENT_ID_HEADER, str(last_event_id)))


def _format_helpers(placement: DispatchPlan) -> str:
    return ','.join(
        '/'.join(filter(None, (helper.endpoint.address, helper.reservation)))
        for helper in placement.helpers
    )


def _forwarded_headers(status: int, headers: Headers) -> Headers:
    dropped = header_names.CONNECTION_HEADERS | header_names.ENDPOINT_HEADERS
    if status == UNAVAILABLE:
        # The endpoint's retry time is meant for this entry, not for the caller,
        # whom another endpoint may serve.
        dropped |= {header_names.RETRY_AFTER_HEADER}
    kept = tuple(pair for pair in headers if pair[0] not in dropped)
    return header_names.drop_peer_headers(kept)
