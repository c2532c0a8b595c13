"""Opaque requests end in an answer or a true failure, whatever endpoints do."""

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
    whole,
)
from limpetdrift import telemetry
from limpetdrift.coordination.event_relay import split_events
from limpetdrift.protocol.route_table import RequestKind
from limpetdrift.protocol.verdict import Reason, not_run
from virtual_time import run_in_virtual_time

PLAIN = make_route(kind=RequestKind.IDEMPOTENT, timeout_seconds=1.0)
ONCE = make_route(
    kind=RequestKind.NON_IDEMPOTENT,
    timeout_seconds=1.0,
    attempt_limit=3,
)


def serve(world: ForwardHarness, route, exchange=None, **changes):
    exchange = exchange or FakeExchange()
    took = {}

    async def play() -> None:
        begun = trio.current_time()
        await world.serve(route, exchange, **changes)
        took['seconds'] = trio.current_time() - begun

    run_in_virtual_time(play)
    return exchange, took['seconds']


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


def make(*scripts: object, **options: float) -> ForwardHarness:
    made = {}

    async def build() -> None:
        made['world'] = ForwardHarness(*scripts, **options)

    run_in_virtual_time(build)
    return made['world']


def test_stream_goes_on_elsewhere_from_the_last_event():
    world = make(events_then(events(1, 4), BROKEN), events(1, 8))
    exchange, _ = serve(world, make_route())
    assert numbers(exchange.payload) == list(range(1, 9))
    assert exchange.finished
    assert world.sent[1].last_event == 4
    assert world.sent[0].endpoint != world.sent[1].endpoint


def test_stream_that_falls_silent_goes_on_elsewhere():
    world = make(events_then(events(1, 3), 9.0), events(1, 5))
    exchange, seconds = serve(world, make_route())
    assert numbers(exchange.payload) == [1, 2, 3, 4, 5]
    assert seconds < 2


def test_silent_stream_is_kept_where_it_can_not_go_on():
    """Seen on a hunted day: a key that went ended a slow stream midway."""
    slow = events_then(events(1, 3), 1.5)

    async def resumed(seen: int):
        async for chunk in slow(seen):
            yield chunk
        async for chunk in events(4, 6)(seen):
            yield chunk

    world = make(resumed, reserve=0.0)
    exchange, _ = serve(world, make_route())
    assert numbers(exchange.payload) == [1, 2, 3, 4, 5, 6]
    assert not exchange.aborted


def test_begun_stream_goes_on_though_its_key_went():
    world = make()

    async def first(seen: int):
        async for chunk in events(1, 3)(seen):
            yield chunk
        world.refusal = not_run(Reason.UNAUTHORIZED, 'taken away')
        await trio.sleep(9)

    world.scripts = [first, events(1, 5)]
    exchange, _ = serve(world, make_route())
    assert numbers(exchange.payload) == [1, 2, 3, 4, 5]
    assert exchange.finished


def test_key_that_went_before_the_start_stops_a_request():
    world = make(events(1, 3))
    world.refusal = not_run(Reason.UNAUTHORIZED, 'taken away')
    exchange, _ = serve(world, make_route())
    assert not world.sent
    assert exchange.response.status == 503


def test_single_run_is_not_sent_again_once_it_may_have_run():
    world = make(BROKEN, whole(200))
    exchange, _ = serve(world, ONCE)
    assert len(world.sent) == 1
    assert exchange.response.status == 502


def test_single_run_goes_on_while_it_has_surely_not_run():
    world = make(whole(503, refused=True), REFUSED, whole(200))
    exchange, _ = serve(world, ONCE)
    assert exchange.response.status == 200
    assert len(world.sent) == 3


def test_idempotent_call_leaves_an_endpoint_that_hangs():
    async def hang(seen: int):
        await trio.sleep(30)
        yield b''

    world = make(hang, whole(200))
    exchange, seconds = serve(world, PLAIN)
    assert exchange.response.status == 200
    assert seconds < 0.75


def test_answer_of_an_endpoint_that_fails_is_passed_on_when_all_fail():
    world = make(whole(500, body=b'a'), whole(500, body=b'b'))
    exchange, _ = serve(world, PLAIN)
    assert exchange.response.body == b'b'


