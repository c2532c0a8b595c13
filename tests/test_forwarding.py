"""Forwarding of opaque requests to endpoints that fail, hang or refuse."""

from dataclasses import replace

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from forward_harness import (
    BROKEN,
    REFUSED,
    FakeExchange,
    ForwardHarness,
    events,
    events_then,
    make_route,
    whole_response,
)
from limpetdrift import telemetry
from limpetdrift.coordination.forwarding.event_relay import split_events
from limpetdrift.protocol.route_table import RequestKind
from limpetdrift.verdict import FailureError, Reason, not_run
from virtual_time import in_virtual_time, run_in_virtual_time

IDEMPOTENT = make_route(kind=RequestKind.IDEMPOTENT, timeout_seconds=1.0)
NON_IDEMPOTENT = make_route(
    kind=RequestKind.NON_IDEMPOTENT,
    timeout_seconds=1.0,
    attempt_limit=3,
)


def serve(harness: ForwardHarness, route, exchange=None, **changes):
    exchange = exchange or FakeExchange()
    elapsed = {}

    async def run() -> None:
        begun = trio.current_time()
        await harness.serve(route, exchange, **changes)
        elapsed['seconds'] = trio.current_time() - begun

    run_in_virtual_time(run)
    return exchange, elapsed['seconds']


def numbers(payload: bytes) -> list[int | None]:
    whole_events, rest = split_events(payload)
    assert rest == b''
    return [event.number for event in whole_events]


def queued_seconds() -> float:
    begin = 'limpet_queue_seconds_sum{kind="streaming"'
    lines = telemetry.exposition().decode().splitlines()
    return sum(
        float(line.rpartition(' ')[2])
        for line in lines
        if line.startswith(begin)
    )


def make_harness(*scripts: object, **options: float) -> ForwardHarness:
    made = {}

    async def build() -> None:
        made['harness'] = ForwardHarness(*scripts, **options)

    run_in_virtual_time(build)
    return made['harness']


def test_broken_stream_resumes_elsewhere_after_the_last_event():
    harness = make_harness(events_then(events(1, 4), BROKEN), events(1, 8))
    exchange, _ = serve(harness, make_route())
    assert numbers(exchange.payload) == list(range(1, 9))
    assert exchange.finished
    assert harness.sent[1].last_event == 4
    assert harness.sent[0].endpoint != harness.sent[1].endpoint
    assert [each.events for each in harness.broken] == [4]
    assert harness.broken[0].seconds == pytest.approx(0.2)


def test_order_that_breaks_off_is_no_evidence_against_the_request():
    """The request was not sent, so the endpoint can't have crashed on it."""
    harness = make_harness(events(1, 2))

    def reserve(placement):
        raise FailureError(BROKEN)

    forwarder = harness.forwarder
    forwarder._inputs = replace(forwarder._inputs, reserve_memory=reserve)
    serve(harness, make_route())
    assert not harness.sent
    assert not harness.broken


def test_stream_past_its_idle_timeout_resumes_elsewhere():
    harness = make_harness(events_then(events(1, 3), 9.0), events(1, 5))
    exchange, seconds = serve(harness, make_route())
    assert numbers(exchange.payload) == [1, 2, 3, 4, 5]
    assert seconds < 2


def test_idle_stream_is_kept_when_no_retry_is_left():
    """Guards against giving up a slow stream that cannot be resumed.

    Such a stream was ended midway because its key had been revoked.
    """
    paused = events_then(events(1, 3), 1.5)

    async def continued(seen: int):
        async for chunk in paused(seen):
            yield chunk
        async for chunk in events(4, 6)(seen):
            yield chunk

    harness = make_harness(continued, reserve=0.0)
    exchange, _ = serve(harness, make_route())
    assert numbers(exchange.payload) == [1, 2, 3, 4, 5, 6]
    assert not exchange.aborted


def silent_then(seconds: float, failure):
    """Return a script that sends nothing, then fails."""

    async def script(seen: int):
        await trio.sleep(seconds)
        async for chunk in events_then(events(1, 0), failure)(seen):
            yield chunk

    return script


