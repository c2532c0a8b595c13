"""Tests that nothing is sent to an endpoint in the time that it named."""

import random
from dataclasses import replace

import pytest
import trio
from hypothesis import example, given
from hypothesis import strategies as st

from forward_harness import (
    make_announcements,
    make_endpoints,
    make_plain_placer,
    make_route,
)
from limpetdrift.coordination.endpoints.endpoint_gate import make_gate
from limpetdrift.platform.failure_responses import make_failure_renderer
from limpetdrift.protocol.work import CallerRequest
from limpetdrift.state.endpoint_back_offs import (
    MAX_BACK_OFF_SECONDS,
    RECOVERY_REQUESTS,
    EndpointBackOffs,
)
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.verdict import Reason, not_run
from virtual_time import in_virtual_time

FIRST, SECOND, THIRD = make_endpoints(3)
SECONDS = st.floats(min_value=0, max_value=3, allow_nan=False)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('wait'), SECONDS),
        st.tuples(st.just('turn_away'), SECONDS),
        st.tuples(st.just('place_all'), st.integers(min_value=1, max_value=30)),
        st.tuples(st.just('send_all'), st.integers(min_value=1, max_value=30)),
        st.tuples(st.just('end_first'), st.booleans()),
    ),
    max_size=60,
)


class Clock:
    """A clock that tests set."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


class Caller:
    """Sends requests to one endpoint as an entry does, and records them.

    ``placed`` holds those that wait in their planned delay. ``recovering``
    holds those that were sent after a back-off without a success since.
    """

    def __init__(self) -> None:
        self.clock = Clock()
        self.back_offs = EndpointBackOffs(clock=self.clock)
        self.sends: list[float] = []
        self.closed: list[tuple[float, float]] = []
        self.placed: list[str] = []
        self.in_flight: list[str] = []
        self.recovering: set[str] = set()
        self.count = 0

    def play(self, step: str, argument: float) -> None:
        """Play one step, which is named like a method."""
        getattr(self, step)(argument)

    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.clock.now += seconds

    def turn_away(self, seconds: float) -> None:
        """Receive an answer that names a time."""
        self.back_offs.extend(FIRST, seconds)
        if seconds:
            self.closed.append((self.clock.now, self.clock.now + seconds))

    def place_all(self, count: int) -> None:
        """Place requests that wait in their planned delay."""
        for _ in range(count):
            self.place()

    def send_all(self, count: int) -> None:
        """Place requests, and send as many."""
        for _ in range(count):
            self.place()
            self.send()

    def end_first(self, is_success: bool) -> None:
        """End the request that was sent first."""
        if self.in_flight:
            self.end(self.in_flight.pop(0), is_success=is_success)

    def place(self) -> None:
        """Place a request if the endpoint may be chosen."""
        if self.back_offs.is_open(FIRST.identity):
            self.count += 1
            self.placed.append(str(self.count))
            self.back_offs.begin((FIRST.identity,), self.placed[-1])

    def send(self) -> None:
        """Send the request that was placed first, unless it is refused."""
        if not self.placed:
            return
        name = self.placed.pop(0)
        if not self.back_offs.admit((FIRST.identity,), name):
            self.back_offs.end((FIRST.identity,), name)
            return
        self.in_flight.append(name)
        self.sends.append(self.clock.now)
        if self.closed:
            self.recovering.add(name)

    def end(self, name: str, *, is_success: bool) -> None:
        """End a request."""
        is_open = all(until <= self.clock.now for _, until in self.closed)
        if is_success:
            self.back_offs.record_success((FIRST.identity,), name)
            if is_open and name in self.recovering:
                self.closed.clear()
                self.recovering.clear()
        self.back_offs.end((FIRST.identity,), name)
        self.recovering.discard(name)


@given(STEPS)
@example(
    [('place_all', 3), ('turn_away', 3.0), ('wait', 1.0), ('send_all', 3)],
)
def test_nothing_is_sent_between_an_answer_and_the_end_that_it_named(steps):
    caller = Caller()
    closed = set()
    for step, argument in steps:
        caller.play(step, argument)
        closed.update(caller.closed)
    for answered_at, until in closed:
        late = [at for at in caller.sends if answered_at < at < until]
        assert not late


@given(STEPS)
@example(
    [('place_all', 5), ('turn_away', 1.0), ('wait', 1.0), ('send_all', 5)],
)
def test_few_requests_are_in_flight_after_any_back_off_until_a_success(
    steps,
):
    caller = Caller()
    for step, argument in steps:
        caller.play(step, argument)
        assert len(caller.recovering) <= RECOVERY_REQUESTS


@given(STEPS)
def test_endpoints_without_a_back_off_are_always_open(steps):
    caller = Caller()
    for step, argument in steps:
        caller.play(step, argument)
        assert caller.back_offs.is_open(SECOND.identity)
        assert caller.back_offs.open_only((SECOND, THIRD)) == (SECOND, THIRD)
        assert caller.back_offs.seconds_until_open((FIRST, SECOND)) is None


def test_few_requests_are_in_flight_after_a_back_off_until_one_succeeds():
    """Guards against all waiting requests arriving at its end."""
    caller = Caller()
    for step, argument in (('turn_away', 1.0), ('wait', 1.0), ('send_all', 20)):
        caller.play(step, argument)
    assert len(caller.sends) == RECOVERY_REQUESTS
    for step, argument in (('end_first', False), ('send_all', 20)):
        caller.play(step, argument)
    assert len(caller.sends) == RECOVERY_REQUESTS + 1
    for step, argument in (('end_first', True), ('send_all', 20)):
        caller.play(step, argument)
    assert len(caller.sends) == RECOVERY_REQUESTS + 21


def test_success_of_a_request_from_before_does_not_lift_the_limit():
    caller = Caller()
    for step, argument in (
        ('send_all', 1),
        ('turn_away', 1.0),
        ('end_first', True),
        ('send_all', 1),
    ):
        caller.play(step, argument)
    assert len(caller.sends) == 1
    caller.play('wait', 1.0)
    caller.back_offs.record_success((FIRST.identity,), '1')
    caller.play('send_all', 20)
    assert len(caller.sends) == 1 + RECOVERY_REQUESTS


def test_endpoint_that_starts_again_is_free_of_its_back_off():
    caller = Caller()
    caller.back_offs.extend(FIRST, 5.0)
    restarted = replace(FIRST, lifetime=FIRST.lifetime + 1)
    assert caller.back_offs.is_open(restarted.identity)


def test_shorter_later_back_off_does_not_shorten_a_longer_one():
    caller = Caller()
    caller.back_offs.extend(FIRST, 5.0)
    caller.back_offs.extend(FIRST, 1.0)
    assert caller.back_offs.seconds_left(FIRST.identity) == 5.0


@pytest.mark.parametrize('seconds', [61.0, 3600.0])
def test_back_off_of_minutes_holds_to_its_end(seconds):
    caller = Caller()
    caller.back_offs.extend(FIRST, seconds)
    caller.clock.now = seconds - 0.1
    assert not caller.back_offs.is_open(FIRST.identity)
    assert not caller.back_offs.admit((FIRST.identity,), 'a')
    caller.clock.now = seconds
    assert caller.back_offs.is_open(FIRST.identity)


def test_new_lifetime_is_open_during_a_long_back_off_of_the_one_before():
    caller = Caller()
    caller.back_offs.extend(FIRST, MAX_BACK_OFF_SECONDS)
    again = replace(FIRST, lifetime=FIRST.lifetime + 1)
    assert caller.back_offs.is_open(again.identity)


def test_callers_are_told_a_finite_time_whatever_an_endpoint_names():
    """Guards against a number without a limit in a refusal's header."""
    caller = Caller()
    caller.back_offs.extend(FIRST, float('inf'))
    seconds = caller.back_offs.seconds_until_open((FIRST,))
    render = make_failure_renderer(random.Random(1))
    response = render(
        not_run(Reason.SERVICE_BACK_OFF, 's', retry_after_seconds=seconds)
    )
    assert float(response.header('retry-after')) >= MAX_BACK_OFF_SECONDS


