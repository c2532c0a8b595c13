"""Tests that endpoints get no more than the rates that they named.

Each test is a load or a fault under which a limit that many entries share has
to hold, without refusing callers whom another endpoint could serve.
"""

import math
from dataclasses import replace
from functools import partial

import pytest
import trio

from limit_site import (
    ENGINES_SERVICE,
    PLAIN_SERVICE,
    EndpointClient,
    bound_of,
    open_limit_site,
)
from limpetdrift.platform.reservations import make_reserver
from limpetdrift.protocol.gossip import MemberState
from limpetdrift.protocol.work import DispatchPlan, PromptSize
from limpetdrift.state.endpoint_limits import UNTOLD_SECONDS
from virtual_time import in_virtual_time

SERVICES = (ENGINES_SERVICE, PLAIN_SERVICE)
# Share of the limits that callers must get while others are refused.
LEAST_USE = 0.8


def busiest(site, service):
    return max(site.of_service(service), key=lambda each: len(each.arrivals))


def most_reserved(engines):
    return max(engines, key=lambda each: len(each.reservations))


def decider_of(site, service):
    """Return the number of the entry that decides for a service."""
    entry = next(iter(site.entries.values()))
    endpoint = site.of_service(service)[0].listed
    groups = entry.plan_placer.groups
    group = groups.group_of(endpoint)
    node = entry.plan_placer.planner_client.planner(group) or entry.node
    return next(
        number for number, each in site.entries.items() if each.node == node
    )


@pytest.mark.parametrize('service', SERVICES)
@in_virtual_time
async def test_endpoint_gets_no_more_calls_than_its_limit_from_all_entries(
    service,
):
    async with open_limit_site(entries=9) as site:
        await site.offer(service, rate=10, seconds=5)
        limited = busiest(site, service)
        limited.limit = 1
        await site.offer(service, rate=10, seconds=20)
        assert limited.told_at
        assert limited.worst_window() <= bound_of(1)
        assert set(site.statuses()) == {200}


@pytest.mark.parametrize('service', SERVICES)
@pytest.mark.parametrize('entries', [7, 23, 195])
@in_virtual_time
async def test_many_entries_use_most_of_limits_and_no_more(entries, service):
    async with open_limit_site(entries=entries, engines=4, plain=3) as site:
        endpoints = site.of_service(service)
        for endpoint in endpoints:
            endpoint.limit = 1
        await site.offer(service, rate=15, seconds=6)
        since = trio.current_time()
        await site.offer(service, rate=15, seconds=14)
        taken = [each.count_since(since) for each in endpoints]
        assert sum(taken) >= LEAST_USE * len(endpoints) * 14
        for endpoint in endpoints:
            endpoint.count_all_as_told()
            assert endpoint.worst_window(since=5) <= bound_of(1)


@pytest.mark.parametrize('service', SERVICES)
@in_virtual_time
async def test_limit_holds_when_all_callers_move_to_another_entry(service):
    async with open_limit_site(entries=7) as site:
        limited = site.of_service(service)[0]
        limited.limit = 1
        for number in (3, 5, 1):
            await site.offer(service, rate=20, seconds=5, entries=[number])
        assert limited.worst_window() <= bound_of(1)
        assert set(site.statuses()) == {200}


@pytest.mark.parametrize('service', SERVICES)
@pytest.mark.parametrize('fault', ['leave', 'kill', 'restart', 'freeze', 'cut'])
@pytest.mark.parametrize('limit', [1, 5])
@in_virtual_time
async def test_limit_holds_around_a_change_of_the_decider(
    service, fault, limit
):
    async with open_limit_site(entries=7, engines=6) as site:
        for endpoint in site.of_service(service):
            endpoint.limit = limit
        number = decider_of(site, service)
        others = [each for each in site.entries if each != number]
        await site.offer(service, rate=60, seconds=5)
        await break_entry(site, number, fault)
        await site.offer(service, rate=60, seconds=10, entries=others)
        site.network.heal()
        await site.offer(service, rate=60, seconds=6, entries=others)
        for endpoint in site.of_service(service):
            assert endpoint.worst_window(since=5) <= bound_of(limit)


