"""Tests that cold endpoints get no more than they can handle, and as much.

Each test is a load or a fault under which a cold endpoint would crash, or a
request would be lost because entries differ on which endpoints are cold.
"""

import math
from dataclasses import replace

import pytest
import trio

from era_site import EraSite
from limit_site import ENGINES_SERVICE, PLAIN_SERVICE, open_limit_site
from limpetdrift.platform.endpoint_signals import decode_signals
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.limits import (
    PERMIT_PATH,
    PUSH_PATH,
    SPENT_PATH,
    LimitRecord,
)
from limpetdrift.protocol.route_table import Service
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.cold_endpoints import (
    FIRST_LIST_SECONDS,
    MAX_COLD_SECONDS,
    SAME_END_SECONDS,
    START_CREDIT_SECONDS,
)
from limpetdrift.state.endpoint_limits import UNLIMITED, EndpointLimits
from limpetdrift.verdict import Reason
from test_rate_limits import break_entry, decider_of
from virtual_time import in_virtual_time

SERVICES = (ENGINES_SERVICE, PLAIN_SERVICE)
RATE = 6.0
START_SECONDS = 8.0
COLD = {
    'cold_requests_per_second': RATE,
    'cold_start_seconds': START_SECONDS,
}
# The bound of the platform's settings.
OVERAGE = 1.5
SLACK = 5
# Share of the rate that a cold endpoint must get while there is demand.
LEAST_USE = 0.8
# Time for which a planner permits nothing after it has learned of a cold
# state: it can't know what was sent just before.
EMPTY_SECONDS = 0.3


def bound_of(rate):
    return rate * OVERAGE + SLACK


def worst_second(endpoint, since=0.0):
    times = [each.at for each in endpoint.arrivals if each.at >= since]
    return max(
        (sum(first <= at < first + 1 for at in times) for first in times),
        default=0,
    )


def tell(entry, endpoint, seconds, *, is_new=False, age_seconds=math.inf):
    """Let an entry read a row that says how much longer it is cold."""
    listed = replace(endpoint.listed, cold_seconds=seconds)
    entry.view.limits.cold.apply_row(
        listed, is_new=is_new, age_seconds=age_seconds
    )
    entry.view.put(listed)


def tell_all(entries, endpoints, seconds):
    for entry in entries:
        for endpoint in endpoints:
            tell(entry, endpoint, seconds)


def cold_among(site, service):
    """Return the endpoints of one failure domain."""
    return [
        each
        for each in site.of_service(service)
        if each.listed.failure_domain == 'domain-0'
    ]


def start_again(site, endpoints):
    """Let endpoints start again, and all entries list them as new."""
    for endpoint in endpoints:
        endpoint.listed = replace(endpoint.listed, lifetime=2)
        for entry in site.entries.values():
            tell(entry, endpoint, 0, is_new=True, age_seconds=0.5)


@pytest.mark.parametrize('service', SERVICES)
@pytest.mark.parametrize(('entries', 'rate'), [(7, 100), (84, 100)])
@in_virtual_time
async def test_domain_that_comes_back_cold_is_used_up_to_its_bound(
    service, entries, rate
):
    """Its endpoints are idle, so that all requests would go there."""
    async with open_limit_site(
        entries=entries, engines=12, plain=6, **COLD
    ) as site:
        tell_all(site.entries.values(), site.endpoints, 0)
        await site.offer(service, rate=rate, seconds=FIRST_LIST_SECONDS)
        cold = cold_among(site, service)
        since = trio.current_time()
        start_again(site, cold)
        await site.offer(service, rate=rate, seconds=START_SECONDS - 1)
        for endpoint in cold:
            assert worst_second(endpoint, since) <= bound_of(RATE)
            used = sum(each.at >= since for each in endpoint.arrivals)
            assert used >= LEAST_USE * RATE * (START_SECONDS - 1)
        assert set(site.statuses()) == {200}


