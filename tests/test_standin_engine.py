"""Tests answers, memory, groups and orders of the stand-in engine.

Its handlers and tasks run in virtual time, without sockets.
"""

import json
from contextlib import asynccontextmanager

import trio

from limpet_standins.answers import expected_finish, expected_text
from limpet_standins.controls import Faults
from limpet_standins.engine import make_engine
from limpet_standins.engine_messages import EngineSettings
from limpet_standins.local import (
    LocalExchange,
    call_local,
    make_local_fetch,
)
from limpetdrift.protocol.codec import json_request
from virtual_time import in_virtual_time

FIRST = '127.0.0.1:9001'
SECOND = '127.0.0.1:9002'
MODEL = 'drift-small'


@asynccontextmanager
async def run_engines(*addresses, **settings):
    stand_ins = {}
    for address in addresses:
        stand_ins[address] = make_engine(
            EngineSettings(address=address, name=address, **settings),
            fetch=make_local_fetch(stand_ins),
        )
    async with trio.open_nursery() as nursery:
        for stand_in in stand_ins.values():
            for task in stand_in.tasks:
                nursery.start_soon(task)
        yield list(stand_ins.values())
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def run_engine(**settings):
    async with run_engines(FIRST, **settings) as stand_ins:
        yield stand_ins[0]


async def call(engine, method, path, message=None, **query):
    request = json_request(method, path, message)
    request.query.update(query)
    return await call_local(engine, request)


def make_start(stream_id, prompt='fault note', max_tokens=8, **more):
    return {
        'stream_id': stream_id,
        'request_key': stream_id,
        'model': MODEL,
        'prompt': prompt,
        'max_tokens': max_tokens,
        **more,
    }


async def run_stream(engine, stream_id, *arguments, **more):
    message = make_start(stream_id, *arguments, **more)
    return await call(engine, 'POST', '/v1/streams', message)


def read_tokens(answer):
    lines = [json.loads(line) for line in answer.ok.body.splitlines()]
    return {each['offset']: each['text'] for each in lines[:-1]}, lines[-1]


def refusal(answer):
    return answer.ok.status, json.loads(answer.ok.body).get('code')


async def read_load(engine):
    return json.loads((await call(engine, 'GET', '/v1/load')).ok.body)


async def held_tokens(engine):
    """Return the held tokens, after the lag of the reported load."""
    await trio.sleep(1)
    return (await read_load(engine))['held_tokens']


def streams_with_event(engine, event):
    return [
        each['stream_id']
        for each in engine.controls.journal
        if each['event'] == event
    ]


@in_virtual_time
async def test_stream_resumed_at_any_offset_equals_an_unbroken_stream():
    prompt = 'history of a kiosk ' * 200
    expected = dict(enumerate(expected_text(MODEL, prompt, 40)))
    async with run_engine() as engine:
        tokens, last = read_tokens(
            await run_stream(engine, 'whole', prompt, 40)
        )
        assert tokens == expected
        assert last['finish'] == expected_finish(MODEL, prompt, 40)
        assert last['completion_tokens'] == len(expected)
        for offset in range(0, len(expected) + 1, 5):
            resumed, _ = read_tokens(
                await call(
                    engine, 'GET', '/v1/streams/whole', offset=str(offset)
                ),
            )
            assert resumed == {
                index: text
                for index, text in expected.items()
                if index >= offset
            }
            continued, _ = read_tokens(
                await run_stream(
                    engine,
                    f'from-{offset}',
                    prompt,
                    40,
                    start_offset=offset,
                    delivered=''.join(list(expected.values())[:offset]),
                ),
            )
            assert continued == resumed
        assert await held_tokens(engine) == 0


@in_virtual_time
async def test_stream_and_its_memory_outlive_a_broken_connection():
    async with run_engine() as engine:
        engine.controls.apply_faults(Faults(stop_streams_at=3))
        assert (await run_stream(engine, 'cut', max_tokens=16)).is_error()
        engine.controls.apply_faults(Faults())
        assert await held_tokens(engine) > 0
        await trio.sleep(5)
        assert await held_tokens(engine) > 0
        tokens, _ = read_tokens(await call(engine, 'GET', '/v1/streams/cut'))
        assert len(tokens) == 16
        assert await held_tokens(engine) == 0
        assert streams_with_event(engine, 'started') == ['cut']
        assert streams_with_event(engine, 'finished') == ['cut']