def pause_midway(seconds: float):
    """Return a script of six events with a pause after the third."""

    async def script(seen: int):
        async for chunk in events_then(events(1, 3), seconds)(seen):
            yield chunk
        async for chunk in events(4, 6)(seen):
            yield chunk

    return script


@pytest.mark.parametrize('pause_seconds', [1.4, 2.5])
@pytest.mark.parametrize(
    'elsewhere',
    [
        REFUSED,
        BROKEN,
        events_then(events(1, 1), 9.0),
        whole_response(503, refused=True),
        whole_response(500),
    ],
    ids=['unreachable', 'broken', 'silent', 'full', 'failing'],
)
def test_stream_of_a_paused_engine_survives_a_failure_elsewhere(
    pause_seconds, elsewhere
):
    harness = make_harness(
        pause_midway(pause_seconds), *(elsewhere for _ in range(5))
    )
    exchange, _ = serve(harness, make_route())
    assert numbers(exchange.payload) == [1, 2, 3, 4, 5, 6]
    assert exchange.finished
    assert not exchange.aborted


@pytest.mark.parametrize('pause_seconds', [1.4, 2.5])
def test_stream_of_a_paused_engine_survives_when_no_other_accepts_it(
    pause_seconds,
):
    harness = make_harness(pause_midway(pause_seconds), endpoint_count=1)
    exchange, _ = serve(harness, make_route())
    assert numbers(exchange.payload) == [1, 2, 3, 4, 5, 6]
    assert exchange.finished
    assert not exchange.aborted


@given(
    pauses=st.lists(st.floats(0.01, 1.9), min_size=5, max_size=5),
    elsewhere=st.lists(
        st.one_of(
            st.sampled_from([REFUSED, BROKEN, whole_response(500)]),
            st.floats(0.01, 3.0).map(
                lambda pause: events_then(events(1, 5, pause=pause), 0)
            ),
            st.floats(0.01, 9.0).map(
                lambda silence: silent_then(silence, BROKEN)
            ),
        ),
        min_size=8,
        max_size=8,
    ),
)
def test_stream_of_a_sound_engine_is_whole_whatever_happens_elsewhere(
    pauses, elsewhere
):
    async def paused(seen: int):
        for number in range(seen + 1, 6):
            await trio.sleep(pauses[number - 1])
            yield f'id: {number}\ndata: x\n\n'.encode()

    harness = make_harness(paused, *elsewhere)
    exchange, _ = serve(harness, make_route())
    assert numbers(exchange.payload) == [1, 2, 3, 4, 5]
    assert exchange.heads == 1
    assert exchange.finished


def test_first_event_of_a_paused_engine_is_awaited_when_no_other_accepts_it():
    harness = make_harness(events(1, 3, pause=1.5), endpoint_count=1)
    exchange, _ = serve(harness, make_route())
    assert numbers(exchange.payload) == [1, 2, 3]
    assert exchange.finished


def test_call_at_a_paused_server_is_answered_when_the_other_one_fails():
    async def chunks():
        await trio.sleep(0.7)
        yield b'late'

    paused = replace(whole_response(200), chunks=chunks)
    harness = make_harness(paused, BROKEN)
    exchange, _ = serve(harness, IDEMPOTENT)
    assert exchange.response.status == 200
    assert exchange.response.body == b'late'


def test_begun_stream_resumes_after_its_key_is_revoked():
    harness = make_harness()

    async def first(seen: int):
        async for chunk in events(1, 3)(seen):
            yield chunk
        harness.refusal = not_run(Reason.UNAUTHORIZED, 'taken away')
        await trio.sleep(9)

    harness.scripts = [first, events(1, 5)]
    exchange, _ = serve(harness, make_route())
    assert numbers(exchange.payload) == [1, 2, 3, 4, 5]
    assert exchange.finished


def test_request_is_refused_if_its_key_is_revoked_before_it_is_sent():
    harness = make_harness(events(1, 3))
    harness.refusal = not_run(Reason.UNAUTHORIZED, 'taken away')
    exchange, _ = serve(harness, make_route())
    assert not harness.sent
    assert exchange.response.status == 503


