"""Tests of what an entry does with the signals in endpoints' answers."""

import time
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from types import SimpleNamespace

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from forward_harness import make_announcements, make_links, make_route
from limpet_standins.platform_endpoints import Journal, StandinEndpoint
from limpetdrift.coordination.endpoints.endpoint_gate import make_gate
from limpetdrift.coordination.forwarding.endpoint_response import (
    EndpointResponse,
)
from limpetdrift.platform.endpoint_client import make_send_request
from limpetdrift.platform.endpoint_signals import decode_signals, parse_decimal
from limpetdrift.platform.reports import make_report_reader
from limpetdrift.platform.reservations import make_reserver
from limpetdrift.protocol.work import (
    CallerRequest,
    DispatchPlan,
    Helper,
    ListedEndpoint,
)
from limpetdrift.state.endpoint_limits import UNLIMITED
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address
from limpetdrift.transport.server import bound_address, listen
from limpetdrift.verdict import Failure, FailureError, Reason, Verdict

SECONDS_LEFT = 5.0


def make_endpoint(address: Address, lifetime: int) -> ListedEndpoint:
    return ListedEndpoint(
        name='i-1',
        lifetime=lifetime,
        service='s',
        address=str(address),
        failure_domain='d',
        slots=8,
    )


def make_work() -> CallerRequest:
    now = time.monotonic()
    return CallerRequest(
        request_id='a1',
        method='POST',
        target='/x',
        headers=(('attempt-id', 'a1'),),
        body=b'',
        route=make_route(),
        service='s',
        version=1,
        arrived_at=now,
        deadline=now + SECONDS_LEFT,
    )


@dataclass(kw_only=True)
class Calls:
    """One stand-in endpoint on loopback, and an entry's calls to it."""

    standin: StandinEndpoint
    endpoint: ListedEndpoint
    view: EndpointView
    client: HttpClient = field(default_factory=HttpClient)
    announced: list[ListedEndpoint] = field(default_factory=list)

    def __post_init__(self) -> None:
        gate = make_gate(self.view, make_announcements(self.announced.append))
        self.links = make_links(self.view)
        self._send = make_send_request(
            self.client,
            lambda endpoint, load: None,
            gate,
            self.links,
        )
        self._read = make_report_reader(self.client, gate)
        self.reserve_memory = make_reserver(
            self.client, 'entry-1', gate, self.links
        )

    async def send(self, **changes: object) -> EndpointResponse | Failure:
        """Send a request; return its whole answer or why it failed."""
        placement = DispatchPlan(endpoint=self.endpoint, **changes)
        try:
            async with self._send(
                make_work(), placement, SECONDS_LEFT, None
            ) as answer:
                async for _ in answer.chunks():
                    await trio.lowlevel.checkpoint()
                return answer
        except FailureError as error:
            return error.failure

    async def read_report(self):
        """Read the endpoint's report."""
        return await self._read(self.endpoint)

    async def reserve(self) -> Failure | None:
        """Reserve and release memory; return why that failed, if it did."""
        placement = DispatchPlan(
            endpoint=self.endpoint, reserved=((self.endpoint, 1000),)
        )
        try:
            async with self.reserve_memory(placement):
                await trio.lowlevel.checkpoint()
        except FailureError as error:
            return error.failure
        return None


def run_calls(body) -> None:
    """Run an async function of ``Calls`` against a stand-in on loopback."""

    async def run() -> None:
        listeners = await listen(Address(host='127.0.0.1', port=0))
        address = bound_address(listeners)
        standin = StandinEndpoint(
            name='i-1',
            service='s',
            address=address,
            journal=Journal(),
            clock=time.monotonic,
        )
        endpoint = make_endpoint(address, standin.lifetime)
        view = EndpointView(clock=time.monotonic)
        view.replace((endpoint,))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(standin.make_server().serve, listeners)
            with trio.fail_after(SECONDS_LEFT):
                await body(Calls(standin=standin, endpoint=endpoint, view=view))
            nursery.cancel_scope.cancel()

    trio.run(run)