@in_virtual_time
async def test_cancelling_all_streams_frees_all_memory():
    async with run_engine() as engine, trio.open_nursery() as nursery:
        for number in range(5):
            prompt = str(number) * 9000
            nursery.start_soon(run_stream, engine, str(number), prompt, 300)
        await trio.sleep(1.6)
        listed = await call(engine, 'GET', '/v1/allocations')
        tokens = [each['tokens'] for each in json.loads(listed.ok.body)]
        assert tokens == [2550 for _ in range(5)]
        for number in range(5):
            await call(engine, 'DELETE', f'/v1/streams/{number}')
        assert await held_tokens(engine) == 0
        allocations = await call(engine, 'GET', '/v1/allocations')
        assert json.loads(allocations.ok.body) == []


@in_virtual_time
async def test_refused_streams_do_not_run():
    limits = {'memory_tokens': 4096, 'max_running': 1, 'max_waiting': 1}
    async with run_engine(**limits) as engine, trio.open_nursery() as nursery:
        nursery.start_soon(run_stream, engine, 'runs', 'x' * 8000, 200)
        await trio.sleep(0.1)
        assert refusal(await run_stream(engine, 'big', 'x' * 99_000)) == (
            413,
            'never-fits',
        )
        assert refusal(await run_stream(engine, 'runs')) == (
            409,
            'stream-exists',
        )
        assert refusal(await run_stream(engine, 'full', 'y' * 9000)) == (
            429,
            'no-memory',
        )
        group = [{'address': SECOND, 'hold_id': 'h'}]
        assert refusal(await run_stream(engine, 'part', group=group)) == (
            410,
            'hold-unknown',
        )
        assert refusal(await run_stream(engine, 'odd', model='other')) == (
            404,
            'unknown-model',
        )
        nursery.start_soon(run_stream, engine, 'waits')
        await trio.sleep(0.1)
        assert refusal(await run_stream(engine, 'many')) == (429, 'queue-full')
        engine.controls.apply_faults(Faults(leaving=True))
        assert refusal(await run_stream(engine, 'late')) == (503, 'leaving')
    assert sorted(streams_with_event(engine, 'started')) == ['runs', 'waits']
    assert len(streams_with_event(engine, 'refused')) == 7


async def _measure_first_token(engine, message, delays):
    exchange = LocalExchange(
        request=json_request('POST', '/v1/streams', message),
    )
    started_at = trio.current_time()
    await engine.handle(exchange)
    delays[message['stream_id']] = exchange.parts[0][0] - started_at


@in_virtual_time
async def test_urgent_short_prompt_is_prefilled_before_a_long_one():
    delays = {}
    speeds = {'chunk_tokens': 1000, 'prefill_tokens_per_second': 10_000}
    async with run_engine(**speeds) as engine, trio.open_nursery() as nursery:
        for name, prompt, priority in (
            ('long', 'a' * 200_000, 5),
            ('short', 'b' * 2000, 1),
            ('later', 'c' * 2000, 9),
        ):
            message = make_start(name, prompt, 2, priority=priority)
            nursery.start_soon(_measure_first_token, engine, message, delays)
            await trio.sleep(0.15)
    assert delays['short'] < 0.2
    assert 5 <= delays['long'] < 5.5
    assert delays['later'] > delays['long'] - 0.5


