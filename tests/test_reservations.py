"""Tests of memory reservations at engines that fall silent for a time."""

import math
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest
import trio
from expression import Error
from trio.testing import MockClock

from forward_harness import make_announcements, make_links
from limpet_standins.local import call_local
from limpet_standins.platform_endpoints import Journal, StandinEndpoint
from limpetdrift.coordination.endpoints.endpoint_gate import make_gate
from limpetdrift.platform.reservations import (
    LIMITED_TTL_SECONDS,
    ORDER_TIMEOUT_SECONDS,
    make_reserver,
)
from limpetdrift.protocol.work import DispatchPlan, ListedEndpoint
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import FailureError, Reason, may_have_run, not_run
from virtual_time import in_virtual_time

ENGINE = ListedEndpoint(
    name='i-1',
    lifetime=1,
    service='engines',
    address='127.0.0.1:1',
    failure_domain='zone-1',
    slots=8,
)
PLAN = DispatchPlan(endpoint=ENGINE, reserved=((ENGINE, 1000),))
CONNECT_SECONDS = 0.25


class SilentEngine:
    """A client of one engine that falls silent.

    An engine that does not accept connections lets them time out.
    """

    def __init__(self, *, accepts: bool = True) -> None:
        self.endpoint = StandinEndpoint(
            name=ENGINE.name,
            service=ENGINE.service,
            address=Address(host='127.0.0.1', port=1),
            journal=Journal(),
            clock=trio.current_time,
        )
        self.silent_until = 0.0
        self._accepts = accepts

    def fall_silent(self, seconds: float) -> None:
        self.silent_until = trio.current_time() + seconds
        self.endpoint.fall_silent(seconds)

    async def fetch(self, address, request, *, timeout_seconds, new_connection):
        connect_seconds = math.inf if self._accepts else CONNECT_SECONDS
        if self.silent_until - trio.current_time() > connect_seconds:
            await trio.sleep(connect_seconds)
            return Error(not_run(Reason.CONNECT_TIMEOUT, 'connect'))
        with trio.move_on_after(timeout_seconds):
            return await call_local(self.endpoint, request)
        return Error(may_have_run(Reason.TIMEOUT, 'no answer'))


@asynccontextmanager
async def reserve(engine: SilentEngine, plan: DispatchPlan = PLAN):
    view = EndpointView(clock=trio.current_time)
    gate = make_gate(view, make_announcements())
    async with make_reserver(engine, 'entry-1', gate, make_links(view))(plan):
        yield


@pytest.mark.parametrize('accepts', (True, False))
@in_virtual_time
async def test_reservation_outlasts_a_silence_at_its_start(accepts):
    engine = SilentEngine(accepts=accepts)
    engine.fall_silent(1.2)
    async with reserve(engine):
        assert engine.endpoint.held_tokens() == 1000


@pytest.mark.parametrize('accepts', (True, False))
@in_virtual_time
async def test_reservation_is_not_lost_when_renewals_meet_a_silence(accepts):
    engine = SilentEngine(accepts=accepts)
    async with reserve(engine):
        await trio.sleep(0.95)
        engine.fall_silent(1.6)
        for _ in range(50):
            await trio.sleep(0.1)
            assert engine.endpoint.held_tokens() == 1000


@pytest.mark.parametrize('silent_at', (0.95, 2.9, 3.0, 4.9))
@in_virtual_time
async def test_reservation_at_an_engine_with_a_limit_outlasts_a_silence(
    silent_at,
):
    engine = SilentEngine()
    engine.endpoint.rate_limit = 0.4
    async with reserve(engine):
        await trio.sleep(silent_at)
        engine.fall_silent(1.6)
        for _ in range(80):
            await trio.sleep(0.1)
            assert engine.endpoint.held_tokens() == 1000
    await trio.sleep(LIMITED_TTL_SECONDS)
    assert not engine.endpoint.held_tokens()


@pytest.mark.parametrize('accepts', (True, False))
@in_virtual_time
async def test_request_does_not_wait_for_a_silent_engine_to_release(accepts):
    engine = SilentEngine(accepts=accepts)
    async with reserve(engine):
        engine.fall_silent(1.5)
        ended_at = trio.current_time()
    assert trio.current_time() - ended_at < 0.3
    await trio.sleep(1.6)
    assert not engine.endpoint.held_tokens()


class FailingClient:
    """A client that raises an error with each order."""

    async def fetch(self, address, request, *, timeout_seconds, new_connection):
        raise UnicodeEncodeError('latin-1', ENGINE.name, 0, 1, 'no such byte')


@in_virtual_time
async def test_error_in_a_release_does_not_end_the_process():
    with pytest.raises(ExceptionGroup):
        await reserve(FailingClient()).__aenter__()
    await trio.sleep(1)


class RecordingClient(HttpClient):
    """An HTTP client that records the timeouts of its calls."""

    def __init__(self) -> None:
        super().__init__()
        self.timeouts = []

    async def fetch(self, address, request, **options):
        self.timeouts.append(options['timeout_seconds'])
        return await super().fetch(address, request, **options)


# Guards against a timeout below zero, which trio refuses.
def test_order_after_a_pause_of_the_process_times_out():
    clock = MockClock()
    client = RecordingClient()
    view = EndpointView(clock=trio.current_time)
    gate = make_gate(view, make_announcements())
    check_call = gate.check_call

    def check_and_pause(endpoint):
        clock.jump(ORDER_TIMEOUT_SECONDS + 1)
        return check_call(endpoint)

    async def body():
        reserve = make_reserver(
            client,
            'entry-1',
            replace(gate, check_call=check_and_pause),
            make_links(view),
        )
        with pytest.raises(FailureError):
            async with reserve(PLAN):
                pytest.fail('reserved')

    trio.run(body, clock=clock)
    assert client.timeouts
    assert not any(client.timeouts)