def test_deadline_ends_a_request_in_time_and_says_that_it_may_have_run():
    async def hang(seen: int):
        await trio.sleep(30)
        yield b''

    world = make(hang)
    exchange, seconds = serve(world, ONCE)
    assert exchange.response.status == 502
    assert abs(seconds - ONCE.timeout_seconds) < 0.01


def test_caller_that_leaves_ends_the_attempt_at_once():
    world = make(events(1, 100))

    async def play() -> None:
        exchange = FakeExchange()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.serve, make_route(), exchange)
            await trio.sleep(0.3)
            left_at = trio.current_time()
            exchange.disconnected.set()
        assert world.ended[0] - left_at < 0.01
        assert exchange.response is None

    run_in_virtual_time(play)


def test_request_waits_until_its_engines_are_free():
    world = make(events(1, 2))
    world.delay_seconds = 0.7
    _, seconds = serve(world, make_route())
    assert abs(world.sent[0].at - (world.ended[0] - 0.1)) < 0.01
    assert seconds > 0.7


def test_wait_for_engines_is_measured():
    world = make(events(1, 3))
    world.delay_seconds = 0.7
    before = queued_seconds()
    serve(world, make_route())
    waited = queued_seconds() - before
    assert waited == pytest.approx(0.7)


def test_retries_end_with_the_budget():
    world = make(BROKEN, events(1, 2), reserve=0.5)
    exchange, _ = serve(world, make_route())
    assert len(world.sent) == 1
    assert exchange.response.status == 502


def test_endpoint_that_failed_is_named_at_the_release():
    world = make(BROKEN, events(1, 2))
    serve(world, make_route())
    assert world.released == [('i-0', ('i-0',)), ('i-1', ())]


@given(
    lengths=st.lists(st.integers(1, 9), min_size=1, max_size=4),
    cuts=st.lists(st.integers(1, 40), max_size=4),
)
def test_events_are_whole_however_they_are_cut(lengths, cuts):
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


def test_address_that_another_process_has_gets_nothing_more():
    moved = replace(whole(421, refused=True), is_from_other_process=True)
    world = make(moved, whole(200))
    exchange, _ = serve(world, PLAIN)
    assert exchange.response.status == 200
    assert world.endpoints[0] not in world.view.usable('s')
    assert world.endpoints[1] in world.view.usable('s')


def stand_still(seconds: float, script):
    """Return a script whose process stands still before each event.

    Its clock runs on, so that the end of the time and the event come at once.
    """

    async def late(seen: int):
        async for chunk in script(seen):
            trio.lowlevel.current_clock().jump(seconds)
            await trio.lowlevel.cancel_shielded_checkpoint()
            yield chunk

    return late


@pytest.mark.parametrize('seconds', [0.5, 3.0])
def test_process_that_stood_still_tears_no_answer(seconds):
    """Seen on a hunted day: the client could not read the answer."""
    world = make(stand_still(seconds, events(1, 3)), events(1, 5))
    exchange, _ = serve(world, make_route())
    assert not exchange.torn
    assert numbers(exchange.payload)[:3] == [1, 2, 3]
    assert exchange.finished


def test_process_that_stood_still_answers_a_call_once():
    async def chunks():
        trio.lowlevel.current_clock().jump(0.8)
        await trio.lowlevel.cancel_shielded_checkpoint()
        yield b'late'

    late = replace(whole(200), chunks=chunks)
    world = make(late, whole(200, body=b'second'))
    exchange, _ = serve(world, PLAIN)
    assert not exchange.torn
    assert exchange.response.body == b'second'


def test_answer_cut_off_by_the_deadline_is_not_written_again():
    async def chunks():
        yield b'x'
        trio.lowlevel.current_clock().jump(30)
        await trio.lowlevel.cancel_shielded_checkpoint()

    world = make(replace(whole(200), chunks=chunks))
    exchange, _ = serve(world, ONCE)
    assert exchange.response is None or not exchange.torn
    assert exchange.aborted or exchange.response.status == 502
