"""Streamed responses to callers while a run waits, and when it fails."""

import msgspec
import trio

from limpet_standins.local import LocalExchange
from limpetdrift.callers.chat import KEEPALIVE_SECONDS, send_stream
from limpetdrift.state.run import Run, RunEnd, RunRequest
from limpetdrift.transport.messages import Request
from limpetdrift.verdict import Reason, not_run
from virtual_time import in_virtual_time

END = RunEnd(
    finish='stop',
    prompt_tokens=3,
    cached_tokens=0,
    completion_tokens=2,
)


def make_run():
    return Run(
        request=RunRequest(
            handle='entry-1~1~a',
            key='k',
            account='kona',
            model='m',
            prompt='p',
            prompt_tokens=1,
            max_tokens=2,
            urgency=0,
            deadline=100.0,
            fingerprint='f',
        ),
    )


async def stream_during(run, change_run):
    exchange = LocalExchange(request=Request(method='POST', path='/'))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(change_run)
        await send_stream(exchange, run, 0, include_usage=False)
    return exchange


@in_virtual_time
async def test_long_wait_sends_handle_and_keepalives():
    run = make_run()

    async def answer_late():
        await trio.sleep(10.5 * KEEPALIVE_SECONDS)
        run.append(0, 'a')
        run.wake_readers()
        run.finish(END)

    exchange = await stream_during(run, answer_late)
    assert dict(exchange.headers)['x-limpet-stream'] == 'entry-1~1~a'
    times = [at for at, _ in exchange.parts]
    gaps = [
        after - before for before, after in zip(times, times[1:], strict=False)
    ]
    assert max(gaps) <= KEEPALIVE_SECONDS + 0.01
    assert exchange.response.body.endswith(b'data: [DONE]\n\n')


@in_virtual_time
async def test_failure_within_keepalive_interval_has_its_own_status():
    run = make_run()

    async def refuse():
        await trio.sleep(0.5 * KEEPALIVE_SECONDS)
        run.fail(not_run(Reason.OVERLOADED, retry_after_seconds=2.0))

    exchange = await stream_during(run, refuse)
    assert exchange.status == 429
    assert dict(exchange.headers)['retry-after'] == '2'


@in_virtual_time
async def test_failure_after_keepalive_interval_is_sent_as_event():
    run = make_run()

    async def refuse():
        await trio.sleep(3 * KEEPALIVE_SECONDS)
        run.fail(not_run(Reason.OVERLOADED, retry_after_seconds=2.0))

    exchange = await stream_during(run, refuse)
    assert exchange.status == 200
    events = exchange.response.body.split(b'\n\n')
    error_event = next(each for each in events if b'error' in each)
    error = msgspec.json.decode(error_event.removeprefix(b'data: '))['error']
    assert error['verdict'] == 'not-run'
    assert error['retry_after_seconds'] == 2.0