def test_back_off_above_the_limit_is_cut_and_logged(monkeypatch):
    lines = []
    monkeypatch.setattr(
        'limpetdrift.state.endpoint_back_offs.warn',
        lambda event, **fields: lines.append(fields),
    )
    caller = Caller()
    caller.back_offs.extend(FIRST, float('inf'))
    left = caller.back_offs.seconds_left(FIRST.identity)
    assert left == MAX_BACK_OFF_SECONDS
    assert lines[0]['endpoint'] == FIRST.name


def test_back_off_holds_while_the_endpoint_is_missing_from_the_list():
    caller = Caller()
    caller.back_offs.extend(FIRST, 5.0)
    caller.back_offs.forget_unlisted(set())
    assert not caller.back_offs.is_open(FIRST.identity)
    caller.clock.now = 5.0
    caller.back_offs.forget_unlisted(set())
    assert caller.back_offs.open_only((FIRST,)) == (FIRST,)


def test_time_until_the_first_of_all_endpoints_opens():
    caller = Caller()
    caller.back_offs.extend(FIRST, 5.0)
    caller.back_offs.extend(SECOND, 2.0)
    assert caller.back_offs.seconds_until_open((FIRST, SECOND)) == 2.0
    assert caller.back_offs.closed((FIRST, SECOND, THIRD)) == {
        FIRST.identity,
        SECOND.identity,
    }


