"""The stand-in engine in virtual time: answers, memory, groups, orders."""

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
async def engines(*addresses, **settings):
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
async def engine_alone(**settings):
    async with engines(FIRST, **settings) as found:
        yield found[0]


async def ask(engine, method, path, message=None, **query):
    request = json_request(method, path, message)
    request.query.update(query)
    return await call_local(engine, request)


def start(stream_id, prompt='fault note', max_tokens=8, **more):
    return {
        'stream_id': stream_id,
        'request_key': stream_id,
        'model': MODEL,
        'prompt': prompt,
        'max_tokens': max_tokens,
        **more,
    }


async def run(engine, stream_id, *arguments, **more):
    message = start(stream_id, *arguments, **more)
    return await ask(engine, 'POST', '/v1/streams', message)


def texts(answer):
    lines = [json.loads(line) for line in answer.ok.body.splitlines()]
    return {each['offset']: each['text'] for each in lines[:-1]}, lines[-1]


def code(answer):
    return answer.ok.status, json.loads(answer.ok.body).get('code')


async def load(engine):
    return json.loads((await ask(engine, 'GET', '/v1/load')).ok.body)


async def held(engine):
    await trio.sleep(1)
    return (await load(engine))['held_tokens']


def events(engine, event):
    return [
        each['stream_id']
        for each in engine.controls.journal
        if each['event'] == event
    ]


@in_virtual_time
async def test_a_stream_resumed_at_any_offset_equals_the_whole():
    prompt = 'history of a kiosk ' * 200
    wanted = dict(enumerate(expected_text(MODEL, prompt, 40)))
    async with engine_alone() as engine:
        tokens, last = texts(await run(engine, 'whole', prompt, 40))
        assert tokens == wanted
        assert last['finish'] == expected_finish(MODEL, prompt, 40)
        assert last['completion_tokens'] == len(wanted)
        for offset in range(0, len(wanted) + 1, 5):
            again, _ = texts(
                await ask(
                    engine, 'GET', '/v1/streams/whole', offset=str(offset)
                ),
            )
            assert again == {
                index: text for index, text in wanted.items() if index >= offset
            }
            elsewhere, _ = texts(
                await run(
                    engine,
                    f'from-{offset}',
                    prompt,
                    40,
                    start_offset=offset,
                    delivered=''.join(list(wanted.values())[:offset]),
                ),
            )
            assert elsewhere == again
        assert await held(engine) == 0


@in_virtual_time
async def test_a_cut_reader_leaves_the_stream_and_its_memory():
    async with engine_alone() as engine:
        engine.controls.apply_faults(Faults(stop_streams_at=3))
        assert (await run(engine, 'cut', max_tokens=16)).is_error()
        engine.controls.apply_faults(Faults())
        assert await held(engine) > 0
        await trio.sleep(5)
        assert await held(engine) > 0
        tokens, _ = texts(await ask(engine, 'GET', '/v1/streams/cut'))
        assert len(tokens) == 16
        assert await held(engine) == 0
        assert events(engine, 'started') == ['cut']
        assert events(engine, 'finished') == ['cut']


@in_virtual_time
async def test_cancelling_returns_the_memory_to_zero():
    async with engine_alone() as engine, trio.open_nursery() as nursery:
        for number in range(5):
            prompt = str(number) * 9000
            nursery.start_soon(run, engine, str(number), prompt, 300)
        await trio.sleep(1.6)
        listed = await ask(engine, 'GET', '/v1/allocations')
        tokens = [each['tokens'] for each in json.loads(listed.ok.body)]
        assert tokens == [2550 for _ in range(5)]
        for number in range(5):
            await ask(engine, 'DELETE', f'/v1/streams/{number}')
        assert await held(engine) == 0
        allocations = await ask(engine, 'GET', '/v1/allocations')
        assert json.loads(allocations.ok.body) == []


@in_virtual_time
async def test_a_refused_stream_never_ran():
    limits = {'memory_tokens': 4096, 'max_running': 1, 'max_waiting': 1}
    async with engine_alone(**limits) as engine, trio.open_nursery() as nursery:
        nursery.start_soon(run, engine, 'runs', 'x' * 8000, 200)
        await trio.sleep(0.1)
        assert code(await run(engine, 'big', 'x' * 99_000)) == (
            413,
            'never-fits',
        )
        assert code(await run(engine, 'runs')) == (409, 'stream-exists')
        assert code(await run(engine, 'full', 'y' * 9000)) == (
            429,
            'no-memory',
        )
        group = [{'address': SECOND, 'hold_id': 'h'}]
        assert code(await run(engine, 'part', group=group)) == (
            410,
            'hold-unknown',
        )
        assert code(await run(engine, 'odd', model='other')) == (
            404,
            'unknown-model',
        )
        nursery.start_soon(run, engine, 'waits')
        await trio.sleep(0.1)
        assert code(await run(engine, 'many')) == (429, 'queue-full')
        engine.controls.apply_faults(Faults(leaving=True))
        assert code(await run(engine, 'late')) == (503, 'leaving')
    assert sorted(events(engine, 'started')) == ['runs', 'waits']
    assert len(events(engine, 'refused')) == 7