@in_virtual_time
async def test_cached_prefix_is_reused_until_it_is_evicted():
    async with run_engine(memory_tokens=4096) as engine:
        prompt = 'c' * 8192
        _, first = read_tokens(await run_stream(engine, 'first', prompt))
        _, second = read_tokens(await run_stream(engine, 'second', prompt))
        assert (first['cached_tokens'], second['cached_tokens']) == (0, 2048)
        await run_stream(engine, 'other', 'd' * 16_000)
        _, third = read_tokens(await run_stream(engine, 'third', prompt))
        assert third['cached_tokens'] < 2048
        assert await held_tokens(engine) == 0
        page = json.loads(
            (await call(engine, 'GET', '/v1/cache-events')).ok.body
        )
        kinds = {each['kind'] for each in page['events']}
        assert kinds == {'stored', 'removed'}


@in_virtual_time
async def test_group_runs_a_larger_prompt_and_fails_if_a_member_is_lost():
    async with run_engines(FIRST, SECOND, memory_tokens=4096) as (one, two):
        hold = {'hold_id': 'h', 'tokens': 4000, 'expires_in_seconds': 100}
        await call(two, 'POST', '/v1/holds', hold)
        prompt = 'e' * 28_000
        group = [{'address': SECOND, 'hold_id': 'h'}]
        assert refusal(await run_stream(one, 'alone', prompt)) == (
            413,
            'never-fits',
        )
        tokens, _ = read_tokens(
            await run_stream(one, 'grouped', prompt, group=group)
        )
        assert tuple(tokens.values()) == expected_text(MODEL, prompt, 8)
        renewal = {'expires_in_seconds': 0.5}
        await call(two, 'POST', '/v1/holds/h/renew', renewal)
        slow = Faults(slow=10)
        one.controls.apply_faults(slow)
        _, last = read_tokens(
            await run_stream(one, 'again', prompt, group=group)
        )
        assert last == {'stream_id': 'again', 'error': 'member-lost'}
        assert (await held_tokens(one), await held_tokens(two)) == (0, 0)


@in_virtual_time
async def test_export_keeps_memory_until_deleted_and_can_be_imported():
    async with run_engines(FIRST, SECOND) as (one, two):
        prompt = 'f' * 8192
        one.controls.apply_faults(Faults(stop_streams_at=1))
        await run_stream(one, 'source', prompt)
        one.controls.apply_faults(Faults())
        export = await call(one, 'POST', '/v1/exports', {'stream_id': 'source'})
        export_id = json.loads(export.ok.body)['export_id']
        await call(one, 'DELETE', '/v1/streams/source')
        await call(two, 'POST', '/v1/holds', {'hold_id': 'h', 'tokens': 2100})
        import_message = {
            'address': FIRST,
            'export_id': export_id,
            'hold_id': 'h',
        }
        await call(two, 'POST', '/v1/imports', import_message)
        _, last = read_tokens(await run_stream(two, 'target', prompt))
        assert last['cached_tokens'] == 2048
        await trio.sleep(500)
        assert (await held_tokens(one), await held_tokens(two)) == (2056, 0)
        await call(one, 'DELETE', f'/v1/exports/{export_id}')
        assert await held_tokens(one) == 0


@in_virtual_time
async def test_old_fencing_number_is_refused_only_if_fencing_is_checked():
    for checks, expected in ((True, 'large'), (False, 'old')):
        async with run_engine(checks_fencing=checks) as engine:
            for fencing, model in ((9, 'large'), (7, 'old')):
                order = {
                    'order_id': model,
                    'fencing': fencing,
                    'action': 'load-model',
                    'model': model,
                }
                answer = await call(engine, 'POST', '/v1/orders', order)
            if checks:
                assert refusal(answer) == (412, 'fenced')
            await trio.sleep(5)
            state = json.loads((await call(engine, 'GET', '/v1/state')).ok.body)
            assert state['model'] == expected
            assert state['highest_fencing'] == 9


@in_virtual_time
async def test_cross_answers_fault_swaps_the_answers_of_two_streams():
    async with run_engine() as engine:
        engine.controls.apply_faults(Faults(cross_answers=True))
        answers = {}

        async def read(name):
            answers[name] = read_tokens(await run_stream(engine, name, name))[0]

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read, 'one')
            nursery.start_soon(read, 'two')
        for name, other in (('one', 'two'), ('two', 'one')):
            assert tuple(answers[name].values()) == expected_text(
                MODEL, other, 8
            )