def test_non_idempotent_request_is_not_resent_once_it_may_have_run():
    harness = make_harness(BROKEN, whole_response(200))
    exchange, _ = serve(harness, NON_IDEMPOTENT)
    assert len(harness.sent) == 1
    assert exchange.response.status == 502


def test_non_idempotent_request_is_resent_while_proved_not_run():
    harness = make_harness(
        whole_response(503, refused=True), REFUSED, whole_response(200)
    )
    exchange, _ = serve(harness, NON_IDEMPOTENT)
    assert exchange.response.status == 200
    assert len(harness.sent) == 3


def test_request_refused_right_before_its_send_uses_no_attempt():
    refused = not_run(Reason.ENDPOINT_UNAVAILABLE, 'asked for a back-off')
    harness = make_harness(refused, whole_response(200))
    once = make_route(kind=RequestKind.NON_IDEMPOTENT, attempt_limit=1)
    exchange, _ = serve(harness, once)
    assert exchange.response.status == 200


def test_call_that_met_only_refusals_is_answered_as_not_run():
    harness = make_harness(*(whole_response(503, refused=True),) * 3)
    exchange, seconds = serve(harness, IDEMPOTENT)
    assert exchange.response.status == 503
    assert seconds < 0.1


def test_call_is_refused_at_once_when_all_endpoints_asked_for_a_back_off():
    """Guards against a call that is held until its deadline."""
    refused = not_run(Reason.SERVICE_BACK_OFF, retry_after_seconds=2.0)
    harness = make_harness(refused)
    exchange, seconds = serve(harness, IDEMPOTENT)
    assert exchange.response.body == b'service-back-off'
    assert not seconds


def test_idempotent_call_is_retried_when_an_endpoint_hangs():
    async def hang(seen: int):
        await trio.sleep(30)
        yield b''

    harness = make_harness(hang, whole_response(200))
    exchange, seconds = serve(harness, IDEMPOTENT)
    assert exchange.response.status == 200
    assert seconds < 0.75


def test_last_error_response_is_relayed_when_all_endpoints_fail():
    harness = make_harness(
        whole_response(500, body=b'a'), whole_response(500, body=b'b')
    )
    exchange, _ = serve(harness, IDEMPOTENT)
    assert exchange.response.body == b'b'


def test_deadline_ends_a_request_with_a_may_have_run_failure():
    async def hang(seen: int):
        await trio.sleep(30)
        yield b''

    harness = make_harness(hang)
    exchange, seconds = serve(harness, NON_IDEMPOTENT)
    assert exchange.response.status == 502
    assert abs(seconds - NON_IDEMPOTENT.timeout_seconds) < 0.01


def test_caller_disconnect_cancels_the_attempt_at_once():
    harness = make_harness(events(1, 100))

    async def run() -> None:
        exchange = FakeExchange()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.serve, make_route(), exchange)
            await trio.sleep(0.3)
            disconnected_at = trio.current_time()
            exchange.disconnected.set()
        assert harness.ended[0] - disconnected_at < 0.01
        assert exchange.response is None

    run_in_virtual_time(run)


def test_request_is_sent_after_the_planned_delay():
    harness = make_harness(events(1, 2))
    harness.delay_seconds = 0.7
    _, seconds = serve(harness, make_route())
    assert abs(harness.sent[0].at - (harness.ended[0] - 0.1)) < 0.01
    assert seconds > 0.7


def test_planned_delay_is_recorded_as_queue_time():
    harness = make_harness(events(1, 3))
    harness.delay_seconds = 0.7
    before = queued_seconds()
    serve(harness, make_route())
    waited = queued_seconds() - before
    assert waited == pytest.approx(0.7)


def test_request_fails_when_the_retry_budget_is_empty():
    harness = make_harness(BROKEN, events(1, 2), reserve=0.5)
    exchange, _ = serve(harness, make_route())
    assert len(harness.sent) == 1
    assert exchange.response.status == 502


def test_release_names_the_endpoint_that_failed():
    harness = make_harness(BROKEN, events(1, 2))
    serve(harness, make_route())
    assert harness.released == [('i-0', ('i-0',)), ('i-1', ())]