@pytest.mark.parametrize('service', SERVICES)
@pytest.mark.parametrize('fault', ['leave', 'kill', 'restart', 'freeze', 'cut'])
@in_virtual_time
async def test_cold_endpoints_get_no_more_around_a_hand_over(service, fault):
    """Two planners may permit requests at the same time."""
    async with open_limit_site(entries=9, engines=6, plain=6, **COLD) as site:
        number = decider_of(site, service)
        tell_all(site.entries.values(), site.endpoints, 0)
        await site.offer(service, rate=60, seconds=FIRST_LIST_SECONDS)
        cold = site.of_service(service)
        since = trio.current_time()
        tell_all(site.entries.values(), cold, 60)
        await site.offer(service, rate=60, seconds=3)
        await break_entry(site, number, fault)
        # Callers go on using an entry that is cut off from its peers.
        await site.offer(service, rate=60, seconds=6)
        site.network.heal()
        await site.offer(service, rate=60, seconds=3)
        for endpoint in cold:
            assert worst_second(endpoint, since + 1) <= bound_of(RATE)


@pytest.mark.parametrize('service', SERVICES)
@pytest.mark.parametrize('all_cold', [True, False])
@pytest.mark.parametrize('is_planner_first', [True, False])
@in_virtual_time
async def test_no_request_fails_while_entries_differ_on_what_is_cold(
    service, all_cold, is_planner_first
):
    async with open_limit_site(entries=84, engines=9, plain=6, **COLD) as site:
        number = decider_of(site, service)
        cold = (
            site.of_service(service) if all_cold else cold_among(site, service)
        )
        rate = 0.3 * RATE * len(cold) if all_cold else 60
        await site.offer(service, rate=rate, seconds=2)
        since = trio.current_time()

        some = [
            entry
            for each, entry in site.entries.items()
            if (each == number) is is_planner_first
        ]
        tell_all(some, cold, 6)
        await site.offer(service, rate=rate, seconds=1)
        tell_all(site.entries.values(), cold, 5)
        await site.offer(service, rate=rate, seconds=3)
        # The planner, or all others, have heard that the endpoints are warm.
        tell_all(some, cold, 0)
        await site.offer(service, rate=rate, seconds=1)
        failed = [each for each in site.outcomes if each.status != 200]
        assert {each.reason for each in failed} <= {Reason.OVERLOADED}
        if failed:
            assert all_cold
            assert failed[-1].at < since + EMPTY_SECONDS
        assert sum(each.count_since(since + 1) for each in cold)
        for endpoint in cold:
            assert worst_second(endpoint, since) <= bound_of(RATE)


@in_virtual_time
async def test_services_without_a_bound_are_not_affected():
    """Rows may say that endpoints are cold where no bound is configured."""
    async with open_limit_site(entries=7, engines=6) as site:
        tell_all(site.entries.values(), site.endpoints, 30)
        site.network.paths.clear()
        for service in SERVICES:
            await site.offer(service, rate=40, seconds=4)
        limits = site.entries[0].view.limits
        assert not limits
        assert not limits.records()
        assert not site.entries[0].planning.limit_exchange.make_digest()
        assert not {PUSH_PATH, SPENT_PATH, PERMIT_PATH} & site.network.paths
        assert set(site.statuses()) == {200}


@in_virtual_time
async def test_remaining_time_is_relayed_and_counted_at_each_entry():
    """It falls all the time, which must not change the list or a view."""
    async with trio.open_nursery() as nursery:
        site = EraSite(20)
        site.write_configuration(1, 'key')
        site.write_endpoint('a')
        site.start(nursery)
        for started in site.entries:
            started.view.limits.cold.use_services((Service(name='s', **COLD),))
        await trio.sleep(5)
        site.write_endpoint('a', coldRemainingMs=4000)
        await trio.sleep(1.2)
        versions = [entry.view.version for entry in site.entries]
        limits = [entry.view.limits for entry in site.entries]
        assert all(known.is_limited(('a', 1)) for known in limits)
        # Another change of the list, and a whole read of the same row.
        site.write_endpoint('b')
        site.entries[0].replica._endpoints_watcher.restart()
        await trio.sleep(1.5)
        assert [entry.view.version for entry in site.entries] == [
            version + 1 for version in versions
        ]
        left = [each.cold.limit_of(('a', 1)).seconds_left for each in limits]
        assert min(left) > 0
        assert max(left) < 4 - 1.2 - 1.5 + SAME_END_SECONDS
        await trio.sleep(1.3 + SAME_END_SECONDS)
        assert not any(each.is_limited(('a', 1)) for each in limits)
        nursery.cancel_scope.cancel()


def make_limits(**fields):
    now = [100.0]
    limits = EndpointLimits(clock=lambda: now[0])
    limits.cold.use_services((Service(name='s', **(COLD | fields)),))
    return limits, now


