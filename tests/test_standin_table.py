"""Tests of the stand-in table service, in virtual time."""

import json

import trio

from limpet_standins.controls import Faults
from limpet_standins.local import call_local
from limpet_standins.table import make_table
from limpetdrift.protocol.codec import json_request
from virtual_time import in_virtual_time


async def post(table, path, message):
    answer = await call_local(table, json_request('POST', path, message))
    return answer.map(
        lambda response: (response.status, json.loads(response.body)),
    )


def put(key, text, version=None):
    checks = [{'table': 't', 'key': key, 'version': version}]
    return {
        'checks': [] if version is None else checks,
        'puts': [{'table': 't', 'key': key, 'value': text}],
    }


async def read(table, key):
    message = {'keys': [{'table': 't', 'key': key}]}
    _, answer = (await post(table, '/v1/reads', message)).ok
    return answer['rows'][0]['version'], answer['rows'][0]['value']


@in_virtual_time
async def test_transaction_with_a_conflict_changes_no_row():
    table = make_table()
    await post(table, '/v1/transactions', put('a', 'one', 0))
    both = {
        'checks': [{'table': 't', 'key': 'a', 'version': 0}],
        'puts': [{'table': 't', 'key': 'b', 'value': 1}],
        'deletes': [{'table': 't', 'key': 'a'}],
    }
    status, answer = (await post(table, '/v1/transactions', both)).ok
    assert (status, answer['committed']) == (409, False)
    assert answer['conflicts'][0]['version'] == 1
    assert await read(table, 'a') == (1, 'one')
    assert await read(table, 'b') == (0, None)
    items = [put('a', 'two', 1), put('a', 'three', 1), put('b', 'x')]
    _, answer = (await post(table, '/v1/batches', {'items': items})).ok
    committed = [each['committed'] for each in answer['outcomes']]
    assert committed == [True, False, True]


@in_virtual_time
async def test_scan_returns_pages_of_keys_in_order():
    table = make_table()
    for key in ('b2', 'a1', 'b1', 'b3'):
        await post(table, '/v1/transactions', put(key, key))
    scan = {'table': 't', 'prefix': 'b', 'limit': 2}
    _, page = (await post(table, '/v1/scans', scan)).ok
    assert [row['key'] for row in page['rows']] == ['b1', 'b2']
    assert page['more']
    _, page = (await post(table, '/v1/scans', {**scan, 'after': 'b2'})).ok
    assert [row['key'] for row in page['rows']] == ['b3']
    assert not page['more']


@in_virtual_time
async def test_write_with_lost_answer_takes_effect_but_stale_read_misses_it():
    table = make_table()
    await trio.sleep(100)
    await post(table, '/v1/transactions', put('a', 'one'))
    await trio.sleep(10)
    table.controls.apply_faults(Faults(lose_answers=1, stale_seconds=5))
    assert (await post(table, '/v1/transactions', put('a', 'two'))).is_error()
    assert await read(table, 'a') == (1, 'one')
    table.controls.apply_faults(Faults())
    assert await read(table, 'a') == (2, 'two')


@in_virtual_time
async def test_calls_above_the_rate_are_refused_without_effect():
    table = make_table(writes_per_second=5)
    outcomes = [
        (await post(table, '/v1/transactions', put('a', number))).ok[0]
        for number in range(8)
    ]
    assert outcomes == [200, 200, 200, 200, 200, 429, 429, 429]
    assert (await read(table, 'a'))[0] == 5
    await trio.sleep(1)
    status, _ = (await post(table, '/v1/transactions', put('a', 'x'))).ok
    assert status == 200