async def _first_token_after(engine, message, delays):
    exchange = LocalExchange(
        request=json_request('POST', '/v1/streams', message),
    )
    began = trio.current_time()
    await engine.handle(exchange)
    delays[message['stream_id']] = exchange.parts[0][0] - began


@in_virtual_time
async def test_an_urgent_prompt_goes_before_a_long_one():
    delays = {}
    speeds = {'chunk_tokens': 1000, 'prefill_tokens_per_second': 10_000}
    async with engine_alone(**speeds) as engine, trio.open_nursery() as nursery:
        for name, prompt, priority in (
            ('long', 'a' * 200_000, 5),
            ('short', 'b' * 2000, 1),
            ('later', 'c' * 2000, 9),
        ):
            message = start(name, prompt, 2, priority=priority)
            nursery.start_soon(_first_token_after, engine, message, delays)
            await trio.sleep(0.15)
    assert delays['short'] < 0.2
    assert 5 <= delays['long'] < 5.5
    assert delays['later'] > delays['long'] - 0.5


@in_virtual_time
async def test_a_cached_prefix_saves_its_prefill_until_it_is_evicted():
    async with engine_alone(memory_tokens=4096) as engine:
        prompt = 'c' * 8192
        _, first = texts(await run(engine, 'first', prompt))
        _, second = texts(await run(engine, 'second', prompt))
        assert (first['cached_tokens'], second['cached_tokens']) == (0, 2048)
        await run(engine, 'other', 'd' * 16_000)
        _, third = texts(await run(engine, 'third', prompt))
        assert third['cached_tokens'] < 2048
        assert await held(engine) == 0
        page = json.loads(
            (await ask(engine, 'GET', '/v1/cache-events')).ok.body
        )
        kinds = {each['kind'] for each in page['events']}
        assert kinds == {'stored', 'removed'}


@in_virtual_time
async def test_a_group_runs_a_larger_prompt_and_fails_with_a_member():
    async with engines(FIRST, SECOND, memory_tokens=4096) as (one, two):
        hold = {'hold_id': 'h', 'tokens': 4000, 'expires_in_seconds': 100}
        await ask(two, 'POST', '/v1/holds', hold)
        prompt = 'e' * 28_000
        group = [{'address': SECOND, 'hold_id': 'h'}]
        assert code(await run(one, 'alone', prompt)) == (413, 'never-fits')
        tokens, _ = texts(await run(one, 'grouped', prompt, group=group))
        assert tuple(tokens.values()) == expected_text(MODEL, prompt, 8)
        renewal = {'expires_in_seconds': 0.5}
        await ask(two, 'POST', '/v1/holds/h/renew', renewal)
        slow = Faults(slow=10)
        one.controls.apply_faults(slow)
        _, last = texts(await run(one, 'again', prompt, group=group))
        assert last == {'stream_id': 'again', 'error': 'member-lost'}
        assert (await held(one), await held(two)) == (0, 0)


@in_virtual_time
async def test_an_export_pins_memory_until_deleted_and_seeds_another_engine():
    async with engines(FIRST, SECOND) as (one, two):
        prompt = 'f' * 8192
        one.controls.apply_faults(Faults(stop_streams_at=1))
        await run(one, 'source', prompt)
        one.controls.apply_faults(Faults())
        export = await ask(one, 'POST', '/v1/exports', {'stream_id': 'source'})
        export_id = json.loads(export.ok.body)['export_id']
        await ask(one, 'DELETE', '/v1/streams/source')
        await ask(two, 'POST', '/v1/holds', {'hold_id': 'h', 'tokens': 2100})
        fetched = {'address': FIRST, 'export_id': export_id, 'hold_id': 'h'}
        await ask(two, 'POST', '/v1/imports', fetched)
        _, last = texts(await run(two, 'target', prompt))
        assert last['cached_tokens'] == 2048
        await trio.sleep(500)
        assert (await held(one), await held(two)) == (2056, 0)
        await ask(one, 'DELETE', f'/v1/exports/{export_id}')
        assert await held(one) == 0


@in_virtual_time
async def test_only_a_checking_engine_refuses_an_old_fencing_number():
    for checks, wanted in ((True, 'large'), (False, 'old')):
        async with engine_alone(checks_fencing=checks) as engine:
            for fencing, model in ((9, 'large'), (7, 'old')):
                order = {
                    'order_id': model,
                    'fencing': fencing,
                    'action': 'load-model',
                    'model': model,
                }
                answer = await ask(engine, 'POST', '/v1/orders', order)
            if checks:
                assert code(answer) == (412, 'fenced')
            await trio.sleep(5)
            state = json.loads((await ask(engine, 'GET', '/v1/state')).ok.body)
            assert state['model'] == wanted
            assert state['highest_fencing'] == 9


@in_virtual_time
async def test_crossed_streams_carry_each_others_answers():
    async with engine_alone() as engine:
        engine.controls.apply_faults(Faults(cross_answers=True))
        found = {}

        async def read(name):
            found[name] = texts(await run(engine, name, name))[0]

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read, 'one')
            nursery.start_soon(read, 'two')
        for name, other in (('one', 'two'), ('two', 'one')):
            assert tuple(found[name].values()) == expected_text(MODEL, other, 8)
