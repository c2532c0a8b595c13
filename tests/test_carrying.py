"""Requests that a peer carries, over real connections."""

from contextlib import asynccontextmanager
from dataclasses import replace
from types import SimpleNamespace

import pytest
import trio

from forward_harness import (
    ForwardHarness,
    make_endpoints,
    make_links,
    make_route,
)
from limpetdrift.coordination.forwarding.endpoint_response import (
    EndpointResponse,
)
from limpetdrift.platform.carrying import (
    CARRY_PATH,
    CarriedRequests,
    pack_request,
    send_carried,
    unpack_request,
)
from limpetdrift.platform.endpoint_client import _request_headers
from limpetdrift.platform.header_names import (
    AUTHORIZATION_HEADER,
    CARRIED_ATTEMPTS_HEADER,
    CARRIED_MARK_HEADER,
    CARRIED_METHOD_HEADER,
    CARRIED_TARGET_HEADER,
    DEADLINE_MS_HEADER,
)
from limpetdrift.platform.link_wiring import carry_if_cut
from limpetdrift.protocol.work import (
    CallerRequest,
    DispatchPlan,
    ListedEndpoint,
)
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import (
    Address,
    Response,
    encode_headers,
)
from limpetdrift.transport.routing import Routes
from limpetdrift.transport.server import Server, bound_address, listen

REQUEST = CallerRequest(
    request_id='a1',
    method='PUT',
    target='/x/y?z=%20&z',
    headers=(('attempt-id', 'a1'), ('last-event-id', '3')),
    body=b'body',
    route=make_route(),
    service='s',
    version=1,
    arrived_at=0.0,
    deadline=10.0,
    account='acme',
    key='secret',
)
SECONDS_LEFT = 4.0


class Peer:
    """An entry that serves carried requests, and what it was asked."""

    def __init__(self, handle, *, is_old: bool = False) -> None:
        self.requests = []
        self.attempts = []
        self.has_lost_caller = False
        self._handle = handle
        self.carried = CarriedRequests(serve=self._serve)
        routes = Routes()
        if not is_old:
            routes.add('POST', CARRY_PATH, self.carried.handle)
        self.server = Server(handler=routes.handle)

    async def _serve(self, exchange, attempts: int) -> None:
        self.requests.append(exchange.request)
        self.attempts.append(attempts)
        await self._handle(self, exchange)


def ask(
    peer: Peer,
    use_answer,
    last_event: int | None = None,
    request: CallerRequest = REQUEST,
):
    """Send a request to a peer; return what ``use_answer`` returns."""

    async def run():
        listeners = await listen(Address(host='127.0.0.1', port=0))
        async with trio.open_nursery() as nursery:
            await nursery.start(peer.server.serve, listeners)
            placement = DispatchPlan(
                endpoint=ListedEndpoint(
                    name='e1',
                    lifetime=1,
                    service='s',
                    address=str(bound_address(listeners)),
                    failure_domain='d',
                    slots=0,
                ),
                is_carried=True,
            )
            async with send_carried(
                HttpClient(), request, placement, SECONDS_LEFT, last_event
            ) as answer:
                found = await use_answer(answer)
            with trio.move_on_after(1):
                await peer.carried.wait_idle()
            nursery.cancel_scope.cancel()
        return found

    return trio.run(run)


async def read(answer):
    chunks = [chunk async for chunk in answer.chunks()]
    return answer, b''.join(chunks)


def respond(status: int, *headers: tuple[str, str]):
    async def handle(peer: Peer, exchange) -> None:
        await exchange.respond(
            Response(status=status, headers=headers, body=b'answer')
        )

    return handle


def test_carried_request_arrives_as_the_caller_sent_it():
    peer = Peer(respond(200, ('attempt-id', 'a1'), ('server-seal', 'x')))
    answer, body = ask(peer, read, last_event=7)
    carried = peer.requests[0]
    assert (carried.method, carried.target) == ('PUT', '/x/y?z=%20&z')
    assert carried.path == '/x/y'
    assert carried.body == b'body'
    assert carried.header('authorization') == 'Bearer secret'
    assert carried.header('last-event-id') == '7'
    assert int(carried.header('deadline-ms')) == SECONDS_LEFT * 1000
    assert (answer.status, body, answer.refused) == (200, b'answer', False)
    names = dict(answer.headers)
    assert names['server-seal'] == 'x'
    assert CARRIED_MARK_HEADER not in names


def test_packed_request_is_unpacked_without_the_headers_of_the_call():
    unpacked, _ = unpack_request(pack_request(REQUEST, SECONDS_LEFT, None)).ok
    assert all('limpet' not in name for name, _ in unpacked.headers)


def test_refusal_of_a_peer_proves_that_nothing_ran():
    answers = [
        ask(Peer(respond(status)), read) for status in (401, 404, 429, 503)
    ]
    assert all(answer.refused for answer, _ in answers)


def test_failure_of_a_peer_proves_nothing_and_is_not_an_endpoints():
    for status in (500, 502, 504):
        answer, _ = ask(Peer(respond(status)), read)
        assert not answer.refused
        assert answer.is_failure_of_peer


def test_attempts_go_with_the_request():
    peer = Peer(respond(200, ('attempt-id', 'a1')))
    ask(peer, read, request=replace(REQUEST, prior_attempts=2))
    assert peer.attempts == [2]