@given(
    lengths=st.lists(st.integers(1, 9), min_size=1, max_size=4),
    cuts=st.lists(st.integers(1, 40), max_size=4),
)
def test_events_are_split_correctly_for_any_chunk_boundaries(lengths, cuts):
    payload = b''.join(
        b'id: %d\ndata: %s\n\n' % (number, b'x' * size)
        for number, size in enumerate(lengths)
    )
    rest, found, start = b'', [], 0
    for end in sorted(
        {*(min(cut, len(payload)) for cut in cuts), len(payload)}
    ):
        parsed, rest = split_events(rest + payload[start:end])
        found.extend(parsed)
        start = end
    assert rest == b''
    assert b''.join(event.payload for event in found) == payload
    assert [event.number for event in found] == list(range(len(lengths)))


def test_endpoint_whose_address_was_reused_gets_no_more_requests():
    moved = replace(
        whole_response(421, refused=True), is_from_other_process=True
    )
    harness = make_harness(moved, whole_response(200))
    exchange, _ = serve(harness, IDEMPOTENT)
    assert exchange.response.status == 200
    assert harness.endpoints[0] not in harness.view.usable('s')
    assert harness.endpoints[1] in harness.view.usable('s')


def suspend_before_events(seconds: float, script):
    """Return a script that suspends the process before each event.

    The clock runs on meanwhile, so that the timeout and the event are found
    at the same time.
    """

    async def late(seen: int):
        async for chunk in script(seen):
            trio.lowlevel.current_clock().jump(seconds)
            await trio.lowlevel.cancel_shielded_checkpoint()
            yield chunk

    return late


@pytest.mark.parametrize('seconds', [0.5, 3.0])
def test_suspended_process_sends_no_partial_event(seconds):
    """Guards against a response that the client cannot parse.

    It arose when a timeout that had passed during the suspension cancelled a
    write, and the next attempt wrote after the partial event.
    """
    harness = make_harness(
        suspend_before_events(seconds, events(1, 3)), events(1, 5)
    )
    exchange, _ = serve(harness, make_route())
    assert not exchange.is_partially_written
    assert numbers(exchange.payload)[:3] == [1, 2, 3]
    assert exchange.finished


def test_suspended_process_answers_a_call_once():
    async def chunks():
        trio.lowlevel.current_clock().jump(0.8)
        await trio.lowlevel.cancel_shielded_checkpoint()
        yield b'late'

    late = replace(whole_response(200), chunks=chunks)
    harness = make_harness(late, whole_response(200, body=b'second'))
    exchange, _ = serve(harness, IDEMPOTENT)
    assert not exchange.is_partially_written
    assert exchange.response.body == b'late'
    assert exchange.heads == 1


def test_nothing_is_written_after_a_response_cut_off_by_the_deadline():
    async def chunks():
        yield b'x'
        trio.lowlevel.current_clock().jump(30)
        await trio.lowlevel.cancel_shielded_checkpoint()

    harness = make_harness(replace(whole_response(200), chunks=chunks))
    exchange, _ = serve(harness, NON_IDEMPOTENT)
    assert exchange.response is None or not exchange.is_partially_written
    assert exchange.aborted or exchange.response.status == 502


@in_virtual_time
async def test_running_work_is_kept_when_its_endpoint_goes_from_the_list():
    """An endpoint that is late to report may be taken off the list."""
    harness = ForwardHarness(events(1, 20, pause=0.1), events(1, 20))
    exchange = FakeExchange()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(harness.serve, make_route(), exchange)
        await trio.sleep(0.5)
        harness.view.drop('i-0')
    assert exchange.finished
    assert [sent.endpoint for sent in harness.sent] == ['i-0']


@in_virtual_time
async def test_running_call_is_kept_when_its_endpoint_goes_from_the_list():
    async def answer():
        await trio.sleep(1.0)
        yield b'ok'

    harness = ForwardHarness(
        replace(whole_response(200), chunks=answer), whole_response(200)
    )
    exchange = FakeExchange()
    route = make_route(kind=RequestKind.IDEMPOTENT, resumable=False)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(harness.serve, route, exchange)
        await trio.sleep(0.5)
        harness.view.drop('i-0')
    assert exchange.response.body == b'ok'
    assert [sent.endpoint for sent in harness.sent] == ['i-0']