class PlainHarness:
    """A placer of calls, and its view of three endpoints."""

    def __init__(self) -> None:
        self.endpoints = (FIRST, SECOND, THIRD)
        self.view = EndpointView(clock=trio.current_time)
        self.view.replace(self.endpoints)
        self.placer = make_plain_placer(self.view)
        self.count = 0

    def make_call(self) -> CallerRequest:
        """Return a call with an id of its own."""
        self.count += 1
        now = trio.current_time()
        return CallerRequest(
            request_id=str(self.count),
            method='GET',
            target='/x',
            headers=(),
            body=b'',
            route=make_route(),
            service='s',
            version=1,
            arrived_at=now,
            deadline=now + 1,
        )


@in_virtual_time
async def test_call_goes_to_no_endpoint_in_back_off_though_others_failed_it():
    harness = PlainHarness()
    harness.view.back_offs.extend(FIRST, 5.0)
    failed = frozenset((SECOND.identity, THIRD.identity))
    for _ in range(50):
        work = harness.make_call()
        placed = (await harness.placer.place(work, failed)).ok
        assert placed.endpoint != FIRST
        harness.placer.release(work, placed, (placed.endpoint,))


@in_virtual_time
async def test_call_is_refused_with_the_least_time_left():
    harness = PlainHarness()
    for seconds, endpoint in enumerate(harness.endpoints, start=2):
        harness.view.back_offs.extend(endpoint, seconds)
    placed = await harness.placer.place(harness.make_call(), frozenset())
    assert placed.error.reason is Reason.SERVICE_BACK_OFF
    assert placed.error.retry_after_seconds == 2.0
    await trio.sleep(2.0)
    placed = await harness.placer.place(harness.make_call(), frozenset())
    assert placed.ok.endpoint == FIRST


@in_virtual_time
async def test_few_of_the_calls_placed_before_a_back_off_are_sent_after_it():
    """Their planned delays may end when the back-off has ended."""
    harness = PlainHarness()
    harness.view.replace((FIRST,))
    gate = make_gate(harness.view, make_announcements())
    calls = [harness.make_call() for _ in range(20)]
    placed = [
        (await harness.placer.place(each, frozenset())).ok for each in calls
    ]
    harness.view.back_offs.extend(FIRST, 1.0)
    assert gate.check_send(calls[0], placed[0]) is not None
    await trio.sleep(1.0)
    sent = [
        (call, placement)
        for call, placement in zip(calls, placed, strict=True)
        if gate.check_send(call, placement) is None
    ]
    assert len(sent) == RECOVERY_REQUESTS
    gate.record_success(*sent[0])
    for call, placement in zip(calls, placed, strict=True):
        harness.placer.release(call, placement, ())
        assert gate.check_send(call, placement) is None


@in_virtual_time
async def test_few_calls_follow_a_back_off_until_one_has_succeeded():
    harness = PlainHarness()
    harness.view.replace((FIRST,))
    harness.view.back_offs.extend(FIRST, 1.0)
    await trio.sleep(1.0)
    calls = [harness.make_call() for _ in range(20)]
    placed = [await harness.placer.place(each, frozenset()) for each in calls]
    accepted = [
        (work, each.ok)
        for work, each in zip(calls, placed, strict=True)
        if each.is_ok()
    ]
    assert len(accepted) == RECOVERY_REQUESTS
    refused = next(each.error for each in placed if each.is_error())
    assert refused.retry_after_seconds > 0
    work, placement = accepted[0]
    gate = make_gate(harness.view, make_announcements())
    gate.record_success(work, placement)
    for call in calls:
        assert (await harness.placer.place(call, frozenset())).is_ok()