@pytest.mark.parametrize('call', ['send', 'read_report', 'reserve'])
def test_endpoint_that_says_it_leaves_in_any_answer_gets_no_new_work(call):
    async def body(calls: Calls) -> None:
        await getattr(calls, call)()
        assert calls.view.is_usable(calls.endpoint)
        calls.standin.leaving = True
        await getattr(calls, call)()
        assert not calls.view.usable('s')
        assert calls.view.leaving_ahead_of_list('s') == (calls.endpoint,)
        assert calls.announced == [calls.endpoint]

    run_calls(body)


def test_refusal_that_says_the_endpoint_leaves_is_not_forwarded_as_such():
    async def body(calls: Calls) -> None:
        calls.standin.leaving = True
        calls.standin.slots = 0
        answer = await calls.send()
        assert answer.refused
        assert not calls.view.usable('s')
        assert 'server-leaving' not in dict(answer.headers)

    run_calls(body)


@pytest.mark.parametrize(
    ('at_fault', 'is_writer_gone'),
    [('10.0.0.2:80', False), ('10.0.0.1:80', True), ('', True), ('?', True)],
)
def test_refusal_that_names_a_helper_does_not_mark_the_writer_as_leaving(
    at_fault, is_writer_gone
):
    writer, helper = (
        make_endpoint(Address(host=f'10.0.0.{number}', port=80), 1)
        for number in (1, 2)
    )
    headers = (('at-server', at_fault),) if at_fault else ()
    full = []

    @asynccontextmanager
    async def stream(address, request, **options: object):
        yield SimpleNamespace(
            status=421, headers=headers, chunks=None, expect_bytes=None
        )

    async def run() -> EndpointResponse:
        view = EndpointView(clock=time.monotonic)
        view.replace((writer, replace(helper, name='i-2')))
        send = make_send_request(
            SimpleNamespace(stream=stream),
            lambda endpoint, load: None,
            make_gate(view, make_announcements(full=full.append)),
            make_links(view),
        )
        plan = DispatchPlan(
            endpoint=writer,
            helpers=(Helper(endpoint=replace(helper, name='i-2')),),
            grant='g',
        )
        async with send(make_work(), plan, SECONDS_LEFT, None) as answer:
            return answer

    answer = trio.run(run)
    assert answer.refused
    assert answer.is_from_other_process is is_writer_gone
    expected = [] if is_writer_gone else ['i-2']
    assert [each.name for each in full] == expected


def test_report_of_another_lifetime_does_not_mark_the_listed_one():
    async def body(calls: Calls) -> None:
        calls.standin.leaving = True
        later = make_endpoint(calls.standin.address, calls.standin.lifetime + 1)
        calls.view.replace((later,))
        calls.endpoint = later
        assert (await calls.read_report()).is_error()
        assert calls.view.is_usable(later)

    run_calls(body)


@pytest.mark.parametrize(
    ('status', 'headers'),
    [
        (421, (('server-leaving', '1'),)),
        (200, (('server-leaving', '1'), ('instance-id', 'i-2'))),
        (200, (('server-leaving', '0'),)),
        (200, ()),
    ],
)
def test_answers_that_do_not_signal_a_leaving_endpoint(status, headers):
    endpoint = make_endpoint(Address(host='127.0.0.1', port=1), 1)
    assert not decode_signals(endpoint, status, headers).leaving


def test_list_that_shows_the_leaving_endpoint_ends_its_announcement():
    endpoint = make_endpoint(Address(host='127.0.0.1', port=1), 1)
    view = EndpointView(clock=time.monotonic)
    view.replace((endpoint,))
    view.mark_leaving(endpoint, 'answer')
    assert view.leaving_ahead_of_list('s') == (endpoint,)
    view.drop(endpoint.name)
    assert not view.leaving_ahead_of_list('s')