def make_endpoint(lifetime=1, cold_seconds=0.0):
    return ListedEndpoint(
        name='a',
        lifetime=lifetime,
        service='s',
        address='10.0.0.1:80',
        failure_domain='d',
        slots=6,
        cold_seconds=cold_seconds,
    )


def read_row(limits, endpoint, *, is_new=False, age_seconds=math.inf):
    limits.cold.apply_row(endpoint, is_new=is_new, age_seconds=age_seconds)


def test_cold_state_lasts_for_the_time_that_the_last_row_states():
    limits, now = make_limits()
    endpoint = make_endpoint(cold_seconds=4)
    read_row(limits, endpoint)
    now[0] += 3.9
    assert limits.rate_of(endpoint.identity) == RATE
    read_row(limits, make_endpoint(cold_seconds=1))
    now[0] += 1.1
    assert limits.rate_of(endpoint.identity) == UNLIMITED
    read_row(limits, make_endpoint(cold_seconds=2))
    assert limits.is_limited(endpoint.identity)
    read_row(limits, make_endpoint())
    assert not limits.is_limited(endpoint.identity)


def test_lower_one_of_two_limits_holds():
    limits, now = make_limits()
    endpoint = make_endpoint(cold_seconds=4)
    read_row(limits, endpoint)
    limits.name(endpoint, RATE + 1)
    assert limits.rate_of(endpoint.identity) == RATE
    limits.name(endpoint, RATE - 1)
    assert limits.rate_of(endpoint.identity) == RATE - 1
    now[0] += 5
    limits.name(endpoint, RATE + 1)
    assert limits.rate_of(endpoint.identity) == RATE + 1


@pytest.mark.parametrize(
    ('uptime', 'age_seconds', 'is_cold'),
    [
        (FIRST_LIST_SECONDS, 0.4, True),
        # The time of day here is behind, or ahead by some seconds.
        (FIRST_LIST_SECONDS, -5, True),
        (FIRST_LIST_SECONDS, START_SECONDS + 5, True),
        (FIRST_LIST_SECONDS, 3600, False),
        # The entries have just started, too.
        (1, 0.4, False),
    ],
)
def test_start_during_traffic_is_cold_before_the_row_says_so(
    uptime, age_seconds, is_cold
):
    limits, now = make_limits()
    read_row(limits, replace(make_endpoint(), name='other'), is_new=True)
    now[0] += uptime
    endpoint = make_endpoint(lifetime=2)
    read_row(limits, endpoint, is_new=True, age_seconds=age_seconds)
    assert limits.is_limited(endpoint.identity) is is_cold
    # A row of before the endpoint knew that it is cold.
    read_row(limits, endpoint, age_seconds=age_seconds)
    assert limits.is_limited(endpoint.identity) is is_cold
    if is_cold:
        since = limits.limited_since(endpoint.identity)
        assert since == now[0] - START_CREDIT_SECONDS
    now[0] += START_SECONDS + 0.1
    assert not limits.is_limited(endpoint.identity)


def test_peers_learn_of_a_cold_state_and_builds_without_it_do_not():
    limits, _ = make_limits()
    endpoint = make_endpoint()
    assert limits.cold.extend(endpoint, 4)
    assert not limits.cold.extend(endpoint, 4)
    record = limits.record_of(endpoint.identity)
    received = decode(encode(record), LimitRecord).ok
    peer, _ = make_limits()
    assert peer.merge(received)
    assert not peer.merge(received)
    assert peer.rate_of(endpoint.identity) == RATE
    # A limit that the endpoint named to the peer still holds.
    peer.name(endpoint, 2)
    peer.merge(received)
    assert peer.rate_of(endpoint.identity) == 2
    assert not make_limits(cold_requests_per_second=0)[0].merge(received)


@pytest.mark.parametrize(
    ('text', 'seconds'),
    [
        ('2500', 2.5),
        ('0', None),
        ('-1', None),
        ('soon', None),
        ('', None),
        ('1e999', MAX_COLD_SECONDS),
    ],
)
def test_each_text_of_a_remaining_time_is_accepted(text, seconds):
    limits, _ = make_limits()
    endpoint = make_endpoint()
    signals = decode_signals(endpoint, 200, (('cold-ms', text),))
    limits.cold.extend(endpoint, signals.cold_seconds)
    found = limits.cold.limit_of(endpoint.identity)
    assert getattr(found, 'seconds_left', None) == seconds
