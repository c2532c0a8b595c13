"""Tests the list, report and discovery calls against stand-ins."""

import random

import trio

from limpet_standins.controls import Faults
from limpet_standins.engine import EngineSettings, make_engine
from limpet_standins.instances import make_instance_list
from limpet_standins.local import LocalExchange, call_local
from limpet_standins.service import make_service
from limpetdrift.client import _Discovery
from limpetdrift.coordination.membership.discovery import add_discovery_routes
from limpetdrift.protocol.codec import decode, json_request
from limpetdrift.protocol.gossip import ListingState
from limpetdrift.protocol.instances import make_list_call
from limpetdrift.protocol.lifecycle_reports import make_report_call
from limpetdrift.protocol.node import Endpoint, Role
from limpetdrift.transport.messages import Address, Request
from limpetdrift.transport.routing import Routes
from member_cluster import Cluster, wait_for
from virtual_time import in_virtual_time

ADDRESS = Address(host='127.0.0.1', port=9000)


class FakeClient:
    """A fake HTTP client that passes each call to one stand-in."""

    def __init__(self, *, stand_in):
        self._stand_in = stand_in

    async def fetch(self, address, request, *, timeout_seconds):
        return await call_local(self._stand_in, request)


def endpoint_of(role):
    return Endpoint(name='one', role=role, address=ADDRESS, failure_domain='a')


@in_virtual_time
async def test_list_shows_a_change_after_its_lag():
    stand_in = make_instance_list(lag_seconds=4)
    item = {'name': 'engine-1', 'role': 'engine', 'address': str(ADDRESS)}
    read_list = make_list_call(FakeClient(stand_in=stand_in), ADDRESS)
    lists = []
    for state in ('live', 'leaving'):
        body = {'instances': [{**item, 'state': state}]}
        request = json_request('POST', '/control/instances', body)
        await call_local(stand_in, request)
        lists.append((await read_list()).ok)
        await trio.sleep(5)
    lists.append((await read_list()).ok)
    listed = [each.endpoints[0].listed for each in lists]
    assert listed == [
        ListingState.LIVE,
        ListingState.LIVE,
        ListingState.LEAVING,
    ]
    assert {each.age_seconds for each in lists} == {4}


async def check_report_before_and_after_leaving(stand_in, role):
    read_report = make_report_call(FakeClient(stand_in=stand_in))
    async with trio.open_nursery() as nursery:
        for task in stand_in.tasks:
            nursery.start_soon(task)
        await trio.sleep(2)
        before = (await read_report(endpoint_of(role))).ok
        stand_in.controls.apply_faults(Faults(leaving=True))
        await trio.sleep(2)
        after = (await read_report(endpoint_of(role))).ok
        nursery.cancel_scope.cancel()
    assert (before.leaving, after.leaving) == (False, True)
    return after.incarnation


@in_virtual_time
async def test_reports_of_leaving_engine_and_service_say_leaving():
    engine = make_engine(EngineSettings(incarnation=5))
    assert await check_report_before_and_after_leaving(engine, Role.ENGINE) == 5
    assert (
        await check_report_before_and_after_leaving(
            make_service(), Role.SERVICE
        )
        == 0
    )


@in_virtual_time
async def test_discovery_lists_all_entries_without_a_key():
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery)
        members = cluster.start_all(3)
        await wait_for(cluster.has_converged, 30)
        routes = Routes()
        add_discovery_routes(routes, members[0], random.Random(1))
        exchange = LocalExchange(
            request=Request(method='GET', path='/v1/entries'),
        )
        await routes.handle(exchange)
        answer = decode(exchange.response.body, _Discovery).ok
        assert exchange.status == 200
        assert len(answer.entries) == 3
        nursery.cancel_scope.cancel()
