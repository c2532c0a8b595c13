"""Tests that entries survive a store that comes back from an older copy.

The store's versions go back then and are given out again; its era rises.
"""

import functools
import json

import trio

from limpet_standins.local import call_local
from limpet_standins.platform_store import StandinStore
from limpetdrift.protocol.codec import json_request
from limpetdrift.transport.messages import OK, Request
from virtual_time import in_virtual_time

GONE = 410
UNAVAILABLE = 503


async def call(store, request):
    return (await call_local(store.make_routes(), request)).ok


async def read(store, table='op'):
    return await call(
        store,
        Request(method='GET', path='/-/rows-get', query={'table': table}),
    )


async def poll(store, after, wait_ms=0, table='op'):
    query = {
        'table': table,
        'afterRevision': str(after),
        'waitMs': str(wait_ms),
    }
    return await call(
        store, Request(method='GET', path='/-/rows-feed', query=query)
    )


@in_virtual_time
async def test_standin_returns_to_a_copy_and_gives_its_versions_out_again():
    store = StandinStore()
    store.put('op', 'config', {'version': 1})
    copy = store.rows.take_copy()
    store.put('op', 'config', {'version': 2})
    store.put('op', 'other', {})
    newest = json.loads((await read(store)).body)['schemaVersion']
    store.rows.return_to(copy)
    page = json.loads((await read(store)).body)
    assert [row['key'] for row in page['rows']] == ['config']
    assert page['schemaVersion'] == newest - 2
    assert (await poll(store, newest)).status == GONE
    assert (await poll(store, newest - 2)).status == OK
    store.put('op', 'again', {})
    assert [
        row.version for row in store.rows.changes_after('op', newest - 2)
    ] == [newest - 1]


@in_virtual_time
async def test_standin_names_its_era_in_all_answers():
    store = StandinStore()
    copy = store.rows.take_copy()
    write = json_request('POST', '/-/rows-tx', {'puts': []})
    answers = [
        await read(store),
        await poll(store, 9),
        await call(store, write),
    ]
    store.failing_status = UNAVAILABLE
    answers.append(await read(store))
    assert [each.status for each in answers] == [OK, GONE, OK, UNAVAILABLE]
    assert {each.header('store-era') for each in answers} == {'1'}
    store.failing_status = None
    store.rows.return_to(copy)
    assert (await read(store)).header('store-era') == '2'
    store.era_text = ''
    assert not (await read(store)).header('store-era')


@in_virtual_time
async def test_standin_is_away_for_a_moment_and_open_polls_end():
    store = StandinStore()
    copy = store.rows.take_copy()
    ended_at = []

    async def wait_for_changes():
        await poll(store, store.rows.take_copy().version, wait_ms=30_000)
        ended_at.append(trio.current_time() - started_at)

    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait_for_changes)
        await trio.sleep(1)
        nursery.start_soon(
            functools.partial(store.restore, copy, away_seconds=0.5)
        )
        await trio.sleep(0.2)
        assert (await read(store)).status == UNAVAILABLE
        await trio.sleep(0.5)
        assert (await read(store)).status == OK
    assert ended_at == [1]
    assert store.rows.era == 2