@pytest.mark.parametrize('fault', ['leave', 'kill', 'freeze', 'cut'])
@in_virtual_time
async def test_each_request_and_order_goes_out_once_around_a_hand_over(fault):
    """Two planners may act at once; only an entry sends its own requests."""
    async with open_limit_site(entries=7, engines=14) as site:
        number = decider_of(site, ENGINES_SERVICE)
        others = [each for each in site.entries if each != number]
        size = PromptSize(prompt_tokens=320_000, answer_tokens=1500)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(break_entry, site, number, fault)
            for each in range(14):
                nursery.start_soon(
                    partial(
                        site.call,
                        others[each % len(others)],
                        ENGINES_SERVICE,
                        size=size,
                    )
                )
                await trio.sleep(1.5)
        served = site.statuses().get(200, 0)
        assert served > 5
        engines = site.of_service(ENGINES_SERVICE)
        assert sum(each.count_since(0) for each in engines) == served
        reserved = sum((engine.reservations for engine in engines), [])
        assert reserved
        assert len(set(reserved)) == len(reserved)


async def break_entry(site, number, fault):
    entry = site.entries[number]
    address = entry.node.peer_address
    if fault == 'leave':
        entry.membership.leave()
    elif fault in {'kill', 'restart'}:
        site.kill_entry(number)
        if fault == 'restart':
            await trio.sleep(1)
            site.start_entry(number)
    elif fault == 'freeze':
        site.network.freeze(address)
        await trio.sleep(3)
        site.network.thaw(address)
    else:
        site.network.isolate(address)


@pytest.mark.parametrize('service', SERVICES)
@in_virtual_time
async def test_entry_cut_off_from_its_peers_grants_a_part_of_the_limit(service):
    async with open_limit_site(entries=7, engines=6) as site:
        endpoints = site.of_service(service)
        for endpoint in endpoints:
            endpoint.limit = 4
        number = decider_of(site, service)
        await site.offer(service, rate=60, seconds=5)
        site.network.isolate(site.entries[number].node.peer_address)
        await site.offer(service, rate=60, seconds=15)
        for endpoint in endpoints:
            assert endpoint.worst_window(since=5) <= bound_of(4)


@pytest.mark.parametrize('service', SERVICES)
@in_virtual_time
async def test_entry_that_starts_knows_limits_before_it_sends(service):
    async with open_limit_site(entries=7, engines=6) as site:
        for endpoint in site.of_service(service):
            endpoint.limit = 0
        await site.offer(service, rate=20, seconds=5)
        number = 4
        site.kill_entry(number)
        await trio.sleep(1)
        since = trio.current_time()
        site.start_entry(number)
        await site.offer(service, rate=30, seconds=1, entries=[number])
        sent = [
            each.listed.name
            for each in site.of_service(service)
            if each.count_since(since)
        ]
        assert not sent


@pytest.mark.parametrize('service', SERVICES)
@in_virtual_time
async def test_limit_holds_while_all_entries_start_again_one_by_one(service):
    async with open_limit_site(entries=7, engines=6) as site:
        endpoints = site.of_service(service)
        for endpoint in endpoints:
            endpoint.limit = 1
        await site.offer(service, rate=20, seconds=5)
        for number in tuple(site.entries):
            site.entries[number].membership.leave()
            await site.offer(service, rate=20, seconds=1)
            site.kill_entry(number)
            await site.offer(service, rate=20, seconds=0.5)
            site.start_entry(number)
            await site.offer(service, rate=20, seconds=1.5)
        for endpoint in endpoints:
            endpoint.count_all_as_told()
            assert endpoint.worst_window(since=5) <= bound_of(1)


@pytest.mark.parametrize('service', SERVICES)
@in_virtual_time
async def test_limit_holds_after_all_entries_have_ended_at_once(service):
    async with open_limit_site(entries=23, engines=4) as site:
        endpoints = site.of_service(service)
        for endpoint in endpoints:
            endpoint.limit = 0.4
        await site.offer(service, rate=20, seconds=8)
        for number in tuple(site.entries):
            site.kill_entry(number)
        for number in range(23):
            site.start_entry(number)
        await site.offer(service, rate=200, seconds=8)
        for endpoint in endpoints:
            endpoint.count_all_as_told()
            assert endpoint.worst_window(since=7) <= bound_of(0.4)