@pytest.mark.parametrize('call', ['send', 'read_report', 'reserve'])
@pytest.mark.parametrize('first', ['send', 'read_report', 'reserve'])
def test_endpoint_that_asked_for_a_back_off_gets_nothing(call, first):
    async def body(calls: Calls) -> None:
        standin = calls.standin
        standin.busy_until = time.monotonic() + 0.3
        await getattr(calls, first)()
        assert len(standin.journal.turned_away) == 1
        await getattr(calls, call)()
        assert len(standin.journal.turned_away) == 1
        assert calls.view.usable('s')
        await trio.sleep(0.35)
        await getattr(calls, call)()
        assert len(standin.journal.turned_away) == 1

    run_calls(body)


def test_reserved_memory_is_released_during_a_back_off():
    async def body(calls: Calls) -> None:
        placement = DispatchPlan(
            endpoint=calls.endpoint, reserved=((calls.endpoint, 1000),)
        )
        async with calls.reserve_memory(placement):
            assert calls.standin.held_tokens() == 1000
            calls.view.back_offs.extend(calls.endpoint, 30.0)
        assert not calls.standin.held_tokens()

    run_calls(body)


def test_request_is_not_sent_during_the_back_off_of_a_helper():
    async def body(calls: Calls) -> None:
        address = Address(host='127.0.0.1', port=1)
        helper = replace(make_endpoint(address, 1), name='i-2')
        calls.view.put(helper)
        helpers = (Helper(endpoint=helper),)
        calls.view.back_offs.extend(helper, 30.0)
        failure = await calls.send(helpers=helpers)
        assert failure.reason is Reason.ENDPOINT_UNAVAILABLE
        assert failure.verdict is Verdict.NOT_RUN
        assert not calls.standin.journal.arrivals

    run_calls(body)


def test_request_is_not_sent_after_a_helper_said_that_it_leaves():
    async def body(calls: Calls) -> None:
        address = Address(host='127.0.0.1', port=1)
        helper = replace(make_endpoint(address, 1), name='i-2')
        calls.view.put(helper)
        calls.view.mark_leaving(helper, 'answer')
        failure = await calls.send(helpers=(Helper(endpoint=helper),))
        assert failure.reason is Reason.ENDPOINT_UNAVAILABLE
        assert not calls.standin.journal.arrivals

    run_calls(body)


def test_retry_time_of_the_only_endpoint_is_what_the_caller_gets():
    async def body(calls: Calls) -> None:
        calls.standin.busy_until = time.monotonic() + 3.0
        failure = await calls.send()
        assert failure.reason is Reason.SERVICE_BACK_OFF
        assert failure.verdict is Verdict.NOT_RUN
        assert 2.0 < failure.retry_after_seconds <= 3.0

    run_calls(body)


def test_retry_time_is_not_forwarded_while_another_endpoint_may_serve():
    async def body(calls: Calls) -> None:
        address = Address(host='127.0.0.1', port=1)
        calls.view.put(replace(make_endpoint(address, 1), name='i-2'))
        calls.standin.busy_until = time.monotonic() + 3.0
        answer = await calls.send()
        assert answer.refused
        assert 'retry-after' not in dict(answer.headers)

    run_calls(body)


@pytest.mark.parametrize(
    ('text', 'seconds'),
    [
        ('0', 0.0),
        ('2', 2.0),
        (' 0.25 ', 0.25),
        ('.5', 0.5),
        ('1e1', 10.0),
        ('-1', None),
        ('-0.5', None),
        ('nan', None),
        ('inf', None),
        ('1_0', None),
        ('\u0661', None),
        ('', None),
        ('Wed, 21 Oct 2026 07:28:00 GMT', None),
    ],
)
def test_back_off_text_is_a_number_of_seconds_or_invalid(text, seconds):
    assert parse_decimal(text) == seconds


