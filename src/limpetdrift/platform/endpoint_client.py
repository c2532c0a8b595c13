"""Sends work to the platform's endpoints, and reads what they say."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from limpetdrift.coordination.endpoint_response import EndpointResponse, Sending
from limpetdrift.platform import admission as names
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
    Headers,
    Request,
    parse_address,
)

_MILLISECONDS = 1000.0
_MISDIRECTED = 421
# Set on answers to requests that the endpoint has not begun to run.
_NOT_RUN = 'not-executed'
_LOAD = 'server-load'
_IDENTITY = 'instance-id'
_AT_FAULT = 'at-server'
_INTERNAL_HEADERS = frozenset((_NOT_RUN, _LOAD, _IDENTITY, _AT_FAULT))
_LOAD_FIELDS = 3
# An endpoint that died refuses at once; a silent one proves nothing.
_LOOK_SECONDS = 0.3


NoteLoad = Callable[[ListedEndpoint, EndpointLoad], None]


def make_sending(client: HttpClient, note_load: NoteLoad) -> Sending:
    """Return the function that opens a call to an endpoint.

    ``note_load`` is told of the load that a plain endpoint's answer shows.
    """

    @asynccontextmanager
    async def send(
        work: CallerRequest,
        placement: DispatchPlan,
        left_seconds: float,
        last_event_id: int | None,
    ) -> AsyncIterator[EndpointResponse]:
        request = Request(
            method=work.method,
            path='',
            target=work.target,
            headers=_headers(work, placement, left_seconds, last_event_id),
            body=work.body,
        )
        address = parse_address(placement.endpoint.address)
        async with client.stream(
            address,
            request,
            idle_timeout_seconds=left_seconds,
            new_connection=True,
        ) as stream:
            answer = read_answer(stream, work.request_id)
            if answer.load is not None and not placement.grant:
                note_load(placement.endpoint, answer.load)
            yield answer

    return send


async def is_dead(endpoint: ListedEndpoint) -> bool:
    """Return whether nobody listens at an endpoint's address."""
    return await is_connection_refused(
        parse_address(endpoint.address), _LOOK_SECONDS
    )


def read_answer(stream: ResponseStream, request_id: str) -> EndpointResponse:
    """Read the head of an endpoint's answer."""
    said = dict(stream.headers)
    echoed = said.get(names.REQUEST_ID_HEADER, request_id)
    return EndpointResponse(
        status=stream.status,
        headers=_passed_back(stream.headers),
        refused=_NOT_RUN in said or stream.status == _MISDIRECTED,
        is_from_other_process=stream.status == _MISDIRECTED,
        is_for_other_request=echoed != request_id,
        failed_address=said.get(_AT_FAULT, ''),
        load=read_load(said.get(_LOAD, '')),
        chunks=stream.chunks,
        framed='content-length' in said or 'transfer-encoding' in said,
    )


def read_load(text: str) -> EndpointLoad | None:
    """Read ``RUNNING,WAITING,SLOTS``; anything else tells nothing."""
    parts = [part.strip() for part in text.split(',')]
    if len(parts) != _LOAD_FIELDS or not all(map(str.isdigit, parts)):
        return None
    running, waiting, slots = map(int, parts)
    return EndpointLoad(running=running, waiting=waiting, slots=slots)


def _headers(
    work: CallerRequest,
    placement: DispatchPlan,
    left_seconds: float,
    last_event_id: int | None,
) -> Headers:
    added = [
        (
            names.DEADLINE_MS_HEADER,
            str(max(1, int(left_seconds * _MILLISECONDS))),
        ),
        (names.EXPECTED_INSTANCE_HEADER, placement.endpoint.name),
    ]
    if work.account:
        added.append((names.CLIENT_ACCOUNT_HEADER, work.account))
    if work.size is not None:
        added.append((names.REQUEST_URGENCY_HEADER, str(placement.urgency)))
    if placement.helpers:
        added.append((names.HELPERS_HEADER, _helpers(placement)))
    passed = work.headers
    if last_event_id is not None and last_event_id != work.last_event_id:
        passed = tuple(
            pair for pair in passed if pair[0] != names.LAST_EVENT_ID_HEADER
        )
        added.append((names.LAST_EVENT_ID_HEADER, str(last_event_id)))
    return (*passed, *added)


def _helpers(placement: DispatchPlan) -> str:
    return ','.join(
        '/'.join(filter(None, (helper.endpoint.address, helper.reservation)))
        for helper in placement.helpers
    )


def _passed_back(headers: Headers) -> Headers:
    dropped = names.CONNECTION_HEADERS | _INTERNAL_HEADERS
    return tuple(pair for pair in headers if pair[0] not in dropped)
