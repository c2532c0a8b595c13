"""Background tasks that fail: what begins again, and when."""

import logging
from functools import partial

import pytest
import trio

from limpetdrift import telemetry
from limpetdrift.platform.background_tasks import (
    CALLER_SERVER,
    MAX_FAILING_SECONDS,
    must_leave,
)
from limpetdrift.platform.store_replica import CONFIGURATION_WATCHER
from limpetdrift.protocol.route_table import RouteTable
from limpetdrift.state.route_cache import RouteTableCache
from limpetdrift.supervision import (
    FIRST_DELAY_SECONDS,
    LOG_INTERVAL_SECONDS,
    MAX_DELAY_SECONDS,
    WELL_SECONDS,
    FailureSeries,
    call_hooks,
    extend_series,
    failure_hook,
    keep_running,
    max_delay_seconds,
    run_contained,
)
from server_harness import HEAD, ServerHarness, read_all
from virtual_time import in_virtual_time


def failures(task: str) -> float:
    text = telemetry.exposition().decode()
    return sum(
        float(line.rsplit(' ', 1)[1])
        for line in text.splitlines()
        if line.startswith('limpet_task_failures_total')
        and f'task="{task}"' in line
    )


def test_delay_grows_to_its_ceiling_and_falls_back_after_a_good_run():
    series = FailureSeries()
    delays = []
    for second in range(12):
        series = extend_series(series, second, second + 0.5)
        delays.append(max_delay_seconds(series))
    assert delays[:4] == [FIRST_DELAY_SECONDS * 2**each for each in range(4)]
    assert delays[-1] == MAX_DELAY_SECONDS
    assert series.since == 0.5
    series = extend_series(series, 20, 20 + WELL_SECONDS)
    assert series == FailureSeries(count=1, since=20 + WELL_SECONDS)
    assert max_delay_seconds(series) == FIRST_DELAY_SECONDS
    many = FailureSeries(count=10**6)
    assert max_delay_seconds(many) == MAX_DELAY_SECONDS


@in_virtual_time
async def test_error_of_one_task_ends_the_others(caplog):
    starts: list[float] = []
    beats: list[float] = []
    reported: list[tuple[str, float]] = []
    counted = failures('bad')
    failure_hook.set(lambda name, seconds: reported.append((name, seconds)))

    async def fail() -> None:
        starts.append(trio.current_time())
        await trio.sleep(0.1)
        raise OverflowError('port')

    async def beat() -> None:
        while True:
            beats.append(trio.current_time())
            await trio.sleep(1)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(keep_running, 'bad', fail)
        nursery.start_soon(keep_running, 'good', beat)
        await trio.sleep(60)
        nursery.cancel_scope.cancel()
    assert len(beats) == 60
    gaps = [
        later - earlier
        for earlier, later in zip(starts, starts[1:], strict=False)
    ]
    assert gaps[0] <= 0.1 + FIRST_DELAY_SECONDS
    assert 0.1 + MAX_DELAY_SECONDS / 2 <= gaps[-1] <= 0.1 + MAX_DELAY_SECONDS
    assert failures('bad') - counted in {len(starts), len(starts) - 1}
    assert reported[0] == ('bad', 0.0)
    assert reported[-1][1] > 50.0
    errors = [each for each in caplog.records if each.levelno == logging.ERROR]
    assert errors[0].limpet_fields['task'] == 'bad'
    assert errors[0].exc_info[1].args == ('port',)
    unlogged = sum(each.limpet_fields['unlogged'] for each in errors)
    assert len(errors) <= 60 / LOG_INTERVAL_SECONDS + 1
    assert len(starts) - 4 <= len(errors) + unlogged <= len(starts)


@in_virtual_time
async def test_cancellation_is_taken_for_an_error():
    """Cancelled tasks end, also where a part of theirs fails meanwhile."""
    counted = failures('cancelled')
    runs: list[float] = []

    async def fail_when_cancelled() -> None:
        try:
            await trio.sleep_forever()
        finally:
            raise ValueError('in the clean-up')

    async def run() -> None:
        runs.append(trio.current_time())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fail_when_cancelled)
            nursery.start_soon(trio.sleep_forever)

    with trio.move_on_after(1) as scope:
        await keep_running('cancelled', run)
    assert scope.cancelled_caught
    assert runs == [0.0]
    assert failures('cancelled') == counted + 1


@pytest.mark.parametrize('kind', [KeyboardInterrupt, SystemExit])
def test_request_to_end_the_process_is_taken_for_an_error(kind):
    async def interrupt() -> None:
        raise kind

    with pytest.raises(kind):
        trio.run(run_contained, 'interrupted', interrupt)
    with pytest.raises(kind):
        trio.run(keep_running, 'interrupted', interrupt)


def test_entry_leaves_while_it_can_serve_somebody():
    seconds = MAX_FAILING_SECONDS[CONFIGURATION_WATCHER]
    for name, failing_seconds, refuses_all, expected in (
        (CALLER_SERVER, 4.9, True, False),
        (CALLER_SERVER, 5.0, False, True),
        (CONFIGURATION_WATCHER, seconds, False, False),
        (CONFIGURATION_WATCHER, seconds, True, True),
        (CONFIGURATION_WATCHER, seconds - 1, True, False),
        ('engine-reports', 10**6, True, False),
        ('endpoint-list-watcher', 10**6, True, False),
    ):
        found = must_leave(name, failing_seconds, refuses_all=refuses_all)
        assert found == expected, (name, failing_seconds, refuses_all)


@pytest.mark.parametrize('starts', [False, True])
@in_virtual_time
async def test_handler_that_raises_a_group_leaves_a_request_unanswered(starts):
    """The caller gets status 500, or its connection is closed midway."""

    async def fail_at(seconds: float) -> None:
        await trio.sleep(seconds)
        raise RecursionError('too deep')

    async def handle(exchange) -> None:
        if starts:
            await exchange.start(200)
            await exchange.send(b'part')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fail_at, 1)
            nursery.start_soon(fail_at, 1)

    async with trio.open_nursery() as nursery:
        harness = ServerHarness(nursery=nursery, handler=handle)
        stream = harness.connect()
        await stream.send_all(HEAD)
        with trio.fail_after(5):
            if starts:
                received = await read_all(stream)
                assert b'part' in received
                assert not received.endswith(b'0\r\n\r\n')
            else:
                received = await stream.receive_some(1000)
                assert received.startswith(b'HTTP/1.1 500')
        nursery.cancel_scope.cancel()
    assert harness.server.open_exchanges == 0


@pytest.mark.parametrize('number', range(3))
@in_virtual_time
async def test_hook_that_fails_skips_no_other(number):
    """Guards against an entry that is told of a change in part."""
    called = []

    def call(own_number, changed):
        called.append((own_number, changed))
        if own_number == number:
            raise KeyError('unforeseen')

    before = failures('some-hooks')
    hooks = [partial(call, each) for each in range(3)]
    call_hooks('some-hooks', hooks, 'changed')
    assert called == [(0, 'changed'), (1, 'changed'), (2, 'changed')]
    assert failures('some-hooks') == before + 1


@in_virtual_time
async def test_listener_that_fails_keeps_a_new_route_table_from_no_other():
    """Guards against an entry that applies the limits of an older table."""
    told = []

    def fail(table):
        raise KeyError('unforeseen')

    routes = RouteTableCache(clock=trio.current_time)
    routes.on_change += [fail, told.append]
    table = RouteTable(version=3, routes=())
    assert routes.accept_newer(table, trio.current_time())
    assert told == [table]