@given(st.text(max_size=30) | st.floats().map(str))
def test_back_off_of_any_text_is_a_number_that_is_not_negative(text):
    seconds = parse_decimal(text)
    assert seconds is None or seconds >= 0


@pytest.mark.parametrize('text', ['-1', 'soon', 'nan'])
def test_invalid_back_off_is_logged_and_ignored(text, monkeypatch):
    lines = []
    monkeypatch.setattr(
        'limpetdrift.platform.endpoint_signals.warn',
        lambda event, **fields: lines.append(fields),
    )
    endpoint = make_endpoint(Address(host='127.0.0.1', port=1), 1)
    signals = decode_signals(endpoint, 503, (('retry-after', text),))
    assert not signals.back_off_seconds
    assert lines == [{'endpoint': 'i-1', 'value': text}]


@pytest.mark.parametrize('status', [200, 429, 500])
def test_retry_time_of_another_status_is_no_back_off(status):
    endpoint = make_endpoint(Address(host='127.0.0.1', port=1), 1)
    signals = decode_signals(endpoint, status, (('retry-after', '5'),))
    assert not signals.back_off_seconds


@pytest.mark.parametrize('call', ['send', 'read_report', 'reserve'])
def test_rate_limit_in_any_answer_is_logged_once_and_holds_while_named(
    call, monkeypatch
):
    lines = []
    monkeypatch.setattr(
        'limpetdrift.state.endpoint_limits.note',
        lambda event, **fields: lines.append(
            (fields['previous'], fields['requests_per_second'])
        ),
    )

    async def body(calls: Calls) -> None:
        limits = calls.view.limits
        identity = calls.endpoint.identity
        await getattr(calls, call)()
        calls.standin.rate_limit = 50
        await getattr(calls, call)()
        await calls.send(permitted=frozenset((identity,)))
        assert limits.rate_of(identity) == 50
        calls.standin.rate_limit = None
        await calls.send(permitted=frozenset((identity,)))
        assert limits.rate_of(identity) == UNLIMITED
        assert lines == [(None, 50.0), (50.0, None)]

    run_calls(body)


@pytest.mark.parametrize(
    ('status', 'headers', 'rate'),
    [
        (200, (('server-limit', '1.5'),), 1.5),
        (503, (('server-limit', '0'),), 0.0),
        (200, (), UNLIMITED),
        (200, (('server-limit', 'few'),), None),
        (200, (('server-limit', '2'), ('server-limit', '.5')), 0.5),
        (200, (('server-limit', 'few'), ('server-limit', '3')), 3.0),
        (200, (('server-limit', '1, 2'),), None),
        (200, (('server-limit', '-1'),), None),
        (421, (('server-limit', '1'),), None),
        (200, (('server-limit', '1'), ('instance-id', 'i-2')), None),
    ],
)
def test_rate_limit_of_an_answer(status, headers, rate):
    endpoint = make_endpoint(Address(host='127.0.0.1', port=1), 1)
    assert decode_signals(endpoint, status, headers).rate_limit == rate


def test_rate_limit_is_not_forwarded_to_the_caller():
    async def body(calls: Calls) -> None:
        calls.standin.rate_limit = 50
        answer = await calls.send()
        assert 'server-limit' not in dict(answer.headers)

    run_calls(body)


@pytest.mark.parametrize('texts', [('few',), ('-1',), ('1', '2')])
def test_invalid_rate_limit_is_logged_with_its_endpoint(texts, monkeypatch):
    lines = []
    monkeypatch.setattr(
        'limpetdrift.platform.endpoint_signals.warn',
        lambda event, **fields: lines.append(fields),
    )
    endpoint = make_endpoint(Address(host='127.0.0.1', port=1), 1)
    headers = tuple(('server-limit', text) for text in texts)
    decode_signals(endpoint, 200, headers)
    assert lines == [{'endpoint': 'i-1', 'value': ', '.join(texts)}]