@pytest.mark.parametrize(('text', 'attempts'), [(None, 0), ('3', 3)])
def test_attempts_that_an_earlier_build_does_not_send_are_none(text, attempts):
    packed = pack_request(REQUEST, SECONDS_LEFT, None)
    headers = dict(packed.headers)
    headers.pop(CARRIED_ATTEMPTS_HEADER)
    if text is not None:
        headers[CARRIED_ATTEMPTS_HEADER] = text
    again = replace(packed, headers=tuple(headers.items()))
    assert unpack_request(again).ok[1] == attempts


@pytest.mark.parametrize('text', ['', '-1', 'x', '9' * 5000])
def test_attempts_that_are_no_number_are_refused(text):
    packed = pack_request(REQUEST, SECONDS_LEFT, None)
    headers = dict(packed.headers) | {CARRIED_ATTEMPTS_HEADER: text}
    again = replace(packed, headers=tuple(headers.items()))
    assert unpack_request(again).is_error()


def test_answer_of_an_endpoint_is_no_refusal_of_the_peer():
    for status in (404, 500):
        answer, _ = ask(Peer(respond(status, ('attempt-id', 'a1'))), read)
        assert answer.status == status
        assert not answer.refused
        assert not answer.is_failure_of_peer


def test_peer_of_an_earlier_build_refuses_the_call():
    answer, _ = ask(Peer(respond(200), is_old=True), read)
    assert answer.refused


def test_events_pass_a_peer_without_delay():
    async def handle(peer: Peer, exchange) -> None:
        await exchange.start(200, (('attempt-id', 'a1'),))
        for _ in range(3):
            await exchange.send(b'id: 1\n\n')
            await trio.sleep(0.2)
        await exchange.finish()

    async def measure(answer) -> float:
        began = trio.current_time()
        await anext(answer.chunks())
        return trio.current_time() - began

    assert ask(Peer(handle), measure) < 0.15


def test_caller_that_leaves_ends_the_request_at_the_peer():
    async def handle(peer: Peer, exchange) -> None:
        await exchange.start(200, (('attempt-id', 'a1'),))
        await exchange.wait_closed()
        peer.has_lost_caller = True

    async def leave(answer) -> None:
        """Return before the answer has ended."""

    peer = Peer(handle)
    ask(peer, leave)
    assert peer.has_lost_caller


@pytest.mark.parametrize(
    'name',
    [
        CARRIED_METHOD_HEADER,
        CARRIED_TARGET_HEADER,
        CARRIED_ATTEMPTS_HEADER,
        DEADLINE_MS_HEADER,
        AUTHORIZATION_HEADER,
    ],
)
def test_peer_refuses_a_request_that_has_a_header_of_entries_twice(
    monkeypatch, name
):
    """An entry of e947821 passes on the caller's before its own."""
    monkeypatch.setattr(
        'limpetdrift.platform.header_names.escape_peer_names',
        lambda headers: headers,
    )
    forged = replace(REQUEST, headers=((name, '/other'), *REQUEST.headers))
    peer = Peer(respond(200, ('attempt-id', 'a1')))
    answer, _ = ask(peer, read, request=forged)
    assert not peer.requests
    assert answer.refused


@pytest.mark.parametrize(
    'name', [CARRIED_METHOD_HEADER, CARRIED_TARGET_HEADER, DEADLINE_MS_HEADER]
)
def test_peer_refuses_a_request_without_a_header_of_entries(name):
    packed = pack_request(REQUEST, SECONDS_LEFT, None)
    without = tuple(pair for pair in packed.headers if pair[0] != name)
    assert unpack_request(replace(packed, headers=without)).is_error()


@pytest.mark.parametrize('status', [404, 429, 503])
def test_endpoint_that_echoes_no_id_forges_no_refusal_of_the_peer(status):
    """Guards against a second run of a request that an endpoint has failed."""

    @asynccontextmanager
    async def send(*unused: object):
        yield EndpointResponse(status=status, headers=(), chunks=None)

    async def pass_on(peer: Peer, exchange) -> None:
        inputs = carry_if_cut(
            replace(ForwardHarness().forwarder._inputs, send=send),
            SimpleNamespace(monitor=make_links(None), client=None),
            blame=None,
        )
        work = replace(REQUEST, is_carried=True)
        plan = DispatchPlan(endpoint=make_endpoints(1)[0])
        async with inputs.send(work, plan, SECONDS_LEFT, None) as answer:
            await exchange.respond(
                Response(status=answer.status, headers=answer.headers)
            )

    answer, _ = ask(Peer(pass_on), read)
    assert answer.status == status
    assert not answer.refused


# Guards against requests that failed since the account's name is not Latin-1.
def test_account_of_any_language_reaches_the_endpoint():
    endpoint = ListedEndpoint(
        name='i-1',
        lifetime=1,
        service='s',
        address='127.0.0.1:1',
        failure_domain='d',
        slots=1,
    )
    headers = _request_headers(
        replace(REQUEST, account='Emekdaş'),
        DispatchPlan(endpoint=endpoint),
        SECONDS_LEFT,
        None,
    )
    sent = dict(encode_headers(headers))
    assert sent[b'tenant'].decode() == 'Emekdaş'