@in_virtual_time
async def test_failed_endpoint_is_used_again_only_after_those_with_a_limit():
    async with open_limit_site(entries=3, plain=3) as site:
        failed, *limited = site.of_service(PLAIN_SERVICE)
        for endpoint in limited:
            endpoint.limit = 2
        await site.offer(PLAIN_SERVICE, rate=20, seconds=3)
        decider = site.entries[decider_of(site, PLAIN_SERVICE)]
        permits = decider.planning.permit_client.permits
        for trial in range(9):
            await trio.sleep(1)
            while permits.may_call(limited[0].listed):
                permits.take(limited[0].listed)
            placed = await site.entries[trial % 3].plain_placer.place(
                site.make_work(PLAIN_SERVICE),
                frozenset((failed.listed.identity,)),
            )
            assert placed.ok.endpoint == limited[1].listed


@in_virtual_time
async def test_requests_on_their_way_to_an_endpoint_that_names_a_limit():
    """Forty prompts are sent before the first answer names the limit."""
    async with open_limit_site(entries=7, engines=6) as site:
        limited = site.of_service(ENGINES_SERVICE)[0]
        async with trio.open_nursery() as nursery:
            for each in range(240):
                nursery.start_soon(site.call, each % 7, ENGINES_SERVICE)
            await trio.sleep(0.01)
            limited.limit = 0.4
            await site.offer(ENGINES_SERVICE, rate=10, seconds=10)
        assert limited.worst_window() <= bound_of(0.4)


@pytest.mark.parametrize('service', SERVICES)
@in_virtual_time
async def test_limit_that_rises_and_ends_is_used(service):
    async with open_limit_site(entries=7, engines=1, plain=1) as site:
        endpoint = site.of_service(service)[0]
        endpoint.limit = 0.4
        await site.offer(service, rate=8, seconds=10)
        endpoint.limit = 4
        await site.offer(service, rate=8, seconds=5)
        since = trio.current_time()
        await site.offer(service, rate=8, seconds=10)
        assert endpoint.count_since(since) >= LEAST_USE * 4 * 10
        endpoint.limit = None
        await site.offer(service, rate=8, seconds=2)
        since = trio.current_time()
        await site.offer(service, rate=8, seconds=5)
        assert set(site.statuses(since)) == {200}


@pytest.mark.parametrize('service', SERVICES)
@in_virtual_time
async def test_endpoint_that_takes_nothing_gets_only_what_tells_of_an_end(
    service,
):
    async with open_limit_site(entries=7, engines=2, plain=2) as site:
        limited, _ = site.of_service(service)
        limited.limit = 0
        await site.offer(service, rate=10, seconds=3)
        since = trio.current_time()
        await site.offer(service, rate=10, seconds=35)
        calls = [each for each in limited.arrivals if each.at >= since]
        assert 1 <= len(calls) <= math.ceil(35 / UNTOLD_SECONDS)
        assert set(site.statuses()) == {200}
        limited.limit = None
        await site.offer(service, rate=10, seconds=UNTOLD_SECONDS + 1)
        since = trio.current_time()
        await site.offer(service, rate=10, seconds=10)
        assert limited.count_since(since) > 5


@in_virtual_time
async def test_endpoint_that_starts_again_has_no_limit_of_before():
    async with open_limit_site(entries=3, engines=2, plain=1) as site:
        limited = site.of_service(ENGINES_SERVICE)[0]
        limited.limit = 0
        await site.offer(ENGINES_SERVICE, rate=10, seconds=3)
        limited.limit = None
        limited.listed = replace(limited.listed, lifetime=2)
        for entry in site.entries.values():
            entry.view.put(limited.listed)
        since = trio.current_time()
        await site.offer(ENGINES_SERVICE, rate=10, seconds=3)
        assert limited.count_since(since) > 5


@pytest.mark.parametrize('limit', [0.4, 1])
@in_virtual_time
async def test_orders_and_parts_of_long_prompts_count_towards_a_limit(limit):
    """Prompts over an engine's memory need reservations at several."""
    async with open_limit_site(entries=7, engines=14) as site:
        size = PromptSize(prompt_tokens=320_000, answer_tokens=1500)
        engines = site.of_service(ENGINES_SERVICE)
        async with trio.open_nursery() as nursery:
            for each in range(20):
                if each == 6:
                    limited = most_reserved(engines)
                    limited.limit = limit
                nursery.start_soon(
                    partial(site.call, each % 7, ENGINES_SERVICE, size=size)
                )
                await trio.sleep(1.5)
        assert limited.reservations
        assert limited.told_at
        assert site.statuses().get(200, 0) > 10
        assert limited.worst_window() <= bound_of(limit)


