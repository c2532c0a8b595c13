"""Tests of the stand-in services, objects, weights and instance list."""

import itertools
import json

import trio

from limpet_standins.controls import Faults
from limpet_standins.instances import make_instance_list
from limpet_standins.local import LocalExchange, call_local
from limpet_standins.objects import make_object_store
from limpet_standins.platform_endpoints import Journal, StandinEndpoint
from limpet_standins.service import expected_body, make_service
from limpet_standins.weights import make_weight_store
from limpetdrift.protocol.codec import json_request
from limpetdrift.transport.messages import Address, Request
from virtual_time import in_virtual_time


async def send(stand_in, method, path, body=b'', **headers):
    named = tuple(
        (f'x-{name}'.replace('_', '-'), text) for name, text in headers.items()
    )
    request = Request(method=method, path=path, body=body, headers=named)
    return (await call_local(stand_in, request)).ok


def make_endpoint() -> StandinEndpoint:
    return StandinEndpoint(
        name='i-1',
        service='s',
        address=Address(host='127.0.0.1', port=1),
        journal=Journal(),
        clock=trio.current_time,
    )


@in_virtual_time
async def test_service_journal_contains_only_calls_that_ran():
    service = make_service(capacity=1, work_seconds=1)
    answers = {}

    async def call(key):
        answers[key] = await send(
            service, 'POST', '/vans', b'go', request_key=key
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call, 'first')
        await trio.sleep(0.5)
        await call('over')
    service.controls.apply_faults(Faults(leaving=True))
    await call('late')
    assert answers['first'].body == expected_body('POST', '/vans', b'go')
    codes = [json.loads(answers[key].body)['code'] for key in ('over', 'late')]
    assert codes == ['overloaded', 'leaving']
    ran = [each['request_key'] for each in service.controls.journal]
    assert ran == ['first']


@in_virtual_time
async def test_concurrent_loads_share_the_rate_and_excess_loads_are_refused():
    store = make_weight_store(
        model_bytes=100, bytes_per_second=50, max_in_flight=2
    )
    ends = []

    async def load():
        answer = await send(store, 'GET', '/weights/drift-small/1')
        ends.append((answer.status, trio.current_time() - started_at))

    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        for _ in range(3):
            nursery.start_soon(load)
    refused, first, second = ends
    assert refused == (429, 0)
    assert first[1] > 3.8
    assert abs(second[1] - 4) < 0.01


@in_virtual_time
async def test_instance_list_shows_a_change_after_its_lag():
    listing = make_instance_list(lag_seconds=30)

    async def replace(state):
        line = {
            'name': 'e',
            'role': 'engine',
            'address': 'a:1',
            'state': state,
        }
        message = json_request(
            'POST', '/control/instances', {'instances': [line]}
        )
        await call_local(listing, message)

    async def state():
        answer = await send(listing, 'GET', '/instances')
        return json.loads(answer.body)['instances'][0]['state']

    await replace('live')
    await trio.sleep(60)
    await replace('leaving')
    await trio.sleep(29)
    assert await state() == 'live'
    await trio.sleep(2)
    assert await state() == 'leaving'


@in_virtual_time
async def test_object_is_returned_unchanged_until_deleted():
    store = make_object_store()
    body = bytes(range(256))
    path = '/objects/base'
    assert (await send(store, 'PUT', path, body)).status == 201
    assert (await send(store, 'GET', path)).body == body
    await send(store, 'DELETE', path)
    assert (await send(store, 'GET', path)).status == 404


@in_virtual_time
async def test_unknown_fault_name_is_refused_and_known_one_is_applied():
    store = make_object_store()
    for message, status in (({'downn': True}, 400), ({'down': True}, 200)):
        request = json_request('POST', '/control/faults', message)
        assert (await call_local(store, request)).ok.status == status
    assert (
        await call_local(store, Request(method='GET', path='/objects/a'))
    ).is_error()


@in_virtual_time
async def test_endpoint_that_breaks_off_has_told_nobody_that_it_leaves():
    """Guards against a find of the soak that is none (seed 8004).

    The entry was held to have read a header that was never sent.
    """
    endpoint = make_endpoint()
    endpoint.leaving = True
    endpoint.fail_next = 1
    for request_id in ('broken', 'whole'):
        headers = (('attempt-id', request_id), ('token-usage', ''))
        request = Request(method='POST', path='/', headers=headers)
        exchange = LocalExchange(request=request)
        exchange.wait_closed = trio.sleep_forever
        exchange.abort = trio.lowlevel.checkpoint
        await endpoint.handle(exchange)
    assert [run.request_id for run in endpoint.journal.runs] == [
        'broken',
        'whole',
    ]
    assert endpoint.journal.told_leaving == [('whole', 'i-1')]


@in_virtual_time
async def test_silent_endpoint_pauses_its_streams_and_goes_on():
    endpoint = make_endpoint()
    headers = (('attempt-id', 'a'), ('token-usage', '400,510'))
    request = Request(method='POST', path='/', headers=headers)
    exchange = LocalExchange(request=request)
    exchange.wait_closed = trio.sleep_forever
    ends = {}

    async def answer_report():
        report = Request(method='GET', path='/-/report')
        await call_local(endpoint, report)
        ends['report'] = trio.current_time()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(endpoint.handle, exchange)
        await trio.sleep(0.1)
        endpoint.fall_silent(1.5)
        nursery.start_soon(answer_report)
    pauses = [
        later - earlier
        for (earlier, _), (later, _) in itertools.pairwise(exchange.parts)
    ]
    assert exchange.finished
    assert len(exchange.parts) == 10
    assert sum(pause > 1.4 for pause in pauses) == 1
    assert abs(ends['report'] - 1.6) < 0.01