@in_virtual_time
async def test_renewals_of_reserved_memory_leave_a_low_limit_room():
    """The prompts began before the engine named its limit."""
    async with open_limit_site(entries=3, engines=4) as site:
        limited = site.of_service(ENGINES_SERVICE)[0]
        plan = DispatchPlan(
            endpoint=limited.listed, reserved=((limited.listed, 1000),)
        )

        async def hold(entry) -> None:
            client = EndpointClient(site, entry.node.name)
            reserve = make_reserver(
                client,
                entry.node.name,
                entry.planning.gate,
                entry.links.monitor,
            )
            async with reserve(plan):
                await trio.sleep(20)

        async with trio.open_nursery() as nursery:
            for entry in site.entries.values():
                nursery.start_soon(hold, entry)
            await trio.sleep(2)
            limited.limit = 0.4
            await site.offer(ENGINES_SERVICE, rate=10, seconds=15)
        assert len(limited.reservations) == 3
        assert limited.worst_window() <= bound_of(0.4)


@pytest.mark.parametrize('service', SERVICES)
@in_virtual_time
async def test_refused_callers_return_at_the_rate_of_the_limits(service):
    async with open_limit_site(entries=7, engines=3, plain=3) as site:
        endpoints = site.of_service(service)
        for endpoint in endpoints:
            endpoint.limit = 2
        await site.offer(service, rate=30, seconds=5)
        since = trio.current_time()
        await site.offer(service, rate=30, seconds=3)
        refused = [
            each
            for each in site.outcomes
            if each.status == 503 and each.at >= since
        ]
        assert len(refused) > 30
        assert max(each.seconds for each in refused) < 0.3
        returns = sorted(
            each.at + each.seconds + each.retry_after_seconds
            for each in refused
        )
        soon = [at for at in returns if at < since + 5]
        assert len(soon) <= 1.5 * 6 * 5


@pytest.mark.parametrize(
    ('limit', 'rate'),
    [
        ('1.1', 1.1),
        ('.5', 0.5),
        ('0', 0.0),
        ('-1', math.inf),
        ('nan', math.inf),
        ('few', math.inf),
        ('', math.inf),
        ('1e9', 1e9),
        ('1e999', math.inf),
    ],
)
@pytest.mark.parametrize('service', SERVICES)
@in_virtual_time
async def test_each_text_of_a_limit_is_served(service, limit, rate):
    async with open_limit_site(entries=2, engines=2, plain=2) as site:
        limited = site.of_service(service)[0]
        limited.limit = limit
        await site.offer(service, rate=8, seconds=5)
        assert set(site.statuses()) == {200}
        known = site.entries[0].view.limits.rate_of(limited.listed.identity)
        assert known == rate


@in_virtual_time
async def test_entries_without_limits_exchange_nothing_about_them():
    async with open_limit_site(entries=5) as site:
        await site.offer(PLAIN_SERVICE, rate=10, seconds=3)
        for entry in site.entries.values():
            assert not entry.planning.limit_exchange.make_digest()
            live = [
                each
                for each in entry.membership.members()
                if each.state is MemberState.LIVE
            ]
            assert len(live) == 5


@in_virtual_time
async def test_limits_that_change_with_each_answer_are_sent_in_batches():
    async with open_limit_site(entries=20, engines=2, plain=2) as site:
        limited = site.of_service(PLAIN_SERVICE)[0]
        limited.limit = 50
        await site.offer(PLAIN_SERVICE, rate=100, seconds=2)
        messages = site.network.messages
        for step in range(100):
            limited.limit = 50 + step / 100
            await site.offer(PLAIN_SERVICE, rate=100, seconds=0.05)
        with_changes = site.network.messages - messages
        messages = site.network.messages
        await site.offer(PLAIN_SERVICE, rate=100, seconds=5)
        without = site.network.messages - messages
        # Ten pushes a second to 19 peers, with an answer each.
        assert with_changes - without < 1.5 * 5 * 10 * 19 * 2
        for entry in site.entries.values():
            known = entry.view.limits.rate_of(limited.listed.identity)
            assert known == limited.limit
